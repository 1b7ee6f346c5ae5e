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

/* What is available in its best zone is held for a gang that waits, until machines requested for
   the rest have had the time to come; after that only when it is starved. */
#define HOLD_US (90 * MH_SECOND_US)

/* Whether a type that fits is offered in another zone than `first`, which is set by the first one.
 */
static bool
has_second_zone (const MhMachineType *type, const char **first)
{
  for (char **zone = type->zones; zone && *zone; zone++)
    {
      if (*first && strcmp (*first, *zone) != 0)
        return true;
      *first = *zone;
    }
  return false;
}

bool
mh_gang_is_feasible (const GPtrArray *types, const MhJobSpec *spec)
{
  if (!spec->spread_over_zones || spec->tasks == 1)
    return true;
  if (spec->single_zone || spec->zone)
    return false;
  const char *first = NULL;
  for (guint i = 0; types && i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (mh_job_spec_fits_type (spec, type) && has_second_zone (type, &first))
        return true;
    }
  return false;
}

/* ---- starting ---- */

static guint32
last_attempt (const MhJob *job)
{
  guint32 last = 0;
  for (guint i = 0; i < job->spec->tasks; i++)
    last = MAX (last, job->tasks[i].attempt);
  return last;
}

static void
start_selected (MhGangSites *sites)
{
  MhJob *job = sites->job;
  guint32 attempt = last_attempt (job) + 1;
  guint index = 0;
  mh_job_gang_apply (&job->gang, MH_GANG_EVENT_PLACED, sites->pass->now_us);
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      for (guint j = 0; j < site->taken; j++)
        mh_task_start (sites->pass, job, index++, attempt, site->machine, MH_URGENCY_USER);
    }
}

/* ---- waiting ---- */

static void
stop_victims (MhGangSites *sites, const MhGangSite *site, GPtrArray *victims)
{
  MhResources preemptible;
  MhResources soon = mh_victims_capacity (sites->job, site->machine, &preemptible);
  mh_victims_select (sites->pass->now_us, sites->job, site->machine, soon, site->taken, victims);
  mh_preemption_stop_victims (sites->pass, sites->job, victims);
}

/* Stops lesser work for as many tasks as there is no room for. */
static bool
make_room (MhGangSites *sites, gint64 max_wait_us)
{
  mh_gang_sites_rank_by_cost (sites);
  if (!mh_gang_sites_select_best (sites, MH_GANG_ROOM_PREEMPTIBLE, max_wait_us))
    return false;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      if (site->taken > site->slots[MH_GANG_ROOM_SOON])
        stop_victims (sites, site, victims);
    }
  mh_gang_sites_reserve (sites);
  return true;
}

/* Room that is being made, or can be, where the last image comes in time. */
static bool
wait_for_room (MhGangSites *sites, bool may_preempt, gint64 max_wait_us, MhGangPlacement *placement)
{
  *placement = MH_GANG_PENDING;
  if (mh_gang_sites_select_best (sites, MH_GANG_ROOM_SOON, max_wait_us))
    {
      mh_gang_sites_reserve (sites);
      return true;
    }
  if (!may_preempt || !make_room (sites, max_wait_us))
    return false;
  *placement = MH_GANG_PREEMPTING;
  return true;
}

/* Holds what is available where there is the most of it: machines come and fall free one by one,
   and each would be taken by smaller work before the next one is there. */
static void
hold_capacity (MhGangSites *sites)
{
  MhJobGang *gang = &sites->job->gang;
  const char *best = NULL;
  guint most = 0;
  for (guint i = 0; i < sites->zones->len; i++)
    {
      const char *zone = g_ptr_array_index (sites->zones, i);
      guint tasks = mh_gang_sites_select (sites, zone, MH_GANG_ROOM_NOW).tasks;
      if (tasks > most)
        {
          most = tasks;
          best = zone;
        }
    }
  if (best == NULL)
    return;
  gang->held_tasks = mh_gang_sites_select (sites, best, MH_GANG_ROOM_NOW).tasks;
  gang->held_zone = sites->job->spec->single_zone ? best : NULL;
  mh_gang_sites_reserve (sites);
}

/* ---- all or none ---- */

static bool
start_now (MhGangSites *sites, gint64 max_wait_us)
{
  if (!mh_gang_sites_select_best (sites, MH_GANG_ROOM_NOW, max_wait_us))
    return false;
  start_selected (sites);
  return true;
}

/* Like a service, an urgent gang that would come too late by its image rather takes the room of
   lesser work where the image is. */
static gint64
max_image_wait_us (const MhPlacementPass *pass, const MhJob *job)
{
  if (job->spec->priority < MH_PRIORITY_HIGH)
    return G_MAXINT64;
  return MAX (mh_objective_slack_us (pass->settings, job, pass->now_us), 0);
}

static MhGangPlacement
place (MhGangSites *sites, bool may_preempt)
{
  MhJob *job = sites->job;
  const MhPlacementPass *pass = sites->pass;
  gint64 in_time_us = max_image_wait_us (pass, job);
  MhGangPlacement placement;
  if (start_now (sites, in_time_us))
    return MH_GANG_STARTED;
  if (in_time_us < G_MAXINT64 && wait_for_room (sites, may_preempt, in_time_us, &placement))
    return placement;
  if (start_now (sites, G_MAXINT64))
    return MH_GANG_STARTED;
  if (wait_for_room (sites, may_preempt, G_MAXINT64, &placement))
    return placement;
  if (job->placement.starved || pass->now_us - job->placement.unplaced_since_us < HOLD_US)
    hold_capacity (sites);
  return MH_GANG_PENDING;
}

MhGangPlacement
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
  MhGangPlacement placement = place (&sites, may_preempt);
  mh_gang_sites_clear (&sites);
  return placement;
}
