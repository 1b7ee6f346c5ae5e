/* Tests outages of the key-value store, controllers that are cut off or end, and how long a leader
   that cannot renew its lease may keep tasks alive by responding to heartbeats. docs/meetings.md
   has a row for each test. */
#include "steps.h"

#include <string.h>

/* The first leader cannot use the key-value store: the store rejects the requests of this
   controller alone (`refused`), or the controller is cut off from it. With `isolated` it is cut off
   from its peers too. The workers still send their heartbeats to it, and direct commands do not
   reach them. The second leader confirms a cancellation. `outage_s` later the store becomes
   unavailable for all, before or after the first leader starts to reject heartbeats, and the
   workers turn to the second one. The task must be gone within cancel_s all the same. Without stops
   in heartbeat responses, the second leader kept the task alive after the first one had. */
static void
keep_alive_across_leaders (guint seed, bool refused, bool isolated, double outage_s)
{
  Simulation *simulation = simulation_new (seed);
  User *user = start_service (simulation, 1, 2);
  simulation_run (simulation, 10);
  ControllerNode *former_leader = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->target_node = former_leader->index;
  *(refused ? &former_leader->store_rejects_until_us : &former_leader->store_cut_until_us)
      = simulation->clock->now_us + 300 * MH_SECOND_US;
  if (isolated)
    former_leader->peers_cut_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 300 * MH_SECOND_US; /* no machine can be released */
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  g_assert_true (simulation_leader (simulation) != former_leader);
  simulation_run (simulation, outage_s);
  simulation->store->outage_until_us = simulation->clock->now_us + 70 * MH_SECOND_US;
  simulation_run (simulation, 120); /* the rule checks of the simulation enforce cancel_s */
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  simulation_check_and_free (simulation);
}

static void
test_keep_alive_across_leaders (void)
{
  for (guint i = 0; i < 12; i++)
    {
      keep_alive_across_leaders (100 + i, true, false, 0.5 + 2 * i);
      keep_alive_across_leaders (200 + i, true, true, 0.5 + 2 * i);
      keep_alive_across_leaders (300 + i, false, true, 0.5 + 2 * i);
    }
}

/* A leader confirms a cancellation and ends before any worker gets the stop. The next leader can
   renew its lease, but its requests for lists of keys get no response for a minute. If it responded
   to heartbeats before it has loaded the records, it would keep cancelled tasks alive. */
static void
test_cancel_before_slow_load (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 2);
  simulation_run (simulation, 10);
  guint former_leader = simulation_leader (simulation)->index;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].key_lists_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->heartbeats_lost_until_us
        = simulation->clock->now_us + 3 * MH_SECOND_US;
  user_cancel (user);
  WAIT (simulation, 3, is_reported_cancelled, user);
  simulation_stop_node (simulation, former_leader);
  simulation_run (simulation, 80);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* cancel_s is so close to the workers' lease that a leader may keep no task alive without the
   key-value store. If it did, the tasks of cancelled jobs would not be gone within cancel_s. Silent
   machines must be detected as with other settings. */
static void
test_no_time_for_keep_alive (Simulation *simulation)
{
  simulation->settings->cancel_limit_us = 18 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->cancel_limit_us = 18 * MH_SECOND_US;
      simulation_start_node (simulation, i);
    }
  User *user = start_service (simulation, 1, 2), *other = start_service (simulation, 3, 1);
  g_assert_true (simulation_has_logged (
      simulation, "cancel_s is too short in relation to the workers' lease_s"));
  simulation_run (simulation, 10);
  Machine *machine = worker_with_task (simulation, "j-000003/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  WAIT (simulation, 20, is_removed, machine);
  WAIT (simulation, 20, all_tasks_running, other);
  WAIT (simulation, 20, all_tasks_running, user);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us
      = simulation->clock->now_us + 100 * MH_SECOND_US;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  simulation->store->outage_until_us = simulation->clock->now_us + 40 * MH_SECOND_US;
  simulation_run (simulation, 40);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* The key-value store is unavailable for longer than the leader may keep tasks alive. The tasks end
   when the workers' leases expire, and must start again on the same machines when the store is
   back. An earlier version counted the time in which the leader rejected all heartbeats as silence
   of the workers, and released the whole fleet. */
static void
test_long_outage (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  simulation->store->outage_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 59);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  WAIT (simulation, 8, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 8);
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    g_assert_false (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->removed);
}

/* The former leader is cut off from the key-value store and its peers, but not from its workers and
   users, and a job is cancelled through the new leader. The former one must not answer users with
   an older state of the job, and the job's tasks must be gone within cancel_s. */
static void
test_cancel_with_isolated_leader (Simulation *simulation)
{
  MhUserResponse response;
  User *user = start_service (simulation, 1, 2), *other = start_service (simulation, 2, 2);
  simulation_run (simulation, 10);
  ControllerNode *former_leader = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->target_node = former_leader->index;
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us
      = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation->network->hold_commands = true; /* no worker sends the former leader the new token */
  simulation_run (simulation, 3);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  simulation_request_and_wait (simulation, former_leader->index, MH_USER_STATUS, "j-000001", NULL,
                               &response);
  g_assert_true (response.status == 503 || response.state == MH_JOB_CANCELLED);
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 80);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  WAIT (simulation, 60, all_tasks_running, other);
}

/* The leader is stopped ten times in two minutes, also during an outage of the key-value store,
   while users submit and cancel jobs. Nothing that one leader leaves unfinished may be lost. */
static void
test_ten_leaders (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 3);
  for (guint i = 0; i < 10; i++)
    {
      User *next = simulation_submit (simulation, job_spec_new (10 + i, MH_SHAPE_ARRAY, 3, 1), 4);
      ControllerNode *leader = simulation_leader (simulation);
      guint stopped = leader ? leader->index : i % SIMULATION_NODES;
      if (i == 4)
        simulation->store->outage_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
      if (i == 6)
        user_cancel (user);
      simulation_stop_node (simulation, stopped);
      simulation_run (simulation, 3);
      simulation_start_node (simulation, stopped);
      simulation_run (simulation, 9);
      if (i % 3 == 0)
        user_cancel (next);
    }
  wait_until_all_settled (simulation, 200);
  g_assert_true (user->reported_cancelled);
}

/* A team has reached its quota when the leader changes, one machine that runs its tasks is
   unreachable, and the job of these tasks is cancelled. Tasks that may still run on that machine
   must count towards the quota. Otherwise more tasks than it allows would be started. */
static void
test_quota_across_leaders (Simulation *simulation)
{
  User *user = start_array (simulation, 2, 16, 200); /* the quota of team blue is 16 cpus */
  MhJobSpec *spec = job_spec_new (4, MH_SHAPE_ARRAY, 16, 1);
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *more = simulation_submit (simulation, spec, 5);
  WAIT (simulation, 20, is_accepted, more);
  simulation_run (simulation, 5);
  Worker *lost = worker_with_task (simulation, "j-000002/0");
  lost->cut_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  WAIT (simulation, 200, is_reported_done,
        more); /* the rule checks enforce the quota at each start */
}

/* No controller runs for longer than the workers' lease, so that all tasks end. If the next leader
   assumed that they still run, they would not be started again. */
static void
test_no_controller_for_a_worker_lease (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 3);
  User *array = start_array (simulation, 2, 6, 20);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  WAIT (simulation, 15, all_tasks_running, user);
  WAIT (simulation, 60, is_reported_done, array);
}

/* Leaders that receive no heartbeats transfer leadership several times. Then all controllers end,
   and one starts again at once, alone. It must lead within 10 s, and not wait for the lease of its
   earlier process or for the other controllers. */
static void
test_repeated_transfers (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 3);
  start_service (simulation, 3, 1);
  simulation_run (simulation, 10);
  for (guint i = 0; i < 4; i++)
    {
      ControllerNode *leader = simulation_leader (simulation);
      if (leader)
        leader->heartbeats_lost_until_us = simulation->clock->now_us + 10 * MH_SECOND_US;
      simulation_run (simulation, 14);
    }
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  simulation_run (simulation, 0.2);
  simulation_start_node (simulation, 1);
  simulation_run (simulation, 10);
  g_assert_true (simulation_leader (simulation) == &simulation->nodes[1]);
  WAIT (simulation, 60, all_tasks_running, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store-outages/keep-alive-across-leaders", test_keep_alive_across_leaders);
  simulation_test_add ("/store-outages/cancel-before-slow-load", 50, test_cancel_before_slow_load);
  simulation_test_add ("/store-outages/no-time-for-keep-alive", 54, test_no_time_for_keep_alive);
  simulation_test_add ("/store-outages/long-outage", 51, test_long_outage);
  simulation_test_add ("/store-outages/cancel-with-isolated-leader", 61,
                       test_cancel_with_isolated_leader);
  simulation_test_add ("/store-outages/ten-leaders", 63, test_ten_leaders);
  simulation_test_add ("/store-outages/quota-across-leaders", 64, test_quota_across_leaders);
  simulation_test_add ("/store-outages/no-controller-for-a-worker-lease", 76,
                       test_no_controller_for_a_worker_lease);
  simulation_test_add ("/store-outages/repeated-transfers", 82, test_repeated_transfers);
  return g_test_run ();
}
