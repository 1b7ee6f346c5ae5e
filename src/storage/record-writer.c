#include "storage/record-writer-private.h"

#include "election/leader-record.h"
#include "storage/rechunk.h"

#define MAX_IN_FLIGHT 3u
/* ... with what users wait for, who shall not wait for the others when the service is slow. */
#define MAX_IN_FLIGHT_FOR_USERS 6u
/* Of the burst of changes. */
#define KEPT_FOR_USERS 0.4
/* Tokens beyond what is kept for users, before a transaction is put together. */
#define LEAST_TOKENS 5
/* What waits for tokens is looked at again after so long. */
#define RETRY_US 10000

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
place_in_queue (MhRecordWriter *writer, MhRecord *record, bool is_queued, MhUrgency urgency)
{
  if (is_queued && record->urgency <= urgency)
    return;
  if (is_queued)
    g_queue_unlink (&writer->queues[record->urgency], &record->queue_link);
  record->urgency = urgency;
  record->queue_link.data = record;
  g_queue_push_tail_link (&writer->queues[urgency], &record->queue_link);
}

void
mh_record_writer_apply (MhRecordWriter *writer, MhRecord *record, MhRecordEvent event,
                        MhUrgency urgency)
{
  MhRecordState next;
  bool was_queued = mh_record_state_is_queued (record->state);
  bool possible = mh_record_state_next (record->state, event, &next);
  g_return_if_fail (possible);
  record->state = next;
  if (mh_record_state_is_queued (next))
    place_in_queue (writer, record, was_queued, urgency);
  else if (was_queued)
    g_queue_unlink (&writer->queues[record->urgency], &record->queue_link);
}

/* While a record is being written, it is not known what of a change will be left to write. */
void
mh_record_writer_touch (MhRecordWriter *writer, MhRecord *record, MhUrgency urgency)
{
  g_return_if_fail (writer && record);
  record->revision = ++writer->last_revision;
  if (mh_record_state_is_writing (record->state))
    record->requeue_urgency = MIN (record->requeue_urgency, urgency);
  bool keeps_place = record->state == MH_RECORD_WRITING_QUEUED;
  mh_record_writer_apply (writer, record, MH_RECORD_CHANGED,
                          keeps_place ? record->urgency : urgency);
}

void
mh_record_writer_delete (MhRecordWriter *writer, const char *key)
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
      mh_record_writer_touch (writer, &job->records[i], MH_URGENCY_START);
}

void
mh_record_writer_remove_job (MhRecordWriter *writer, MhJob *job)
{
  g_return_if_fail (writer && job);
  for (guint i = 0; i < job->n_records; i++)
    mh_record_writer_apply (writer, &job->records[i], MH_RECORD_DISCARDED, MH_URGENCY_PROGRESS);
  g_hash_table_remove (writer->jobs, job->spec->id);
}

void
mh_record_writer_limits_loaded (MhRecordWriter *writer)
{
  g_return_if_fail (writer);
  writer->limits_durable = true;
}

/* ---- one transaction ---- */

/* The final record ends all others: it waits until none of them is on its way. */
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
  if (mh_job_is_finished (record->job))
    return may_write_final (record);
  if (mh_runtime_now_us (writer->runtime) < record->refused_until_us)
    return false;
  guint max_changes = mh_runtime_settings (writer->runtime)->txn_ops;
  return !mh_rechunk_is_pending (record->job) || mh_rechunk_may_write (record, max_changes);
}

/* The first of them leaves the queue; those that are written along with it keep their places. */
static void
mark_sent (MhRecordWriter *writer, GArray *writes, guint first)
{
  for (guint i = first; i < writes->len; i++)
    {
      MhRecord *record = g_array_index (writes, MhRecordWrite, i).record;
      record->requeue_urgency = MH_URGENCY_PROGRESS;
      mh_record_writer_apply (writer, record, i == first ? MH_RECORD_SENT : MH_RECORD_SENT_ALONG,
                              record->urgency);
    }
}

typedef enum
{
  LEFT_IN_QUEUE, /* it may not be written now */
  TAKEN,
  DOES_NOT_FIT
} Taken;

static Taken
take_record (MhRecordWriter *writer, MhBatch *batch, GArray *writes, MhRecord *record)
{
  if (mh_job_is_finished (record->job) && record->chunk != 0)
    {
      /* The final record ends it. */
      mh_record_writer_apply (writer, record, MH_RECORD_DISCARDED, record->urgency);
      return TAKEN;
    }
  if (!may_write (writer, record))
    return LEFT_IN_QUEUE;
  guint first = writes->len;
  if (!mh_batch_add (batch, record))
    return DOES_NOT_FIT;
  mark_sent (writer, writes, first);
  return TAKEN;
}

/* What users wait for goes first, and progress waits as long as anything else takes the changes;
   what it waits it gathers. */
static void
take_records (MhRecordWriter *writer, MhBatch *batch, GArray *writes)
{
  for (guint urgency = 0; urgency < MH_URGENCIES; urgency++)
    {
      GList *next;
      for (GList *link = writer->queues[urgency].head; link; link = next)
        {
          next = link->next;
          Taken taken = take_record (writer, batch, writes, link->data);
          if (taken == DOES_NOT_FIT || (taken == TAKEN && mh_batch_is_full (batch)))
            return;
        }
    }
}

/* What was found of the store's limits goes before whatever is written next. */
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
delete_keys (MhRecordWriter *writer, MhTransaction *transaction, const MhBatch *batch)
{
  while (!mh_batch_is_full (batch) && writer->keys_to_delete.length)
    {
      g_autofree char *key = g_queue_pop_head (&writer->keys_to_delete);
      mh_transaction_delete (transaction, key);
    }
}

static void
written_batch_free (gpointer data)
{
  MhWrittenBatch *written = data;
  g_array_unref (written->writes);
  g_free (written);
}

/* `max_changes`: that there are tokens for. False: there was nothing that may be written now. */
static bool
send_batch (MhRecordWriter *writer, guint max_changes)
{
  MhWrittenBatch *written = g_new0 (MhWrittenBatch, 1);
  written->writer = writer;
  written->writes = g_array_new (FALSE, FALSE, sizeof (MhRecordWrite));
  g_autofree char *tag = g_strdup_printf ("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, writer->epoch,
                                          ++writer->last_revision);
  g_autoptr (MhTransaction) transaction = mh_transaction_new (
      writer->calls, tag, mh_written_batch_callbacks (), written, written_batch_free);
  g_autoptr (MhBatch) batch
      = mh_batch_new (transaction, written->writes, mh_runtime_settings (writer->runtime),
                      writer->callbacks->machine_name, max_changes);
  mh_transaction_add_condition (transaction, MH_LEADER_KEY, writer->leader_version);
  written->has_limits = add_limits (writer, transaction);
  take_records (writer, batch, written->writes);
  delete_keys (writer, transaction, batch);
  if (mh_transaction_changes (transaction) == 0)
    return false;
  writer->in_flight++;
  mh_transaction_send (transaction);
  return true;
}

/* ---- the step ---- */

static bool
has_work (const MhRecordWriter *writer)
{
  for (guint i = 0; i < MH_URGENCIES; i++)
    if (writer->queues[i].length)
      return true;
  return writer->keys_to_delete.length > 0;
}

/* A part of the burst is kept for what users wait for. 0: nothing now; a wake-up is asked for. */
static guint
changes_allowed (MhRecordWriter *writer)
{
  const MhSettings *settings = mh_runtime_settings (writer->runtime);
  guint for_users = writer->queues[MH_URGENCY_USER].length;
  double burst = mh_call_queue_write_burst (writer->calls);
  double kept = burst * KEPT_FOR_USERS;
  double least = for_users ? 1 : MIN (burst, kept + LEAST_TOKENS);
  double tokens;
  if (!mh_call_queue_may_write (writer->calls, least, &tokens))
    {
      gint64 retry_us = mh_runtime_now_us (writer->runtime) + RETRY_US;
      mh_runtime_wake_at (writer->runtime,
                          MAX (retry_us, mh_call_queue_store_paused_until_us (writer->calls)));
      return 0;
    }
  double allowed = MAX (MIN (tokens, for_users), tokens - kept);
  return (guint)CLAMP (allowed, 1, settings->batch);
}

/* A transaction is put together only when there are tokens for it: what waited in a finished one
   would let a user's submission wait behind it. */
void
mh_record_writer_step (MhRecordWriter *writer)
{
  g_return_if_fail (writer);
  while (has_work (writer))
    {
      bool for_users = writer->queues[MH_URGENCY_USER].length > 0;
      if (writer->in_flight >= (for_users ? MAX_IN_FLIGHT_FOR_USERS : MAX_IN_FLIGHT))
        return;
      guint max_changes = changes_allowed (writer);
      if (max_changes == 0 || !send_batch (writer, max_changes))
        return;
      /* Its tokens are taken when it is sent, which is now unless the requests have run out. */
      mh_call_queue_flush (writer->calls);
    }
}
