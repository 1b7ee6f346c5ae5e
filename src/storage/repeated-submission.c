#include "storage/repeated-submission.h"

#include "protocol/key-value-messages.h"
#include "storage/record-writer-private.h"
#include "storage/record.h"
#include "storage/waiter-response.h"

#include <string.h>

#define READ_TIMEOUT_US MH_SECOND_US

static void
read_final_record (MhRecordWriter *writer, const char *id);

/* Handles the final record that a submission conflicted with. If there is one, the user has
   submitted a job again that had already ended, and gets its final state. If there is none, or it
   is malformed, this leader cannot tell what the submission conflicted with, and its leadership
   ends. */
static void
on_final_record (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhRecordWriter *writer = owner;
  const char *id = data;
  MhJob *job = g_hash_table_lookup (writer->jobs, id);
  if (job == NULL)
    return;
  if (response->status != 200 && response->status != 404)
    {
      read_final_record (writer, id);
      return;
    }
  MhUserResponse final_response = { .status = 503, .retry_after_s = 1 };
  MhKvEntry *entry = response->status == 200 ? mh_kv_entry_decode (response->body, NULL) : NULL;
  bool is_final = entry && mh_record_read_final (entry->value, &final_response, NULL);
  mh_kv_entry_free (entry);
  mh_waiter_response_send_all (writer->runtime, job, &final_response);
  if (is_final)
    writer->callbacks->job_ended (writer->owner, job, &final_response);
  mh_record_writer_remove_job (writer, job);
  if (!is_final)
    writer->callbacks->leadership_lost (writer->owner, MH_LOSS_RECORD_DIFFERS);
}

static void
read_final_record (MhRecordWriter *writer, const char *id)
{
  g_autofree char *key = mh_record_final_key (id);
  const MhCallOptions options = { .class = MH_CALL_WORK,
                                  .timeout_us = READ_TIMEOUT_US,
                                  .func = on_final_record,
                                  .owner = writer,
                                  .data = g_strdup (id),
                                  .free_data = g_free };
  mh_call_queue_add (writer->calls, mh_kv_request_get (key), &options);
}

/* NULL: the key belongs to no job in memory, or is not the key of a job's first or final record. */
static MhJob *
find_job_by_key (const MhRecordWriter *writer, const char *key)
{
  const char *slash = strchr (key, '/');
  return slash ? g_hash_table_lookup (writer->jobs, slash + 1) : NULL;
}

bool
mh_repeated_submission_is_proven (const MhRecordWriter *writer, char **failed_keys)
{
  for (char **key = failed_keys; key && *key; key++)
    {
      const MhJob *job
          = g_str_has_prefix (*key, MH_RECORD_FINALS) ? find_job_by_key (writer, *key) : NULL;
      if (job && !job->accepted)
        return true;
    }
  return false;
}

bool
mh_repeated_submission_handle_conflict (MhRecordWriter *writer, const char *key)
{
  MhJob *job = find_job_by_key (writer, key);
  if (job == NULL || job->accepted || !mh_record_state_is_writing (job->records[0].state))
    return false;
  mh_record_writer_apply_event (writer, &job->records[0], MH_RECORD_CONFLICTED, MH_URGENCY_START);
  read_final_record (writer, job->spec->id);
  return true;
}
