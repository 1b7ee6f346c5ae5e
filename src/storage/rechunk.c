#include "storage/rechunk.h"

/* The revision of an empty record that need not be written. It is not 0, which stands for a record
   that is not stored, and is below the revision of every later change of the record. */
#define REVISION_OF_EMPTY_RECORD 1u

bool
mh_rechunk_is_pending (const MhJob *job)
{
  return job->n_old_layout_records > 0;
}

guint
mh_rechunk_count_atomic (const MhJob *job, guint max_changes)
{
  return MIN (job->n_old_layout_records, max_changes);
}

bool
mh_rechunk_may_write (const MhRecord *record, guint max_changes)
{
  const MhJob *job = record->job;
  guint n_atomic = mh_rechunk_count_atomic (job, max_changes);
  if (record->rechunked_revision || (record->chunk && record->chunk < n_atomic))
    return false;
  /* A record that replaces an old one may be written only when the tasks that the old one held
     beyond the new one's are durable in the records after it. */
  bool replaces_old = record->chunk < job->n_old_layout_records;
  guint first_required = replaces_old ? MAX (record->chunk + 1, n_atomic) : job->n_records;
  for (guint i = first_required; i < job->n_records; i++)
    if (job->records[i].rechunked_revision == 0)
      return false;
  return true;
}

static bool
has_attempts (const MhJob *job, guint chunk)
{
  guint end = MIN ((chunk + 1) * job->tasks_per_record, job->spec->tasks);
  for (guint i = chunk * job->tasks_per_record; i < end; i++)
    if (job->tasks[i].attempt)
      return true;
  return false;
}

bool
mh_rechunk_prepare (MhRecord *record)
{
  if (record->chunk < record->job->n_old_layout_records
      || has_attempts (record->job, record->chunk))
    return true;
  record->rechunked_revision = REVISION_OF_EMPTY_RECORD;
  return false;
}

void
mh_rechunk_finish (MhJob *job)
{
  job->n_old_layout_records = 0;
  for (guint i = 0; i < job->n_records; i++)
    {
      MhRecord *record = &job->records[i];
      record->durable_revision = MAX (record->durable_revision, record->rechunked_revision);
    }
}
