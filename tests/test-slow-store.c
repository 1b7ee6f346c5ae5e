/* A key-value store that answers late, while users ask about many jobs that are in no controller's
   memory: their reads must not hold up the calls that keep the leadership. */
#include "steps.h"

#define JOBS 600u
#define SUBMISSIONS_A_SECOND 100u
#define STORE_DELAY_US (120 * MH_MILLISECOND_US)
/* Processor time for which the HTTP client examines one waiting call, without a share. */
#define WAITING_CALL_US 2.0
#define CORE_SHARE 0.24
#define MAX_UNANSWERED_S 75

static void
set_limits (MhSettings *settings)
{
  settings->core_share = CORE_SHARE;
  settings->max_connections = 3640;
  settings->store_rps = 800;
  settings->store_write_rps = 200;
}

static Simulation *
slow_store_new (guint32 seed)
{
  Simulation *simulation = simulation_new (seed);
  set_limits (simulation->settings);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      ControllerNode *node = &simulation->nodes[i];
      set_limits (node->settings);
      node->waiting_call_us = WAITING_CALL_US / CORE_SHARE;
      simulation_restart_node (simulation, i, CONTROLLER_CURRENT, 0.1);
    }
  add_small_machines (simulation, JOBS / 50);
  return simulation;
}

static void
submit_and_finish_jobs (Simulation *simulation)
{
  for (guint i = 0; i < JOBS; i++)
    {
      simulation_submit (simulation, job_spec_new (1 + i, MH_SHAPE_ARRAY, 1, 0.1), 1);
      if (i % SUBMISSIONS_A_SECOND == 0)
        simulation_run (simulation, 1);
    }
  WAIT (simulation, 300, simulation_all_settled, NULL);
}

static void
restart_all_nodes (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  simulation_run (simulation, 1);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
}

/* Users ask about all jobs at all nodes, once in each second, for longer than the protocol lets a
   job be without an answer. */
static void
ask_and_check_answers (Simulation *simulation)
{
  gint64 calm_since_us = simulation->clock->now_us;
  for (guint second = 0; second <= MAX_UNANSWERED_S; second++)
    {
      for (guint i = 0; i < simulation->users->len; i++)
        {
          simulation_request_from_all_nodes (simulation, g_ptr_array_index (simulation->users, i));
          if (i % (JOBS / 10) == 0)
            simulation_run (simulation, 0.1);
        }
      users_check_answered (simulation, calm_since_us);
    }
}

/* Guards against users' reads that take all connections to a slow key-value store, so that no
   controller is elected or keeps its lease, and no question is answered. */
static void
test_user_reads_starve_election (void)
{
  Simulation *simulation = slow_store_new (95);
  simulation_run (simulation, 14);
  submit_and_finish_jobs (simulation);
  simulation->network->store_delay_us = STORE_DELAY_US;
  restart_all_nodes (simulation);
  ask_and_check_answers (simulation);
  simulation_assert_rules (simulation);
  g_assert_nonnull (simulation_leader (simulation));
  simulation_free (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slow-store/user-reads-starve-election", test_user_reads_starve_election);
  return g_test_run ();
}
