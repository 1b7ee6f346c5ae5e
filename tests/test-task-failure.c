/* Jobs that fail on every machine, beside jobs that do not. No machine may be released for their
   failures, other jobs must make progress, and the retries must become rare. */
#include "steps.h"

#include <string.h>

static User *
submit_failing_array (Simulation *simulation, guint number, guint tasks)
{
  User *user = simulation_submit (simulation, job_spec_new (number, MH_SHAPE_ARRAY, tasks, 1), 30);
  user->job->always_fails = true;
  return user;
}

/* Runs the simulation for that time. Returns how many tasks, of all jobs, workers started in it. */
static guint
count_starts_within (Simulation *simulation, double seconds)
{
  guint before = simulation->rules->task_starts;
  simulation_run (simulation, seconds);
  return simulation->rules->task_starts - before;
}

/* The failures count against the jobs. When they counted against the machine, it was released after
   two failing jobs in a row, or after four failed tasks of one job. */
static void
test_failing_jobs_release_no_machine (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *first = submit_failing_array (simulation, 2, 4),
       *second = submit_failing_array (simulation, 3, 4);
  User *good = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 4, 1), 5);
  WAIT (simulation, 120, is_reported_done, good);
  simulation_run (simulation, 60);
  g_assert_false (simulation_has_logged (simulation, "fails_every_task"));
  g_assert_true (simulation_has_logged (simulation, "fails wherever it starts job=j-000002"));
  g_assert_true (simulation_has_logged (simulation, "fails wherever it starts job=j-000003"));
  user_cancel (first);
  user_cancel (second);
  WAIT (simulation, 10, is_reported_cancelled, first);
  WAIT (simulation, 10, is_reported_cancelled, second);
}

/* Without the back-off, all tasks of a large failing array were started in each placement pass, and
   machines were created for them. */
static void
test_retries_back_off (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *user = submit_failing_array (simulation, 2, 200);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 40);
  guint64 machines_created = simulation->cloud->machines_created;
  /* One task at a time is retried, after waits of 16 s and 32 s, which the jitter shortens by up to
     a quarter. */
  g_assert_cmpuint (count_starts_within (simulation, 60), <=, 4);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, machines_created);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
}

/* A new leader continues the back-off. Without its level in the records, a new leader started all
   tasks of all failing jobs. */
static void
test_back_off_survives_failover (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  User *user = submit_failing_array (simulation, 2, 100);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 50);
  simulation_restart_node (simulation, simulation_leader (simulation)->index, CONTROLLER_CURRENT,
                           3);
  g_assert_cmpuint (count_starts_within (simulation, 20), <=, 2);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
}

/* The cause of the failures, for example a missing file, is removed. The first task that completes
   must end the back-off of the whole job; otherwise its tasks would run one at a time. */
static void
test_back_off_ends_with_success (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *user = submit_failing_array (simulation, 2, 8);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 20);
  user->job->always_fails = false;
  WAIT (simulation, 180, is_reported_done, user);
  g_assert_true (simulation_has_logged (simulation, "job runs after back-off"));
}

/* A faulty machine is released although another job fails everywhere: the array whose tasks fail on
   this machine runs on others, so that the failures count against the machine. */
static void
test_faulty_machine_beside_failing_job (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  submit_failing_array (simulation, 2, 2);
  User *array = start_array (simulation, 3, 8, 20);
  simulation_run (simulation, 6);
  Machine *machine = worker_with_task (simulation, "j-000003/0")->machine;
  machine->fails_all_tasks = true;
  WAIT (simulation, 15, is_removed, machine);
  WAIT (simulation, 120, is_reported_done, array);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/task-failure/failing-jobs-release-no-machine", 41,
                       test_failing_jobs_release_no_machine);
  simulation_test_add ("/task-failure/retries-back-off", 42, test_retries_back_off);
  simulation_test_add ("/task-failure/back-off-survives-failover", 43,
                       test_back_off_survives_failover);
  simulation_test_add ("/task-failure/back-off-ends-with-success", 44,
                       test_back_off_ends_with_success);
  simulation_test_add ("/task-failure/faulty-machine-beside-failing-job", 45,
                       test_faulty_machine_beside_failing_job);
  return g_test_run ();
}
