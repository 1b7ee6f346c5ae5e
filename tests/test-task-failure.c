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

/* ---- a back-off that ends with tasks that run ---- */

/* How long a job may be left waiting while there is room, by the users' rules. */
#define MAX_WAIT_S 90

/* Submits a job when the only machine, which has room for all its tasks, fails every task. The
   machine is well again when the job has been backing off for some time. */
static User *
submit_on_faulty_machine (Simulation *simulation, MhShape shape, double run_s)
{
  simulation->cloud->max_machines = 0;
  Machine *machine = cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  machine->fails_all_tasks = true;
  MhJobSpec *spec = job_spec_new (2, shape, 8, 1);
  spec->estimated_run_us = (gint64)run_s * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, run_s);
  simulation_run (simulation, 30);
  g_assert_true (simulation_has_logged (simulation, "job backs off"));
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), <=, 1);
  machine->fails_all_tasks = false;
  return user;
}

/* As WAIT for all_tasks_running, and checks each second that no job is kept waiting. */
static void
wait_until_all_run (Simulation *simulation, User *user)
{
  for (guint second = 0; second < MAX_WAIT_S && !all_tasks_running (simulation, user); second++)
    {
      simulation_run (simulation, 1);
      rule_checks_waiting_jobs (simulation->rules);
    }
  g_assert_true (all_tasks_running (simulation, user));
}

/* A service that backed off got one replica and never the others: its back-off ended only with a
   task that is done, which a replica never is. */
static void
test_service_recovers (Simulation *simulation)
{
  User *user = submit_on_faulty_machine (simulation, MH_SHAPE_SERVICE, 0);
  wait_until_all_run (simulation, user);
}

/* The tasks of an array waited for the first one, however long that runs. */
static void
test_array_of_long_tasks_recovers (Simulation *simulation)
{
  User *user = submit_on_faulty_machine (simulation, MH_SHAPE_ARRAY, 600);
  wait_until_all_run (simulation, user);
}

/* A new leader reads the level of a back-off, and tasks that run well end it there too. */
static void
test_service_recovers_after_failover (Simulation *simulation)
{
  User *user = submit_on_faulty_machine (simulation, MH_SHAPE_SERVICE, 0);
  while (simulation_running_tasks (simulation, "j-000002") == 0)
    simulation_run (simulation, 0.1);
  simulation_restart_node (simulation, simulation_leader (simulation)->index, CONTROLLER_CURRENT,
                           3);
  wait_until_all_run (simulation, user);
}

static bool
is_back_off_recorded (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return mh_value_get (key_value_store_get_value (simulation->store, "j/j-000002"), "e") != NULL;
}

static bool
is_back_off_gone_from_record (Simulation *simulation, gpointer unused)
{
  return !is_back_off_recorded (simulation, unused);
}

/* The level stays in the record only as long as the job backs off: a later leader would hold back
   replicas of a service that has long been running. */
static void
test_recovery_is_recorded (Simulation *simulation)
{
  User *user = submit_on_faulty_machine (simulation, MH_SHAPE_SERVICE, 0);
  g_assert_true (is_back_off_recorded (simulation, NULL));
  wait_until_all_run (simulation, user);
  WAIT (simulation, MAX_WAIT_S, is_back_off_gone_from_record, NULL);
}

/* Replicas on one machine run well while those on another fail: the service is complete without the
   faulty machine. */
static void
test_service_beside_faulty_machine (Simulation *simulation)
{
  simulation->cloud->max_machines = 0;
  Machine *faulty = cloud_add_machine (simulation->cloud, "large", "a", false);
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  faulty->fails_all_tasks = true;
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 8, 1), 0);
  wait_until_all_run (simulation, user);
}

/* A gang that has backed off and runs begins anew after a later failure. */
static void
test_gang_recovers (Simulation *simulation)
{
  simulation->cloud->max_machines = 0;
  Machine *machine = cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  machine->fails_all_tasks = true;
  User *user = simulation_submit (simulation, gang_spec_new (2, 4, 1), 300);
  simulation_run (simulation, 40);
  g_assert_true (is_back_off_recorded (simulation, NULL));
  machine->fails_all_tasks = false;
  WAIT (simulation, MAX_WAIT_S, is_gang_running, user);
  WAIT (simulation, MAX_WAIT_S, is_back_off_gone_from_record, NULL);
}

/* A job whose tasks run for a while before they fail goes on waiting longer and longer: running for
   a few seconds does not end its back-off. */
static void
test_late_failures_back_off (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *user = submit_failing_array (simulation, 2, 100);
  user->job->fails_after_us = 12 * MH_SECOND_US;
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 120);
  g_assert_true (simulation_has_logged (simulation, "fails wherever it starts job=j-000002"));
  g_assert_cmpuint (count_starts_within (simulation, 120), <=, 16);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
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
  simulation_test_add ("/task-failure/service-recovers", 46, test_service_recovers);
  simulation_test_add ("/task-failure/array-of-long-tasks-recovers", 47,
                       test_array_of_long_tasks_recovers);
  simulation_test_add ("/task-failure/service-recovers-after-failover", 48,
                       test_service_recovers_after_failover);
  simulation_test_add ("/task-failure/recovery-is-recorded", 49, test_recovery_is_recorded);
  simulation_test_add ("/task-failure/service-beside-faulty-machine", 51,
                       test_service_beside_faulty_machine);
  simulation_test_add ("/task-failure/gang-recovers", 52, test_gang_recovers);
  simulation_test_add ("/task-failure/late-failures-back-off", 50, test_late_failures_back_off);
  return g_test_run ();
}
