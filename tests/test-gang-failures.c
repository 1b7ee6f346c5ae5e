/* Failures of the machines, tasks, messages and leaders of gangs, on a fake clock. */
#include "steps.h"

#include <string.h>

/* One machine of a gang fails, hangs, is partitioned, sends no heartbeats or receives no responses.
   If the next attempt began before every task of the old one is proven gone, both would run at the
   same time. */
static void
test_machine_faults (void)
{
  for (guint fault = 0; fault < 5; fault++)
    {
      Simulation *simulation = simulation_new (6 + fault);
      add_small_machines (simulation, 6);
      MhJobSpec *spec = gang_spec_new (1, 6, 2);
      require_small_machines (spec);
      User *user = simulation_submit (simulation, spec, 25);
      WAIT (simulation, 60, is_gang_running, user);
      Worker *worker = worker_with_task (simulation, "j-000001/0");
      if (fault == 0)
        {
          machine_fail (worker->machine);
        }
      else if (fault == 1)
        worker->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
      else if (fault == 2)
        worker->cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else if (fault == 3)
        worker->heartbeats_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else
        worker->responses_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      WAIT (simulation, 200, is_reported_done, user);
      simulation_check_and_free (simulation);
    }
}

/* The workers of a gang give up before the last image is fetched, and report its tasks as
   incomplete. If the leader did not handle this as the end of the attempt, the gang would never
   start again. */
static void
test_incomplete (Simulation *simulation)
{
  /* The limit of the workers. The controllers expect them to wait longer. */
  simulation->settings->gang_wait_us = 4 * MH_SECOND_US;
  User *user = submit_gang_on_small_machines (simulation, 2, 5);
  for (guint i = 0; i < 400 && worker_with_task (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Machine *late_machine = worker_with_task (simulation, "j-000001/3")->machine;
  for (guint i = 0; i < late_machine->tasks->len; i++)
    g_array_index (late_machine->tasks, MachineTask, i).ready_us += 8 * MH_SECOND_US;
  WAIT (simulation, 60, is_reported_done, user);
  g_assert_true (simulation_has_logged (simulation, "incomplete_in_time"));
}

/* A gang fails on every machine. Without back-off its attempts would take all writes and machines
   from other jobs. It must be possible to cancel the gang between two attempts. */
static void
test_fails_everywhere (Simulation *simulation)
{
  User *user = submit_gang_on_small_machines (simulation, 4, 20);
  User *other = start_service (simulation, 2, 1);
  WAIT (simulation, 60, is_accepted, user);
  guint starts_before = simulation->rules->task_starts;
  for (guint second = 0; second < 60; second++)
    {
      for (guint i = 0; i < simulation->cloud->machines->len; i++)
        {
          const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
          for (guint k = 0; k < machine->tasks->len; k++)
            {
              MachineTask *task = &g_array_index (machine->tasks, MachineTask, k);
              if (task->index != 1 || task->phase != MH_TASK_PHASE_RUNNING
                  || strcmp (task->job_id, "j-000001") != 0)
                continue;
              task->phase = MH_TASK_PHASE_ENDED;
              task->end_cause = "error";
            }
        }
      simulation_run (simulation, 1);
    }
  g_assert_true (simulation_has_logged (simulation, "next_start_s="));
  g_assert_cmpuint (simulation->rules->task_starts - starts_before, <=, 32); /* eight attempts */
  g_assert_cmpuint (simulation_running_tasks (simulation, other->job->spec->id), ==, 1);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
  simulation_run (simulation, 42);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* Late copies of the direct starts of an ended attempt arrive while the next attempt runs. If a
   worker with room for them executed them, two attempts would run at the same time. */
static void
test_late_start_of_ended_attempt (Simulation *simulation)
{
  simulation->network->keep_requests = true;
  simulation->cloud->max_machines = 0;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  MhJobSpec *spec = gang_spec_new (1, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  User *user = simulation_submit (simulation, spec, 25);
  WAIT (simulation, 60, is_gang_running, user);
  machine_fail (worker_with_task (simulation, "j-000001/0")->machine);
  simulation_run (simulation, 1);
  for (guint i = 0; i < 600 && user->job->running_attempt < 2; i++)
    simulation_run (simulation, 0.1);
  g_assert_cmpuint (user->job->running_attempt, ==, 2);
  simulation->network->keep_requests = false;
  g_assert_cmpuint (simulation->network->kept_requests->len, >, 0);
  for (guint i = simulation->network->kept_requests->len; i-- > 0;)
    if (!outgoing_calls_kept_is_command (simulation, i))
      g_ptr_array_remove_index (simulation->network->kept_requests, i);
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 2);
  g_assert_cmpuint (user->job->running_attempt, ==, 2);
  WAIT (simulation, 60, is_reported_done, user);
}

/* A heartbeat that was sent during an ended attempt arrives while the next attempt runs, also at a
   leader that was just elected. If the leader relied on it, it would end the new attempt, or
   restore the old one. */
static void
test_late_heartbeat_of_ended_attempt (void)
{
  for (guint new_leader = 0; new_leader < 2; new_leader++)
    {
      Simulation *simulation = simulation_new (17 + new_leader);
      User *user = submit_gang_on_small_machines (simulation, 5, 25);
      WAIT (simulation, 60, is_gang_running, user);
      g_autoptr (MhValue) late_heartbeat
          = worker_protocol_heartbeat (worker_with_task (simulation, "j-000001/3")->machine);
      machine_fail (worker_with_task (simulation, "j-000001/0")->machine);
      for (guint i = 0; i < 600 && user->job->running_attempt != 2; i++)
        simulation_run (simulation, 0.1);
      g_assert_cmpuint (user->job->running_attempt, ==, 2);
      if (new_leader)
        {
          simulation_stop_node (simulation, simulation_leader (simulation)->index);
          WAIT (simulation, 10, has_leader, NULL);
        }
      for (guint i = 0; i < SIMULATION_NODES; i++)
        if (simulation->nodes[i].controller)
          workers_deliver_late_heartbeat (simulation, &simulation->nodes[i], late_heartbeat);
      simulation_run (simulation, 3);
      g_assert_cmpuint (user->job->running_attempt, ==, 2);
      WAIT (simulation, 60, is_reported_done, user);
      simulation_check_and_free (simulation);
    }
}

/* A task fails because its machine is faulty. Without a new attempt on other machines the gang
   would never be done. */
static void
test_task_fails (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  MhJobSpec *spec = gang_spec_new (1, 4, 2);
  require_small_machines (spec);
  User *user = simulation_submit (simulation, spec, 15);
  WAIT (simulation, 60, is_gang_running, user);
  worker_with_task (simulation, "j-000001/2")->machine->fails_all_tasks = true;
  WAIT (simulation, 300, is_reported_done, user);
}

/* The leader is stopped at each step of a gang's life cycle. If the new leader did not take over
   the attempt, it would start a second one beside it, or none. */
static void
test_failover (void)
{
  for (guint step = 0; step < 24; step++)
    {
      Simulation *simulation = simulation_new (20 + step);
      User *user = simulation_submit (simulation, gang_spec_new (1, 5, 2), 8);
      WAIT (simulation, 30, is_accepted, user);
      simulation_run (simulation, 0.6 * step);
      ControllerNode *leader = simulation_leader (simulation);
      guint stopped = leader ? leader->index : 0;
      simulation_stop_node (simulation, stopped);
      simulation_run (simulation, step % 2 ? 0.2 : 3);
      simulation_start_node (simulation, stopped);
      WAIT (simulation, 120, is_reported_done, user);
      simulation_check_and_free (simulation);
    }
}

/* One machine does not fetch the image in time. The leader must stop the gang before its workers
   give up, and place it on other machines; otherwise its tasks would wait for that image again. */
static void
test_late_image (Simulation *simulation)
{
  User *user = simulation_submit (simulation, gang_spec_new (1, 4, 4), 5);
  WAIT (simulation, 30, is_accepted, user);
  for (guint i = 0; i < 400 && worker_with_task (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Worker *worker = worker_with_task (simulation, "j-000001/3");
  MachineTask *task
      = &g_array_index (worker->machine->tasks, MachineTask, worker->machine->tasks->len - 1);
  task->ready_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 150, is_reported_done, user);
  g_assert_true (simulation_has_logged (simulation, "gang stopped, not complete in time"));
  g_assert_false (simulation_has_logged (simulation, "incomplete_in_time"));
}

/* A gang is done, and one of its machines fails before its heartbeat shows that. If the heartbeats
   of the other machines were not enough, the whole gang would run again. */
static void
test_done_together (Simulation *simulation)
{
  add_small_machines (simulation, 3);
  MhJobSpec *spec = gang_spec_new (1, 6, 2);
  require_small_machines (spec);
  User *user = simulation_submit (simulation, spec, 8);
  WAIT (simulation, 60, is_gang_running, user);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  Machine *machine = worker->machine;
  simulation_run (simulation, 5);
  worker->heartbeats_lost_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  WAIT (simulation, 30, all_tasks_done, user);
  machine_fail (machine);
  WAIT (simulation, 20, is_reported_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gang-scheduling/machine-faults", test_machine_faults);
  simulation_test_add ("/gang-scheduling/incomplete", 14, test_incomplete);
  simulation_test_add ("/gang-scheduling/fails-everywhere", 15, test_fails_everywhere);
  simulation_test_add ("/gang-scheduling/late-start-of-ended-attempt", 16,
                       test_late_start_of_ended_attempt);
  g_test_add_func ("/gang-scheduling/late-heartbeat-of-ended-attempt",
                   test_late_heartbeat_of_ended_attempt);
  simulation_test_add ("/gang-scheduling/task-fails", 12, test_task_fails);
  g_test_add_func ("/gang-scheduling/failover", test_failover);
  simulation_test_add ("/gang-scheduling/late-image", 81, test_late_image);
  simulation_test_add ("/gang-scheduling/done-together", 13, test_done_together);
  return g_test_run ();
}
