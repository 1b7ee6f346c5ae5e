/* Jobs that fail on every machine beside jobs that do not: no machine is blamed, other work goes
   on, and tries become rare. */
#include "steps.h"

#include <string.h>

static User *
failing_array (Simulation *simulation, guint number, guint tasks)
{
  User *user = simulation_submit (simulation, job_spec_new (number, MH_SHAPE_ARRAY, tasks, 1), 30);
  user->job->always_fails = true;
  return user;
}

/* How often the tasks of a job have been started, by the attempts that its machines have seen. */
static guint
starts_within (Simulation *simulation, double seconds)
{
  guint before = simulation->rules->task_starts;
  simulation_run (simulation, seconds);
  return simulation->rules->task_starts - before;
}

/* Two such jobs in a row on one machine, or four tasks of one, once had the machine given back. */
static void
test_no_machine_is_blamed (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *first = failing_array (simulation, 2, 4), *second = failing_array (simulation, 3, 4);
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

/* All tasks of a large array once were tried at each turn, and machines rented for them. */
static void
test_tries_are_few (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *user = failing_array (simulation, 2, 200);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 40);
  guint64 rented = simulation->cloud->machines_created;
  /* At most one task after 16 and 32 s, and half of that less by chance. */
  g_assert_cmpuint (starts_within (simulation, 60), <=, 4);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, rented);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
}

/* A new leader goes on with the back-off: it once began anew with all tasks of all such jobs. */
static void
test_back_off_survives_the_leader (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  User *user = failing_array (simulation, 2, 100);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 50);
  simulation_restart_node (simulation, simulation_leader (simulation)->index, CONTROLLER_CURRENT,
                           3);
  g_assert_cmpuint (starts_within (simulation, 20), <=, 2);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
}

/* What made it fail is gone, for example a missing file: with a back-off that went on for all its
   tasks it would run them one by one. */
static void
test_runs_after_all (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  User *user = failing_array (simulation, 2, 8);
  WAIT (simulation, 60, is_accepted, user);
  simulation_run (simulation, 20);
  user->job->always_fails = false;
  WAIT (simulation, 180, is_reported_done, user);
  g_assert_true (simulation_has_logged (simulation, "job runs after back-off"));
}

/* A faulty machine is still told from such jobs by what runs elsewhere. */
static void
test_faulty_machine_beside_failing_job (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  failing_array (simulation, 2, 2);
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
  simulation_test_add ("/task-failure/no-machine-is-blamed", 41, test_no_machine_is_blamed);
  simulation_test_add ("/task-failure/tries-are-few", 42, test_tries_are_few);
  simulation_test_add ("/task-failure/back-off-survives-the-leader", 43,
                       test_back_off_survives_the_leader);
  simulation_test_add ("/task-failure/runs-after-all", 44, test_runs_after_all);
  simulation_test_add ("/task-failure/faulty-machine-beside-failing-job", 45,
                       test_faulty_machine_beside_failing_job);
  return g_test_run ();
}
