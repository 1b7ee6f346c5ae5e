#include "cluster/task-failure.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"
#include "protocol/worker-messages.h"
#include "storage/record-writer.h"

#include <string.h>

/* A job is taken to fail everywhere when so many tries have failed, each on another machine or
   after a while, and none has succeeded. */
#define FAILING_TRIES 3u
/* Failures in a row on one machine, of jobs that are not to blame, before it is given back. */
#define FAULTY_FAILURES 2u
/* A task that has run for so long shows that its job can run. */
#define HEALTHY_RUN_US (5 * MH_SECOND_US)
/* The first wait of the back-off; each one is twice the one before it, up to the last level. */
#define FIRST_WAIT_US (2 * MH_SECOND_US)
#define LAST_LEVEL 6u
/* Failures that are remembered of a machine. */
#define MAX_FAILED_JOBS 16u
/* The wait varies by so much in all: jobs that were submitted together do not come together. */
#define WAIT_SPREAD 0.5
/* A try takes room that is there; only when it has found none by then a machine is rented for it:
   one once was for each try, beside free ones. */
#define PLACED_BY_US (2 * MH_SECOND_US)
/* A machine that has failed a task takes no other for a while. */
#define HOLD_US (5 * MH_SECOND_US)

guint
mh_task_failure_startable (const MhCluster *cluster, const MhJob *job)
{
  guint pending = mh_job_pending_tasks (job);
  if (!mh_job_backs_off (job))
    return pending;
  if (mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us || job->n_live)
    return 0;
  return mh_job_is_gang (job) ? pending : MIN (pending, 1);
}

guint
mh_task_failure_rentable (const MhCluster *cluster, const MhJob *job)
{
  if (mh_job_backs_off (job)
      && mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us + PLACED_BY_US)
    return 0;
  return mh_task_failure_startable (cluster, job);
}

/* ---- jobs ---- */

static bool
runs_well (const MhCluster *cluster, const MhJob *job)
{
  if (job->n_done)
    return true;
  for (guint i = 0; i < job->spec->tasks && job->n_running; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->running_since_us
          && mh_runtime_now_us (cluster->runtime) - attempt->running_since_us >= HEALTHY_RUN_US)
        return true;
    }
  return false;
}

static void
note_failure (const MhCluster *cluster, MhJob *job, const char *machine)
{
  MhJobFailures *failures = &job->failures;
  if (failures->machines == NULL)
    failures->machines = g_ptr_array_new_with_free_func (g_free);
  bool known = g_ptr_array_find_with_equal_func (failures->machines, machine, g_str_equal, NULL);
  /* Tasks that were started together on one machine say no more than one of them. */
  if (known && mh_runtime_now_us (cluster->runtime) < failures->failed_us + HOLD_US)
    return;
  if (!known && failures->machines->len < FAILING_TRIES)
    g_ptr_array_add (failures->machines, g_strdup (machine));
  failures->count++;
  failures->failed_us = mh_runtime_now_us (cluster->runtime);
}

static bool
fails_everywhere (const MhJob *job)
{
  return mh_job_backs_off (job) || job->failures.count >= FAILING_TRIES;
}

static void
wait_before_retry (MhCluster *cluster, MhJob *job)
{
  gint64 wait = FIRST_WAIT_US << (job->failures.back_off_level - 1);
  double factor = 1 - WAIT_SPREAD / 2 + WAIT_SPREAD * mh_runtime_now (cluster->runtime)->jitter;
  job->placement.retry_after_us
      = mh_runtime_now_us (cluster->runtime) + (gint64)((double)wait * factor);
}

/* Tasks that still fetch the image of a job that cannot run keep it from others. */
static void
stop_fetching (MhCluster *cluster, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live && !mh_job_is_gang (job); i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE
          && !mh_attempt_is_stopping (attempt))
        mh_attempt_stop (cluster, attempt, 0);
    }
}

/* Tasks that were started together fail together: only the failure of a later try comes here. */
static void
back_off (MhCluster *cluster, MhJob *job)
{
  bool first = !mh_job_backs_off (job);
  job->failures.back_off_level = MIN (job->failures.back_off_level + 1, LAST_LEVEL);
  wait_before_retry (cluster, job);
  mh_record_writer_touch (cluster->record_writer, &job->records[0], MH_URGENCY_PROGRESS);
  mh_log_info (cluster->runtime, "job backs off, fails wherever it starts job=%s next_start_s=%.0f",
               job->spec->id,
               (double)(job->placement.retry_after_us - mh_runtime_now_us (cluster->runtime))
                   / MH_SECOND_US);
  if (first)
    stop_fetching (cluster, job);
}

void
mh_task_failure_load_back_off (MhCluster *cluster, MhJob *job, guint level)
{
  job->failures.back_off_level = MIN (level, LAST_LEVEL);
  if (mh_job_backs_off (job))
    wait_before_retry (cluster, job);
}

/* ---- machines ---- */

/* Only this machine has been tried, often enough to say that one of the two is at fault. */
static bool
fails_here_alone (const MhJob *job)
{
  return fails_everywhere (job) && job->failures.machines && job->failures.machines->len == 1;
}

/* Jobs that could be tried nowhere else: where there are several, the machine is at fault. */
static guint
jobs_failing_here_alone (const MhCluster *cluster, const MhMachine *machine)
{
  guint jobs = 0;
  const char *last = NULL;
  for (guint i = 0; i < machine->failures.jobs->len; i++)
    {
      const char *id = g_ptr_array_index (machine->failures.jobs, i);
      const MhJob *job = g_hash_table_lookup (cluster->jobs, id);
      if (job == NULL || !fails_here_alone (job) || g_strcmp0 (last, id) == 0)
        continue;
      jobs++;
      last = id;
    }
  return jobs;
}

static void
judge_machine (MhCluster *cluster, MhMachine *machine)
{
  if (machine->failures.consecutive >= FAULTY_FAILURES
      || jobs_failing_here_alone (cluster, machine) >= FAULTY_FAILURES)
    cluster->callbacks->release_machine (cluster->owner, machine,
                                         MH_RELEASE_REASON_FAILS_EVERY_TASK);
}

static void
blame_machine (MhCluster *cluster, MhMachine *machine, const MhJob *job)
{
  machine->no_start_before_us = mh_runtime_now_us (cluster->runtime) + HOLD_US;
  if (runs_well (cluster, job))
    machine->failures.consecutive++;
  else if (machine->failures.jobs->len < MAX_FAILED_JOBS)
    g_ptr_array_add (machine->failures.jobs, g_strdup (job->spec->id));
  judge_machine (cluster, machine);
}

/* The job runs: what failed on the machine before was the machine's fault. */
static void
confirm_blame (MhCluster *cluster, MhMachine *machine, const char *job)
{
  GPtrArray *jobs = machine->failures.jobs;
  for (guint i = jobs->len; i-- > 0;)
    if (strcmp (g_ptr_array_index (jobs, i), job) == 0)
      {
        g_ptr_array_remove_index (jobs, i);
        machine->failures.consecutive++;
      }
  judge_machine (cluster, machine);
}

/* ---- what happened ---- */

void
mh_task_failure_record_failure (MhCluster *cluster, MhMachine *machine, MhJob *job)
{
  /* Others that were started with the first: nothing more is learnt from them. */
  if (mh_job_backs_off (job)
      && mh_runtime_now_us (cluster->runtime) < job->placement.retry_after_us)
    return;
  if (!runs_well (cluster, job))
    {
      note_failure (cluster, job, machine->name);
      if (fails_everywhere (job))
        back_off (cluster, job);
    }
  if (!fails_everywhere (job) || fails_here_alone (job))
    blame_machine (cluster, machine, job);
}

void
mh_task_failure_record_success (MhCluster *cluster, MhMachine *machine, MhJob *job)
{
  if (mh_job_backs_off (job))
    {
      mh_log_info (cluster->runtime, "job runs after back-off job=%s", job->spec->id);
      mh_record_writer_touch (cluster->record_writer, &job->records[0], MH_URGENCY_PROGRESS);
    }
  machine->failures.consecutive = 0;
  g_ptr_array_set_size (machine->failures.jobs, 0);
  for (guint i = 0; job->failures.machines && i < job->failures.machines->len; i++)
    {
      const char *name = g_ptr_array_index (job->failures.machines, i);
      MhMachine *other = mh_cluster_find_machine (cluster, name);
      if (other)
        confirm_blame (cluster, other, job->spec->id);
    }
  mh_job_failures_clear (&job->failures);
}
