#include "storage/record-writer-private.h"

#include "election/leader-record.h"
#include "storage/rechunk.h"

/* Limits the transactions without an outcome yet, while no user waits for a queued record. */
#define MAX_TRANSACTIONS_IN_FLIGHT 3u
/* The limit while users wait for a queued record. It is higher, so that users do not wait behind
   other writes when the key-value store is slow. */
#define MAX_TRANSACTIONS_IN_FLIGHT_FOR_USERS 6u
/* The share of the write bucket's burst that is reserved for records that users wait for. */
#define USER_BURST_SHARE 0.4
/* The write tokens beyond the reserved ones that must be available before a transaction is built
   while no user waits, so that it can make at least that many changes. */
#define MIN_UNRESERVED_TOKENS 5
/* How long to wait before tokens are checked again, in microseconds. */
#define TOKEN_RETRY_US 10000

MhRecordWriter *
mh_record_writer_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                      const MhRecordWriterCallbacks *callbacks, gpointer owner)
{
  g_return_val_if_fail (runtime && calls && jobs && callbacks, NULL);
  MhRecordWriter *writer = g_new0 (MhRecordWriter, 1);
  writer->runtime = runtime;
  writer->calls = calls;
  writer->jobs = jobs;
  writer->callbacks = callbacks;
  writer->owner = owner;
  for (guint i = 0; i < MH_URGENCIES; i++)
    g_queue_init (&writer->queues[i]);
  g_queue_init (&writer->keys_to_delete);
  return writer;
}

void
mh_record_writer_free (MhRecordWriter *writer)
{
  if (writer == NULL)
    return;
  mh_record_writer_clear (writer);
  g_free (writer);
}

void
mh_record_writer_begin (MhRecordWriter *writer, guint64 epoch, guint64 leader_version)
{
  g_return_if_fail (writer);
  writer->epoch = epoch;
  writer->leader_version = leader_version;
}

void
mh_record_writer_clear (MhRecordWriter *writer)
{
  g_return_if_fail (writer);
  for (guint i = 0; i < MH_URGENCIES; i++)
    for (GList *link; (link = g_queue_pop_head_link (&writer->queues[i]));)
      ((MhRecord *)link->data)->state = MH_RECORD_CLEAN;
  g_queue_clear_full (&writer->keys_to_delete, g_free);
  writer->in_flight = 0;
  writer->limits_durable = writer->limits_in_flight = false;
}

/* ---- the queue ---- */

static void
enqueue_record (MhRecordWriter *writer, MhRecord *record, bool is_queued, MhUrgency urgency)
{
  if (is_queued && record->urgency <= urgency)
    return;
  if (is_queued)
    g_queue_unlink (&writer->queues[record->urgency], &record->queue_link);
  record->urgency = urgency;
  record->queued_us = mh_runtime_now_us (writer->runtime);
  record->queue_link.data = record;
  g_queue_push_tail_link (&writer->queues[urgency], &record->queue_link);
}

void
mh_record_writer_apply_event (MhRecordWriter *writer, MhRecord *record, MhRecordEvent event,
                              MhUrgency urgency)
{
  MhRecordState next;
  bool was_queued = mh_record_state_is_queued (record->state);
  bool is_allowed = mh_record_state_next (record->state, event, &next);
  g_return_if_fail (is_allowed);
  record->state = next;
  if (mh_record_state_is_queued (next))
    enqueue_record (writer, record, was_queued, urgency);
  else if (was_queued)
    g_queue_unlink (&writer->queues[record->urgency], &record->queue_link);
}

/* Whether a change that is made during a write has to be written afterwards is known only with the
   outcome of that write. Until then `requeue_urgency` keeps the highest urgency of such changes. */
void
mh_record_writer_mark_changed (MhRecordWriter *writer, MhRecord *record, MhUrgency urgency)
{
  g_return_if_fail (writer && record);
  record->revision = ++writer->last_revision;
  if (mh_record_state_is_writing (record->state))
    record->requeue_urgency = MIN (record->requeue_urgency, urgency);
  bool keeps_place = record->state == MH_RECORD_WRITING_QUEUED;
  mh_record_writer_apply_event (writer, record, MH_RECORD_CHANGED,
                                keeps_place ? record->urgency : urgency);
}

void
mh_record_writer_delete_key (MhRecordWriter *writer, const char *key)
{
  g_return_if_fail (writer && key);
  g_queue_push_tail (&writer->keys_to_delete, g_strdup (key));
}

void
mh_record_writer_rechunk (MhRecordWriter *writer, MhJob *job)
{
  g_return_if_fail (writer && job);
  for (guint i = 0; i < job->n_records; i++)
    if (mh_rechunk_prepare (&job->records[i]))
      mh_record_writer_mark_changed (writer, &job->records[i], MH_URGENCY_START);
}

void
mh_record_writer_remove_job (MhRecordWriter *writer, MhJob *job)
{
  g_return_if_fail (writer && job);
  for (guint i = 0; i < job->n_records; i++)
    mh_record_writer_apply_event (writer, &job->records[i], MH_RECORD_DISCARDED,
                                  MH_URGENCY_PROGRESS);
  g_hash_table_remove (writer->jobs, job->spec->id);
}

void
mh_record_writer_mark_limits_durable (MhRecordWriter *writer)
{
  g_return_if_fail (writer);
  writer->limits_durable = true;
}

MhBacklog
mh_record_writer_get_backlog (const MhRecordWriter *writer, MhUrgency urgency)
{
  g_return_val_if_fail (writer && (guint)urgency < MH_URGENCIES, (MhBacklog){ 0 });
  const GQueue *waiting = &writer->queues[urgency];
  const MhRecord *oldest = waiting->head ? waiting->head->data : NULL;
  return (MhBacklog){ .waiting = waiting->length,
                      .oldest_age_us
                      = oldest ? mh_runtime_now_us (writer->runtime) - oldest->queued_us : 0 };
}

/* ---- building a transaction ---- */

/* The final record replaces all records of the job. It is written in place of the first one, and
   only when no write of the others is in flight. */
static bool
may_write_final (const MhRecord *record)
{
  const MhJob *job = record->job;
  if (record->chunk != 0)
    return false;
  for (guint i = 1; i < job->n_records; i++)
    if (mh_record_state_is_writing (job->records[i].state))
      return false;
  return true;
}

static bool
may_write (const MhRecordWriter *writer, const MhRecord *record)
{
  if (mh_record_state_is_writing (record->state))
    return false;
  if (mh_job_has_ended (record->job))
    return may_write_final (record);
  if (mh_runtime_now_us (writer->runtime) < record->refused_until_us)
    return false;
  guint max_changes = mh_runtime_settings (writer->runtime)->txn_ops;
  return !mh_rechunk_is_pending (record->job) || mh_rechunk_may_write (record, max_changes);
}

/* The first record leaves the queue. The others, which are written in the same transaction to
   replace an old layout, keep their places in it. */
static void
mark_sent (MhRecordWriter *writer, GArray *writes, guint first)
{
  for (guint i = first; i < writes->len; i++)
    {
      MhRecord *record = g_array_index (writes, MhRecordWrite, i).record;
      record->requeue_urgency = MH_URGENCY_PROGRESS;
      mh_record_writer_apply_event (
          writer, record, i == first ? MH_RECORD_SENT : MH_RECORD_SENT_ALONG, record->urgency);
    }
}

typedef enum
{
  ADD_DEFERRED,    /* the record may not be written yet; it stays in the queue */
  ADD_DONE,        /* the record left the queue: it is in the batch, or needs no write */
  ADD_DOES_NOT_FIT /* the batch has no room for the record; it stays in the queue */
} AddResult;

static AddResult
add_record (MhRecordWriter *writer, MhBatch *batch, GArray *writes, MhRecord *record)
{
  if (mh_job_has_ended (record->job) && record->chunk != 0)
    {
      /* The final record, which is queued as the job's first one, replaces this one. */
      mh_record_writer_apply_event (writer, record, MH_RECORD_DISCARDED, record->urgency);
      return ADD_DONE;
    }
  if (!may_write (writer, record))
    return ADD_DEFERRED;
  guint first = writes->len;
  if (!mh_batch_add (batch, record))
    return ADD_DOES_NOT_FIT;
  mark_sent (writer, writes, first);
  return ADD_DONE;
}

/* Adds records by urgency: first those that users wait for, last those that only record progress.
   While a progress record waits, further changes to it are combined into the same write. */
static void
fill_batch (MhRecordWriter *writer, MhBatch *batch, GArray *writes)
{
  for (guint urgency = 0; urgency < MH_URGENCIES; urgency++)
    {
      GList *next;
      for (GList *link = writer->queues[urgency].head; link; link = next)
        {
          next = link->next;
          AddResult result = add_record (writer, batch, writes, link->data);
          if (result == ADD_DOES_NOT_FIT || (result == ADD_DONE && mh_batch_is_full (batch)))
            return;
        }
    }
}

/* The first transaction after the store's lower write rate was detected also records that rate,
   ahead of all other changes. False: nothing was added. */
static bool
add_limits (MhRecordWriter *writer, MhTransaction *transaction)
{
  if (!mh_call_queue_write_rate_is_lowered (writer->calls) || writer->limits_durable
      || writer->limits_in_flight)
    return false;
  const MhSettings *settings = mh_runtime_settings (writer->runtime);
  g_autoptr (MhValue) value = mh_record_write_limits (settings->next_write_rps);
  mh_transaction_put (transaction, MH_RECORD_LIMITS, value);
  writer->limits_in_flight = true;
  return true;
}

static void
add_deletions (MhRecordWriter *writer, MhTransaction *transaction, const MhBatch *batch)
{
  while (!mh_batch_is_full (batch) && writer->keys_to_delete.length)
    {
      g_autofree char *key = g_queue_pop_head (&writer->keys_to_delete);
      mh_transaction_delete (transaction, key);
    }
}

static void
free_sent_batch (gpointer data)
{
  MhSentBatch *sent = data;
  g_array_unref (sent->writes);
  g_free (sent);
}

/* `max_changes`: the number of changes that the tokens allow. False: nothing may be written now, so
   that nothing was sent. */
static bool
send_batch (MhRecordWriter *writer, guint max_changes)
{
  MhSentBatch *sent = g_new0 (MhSentBatch, 1);
  sent->writer = writer;
  sent->writes = g_array_new (FALSE, FALSE, sizeof (MhRecordWrite));
  g_autofree char *tag = g_strdup_printf ("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, writer->epoch,
                                          ++writer->last_revision);
  g_autoptr (MhTransaction) transaction
      = mh_transaction_new (writer->calls, tag, mh_sent_batch_callbacks (), sent, free_sent_batch);
  g_autoptr (MhBatch) batch
      = mh_batch_new (transaction, sent->writes, mh_runtime_settings (writer->runtime),
                      writer->callbacks->machine_name, max_changes);
  mh_transaction_add_condition (transaction, MH_LEADER_KEY, writer->leader_version);
  sent->has_limits = add_limits (writer, transaction);
  fill_batch (writer, batch, sent->writes);
  add_deletions (writer, transaction, batch);
  if (mh_transaction_changes (transaction) == 0)
    return false;
  writer->in_flight++;
  mh_transaction_send (transaction);
  return true;
}

/* ---- step ---- */

static bool
has_work (const MhRecordWriter *writer)
{
  for (guint i = 0; i < MH_URGENCIES; i++)
    if (writer->queues[i].length)
      return true;
  return writer->keys_to_delete.length > 0;
}

/* Returns how many changes the next transaction may make. A share of the burst is reserved for
   records that users wait for. 0: there are too few tokens or the store is paused, and a wake-up
   was requested. */
static guint
compute_allowed_changes (MhRecordWriter *writer)
{
  const MhSettings *settings = mh_runtime_settings (writer->runtime);
  guint n_user_records = writer->queues[MH_URGENCY_USER].length;
  double burst = mh_call_queue_write_burst (writer->calls);
  double reserved = burst * USER_BURST_SHARE;
  double min_tokens = n_user_records ? 1 : MIN (burst, reserved + MIN_UNRESERVED_TOKENS);
  double tokens;
  if (!mh_call_queue_may_write (writer->calls, min_tokens, &tokens))
    {
      gint64 retry_us = mh_runtime_now_us (writer->runtime) + TOKEN_RETRY_US;
      mh_runtime_wake_at (writer->runtime,
                          MAX (retry_us, mh_call_queue_store_paused_until_us (writer->calls)));
      return 0;
    }
  double allowed = MAX (MIN (tokens, n_user_records), tokens - reserved);
  return (guint)CLAMP (allowed, 1, settings->max_batch);
}

/* A transaction is built only when there are tokens for it. One that is built earlier would wait
   for tokens as a queued call, and a user's submission would have to wait behind it. */
void
mh_record_writer_step (MhRecordWriter *writer)
{
  g_return_if_fail (writer);
  while (has_work (writer))
    {
      bool has_user_records = writer->queues[MH_URGENCY_USER].length > 0;
      if (writer->in_flight
          >= (has_user_records ? MAX_TRANSACTIONS_IN_FLIGHT_FOR_USERS : MAX_TRANSACTIONS_IN_FLIGHT))
        return;
      guint max_changes = compute_allowed_changes (writer);
      if (max_changes == 0 || !send_batch (writer, max_changes))
        return;
      /* Write tokens are taken only when the call leaves: now, unless the limit on requests delays
         it. */
      mh_call_queue_flush (writer->calls);
    }
}
