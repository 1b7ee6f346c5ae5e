/* Machines and zones that are cut off in one direction or both, while leaders change.
   docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* The lease of a machine whose heartbeats are lost runs out, again and again, and with it whatever
   is started there: it takes no work and is given back, and what ran there runs elsewhere; a whole
   zone of them would stop the rest. */
static void
test_reports_lost (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  Worker *silent = worker_with_task (simulation, "j-000001/0");
  silent->heartbeats_lost_until_us = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_run (simulation,
                  9); /* its report is overdue: it gets nothing new, whatever room it has */
  guint before = silent->machine->tasks->len;
  User *next = simulation_submit (simulation, job_spec_new (5, MH_SHAPE_SERVICE, 2, 0.5), 0);
  WAIT (simulation, 20, all_tasks_running, next);
  g_assert_cmpuint (silent->machine->tasks->len, <=, before);
  WAIT (simulation, 40, is_removed, silent->machine);
  WAIT (simulation, 10, all_tasks_running, user);
  User *array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (simulation, 60, is_reported_done, array);
  /* And one that is cancelled meanwhile is gone in time. */
  User *third = start_service (simulation, 3, 2);
  worker_with_task (simulation, "j-000003/0")->heartbeats_lost_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_run (simulation, 2);
  user_cancel (third);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 0);
}

/* No heartbeat comes to this leader alone, though the workers answer its questions: their leases
   would run out if no other led. */
static void
test_reports_to_the_leader_lost (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  start_service (simulation, 2, 4);
  simulation_run (simulation, 10);
  ControllerNode *old = simulation_leader (simulation);
  old->heartbeats_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 20);
  g_assert_true (simulation_leader (simulation) != old);
  WAIT (simulation, 30, all_tasks_running, user);
}

/* More work than room, urgent and not, over links on which a part of everything comes late: urgent
   work would come last, or work would wait beside free room. */
static void
test_more_work_than_room (Simulation *simulation)
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

/* The workers of a zone can reach only the leader, which is cut off with them for longer than their
   lease: what runs there would run twice if it ran elsewhere before the machines are gone. */
static void
test_zone_cut_with_its_leader (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  User *array = start_array (simulation, 2, 8, 20);
  simulation_run (simulation, 10);
  ControllerNode *old = simulation_leader (simulation);
  gint64 until = simulation->clock->now_us + 40 * MH_SECOND_US;
  old->store_cut_until_us = old->peers_cut_until_us = until;
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = worker_by_index (simulation, i);
      bool inside = strcmp (worker->machine->zone, "a") == 0;
      worker->target_node = inside ? old->index : (old->index + 1) % SIMULATION_NODES;
      worker->sole_node = inside ? (gint)old->index : -1;
      worker->sole_node_until_us = inside ? until : 0;
    }
  WAIT (simulation, 200, is_reported_done, array);
  WAIT (simulation, 60, all_tasks_running, user);
}

/* Jobs of two or three tasks that end far apart, each with a change of leader between: tasks that
   have ended would run again. */
static void
test_ends_far_apart (Simulation *simulation)
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
  g_assert_cmpuint (simulation->rules->task_starts, ==, 15); /* none ran again */
}

/* An array bound to one zone by its first tasks loses machines there: its other tasks would be
   placed, or machines be rented for it, in the emptier one. */
static void
test_one_zone_loses_machines (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, 12, 1);
  spec->single_zone = true;
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, 300);
  WAIT (simulation, 60, all_tasks_running, user);
  Worker *kept = worker_with_task (simulation, "j-000002/0");
  guint failed = 0;
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Machine *machine = worker_by_index (simulation, i)->machine;
      if (machine == kept->machine || machine->tasks->len == 0)
        continue;
      machine_fail (machine);
      failed++;
    }
  g_assert_cmpuint (failed, >, 0);
  guint known = simulation->cloud->machines->len;
  WAIT (simulation, 60, all_tasks_running, user);
  for (guint i = known; i < simulation->cloud->machines->len; i++)
    g_assert_cmpstr (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->zone, ==,
                     kept->machine->zone);
  g_assert_true (
      strcmp (kept->machine->zone, worker_with_task (simulation, "j-000002/11")->machine->zone)
      == 0);
}

/* A leader ends while machines with long tasks don't hear its successor, or can't be reached: what
   they ran would run elsewhere before they are given back, or never. */
static void
test_answers_of_a_new_leader_lost (Simulation *simulation)
{
  start_array (simulation, 2, 12, 90);
  simulation_run (simulation, 10);
  worker_with_task (simulation, "j-000002/0")->answers_lost_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  Worker *cut = worker_with_task (simulation, "j-000002/11");
  cut->cut_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  wait_until_all_settled (simulation, 300);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/partitions/reports-lost", 52, test_reports_lost);
  simulation_test_add ("/partitions/reports-to-the-leader-lost", 53,
                       test_reports_to_the_leader_lost);
  simulation_test_add ("/partitions/more-work-than-room", 60, test_more_work_than_room);
  simulation_test_add ("/partitions/zone-cut-with-its-leader", 62, test_zone_cut_with_its_leader);
  simulation_test_add ("/partitions/ends-far-apart", 78, test_ends_far_apart);
  simulation_test_add ("/partitions/one-zone-loses-machines", 80, test_one_zone_loses_machines);
  simulation_test_add ("/partitions/answers-of-a-new-leader-lost", 83,
                       test_answers_of_a_new_leader_lost);
  return g_test_run ();
}
