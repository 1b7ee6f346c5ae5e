#include "autoscaler/consolidation.h"
#include "autoscaler/capacity-estimate.h"
#include "autoscaler/scale-in.h"
#include "cluster/attempt.h"

/* The largest used share of its CPUs at which a machine is a candidate for draining. */
#define MAX_CANDIDATE_USED_SHARE 0.5
/* The largest used share of the CPUs of all remaining machines after a machine has been drained. */
#define MAX_REMAINING_USED_SHARE 0.85
/* A replica must have run for this long before it is moved: one that is stopped right after its
   start would have been started for nothing. */
#define MIN_REPLICA_RUNNING_US (35 * MH_SECOND_US)
/* The share of the machines in service that may be draining at the same time; at least one may. */
#define MAX_DRAINING_SHARE (1 / 32.0)
/* Maximum number of candidates that are examined in one step. */
#define MAX_CANDIDATES_PER_STEP 8u

/* The machines that remain in service, and how many of their CPUs are in use. */
typedef struct
{
  GArray *estimates; /* MhCapacityEstimate */
  double cpus, cpus_in_use;
} RemainingMachines;

/* A candidate for draining. */
typedef struct
{
  MhMachine *machine;
  double wasted_price; /* hourly, of the CPUs that are not in use */
} Candidate;

/* The state of one pass over the machines. */
typedef struct
{
  const MhAutoscalerContext *context;
  bool tasks_wait;
  RemainingMachines remaining;
  GArray *candidates; /* Candidate */
  guint n_in_service, n_draining;
} Pass;

static bool
is_in_service (const MhMachine *machine)
{
  return machine->heartbeat.reported && !mh_machine_is_releasing (machine) && machine->type
         && machine->notice_deadline_us < 0;
}

static void
add_remaining_machine (RemainingMachines *remaining, const MhMachine *machine)
{
  MhCapacityEstimate estimate
      = mh_capacity_estimate_for_type (machine->type, machine->zone, machine->spot);
  estimate.machine = machine;
  estimate.available.cpus -= machine->usage.cpus;
  estimate.available.gpus -= machine->usage.gpus;
  estimate.available.mem_gb -= machine->usage.mem_gb;
  remaining->cpus += machine->type->cpus;
  remaining->cpus_in_use += machine->usage.cpus;
  g_array_append_val (remaining->estimates, estimate);
}

static void
find_remaining_machines (Pass *pass)
{
  MhCluster *cluster = pass->context->cluster;
  gint64 max_silence_us = pass->context->settings->heartbeat_interval_us * 2;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mh_cluster_machines (cluster));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MhMachine *machine = value;
      if (is_in_service (machine) && !mh_machine_is_draining (machine)
          && !mh_cluster_is_silent (cluster, machine, max_silence_us))
        add_remaining_machine (&pass->remaining, machine);
    }
}

/* ---- target machines for replicas ---- */

static void
remove_machine (GArray *estimates, const MhMachine *machine)
{
  for (guint i = 0; i < estimates->len; i++)
    if (g_array_index (estimates, MhCapacityEstimate, i).machine == machine)
      {
        g_array_remove_index_fast (estimates, i);
        return;
      }
}

/* Checks whether the replica can move to the machine. A replica of a service with several tasks
   stays in its zone, so that the spread of the service across zones does not change. */
static bool
is_suitable_target (const MhCapacityEstimate *estimate, const MhAttempt *attempt)
{
  const MhJob *job = attempt->job;
  return mh_capacity_estimate_count_tasks (estimate, job->spec, 1)
         && (job->spec->tasks == 1 || estimate->zone == attempt->machine->zone)
         && mh_capacity_estimate_suits_job (estimate, job, job->zone)
         && mh_machine_has_image (estimate->machine, job->image);
}

static bool
reserve_target (GArray *estimates, const MhAttempt *attempt)
{
  for (guint i = 0; i < estimates->len; i++)
    {
      MhCapacityEstimate *estimate = &g_array_index (estimates, MhCapacityEstimate, i);
      if (!is_suitable_target (estimate, attempt))
        continue;
      mh_capacity_estimate_reserve (estimate, attempt->job->spec, 1);
      return true;
    }
  return false;
}

static bool
reserve_targets (GArray *estimates, const MhMachine *machine, gint64 now_us)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (attempt->job->spec->shape != MH_SHAPE_SERVICE)
        continue; /* ends without being stopped */
      if (attempt->running_since_us == 0
          || now_us - attempt->running_since_us < MIN_REPLICA_RUNNING_US)
        return false;
      if (!reserve_target (estimates, attempt))
        return false;
    }
  return true;
}

/* Reserves capacity for all replicas of the machine on remaining machines that have the image
   cached, and removes the machine from the remaining ones. Returns false, and changes nothing, if a
   replica does not fit or may not be moved yet, or if the remaining machines would be too full. */
static bool
reserve_elsewhere (Pass *pass, const MhMachine *machine)
{
  RemainingMachines *remaining = &pass->remaining;
  double own_cpus = mh_machine_is_draining (machine) ? 0 : machine->type->cpus;
  double moved_cpus = mh_machine_is_draining (machine) ? machine->usage.cpus : 0;
  if (remaining->cpus_in_use + moved_cpus > (remaining->cpus - own_cpus) * MAX_REMAINING_USED_SHARE)
    return false;
  g_autoptr (GArray) estimates = g_array_copy (remaining->estimates);
  remove_machine (estimates, machine);
  if (!reserve_targets (estimates, machine, mh_runtime_now_us (pass->context->runtime)))
    return false;
  g_array_unref (remaining->estimates);
  remaining->estimates = g_steal_pointer (&estimates);
  remaining->cpus -= own_cpus;
  remaining->cpus_in_use += moved_cpus;
  return true;
}

/* ---- draining ---- */

/* Stops a replica of the machine, unless one is stopping already or the machine still holds
   attempts that are not replicas. */
static void
stop_next_replica (const Pass *pass, const MhMachine *machine)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (attempt->job->spec->shape != MH_SHAPE_SERVICE || mh_attempt_is_stopping (attempt))
        return;
    }
  if (machine->attempts->len == 0)
    return;
  MhAttempt *attempt = mh_machine_attempt (machine, 0);
  mh_attempt_stop (pass->context->cluster, attempt, mh_job_grace_us (attempt->job));
}

static bool
is_candidate (const Pass *pass, const MhMachine *machine)
{
  gint64 age_us = mh_runtime_now_us (pass->context->runtime) - machine->boot.created_us;
  return machine->usage.replicas > 0
         && machine->usage.cpus <= machine->type->cpus * MAX_CANDIDATE_USED_SHARE
         && age_us >= MH_MINIMUM_BILLED_US;
}

static void
check_machine (Pass *pass, MhMachine *machine)
{
  if (mh_machine_is_draining (machine)
      && (pass->tasks_wait || !is_in_service (machine) || !reserve_elsewhere (pass, machine)))
    mh_machine_change_state (machine, MH_MACHINE_EVENT_DRAIN_CANCELLED);
  if (pass->tasks_wait || !is_in_service (machine))
    return;
  pass->n_in_service++;
  if (mh_machine_is_draining (machine))
    {
      pass->n_draining++;
      stop_next_replica (pass, machine);
    }
  else if (is_candidate (pass, machine))
    {
      double unused_share = 1 - machine->usage.cpus / machine->type->cpus;
      Candidate candidate = { .machine = machine,
                              .wasted_price = mh_machine_hourly_price (machine) * unused_share };
      g_array_append_val (pass->candidates, candidate);
    }
}

static gint
compare_wasted_price (gconstpointer first, gconstpointer second)
{
  double first_price = ((const Candidate *)first)->wasted_price;
  double second_price = ((const Candidate *)second)->wasted_price;
  return first_price > second_price ? -1 : first_price < second_price;
}

static void
start_draining (Pass *pass, MhMachine *machine)
{
  mh_log_info (pass->context->runtime,
               "draining machine machine=%s used_cpus=%.0f cpus=%.0f reason=underused",
               machine->name, machine->usage.cpus, machine->type->cpus);
  mh_machine_change_state (machine, MH_MACHINE_EVENT_DRAIN_STARTED);
  pass->n_draining++;
  stop_next_replica (pass, machine);
}

/* Starts draining candidates, beginning with those that waste most. */
static void
drain_candidates (Pass *pass)
{
  guint max_draining = MAX (1, (guint)(pass->n_in_service * MAX_DRAINING_SHARE));
  g_array_sort (pass->candidates, compare_wasted_price);
  for (guint i = 0; i < pass->candidates->len && i < MAX_CANDIDATES_PER_STEP; i++)
    {
      if (pass->n_draining >= max_draining)
        return;
      MhMachine *machine = g_array_index (pass->candidates, Candidate, i).machine;
      if (reserve_elsewhere (pass, machine))
        start_draining (pass, machine);
    }
}

/* A machine that holds a few replicas long after the work it was created for has ended costs as
   much as a full one. Its replicas are moved to machines that have the image cached, where they
   start quickly, and the machine is released. Only a small share of the machines is drained at a
   time, and only while no task waits. */
void
mh_consolidation_step (const MhAutoscalerContext *context, bool tasks_wait)
{
  g_return_if_fail (context != NULL);
  Pass pass
      = { .context = context,
          .tasks_wait = tasks_wait,
          .remaining = { .estimates = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate)) },
          .candidates = g_array_new (FALSE, FALSE, sizeof (Candidate)) };
  GHashTableIter iter;
  gpointer value;
  if (!tasks_wait)
    find_remaining_machines (&pass);
  g_hash_table_iter_init (&iter, mh_cluster_machines (context->cluster));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_machine (&pass, value);
  drain_candidates (&pass);
  g_array_unref (pass.remaining.estimates);
  g_array_unref (pass.candidates);
}
