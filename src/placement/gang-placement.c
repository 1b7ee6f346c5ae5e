#include "placement/gang-placement.h"

#include "cluster/cluster.h"
#include "jobs/objective.h"
#include "placement/gang-site.h"
#include "placement/preemption.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "placement/task-start.h"
#include "placement/victim.h"
#include "protocol/cloud-messages.h"

#include <string.h>

/* Time for which a pending gang holds available capacity in its best zone. It is long enough for
   machines that were requested for the rest of the gang to boot. After that only a starved gang
   holds capacity. */
#define CAPACITY_HOLD_US (90 * MH_SECOND_US)

/* ---- starting ---- */

static guint32
last_attempt_number (const MhJob *job)
{
  guint32 last = 0;
  for (guint i = 0; i < job->spec->tasks; i++)
    last = MAX (last, job->tasks[i].attempt);
  return last;
}

static void
start_selected_tasks (MhGangSites *sites)
{
  MhJob *job = sites->job;
  guint32 attempt = last_attempt_number (job) + 1;
  guint index = 0;
  mh_gang_state_apply (&job->gang, MH_GANG_EVENT_PLACED, sites->pass->now_us);
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      for (guint j = 0; j < site->selected_tasks; j++)
        mh_task_start (sites->pass, job, index++, attempt, site->machine, MH_URGENCY_USER);
    }
}

/* ---- waiting ---- */

static void
stop_victims (MhGangSites *sites, const MhGangSite *site, GPtrArray *victims)
{
  MhResources preemptible;
  MhResources after_stops = mh_victims_capacity (sites->job, site->machine, &preemptible);
  mh_victims_select (sites->pass->now_us, sites->job, site->machine, after_stops,
                     site->selected_tasks, victims);
  mh_preemption_stop_victims (sites->pass, sites->job, victims);
}

/* Selects sites for all tasks and preempts the tasks that occupy the missing room. Returns false if
   preemption cannot make room for all tasks. */
static bool
make_room (MhGangSites *sites, gint64 max_wait_us)
{
  mh_gang_sites_rank_by_cost (sites);
  if (!mh_gang_sites_select_best (sites, MH_GANG_CAPACITY_PREEMPTIBLE, max_wait_us))
    return false;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      if (site->selected_tasks > site->slots[MH_GANG_CAPACITY_AFTER_STOPS])
        stop_victims (sites, site, victims);
    }
  mh_gang_sites_reserve (sites);
  return true;
}

/* Reserves room that is being freed, or makes it by preemption, on machines where all images are
   present within `max_wait_us`. Returns false if there is no such room. */
static bool
reserve_or_make_room (MhGangSites *sites, bool may_preempt, gint64 max_wait_us,
                      MhGangPlacementResult *placement)
{
  *placement = MH_GANG_PENDING;
  if (mh_gang_sites_select_best (sites, MH_GANG_CAPACITY_AFTER_STOPS, max_wait_us))
    {
      mh_gang_sites_reserve (sites);
      return true;
    }
  if (!may_preempt || !make_room (sites, max_wait_us))
    return false;
  *placement = MH_GANG_PREEMPTING;
  return true;
}

/* Holds the available capacity of the zone in which most tasks fit. Machines boot and become free
   one at a time, and smaller work would take each one before the next one is available. */
static void
hold_capacity (MhGangSites *sites)
{
  MhJobGang *gang = &sites->job->gang;
  const char *best = NULL;
  guint most = 0;
  for (guint i = 0; i < sites->zones->len; i++)
    {
      const char *zone = g_ptr_array_index (sites->zones, i);
      guint tasks = mh_gang_sites_select (sites, zone, MH_GANG_CAPACITY_AVAILABLE).tasks;
      if (tasks > most)
        {
          most = tasks;
          best = zone;
        }
    }
  if (best == NULL)
    return;
  gang->held_tasks = mh_gang_sites_select (sites, best, MH_GANG_CAPACITY_AVAILABLE).tasks;
  gang->held_zone = sites->job->spec->single_zone ? best : NULL;
  mh_gang_sites_reserve (sites);
}

/* ---- all or none ---- */

static bool
start_now (MhGangSites *sites, gint64 max_wait_us)
{
  if (!mh_gang_sites_select_best (sites, MH_GANG_CAPACITY_AVAILABLE, max_wait_us))
    return false;
  start_selected_tasks (sites);
  return true;
}

/* Returns the image wait up to which the gang's start is in time; for a gang that is not urgent,
   there is no limit. Where the images of an urgent gang would be late, it takes the room of tasks
   further back in the queue instead, on machines where its images are in time, as a
   service does. */
static gint64
max_image_wait_us (const MhPlacementPass *pass, const MhJob *job)
{
  if (job->spec->priority < MH_PRIORITY_HIGH)
    return G_MAXINT64;
  return MAX (mh_objective_slack_us (pass->settings, job, pass->now_us), 0);
}

static MhGangPlacementResult
place_all_tasks (MhGangSites *sites, bool may_preempt)
{
  MhJob *job = sites->job;
  const MhPlacementPass *pass = sites->pass;
  gint64 in_time_wait_us = max_image_wait_us (pass, job);
  MhGangPlacementResult placement;
  if (start_now (sites, in_time_wait_us))
    return MH_GANG_STARTED;
  if (in_time_wait_us < G_MAXINT64
      && reserve_or_make_room (sites, may_preempt, in_time_wait_us, &placement))
    return placement;
  if (start_now (sites, G_MAXINT64))
    return MH_GANG_STARTED;
  if (reserve_or_make_room (sites, may_preempt, G_MAXINT64, &placement))
    return placement;
  if (job->placement.starved || pass->now_us - job->placement.unplaced_since_us < CAPACITY_HOLD_US)
    hold_capacity (sites);
  return MH_GANG_PENDING;
}

MhGangPlacementResult
mh_gang_place (const MhPlacementPass *pass, MhJob *job, bool may_preempt)
{
  const MhJobSpec *spec = job->spec;
  job->gang.held_tasks = 0;
  job->gang.held_zone = NULL;
  if (job->n_live || job->gang.state == MH_GANG_STATE_ENDING
      || !mh_quota_fits (pass->settings, mh_cluster_team_use (pass->cluster, spec->team), job,
                         spec->cpus * spec->tasks, spec->gpus * spec->tasks))
    return MH_GANG_PENDING;
  MhGangSites sites;
  mh_gang_sites_init (&sites, pass, job);
  MhGangPlacementResult placement = place_all_tasks (&sites, may_preempt);
  mh_gang_sites_clear (&sites);
  return placement;
}
