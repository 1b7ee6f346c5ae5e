#include "cluster/task-failure.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"
#include "protocol/worker-messages.h"
#include "storage/record-writer.h"

#include <string.h>

/* Number of failures, without a success, after which a job counts as failing on every machine. A
   failure on a machine where the job has failed before does not count within FAILED_MACHINE_HOLD_US
   of the job's last counted failure. Also limits the machines that are remembered for a job. */
#define FAILING_JOB_THRESHOLD 3u
/* A machine is released after this many consecutive failures of jobs that are not faulty, or when
   this many jobs have failed on this machine only. */
#define FAULTY_MACHINE_THRESHOLD 2u
/* A task that has run this long shows that its job is not faulty. */
#define MIN_HEALTHY_RUN_US (5 * MH_SECOND_US)
/* A job of which a task has run this long has recovered, and backs off no more. */
#define RECOVERED_RUN_US (30 * MH_SECOND_US)
/* While a job backs off, this many of its tasks may be live for each one that runs well. */
#define LIVE_PER_HEALTHY_TASK 2u
/* The first wait of the back-off. Each level doubles the wait of the one before, up to
   MAX_BACK_OFF_LEVEL. The longest wait and RECOVERED_RUN_US end within the 90 s for which a job may
   be left waiting while there is room. */
#define FIRST_BACK_OFF_US (2 * MH_SECOND_US)
#define MAX_BACK_OFF_LEVEL 5u
/* Limits the list of jobs that failed on a machine and are not known to run elsewhere. */
#define MAX_FAILED_JOBS 16u
/* Width of the random variation of a wait, as a fraction of it, so that jobs that were submitted
   together are not retried together. */
#define BACK_OFF_JITTER 0.5
/* Time after the end of a wait in which the retry can be placed on an existing machine before one
   is created for it. Without it a machine was created for each retry although others were free. */
#define SCALE_OUT_DELAY_US (2 * MH_SECOND_US)
/* No task is started for this long on a machine that has failed one. */
#define FAILED_MACHINE_HOLD_US (5 * MH_SECOND_US)

guint
mh_task_failure_count_startable (const MhCluster *cluster, const MhJob *job)
{
  guint pending = mh_job_pending_tasks (job);
  if (!mh_job_backs_off (job))
    return pending;
  if (mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us)
    return 0;
  if (mh_job_is_gang (job))
    return job->n_live ? 0 : pending;
  guint max_live = MAX (job->failures.max_live_tasks, 1);
  return job->n_live < max_live ? MIN (pending, max_live - job->n_live) : 0;
}

guint
mh_task_failure_count_scale_out (const MhCluster *cluster, const MhJob *job)
{
  if (mh_job_backs_off (job)
      && mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us + SCALE_OUT_DELAY_US)
    return 0;
  return mh_task_failure_count_startable (cluster, job);
}

/* ---- jobs ---- */

static bool
has_run_for (const MhCluster *cluster, const MhAttempt *attempt, gint64 duration_us)
{
  return attempt->running_since_us
         && mh_runtime_now_us (cluster->runtime) - attempt->running_since_us >= duration_us;
}

static bool
is_running_well (const MhCluster *cluster, const MhJob *job)
{
  if (job->n_done)
    return true;
  for (guint i = 0; i < job->spec->tasks && job->n_running; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && has_run_for (cluster, attempt, MIN_HEALTHY_RUN_US))
        return true;
    }
  return false;
}

static void
count_failure (const MhCluster *cluster, MhJob *job, const char *machine)
{
  MhJobFailures *failures = &job->failures;
  if (failures->machines == NULL)
    failures->machines = g_ptr_array_new_with_free_func (g_free);
  bool known = g_ptr_array_find_with_equal_func (failures->machines, machine, g_str_equal, NULL);
  /* Tasks that were started together on one machine give no more evidence than one of them. */
  if (known && mh_runtime_now_us (cluster->runtime) < failures->failed_us + FAILED_MACHINE_HOLD_US)
    return;
  if (!known && failures->machines->len < FAILING_JOB_THRESHOLD)
    g_ptr_array_add (failures->machines, g_strdup (machine));
  failures->count++;
  failures->failed_us = mh_runtime_now_us (cluster->runtime);
}

static bool
is_failing_everywhere (const MhJob *job)
{
  return mh_job_backs_off (job) || job->failures.count >= FAILING_JOB_THRESHOLD;
}

static void
schedule_retry (MhCluster *cluster, MhJob *job)
{
  gint64 wait_us = FIRST_BACK_OFF_US << (job->failures.back_off_level - 1);
  double factor
      = 1 - BACK_OFF_JITTER / 2 + BACK_OFF_JITTER * mh_runtime_now (cluster->runtime)->jitter;
  job->placement.retry_after_us
      = mh_runtime_now_us (cluster->runtime) + (gint64)((double)wait_us * factor);
}

/* Tasks of a failing job that still fetch its image occupy capacity that other jobs need. */
static void
stop_image_fetches (MhCluster *cluster, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live && !mh_job_is_gang (job); i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE
          && !mh_attempt_is_stopping (attempt))
        mh_attempt_stop (cluster, attempt, 0);
    }
}

/* Called when a job begins to back off, and for each failed retry. Tasks that were started together
   fail together; mh_task_failure_record_failure() ignores failures during a wait. */
static void
increase_back_off (MhCluster *cluster, MhJob *job)
{
  bool first = !mh_job_backs_off (job);
  job->failures.back_off_level = MIN (job->failures.back_off_level + 1, MAX_BACK_OFF_LEVEL);
  job->failures.max_live_tasks = 0;
  schedule_retry (cluster, job);
  mh_record_writer_mark_changed (cluster->record_writer, &job->records[0], MH_URGENCY_PROGRESS);
  mh_log_info (cluster->runtime, "job backs off, fails wherever it starts job=%s next_start_s=%.0f",
               job->spec->id,
               (double)(job->placement.retry_after_us - mh_runtime_now_us (cluster->runtime))
                   / MH_SECOND_US);
  if (first)
    stop_image_fetches (cluster, job);
}

void
mh_task_failure_load_back_off (MhCluster *cluster, MhJob *job, guint level)
{
  job->failures.back_off_level = MIN (level, MAX_BACK_OFF_LEVEL);
  if (mh_job_backs_off (job))
    schedule_retry (cluster, job);
}

/* ---- machines ---- */

/* Whether the job has failed often enough to back off, but on a single machine: either the job or
   the machine is faulty. */
static bool
has_failed_on_one_machine_only (const MhJob *job)
{
  return is_failing_everywhere (job) && job->failures.machines && job->failures.machines->len == 1;
}

/* Counts the jobs that have failed on this machine only. Where there are several, the machine is
   faulty. */
static guint
count_jobs_failing_here_only (const MhCluster *cluster, const MhMachine *machine)
{
  guint jobs = 0;
  const char *last_id = NULL;
  for (guint i = 0; i < machine->failures.jobs->len; i++)
    {
      const char *id = g_ptr_array_index (machine->failures.jobs, i);
      const MhJob *job = g_hash_table_lookup (cluster->jobs, id);
      if (job == NULL || !has_failed_on_one_machine_only (job) || g_strcmp0 (last_id, id) == 0)
        continue;
      jobs++;
      last_id = id;
    }
  return jobs;
}

static void
release_if_faulty (MhCluster *cluster, MhMachine *machine)
{
  if (machine->failures.consecutive >= FAULTY_MACHINE_THRESHOLD
      || count_jobs_failing_here_only (cluster, machine) >= FAULTY_MACHINE_THRESHOLD)
    cluster->callbacks->release_machine (cluster->owner, machine,
                                         MH_RELEASE_REASON_FAILS_EVERY_TASK);
}

static void
attribute_to_machine (MhCluster *cluster, MhMachine *machine, const MhJob *job)
{
  machine->no_start_before_us = mh_runtime_now_us (cluster->runtime) + FAILED_MACHINE_HOLD_US;
  if (is_running_well (cluster, job))
    machine->failures.consecutive++;
  else if (machine->failures.jobs->len < MAX_FAILED_JOBS)
    g_ptr_array_add (machine->failures.jobs, g_strdup (job->spec->id));
  release_if_faulty (cluster, machine);
}

/* The job runs elsewhere: its earlier failures on the machine were the fault of the machine. */
static void
confirm_machine_fault (MhCluster *cluster, MhMachine *machine, const char *job)
{
  GPtrArray *jobs = machine->failures.jobs;
  for (guint i = jobs->len; i-- > 0;)
    if (strcmp (g_ptr_array_index (jobs, i), job) == 0)
      {
        g_ptr_array_remove_index (jobs, i);
        machine->failures.consecutive++;
      }
  release_if_faulty (cluster, machine);
}

/* ---- failures and successes ---- */

void
mh_task_failure_record_failure (MhCluster *cluster, MhMachine *machine, MhJob *job)
{
  /* The task was started together with one that failed before: it gives no further evidence. */
  if (mh_job_backs_off (job)
      && mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us)
    return;
  if (mh_job_backs_off (job) || !is_running_well (cluster, job))
    {
      count_failure (cluster, job, machine->name);
      if (is_failing_everywhere (job))
        increase_back_off (cluster, job);
    }
  if (!is_failing_everywhere (job) || has_failed_on_one_machine_only (job))
    attribute_to_machine (cluster, machine, job);
}

/* The job can run: it backs off no more, and its earlier failures were the fault of their machines.
 */
static void
forget_failures (MhCluster *cluster, MhJob *job)
{
  if (mh_job_backs_off (job))
    {
      mh_log_info (cluster->runtime, "job runs after back-off job=%s", job->spec->id);
      mh_record_writer_mark_changed (cluster->record_writer, &job->records[0], MH_URGENCY_PROGRESS);
    }
  for (guint i = 0; job->failures.machines && i < job->failures.machines->len; i++)
    {
      const char *name = g_ptr_array_index (job->failures.machines, i);
      MhMachine *other = mh_cluster_find_machine (cluster, name);
      if (other)
        confirm_machine_fault (cluster, other, job->spec->id);
    }
  mh_job_failures_clear (&job->failures);
}

void
mh_task_failure_record_success (MhCluster *cluster, MhMachine *machine, MhJob *job)
{
  machine->failures.consecutive = 0;
  g_ptr_array_set_size (machine->failures.jobs, 0);
  forget_failures (cluster, job);
}

/* ---- recovery of jobs that back off ---- */

/* The job runs on the machine: it does not show that the machine is faulty. */
static void
remove_failed_job (MhMachine *machine, const char *job)
{
  GPtrArray *jobs = machine->failures.jobs;
  for (guint i = jobs->len; i-- > 0;)
    if (strcmp (g_ptr_array_index (jobs, i), job) == 0)
      g_ptr_array_remove_index (jobs, i);
}

/* Whether the attempt is a retry that runs well. One that has run since before the last failure may
   fail like the others. */
static bool
is_healthy_retry (const MhCluster *cluster, const MhAttempt *attempt)
{
  return has_run_for (cluster, attempt, MIN_HEALTHY_RUN_US)
         && attempt->running_since_us >= attempt->job->placement.retry_after_us;
}

/* The more tasks run well, the more may be tried, so that a job whose tasks fail only after a while
   does not occupy all the room until then. */
static void
raise_live_tasks (const MhCluster *cluster, MhJob *job)
{
  guint healthy = 0;
  for (guint i = 0; i < job->spec->tasks; i++)
    healthy += job->tasks[i].live && is_healthy_retry (cluster, job->tasks[i].live);
  job->failures.max_live_tasks
      = MAX (job->failures.max_live_tasks, LIVE_PER_HEALTHY_TASK * healthy);
}

void
mh_task_failure_note_running (MhCluster *cluster, const MhAttempt *attempt)
{
  MhJob *job = attempt->job;
  if (!mh_job_backs_off (job))
    return;
  if (has_run_for (cluster, attempt, RECOVERED_RUN_US))
    {
      remove_failed_job (attempt->machine, job->spec->id);
      forget_failures (cluster, job);
    }
  else if (is_healthy_retry (cluster, attempt))
    raise_live_tasks (cluster, job);
  else
    return;
  cluster->callbacks->capacity_changed (cluster->owner, job->spec->shape == MH_SHAPE_SERVICE);
}
