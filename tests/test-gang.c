/* Gang scheduling, on a fake clock: all tasks of a gang run at the same time, or none does. */
#include "steps.h"

#include <string.h>

/* All tasks of a gang are placed together. If they were placed one by one, a gang would be spread
   over several zones, or run with several attempt numbers. */
static void
test_lifecycle (Simulation *simulation)
{
  User *user = start_gang (simulation, 1, 6, 2, 10);
  const Machine *first_machine = worker_with_task (simulation, "j-000001/0")->machine;
  for (guint i = 1; i < 6; i++)
    {
      g_autofree char *task_id = g_strdup_printf ("j-000001/%u", i);
      const Machine *machine = worker_with_task (simulation, task_id)->machine;
      g_assert_cmpstr (machine->zone, ==, first_machine->zone);
      g_assert_cmpuint (g_array_index (machine->tasks, MachineTask, 0).attempt, ==, 1);
    }
  WAIT (simulation, 40, is_reported_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

/* A gang that can never run as a whole is refused. If it were accepted, it would wait for ever. */
static void
test_refusals (Simulation *simulation)
{
  MhUserResponse response;
  simulation_run (simulation, 5);
  g_assert_cmpuint (simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000001",
                                                 gang_spec_new (1, 17, 1), &response),
                    ==, 422); /* 17 cpus; the quota is 16 */
  MhJobSpec *spec = gang_spec_new (2, 2, 1);
  spec->spread_over_zones = true; /* contradicts single_zone */
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000002", spec, &response), ==,
      422);
  spec = gang_spec_new (3, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  spec->zone = g_strdup ("a");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000003", spec, &response), ==,
      422);
  spec = gang_spec_new (4, 1, 1);
  spec->mem_gb = 100;
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000004", spec, &response), ==,
      422);
  spec = gang_spec_new (5, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  User *user = simulation_submit (simulation, spec, 3);
  WAIT (simulation, 60, is_reported_done, user);
}

/* There is capacity for only a part of the gang. Tasks that started without the others would occupy
   it in vain. If smaller jobs took all capacity that becomes free, the gang would never start. */
static void
test_all_or_none (Simulation *simulation)
{
  simulation->cloud->max_machines = 2;
  simulation->cloud->zone_count = 1;
  MhJobSpec *spec = gang_spec_new (1, 4, 2); /* fills two small machines */
  require_small_machines (spec);
  spec->spot = true;
  User *array_users[6];
  for (guint i = 0; i < G_N_ELEMENTS (array_users); i++)
    {
      MhJobSpec *array_spec = job_spec_new (10 + i, MH_SHAPE_ARRAY, 4, 1);
      require_small_machines (array_spec);
      array_spec->priority = MH_PRIORITY_LOW;
      array_users[i] = simulation_submit (simulation, array_spec, 4 + i);
    }
  simulation_run (simulation, 10);
  User *user = simulation_submit (simulation, spec, 5);
  guint partial_samples = 0;
  for (guint i = 0; i < 600 && !user->reported_done; i++)
    {
      guint running = simulation_running_tasks (simulation, "j-000001");
      partial_samples += running > 0 && running < 4 && user->job->done_count == 0;
      simulation_run (simulation, 0.1);
    }
  g_assert_true (user->reported_done);
  g_assert_cmpuint (partial_samples, <=, 10); /* 1 s: until all starts have arrived */
  for (guint i = 0; i < G_N_ELEMENTS (array_users); i++)
    WAIT (simulation, 120, is_reported_done, array_users[i]);
}

/* Several gangs, each of which needs most of the capacity. If two of them occupied a part each,
   both would wait for the rest for ever. */
static void
test_competing_gangs (Simulation *simulation)
{
  simulation->cloud->max_machines = 2;
  simulation->cloud->zone_count = 1;
  User *users[4];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      MhJobSpec *spec = gang_spec_new (1 + i, 3, 2);
      require_small_machines (spec);
      users[i] = simulation_submit (simulation, spec, 5);
    }
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    WAIT (simulation, 200, is_reported_done, users[i]);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 12); /* each task once */
}

/* The starts of a gang are sent only when the records of all its tasks are durable. A new leader
   would not know of a start that was sent before, and the task would run beside the next
   attempt. */
static void
test_starts_after_durable_record (Simulation *simulation)
{
  User *user = simulation_submit (simulation, gang_spec_new (1, 4, 1), 20);
  WAIT (simulation, 30, is_accepted, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 15 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, is_gang_running, user);
  WAIT (simulation, 60, is_reported_done, user);
}

/* All tasks of the gang are done, but no record of that is durable, since the leader's transactions
   are lost. If the leader reported the gang as done, the response of the next leader could
   contradict this. */
static void
test_done_after_durable_record (Simulation *simulation)
{
  User *user = submit_gang_on_small_machines (simulation, 2, 8);
  WAIT (simulation, 60, is_gang_running, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 25 * MH_SECOND_US;
  WAIT (simulation, 15, all_tasks_done, user);
  simulation_run (simulation, 6);
  g_assert_false (user->reported_done);
  simulation_stop_node (simulation, leader->index);
  WAIT (simulation, 30, is_reported_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
}

/* A gang that can never run is refused even without a leader; otherwise its user would wait for
   one. A gang that may be able to run must not be refused: its user is asked to retry (503). */
static void
test_refusals_without_a_leader (Simulation *simulation)
{
  MhUserResponse response;
  simulation_run (simulation, 5);
  guint remaining_node = (simulation_leader (simulation)->index + 1) % SIMULATION_NODES;
  simulation->nodes[remaining_node].writes_lost_until_us
      = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != remaining_node)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 3);
  g_assert_null (simulation_leader (simulation));
  g_assert_cmpuint (simulation_request_and_wait (simulation, remaining_node, MH_USER_SUBMIT,
                                                 "j-000001", gang_spec_new (1, 17, 1), &response),
                    ==, 422);
  g_assert_cmpuint (simulation_request_and_wait (simulation, remaining_node, MH_USER_SUBMIT,
                                                 "j-000002", gang_spec_new (2, 16, 1), &response),
                    ==, 503);
}

/* No machine exists. As many as the whole gang needs are created in one zone, and the gang starts
   when the last of them is up. With fewer machines, or with machines in several zones, it would
   wait for ever. */
static void
test_machines_for_whole_gang (Simulation *simulation)
{
  MhJobSpec *spec = gang_spec_new (1, 6, 2);
  require_small_machines (spec);
  User *user = simulation_submit (simulation, spec, 5);
  WAIT (simulation, 30, is_accepted, user);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpstr (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->zone, ==,
                     ((Machine *)g_ptr_array_index (simulation->cloud->machines, 0))->zone);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, is_reported_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

/* A gang with more tasks than one record holds, under the next limits of the key-value store, which
   are lower: 2048 bytes a value and 5 operations a transaction. If its records exceeded the limits,
   the gang would not start, or a new leader could not restore it. */
static void
test_small_records (Simulation *simulation)
{
  simulation_set_store_limits (simulation, 2048, 5);
  MhJobSpec *spec = gang_spec_new (1, 60, 0.2);
  spec->mem_gb = 0.1;
  User *user = simulation_submit (simulation, spec, 8);
  WAIT (simulation, 60, is_gang_running, user);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 60, is_reported_done, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/gang-scheduling/lifecycle", 1, test_lifecycle);
  simulation_test_add ("/gang-scheduling/refusals", 2, test_refusals);
  simulation_test_add ("/gang-scheduling/all-or-none", 3, test_all_or_none);
  simulation_test_add ("/gang-scheduling/competing-gangs", 4, test_competing_gangs);
  simulation_test_add ("/gang-scheduling/starts-after-durable-record", 5,
                       test_starts_after_durable_record);
  simulation_test_add ("/gang-scheduling/done-after-durable-record", 20,
                       test_done_after_durable_record);
  simulation_test_add ("/gang-scheduling/refusals-without-a-leader", 21,
                       test_refusals_without_a_leader);
  simulation_test_add ("/gang-scheduling/machines-for-whole-gang", 86,
                       test_machines_for_whole_gang);
  simulation_test_add ("/gang-scheduling/small-records", 82, test_small_records);
  return g_test_run ();
}
