/* Handles the outcomes of the writer's transactions. */
#include "storage/record-writer-private.h"

#include "election/leader-record.h"
#include "storage/rechunk.h"
#include "storage/repeated-submission.h"
#include "storage/waiter-response.h"

#include <string.h>

static MhRecordWrite *
get_write (const MhSentBatch *sent, guint index)
{
  return &g_array_index (sent->writes, MhRecordWrite, index);
}

static void
end_transaction (const MhSentBatch *sent)
{
  sent->writer->in_flight--;
  if (sent->has_limits)
    sent->writer->limits_in_flight = false;
}

static void
end_leadership (MhRecordWriter *writer, MhLossReason reason)
{
  writer->callbacks->leadership_lost (writer->owner, reason);
}

/* A transaction that writes a new cancellation is more urgent, because a user waits for it. */
static MhCallClass
get_call_class (gconstpointer data)
{
  const MhSentBatch *sent = data;
  for (guint i = 0; i < sent->writes->len; i++)
    {
      const MhJob *job = get_write (sent, i)->record->job;
      if (mh_job_is_cancelled (job) && !mh_job_is_cancel_durable (job))
        return MH_CALL_SAFETY;
    }
  return MH_CALL_WORK;
}

/* ---- applied transactions ---- */

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

/* The final record is durable: the job is removed from memory, and only the response is kept. */
static void
finish_job (MhRecordWriter *writer, MhJob *job, bool cancelled)
{
  MhUserResponse response = { .status = 200 };
  job->completion = MH_COMPLETION_DURABLE;
  job->final_state = cancelled ? MH_JOB_CANCELLED : MH_JOB_DONE;
  guint deleted = mh_batch_count_deleted_with_final (job, mh_runtime_settings (writer->runtime));
  for (guint i = deleted + 1; i < job->n_records; i++)
    if (job->records[i].version)
      g_queue_push_tail (&writer->keys_to_delete, mh_record_key (job->spec->id, i));
  mh_waiter_response_send_durable (writer->runtime, job);
  mh_log_info (writer->runtime, "job ended job=%s state=%s", job->spec->id,
               cancelled ? "cancelled" : "done");
  mh_job_fill_response (job, &response);
  writer->callbacks->job_ended (writer->owner, job, &response);
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
        mh_record_writer_apply_event (writer, record, MH_RECORD_REQUEUED, MH_URGENCY_START);
    }
  writer->callbacks->job_rechunked (writer->owner, job);
}

/* Starts that had to wait until the record was durable may be sent now. */
static void
notify_attempts_recorded (MhRecordWriter *writer, const MhRecord *record)
{
  MhJob *job = record->job;
  guint first = record->chunk * job->tasks_per_record;
  guint end = MIN (first + job->tasks_per_record, job->spec->tasks);
  writer->callbacks->attempts_recorded (writer->owner, job, first, end);
}

static void
handle_running_record_written (MhRecordWriter *writer, const MhRecordWrite *write)
{
  MhRecord *record = write->record;
  MhJob *job = record->job;
  record->write_alone = false;
  if (mh_rechunk_is_pending (job) && record->chunk)
    {
      mh_record_writer_apply_event (writer, record, MH_RECORD_STAGED, record->requeue_urgency);
      return;
    }
  mh_record_writer_apply_event (writer, record, MH_RECORD_WRITTEN, record->requeue_urgency);
  if (mh_rechunk_is_pending (job))
    finish_rechunk (writer, job);
  record->durable_revision = write->revision;
  notify_attempts_recorded (writer, record);
  if (record->chunk == 0)
    {
      accept_job (writer, job);
      if (write->cancelled)
        job->cancellation = MH_CANCELLATION_DURABLE;
      mh_waiter_response_send_durable (writer->runtime, job);
    }
  if (mh_record_has_unwritten_changes (record))
    mh_record_writer_apply_event (writer, record, MH_RECORD_REQUEUED, record->requeue_urgency);
}

static void
on_applied (gpointer data, guint64 version)
{
  const MhSentBatch *sent = data;
  MhRecordWriter *writer = sent->writer;
  end_transaction (sent);
  writer->limits_durable |= sent->has_limits;
  for (guint i = 0; i < sent->writes->len; i++)
    {
      const MhRecordWrite *write = get_write (sent, i);
      MhRecord *record = write->record;
      record->version = version;
      record->rechunked_revision = write->revision;
      if (write->is_final)
        {
          accept_job (writer, record->job);
          finish_job (writer, record->job, write->cancelled);
        }
      else
        handle_running_record_written (writer, write);
    }
}

/* ---- conflicts ---- */

static bool
conflict_proves_not_applied (gconstpointer data, char **failed_keys)
{
  const MhSentBatch *sent = data;
  return mh_repeated_submission_is_proven (sent->writer, failed_keys);
}

/* A leader may see conflicts on repeated submissions only. Any other conflict shows that another
   controller has written, and ends the leadership. */
static void
on_conflict (gpointer data, char **failed_keys)
{
  const MhSentBatch *sent = data;
  MhRecordWriter *writer = sent->writer;
  end_transaction (sent);
  bool is_repeat = false;
  for (char **key = failed_keys; key && *key; key++)
    {
      if (strcmp (*key, MH_LEADER_KEY) == 0)
        {
          end_leadership (writer, MH_LOSS_ANOTHER_LEADER);
          return;
        }
      is_repeat = mh_repeated_submission_handle_conflict (writer, *key);
      if (!is_repeat)
        break;
    }
  if (!is_repeat)
    end_leadership (writer, MH_LOSS_RECORD_CHANGED);
  for (guint i = 0; i < sent->writes->len; i++)
    {
      MhRecord *record = get_write (sent, i)->record;
      if (record->state != MH_RECORD_IN_DOUBT)
        mh_record_writer_apply_event (writer, record, MH_RECORD_NOT_WRITTEN, MH_URGENCY_START);
    }
}

static void
on_outcome_unknown (gpointer data)
{
  const MhSentBatch *sent = data;
  end_leadership (sent->writer, MH_LOSS_WRITE_OUTCOME_UNKNOWN);
}

/* ---- refused transactions ---- */

/* The waiters of a job that is not accepted have submitted it. It may be one that has ended. */
static void
respond_to_refused_waiters (MhRecordWriter *writer, MhJob *job)
{
  const MhUserResponse retry_response
      = { .status = 503, .retry_after_s = MH_REFUSED_RECORD_RETRY_S };
  if (job->accepted)
    {
      mh_waiter_response_send_all (writer->runtime, job, &retry_response);
      return;
    }
  writer->callbacks->submission_refused (writer->owner, job);
  g_array_set_size (job->waiters, 0);
}

/* A submission that the store refuses is not accepted, and its job is removed. A job that was
   accepted earlier, under other limits, or that an earlier request may have stored keeps its stored
   records; the refused record is written again later. */
static void
reject_record (MhRecordWriter *writer, MhRecord *record, bool may_be_applied)
{
  MhJob *job = record->job;
  bool accepted = job->accepted || may_be_applied;
  mh_runtime_log (
      writer->runtime, G_LOG_LEVEL_CRITICAL,
      "record refused by the key-value store job=%s record=%u reason=malformed_or_too_large"
      " outcome=%s",
      job->spec->id, record->chunk, accepted ? "retried_later" : "job_not_accepted");
  respond_to_refused_waiters (writer, job);
  if (!accepted)
    {
      mh_record_writer_remove_job (writer, job);
      return;
    }
  record->refused_until_us
      = mh_runtime_now_us (writer->runtime) + MH_REFUSED_RECORD_RETRY_S * MH_SECOND_US;
  mh_record_writer_apply_event (writer, record, MH_RECORD_REJECTED, MH_URGENCY_START);
}

/* One of the values, or the transaction as a whole, is larger than the store accepts. Each record
   is written again in a transaction of one record. A record that is refused then must not end the
   leadership, because the next leader would be refused the same record, and must not be sent again
   at once. */
static void
on_malformed (gpointer data, bool may_be_applied)
{
  const MhSentBatch *sent = data;
  end_transaction (sent);
  for (guint i = 0; i < sent->writes->len; i++)
    {
      MhRecord *record = get_write (sent, i)->record;
      if (record->write_alone)
        reject_record (sent->writer, record, may_be_applied);
      else
        {
          record->write_alone = true;
          mh_record_writer_apply_event (sent->writer, record, MH_RECORD_NOT_WRITTEN,
                                        MH_URGENCY_START);
        }
    }
}

/* Each record is written again in a transaction of one record. */
static void
on_exceeds_rate (gpointer data)
{
  const MhSentBatch *sent = data;
  end_transaction (sent);
  for (guint i = 0; i < sent->writes->len; i++)
    {
      MhRecord *record = get_write (sent, i)->record;
      record->write_alone = true;
      mh_record_writer_apply_event (sent->writer, record, MH_RECORD_NOT_WRITTEN, record->urgency);
    }
}

const MhTransactionCallbacks *
mh_sent_batch_callbacks (void)
{
  static const MhTransactionCallbacks callbacks
      = { .call_class = get_call_class,
          .conflict_proves_not_applied = conflict_proves_not_applied,
          .applied = on_applied,
          .conflict = on_conflict,
          .malformed = on_malformed,
          .exceeds_rate = on_exceeds_rate,
          .outcome_unknown = on_outcome_unknown };
  return &callbacks;
}
