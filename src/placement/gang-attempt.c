#include "placement/gang-attempt.h"

#include "cluster/attempt.h"
#include "cluster/direct-command.h"
#include "protocol/worker-messages.h"

/* Of the time that the workers wait for a gang to be complete: it is taken back before they give
   up. */
#define MAX_GATHERING_SHARE 0.8
/* A machine on which the image did not come in time takes nothing for so long. */
#define LATE_IMAGE_US (30 * MH_SECOND_US)
#define GATHERING_CHECK_US MH_SECOND_US

struct MhGangAttempts
{
  MhCluster *cluster;
  MhRuntime *runtime;
  GHashTable *jobs;      /* id -> MhJob */
  GHashTable *unsettled; /* ids of jobs: a task's end has consequences for the others */
  gint64 last_check_us;  /* whether gangs gather for too long */
};

static GHashTable *
job_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

MhGangAttempts *
mh_gang_attempts_new (MhCluster *cluster, MhRuntime *runtime, GHashTable *jobs)
{
  MhGangAttempts *attempts = g_new0 (MhGangAttempts, 1);
  attempts->cluster = cluster;
  attempts->runtime = runtime;
  attempts->jobs = g_hash_table_ref (jobs);
  attempts->unsettled = job_set_new ();
  return attempts;
}

void
mh_gang_attempts_free (MhGangAttempts *attempts)
{
  g_hash_table_unref (attempts->unsettled);
  g_hash_table_unref (attempts->jobs);
  g_free (attempts);
}

void
mh_gang_attempts_clear (MhGangAttempts *attempts)
{
  g_hash_table_remove_all (attempts->unsettled);
}

static void
settle_later (MhGangAttempts *attempts, const MhJob *job)
{
  g_hash_table_add (attempts->unsettled, g_strdup (job->spec->id));
}

/* ---- events ---- */

void
mh_gang_attempts_task_ended (MhGangAttempts *attempts, MhJob *job, bool done)
{
  if (!done)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_TASK_LOST, mh_runtime_now_us (attempts->runtime));
  settle_later (attempts, job);
}

void
mh_gang_attempts_restore (MhGangAttempts *attempts, MhJob *job)
{
  if (job->n_done || (job->n_live && job->n_live < job->spec->tasks))
    mh_gang_attempts_task_ended (attempts, job, job->n_done > 0);
  else if (job->n_live)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_RESTORED, mh_runtime_now_us (attempts->runtime));
}

/* ---- stops ---- */

/* Where a machine cannot be told directly, its next report may come too late for the gang to save
   together. */
static void
log_if_unreachable (MhGangAttempts *attempts, const MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL || !mh_attempt_start_was_sent (attempt)
          || mh_direct_command_can_send (attempts->cluster, attempt->machine))
        continue;
      mh_log_info (
          attempts->runtime,
          "gang's machine cannot be told at once, work since the last checkpoint may be lost "
          "job=%s machine=%s",
          job->spec->id, attempt->machine->name);
      return;
    }
}

void
mh_gang_attempts_stop (MhGangAttempts *attempts, MhJob *job, gint64 grace_us)
{
  bool saves = grace_us > 0 && job->n_running;
  if (saves && job->gang.state != MH_GANG_STATE_ENDING)
    log_if_unreachable (attempts, job);
  mh_job_gang_apply (&job->gang, MH_GANG_EVENT_STOP_REQUESTED,
                     mh_runtime_now_us (attempts->runtime));
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt)
        mh_attempt_send_stop (
            attempts->cluster, attempt,
            saves ? grace_us + mh_runtime_settings (attempts->runtime)->gang_peer_us : 0);
    }
  settle_later (attempts, job);
}

/* ---- consequences ---- */

/* They complete together: if one task is done, all are. */
static void
complete (MhGangAttempts *attempts, MhJob *job)
{
  mh_job_gang_apply (&job->gang, MH_GANG_EVENT_COMPLETED, mh_runtime_now_us (attempts->runtime));
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_proven_over (attempts->cluster, job->tasks[i].live, true);
    else if (job->tasks[i].state != MH_TASK_DONE)
      mh_attempt_task_done (attempts->cluster, job, i);
}

/* The attempt is over: what is left of it would wait for the others, or notice that one is gone. */
static void
end_attempt (MhGangAttempts *attempts, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL)
        continue;
      if (!mh_attempt_start_was_sent (attempt) && !mh_attempt_is_from_record (attempt))
        mh_attempt_proven_over (attempts->cluster, attempt, false);
      else if (!mh_attempt_is_stopping (attempt))
        mh_attempt_send_stop (attempts->cluster, attempt, 0);
    }
  if (job->n_live == 0)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_GONE, mh_runtime_now_us (attempts->runtime));
}

static void
settle (MhGangAttempts *attempts, MhJob *job)
{
  if (job->n_done && !mh_job_is_cancelled (job))
    complete (attempts, job);
  else
    end_attempt (attempts, job);
}

static bool
gathers_too_long (const MhGangAttempts *attempts, const MhJob *job)
{
  gint64 limit_us = (gint64)((double)mh_runtime_settings (attempts->runtime)->gang_wait_us
                             * MAX_GATHERING_SHARE);
  return job->gang.state == MH_GANG_STATE_GATHERING && !job->n_running && !mh_job_is_over (job)
         && mh_runtime_now_us (attempts->runtime) - job->gang.gathering_since_us >= limit_us;
}

/* One that is not complete when the workers are about to give up would only begin to wait again. */
static void
take_back (MhGangAttempts *attempts, MhJob *job)
{
  gint64 now_us = mh_runtime_now_us (attempts->runtime);
  mh_log_info (attempts->runtime, "gang taken back, not complete in time job=%s waited_s=%.0f",
               job->spec->id, (double)(now_us - job->gang.gathering_since_us) / MH_SECOND_US);
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE)
        attempt->machine->no_start_before_us = now_us + LATE_IMAGE_US;
    }
  mh_gang_attempts_stop (attempts, job, 0);
}

static void
check_gathering (MhGangAttempts *attempts)
{
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, attempts->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (mh_job_is_gang (job) && gathers_too_long (attempts, job))
      take_back (attempts, job);
}

void
mh_gang_attempts_reconcile (MhGangAttempts *attempts)
{
  /* What is done for one may add to the set. */
  g_autoptr (GHashTable) unsettled = g_steal_pointer (&attempts->unsettled);
  attempts->unsettled = job_set_new ();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, unsettled);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      MhJob *job = g_hash_table_lookup (attempts->jobs, id);
      if (job && !mh_job_is_finished (job))
        settle (attempts, job);
    }
  if (mh_runtime_now_us (attempts->runtime) < attempts->last_check_us + GATHERING_CHECK_US)
    return;
  attempts->last_check_us = mh_runtime_now_us (attempts->runtime);
  check_gathering (attempts);
}
