/* Re-chunking.

   A job that was written in larger records than are taken now, or will be from some unknown moment,
   is written in smaller ones before anything else of it is. The new records that replace no old one
   go first. Nobody looks at those: the first record still tells of the old layout. Then the first
   one and those in the place of old ones go in one transaction, and from then on the new layout
   holds. Until then nothing of the job counts as on record that was not before: no start is
   ordered, no result cleared, no cancellation confirmed. What is known of a task is read wherever
   it stands, first found first taken, so that a leader that ends in between leaves nothing that
   misleads. */
#include "controller/core-private.h"

/* Those that go together with the first; more old ones than a transaction takes are replaced one by
   one, from the last. */
guint
mh_rechunk_companions (const MhCore *core, const MhJob *job)
{
  return MIN (job->unchunked_records, core->settings->txn_ops);
}

bool
mh_rechunk_may_write (const MhCore *core, const MhRecord *r)
{
  const MhJob *job = r->job;
  guint first = mh_rechunk_companions (core, job);
  if (r->rechunked_rev || (r->chunk && r->chunk < first))
    return false;
  /* One in the place of an old one: what that held must be in the others, and durable. */
  for (guint i = r->chunk < job->unchunked_records ? MAX (r->chunk + 1, first) : job->n_records;
       i < job->n_records; i++)
    if (job->records[i].rechunked_rev == 0)
      return false;
  return true;
}

void
mh_rechunk_finished (MhCore *core, MhJob *job)
{
  mh_info (core, "job %s: re-chunked into %u records", job->spec->id, job->n_records);
  job->unchunked_records = 0;
  for (guint i = 0; i < job->n_records; i++)
    {
      MhRecord *r = &job->records[i];
      r->durable = MAX (r->durable, r->rechunked_rev);
      if (r->rev > r->durable && !r->writing)
        mh_store_enqueue (core, r, MH_URGENCY_START);
    }
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_machine_schedule_commands (core->cluster, job->tasks[i].live->machine);
}

static bool
has_attempts (const MhJob *job, guint chunk)
{
  guint end = MIN ((chunk + 1) * job->chunk, job->spec->tasks);
  for (guint i = chunk * job->chunk; i < end; i++)
    if (job->tasks[i].attempt)
      return true;
  return false;
}

void
mh_rechunk_begin (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->n_records; i++)
    if (i < job->unchunked_records || has_attempts (job, i))
      mh_store_touch (core, &job->records[i], MH_URGENCY_START);
    else
      job->records[i].rechunked_rev = 1; /* below every rev that is given from now on */
}
