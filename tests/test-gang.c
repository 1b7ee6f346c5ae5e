/* Gangs: all tasks at the same time or none; on a fake clock. */
#include "steps.h"

#include <string.h>

/* A gang whose tasks were placed one by one would be spread over zones, or run under several
   attempt numbers. */
static void
test_life (Simulation *simulation)
{
  User *user = start_gang (simulation, 1, 6, 2, 10);
  const Machine *first = worker_with_task (simulation, "j-000001/0")->machine;
  for (guint i = 1; i < 6; i++)
    {
      g_autofree char *leg = g_strdup_printf ("j-000001/%u", i);
      const Machine *machine = worker_with_task (simulation, leg)->machine;
      g_assert_cmpstr (machine->zone, ==, first->zone);
      g_assert_cmpuint (g_array_index (machine->tasks, MachineTask, 0).attempt, ==, 1);
    }
  WAIT (simulation, 40, is_reported_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

/* A gang that can never run as a whole would wait for ever, were it accepted. */
static void
test_refusals (Simulation *simulation)
{
  MhUserResponse answer;
  simulation_run (simulation, 5);
  g_assert_cmpuint (simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000001",
                                                 gang_spec_new (1, 17, 1), &answer),
                    ==, 422); /* of 16 */
  MhJobSpec *spec = gang_spec_new (2, 2, 1);
  spec->spread_over_zones = true; /* and in one zone */
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000002", spec, &answer), ==,
      422);
  spec = gang_spec_new (3, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  spec->zone = g_strdup ("a");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000003", spec, &answer), ==,
      422);
  spec = gang_spec_new (4, 1, 1);
  spec->mem_gb = 100;
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000004", spec, &answer), ==,
      422);
  spec = gang_spec_new (5, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  User *user = simulation_submit (simulation, spec, 3);
  WAIT (simulation, 60, is_reported_done, user);
}

/* With room for a part only, tasks that start alone would hold it for nothing; and smaller work
   would keep the gang from its room for ever. */
static void
test_all_or_none (Simulation *simulation)
{
  simulation->cloud->max_machines = 2;
  simulation->cloud->zone_count = 1;
  MhJobSpec *spec = gang_spec_new (1, 4, 2); /* two whole small machines */
  require_small_machines (spec);
  spec->spot = true;
  User *small[6];
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    {
      MhJobSpec *other = job_spec_new (10 + i, MH_SHAPE_ARRAY, 4, 1);
      require_small_machines (other);
      other->priority = MH_PRIORITY_LOW;
      small[i] = simulation_submit (simulation, other, 4 + i);
    }
  simulation_run (simulation, 10);
  User *user = simulation_submit (simulation, spec, 5);
  guint parts = 0;
  for (guint i = 0; i < 600 && !user->reported_done; i++)
    {
      guint running = simulation_running_tasks (simulation, "j-000001");
      parts += running > 0 && running < 4 && user->job->done_count == 0;
      simulation_run (simulation, 0.1);
    }
  g_assert_true (user->reported_done);
  g_assert_cmpuint (parts, <=, 10); /* only until the commands are there: a second */
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    WAIT (simulation, 120, is_reported_done, small[i]);
}

/* Two gangs, each of which needs most of what there is, would hold room from each other for ever if
   each took a part. */
static void
test_two_gangs (Simulation *simulation)
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
  g_assert_cmpuint (simulation->rules->task_starts, ==, 12); /* each once */
}

/* A start that leaves before all places are on record would be unknown to a new leader, and would
   run beside the next attempt. */
static void
test_on_record_first (Simulation *simulation)
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

/* All its tasks have ended, and nothing of that is on record. A user who were told that it is done
   would be told otherwise by the next leader. */
static void
test_done_only_on_record (Simulation *simulation)
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

/* What can never run is refused without a leader too, or its user would wait for one; what cannot
   be decided must not be refused. */
static void
test_refusals_without_a_leader (Simulation *simulation)
{
  MhUserResponse answer;
  simulation_run (simulation, 5);
  guint last = (simulation_leader (simulation)->index + 1) % SIMULATION_NODES;
  simulation->nodes[last].writes_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != last)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 3);
  g_assert_null (simulation_leader (simulation));
  g_assert_cmpuint (simulation_request_and_wait (simulation, last, MH_USER_SUBMIT, "j-000001",
                                                 gang_spec_new (1, 17, 1), &answer),
                    ==, 422);
  g_assert_cmpuint (simulation_request_and_wait (simulation, last, MH_USER_SUBMIT, "j-000002",
                                                 gang_spec_new (2, 16, 1), &answer),
                    ==, 503);
}

/* Nothing is there: as many machines as the whole gang needs are rented in one zone, and it starts
   when the last of them is up. */
static void
test_rented_whole (Simulation *simulation)
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

/* A gang of more tasks than one record holds, under the limits that come next. */
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
  simulation_test_add ("/gang-scheduling/life", 1, test_life);
  simulation_test_add ("/gang-scheduling/refusals", 2, test_refusals);
  simulation_test_add ("/gang-scheduling/all-or-none", 3, test_all_or_none);
  simulation_test_add ("/gang-scheduling/two-gangs", 4, test_two_gangs);
  simulation_test_add ("/gang-scheduling/on-record-first", 5, test_on_record_first);
  simulation_test_add ("/gang-scheduling/done-only-on-record", 20, test_done_only_on_record);
  simulation_test_add ("/gang-scheduling/refusals-without-a-leader", 21,
                       test_refusals_without_a_leader);
  simulation_test_add ("/gang-scheduling/rented-whole", 86, test_rented_whole);
  simulation_test_add ("/gang-scheduling/small-records", 82, test_small_records);
  return g_test_run ();
}
