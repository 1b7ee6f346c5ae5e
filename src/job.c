#include "core-private.h"

/* 64 entries of some 30 characters and the largest spec that is accepted fit the smallest values
   that a deployment offers (8 KiB). */
#define CHUNK_TASKS 64u

guint
mh_job_chunk (void)
{
  return CHUNK_TASKS;
}

MhJob *
mh_job_new (MhJobSpec *spec, gint64 submitted_wall_us, const MhNow *now)
{
  MhJob *job = g_new0 (MhJob, 1);
  job->spec = spec;
  job->submitted_wall_us = submitted_wall_us;
  job->submitted_us = now->mono_us - MAX (0, now->wall_us - submitted_wall_us);
  job->tasks = g_new0 (MhTask, spec->tasks);
  job->n_records = (spec->tasks + CHUNK_TASKS - 1) / CHUNK_TASKS;
  job->records = g_new0 (MhRecord, job->n_records);
  for (guint i = 0; i < job->n_records; i++)
    {
      job->records[i].job = job;
      job->records[i].chunk = i;
    }
  job->waiters = g_array_new (FALSE, FALSE, sizeof (MhWaiter));
  return job;
}

void
mh_job_free (MhJob *job)
{
  mh_job_spec_free (job->spec);
  g_free (job->tasks);
  g_free (job->records);
  g_array_unref (job->waiters);
  g_free (job);
}

MhRecord *
mh_job_record (MhJob *job, guint index)
{
  return &job->records[index / CHUNK_TASKS];
}

guint
mh_job_pending (const MhJob *job)
{
  return job->spec->tasks - job->n_done - job->n_live;
}

bool
mh_job_over (const MhJob *job)
{
  return job->cancelled || job->finished || job->n_done == job->spec->tasks;
}

/* What a task needs to save when it is stopped; one without checkpoints ends at once. */
gint64
mh_job_grace_us (const MhJob *job)
{
  return job->spec->checkpoint_us > 0 ? job->spec->save_us : 0;
}

/* Only what is durable may be told: an answer that a successor would take back is never given. */
void
mh_job_answer (const MhJob *job, MhUserAnswer *a)
{
  a->done = job->n_done;
  a->running = job->n_running;
  if (job->final)
    {
      a->state = job->final_state;
      a->running = 0;
    }
  else if (job->cancel_durable)
    a->state = MH_JOB_CANCELLED;
  else
    a->state = job->n_running ? MH_JOB_RUNNING : MH_JOB_PENDING;
}
