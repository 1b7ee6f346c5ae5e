/* Outages of the key-value store, controllers that are cut off or end, and how long a leader that
   cannot renew its lease may extend the workers' leases. docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* The first leader loses the state service and its peers, and keeps its worker, which nobody else
   can ask; the second confirms a cancellation, and loses the state service with everybody else
   `outage_s` later, before or after the first gives the worker up. The worker's task is gone within
   cancel_s all the same. Without stops in what such a leader answers, the second kept the task
   alive in its turn. */
static void
extend_across_leaders (guint seed, bool refused, bool isolated, double outage_s)
{
  Simulation *simulation = simulation_new (seed);
  User *user = start_service (simulation, 1, 2);
  simulation_run (simulation, 10);
  ControllerNode *old = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->target_node = old->index;
  *(refused ? &old->store_rejects_until_us : &old->store_cut_until_us)
      = simulation->clock->now_us + 300 * MH_SECOND_US;
  if (isolated)
    old->peers_cut_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 300 * MH_SECOND_US; /* no machine is released */
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  g_assert_true (simulation_leader (simulation) != old);
  simulation_run (simulation, outage_s);
  simulation->store->outage_until_us = simulation->clock->now_us + 70 * MH_SECOND_US;
  simulation_run (simulation, 120); /* the world checks cancel_s */
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  simulation_check_and_free (simulation);
}

static void
test_lease_extension (void)
{
  for (guint i = 0; i < 12; i++)
    {
      extend_across_leaders (100 + i, true, false, 0.5 + 2 * i);
      extend_across_leaders (200 + i, true, true, 0.5 + 2 * i);
      extend_across_leaders (300 + i, false, true, 0.5 + 2 * i);
    }
}

/* A cancellation is confirmed, and its leader ends before any worker hears of it. The next one can
   renew its lease, but does not get to see the records for long: it would keep alive what it cannot
   know to be cancelled. */
static void
test_cancel_before_a_slow_load (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 2);
  simulation_run (simulation, 10);
  guint old = simulation_leader (simulation)->index;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].key_lists_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->heartbeats_lost_until_us
        = simulation->clock->now_us + 3 * MH_SECOND_US;
  user_cancel (user);
  WAIT (simulation, 3, is_reported_cancelled, user);
  simulation_stop_node (simulation, old);
  simulation_run (simulation, 80);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* Settings that leave no room beside the workers' lease: were anything kept alive without the
   key-value store, what is cancelled would not be gone in time. Silence is noticed as ever. */
static void
test_no_room_for_lease_extension (Simulation *simulation)
{
  simulation->settings->cancel_limit_us = 18 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->cancel_limit_us = 18 * MH_SECOND_US;
      simulation_start_node (simulation, i);
    }
  User *user = start_service (simulation, 1, 2), *other = start_service (simulation, 3, 1);
  g_assert_true (simulation_has_logged (simulation, "leaves no room"));
  simulation_run (simulation, 10);
  Machine *machine = worker_with_task (simulation, "j-000003/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  WAIT (simulation, 20, is_removed, machine);
  WAIT (simulation, 20, all_tasks_running, other);
  WAIT (simulation, 20, all_tasks_running, user);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = old->peers_cut_until_us
      = simulation->clock->now_us + 100 * MH_SECOND_US;
  simulation->network->hold_commands = true;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  simulation->store->outage_until_us = simulation->clock->now_us + 40 * MH_SECOND_US;
  simulation_run (simulation, 40);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* The key-value store is away for longer than the old leader may keep anything alive: the tasks end
   with the workers' leases, and start again on the very machines once it is back. That nothing was
   heard while all reports were refused once had the whole fleet given back. */
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

/* A leader keeps its workers and users alone, and jobs are cancelled through the new one: users of
   the first would be told something older, and what is cancelled would not be gone in time. */
static void
test_cancel_beside_a_cut_leader (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = start_service (simulation, 1, 2), *other = start_service (simulation, 2, 2);
  simulation_run (simulation, 10);
  ControllerNode *old = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->target_node = old->index;
  old->store_cut_until_us = old->peers_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation->network->hold_commands = true; /* no worker tells the old one of the new */
  simulation_run (simulation, 3);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  simulation_request_and_wait (simulation, old->index, MH_USER_STATUS, "j-000001", NULL, &answer);
  g_assert_true (answer.status == 503 || answer.state == MH_JOB_CANCELLED);
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 80);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  WAIT (simulation, 60, all_tasks_running, other);
}

/* Ten leaders in two minutes, some of them inside an outage, while users submit and cancel: what
   one leader leaves half done would be lost. */
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

/* A team is at its limit when the leader changes; a machine that runs its tasks can't be asked, and
   cancels fall into that. Did what may still run there not count, more would be started. */
static void
test_limit_across_leaders (Simulation *simulation)
{
  User *user = start_array (simulation, 2, 16, 200); /* 16 cpus are blue's limit */
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
  WAIT (simulation, 200, is_reported_done, more); /* the world checks the limit at each start */
}

/* No controller for longer than the workers' lease: whatever ran is gone, and would not run again
   if it were taken for running. */
static void
test_all_away_for_a_lease (Simulation *simulation)
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

/* Controllers transfer leadership and get it back; then all end, and one is back within a moment,
   alone: it would wait for the lease of its earlier life, or for others. */
static void
test_back_and_forth (Simulation *simulation)
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
  g_test_add_func ("/store-outages/lease-extension", test_lease_extension);
  simulation_test_add ("/store-outages/cancel-before-a-slow-load", 50,
                       test_cancel_before_a_slow_load);
  simulation_test_add ("/store-outages/no-room-for-lease-extension", 54,
                       test_no_room_for_lease_extension);
  simulation_test_add ("/store-outages/long-outage", 51, test_long_outage);
  simulation_test_add ("/store-outages/cancel-beside-a-cut-leader", 61,
                       test_cancel_beside_a_cut_leader);
  simulation_test_add ("/store-outages/ten-leaders", 63, test_ten_leaders);
  simulation_test_add ("/store-outages/limit-across-leaders", 64, test_limit_across_leaders);
  simulation_test_add ("/store-outages/all-away-for-a-lease", 76, test_all_away_for_a_lease);
  simulation_test_add ("/store-outages/back-and-forth", 82, test_back_and_forth);
  return g_test_run ();
}
