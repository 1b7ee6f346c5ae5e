#include "cluster/cluster.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/direct-command.h"
#include "cluster/failure-detection.h"
#include "cluster/fencing.h"
#include "cluster/machine-registry.h"
#include "cluster/zone-silence.h"

/* All machines are checked so often: silence, notices, and what could not be said at once. */
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
mh_cluster_new (const MhSettings *settings, const MhClusterCallbacks *callbacks, gint64 now_us)
{
  g_return_val_if_fail (settings != NULL && callbacks != NULL, NULL);
  MhCluster *cluster = g_new0 (MhCluster, 1);
  cluster->settings = settings;
  cluster->callbacks = callbacks;
  create_tables (cluster);
  mh_direct_command_init (cluster, now_us);
  mh_failure_init (cluster, now_us);
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
mh_cluster_clear (MhCore *core)
{
  MhCluster *cluster = core->cluster;
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
mh_cluster_records_loaded (MhCore *core)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if (mh_job_is_gang (job))
        core->cluster->callbacks->gang_loaded (core, job);
      if (mh_job_is_cancelled (job))
        mh_attempt_stop_job (core, job);
      else
        mh_attempt_finish_job_if_over (core, job);
    }
}

/* ---- what other layers ask ---- */

GHashTable *
mh_cluster_machines (const MhCore *core)
{
  return core->cluster->machines;
}

const GPtrArray *
mh_cluster_types (const MhCore *core)
{
  return core->cluster->types;
}

void
mh_cluster_set_types (MhCore *core, GPtrArray *types)
{
  MhCluster *cluster = core->cluster;
  GPtrArray *old_types = cluster->types;
  cluster->types = types;
  GHashTableIter it;
  gpointer machine;
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    mh_cluster_resolve_type (cluster, machine);
  g_clear_pointer (&old_types, g_ptr_array_unref);
}

const MhUse *
mh_cluster_team_use (const MhCore *core, const char *team)
{
  return g_hash_table_lookup (core->cluster->team_use, team);
}

guint
mh_cluster_service_replicas (const MhCore *core)
{
  return core->cluster->service_replicas;
}

void
mh_cluster_machine_released (MhCore *core, MhMachine *machine)
{
  mh_machine_change_state (machine, MH_MACHINE_EVENT_RELEASE_CONFIRMED);
  mh_cluster_remember_released (core, machine->name);
  while (machine->attempts->len)
    mh_attempt_proven_over (core, mh_machine_attempt (machine, machine->attempts->len - 1), false);
  g_ptr_array_remove_fast (core->cluster->commands_due, machine);
  g_hash_table_remove (core->cluster->machines, machine->name);
}

/* ---- a step ---- */

/* Before the cloud takes the machine back, what can be saved is, and what would not end in time
   makes room elsewhere at once. */
static void
drain_attempt (MhCore *core, MhAttempt *attempt, gint64 left_us)
{
  const MhJobSpec *spec = attempt->job->spec;
  gint64 running_since_us = attempt->running_since_us;
  gint64 ran_us = running_since_us ? core->now.mono_us - running_since_us : 0;
  /* Too late to save together: it may still end in time, and loses nothing more if not. */
  if (mh_job_is_gang (attempt->job) && running_since_us
      && left_us < spec->checkpoint_save_us + MH_SECOND_US)
    return;
  if (spec->checkpoint_interval_us > 0 && running_since_us)
    mh_attempt_stop (core, attempt, MAX (0, MIN (spec->checkpoint_save_us, left_us)));
  else if (spec->shape == MH_SHAPE_SERVICE || spec->estimated_run_us - ran_us > left_us)
    mh_attempt_stop (core, attempt, 0);
}

static void
drain_by_notice (MhCore *core, MhMachine *machine)
{
  gint64 left_us = machine->notice_until_us - core->now.mono_us;
  for (guint i = machine->attempts->len; i-- > 0;)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (!mh_attempt_is_stopping (attempt))
        drain_attempt (core, attempt, left_us);
    }
}

static void
check_machine (MhCore *core, MhMachine *machine)
{
  if (mh_machine_is_releasing (machine))
    return;
  mh_failure_check (core, machine);
  if (machine->notice_until_us >= 0)
    drain_by_notice (core, machine);
  mh_fencing_raise_token (core, machine);
  mh_direct_command_send_unsent (core, machine);
}

static void
send_due_commands (MhCore *core)
{
  GPtrArray *due = core->cluster->commands_due;
  for (guint i = 0; i < due->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (due, i);
      machine->commands_due = false;
      if (!mh_machine_is_releasing (machine))
        mh_direct_command_send_unsent (core, machine);
    }
  g_ptr_array_set_size (due, 0);
}

static void
check_all_machines (MhCore *core)
{
  GHashTableIter it;
  gpointer machine;
  mh_failure_survey (core);
  g_hash_table_iter_init (&it, core->cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    check_machine (core, machine);
  mh_cluster_forget_old_releases (core->cluster, core->now.mono_us);
  mh_failure_check_leader_unheard (core);
}

/* What has just changed is answered at once; all machines are looked through now and then only, so
   that the work of a step does not grow with the number of machines. */
void
mh_cluster_step (MhCore *core)
{
  MhCluster *cluster = core->cluster;
  send_due_commands (core);
  if (core->now.mono_us >= cluster->checked_us + CHECK_INTERVAL_US)
    {
      cluster->checked_us = core->now.mono_us;
      check_all_machines (core);
    }
  mh_core_wake_at (core, cluster->checked_us + CHECK_INTERVAL_US);
}
