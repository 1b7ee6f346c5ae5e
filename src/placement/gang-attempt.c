#include "placement/gang-attempt.h"

#include "cluster/attempt.h"
#include "cluster/direct-command.h"
#include "protocol/worker-messages.h"

/* Share of the time for which the workers wait for a gang to be complete. After it the gang is
   stopped, before the workers give up. */
#define GATHERING_TIMEOUT_SHARE 0.8
/* Time for which no task is started on a machine on which a gang's image was not present in time.
 */
#define LATE_IMAGE_COOLDOWN_US (30 * MH_SECOND_US)
#define GATHERING_CHECK_INTERVAL_US MH_SECOND_US

struct MhGangAttempts
{
  MhCluster *cluster;
  MhRuntime *runtime;
  GHashTable *jobs;         /* id -> MhJob */
  GHashTable *unreconciled; /* ids of gangs of which a task has ended, or that are being stopped */
  gint64 last_check_us;     /* last check for gangs that gather for too long */
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
  attempts->unreconciled = job_set_new ();
  return attempts;
}

void
mh_gang_attempts_free (MhGangAttempts *attempts)
{
  g_hash_table_unref (attempts->unreconciled);
  g_hash_table_unref (attempts->jobs);
  g_free (attempts);
}

void
mh_gang_attempts_clear (MhGangAttempts *attempts)
{
  g_hash_table_remove_all (attempts->unreconciled);
}

static void
add_unreconciled (MhGangAttempts *attempts, const MhJob *job)
{
  g_hash_table_add (attempts->unreconciled, g_strdup (job->spec->id));
}

/* ---- events ---- */

void
mh_gang_attempts_handle_task_end (MhGangAttempts *attempts, MhJob *job, bool done)
{
  if (!done)
    mh_gang_state_apply (&job->gang, MH_GANG_EVENT_TASK_LOST,
                         mh_runtime_now_us (attempts->runtime));
  add_unreconciled (attempts, job);
}

void
mh_gang_attempts_restore (MhGangAttempts *attempts, MhJob *job)
{
  if (job->n_done || (job->n_live && job->n_live < job->spec->tasks))
    mh_gang_attempts_handle_task_end (attempts, job, job->n_done > 0);
  else if (job->n_live)
    mh_gang_state_apply (&job->gang, MH_GANG_EVENT_RESTORED, mh_runtime_now_us (attempts->runtime));
}

/* ---- stops ---- */

/* Logs if the stop cannot be sent to a machine of the gang as a direct command. It is then sent in
   the response to the next heartbeat, which may be too late for all tasks to save together. */
static void
log_if_stop_is_delayed (MhGangAttempts *attempts, const MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL || !mh_attempt_start_was_sent (attempt)
          || mh_direct_command_can_send (attempts->cluster, attempt->machine))
        continue;
      mh_log_info (
          attempts->runtime,
          "cannot send stop to a gang's machine directly, work since the last checkpoint may be "
          "lost job=%s machine=%s",
          job->spec->id, attempt->machine->name);
      return;
    }
}

void
mh_gang_attempts_stop (MhGangAttempts *attempts, MhJob *job, gint64 grace_us)
{
  bool is_saving = grace_us > 0 && job->n_running;
  if (is_saving && job->gang.state != MH_GANG_STATE_ENDING)
    log_if_stop_is_delayed (attempts, job);
  mh_gang_state_apply (&job->gang, MH_GANG_EVENT_STOP_REQUESTED,
                       mh_runtime_now_us (attempts->runtime));
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt)
        mh_attempt_request_stop (
            attempts->cluster, attempt,
            is_saving ? grace_us + mh_runtime_settings (attempts->runtime)->gang_peer_us : 0);
    }
  add_unreconciled (attempts, job);
}

/* ---- reconciliation ---- */

/* The tasks of a gang complete together: if one is done, all are. */
static void
complete_gang (MhGangAttempts *attempts, MhJob *job)
{
  mh_gang_state_apply (&job->gang, MH_GANG_EVENT_COMPLETED, mh_runtime_now_us (attempts->runtime));
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_note_ended (attempts->cluster, job->tasks[i].live, true);
    else if (job->tasks[i].state != MH_TASK_DONE)
      mh_attempt_set_task_done (attempts->cluster, job, i);
}

/* Stops the remaining tasks of an attempt in which a task has ended. They could only wait for that
   task, or notice that it is gone. A task whose start was never sent ends at once. */
static void
end_attempt (MhGangAttempts *attempts, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL)
        continue;
      if (!mh_attempt_start_was_sent (attempt) && !mh_attempt_is_from_record (attempt))
        mh_attempt_note_ended (attempts->cluster, attempt, false);
      else if (!mh_attempt_is_stopping (attempt))
        mh_attempt_request_stop (attempts->cluster, attempt, 0);
    }
  if (job->n_live == 0)
    mh_gang_state_apply (&job->gang, MH_GANG_EVENT_GONE, mh_runtime_now_us (attempts->runtime));
}

static void
reconcile_gang (MhGangAttempts *attempts, MhJob *job)
{
  if (job->n_done && !mh_job_is_cancelled (job))
    complete_gang (attempts, job);
  else
    end_attempt (attempts, job);
}

static bool
has_gathering_timed_out (const MhGangAttempts *attempts, const MhJob *job)
{
  gint64 limit_us = (gint64)((double)mh_runtime_settings (attempts->runtime)->gang_wait_us
                             * GATHERING_TIMEOUT_SHARE);
  return job->gang.state == MH_GANG_STATE_GATHERING && !job->n_running
         && !mh_job_has_no_more_starts (job)
         && mh_runtime_now_us (attempts->runtime) - job->gang.gathering_since_us >= limit_us;
}

/* Stops a gang that is not complete shortly before its workers give up. No task is started for some
   time on the machines that still fetch its image. If the workers gave up first, the gang could be
   placed on the same machines, and its tasks would only begin to wait again. */
static void
stop_incomplete_gang (MhGangAttempts *attempts, MhJob *job)
{
  gint64 now_us = mh_runtime_now_us (attempts->runtime);
  mh_log_info (attempts->runtime, "gang stopped, not complete in time job=%s waited_s=%.0f",
               job->spec->id, (double)(now_us - job->gang.gathering_since_us) / MH_SECOND_US);
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE)
        attempt->machine->no_start_before_us = now_us + LATE_IMAGE_COOLDOWN_US;
    }
  mh_gang_attempts_stop (attempts, job, 0);
}

static void
stop_incomplete_gangs (MhGangAttempts *attempts)
{
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, attempts->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (mh_job_is_gang (job) && has_gathering_timed_out (attempts, job))
      stop_incomplete_gang (attempts, job);
}

void
mh_gang_attempts_reconcile (MhGangAttempts *attempts)
{
  /* Reconciling a gang may add to the set. */
  g_autoptr (GHashTable) unreconciled = g_steal_pointer (&attempts->unreconciled);
  attempts->unreconciled = job_set_new ();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, unreconciled);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      MhJob *job = g_hash_table_lookup (attempts->jobs, id);
      if (job && !mh_job_has_ended (job))
        reconcile_gang (attempts, job);
    }
  if (mh_runtime_now_us (attempts->runtime) < attempts->last_check_us + GATHERING_CHECK_INTERVAL_US)
    return;
  attempts->last_check_us = mh_runtime_now_us (attempts->runtime);
  stop_incomplete_gangs (attempts);
}
