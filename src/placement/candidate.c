#include "placement/candidate.h"

#include "cluster/attempt.h"
#include "cluster/cluster.h"
#include "cluster/failure-detection.h"
#include "cluster/image-wait.h"
#include "cluster/machine-registry.h"
#include "jobs/objective.h"
#include "placement/filter.h"
#include "placement/resources.h"
#include "placement/score.h"

/* Age, in boot times of its type, up to which a machine that has not reported counts as booting. No
   task waits for an older one. */
#define MAX_BOOT_TIMES 2
/* A booting machine is expected no earlier than this fraction (1/n) of its type's boot time from
   now, even if its boot time has passed. */
#define LATE_BOOT_DIVISOR 4
/* Silence, in halves of the heartbeat interval, after which a machine may be partitioned and does
   not count as live. */
#define SILENT_HALF_INTERVALS 5

/* ---- a pass ---- */

static bool
is_live (const MhMachine *machine)
{
  return machine->heartbeat.reported && !mh_machine_is_releasing (machine) && machine->zone
         && machine->type;
}

static bool
is_usable (const MhPlacementPass *pass, const MhMachine *machine)
{
  return is_live (machine) && !mh_machine_is_draining (machine)
         && !machine->heartbeat.ignored_responses && machine->notice_deadline_us < 0
         && pass->now_us >= machine->no_start_before_us
         && !mh_failure_has_missed_heartbeats (pass->cluster, machine);
}

static void
add_booting_machine (MhPlacementPass *pass, const MhMachine *machine)
{
  if (machine->heartbeat.reported || mh_machine_is_releasing (machine) || machine->type == NULL
      || machine->zone == NULL || machine->boot.late_age_us)
    return;
  gint64 boot_us = machine->type->boot_us;
  if (pass->now_us - machine->boot.created_us > MAX_BOOT_TIMES * boot_us)
    return;
  MhBootingMachine booting = { .machine = machine,
                               .ready_us = MAX (machine->boot.created_us + boot_us,
                                                pass->now_us + boot_us / LATE_BOOT_DIVISOR),
                               .cpus = machine->type->cpus,
                               .mem_gb = machine->type->mem_gb };
  g_array_append_val (pass->booting_machines, booting);
}

/* Returns the index of the zone in the pass's zones, and adds the zone if it is new. */
static guint
find_or_add_zone (MhPlacementPass *pass, const char *name)
{
  for (guint i = 0; i < pass->zones->len; i++)
    if (g_array_index (pass->zones, MhZoneCount, i).name == name)
      return i;
  MhZoneCount zone = { .name = name };
  g_array_append_val (pass->zones, zone);
  return pass->zones->len - 1;
}

static void
collect_machines (MhPlacementPass *pass)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (pass->cluster));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *machine = value;
      machine->usage.reserved_cpus = machine->usage.reserved_mem_gb = 0;
      add_booting_machine (pass, machine);
      /* A silent machine may be partitioned and does not count as live. A zone whose machines are
         all silent is left out of the zones, and with it out of topology spread. */
      if (!is_live (machine)
          || mh_cluster_is_silent (pass->cluster, machine,
                                   pass->settings->heartbeat_interval_us * SILENT_HALF_INTERVALS
                                       / 2))
        continue;
      machine->zone_index = find_or_add_zone (pass, machine->zone);
      if (is_usable (pass, machine))
        g_ptr_array_add (pass->usable_machines, machine);
    }
}

void
mh_placement_pass_init (MhPlacementPass *pass)
{
  pass->usable_machines = g_ptr_array_new ();
  pass->zones = g_array_new (FALSE, FALSE, sizeof (MhZoneCount));
  pass->infeasible = mh_infeasible_new ();
  pass->no_room_after_stops = mh_infeasible_new ();
  pass->failed_preemptors = g_ptr_array_new ();
  pass->booting_machines = g_array_new (FALSE, FALSE, sizeof (MhBootingMachine));
  collect_machines (pass);
}

void
mh_placement_pass_clear (MhPlacementPass *pass)
{
  g_ptr_array_unref (pass->usable_machines);
  g_array_unref (pass->zones);
  mh_infeasible_free (pass->infeasible);
  mh_infeasible_free (pass->no_room_after_stops);
  g_ptr_array_unref (pass->failed_preemptors);
  g_array_unref (pass->booting_machines);
}

/* ---- a job's cycle ---- */

static void
count_task (MhJobCycle *cycle, const MhAttempt *attempt)
{
  if (attempt == NULL || attempt->machine->zone == NULL)
    return;
  for (guint i = 0; i < cycle->zones->len; i++)
    {
      MhZoneCount *zone = &g_array_index (cycle->zones, MhZoneCount, i);
      if (zone->name == attempt->machine->zone)
        zone->count++;
    }
}

static void
count_tasks (MhJobCycle *cycle)
{
  const MhJobSpec *spec = cycle->job->spec;
  /* Counting walks all tasks of the job. Most arrays need no counts. */
  if (cycle->job->n_live == 0
      || !(cycle->is_service || spec->single_zone || spec->spread_over_zones))
    return;
  for (guint i = 0; i < spec->tasks; i++)
    count_task (cycle, cycle->job->tasks[i].live);
}

/* A zone is counted if it has live machines and the job may run there, whether or not it is
   feasible (MhZoneCount). */
static void
collect_counted_zones (MhJobCycle *cycle)
{
  const GArray *all_zones = cycle->pass->zones;
  const char *required = mh_filter_required_zone (cycle->job);
  cycle->zone_of = g_new0 (guint, all_zones->len + 1);
  for (guint i = 0; i < all_zones->len; i++)
    {
      MhZoneCount zone = g_array_index (all_zones, MhZoneCount, i);
      bool is_counted = required == NULL || zone.name == required;
      cycle->zone_of[i] = is_counted ? cycle->zones->len : MH_ZONE_NOT_COUNTED;
      if (is_counted)
        g_array_append_val (cycle->zones, zone);
    }
}

void
mh_job_cycle_init (MhJobCycle *cycle, MhPlacementPass *pass, MhJob *job)
{
  *cycle
      = (MhJobCycle){ .pass = pass,
                      .job = job,
                      .candidates = g_array_new (FALSE, FALSE, sizeof (MhCandidate)),
                      .zones = g_array_new (FALSE, FALSE, sizeof (MhZoneCount)),
                      .type_fits = g_new0 (bool, pass->types->len + 1),
                      .is_service = job->spec->shape == MH_SHAPE_SERVICE,
                      .spread
                      = mh_topology_spread_constraint (pass->settings, job->spec->class_name),
                      .start_slack_us = mh_objective_slack_us (pass->settings, job, pass->now_us),
                      .next_task = job->placement.first_pending };
  for (guint i = 0; i < pass->types->len; i++)
    cycle->type_fits[i] = mh_job_spec_fits_type (job->spec, g_ptr_array_index (pass->types, i));
  collect_counted_zones (cycle);
  count_tasks (cycle);
}

void
mh_job_cycle_clear (MhJobCycle *cycle)
{
  g_array_unref (cycle->candidates);
  g_array_unref (cycle->zones);
  g_free (cycle->zone_of);
  g_free (cycle->type_fits);
}

/* ---- candidates ---- */

static void
add_candidate (MhJobCycle *cycle, MhMachine *machine)
{
  const MhJobSpec *spec = cycle->job->spec;
  MhCandidate candidate = { .machine = machine,
                            .zone = cycle->zone_of[machine->zone_index],
                            .image_wait_us = mh_machine_image_wait_us (
                                cycle->pass->cluster, machine, cycle->job->image, spec->image_gb) };
  candidate.cost = mh_score_cost (spec, &candidate, cycle->start_slack_us);
  if (cycle->is_service)
    candidate.replicas_on_machine = mh_score_replicas_on_machine (
        machine->usage.replicas, mh_cluster_service_replicas (cycle->pass->cluster));
  g_array_append_val (cycle->candidates, candidate);
  g_array_index (cycle->zones, MhZoneCount, candidate.zone).feasible = true;
}

/* A replica can keep its machine in use long after all other tasks there have ended. Candidates
   that cost much more than the cheapest machine that passes the filters are therefore marked. */
static void
mark_above_price_cap (MhJobCycle *cycle, double lowest_price)
{
  for (guint i = 0; i < cycle->candidates->len; i++)
    {
      MhCandidate *candidate = &g_array_index (cycle->candidates, MhCandidate, i);
      candidate->above_price_cap = mh_score_is_above_price_cap (
          mh_machine_hourly_price (candidate->machine), lowest_price);
    }
}

void
mh_candidates_collect (MhJobCycle *cycle)
{
  const MhJobSpec *spec = cycle->job->spec;
  double lowest_price = G_MAXDOUBLE;
  if (mh_infeasible_is_known (cycle->pass->infeasible, spec))
    return;
  for (guint i = 0; i < cycle->pass->usable_machines->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (cycle->pass->usable_machines, i);
      if (!mh_filter_machine (cycle, machine))
        continue;
      lowest_price = MIN (lowest_price, mh_machine_hourly_price (machine));
      if (mh_filter_resources (machine, spec))
        add_candidate (cycle, machine);
    }
  if (cycle->candidates->len == 0)
    mh_infeasible_add (cycle->pass->infeasible, spec);
  /* The candidates of a service are not sorted: it has few tasks, and each start changes the
     scores. */
  if (cycle->is_service)
    mark_above_price_cap (cycle, lowest_price);
  else
    g_array_sort (cycle->candidates, mh_score_compare_candidates);
}

static bool
passes_filters_now (const MhJobCycle *cycle, const MhCandidate *candidate)
{
  return mh_filter_resources (candidate->machine, cycle->job->spec)
         && mh_filter_zone (cycle, candidate->zone);
}

/* Returns the first fit among the sorted candidates of an array. */
static MhCandidate *
select_first (MhJobCycle *cycle)
{
  for (guint i = cycle->first_with_room; i < cycle->candidates->len; i++)
    {
      MhCandidate *candidate = &g_array_index (cycle->candidates, MhCandidate, i);
      if (passes_filters_now (cycle, candidate))
        return candidate;
    }
  return NULL;
}

/* Returns the best candidate of a service. All of them are compared, since the scores change with
   each start. */
static MhCandidate *
select_best (MhJobCycle *cycle)
{
  MhCandidate *best = NULL;
  for (guint i = cycle->first_with_room; i < cycle->candidates->len; i++)
    {
      MhCandidate *candidate = &g_array_index (cycle->candidates, MhCandidate, i);
      if (!passes_filters_now (cycle, candidate))
        continue;
      if (cycle->spread.soft)
        candidate->spread_score = mh_topology_spread_score_zone (
            (const MhZoneCount *)cycle->zones->data, cycle->zones->len, candidate->zone,
            cycle->spread.max_skew);
      if (best == NULL || mh_score_compare_candidates (candidate, best) < 0)
        best = candidate;
    }
  return best;
}

MhCandidate *
mh_candidates_select (MhJobCycle *cycle)
{
  const GArray *candidates = cycle->candidates;
  while (cycle->first_with_room < candidates->len
         && !mh_filter_resources (
             g_array_index (candidates, MhCandidate, cycle->first_with_room).machine,
             cycle->job->spec))
    cycle->first_with_room++;
  return cycle->is_service ? select_best (cycle) : select_first (cycle);
}

/* ---- booting machines ---- */

static bool
can_take_task (const MhJobCycle *cycle, const MhBootingMachine *booting)
{
  const MhJob *job = cycle->job;
  const MhMachine *machine = booting->machine;
  if (booting->image && booting->image != job->image)
    return false;
  if (machine->spot || !cycle->type_fits[machine->type_index])
    return false;
  if (job->zone && job->zone != machine->zone)
    return false;
  return booting->cpus + MH_RESOURCE_EPSILON >= job->spec->cpus
         && booting->mem_gb + MH_RESOURCE_EPSILON >= job->spec->mem_gb;
}

bool
mh_booting_machine_claim (MhJobCycle *cycle, gint64 image_wait_us)
{
  const MhJob *job = cycle->job;
  if (!cycle->is_service)
    return false;
  gint64 fetch_us = mh_job_spec_fetch_us (job->spec, cycle->pass->types);
  if (image_wait_us <= fetch_us)
    return false;
  for (guint i = 0; i < cycle->pass->booting_machines->len; i++)
    {
      MhBootingMachine *booting
          = &g_array_index (cycle->pass->booting_machines, MhBootingMachine, i);
      if (!can_take_task (cycle, booting)
          || booting->ready_us - cycle->pass->now_us + fetch_us >= image_wait_us)
        continue;
      booting->image = job->image;
      booting->cpus -= job->spec->cpus;
      booting->mem_gb -= job->spec->mem_gb;
      return true;
    }
  return false;
}
