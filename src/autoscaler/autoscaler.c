/* The size of the fleet: when to rent, when to empty machines, and what the log says of it. */
#include "controller/core-private.h"

#define STEP_US (MH_SECOND_US / 2)
#define SUMMARY_US (10 * MH_SECOND_US)

void
mh_scale_clear (MhCore *core)
{
  core->scale.types_busy = core->scale.list_busy = core->scale.renting = false;
  core->scale.listed = false;
  core->scale.lost_cpus = 0;
  core->scale.types_us = core->scale.list_us = 0;
  g_hash_table_remove_all (core->scale.refused);
}

void
mh_scale_start (MhCore *core)
{
  mh_scale_clear (core);
}

static guint
tasks_waiting (MhCore *core)
{
  /* What waits for its own team's limit does not want room. */
  const MhUse none = { 0 };
  guint waiting = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!mh_job_is_over (value))
      waiting += mh_quota_allowed_tasks (core->settings,
                                         mh_cluster_team_use (core, ((MhJob *)value)->spec->team),
                                         value, &none, mh_task_failure_startable (core, value));
  return waiting;
}

/* Machines that an earlier leader rented show up only when the list does. */
static bool
may_rent (const MhCore *core)
{
  return mh_recovery_is_complete (core->recovery) && mh_cluster_types (core) && core->scale.listed
         && !core->scale.renting
         && (mh_election_epoch (core->election) == 1
             || core->now.mono_us - mh_election_elected_us (core->election)
                    > core->settings->list_lag_us);
}

static void
plan_and_rent (MhCore *core)
{
  g_autoptr (GArray) rooms = mh_demand_plan (core);
  mh_rental_call (core, rooms);
}

static const char *
waits_for (MhCore *core, const MhJob *job)
{
  if (mh_job_backs_off (job))
    return "its next try: it fails wherever it starts";
  if (core->now.mono_us < job->placement.retry_after_us)
    return "its next try";
  if (job->n_unreported && !mh_recovery_is_complete (core->recovery))
    return "reports of the machines that it may be on";
  if (!mh_quota_fits (core->settings, mh_cluster_team_use (core, job->spec->team), job,
                      job->spec->cpus, job->spec->gpus))
    return "its team's limit";
  return "room on a machine that suits it";
}

/* The job that has waited longest without a place for all its tasks. */
static void
log_longest_wait (MhCore *core)
{
  const MhJob *longest = NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhJob *job = value;
      if (mh_job_is_over (job) || job->placement.unplaced_since_us == 0
          || mh_job_pending_tasks (job) == 0)
        continue;
      if (longest == NULL
          || job->placement.unplaced_since_us < longest->placement.unplaced_since_us)
        longest = job;
    }
  if (longest)
    mh_info (core, "waiting longest: job %s of %s, %u tasks for %.0f s, for %s", longest->spec->id,
             longest->spec->team, mh_job_pending_tasks (longest),
             (double)(core->now.mono_us - longest->placement.unplaced_since_us) / MH_SECOND_US,
             waits_for (core, longest));
}

/* One line for the operator: what is paid for and what it does. */
static void
log_summary (MhCore *core)
{
  guint live = 0, coming = 0, idle = 0, leaving = 0;
  double all = 0, used = 0, an_hour = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      leaving += mh_machine_is_releasing (m);
      an_hour += m->type ? mh_machine_hourly_price (m) : 0;
      live += m->heartbeat.reported && !mh_machine_is_releasing (m);
      coming += !m->heartbeat.reported && !mh_machine_is_releasing (m);
      idle += m->heartbeat.reported && !mh_machine_is_releasing (m) && m->attempts->len == 0;
      if (m->type && m->heartbeat.reported && !mh_machine_is_releasing (m))
        {
          all += m->type->cpus;
          used += m->usage.cpus;
        }
    }
  mh_info (
      core,
      "fleet: %u machines (%u idle), %u coming, %u leaving, %.2f an hour; %.0f of %.0f cpus in "
      "use; %u tasks waiting",
      live, idle, coming, leaving, an_hour, used, all, tasks_waiting (core));
}

void
mh_scale_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  if (now >= core->scale.summary_us)
    {
      core->scale.summary_us = now + SUMMARY_US;
      log_summary (core);
      log_longest_wait (core);
    }
  mh_inventory_step (core);
  if (now < core->scale.step_us)
    return;
  core->scale.step_us = now + STEP_US;
  bool waiting = tasks_waiting (core) > 0;
  /* What is being given back waits only when that is confirmed. */
  if (!waiting && core->release.under_way == 0 && core->release.wanted.length == 0)
    core->scale.lost_cpus = 0;
  if (may_rent (core))
    plan_and_rent (core);
  if (mh_recovery_is_complete (core->recovery))
    mh_consolidate (core, waiting);
}
