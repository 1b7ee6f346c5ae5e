#include "placement/gang-site.h"

#include "cluster/image-wait.h"
#include "placement/filter.h"
#include "placement/resources.h"
#include "placement/victim.h"

#include <string.h>

/* Maximum difference between the image waits of a gang's machines, as a share of the time for which
   the workers wait for a gang to be complete: the first workers must not give up before the last
   image is present. */
#define MAX_IMAGE_WAIT_DIFFERENCE_SHARE 0.6
/* Image waits within the same step rank alike. */
#define IMAGE_WAIT_STEP_US (2 * MH_SECOND_US)

/* ---- order ---- */

/* Ranks by image wait, since the gang begins when its last image is present; then by the price of a
   CPU, by the available room, least first, and by name. */
static gint
compare_sites (gconstpointer left, gconstpointer right)
{
  const MhGangSite *first = left, *second = right;
  gint64 first_step = first->image_wait_us / IMAGE_WAIT_STEP_US;
  gint64 second_step = second->image_wait_us / IMAGE_WAIT_STEP_US;
  if (first_step != second_step)
    return first_step < second_step ? -1 : 1;
  double first_price = mh_machine_hourly_cpu_price (first->machine);
  double second_price = mh_machine_hourly_cpu_price (second->machine);
  if (first_price != second_price)
    return first_price < second_price ? -1 : 1;
  if (first->slots[MH_GANG_CAPACITY_AVAILABLE] != second->slots[MH_GANG_CAPACITY_AVAILABLE])
    return first->slots[MH_GANG_CAPACITY_AVAILABLE] < second->slots[MH_GANG_CAPACITY_AVAILABLE] ? -1
                                                                                                : 1;
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
is_machine_allowed (const MhJob *job, const MhMachine *machine)
{
  return mh_filter_spot (job->spec, machine) && (job->zone == NULL || job->zone == machine->zone)
         && mh_job_spec_fits_type (job->spec, machine->type);
}

static void
add_site (MhGangSites *sites, MhMachine *machine)
{
  const MhJobSpec *spec = sites->job->spec;
  MhResources preemptible;
  MhResources available = mh_resources_available (machine);
  MhResources after_stops = mh_victims_capacity (sites->job, machine, &preemptible);
  MhGangSite site = { .machine = machine };
  site.slots[MH_GANG_CAPACITY_AVAILABLE] = mh_resources_count_slots (&available, spec, spec->tasks);
  site.slots[MH_GANG_CAPACITY_AFTER_STOPS]
      = mh_resources_count_slots (&after_stops, spec, spec->tasks);
  /* No task is preempted for a gang that needs GPUs. */
  if (spec->gpus <= 0)
    site.slots[MH_GANG_CAPACITY_PREEMPTIBLE]
        = mh_resources_count_slots (&preemptible, spec, spec->tasks);
  if (site.slots[MH_GANG_CAPACITY_AVAILABLE] + site.slots[MH_GANG_CAPACITY_AFTER_STOPS]
          + site.slots[MH_GANG_CAPACITY_PREEMPTIBLE]
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
      if (is_machine_allowed (job, machine))
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
      guint tasks = MIN (site->slots[MH_GANG_CAPACITY_PREEMPTIBLE], spec->tasks);
      if (tasks == 0)
        continue;
      MhResources preemptible;
      MhResources after_stops = mh_victims_capacity (sites->job, site->machine, &preemptible);
      double loss = mh_victims_select (sites->pass->now_us, sites->job, site->machine, after_stops,
                                       tasks, victims);
      site->cost = loss / tasks + loss_per_s * (double)site->image_wait_us / MH_SECOND_US;
    }
  g_array_sort (sites->sites, compare_cost);
}

/* ---- selections ---- */

/* A selection in progress, and its limits. */
typedef struct
{
  MhGangSelection selection;
  gint64 first_image_wait_us, max_wait_difference_us;
  guint max_tasks_per_zone;
  guint *tasks_by_zone; /* by index into MhGangSites.zones: number of selected tasks */
} SelectionState;

static bool
is_image_wait_compatible (const SelectionState *state, gint64 image_wait_us)
{
  const MhGangSelection *selection = &state->selection;
  return selection->tasks == 0
         || MAX (selection->last_image_wait_us, image_wait_us)
                    - MIN (state->first_image_wait_us, image_wait_us)
                <= state->max_wait_difference_us;
}

static void
select_site (const MhGangSites *sites, SelectionState *state, MhGangSite *site, guint slots)
{
  MhGangSelection *selection = &state->selection;
  guint zone = 0;
  g_ptr_array_find (sites->zones, site->machine->zone, &zone);
  site->selected_tasks = MIN (MIN (slots, sites->job->spec->tasks - selection->tasks),
                              state->max_tasks_per_zone - state->tasks_by_zone[zone]);
  if (site->selected_tasks == 0)
    return;
  state->tasks_by_zone[zone] += site->selected_tasks;
  state->first_image_wait_us = MIN (state->first_image_wait_us, site->image_wait_us);
  selection->tasks += site->selected_tasks;
  selection->cost += site->cost * site->selected_tasks;
  selection->last_image_wait_us = MAX (selection->last_image_wait_us, site->image_wait_us);
}

MhGangSelection
mh_gang_sites_select (MhGangSites *sites, const char *zone, MhGangCapacity capacity)
{
  const MhJobSpec *spec = sites->job->spec;
  double gang_wait_us = (double)sites->pass->settings->gang_wait_us;
  g_autofree guint *tasks_by_zone = g_new0 (guint, sites->zones->len + 1);
  SelectionState state
      = { .first_image_wait_us = G_MAXINT64,
          .max_wait_difference_us = (gint64)(gang_wait_us * MAX_IMAGE_WAIT_DIFFERENCE_SHARE),
          .max_tasks_per_zone = spec->spread_over_zones ? (spec->tasks + 1) / 2 : spec->tasks,
          .tasks_by_zone = tasks_by_zone };
  for (guint i = 0; i < sites->sites->len; i++)
    {
      MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      site->selected_tasks = 0;
      if ((zone && site->machine->zone != zone) || site->slots[capacity] == 0
          || state.selection.tasks == spec->tasks)
        continue;
      if (is_image_wait_compatible (&state, site->image_wait_us))
        select_site (sites, &state, site, site->slots[capacity]);
    }
  return state.selection;
}

static bool
is_better (MhGangCapacity capacity, const MhGangSelection *selection, const MhGangSelection *other)
{
  if (capacity == MH_GANG_CAPACITY_PREEMPTIBLE && selection->cost != other->cost)
    return selection->cost < other->cost;
  return selection->last_image_wait_us < other->last_image_wait_us;
}

bool
mh_gang_sites_select_best (MhGangSites *sites, MhGangCapacity capacity, gint64 max_wait_us)
{
  const MhJobSpec *spec = sites->job->spec;
  MhGangSelection best = { 0 };
  const char *best_zone = NULL;
  bool found = false;
  guint zone_choices = spec->single_zone ? sites->zones->len : MIN (sites->zones->len, 1);
  for (guint i = 0; i < zone_choices; i++)
    {
      const char *zone = spec->single_zone ? g_ptr_array_index (sites->zones, i) : NULL;
      MhGangSelection selection = mh_gang_sites_select (sites, zone, capacity);
      if (selection.tasks < spec->tasks || selection.last_image_wait_us > max_wait_us
          || (found && !is_better (capacity, &selection, &best)))
        continue;
      best = selection;
      best_zone = zone;
      found = true;
    }
  if (found)
    mh_gang_sites_select (sites, best_zone, capacity);
  return found;
}

void
mh_gang_sites_reserve (MhGangSites *sites)
{
  for (guint i = 0; i < sites->sites->len; i++)
    {
      const MhGangSite *site = &g_array_index (sites->sites, MhGangSite, i);
      if (site->selected_tasks)
        mh_resources_reserve (site->machine, sites->job->spec, site->selected_tasks);
    }
}
