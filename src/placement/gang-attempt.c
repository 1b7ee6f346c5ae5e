#include "placement/gang-attempt.h"

#include "controller/core-private.h"

/* Of the time that the workers wait for a gang to be complete: it is taken back before they give
   up. */
#define MAX_GATHERING_SHARE 0.8
/* A machine on which the image did not come in time takes nothing for so long. */
#define LATE_IMAGE_US (30 * MH_SECOND_US)
#define GATHERING_CHECK_US MH_SECOND_US

struct MhGangAttempts
{
  GHashTable *unsettled; /* ids of jobs: a task's end has consequences for the others */
  gint64 last_check_us;  /* whether gangs gather for too long */
};

static GHashTable *
job_set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

MhGangAttempts *
mh_gang_attempts_new (void)
{
  MhGangAttempts *attempts = g_new0 (MhGangAttempts, 1);
  attempts->unsettled = job_set_new ();
  return attempts;
}

void
mh_gang_attempts_free (MhGangAttempts *attempts)
{
  g_hash_table_unref (attempts->unsettled);
  g_free (attempts);
}

void
mh_gang_attempts_clear (MhGangAttempts *attempts)
{
  g_hash_table_remove_all (attempts->unsettled);
}

static void
settle_later (MhCore *core, const MhJob *job)
{
  g_hash_table_add (core->gang_attempts->unsettled, g_strdup (job->spec->id));
}

/* ---- events ---- */

void
mh_gang_task_ended (MhCore *core, MhJob *job, bool done)
{
  if (!done)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_TASK_LOST, core->now.mono_us);
  settle_later (core, job);
}

void
mh_gang_restore (MhCore *core, MhJob *job)
{
  if (job->n_done || (job->n_live && job->n_live < job->spec->tasks))
    mh_gang_task_ended (core, job, job->n_done > 0);
  else if (job->n_live)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_RESTORED, core->now.mono_us);
}

/* ---- stops ---- */

/* Where a machine cannot be told directly, its next report may come too late for the gang to save
   together. */
static void
log_if_unreachable (MhCore *core, const MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL || !mh_attempt_start_was_sent (attempt)
          || mh_direct_command_can_send (core->cluster, attempt->machine))
        continue;
      mh_info (core,
               "gang's machine cannot be told at once, work since the last checkpoint may be lost "
               "job=%s machine=%s",
               job->spec->id, attempt->machine->name);
      return;
    }
}

void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us)
{
  bool saves = grace_us > 0 && job->n_running;
  if (saves && job->gang.state != MH_GANG_STATE_ENDING)
    log_if_unreachable (core, job);
  mh_job_gang_apply (&job->gang, MH_GANG_EVENT_STOPPED, core->now.mono_us);
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt)
        mh_attempt_send_stop (core->cluster, attempt,
                              saves ? grace_us + core->settings->gang_peer_us : 0);
    }
  settle_later (core, job);
}

/* ---- consequences ---- */

/* They complete together: if one task is done, all are. */
static void
complete (MhCore *core, MhJob *job)
{
  mh_job_gang_apply (&job->gang, MH_GANG_EVENT_COMPLETED, core->now.mono_us);
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_proven_over (core->cluster, job->tasks[i].live, true);
    else if (job->tasks[i].state != MH_TASK_DONE)
      mh_attempt_task_done (core->cluster, job, i);
}

/* The attempt is over: what is left of it would wait for the others, or notice that one is gone. */
static void
end_attempt (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *attempt = job->tasks[i].live;
      if (attempt == NULL)
        continue;
      if (!mh_attempt_start_was_sent (attempt) && !mh_attempt_is_from_record (attempt))
        mh_attempt_proven_over (core->cluster, attempt, false);
      else if (!mh_attempt_is_stopping (attempt))
        mh_attempt_send_stop (core->cluster, attempt, 0);
    }
  if (job->n_live == 0)
    mh_job_gang_apply (&job->gang, MH_GANG_EVENT_GONE, core->now.mono_us);
}

static void
settle (MhCore *core, MhJob *job)
{
  if (job->n_done && !mh_job_is_cancelled (job))
    complete (core, job);
  else
    end_attempt (core, job);
}

static bool
gathers_too_long (const MhCore *core, const MhJob *job)
{
  gint64 limit_us = (gint64)((double)core->settings->gang_wait_us * MAX_GATHERING_SHARE);
  return job->gang.state == MH_GANG_STATE_GATHERING && !job->n_running && !mh_job_is_over (job)
         && core->now.mono_us - job->gang.gathering_since_us >= limit_us;
}

/* One that is not complete when the workers are about to give up would only begin to wait again. */
static void
take_back (MhCore *core, MhJob *job)
{
  gint64 now_us = core->now.mono_us;
  mh_info (core, "gang taken back, not complete in time job=%s waited_s=%.0f", job->spec->id,
           (double)(now_us - job->gang.gathering_since_us) / MH_SECOND_US);
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (attempt && attempt->phase == MH_TASK_PHASE_FETCHING_IMAGE)
        attempt->machine->no_start_before_us = now_us + LATE_IMAGE_US;
    }
  mh_gang_stop (core, job, 0);
}

static void
check_gathering (MhCore *core)
{
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (mh_job_is_gang (job) && gathers_too_long (core, job))
      take_back (core, job);
}

void
mh_gang_reconcile (MhCore *core)
{
  MhGangAttempts *attempts = core->gang_attempts;
  /* What is done for one may add to the set. */
  g_autoptr (GHashTable) unsettled = g_steal_pointer (&attempts->unsettled);
  attempts->unsettled = job_set_new ();
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, unsettled);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      MhJob *job = g_hash_table_lookup (core->jobs, id);
      if (job && !mh_job_is_finished (job))
        settle (core, job);
    }
  if (core->now.mono_us < attempts->last_check_us + GATHERING_CHECK_US)
    return;
  attempts->last_check_us = core->now.mono_us;
  check_gathering (core);
}
