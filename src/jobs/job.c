#include "controller/core-private.h"

/* Of a record, in JSON: a task, with a machine's name of sixteen characters, and what is neither
   job nor task. A record that turns out larger is re-chunked. */
#define TASK_JSON ((gsize)40)
#define RECORD_JSON 200u
#define LEAST_CHUNK 16u
/* A larger record would be written whole for ever smaller parts of it. */
#define LARGEST_CHUNK 512u

guint
mh_job_chunk (const MhJobSpec *spec, guint value_bytes)
{
  g_autoptr (MhValue) v = mh_submission_encode (spec);
  gsize used = mh_value_json_size (v) + RECORD_JSON;
  if (used + LEAST_CHUNK * TASK_JSON > value_bytes)
    return 0;
  return (guint)MIN ((value_bytes - used) / TASK_JSON, LARGEST_CHUNK);
}

MhJob *
mh_job_new (MhJobSpec *spec, guint chunk, guint value_bytes, gint64 submitted_wall_us,
            const MhNow *now)
{
  MhJob *job = g_new0 (MhJob, 1);
  job->spec = spec;
  job->image = g_ref_string_new_intern (spec->image);
  job->zone = spec->zone ? g_ref_string_new_intern (spec->zone) : NULL;
  job->submitted_wall_us = submitted_wall_us;
  job->submitted_us = now->mono_us - MAX (0, now->wall_us - submitted_wall_us);
  job->tasks = g_new0 (MhTask, spec->tasks);
  job->chunk = chunk ? chunk : MAX (mh_job_chunk (spec, value_bytes), LEAST_CHUNK);
  job->n_records = (spec->tasks + job->chunk - 1) / job->chunk;
  job->records = g_new0 (MhRecord, job->n_records);
  for (guint i = 0; i < job->n_records; i++)
    {
      job->records[i].job = job;
      job->records[i].chunk = i;
      job->records[i].again = MH_URGENCY_PROGRESS;
    }
  job->waiters = g_array_new (FALSE, FALSE, sizeof (MhWaiter));
  return job;
}

void
mh_job_free (MhJob *job)
{
  mh_job_spec_free (job->spec);
  g_ref_string_release (job->image);
  g_clear_pointer (&job->zone, g_ref_string_release);
  g_free (job->tasks);
  g_free (job->records);
  g_array_unref (job->waiters);
  mh_job_failures_clear (&job->failures);
  g_free (job);
}

MhRecord *
mh_job_record (MhJob *job, guint index)
{
  return &job->records[index / job->chunk];
}

bool
mh_job_is_gang (const MhJob *job)
{
  return job->spec->shape == MH_SHAPE_GANG;
}

bool
mh_job_backs_off (const MhJob *job)
{
  return job->failures.back_off_level > 0;
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
  return job->spec->checkpoint_interval_us > 0 ? job->spec->checkpoint_save_us : 0;
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
