#include "storage/batch.h"

#include "storage/rechunk.h"

/* Limits the size of a transaction, counted as JSON. It is below the 64 KiB that the key-value
   store accepts. */
#define MAX_TRANSACTION_BYTES ((gsize)57344)
/* Upper bound of the size of one change and its conditions, without the value. */
#define CHANGE_OVERHEAD_BYTES 300u
/* Limits the records that are deleted in the transaction that writes a job's final record; the
   others are deleted later. */
#define MAX_DELETED_WITH_FINAL 6u
/* The changes that store the final record and delete the job's first one. */
#define FINAL_RECORD_CHANGES 2u

struct MhBatch
{
  MhTransaction *transaction;
  GArray *writes; /* MhRecordWrite */
  const MhSettings *settings;
  MhMachineNameFunc machine_name;
  guint max_changes;
  gsize bytes;       /* upper bound of the size as JSON */
  bool is_exclusive; /* its record must be written alone */
};

MhBatch *
mh_batch_new (MhTransaction *transaction, GArray *writes, const MhSettings *settings,
              MhMachineNameFunc machine_name, guint max_changes)
{
  MhBatch *batch = g_new0 (MhBatch, 1);
  batch->transaction = transaction;
  batch->writes = writes;
  batch->settings = settings;
  batch->machine_name = machine_name;
  batch->max_changes = max_changes;
  return batch;
}

void
mh_batch_free (MhBatch *batch)
{
  g_free (batch);
}

guint
mh_batch_count_deleted_with_final (const MhJob *job, const MhSettings *settings)
{
  if (job->records[0].write_alone)
    return 0;
  guint max_deleted = settings->txn_ops - FINAL_RECORD_CHANGES;
  return MIN (job->n_records - 1, MIN (MAX_DELETED_WITH_FINAL, max_deleted));
}

bool
mh_batch_is_full (const MhBatch *batch)
{
  return batch->is_exclusive || mh_transaction_changes (batch->transaction) >= batch->max_changes;
}

static bool
replaces_layout (const MhRecord *record)
{
  return mh_rechunk_is_pending (record->job) && !mh_job_has_ended (record->job)
         && record->chunk == 0;
}

static guint
count_needed_changes (const MhBatch *batch, const MhRecord *record)
{
  if (mh_job_has_ended (record->job))
    return FINAL_RECORD_CHANGES + mh_batch_count_deleted_with_final (record->job, batch->settings);
  if (replaces_layout (record))
    return mh_rechunk_count_atomic (record->job, batch->settings->txn_ops);
  return 1;
}

/* Lists the write, and adds the condition that `key` still has the version that is known here. */
static void
add_write (MhBatch *batch, MhRecord *record, const char *key, const MhValue *value)
{
  const MhJob *job = record->job;
  batch->bytes += mh_value_json_size (value) + CHANGE_OVERHEAD_BYTES;
  mh_transaction_add_condition (batch->transaction, key, record->version);
  MhRecordWrite write = { .record = record,
                          .revision = record->revision,
                          .is_final = mh_job_has_ended (job),
                          .cancelled = mh_job_is_cancelled (job) };
  g_array_append_val (batch->writes, write);
}

static void
add_replaced_records (MhBatch *batch, MhJob *job)
{
  guint n_atomic = mh_rechunk_count_atomic (job, batch->settings->txn_ops);
  for (guint i = 1; i < n_atomic; i++)
    {
      MhRecord *record = &job->records[i];
      const char *tag = mh_transaction_tag (batch->transaction);
      g_autoptr (MhValue) value = mh_record_write (record, tag, batch->machine_name);
      g_autofree char *key = mh_record_key (job->spec->id, i);
      add_write (batch, record, key, value);
      mh_transaction_put (batch->transaction, key, value);
    }
}

/* A record that creates a job is written only if no final record exists from an earlier job with
   the same id. */
static void
add_running_record (MhBatch *batch, MhRecord *record, MhValue *value)
{
  MhJob *job = record->job;
  g_autofree char *key = mh_record_key (job->spec->id, record->chunk);
  add_write (batch, record, key, value);
  mh_transaction_put_tagged (batch->transaction, key, value);
  if (record->chunk == 0 && record->version == 0)
    {
      g_autofree char *final_key = mh_record_final_key (job->spec->id);
      mh_transaction_add_condition (batch->transaction, final_key, 0);
    }
  if (replaces_layout (record))
    add_replaced_records (batch, job);
}

/* The final record replaces the job's first record and as many of the others as fit. */
static void
add_final_record (MhBatch *batch, MhRecord *record, MhValue *value)
{
  const MhJob *job = record->job;
  g_autofree char *key = mh_record_key (job->spec->id, 0);
  g_autofree char *final_key = mh_record_final_key (job->spec->id);
  add_write (batch, record, key, value);
  mh_transaction_put_tagged (batch->transaction, final_key, value);
  mh_transaction_add_condition (batch->transaction, final_key, 0);
  if (record->version)
    mh_transaction_delete (batch->transaction, key);
  guint deleted = mh_batch_count_deleted_with_final (job, batch->settings);
  for (guint i = 1; i <= deleted; i++)
    if (job->records[i].version)
      {
        g_autofree char *chunk_key = mh_record_key (job->spec->id, i);
        mh_transaction_delete (batch->transaction, chunk_key);
      }
}

bool
mh_batch_add (MhBatch *batch, MhRecord *record)
{
  guint changes = mh_transaction_changes (batch->transaction);
  if (changes
      && (record->write_alone
          || changes + count_needed_changes (batch, record) > batch->max_changes))
    return false;
  const MhJob *job = record->job;
  const char *tag = mh_transaction_tag (batch->transaction);
  g_autoptr (MhValue) value = mh_job_has_ended (job)
                                  ? mh_record_write_final (job, tag)
                                  : mh_record_write (record, tag, batch->machine_name);
  gsize bytes = batch->bytes + mh_value_json_size (value) + CHANGE_OVERHEAD_BYTES;
  if (changes && bytes > MAX_TRANSACTION_BYTES)
    return false;
  if (mh_job_has_ended (job))
    add_final_record (batch, record, value);
  else
    add_running_record (batch, record, value);
  batch->is_exclusive |= record->write_alone;
  return true;
}
