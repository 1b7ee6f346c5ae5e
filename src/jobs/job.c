#include "jobs/job.h"

#include "base/time-units.h"
#include "protocol/cloud-messages.h"
#include "protocol/user-messages.h"

/* Estimated size of a task's entry in a record, in JSON, with a machine name of sixteen characters.
   A stored job whose records hold more tasks than fit by this estimate is re-chunked when it is
   loaded. */
#define TASK_JSON_BYTES ((gsize)40)
/* Estimated size of a record without the job and its tasks, in JSON. */
#define RECORD_OVERHEAD_JSON_BYTES 200u
/* A job is too large if its first record has room for fewer tasks than this. */
#define MIN_TASKS_PER_RECORD 16u
/* Bounds the size of a record, since a change of one task writes the whole record. */
#define MAX_TASKS_PER_RECORD 512u
/* Tolerance for the rounding errors of sums of fractional cpus or GB. */
#define RESOURCE_EPSILON 1e-6

guint
mh_job_tasks_per_record (const MhJobSpec *spec, guint value_bytes)
{
  g_autoptr (MhValue) submission = mh_submission_encode (spec);
  gsize used = mh_value_json_size (submission) + RECORD_OVERHEAD_JSON_BYTES;
  if (used + MIN_TASKS_PER_RECORD * TASK_JSON_BYTES > value_bytes)
    return 0;
  return (guint)MIN ((value_bytes - used) / TASK_JSON_BYTES, MAX_TASKS_PER_RECORD);
}

static void
create_records (MhJob *job)
{
  job->n_records = (job->spec->tasks + job->tasks_per_record - 1) / job->tasks_per_record;
  job->records = g_new0 (MhRecord, job->n_records);
  for (guint i = 0; i < job->n_records; i++)
    {
      job->records[i].job = job;
      job->records[i].chunk = i;
    }
}

MhJob *
mh_job_new (MhJobSpec *spec, guint tasks_per_record, guint value_bytes, gint64 submitted_wall_us,
            const MhNow *now)
{
  MhJob *job = g_new0 (MhJob, 1);
  job->spec = spec;
  job->image = g_ref_string_new_intern (spec->image);
  job->zone = spec->zone ? g_ref_string_new_intern (spec->zone) : NULL;
  job->submitted_wall_us = submitted_wall_us;
  job->submitted_us = now->mono_us - MAX (0, now->wall_us - submitted_wall_us);
  job->tasks = g_new0 (MhTask, spec->tasks);
  job->tasks_per_record
      = tasks_per_record ? tasks_per_record
                         : MAX (mh_job_tasks_per_record (spec, value_bytes), MIN_TASKS_PER_RECORD);
  create_records (job);
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
  return &job->records[index / job->tasks_per_record];
}

bool
mh_job_backs_off (const MhJob *job)
{
  return job->failures.back_off_level > 0;
}

guint
mh_job_pending_tasks (const MhJob *job)
{
  return job->spec->tasks - job->n_done - job->n_live;
}

bool
mh_job_is_gang (const MhJob *job)
{
  return job->spec->shape == MH_SHAPE_GANG;
}

bool
mh_job_is_cancelled (const MhJob *job)
{
  return job->cancellation != MH_CANCELLATION_NONE;
}

bool
mh_job_is_cancel_durable (const MhJob *job)
{
  return job->cancellation == MH_CANCELLATION_DURABLE;
}

bool
mh_job_has_ended (const MhJob *job)
{
  return job->completion != MH_COMPLETION_NONE;
}

bool
mh_job_is_end_durable (const MhJob *job)
{
  return job->completion == MH_COMPLETION_DURABLE;
}

bool
mh_job_has_no_more_starts (const MhJob *job)
{
  return mh_job_is_cancelled (job) || mh_job_has_ended (job) || job->n_done == job->spec->tasks;
}

gint64
mh_job_grace_us (const MhJob *job)
{
  return job->spec->checkpoint_interval_us > 0 ? job->spec->checkpoint_save_us : 0;
}

void
mh_job_fill_response (const MhJob *job, MhUserResponse *response)
{
  response->done = job->n_done;
  response->running = job->n_running;
  if (mh_job_is_end_durable (job))
    {
      response->state = job->final_state;
      response->running = 0;
    }
  else if (mh_job_is_cancel_durable (job))
    response->state = MH_JOB_CANCELLED;
  else
    response->state = job->n_running ? MH_JOB_RUNNING : MH_JOB_PENDING;
}

bool
mh_job_spec_fits_type (const MhJobSpec *spec, const MhMachineType *type)
{
  if (spec->types && !g_strv_contains ((const char *const *)spec->types, type->name))
    return false;
  if (spec->zone && type->zones && !g_strv_contains ((const char *const *)type->zones, spec->zone))
    return false;
  return spec->cpus <= type->cpus + RESOURCE_EPSILON && spec->gpus <= type->gpus + RESOURCE_EPSILON
         && spec->mem_gb <= type->mem_gb + RESOURCE_EPSILON;
}

gint64
mh_job_spec_fetch_us (const MhJobSpec *spec, const GPtrArray *types)
{
  for (guint i = 0; types && i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (mh_job_spec_fits_type (spec, type) && type->fetch_gb_per_s > 0)
        return (gint64)(spec->image_gb / type->fetch_gb_per_s * MH_SECOND_US);
    }
  return 0;
}
