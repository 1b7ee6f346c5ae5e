/* Gangs that are stopped for urgent work, by their users or because of a preemption notice, on a
   fake clock. */
#include "steps.h"

#include <string.h>

/* A gang is stopped while one of its machines cannot receive the stop. Its tasks then cannot save
   together, and work since the last checkpoint is lost. The log must show why. */
static void
test_stop_with_unreachable_machine (Simulation *simulation)
{
  User *user = submit_gang_on_small_machines (simulation, 2, 40);
  WAIT (simulation, 60, is_gang_running, user);
  Worker *unreachable_worker = worker_with_task (simulation, "j-000001/0");
  unreachable_worker->cut_until_us = simulation->clock->now_us + 7 * MH_SECOND_US;
  simulation_run (simulation, 5);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  simulation_run (simulation, 1);
  g_assert_true (
      simulation_has_logged (simulation, "cannot send stop to a gang's machine directly"));
  WAIT (simulation, 60, all_tasks_running, urgent);
  user_cancel (urgent);
  simulation->cloud->max_machines = 12;
  WAIT (simulation, 120, is_reported_done, user);
}

/* A gang is cancelled at each step of its life cycle. If a task got no stop, or a start in flight
   were executed after the cancellation, tasks would run beyond the time limit for cancellations. */
static void
test_cancel (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Simulation *simulation = simulation_new (60 + step);
      User *user = simulation_submit (simulation, gang_spec_new (1, 5, 2), 60);
      WAIT (simulation, 30, is_accepted, user);
      simulation_run (simulation, 0.8 * step);
      user_cancel (user);
      WAIT (simulation, 10, is_reported_cancelled, user);
      simulation_run (simulation, 50);
      g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
      simulation_check_and_free (simulation);
    }
}

/* Urgent work preempts a running gang. All its tasks must be stopped together, so that they save a
   common checkpoint; otherwise the gang would lose its progress instead of resuming from there. */
static void
test_orderly_stop (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  MhJobSpec *spec = gang_spec_new (1, 4, 4);
  spec->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *user = simulation_submit (simulation, spec, 20);
  WAIT (simulation, 60, is_gang_running, user);
  simulation_run (simulation, 6);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (simulation, 20, all_tasks_running, urgent);
  g_assert_cmpuint (user->job->orderly_stops, ==, 1);
  g_assert_cmpint (user->job->saved_progress_us, >, 4 * MH_SECOND_US);
  user_cancel (urgent);
  WAIT (simulation, 90, is_reported_done, user);
}

/* Urgent work preempts tasks of an array rather than of a gang if that makes enough room. Stopping
   one task of a gang stops all of them. */
static void
test_order_of_victims (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  MhJobSpec *array_spec = job_spec_new (2, MH_SHAPE_ARRAY, 8, 1);
  array_spec->estimated_run_us = 300 * MH_SECOND_US;
  array_spec->spot = false;
  array_spec->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *array = simulation_submit (simulation, array_spec, 90);
  WAIT (simulation, 60, all_tasks_running, array);
  /* Each task of the array has then run for longer than the gang. */
  simulation_run (simulation, 10);
  MhJobSpec *spec = gang_spec_new (1, 4, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *user = simulation_submit (simulation, spec, 20);
  WAIT (simulation, 20, is_gang_running, user); /* now the machine is full */
  User *urgent = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 2), 0);
  WAIT (simulation, 20, all_tasks_running, urgent);
  g_assert_cmpuint (user->job->orderly_stops, ==, 0);
  g_assert_cmpuint (user->job->running_attempt, ==, 1);
  WAIT (simulation, 60, is_reported_done, user);
}

/* A gang runs beyond its team's guarantee, and work of another team within that team's guarantee
   needs room. Preempting one task would stop the whole gang. The gang must run to its end instead,
   and the other work starts after that. */
static void
test_not_stopped_for_a_guarantee_alone (Simulation *simulation)
{
  simulation->cloud->max_machines = 0;
  add_small_machines (simulation, 3);
  MhJobSpec *spec = gang_spec_new (1, 6, 2); /* 12 cpus, of which 8 are guaranteed */
  require_small_machines (spec);
  User *user = simulation_submit (simulation, spec, 25);
  WAIT (simulation, 60, is_gang_running, user);
  User *other = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 2), 3);
  simulation_run (simulation, 15);
  g_assert_cmpuint (user->job->running_attempt, ==, 1);
  g_assert_cmpuint (user->job->orderly_stops, ==, 0);
  WAIT (simulation, 30, is_reported_done, user);
  WAIT (simulation, 30, is_reported_done, other);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 8);
}

/* One machine of a gang gets a preemption notice. If the notice leaves enough time, the gang must
   be stopped to save a common checkpoint, and resumes elsewhere; otherwise it would lose its
   progress. If there is too little time, it keeps running, and loses the work since its last
   checkpoint. */
static void
test_preemption_notice (void)
{
  for (guint enough_time = 0; enough_time < 2; enough_time++)
    {
      Simulation *simulation = simulation_new (83 + enough_time);
      add_small_machines (simulation, 3);
      MhJobSpec *spec = gang_spec_new (1, 4, 2);
      require_small_machines (spec);
      User *user = simulation_submit (simulation, spec, 30);
      WAIT (simulation, 60, is_gang_running, user);
      simulation_run (simulation, 8);
      Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
      machine->preempted_at_us = simulation->clock->now_us + (enough_time ? 12 : 2) * MH_SECOND_US;
      WAIT (simulation, 20, is_removed, machine);
      g_assert_cmpuint (user->job->orderly_stops, ==, enough_time);
      WAIT (simulation, 120, is_reported_done, user);
      simulation_check_and_free (simulation);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/gang-scheduling/stop-with-unreachable-machine", 19,
                       test_stop_with_unreachable_machine);
  g_test_add_func ("/gang-scheduling/cancel", test_cancel);
  simulation_test_add ("/gang-scheduling/orderly-stop", 80, test_orderly_stop);
  simulation_test_add ("/gang-scheduling/order-of-victims", 85, test_order_of_victims);
  simulation_test_add ("/gang-scheduling/not-stopped-for-a-guarantee-alone", 87,
                       test_not_stopped_for_a_guarantee_alone);
  g_test_add_func ("/gang-scheduling/preemption-notice", test_preemption_notice);
  return g_test_run ();
}
