/* What follows from the outcome of the writer's transactions. */
#include "storage/record-writer-private.h"

#include "election/leader-record.h"
#include "storage/rechunk.h"
#include "protocol/key-value-messages.h"

#include <string.h>

#define CALL_TIMEOUT_US MH_SECOND_US
/* A record that was refused as malformed is not tried again before. */
#define RETRY_REFUSED_US (30 * MH_SECOND_US)

static MhRecordWrite *
write_at (const MhWrittenBatch *written, guint index)
{
  return &g_array_index (written->writes, MhRecordWrite, index);
}

static void
transaction_over (const MhWrittenBatch *written)
{
  written->writer->in_flight--;
  if (written->has_limits)
    written->writer->limits_in_flight = false;
}

static void
end_leadership (MhRecordWriter *writer, MhLossReason reason)
{
  writer->callbacks->leadership_lost (writer->owner, reason);
}

/* A user waits for each cancellation. */
static MhCallClass
call_class (gconstpointer data)
{
  const MhWrittenBatch *written = data;
  for (guint i = 0; i < written->writes->len; i++)
    {
      const MhJob *job = write_at (written, i)->record->job;
      if (mh_job_is_cancelled (job) && !mh_job_is_cancel_durable (job))
        return MH_CALL_SAFETY;
    }
  return MH_CALL_WORK;
}

/* ---- users who wait ---- */

static bool
may_be_told (const MhJob *job, MhUserVerb verb)
{
  return verb == MH_USER_SUBMIT ? job->accepted
                                : mh_job_is_cancel_durable (job) || mh_job_is_final (job);
}

static void
answer_waiters (MhRecordWriter *writer, const MhJob *job)
{
  for (guint i = 0; i < job->waiters->len;)
    {
      MhWaiter waiter = g_array_index (job->waiters, MhWaiter, i);
      if (!may_be_told (job, waiter.verb))
        {
          i++;
          continue;
        }
      g_array_remove_index (job->waiters, i);
      MhAction *action = mh_runtime_act (writer->runtime, MH_ACTION_ANSWER_USER, waiter.id);
      mh_job_fill_answer (job, &action->answer);
      action->answer.status = waiter.verb == MH_USER_SUBMIT ? 201 : 200;
    }
}

static void
answer_all_waiters (MhRecordWriter *writer, const MhJob *job, const MhUserResponse *answer)
{
  for (guint i = 0; i < job->waiters->len; i++)
    {
      guint64 id = g_array_index (job->waiters, MhWaiter, i).id;
      mh_runtime_act (writer->runtime, MH_ACTION_ANSWER_USER, id)->answer = *answer;
    }
  g_array_set_size (job->waiters, 0);
}

/* ---- applied ---- */

static const char *
shape_name (MhShape shape)
{
  switch (shape)
    {
    case MH_SHAPE_SERVICE:
      return "service";
    case MH_SHAPE_GANG:
      return "gang";
    default:
      return "array";
    }
}

static void
accept_job (MhRecordWriter *writer, MhJob *job)
{
  if (job->accepted)
    return;
  job->accepted = true;
  writer->callbacks->job_accepted (writer->owner, job);
  gint64 waited_us = mh_runtime_now_us (writer->runtime) - job->submitted_us;
  mh_log_info (writer->runtime,
               "job accepted job=%s after_ms=%d shape=%s tasks=%u team=%s class=%s", job->spec->id,
               (int)(waited_us / 1000), shape_name (job->spec->shape), job->spec->tasks,
               job->spec->team, job->spec->class_name);
}

/* The final record is durable: memory keeps only the answer. */
static void
finish_job (MhRecordWriter *writer, MhJob *job, bool cancelled)
{
  MhUserResponse answer = { .status = 200 };
  job->completion = MH_COMPLETION_DURABLE;
  job->final_state = cancelled ? MH_JOB_CANCELLED : MH_JOB_DONE;
  guint deleted = mh_batch_deleted_with_final (job, mh_runtime_settings (writer->runtime));
  for (guint i = deleted + 1; i < job->n_records; i++)
    if (job->records[i].version)
      g_queue_push_tail (&writer->keys_to_delete, mh_record_key (job->spec->id, i));
  answer_waiters (writer, job);
  mh_log_info (writer->runtime, "job over job=%s state=%s", job->spec->id,
               cancelled ? "cancelled" : "done");
  mh_job_fill_answer (job, &answer);
  writer->callbacks->job_over (writer->owner, job, &answer);
  mh_record_writer_remove_job (writer, job);
}

static void
finish_rechunk (MhRecordWriter *writer, MhJob *job)
{
  mh_log_info (writer->runtime, "job re-chunked job=%s records=%u", job->spec->id, job->n_records);
  mh_rechunk_finish (job);
  for (guint i = 0; i < job->n_records; i++)
    {
      MhRecord *record = &job->records[i];
      if (mh_record_has_unwritten_changes (record) && !mh_record_state_is_writing (record->state))
        mh_record_writer_apply (writer, record, MH_RECORD_REQUEUED, MH_URGENCY_START);
    }
  writer->callbacks->job_rechunked (writer->owner, job);
}

/* What was waiting for the record to be durable may be sent now. */
static void
tell_attempts_recorded (MhRecordWriter *writer, const MhRecord *record)
{
  MhJob *job = record->job;
  guint first = record->chunk * job->chunk;
  guint end = MIN (first + job->chunk, job->spec->tasks);
  writer->callbacks->attempts_recorded (writer->owner, job, first, end);
}

static void
running_record_written (MhRecordWriter *writer, const MhRecordWrite *write)
{
  MhRecord *record = write->record;
  MhJob *job = record->job;
  record->write_alone = false;
  if (mh_rechunk_is_pending (job) && record->chunk)
    {
      mh_record_writer_apply (writer, record, MH_RECORD_STAGED, record->requeue_urgency);
      return;
    }
  mh_record_writer_apply (writer, record, MH_RECORD_WRITTEN, record->requeue_urgency);
  if (mh_rechunk_is_pending (job))
    finish_rechunk (writer, job);
  record->durable_revision = write->revision;
  tell_attempts_recorded (writer, record);
  if (record->chunk == 0)
    {
      accept_job (writer, job);
      if (write->cancelled)
        job->cancellation = MH_CANCELLATION_DURABLE;
      answer_waiters (writer, job);
    }
  if (mh_record_has_unwritten_changes (record))
    mh_record_writer_apply (writer, record, MH_RECORD_REQUEUED, record->requeue_urgency);
}

static void
take_applied (gpointer data, guint64 version)
{
  const MhWrittenBatch *written = data;
  MhRecordWriter *writer = written->writer;
  transaction_over (written);
  writer->limits_durable |= written->has_limits;
  for (guint i = 0; i < written->writes->len; i++)
    {
      const MhRecordWrite *write = write_at (written, i);
      MhRecord *record = write->record;
      record->version = version;
      record->rechunked_revision = write->revision;
      if (write->is_final)
        {
          accept_job (writer, record->job);
          finish_job (writer, record->job, write->cancelled);
        }
      else
        running_record_written (writer, write);
    }
}

/* ---- conflict ---- */

static void
read_final (MhRecordWriter *writer, const char *id);

/* A submission met a job that was over before: the user repeats himself. */
static void
take_final (gpointer owner, gpointer data, const MhReply *reply)
{
  MhRecordWriter *writer = owner;
  const char *id = data;
  MhJob *job = g_hash_table_lookup (writer->jobs, id);
  if (job == NULL)
    return;
  if (reply->status != 200 && reply->status != 404)
    {
      read_final (writer, id);
      return;
    }
  MhUserResponse answer = { .status = 503, .retry_after_s = 1 };
  MhKvEntry *entry = reply->status == 200 ? mh_kv_entry_decode (reply->body, NULL) : NULL;
  bool is_final = entry && mh_record_read_final (entry->value, &answer, NULL);
  mh_kv_entry_free (entry);
  answer_all_waiters (writer, job, &answer);
  if (is_final)
    writer->callbacks->job_over (writer->owner, job, &answer);
  mh_record_writer_remove_job (writer, job);
  if (!is_final)
    end_leadership (writer, MH_LOSS_RECORD_DIFFERS);
}

static void
read_final (MhRecordWriter *writer, const char *id)
{
  g_autofree char *key = mh_record_final_key (id);
  const MhCallOptions options = { .class = MH_CALL_WORK,
                                  .timeout_us = CALL_TIMEOUT_US,
                                  .func = take_final,
                                  .owner = writer,
                                  .data = g_strdup (id),
                                  .free_data = g_free };
  mh_call_queue_add (writer->calls, mh_kv_request_get (key), &options);
}

/* NULL: the key is of no job in memory, or of a further record. */
static MhJob *
job_of_key (const MhRecordWriter *writer, const char *key)
{
  const char *slash = strchr (key, '/');
  return slash ? g_hash_table_lookup (writer->jobs, slash + 1) : NULL;
}

/* A submission in it met the final record of its job, which is for ever: no copy of the transaction
   was or will be applied. */
static bool
conflict_is_final (gconstpointer data, char **failed_keys)
{
  const MhWrittenBatch *written = data;
  for (char **key = failed_keys; key && *key; key++)
    {
      const MhJob *job
          = g_str_has_prefix (*key, MH_RECORD_FINALS) ? job_of_key (written->writer, *key) : NULL;
      if (job && !job->accepted)
        return true;
    }
  return false;
}

/* A submission is not written again until a read has told what it met. */
static bool
is_repeated_submission (MhRecordWriter *writer, const char *key)
{
  MhJob *job = job_of_key (writer, key);
  if (job == NULL || job->accepted || !mh_record_state_is_writing (job->records[0].state))
    return false;
  mh_record_writer_apply (writer, &job->records[0], MH_RECORD_CONFLICTED, MH_URGENCY_START);
  read_final (writer, job->spec->id);
  return true;
}

/* Repeated submissions are the only conflict that a leader may meet. */
static void
take_conflict (gpointer data, char **failed_keys)
{
  const MhWrittenBatch *written = data;
  MhRecordWriter *writer = written->writer;
  transaction_over (written);
  bool explained = false;
  for (char **key = failed_keys; key && *key; key++)
    {
      if (strcmp (*key, MH_LEADER_KEY) == 0)
        {
          end_leadership (writer, MH_LOSS_ANOTHER_LEADER);
          return;
        }
      explained = is_repeated_submission (writer, *key);
      if (!explained)
        break;
    }
  if (!explained)
    end_leadership (writer, MH_LOSS_RECORD_CHANGED);
  for (guint i = 0; i < written->writes->len; i++)
    {
      MhRecord *record = write_at (written, i)->record;
      if (record->state != MH_RECORD_IN_DOUBT)
        mh_record_writer_apply (writer, record, MH_RECORD_NOT_WRITTEN, MH_URGENCY_START);
    }
}

static void
take_unaccounted (gpointer data)
{
  const MhWrittenBatch *written = data;
  end_leadership (written->writer, MH_LOSS_WRITE_OUTCOME_UNKNOWN);
}

/* ---- malformed ---- */

/* A submission that the store will not keep is not accepted; a job that was accepted, under other
   limits, stays as its records say. */
static void
reject_record (MhRecordWriter *writer, MhRecord *record, bool maybe_applied)
{
  MhJob *job = record->job;
  bool accepted = job->accepted || maybe_applied;
  mh_runtime_log (
      writer->runtime, G_LOG_LEVEL_CRITICAL,
      "record refused by the key-value store job=%s record=%u reason=malformed_or_too_large"
      " outcome=%s",
      job->spec->id, record->chunk, accepted ? "retried_later" : "job_not_accepted");
  const MhUserResponse later
      = { .status = 503, .retry_after_s = (guint)(RETRY_REFUSED_US / MH_SECOND_US) };
  answer_all_waiters (writer, job, &later);
  if (!accepted)
    {
      mh_record_writer_remove_job (writer, job);
      return;
    }
  record->refused_until_us = mh_runtime_now_us (writer->runtime) + RETRY_REFUSED_US;
  mh_record_writer_apply (writer, record, MH_RECORD_REJECTED, MH_URGENCY_START);
}

/* One of the values, or the whole, is more than the store takes. Each record is tried alone; what
   is refused then too must neither end the leadership, which would only meet it again, nor be sent
   again at once. */
static void
take_malformed (gpointer data, bool maybe_applied)
{
  const MhWrittenBatch *written = data;
  transaction_over (written);
  for (guint i = 0; i < written->writes->len; i++)
    {
      MhRecord *record = write_at (written, i)->record;
      if (record->write_alone)
        reject_record (written->writer, record, maybe_applied);
      else
        {
          record->write_alone = true;
          mh_record_writer_apply (written->writer, record, MH_RECORD_NOT_WRITTEN, MH_URGENCY_START);
        }
    }
}

const MhTransactionCallbacks *
mh_written_batch_callbacks (void)
{
  static const MhTransactionCallbacks callbacks = { .call_class = call_class,
                                                    .conflict_is_final = conflict_is_final,
                                                    .applied = take_applied,
                                                    .conflict = take_conflict,
                                                    .malformed = take_malformed,
                                                    .unaccounted = take_unaccounted };
  return &callbacks;
}
