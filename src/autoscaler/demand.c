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
  GArray *estimates;       /* MhCapacityEstimate; their zones belong to machines and offers */
  MhMachineOffers *offers; /* NULL: nothing waits */
  MhCompletionForecast *forecast; /* of running tasks, and of those that are laid out */
  double lost_cpus;               /* that no task has been laid out for */
  GHashTable *team_use;           /* team -> MhTeamUse, of tasks that are laid out */
};

/* Tasks of a job that are being laid out. */
typedef struct
{
  const MhJob *job;
  const char *zone; /* the only one that they may go to; NULL: any */
  guint tasks_left;
} Assignment;

static gint64
plan_now_us (const MhDemandPlan *plan)
{
  return mh_runtime_now_us (plan->context->runtime);
}

/* A machine that has to be created for these tasks; NULL: none can be had. */
static MhCapacityEstimate *
add_machine_to_create (MhDemandPlan *plan, const Assignment *assignment)
{
  const MhMachineOffer *offer = mh_machine_offers_cheapest (
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

/* Machines that are coming, as far as they can be counted on. */
static void
add_coming_machines (MhDemandPlan *plan)
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
        continue; /* perhaps it never comes */
      MhCapacityEstimate estimate
          = mh_capacity_estimate_for_type (machine->type, machine->zone, machine->spot);
      g_array_append_val (plan->estimates, estimate);
    }
}

/* How soon a machine for the job could be there; G_MAXINT64: never. */
static gint64
shortest_boot_us (const GPtrArray *types, const MhJobSpec *spec)
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

/* How many tasks may wait for cpus that running tasks leave: machines created now would not be
   there sooner, or the tasks would still end in time. Takes the cpus. */
static guint
wait_for_completions (MhDemandPlan *plan, const MhJob *job, guint tasks)
{
  if (job->spec->shape != MH_SHAPE_ARRAY)
    return 0;
  gint64 now_us = plan_now_us (plan);
  gint64 boot_us = shortest_boot_us (mh_cluster_types (plan->context->cluster), job->spec);
  /* Estimates are often wrong by half. */
  gint64 latest_us = job->placement.objectives_missed
                         ? now_us
                         : job->placement.latest_start_us - job->placement.expected_run_us / 2;
  /* What a new machine cannot bring in time any more does not call for one; only a backlog that
     would outlast its boot does. */
  if (latest_us < now_us + boot_us)
    latest_us = now_us + 2 * boot_us;
  MhForecastRequest request
      = { .cpus = job->spec->cpus,
          .tasks = tasks,
          .latest_us = latest_us,
          .hold_us = job->placement.expected_run_us + job->placement.expected_fetch_us / 2 };
  return mh_completion_forecast_reserve (plan->forecast, &request);
}

/* Lays out as many tasks on the machine as fit, and expects them to end again; returns how many. */
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
    mh_completion_forecast_add (plan->forecast,
                                plan_now_us (plan) + machine->type->boot_us
                                    + job->placement.expected_run_us
                                    + job->placement.expected_fetch_us,
                                spec->cpus * tasks);
  return tasks;
}

/* What failed machines ran has to run again beside all that keeps coming: cpus that others leave
   are not enough for both. With 279 of 590 machines cut off, nothing was created for 45 s, since
   what waited could never have been in time. Returns how many tasks make up for such work. */
static guint
take_lost_capacity (MhDemandPlan *plan, const MhJobSpec *spec, guint tasks)
{
  if (spec->shape == MH_SHAPE_SERVICE)
    return 0;
  guint repeated = mh_resources_count_slots_of_one (MAX (plan->lost_cpus, 0), spec->cpus, tasks);
  plan->lost_cpus -= spec->cpus * repeated;
  return repeated;
}

/* What is reserved for a gang is there already, and the rest has to come beside it. Returns false
   if nothing is to be laid out: a gang that is being stopped will find its own room again. */
static bool
prepare_gang (Assignment *assignment)
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
      if (mh_capacity_estimate_suits (machine, assignment->job, assignment->zone))
        assign_to_machine (plan, assignment, machine);
    }
}

static void
assign_tasks (MhDemandPlan *plan, const MhJob *job, guint tasks)
{
  /* Tasks that stay together go to one zone, which their first machine decides: what was created
     for them elsewhere, while some ran, was of no use to them, and they waited on. */
  Assignment assignment
      = { .job = job, .zone = mh_filter_required_zone (job), .tasks_left = tasks };
  if (mh_job_is_gang (job) && !prepare_gang (&assignment))
    return;
  assign_to_planned_machines (plan, &assignment);
  guint repeated = take_lost_capacity (plan, job->spec, assignment.tasks_left);
  assignment.tasks_left -= wait_for_completions (plan, job, assignment.tasks_left - repeated);
  while (assignment.tasks_left)
    {
      MhCapacityEstimate *machine = add_machine_to_create (plan, &assignment);
      if (machine == NULL || assign_to_machine (plan, &assignment, machine) == 0)
        return;
    }
}

static MhTeamUse *
planned_team_use (MhDemandPlan *plan, const char *team)
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
  MhTeamUse *use = planned_team_use (plan, spec->team);
  /* Machines once were created for all tasks of jobs that fail everywhere, and stood idle. */
  guint tasks
      = mh_quota_allowed_tasks (plan->context->settings, mh_cluster_team_use (cluster, spec->team),
                                job, use, mh_task_failure_count_scale_out (cluster, job));
  use->cpus += spec->cpus * tasks;
  use->gpus += spec->gpus * tasks;
  if (tasks > 0)
    assign_tasks (plan, job, tasks);
}

static void
renew_expected_times (const MhAutoscalerContext *context)
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

/* A hundred jobs that come at once are on record only seconds later, and machines take long to
   come. But what is not on record has not been placed either: once there are machines, those jobs
   may find room on them, and machines were created for each beside free ones. */
static GPtrArray *
jobs_to_plan (const MhAutoscalerContext *context)
{
  MhCluster *cluster = context->cluster;
  MhJobQueueScope scope
      = mh_zone_has_any_message (cluster) ? MH_JOB_QUEUE_ACCEPTED : MH_JOB_QUEUE_ALL;
  return mh_job_queue_pending (context->job_queue, scope, mh_cluster_types (cluster),
                               mh_runtime_now_us (context->runtime));
}

MhDemandPlan *
mh_demand_plan_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                    const MhLostCapacity *lost)
{
  MhDemandPlan *plan = g_new0 (MhDemandPlan, 1);
  plan->context = context;
  plan->estimates = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate));
  plan->forecast = mh_completion_forecast_new ();
  plan->team_use = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  plan->lost_cpus = mh_lost_capacity_cpus (lost);
  g_autoptr (GPtrArray) jobs = jobs_to_plan (context);
  if (jobs->len == 0)
    return plan;
  renew_expected_times (context);
  add_coming_machines (plan);
  plan->offers = mh_machine_offers_new (context, scale_out, plan->estimates);
  mh_completion_forecast_add_running (plan->forecast, mh_cluster_machines (context->cluster),
                                      plan_now_us (plan));
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
