#include "autoscaler/demand.h"
#include "autoscaler/capacity-estimate.h"
#include "autoscaler/completion-forecast.h"
#include "autoscaler/machine-offer.h"
#include "placement/filter.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "cluster/task-failure.h"
#include "cluster/zone-silence.h"
#include "protocol/cloud-messages.h"

struct MhDemandPlan
{
  const MhAutoscalerContext *context;
  GArray *estimates;       /* MhCapacityEstimate; zones are borrowed from machines and offers */
  MhMachineOffers *offers; /* NULL: no pending tasks */
  MhCompletionForecast *forecast; /* of tasks on machines and of assigned tasks */
  double lost_cpus;               /* lost CPUs that no planned task accounts for yet */
  GHashTable *team_use;           /* team -> MhTeamUse, of planned tasks */
};

/* The tasks of a job that are being assigned. */
typedef struct
{
  const MhJob *job;
  const char *zone; /* the only zone in which they may run; NULL: any */
  guint tasks_left;
} Assignment;

static gint64
get_now_us (const MhDemandPlan *plan)
{
  return mh_runtime_now_us (plan->context->runtime);
}

/* Adds a machine to be created for these tasks. Returns NULL if no offer suits them. */
static MhCapacityEstimate *
add_machine_to_create (MhDemandPlan *plan, const Assignment *assignment)
{
  const MhMachineOffer *offer = mh_machine_offers_find_cheapest (
      plan->offers, assignment->job, assignment->zone, assignment->tasks_left);
  if (offer == NULL)
    return NULL;
  (*offer->machines_in_zone)++;
  MhCapacityEstimate estimate
      = mh_capacity_estimate_for_type (offer->type, offer->zone, offer->spot);
  estimate.to_create = true;
  g_array_append_val (plan->estimates, estimate);
  return &g_array_index (plan->estimates, MhCapacityEstimate, plan->estimates->len - 1);
}

/* Adds the machines that have not reported to this leader yet and are expected to join. */
static void
add_booting_machines (MhDemandPlan *plan)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mh_cluster_machines (plan->context->cluster));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MhMachine *machine = value;
      if (machine->heartbeat.reported || mh_machine_is_releasing (machine) || machine->type == NULL
          || machine->zone == NULL)
        continue;
      if (machine->boot.late_age_us)
        continue; /* may never join */
      MhCapacityEstimate estimate
          = mh_capacity_estimate_for_type (machine->type, machine->zone, machine->spot);
      g_array_append_val (plan->estimates, estimate);
    }
}

/* Returns the shortest boot time among the machine types that fit the job, or G_MAXINT64 if none
   does. */
static gint64
find_shortest_boot_us (const GPtrArray *types, const MhJobSpec *spec)
{
  gint64 shortest_us = G_MAXINT64;
  for (guint i = 0; i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (mh_job_spec_fits_type (spec, type))
        shortest_us = MIN (shortest_us, type->boot_us);
    }
  return shortest_us;
}

/* Reserves CPUs that other tasks free for tasks that can wait for them: those that would still end
   in time, and those for which a machine created now would not be ready sooner. Returns the number
   of such tasks. */
static guint
assign_to_completions (MhDemandPlan *plan, const MhJob *job, guint tasks)
{
  if (job->spec->shape != MH_SHAPE_ARRAY)
    return 0;
  gint64 now_us = get_now_us (plan);
  gint64 boot_us = find_shortest_boot_us (mh_cluster_types (plan->context->cluster), job->spec);
  /* Estimated run times are often wrong by half, so half of the run time is kept as a margin. */
  gint64 latest_us = job->placement.objectives_missed
                         ? now_us
                         : job->placement.latest_start_us - job->placement.expected_run_us / 2;
  /* A machine created now would join only after the latest start, so that start does not justify
     one. Only a backlog that would still wait after twice the boot time does. */
  if (latest_us < now_us + boot_us)
    latest_us = now_us + 2 * boot_us;
  MhForecastRequest request
      = { .cpus = job->spec->cpus,
          .tasks = tasks,
          .latest_us = latest_us,
          .hold_us = job->placement.expected_run_us + job->placement.expected_fetch_us / 2 };
  return mh_completion_forecast_reserve (plan->forecast, &request);
}

/* Assigns as many tasks to the machine as fit, and adds their end to the forecast. Returns the
   number of assigned tasks. */
static guint
assign_to_machine (MhDemandPlan *plan, Assignment *assignment, MhCapacityEstimate *machine)
{
  const MhJob *job = assignment->job;
  const MhJobSpec *spec = job->spec;
  guint tasks = mh_capacity_estimate_count_tasks (machine, spec, assignment->tasks_left);
  if (tasks == 0)
    return 0;
  mh_capacity_estimate_reserve (machine, spec, tasks);
  if (spec->single_zone)
    assignment->zone = machine->zone;
  assignment->tasks_left -= tasks;
  if (spec->shape != MH_SHAPE_SERVICE)
    mh_completion_forecast_add_completion (plan->forecast,
                                           get_now_us (plan) + machine->type->boot_us
                                               + job->placement.expected_run_us
                                               + job->placement.expected_fetch_us,
                                           spec->cpus * tasks);
  return tasks;
}

/* The tasks of machines that are being released have to run again in addition to new work, and the
   CPUs that other tasks free are not enough for both. Therefore some tasks get machines even if
   they could wait: without this, after 279 of 590 machines were cut off, no machine was created for
   45 s, because the pending tasks could not start in time anyway. Returns the number of tasks that
   stand for lost capacity, and subtracts their CPUs from it. */
static guint
consume_lost_capacity (MhDemandPlan *plan, const MhJobSpec *spec, guint tasks)
{
  if (spec->shape == MH_SHAPE_SERVICE)
    return 0;
  guint rerun_tasks = mh_resources_count_slots_of_one (MAX (plan->lost_cpus, 0), spec->cpus, tasks);
  plan->lost_cpus -= spec->cpus * rerun_tasks;
  return rerun_tasks;
}

/* Leaves out the tasks of a gang for which the placement pass holds capacity, and restricts the
   others to the zone of that capacity. Returns false if no task is to be assigned: a gang that
   still has attempts can start again on the capacity that these free, and one that may not start
   all its tasks at once may start none. */
static bool
prepare_gang_assignment (Assignment *assignment)
{
  const MhJob *job = assignment->job;
  if (job->n_live || assignment->tasks_left < job->spec->tasks)
    return false;
  assignment->tasks_left -= MIN (assignment->tasks_left, job->gang.held_tasks);
  if (job->gang.held_zone)
    assignment->zone = job->gang.held_zone;
  return true;
}

static void
assign_to_planned_machines (MhDemandPlan *plan, Assignment *assignment)
{
  for (guint i = 0; i < plan->estimates->len && assignment->tasks_left; i++)
    {
      MhCapacityEstimate *machine = &g_array_index (plan->estimates, MhCapacityEstimate, i);
      if (mh_capacity_estimate_suits_job (machine, assignment->job, assignment->zone))
        assign_to_machine (plan, assignment, machine);
    }
}

static void
assign_tasks (MhDemandPlan *plan, const MhJob *job, guint tasks)
{
  /* All tasks of a single-zone job go to the zone of the first machine that they are assigned to.
     Otherwise, while some of the tasks ran, machines were created in another zone, where the other
     tasks could not run and kept waiting. */
  Assignment assignment
      = { .job = job, .zone = mh_filter_required_zone (job), .tasks_left = tasks };
  if (mh_job_is_gang (job) && !prepare_gang_assignment (&assignment))
    return;
  assign_to_planned_machines (plan, &assignment);
  guint rerun_tasks = consume_lost_capacity (plan, job->spec, assignment.tasks_left);
  assignment.tasks_left -= assign_to_completions (plan, job, assignment.tasks_left - rerun_tasks);
  while (assignment.tasks_left)
    {
      MhCapacityEstimate *machine = add_machine_to_create (plan, &assignment);
      if (machine == NULL || assign_to_machine (plan, &assignment, machine) == 0)
        return;
    }
}

static MhTeamUse *
get_planned_team_use (MhDemandPlan *plan, const char *team)
{
  MhTeamUse *use = g_hash_table_lookup (plan->team_use, team);
  if (use == NULL)
    {
      use = g_new0 (MhTeamUse, 1);
      g_hash_table_insert (plan->team_use, (gpointer)team, use);
    }
  return use;
}

static void
plan_job (MhDemandPlan *plan, const MhJob *job)
{
  MhCluster *cluster = plan->context->cluster;
  const MhJobSpec *spec = job->spec;
  MhTeamUse *use = get_planned_team_use (plan, spec->team);
  /* No machines are planned for tasks that may not start because their job backs off: otherwise
     machines are created for all tasks of a job that fails everywhere, and stay idle. */
  guint tasks
      = mh_quota_allowed_tasks (plan->context->settings, mh_cluster_team_use (cluster, spec->team),
                                job, use, mh_task_failure_count_scale_out (cluster, job));
  use->cpus += spec->cpus * tasks;
  use->gpus += spec->gpus * tasks;
  if (tasks > 0)
    assign_tasks (plan, job, tasks);
}

static void
update_expected_times (const MhAutoscalerContext *context)
{
  MhCluster *cluster = context->cluster;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, context->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      MhJob *job = value;
      job->placement.expected_run_us
          = mh_runtime_estimator_run_us (context->runtime_estimator, job->spec);
      job->placement.expected_fetch_us
          = mh_job_spec_fetch_us (job->spec, mh_cluster_types (cluster));
    }
}

/* Returns the jobs to plan for. If a hundred jobs are submitted at once, their records become
   durable only seconds later. As long as no worker has reported to this leader, these jobs are
   planned for as well, so that the machines, which take long to boot, are requested early. Later,
   only accepted jobs are planned for: the others have not been placed yet and may still fit on
   existing machines, and planning for them created machines although others were free. */
static GPtrArray *
find_jobs_to_plan (const MhAutoscalerContext *context)
{
  MhCluster *cluster = context->cluster;
  MhJobQueueScope scope
      = mh_zone_has_any_message (cluster) ? MH_JOB_QUEUE_ACCEPTED : MH_JOB_QUEUE_ALL;
  return mh_job_queue_pending (context->job_queue, scope, mh_cluster_types (cluster),
                               mh_runtime_now_us (context->runtime));
}

MhDemandPlan *
mh_demand_plan_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                    const MhLostCapacity *lost_capacity)
{
  MhDemandPlan *plan = g_new0 (MhDemandPlan, 1);
  plan->context = context;
  plan->estimates = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate));
  plan->forecast = mh_completion_forecast_new ();
  plan->team_use = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  plan->lost_cpus = mh_lost_capacity_cpus (lost_capacity);
  g_autoptr (GPtrArray) jobs = find_jobs_to_plan (context);
  if (jobs->len == 0)
    return plan;
  update_expected_times (context);
  add_booting_machines (plan);
  plan->offers = mh_machine_offers_new (context, scale_out, plan->estimates);
  mh_completion_forecast_add_running (plan->forecast, mh_cluster_machines (context->cluster),
                                      get_now_us (plan));
  for (guint i = 0; i < jobs->len; i++)
    plan_job (plan, g_ptr_array_index (jobs, i));
  return plan;
}

void
mh_demand_plan_free (MhDemandPlan *plan)
{
  if (plan == NULL)
    return;
  g_array_unref (plan->estimates);
  g_clear_pointer (&plan->offers, mh_machine_offers_free);
  mh_completion_forecast_free (plan->forecast);
  g_hash_table_unref (plan->team_use);
  g_free (plan);
}

const GArray *
mh_demand_plan_estimates (const MhDemandPlan *plan)
{
  g_return_val_if_fail (plan != NULL, NULL);
  return plan->estimates;
}
