/* Workers and zones that are partitioned in one direction or both, lost machines and scarce
   capacity, while leaders change. docs/meetings.md has a row for each case. */
#include "steps.h"

#include <string.h>

/* The heartbeats of a worker are lost, although it answers probes and direct commands. Its lease
   expires again and again, and each time all tasks on it end. The machine must get no new tasks and
   must be released, and its tasks must run elsewhere. Otherwise a whole zone of these machines
   would stop the rest of the work too. */
static void
test_heartbeats_lost (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->heartbeats_lost_until_us = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_run (simulation, 9); /* heartbeat overdue: no new tasks despite free capacity */
  guint tasks_before = worker->machine->tasks->len;
  User *next = simulation_submit (simulation, job_spec_new (5, MH_SHAPE_SERVICE, 2, 0.5), 0);
  WAIT (simulation, 20, all_tasks_running, next);
  g_assert_cmpuint (worker->machine->tasks->len, <=, tasks_before);
  WAIT (simulation, 40, is_removed, worker->machine);
  WAIT (simulation, 10, all_tasks_running, user);
  User *array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (simulation, 60, is_reported_done, array);
  /* A job that is cancelled while the heartbeats of one of its workers are lost ends in time. */
  User *third = start_service (simulation, 3, 2);
  worker_with_task (simulation, "j-000003/0")->heartbeats_lost_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_run (simulation, 2);
  user_cancel (third);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 0);
}

/* No heartbeat reaches the leader, although the workers answer its probes; heartbeats do reach the
   other controllers. The leader must transfer leadership, or the workers' leases would expire. */
static void
test_heartbeats_to_leader_lost (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  start_service (simulation, 2, 4);
  simulation_run (simulation, 10);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->heartbeats_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 20);
  g_assert_true (simulation_leader (simulation) != former_leader);
  WAIT (simulation, 30, all_tasks_running, user);
}

/* There is more work than capacity, at two priorities, while a share of all messages is late or
   lost. Guards against urgent work that starts last, and against work that waits although there is
   free capacity for it. */
static void
test_more_work_than_capacity (Simulation *simulation)
{
  simulation->cloud->max_machines = 4;
  simulation->network->delay_probability = 0.1;
  simulation->network->loss_probability = 0.02;
  for (guint i = 1; i <= 12; i++)
    simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 8, 1), 6);
  simulation_run (simulation, 30);
  User *urgent = simulation_submit (simulation, job_spec_new (20, MH_SHAPE_SERVICE, 2, 1), 0);
  WAIT (simulation, 60, all_tasks_running, urgent);
  simulation_run (simulation, 30);
  simulation->network->delay_probability = simulation->network->loss_probability = 0;
  wait_until_all_settled (simulation, 400);
}

/* The workers of a zone can reach only the leader, which is cut off from the key-value store and
   the other controllers for longer than the workers' lease. If a new leader started their tasks
   elsewhere before the machines are released, the tasks would run twice. */
static void
test_zone_partitioned_with_leader (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  User *array = start_array (simulation, 2, 8, 20);
  simulation_run (simulation, 10);
  ControllerNode *former_leader = simulation_leader (simulation);
  gint64 until_us = simulation->clock->now_us + 40 * MH_SECOND_US;
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us = until_us;
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = worker_by_index (simulation, i);
      bool inside = strcmp (worker->machine->zone, "a") == 0;
      worker->target_node
          = inside ? former_leader->index : (former_leader->index + 1) % SIMULATION_NODES;
      worker->sole_node = inside ? (gint)former_leader->index : -1;
      worker->sole_node_until_us = inside ? until_us : 0;
    }
  WAIT (simulation, 200, is_reported_done, array);
  WAIT (simulation, 60, all_tasks_running, user);
}

/* The tasks of each job end 12 s apart, and leadership changes in between. A new leader that did
   not know which tasks have ended would run them again. */
static void
test_failover_between_task_ends (Simulation *simulation)
{
  User *users[6];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      users[i]
          = simulation_submit (simulation, job_spec_new (1 + i, MH_SHAPE_ARRAY, 2 + i % 2, 1), 3);
      users[i]->job->stagger_us = 12 * MH_SECOND_US;
    }
  for (guint i = 0; i < 4; i++)
    {
      simulation_run (simulation, 9);
      ControllerNode *leader = simulation_leader (simulation);
      guint stopped = leader ? leader->index : 0;
      simulation_stop_node (simulation, stopped);
      simulation_run (simulation, i % 2 ? 0.2 : 3);
      simulation_start_node (simulation, stopped);
    }
  wait_until_all_settled (simulation, 120);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 15); /* no task was started twice */
}

/* An array must run in a single zone, which its first tasks determine, and machines fail there.
   Guards against placing its other tasks, or creating machines for them, in the other zone, where
   more capacity is free. */
static void
test_single_zone_array_loses_machines (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, 12, 1);
  spec->single_zone = true;
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, 300);
  WAIT (simulation, 60, all_tasks_running, user);
  Worker *remaining = worker_with_task (simulation, "j-000002/0");
  guint failed = 0;
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Machine *machine = worker_by_index (simulation, i)->machine;
      if (machine == remaining->machine || machine->tasks->len == 0)
        continue;
      machine_fail (machine);
      failed++;
    }
  g_assert_cmpuint (failed, >, 0);
  guint machines_before = simulation->cloud->machines->len;
  WAIT (simulation, 60, all_tasks_running, user);
  for (guint i = machines_before; i < simulation->cloud->machines->len; i++)
    g_assert_cmpstr (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->zone, ==,
                     remaining->machine->zone);
  g_assert_true (
      strcmp (remaining->machine->zone, worker_with_task (simulation, "j-000002/11")->machine->zone)
      == 0);
}

/* The leader stops while nothing that its successor sends reaches one machine with long tasks, and
   another one is cut off in both directions. Guards against tasks that run elsewhere before these
   machines are released, and against tasks that never run elsewhere. */
static void
test_responses_of_new_leader_lost (Simulation *simulation)
{
  start_array (simulation, 2, 12, 90);
  simulation_run (simulation, 10);
  worker_with_task (simulation, "j-000002/0")->responses_lost_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  Worker *cut = worker_with_task (simulation, "j-000002/11");
  cut->cut_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  wait_until_all_settled (simulation, 300);
}

/* Guards against a new leader that no worker can reach, and that releases their machines as silent
   since its election: the silence may as well be its own. */
static void
test_leader_hears_no_worker (Simulation *simulation)
{
  const double cut_s = 12; /* shorter than the leases of the workers */
  for (guint i = 0; i < 6; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 10);
  start_service (simulation, 1, 12);
  guint leader = simulation_leader (simulation)->index;
  ControllerNode *next = &simulation->nodes[(leader + 1) % SIMULATION_NODES];
  simulation_stop_node (simulation, (leader + 2) % SIMULATION_NODES);
  next->workers_cut_until_us = simulation->clock->now_us + (gint64)(cut_s * MH_SECOND_US);
  simulation_pause_node (simulation, leader, cut_s);
  simulation_run (simulation, cut_s);
  g_assert_false (simulation_has_logged (simulation, "reason=silent_since_failover"));
  simulation_run (simulation, 30);
}

/* As before, with so many machines and so small a share of a processor that only a part of them has
   been probed when the first probes have remained without an answer. */
static void
test_leader_hears_no_worker_of_many (Simulation *simulation)
{
  const double cut_s = 12;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].settings->core_share = 0.05;
  simulation->cloud->max_machines = 200;
  for (guint i = 0; i < 200; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 10);
  start_array (simulation, 1, 16, 600);
  guint leader = simulation_leader (simulation)->index;
  ControllerNode *next = &simulation->nodes[(leader + 1) % SIMULATION_NODES];
  simulation_stop_node (simulation, (leader + 2) % SIMULATION_NODES);
  next->workers_cut_until_us = simulation->clock->now_us + (gint64)(cut_s * MH_SECOND_US);
  simulation_pause_node (simulation, leader, cut_s);
  simulation_run (simulation, cut_s);
  g_assert_false (simulation_has_logged (simulation, "reason=silent_since_failover"));
}

/* The opposite: a machine that has gone with the former leader is released as soon as before, since
   the new leader hears the others. */
static void
test_machine_gone_since_failover (Simulation *simulation)
{
  for (guint i = 0; i < 6; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 10);
  start_service (simulation, 1, 12);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  WAIT (simulation, 6, is_removed, machine);
  g_assert_true (simulation_has_logged (simulation, "reason=silent_since_failover"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/partitions/heartbeats-lost", 52, test_heartbeats_lost);
  simulation_test_add ("/partitions/heartbeats-to-leader-lost", 53, test_heartbeats_to_leader_lost);
  simulation_test_add ("/partitions/more-work-than-capacity", 60, test_more_work_than_capacity);
  simulation_test_add ("/partitions/zone-partitioned-with-leader", 62,
                       test_zone_partitioned_with_leader);
  simulation_test_add ("/partitions/failover-between-task-ends", 78,
                       test_failover_between_task_ends);
  simulation_test_add ("/partitions/single-zone-array-loses-machines", 80,
                       test_single_zone_array_loses_machines);
  simulation_test_add ("/partitions/responses-of-new-leader-lost", 83,
                       test_responses_of_new_leader_lost);
  simulation_test_add ("/partitions/leader-hears-no-worker", 96, test_leader_hears_no_worker);
  simulation_test_add ("/partitions/leader-hears-no-worker-of-many", 97,
                       test_leader_hears_no_worker_of_many);
  simulation_test_add ("/partitions/machine-gone-since-failover", 98,
                       test_machine_gone_since_failover);
  return g_test_run ();
}
