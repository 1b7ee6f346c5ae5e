#include "placement/gang-site.h"

#include "cluster/image-wait.h"
#include "placement/filter.h"
#include "placement/resources.h"
#include "placement/victim.h"

#include <string.h>

/* Of the time that the workers wait for a gang to be complete: it is not put where its images come
   further apart. */
#define MAX_APART_SHARE 0.6
/* Waits for images that differ by less are alike. */
#define WAIT_STEP_US (2 * MH_SECOND_US)

/* ---- order ---- */

/* The gang begins with its last image; then the cheapest, the one with the least room, the name. */
static gint
compare_sites (gconstpointer left, gconstpointer right)
{
  const MhGangSite *first = left, *second = right;
  gint64 first_step = first->image_wait_us / WAIT_STEP_US;
  gint64 second_step = second->image_wait_us / WAIT_STEP_US;
  if (first_step != second_step)
    return first_step < second_step ? -1 : 1;
  double first_price = mh_machine_hourly_cpu_price (first->machine);
  double second_price = mh_machine_hourly_cpu_price (second->machine);
  if (first_price != second_price)
    return first_price < second_price ? -1 : 1;
  if (first->slots[MH_GANG_ROOM_NOW] != second->slots[MH_GANG_ROOM_NOW])
    return first->slots[MH_GANG_ROOM_NOW] < second->slots[MH_GANG_ROOM_NOW] ? -1 : 1;
  return strcmp (first->machine->name, second->machine->name);
}

static gint
compare_cost (gconstpointer left, gconstpointer right)
{
  const MhGangSite *first = left, *second = right;
  if (first->cost != second->cost)
    return first->cost < second->cost ? -1 : 1;
  return compare_sites (left, right);
}

/* ---- the sites ---- */

static bool
admits (const MhJob *job, const MhMachine *machine)
{
  return mh_filter_spot (job->spec, machine) && (job->zone == NULL || job->zone == machine->zone)
         && mh_job_spec_fits_type (job->spec, machine->type);
}

static void
add_site (MhGangSites *sites, MhMachine *machine)
{
  const MhJobSpec *spec = sites->job->spec;
  MhResources preemptible;
  MhResources now = mh_resources_available (machine);
  MhResources soon = mh_victims_capacity (sites->job, machine, &preemptible);
  MhGangSite site = { .machine = machine };
  site.slots[MH_GANG_ROOM_NOW] = mh_resources_slots (&now, spec, spec->tasks);
  site.slots[MH_GANG_ROOM_SOON] = mh_resources_slots (&soon, spec, spec->tasks);
  /* Nothing is preempted for GPUs. */
  if (spec->gpus <= 0)
    site.slots[MH_GANG_ROOM_PREEMPTIBLE] = mh_resources_slots (&preemptible, spec, spec->tasks);
  if (site.slots[MH_GANG_ROOM_NOW] + site.slots[MH_GANG_ROOM_SOON]
          + site.slots[MH_GANG_ROOM_PREEMPTIBLE]
      == 0)
    return;
  site.image_wait_us
      = mh_machine_image_wait_us (sites->pass->cluster, machine, sites->job->image, spec->image_gb);
  g_array_append_val (sites->sites, site);
  if (!g_ptr_array_find (sites->zones, machine->zone, NULL))
    g_ptr_array_add (sites->zones, machine->zone);
}

void
mh_gang_sites_init (MhGangSites *sites, const MhPlacementPass *pass, MhJob *job)
{
  *sites = (MhGangSites){ .pass = pass,
                          .job = job,
                          .sites = g_array_new (FALSE, FALSE, sizeof (MhGangSite)),
                          .zones = g_ptr_array_new () };
  for (guint i = 0; i < pass->usable_machines->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (pass->usable_machines, i);
      if (admits (job, machine))
        add_site (sites, machine);
    }
  g_array_sort (sites->sites, compare_sites);
}

void
mh_gang_sites_clear (MhGangSites *sites)
{
  g_array_unref (sites->sites);
  g_ptr_array_unref (sites->zones);
}

void
mh_gang_sites_rank_by_cost (MhGangSites *sites)
{
  const MhJobSpec *spec = sites->job->spec;
  double loss_per_s = mh_victim_work_loss (spec, 1);
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < sites->sites->len; i++)
    {
      MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      guint tasks = MIN (site->slots[MH_GANG_ROOM_PREEMPTIBLE], spec->tasks);
      if (tasks == 0)
        continue;
      MhResources preemptible;
      MhResources soon = mh_victims_capacity (sites->job, site->machine, &preemptible);
      double loss = mh_victims_select (sites->pass->now_us, sites->job, site->machine, soon, tasks,
                                       victims);
      site->cost = loss / tasks + loss_per_s * (double)site->image_wait_us / MH_SECOND_US;
    }
  g_array_sort (sites->sites, compare_cost);
}

/* ---- selections ---- */

/* A selection that is being made. */
typedef struct
{
  MhGangSelection selection;
  gint64 first_image_us, max_apart_us;
  guint max_in_zone;
  guint *in_zone; /* by index into the zones: tasks there */
} Selecting;

static bool
images_come_together (const Selecting *selecting, gint64 image_wait_us)
{
  const MhGangSelection *selection = &selecting->selection;
  return selection->tasks == 0
         || MAX (selection->last_image_us, image_wait_us)
                    - MIN (selecting->first_image_us, image_wait_us)
                <= selecting->max_apart_us;
}

static void
take_site (const MhGangSites *sites, Selecting *selecting, MhGangSite *site, guint slots)
{
  MhGangSelection *selection = &selecting->selection;
  guint zone = 0;
  g_ptr_array_find (sites->zones, site->machine->zone, &zone);
  site->taken = MIN (MIN (slots, sites->job->spec->tasks - selection->tasks),
                     selecting->max_in_zone - selecting->in_zone[zone]);
  if (site->taken == 0)
    return;
  selecting->in_zone[zone] += site->taken;
  selecting->first_image_us = MIN (selecting->first_image_us, site->image_wait_us);
  selection->tasks += site->taken;
  selection->cost += site->cost * site->taken;
  selection->last_image_us = MAX (selection->last_image_us, site->image_wait_us);
}

MhGangSelection
mh_gang_sites_select (MhGangSites *sites, const char *zone, MhGangRoom room)
{
  const MhJobSpec *spec = sites->job->spec;
  double gang_wait_us = (double)sites->pass->settings->gang_wait_us;
  g_autofree guint *in_zone = g_new0 (guint, sites->zones->len + 1);
  Selecting selecting
      = { .first_image_us = G_MAXINT64,
          .max_apart_us = (gint64)(gang_wait_us * MAX_APART_SHARE),
          .max_in_zone = spec->spread_over_zones ? (spec->tasks + 1) / 2 : spec->tasks,
          .in_zone = in_zone };
  for (guint i = 0; i < sites->sites->len; i++)
    {
      MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      site->taken = 0;
      if ((zone && site->machine->zone != zone) || site->slots[room] == 0
          || selecting.selection.tasks == spec->tasks)
        continue;
      if (images_come_together (&selecting, site->image_wait_us))
        take_site (sites, &selecting, site, site->slots[room]);
    }
  return selecting.selection;
}

static bool
is_better (MhGangRoom room, const MhGangSelection *selection, const MhGangSelection *other)
{
  if (room == MH_GANG_ROOM_PREEMPTIBLE && selection->cost != other->cost)
    return selection->cost < other->cost;
  return selection->last_image_us < other->last_image_us;
}

bool
mh_gang_sites_select_best (MhGangSites *sites, MhGangRoom room, gint64 max_wait_us)
{
  const MhJobSpec *spec = sites->job->spec;
  MhGangSelection best = { 0 };
  const char *best_zone = NULL;
  bool found = false;
  guint groups = spec->single_zone ? sites->zones->len : MIN (sites->zones->len, 1);
  for (guint i = 0; i < groups; i++)
    {
      const char *zone = spec->single_zone ? g_ptr_array_index (sites->zones, i) : NULL;
      MhGangSelection selection = mh_gang_sites_select (sites, zone, room);
      if (selection.tasks < spec->tasks || selection.last_image_us > max_wait_us
          || (found && !is_better (room, &selection, &best)))
        continue;
      best = selection;
      best_zone = zone;
      found = true;
    }
  if (found)
    mh_gang_sites_select (sites, best_zone, room);
  return found;
}

void
mh_gang_sites_reserve (MhGangSites *sites)
{
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      if (site->taken)
        mh_resources_reserve (site->machine, sites->job->spec, site->taken);
    }
}
