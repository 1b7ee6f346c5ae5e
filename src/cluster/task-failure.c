#include "controller/core-private.h"

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
/* The wait varies by so much in all: jobs that were submitted together do not come together. */
#define WAIT_SPREAD 0.5
/* A try takes room that is there; only when it has found none by then a machine is rented for it:
   one once was for each try, beside free ones. */
#define PLACED_BY_US (2 * MH_SECOND_US)
/* A machine that has failed a task takes no other for a while. */
#define HOLD_US (5 * MH_SECOND_US)

void
mh_fault_clear_job (MhJobFaults *faults)
{
  g_clear_pointer (&faults->machines, g_ptr_array_unref);
  faults->tries = 0;
  faults->level = 0;
}

bool
mh_fault_backs_off (const MhJob *job)
{
  return job->faults.level > 0;
}

guint
mh_fault_startable (const MhCore *core, const MhJob *job)
{
  guint pending = mh_job_pending (job);
  if (!mh_fault_backs_off (job))
    return pending;
  if (core->now.mono_us < job->retry_us || job->n_live)
    return 0;
  return mh_gang_is (job) ? pending : MIN (pending, 1);
}

guint
mh_fault_rentable (const MhCore *core, const MhJob *job)
{
  if (mh_fault_backs_off (job) && core->now.mono_us < job->retry_us + PLACED_BY_US)
    return 0;
  return mh_fault_startable (core, job);
}

/* ---- jobs ---- */

static bool
runs_well (const MhCore *core, const MhJob *job)
{
  if (job->n_done)
    return true;
  for (guint i = 0; i < job->spec->tasks && job->n_running; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->running_us
          && core->now.mono_us - attempt->running_us >= HEALTHY_RUN_US)
        return true;
    }
  return false;
}

static void
note_failure (const MhCore *core, MhJob *job, const char *machine)
{
  MhJobFaults *faults = &job->faults;
  if (faults->machines == NULL)
    faults->machines = g_ptr_array_new_with_free_func (g_free);
  bool known = g_ptr_array_find_with_equal_func (faults->machines, machine, g_str_equal, NULL);
  /* Tasks that were started together on one machine say no more than one of them. */
  if (known && core->now.mono_us < faults->failed_us + HOLD_US)
    return;
  if (!known && faults->machines->len < FAILING_TRIES)
    g_ptr_array_add (faults->machines, g_strdup (machine));
  faults->tries++;
  faults->failed_us = core->now.mono_us;
}

static bool
fails_everywhere (const MhJob *job)
{
  return mh_fault_backs_off (job) || job->faults.tries >= FAILING_TRIES;
}

static void
wait_before_retry (MhCore *core, MhJob *job)
{
  gint64 wait = FIRST_WAIT_US << (job->faults.level - 1);
  double factor = 1 - WAIT_SPREAD / 2 + WAIT_SPREAD * core->now.jitter;
  job->retry_us = core->now.mono_us + (gint64)((double)wait * factor);
}

/* Tasks that still fetch the image of a job that cannot run keep it from others. */
static void
stop_fetching (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live && !mh_gang_is (job); i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE && !attempt->stopping)
        mh_fleet_stop (core, attempt, 0);
    }
}

/* Tasks that were started together fail together: only the failure of a later try comes here. */
static void
back_off (MhCore *core, MhJob *job)
{
  bool first = !mh_fault_backs_off (job);
  job->faults.level = MIN (job->faults.level + 1, LAST_LEVEL);
  wait_before_retry (core, job);
  mh_store_touch (core, &job->records[0], MH_URGENCY_PROGRESS);
  mh_info (core, "job %s: fails wherever it starts; next start in %.0f s", job->spec->id,
           (double)(job->retry_us - core->now.mono_us) / MH_SECOND_US);
  if (first)
    stop_fetching (core, job);
}

void
mh_fault_load (MhCore *core, MhJob *job, guint level)
{
  job->faults.level = MIN (level, LAST_LEVEL);
  if (mh_fault_backs_off (job))
    wait_before_retry (core, job);
}

/* ---- machines ---- */

/* Only this machine has been tried, often enough to say that one of the two is at fault. */
static bool
fails_here_alone (const MhJob *job)
{
  return fails_everywhere (job) && job->faults.machines && job->faults.machines->len == 1;
}

/* Jobs that could be tried nowhere else: where there are several, the machine is at fault. */
static guint
jobs_failing_here_alone (const MhCore *core, const MhMachine *machine)
{
  guint jobs = 0;
  const char *last = NULL;
  for (guint i = 0; i < machine->failed_jobs->len; i++)
    {
      const char *id = g_ptr_array_index (machine->failed_jobs, i);
      const MhJob *job = g_hash_table_lookup (core->jobs, id);
      if (job == NULL || !fails_here_alone (job) || g_strcmp0 (last, id) == 0)
        continue;
      jobs++;
      last = id;
    }
  return jobs;
}

static void
judge_machine (MhCore *core, MhMachine *machine)
{
  if (machine->failures >= FAULTY_FAILURES
      || jobs_failing_here_alone (core, machine) >= FAULTY_FAILURES)
    mh_release_machine (core, machine, "fails every task");
}

static void
blame_machine (MhCore *core, MhMachine *machine, const MhJob *job)
{
  machine->hold_us = core->now.mono_us + HOLD_US;
  if (runs_well (core, job))
    machine->failures++;
  else if (machine->failed_jobs->len < MH_FAILURES_KEPT)
    g_ptr_array_add (machine->failed_jobs, g_strdup (job->spec->id));
  judge_machine (core, machine);
}

/* The job runs: what failed on the machine before was the machine's fault. */
static void
confirm_blame (MhCore *core, MhMachine *machine, const char *job)
{
  GPtrArray *jobs = machine->failed_jobs;
  for (guint i = jobs->len; i-- > 0;)
    if (strcmp (g_ptr_array_index (jobs, i), job) == 0)
      {
        g_ptr_array_remove_index (jobs, i);
        machine->failures++;
      }
  judge_machine (core, machine);
}

/* ---- what happened ---- */

void
mh_fault_task_failed (MhCore *core, MhMachine *machine, MhJob *job)
{
  /* Others that were started with the first: nothing more is learnt from them. */
  if (mh_fault_backs_off (job) && core->now.mono_us < job->retry_us)
    return;
  if (!runs_well (core, job))
    {
      note_failure (core, job, machine->name);
      if (fails_everywhere (job))
        back_off (core, job);
    }
  if (!fails_everywhere (job) || fails_here_alone (job))
    blame_machine (core, machine, job);
}

void
mh_fault_task_done (MhCore *core, MhMachine *machine, MhJob *job)
{
  if (mh_fault_backs_off (job))
    {
      mh_info (core, "job %s: runs after all", job->spec->id);
      mh_store_touch (core, &job->records[0], MH_URGENCY_PROGRESS);
    }
  machine->failures = 0;
  g_ptr_array_set_size (machine->failed_jobs, 0);
  for (guint i = 0; job->faults.machines && i < job->faults.machines->len; i++)
    {
      const char *name = g_ptr_array_index (job->faults.machines, i);
      MhMachine *other = mh_fleet_machine (core, name);
      if (other)
        confirm_blame (core, other, job->spec->id);
    }
  mh_fault_clear_job (&job->faults);
}
