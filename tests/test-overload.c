/* A full cluster of many machines on controllers with a small share of a processor: work that grows
   with the cluster must not outlast the leader lease. */
#include "steps.h"

#define MACHINES 1000u
#define SERVICES 200u
#define ARRAYS 240u
#define TASKS_PER_ARRAY 30u
#define CORE_SHARE 0.24
/* Processor time in which the tasks of one machine are examined, without a share. */
#define EXAMINATION_US 0.5
#define CRASHES 3u
#define CRASH_INTERVAL_S 6
/* Two heartbeats and the time in which workers find the leader. */
#define RECOVERY_S 14
#define QUIET_S 30
#define BUSY_MACHINES 9u
#define BUSY_TASKS 12u
/* The call to the cloud, and the interval of checks. */
#define RELEASE_US (5 * MH_SECOND_US)

static const char *const zones[] = { "a", "b", "c", "d" };

static void
allow_full_cluster (MhSettings *settings)
{
  settings->heartbeat_interval_us = 5 * MH_SECOND_US;
  settings->worker_lease_us = 24 * MH_SECOND_US;
  settings->cancel_limit_us = 54 * MH_SECOND_US;
  settings->core_share = CORE_SHARE;
  settings->max_connections = 3640;
  settings->store_rps = 800;
  settings->store_write_rps = 70;
  settings->cloud_rps = 6;
  for (guint i = 0; i < settings->teams->len; i++)
    {
      MhTeam *team = g_ptr_array_index (settings->teams, i);
      team->cpus = MACHINES;
      team->cpus_max = 1e6;
    }
}

static Simulation *
full_cluster_new (guint32 seed)
{
  Simulation *simulation = simulation_new (seed);
  simulation->cloud->zone_count = G_N_ELEMENTS (zones);
  allow_full_cluster (simulation->settings);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      allow_full_cluster (simulation->nodes[i].settings);
      simulation->nodes[i].preemption_site_us = EXAMINATION_US / CORE_SHARE;
      simulation_restart_node (simulation, i, CONTROLLER_CURRENT, 0.1);
    }
  for (guint i = 0; i < MACHINES; i++)
    cloud_add_machine (simulation->cloud, "small", zones[i % G_N_ELEMENTS (zones)], false);
  return simulation;
}

static void
submit_more_than_fits (Simulation *simulation)
{
  for (guint i = 0; i < ARRAYS; i++)
    {
      MhJobSpec *spec = job_spec_new (1 + i, MH_SHAPE_ARRAY, TASKS_PER_ARRAY, 1);
      spec->priority = i % 2 ? MH_PRIORITY_NORMAL : MH_PRIORITY_LOW;
      spec->estimated_run_us = 60 * MH_SECOND_US;
      simulation_submit (simulation, spec, 240);
    }
  simulation_run (simulation, 20);
  for (guint i = 0; i < SERVICES; i++)
    simulation_submit (simulation, job_spec_new (1000 + i, MH_SHAPE_SERVICE, 4, 1), 0);
}

static void
crash_leader (Simulation *simulation)
{
  ControllerNode *leader = simulation_leader (simulation);
  if (leader)
    simulation_restart_node (simulation, leader->index, CONTROLLER_CURRENT, 3);
}

static void
silence_zone (Simulation *simulation, const char *zone, double seconds)
{
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      if (g_strcmp0 (worker->machine->zone, zone) == 0)
        worker->cut_until_us = simulation->clock->now_us + (gint64)(seconds * MH_SECOND_US);
    }
}

/* The protocol allows 75 s, which is more than the time since the last fault. */
static void
assert_all_answered_since (const Simulation *simulation, gint64 last_fault_us)
{
  for (guint i = 0; i < simulation->users->len; i++)
    {
      const User *user = g_ptr_array_index (simulation->users, i);
      if (user->job->accepted)
        g_assert_cmpint (user->last_response_us, >, last_fault_us);
    }
}

/* Guards against a search for tasks to preempt that outlasts the lease of each new leader. */
static void
test_preemption_outlasts_lease (void)
{
  Simulation *simulation = full_cluster_new (91);
  simulation_run (simulation, 14);
  submit_more_than_fits (simulation);
  for (guint i = 0; i < CRASHES; i++)
    {
      crash_leader (simulation);
      if (i == 1)
        silence_zone (simulation, "b", CRASH_INTERVAL_S);
      simulation_run (simulation, CRASH_INTERVAL_S);
    }
  gint64 last_fault_us = simulation->clock->now_us;
  simulation_run (simulation, RECOVERY_S);
  g_ptr_array_set_size (simulation->log_lines, 0);
  simulation_run (simulation, QUIET_S);
  g_assert_false (simulation_has_logged (simulation, "no longer leading"));
  g_assert_false (simulation_has_logged (simulation, "lease renewed after it had lapsed"));
  assert_all_answered_since (simulation, last_fault_us);
  simulation_assert_rules (simulation);
  simulation_free (simulation);
}

/* ---- a leader that reads late ---- */

static void
set_input_unread (Simulation *simulation, bool unread)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].input_unread_since_us = unread ? simulation->clock->now_us : 0;
}

/* The leader gets nothing from every third worker, as if it had not read it. */
static void
leave_heartbeats_unread (Simulation *simulation, gint64 duration_us)
{
  set_input_unread (simulation, true);
  for (guint i = 0; i < simulation->workers->len; i += 3)
    {
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      worker->cut_until_us = simulation->clock->now_us + duration_us;
    }
}

static Simulation *
busy_cluster_new (guint32 seed)
{
  Simulation *simulation = simulation_new (seed);
  for (guint i = 0; i < BUSY_MACHINES; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 10);
  start_service (simulation, 1, BUSY_TASKS);
  return simulation;
}

/* Longer than the limit on silence, and so short that no worker's lease expires. */
static gint64
unread_time_us (const Simulation *simulation)
{
  return simulation->settings->silence_limit_us + MH_SECOND_US / 2;
}

static void
assert_nothing_released (Simulation *simulation, guint task_starts)
{
  g_assert_false (simulation_has_logged (simulation, "reason=silent"));
  g_assert_false (simulation_has_logged (simulation, "reason=unreachable"));
  g_assert_false (simulation_has_logged (simulation, "reason=heartbeats_missing"));
  g_assert_cmpuint (simulation->rules->task_starts, ==, task_starts);
  simulation_assert_rules (simulation);
  simulation_free (simulation);
}

/* Guards against an overloaded leader that releases machines whose heartbeats it has not read. */
static void
test_unread_heartbeats (void)
{
  Simulation *simulation = busy_cluster_new (92);
  guint starts = simulation->rules->task_starts;
  gint64 duration_us = unread_time_us (simulation);
  leave_heartbeats_unread (simulation, duration_us);
  simulation_run (simulation, (double)duration_us / MH_SECOND_US);
  set_input_unread (simulation, false);
  simulation_run (simulation, QUIET_S);
  assert_nothing_released (simulation, starts);
}

/* The same for a new leader, to which the workers have not reported. */
static void
test_unread_heartbeats_since_failover (void)
{
  Simulation *simulation = busy_cluster_new (93);
  guint starts = simulation->rules->task_starts;
  gint64 duration_us = unread_time_us (simulation);
  leave_heartbeats_unread (simulation, duration_us);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, (double)duration_us / MH_SECOND_US);
  set_input_unread (simulation, false);
  simulation_run (simulation, QUIET_S);
  assert_nothing_released (simulation, starts);
}

/* Guards against a busy leader that keeps a machine for ever which has really gone. */
static void
test_dead_machine_despite_unread_input (void)
{
  Simulation *simulation = busy_cluster_new (94);
  const MhSettings *settings = simulation->settings;
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  set_input_unread (simulation, true);
  gint64 bound_us = settings->silence_limit_us + settings->worker_lease_us + RELEASE_US;
  WAIT (simulation, (double)bound_us / MH_SECOND_US, is_removed, machine);
  simulation_assert_rules (simulation);
  simulation_free (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/overload/preemption-outlasts-lease", test_preemption_outlasts_lease);
  g_test_add_func ("/overload/unread-heartbeats", test_unread_heartbeats);
  g_test_add_func ("/overload/unread-heartbeats-since-failover",
                   test_unread_heartbeats_since_failover);
  g_test_add_func ("/overload/dead-machine-despite-unread-input",
                   test_dead_machine_despite_unread_input);
  return g_test_run ();
}
