#include "placement/preemption.h"

#include "controller/core-private.h"

#include <string.h>

/* Of the time that a job has, the part in which it waits for running tasks to end by themselves. */
#define WAIT_PART 3

/* ---- may it be made ---- */

/* A gang that is urgent once did, and began three seconds later for it. */
static bool
waits_for_endings (const MhJobSpec *spec)
{
  return spec->shape == MH_SHAPE_ARRAY
         || (spec->shape == MH_SHAPE_GANG && spec->priority < MH_PRIORITY_HIGH);
}

bool
mh_preemption_is_allowed (const MhPlacementPass *pass, const MhJob *job, gint64 start_slack_us)
{
  if (!pass->is_rebuilt
      || (mh_job_queue_tier (job) == MH_TIER_REST && job->spec->priority <= MH_PRIORITY_LOW))
    return false;
  gint64 waits_until_us = job->placement.unplaced_since_us + start_slack_us / WAIT_PART;
  if (waits_for_endings (job->spec) && pass->now_us < waits_until_us)
    {
      mh_core_wake_at (pass->core, waits_until_us);
      return false;
    }
  return true;
}

/* Whether an earlier job that might have stopped all that this one may, for no more room, could
 * not. */
static bool
is_known_to_fail (const MhPlacementPass *pass, const MhJob *job)
{
  const MhJobSpec *spec = job->spec;
  for (guint i = 0; i < pass->not_preempting->len; i++)
    {
      const MhJob *other = g_ptr_array_index (pass->not_preempting, i);
      bool no_less_rank = mh_job_queue_tier (other) <= mh_job_queue_tier (job)
                          && other->spec->priority >= spec->priority;
      bool no_more_room = other->spec->cpus <= spec->cpus && other->spec->mem_gb <= spec->mem_gb
                          && (other->spec->spot || !spec->spot);
      bool same_quota
          = !job->placement.guaranteed
            || (other->placement.guaranteed && strcmp (other->spec->team, spec->team) == 0);
      if (no_less_rank && no_more_room && same_quota)
        return true;
    }
  return false;
}

/* What holds for others too: the job itself rules no machine out. */
static bool
may_go_anywhere (const MhJobCycle *cycle)
{
  const MhJobSpec *spec = cycle->job->spec;
  return !cycle->is_service && !spec->types && !spec->zone && !spec->single_zone
         && !spec->spread_over_zones;
}

/* ---- making it ---- */

/* Whether room for the task is being made where its image comes in time. Without this look a
   replica, for which a task had been stopped, was started elsewhere before that one was gone. */
static bool
keep_room_being_made (MhJobCycle *cycle, gint64 image_wait_us)
{
  const MhJobSpec *spec = cycle->job->spec;
  for (guint i = 0; i < cycle->pass->usable_machines->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (cycle->pass->usable_machines, i);
      MhResources preemptible;
      if (!mh_filter_admits (cycle, machine))
        continue;
      MhResources available = mh_victims_capacity (cycle->job, machine, &preemptible);
      if (!mh_victims_suffice (&available, spec, 1)
          || mh_machine_image_wait_us (cycle->pass->cluster, machine, cycle->job->image,
                                       spec->image_gb)
                 > image_wait_us)
        continue;
      mh_resources_reserve (machine, spec, 1);
      return true;
    }
  return false;
}

/* A machine on which room could be made. */
typedef struct
{
  MhMachine *machine;
  gint64 image_wait_us;
  double loss;
} Site;

/* False: the task cannot go there, or its image comes too late. */
static bool
evaluate_site (const MhJobCycle *cycle, gint64 max_wait_us, GPtrArray *victims, Site *site)
{
  const MhJobSpec *spec = cycle->job->spec;
  MhResources preemptible;
  if (!mh_filter_admits (cycle, site->machine))
    return false;
  MhResources available = mh_victims_capacity (cycle->job, site->machine, &preemptible);
  if (!mh_victims_suffice (&preemptible, spec, 1))
    return false;
  site->image_wait_us = mh_machine_image_wait_us (cycle->pass->cluster, site->machine,
                                                  cycle->job->image, spec->image_gb);
  if (site->image_wait_us > max_wait_us)
    return false;
  site->loss
      = (double)site->image_wait_us / MH_SECOND_US
        + mh_victims_select (cycle->pass->now_us, cycle->job, site->machine, available, 1, victims);
  return true;
}

static Site
find_least_loss (const MhJobCycle *cycle, gint64 max_wait_us)
{
  Site best = { .loss = G_MAXDOUBLE };
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < cycle->pass->usable_machines->len; i++)
    {
      Site site = { .machine = g_ptr_array_index (cycle->pass->usable_machines, i) };
      if (evaluate_site (cycle, max_wait_us, victims, &site) && site.loss < best.loss)
        best = site;
    }
  return best;
}

void
mh_preemption_stop_victims (MhCore *core, const MhJob *preemptor, const GPtrArray *victims)
{
  for (guint i = 0; i < victims->len; i++)
    {
      MhAttempt *victim = g_ptr_array_index (victims, i);
      mh_info (core, "task stopped to make room job=%s task=%u machine=%s for_job=%s",
               victim->job->spec->id, victim->index, victim->machine->name, preemptor->spec->id);
      mh_attempt_stop (core->cluster, victim, mh_job_grace_us (victim->job));
    }
}

/* False: there is no machine on which enough could be stopped. */
static bool
preempt_for_task (MhJobCycle *cycle, gint64 max_wait_us)
{
  Site site = find_least_loss (cycle, max_wait_us);
  if (site.machine == NULL)
    return false;
  /* Else it would be passed over on the very room that was made, others would take it, and more
     would be made: at the start of a day one service had eighty tasks stopped so. */
  if (mh_arrival_claim (cycle, site.image_wait_us))
    return true;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  MhResources preemptible;
  MhResources available = mh_victims_capacity (cycle->job, site.machine, &preemptible);
  mh_victims_select (cycle->pass->now_us, cycle->job, site.machine, available, 1, victims);
  mh_preemption_stop_victims (cycle->pass->core, cycle->job, victims);
  mh_resources_reserve (site.machine, cycle->job->spec, 1);
  return true;
}

bool
mh_preemption_make_room_for_task (MhJobCycle *cycle, gint64 image_wait_us)
{
  MhPlacementPass *pass = cycle->pass;
  if (cycle->job->spec->gpus > 0)
    return false;
  if (keep_room_being_made (cycle, image_wait_us))
    return true;
  if (!pass->may_preempt || pass->preemptions >= MH_PREEMPTIONS_PER_PASS)
    return false;
  pass->last_preemption_us = pass->now_us;
  if (!preempt_for_task (cycle, image_wait_us))
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
  for (guint i = mh_job_pending_tasks (job); i > cycle->room_made; i--)
    {
      cpus += job->spec->cpus;
      if (!mh_quota_fits (pass->settings, use, job, cpus, 0) || is_known_to_fail (cycle->pass, job))
        return;
      /* In time at first; then late rather than not at all. */
      if (mh_preemption_make_room_for_task (cycle, cycle->start_slack_us)
          || mh_preemption_make_room_for_task (cycle, G_MAXINT64))
        continue;
      if (cycle->pass->preemptions < MH_PREEMPTIONS_PER_PASS && may_go_anywhere (cycle))
        g_ptr_array_add (cycle->pass->not_preempting, job);
      return;
    }
}
