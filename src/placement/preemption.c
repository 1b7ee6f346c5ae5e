#include "placement/preemption.h"

#include "cluster/attempt.h"
#include "cluster/cluster.h"
#include "cluster/image-wait.h"
#include "jobs/job-queue.h"
#include "placement/candidate.h"
#include "placement/filter.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "placement/victim.h"

#include <string.h>

/* Fraction (1/n) of its start slack for which a job waits for running tasks to complete before it
   may preempt any. */
#define START_SLACK_DIVISOR 3
/* Limits the machines on which one pass looks for tasks to preempt, so that a pass on thousands of
   machines ends well within the leader lease. The pass after it goes on with the next job. */
#define MAX_SEARCHED_MACHINES_PER_PASS 24000u

/* ---- conditions ---- */

/* An urgent gang does not wait: the wait delayed its start by three seconds. */
static bool
should_wait_for_completions (const MhJobSpec *spec)
{
  return spec->shape == MH_SHAPE_ARRAY
         || (spec->shape == MH_SHAPE_GANG && spec->priority < MH_PRIORITY_HIGH);
}

bool
mh_preemption_is_allowed (const MhPlacementPass *pass, const MhJob *job, gint64 start_slack_us)
{
  if (!pass->is_recovery_complete
      || (mh_job_queue_tier (job) == MH_TIER_REST && job->spec->priority <= MH_PRIORITY_LOW))
    return false;
  gint64 wait_until_us = job->placement.unplaced_since_us + start_slack_us / START_SLACK_DIVISOR;
  if (should_wait_for_completions (job->spec) && pass->now_us < wait_until_us)
    {
      mh_runtime_wake_at (pass->runtime, wait_until_us);
      return false;
    }
  return true;
}

/* Whether preemption has already failed in this pass for a job that needs no more room, and that
   may stop every task that this job may stop. */
static bool
is_known_to_fail (const MhPlacementPass *pass, const MhJob *job)
{
  const MhJobSpec *spec = job->spec;
  for (guint i = 0; i < pass->failed_preemptors->len; i++)
    {
      const MhJob *other = g_ptr_array_index (pass->failed_preemptors, i);
      bool has_no_lower_rank = mh_job_queue_tier (other) <= mh_job_queue_tier (job)
                               && other->spec->priority >= spec->priority;
      bool needs_no_more = other->spec->cpus <= spec->cpus && other->spec->mem_gb <= spec->mem_gb
                           && (other->spec->spot || !spec->spot);
      bool has_same_quota_rights
          = !job->placement.guaranteed
            || (other->placement.guaranteed && strcmp (other->spec->team, spec->team) == 0);
      if (has_no_lower_rank && needs_no_more && has_same_quota_rights)
        return true;
    }
  return false;
}

/* Whether the job has no constraints on machines or zones of its own, so that what fails for it
   also fails for other jobs. */
static bool
is_unconstrained (const MhJobCycle *cycle)
{
  const MhJobSpec *spec = cycle->job->spec;
  return !cycle->is_service && !spec->types && !spec->zone && !spec->single_zone
         && !spec->spread_over_zones;
}

/* ---- making room ---- */

/* Whether a task fits on the machine once the tasks that are being stopped have left it. */
static bool
has_room_after_stops (const MhPlacementPass *pass, const MhJob *job, const MhMachine *machine)
{
  if (machine->usage.stopping == 0)
    return mh_filter_resources (machine, job->spec);
  mh_runtime_count (pass->runtime, MH_COUNTER_PREEMPTION_SITES);
  MhResources preemptible;
  MhResources available = mh_victims_capacity (job, machine, &preemptible);
  return mh_victims_suffice (&available, job->spec, 1);
}

static bool
is_search_left (const MhPlacementPass *pass)
{
  return pass->search_first == NULL && pass->searched_machines < MAX_SEARCHED_MACHINES_PER_PASS;
}

/* Whether the search for tasks to preempt has reached the job and may examine all machines. A job
   that has searched in this pass has had its turn. */
static bool
may_search (MhPlacementPass *pass, const MhJob *job)
{
  const char *id = job->spec->id;
  if (pass->search_first && strcmp (pass->search_first, id) != 0)
    return false;
  pass->search_first = NULL;
  if (is_search_left (pass))
    {
      pass->last_searched = job;
      return true;
    }
  if (pass->search_next == NULL && pass->last_searched != job)
    pass->search_next = g_strdup (id);
  return false;
}

/* Reserves room on a machine where the image is in time and the task fits once the tasks that are
   being stopped have left. Returns whether there is such a machine. Without this check, a replica
   for which a task had been stopped was started elsewhere before that task was gone. */
static bool
reserve_room_being_freed (MhJobCycle *cycle, gint64 max_wait_us)
{
  const MhJobSpec *spec = cycle->job->spec;
  MhPlacementPass *pass = cycle->pass;
  bool has_room = false;
  if (mh_infeasible_is_known (pass->no_room_after_stops, spec))
    return false;
  for (guint i = 0; i < pass->usable_machines->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (pass->usable_machines, i);
      if (!has_room_after_stops (pass, cycle->job, machine) || !mh_filter_machine (cycle, machine))
        continue;
      has_room = true;
      if (!mh_filter_zone (cycle, cycle->zone_of[machine->zone_index])
          || mh_machine_image_wait_us (pass->cluster, machine, cycle->job->image, spec->image_gb)
                 > max_wait_us)
        continue;
      mh_resources_reserve (machine, spec, 1);
      return true;
    }
  if (!has_room)
    mh_infeasible_add (pass->no_room_after_stops, spec);
  return false;
}

/* A machine on which room could be made, and what that would cost. */
typedef struct
{
  MhMachine *machine;
  gint64 image_wait_us;
  double loss;
} PreemptionSite;

/* Returns false if the task cannot run on the machine, its image would be late there, or the loss
   is certainly `max_loss` or more. */
static bool
evaluate_site (const MhJobCycle *cycle, gint64 max_wait_us, double max_loss, GPtrArray *victims,
               PreemptionSite *site)
{
  const MhJobSpec *spec = cycle->job->spec;
  MhResources preemptible;
  if (!mh_filter_admits (cycle, site->machine))
    return false;
  mh_runtime_count (cycle->pass->runtime, MH_COUNTER_PREEMPTION_SITES);
  MhResources available = mh_victims_capacity (cycle->job, site->machine, &preemptible);
  if (!mh_victims_suffice (&preemptible, spec, 1))
    return false;
  site->image_wait_us = mh_machine_image_wait_us (cycle->pass->cluster, site->machine,
                                                  cycle->job->image, spec->image_gb);
  if (site->image_wait_us > max_wait_us)
    return false;
  /* The tasks need not be compared where the image alone takes as long as the best machine found.
   */
  if ((double)site->image_wait_us / MH_SECOND_US >= max_loss)
    return false;
  site->loss
      = (double)site->image_wait_us / MH_SECOND_US
        + mh_victims_select (cycle->pass->now_us, cycle->job, site->machine, available, 1, victims);
  return true;
}

static PreemptionSite
find_site_with_least_loss (const MhJobCycle *cycle, gint64 max_wait_us)
{
  PreemptionSite best = { .loss = G_MAXDOUBLE };
  cycle->pass->searched_machines += cycle->pass->usable_machines->len;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < cycle->pass->usable_machines->len; i++)
    {
      PreemptionSite site = { .machine = g_ptr_array_index (cycle->pass->usable_machines, i) };
      if (evaluate_site (cycle, max_wait_us, best.loss, victims, &site) && site.loss < best.loss)
        best = site;
    }
  return best;
}

void
mh_preemption_stop_victims (const MhPlacementPass *pass, const MhJob *preemptor,
                            const GPtrArray *victims)
{
  for (guint i = 0; i < victims->len; i++)
    {
      MhAttempt *victim = g_ptr_array_index (victims, i);
      mh_log_info (pass->runtime, "task preempted job=%s task=%u machine=%s for_job=%s",
                   victim->job->spec->id, victim->index, victim->machine->name,
                   preemptor->spec->id);
      mh_attempt_stop (pass->cluster, victim, mh_job_grace_us (victim->job));
    }
  mh_infeasible_clear (pass->no_room_after_stops);
}

/* Returns false if there is no machine on which stopping tasks would make enough room. */
static bool
preempt_for_task (MhJobCycle *cycle, gint64 max_wait_us)
{
  PreemptionSite site = find_site_with_least_loss (cycle, max_wait_us);
  if (site.machine == NULL)
    return false;
  /* A replica that waits for a booting machine needs no room. Without this check, room was made
     for it, but once the room was free, the replica was deferred for a booting machine, other tasks
     took the room, and more tasks were stopped to make room again: at the start of a day, eighty
     tasks were stopped for one service. */
  if (mh_booting_machine_claim (cycle, site.image_wait_us))
    return true;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  MhResources preemptible;
  MhResources available = mh_victims_capacity (cycle->job, site.machine, &preemptible);
  mh_victims_select (cycle->pass->now_us, cycle->job, site.machine, available, 1, victims);
  mh_preemption_stop_victims (cycle->pass, cycle->job, victims);
  mh_resources_reserve (site.machine, cycle->job->spec, 1);
  return true;
}

bool
mh_preemption_make_room_for_task (MhJobCycle *cycle, gint64 max_wait_us)
{
  MhPlacementPass *pass = cycle->pass;
  if (cycle->job->spec->gpus > 0)
    return false;
  if (reserve_room_being_freed (cycle, max_wait_us))
    return true;
  if (!pass->may_preempt || pass->preemptions >= MH_MAX_PREEMPTIONS_PER_PASS
      || !may_search (pass, cycle->job))
    return false;
  pass->last_preemption_us = pass->now_us;
  if (!preempt_for_task (cycle, max_wait_us))
    return false;
  pass->preemptions++;
  return true;
}

void
mh_preemption_make_room (MhJobCycle *cycle)
{
  const MhPlacementPass *pass = cycle->pass;
  MhJob *job = cycle->job;
  const MhTeamUse *use = mh_cluster_team_use (pass->cluster, job->spec->team);
  if (!mh_preemption_is_allowed (pass, job, cycle->start_slack_us))
    return;
  double cpus = 0;
  for (guint i = mh_job_pending_tasks (job); i > cycle->tasks_awaiting_room; i--)
    {
      cpus += job->spec->cpus;
      if (!mh_quota_fits (pass->settings, use, job, cpus, 0) || is_known_to_fail (cycle->pass, job))
        return;
      /* First tries machines where the image is in time. A late start is better than none. */
      if (mh_preemption_make_room_for_task (cycle, cycle->start_slack_us)
          || mh_preemption_make_room_for_task (cycle, G_MAXINT64))
        continue;
      if (cycle->pass->preemptions < MH_MAX_PREEMPTIONS_PER_PASS && is_unconstrained (cycle)
          && is_search_left (cycle->pass))
        g_ptr_array_add (cycle->pass->failed_preemptors, job);
      return;
    }
}
