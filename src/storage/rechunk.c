#include "storage/rechunk.h"

/* Counts as written, and is below every revision that is given from then on. */
#define REVISION_OF_EMPTY_RECORD 1u

bool
mh_rechunk_is_pending (const MhJob *job)
{
  return job->n_old_layout_records > 0;
}

guint
mh_rechunk_together (const MhJob *job, guint max_changes)
{
  return MIN (job->n_old_layout_records, max_changes);
}

bool
mh_rechunk_may_write (const MhRecord *record, guint max_changes)
{
  const MhJob *job = record->job;
  guint together = mh_rechunk_together (job, max_changes);
  if (record->rechunked_revision || (record->chunk && record->chunk < together))
    return false;
  /* One in the place of an old one: what that held must be in the others, and durable. */
  bool replaces = record->chunk < job->n_old_layout_records;
  guint first_before = replaces ? MAX (record->chunk + 1, together) : job->n_records;
  for (guint i = first_before; i < job->n_records; i++)
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
