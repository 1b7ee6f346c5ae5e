#include "cluster/cluster.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/direct-command.h"
#include "cluster/failure-detection.h"
#include "cluster/fencing.h"
#include "cluster/machine-registry.h"
#include "cluster/zone-silence.h"

/* Interval at which all machines are checked for silence, preemption notices and unsent commands.
 */
#define CHECK_INTERVAL_US (MH_SECOND_US / 5)

static void
create_tables (MhCluster *cluster)
{
  cluster->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, mh_machine_free);
  cluster->released = g_hash_table_new (g_str_hash, g_str_equal);
  cluster->commands_due = g_ptr_array_new ();
  cluster->team_use = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  cluster->zones = mh_zones_new ();
  cluster->boot_statistics = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

MhCluster *
mh_cluster_new (const MhClusterOptions *options)
{
  g_return_val_if_fail (options != NULL && options->callbacks != NULL, NULL);
  MhCluster *cluster = g_new0 (MhCluster, 1);
  cluster->runtime = options->runtime;
  cluster->calls = options->calls;
  cluster->election = options->election;
  cluster->jobs = options->jobs;
  cluster->record_loader = options->record_loader;
  cluster->record_writer = options->record_writer;
  cluster->runtime_estimator = options->runtime_estimator;
  cluster->settings = mh_runtime_settings (options->runtime);
  cluster->callbacks = options->callbacks;
  cluster->owner = options->owner;
  create_tables (cluster);
  mh_direct_command_init (cluster);
  mh_failure_init (cluster);
  return cluster;
}

void
mh_cluster_free (MhCluster *cluster)
{
  if (cluster == NULL)
    return;
  mh_cluster_forget_all_releases (cluster);
  g_hash_table_unref (cluster->machines);
  g_hash_table_unref (cluster->released);
  g_ptr_array_unref (cluster->commands_due);
  g_hash_table_unref (cluster->team_use);
  g_array_unref (cluster->zones);
  g_hash_table_unref (cluster->boot_statistics);
  g_clear_pointer (&cluster->types, g_ptr_array_unref);
  g_free (cluster);
}

void
mh_cluster_clear (MhCluster *cluster)
{
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    g_ptr_array_set_free_func (((MhMachine *)machine)->attempts, g_free);
  g_hash_table_remove_all (cluster->machines);
  mh_cluster_forget_all_releases (cluster);
  g_ptr_array_set_size (cluster->commands_due, 0);
  g_array_set_size (cluster->zones, 0);
  cluster->service_replicas = 0;
  g_hash_table_remove_all (cluster->team_use);
}

void
mh_cluster_resume_loaded_jobs (MhCluster *cluster)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cluster->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if (mh_job_is_gang (job))
        cluster->callbacks->gang_loaded (cluster->owner, job);
      if (mh_job_is_cancelled (job))
        mh_attempt_stop_job (cluster, job);
      else
        mh_attempt_finish_job_if_ended (cluster, job);
    }
}

/* ---- queries ---- */

GHashTable *
mh_cluster_machines (const MhCluster *cluster)
{
  return cluster->machines;
}

const GPtrArray *
mh_cluster_types (const MhCluster *cluster)
{
  return cluster->types;
}

void
mh_cluster_set_types (MhCluster *cluster, GPtrArray *types)
{
  GPtrArray *old_types = cluster->types;
  cluster->types = types;
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    mh_cluster_resolve_type (cluster, machine);
  g_clear_pointer (&old_types, g_ptr_array_unref);
}

const MhTeamUse *
mh_cluster_team_use (const MhCluster *cluster, const char *team)
{
  return g_hash_table_lookup (cluster->team_use, team);
}

guint
mh_cluster_service_replicas (const MhCluster *cluster)
{
  return cluster->service_replicas;
}

void
mh_cluster_remove_released_machine (MhCluster *cluster, MhMachine *machine)
{
  mh_machine_change_state (machine, MH_MACHINE_EVENT_RELEASE_CONFIRMED);
  mh_cluster_remember_released (cluster, machine->name);
  while (machine->attempts->len)
    mh_attempt_note_ended (cluster, mh_machine_attempt (machine, machine->attempts->len - 1),
                           false);
  g_ptr_array_remove_fast (cluster->commands_due, machine);
  g_hash_table_remove (cluster->machines, machine->name);
}

/* ---- a step ---- */

/* Handles an attempt on a machine that the cloud reclaims in @left_us. A task with checkpoints is
   stopped with time to save one. A service replica, or a task that would not end in time, is
   stopped at once so that it can start elsewhere. */
static void
drain_attempt (MhCluster *cluster, MhAttempt *attempt, gint64 left_us)
{
  const MhJobSpec *spec = attempt->job->spec;
  gint64 running_since_us = attempt->running_since_us;
  gint64 ran_us = running_since_us ? mh_runtime_now_us (cluster->runtime) - running_since_us : 0;
  /* Too little time for the gang to save a common checkpoint: it may still end in time, and it
     loses nothing more if it does not. */
  if (mh_job_is_gang (attempt->job) && running_since_us
      && left_us < spec->checkpoint_save_us + MH_SECOND_US)
    return;
  if (spec->checkpoint_interval_us > 0 && running_since_us)
    mh_attempt_stop (cluster, attempt, MAX (0, MIN (spec->checkpoint_save_us, left_us)));
  else if (spec->shape == MH_SHAPE_SERVICE || spec->estimated_run_us - ran_us > left_us)
    mh_attempt_stop (cluster, attempt, 0);
}

static void
drain_preempted_machine (MhCluster *cluster, MhMachine *machine)
{
  gint64 left_us = machine->notice_deadline_us - mh_runtime_now_us (cluster->runtime);
  for (guint i = machine->attempts->len; i-- > 0;)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (!mh_attempt_is_stopping (attempt))
        drain_attempt (cluster, attempt, left_us);
    }
}

static void
check_machine (MhCluster *cluster, MhMachine *machine)
{
  if (mh_machine_is_releasing (machine))
    return;
  mh_failure_check_machine (cluster, machine);
  if (machine->notice_deadline_us >= 0)
    drain_preempted_machine (cluster, machine);
  mh_fencing_raise_token_if_needed (cluster, machine);
  mh_direct_command_send_unsent (cluster, machine);
}

static void
send_due_commands (MhCluster *cluster)
{
  GPtrArray *due = cluster->commands_due;
  for (guint i = 0; i < due->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (due, i);
      machine->commands_due = false;
      if (!mh_machine_is_releasing (machine))
        mh_direct_command_send_unsent (cluster, machine);
    }
  g_ptr_array_set_size (due, 0);
}

static void
check_all_machines (MhCluster *cluster)
{
  GHashTableIter it;
  gpointer machine;
  mh_failure_update_thresholds (cluster);
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    check_machine (cluster, machine);
  mh_cluster_forget_old_releases (cluster, mh_runtime_now_us (cluster->runtime));
  mh_failure_transfer_if_partitioned (cluster);
}

/* Due commands are sent in each step. All machines are checked only at intervals, so that the work
   of a step does not grow with the number of machines. */
void
mh_cluster_step (MhCluster *cluster)
{
  send_due_commands (cluster);
  if (mh_runtime_now_us (cluster->runtime) >= cluster->last_check_us + CHECK_INTERVAL_US)
    {
      cluster->last_check_us = mh_runtime_now_us (cluster->runtime);
      check_all_machines (cluster);
    }
  mh_runtime_wake_at (cluster->runtime, cluster->last_check_us + CHECK_INTERVAL_US);
}
