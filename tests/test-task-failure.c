/* Jobs that fail on every machine beside jobs that do not: no machine is blamed, other work goes
   on, and tries become rare. */
#include "steps.h"

#include <string.h>

static SimUser *
failing_array (Sim *sim, guint number, guint tasks)
{
  SimUser *user = sim_submit (sim, sim_spec (number, MH_SHAPE_ARRAY, tasks, 1), 30);
  user->job->fails = true;
  return user;
}

/* How often the tasks of a job have been started, by the attempts that its machines have seen. */
static guint
starts_within (Sim *sim, double seconds)
{
  guint before = sim->world->starts;
  sim_run (sim, seconds);
  return sim->world->starts - before;
}

/* Two such jobs in a row on one machine, or four tasks of one, once had the machine given back. */
static void
test_no_machine_is_blamed (void)
{
  Sim *sim = sim_new (41);
  running_service (sim, 1, 1);
  SimUser *first = failing_array (sim, 2, 4), *second = failing_array (sim, 3, 4);
  SimUser *good = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 4, 1), 5);
  WAIT (sim, 120, told_done, good);
  sim_run (sim, 60);
  g_assert_false (sim_logged (sim, "fails every task"));
  g_assert_true (sim_logged (sim, "fails wherever it starts job=j-000002"));
  g_assert_true (sim_logged (sim, "fails wherever it starts job=j-000003"));
  sim_cancel (first);
  sim_cancel (second);
  WAIT (sim, 10, told_cancelled, first);
  WAIT (sim, 10, told_cancelled, second);
  finish (sim);
}

/* All tasks of a large array once were tried at each turn, and machines rented for them. */
static void
test_tries_are_few (void)
{
  Sim *sim = sim_new (42);
  running_service (sim, 1, 1);
  SimUser *user = failing_array (sim, 2, 200);
  WAIT (sim, 60, accepted, user);
  sim_run (sim, 40);
  guint64 rented = sim->world->n_rented;
  /* At most one task after 16 and 32 s, and half of that less by chance. */
  g_assert_cmpuint (starts_within (sim, 60), <=, 4);
  g_assert_cmpuint (sim->world->n_rented, ==, rented);
  sim_cancel (user);
  WAIT (sim, 10, told_cancelled, user);
  finish (sim);
}

/* A new leader goes on with the back-off: it once began anew with all tasks of all such jobs. */
static void
test_back_off_survives_the_leader (void)
{
  Sim *sim = sim_new (43);
  add_small_machines (sim, 4);
  SimUser *user = failing_array (sim, 2, 100);
  WAIT (sim, 60, accepted, user);
  sim_run (sim, 50);
  sim_restart_node (sim, sim_leader (sim)->index, CONTROLLER_CURRENT, 3);
  g_assert_cmpuint (starts_within (sim, 20), <=, 2);
  sim_cancel (user);
  WAIT (sim, 20, told_cancelled, user);
  finish (sim);
}

/* What made it fail is gone, for example a missing file: it runs, and all its tasks at once. */
static void
test_runs_after_all (void)
{
  Sim *sim = sim_new (44);
  running_service (sim, 1, 1);
  SimUser *user = failing_array (sim, 2, 8);
  WAIT (sim, 60, accepted, user);
  sim_run (sim, 20);
  user->job->fails = false;
  WAIT (sim, 180, told_done, user);
  g_assert_true (sim_logged (sim, "job runs after back-off"));
  finish (sim);
}

/* A faulty machine is still told from such jobs by what runs elsewhere. */
static void
test_faulty_machine_beside_failing_job (void)
{
  Sim *sim = sim_new (45);
  add_small_machines (sim, 4);
  failing_array (sim, 2, 2);
  SimUser *array = running_array (sim, 3, 8, 20);
  sim_run (sim, 6);
  WorldMachine *machine = worker_of (sim, "j-000003/0")->machine;
  machine->sick = true;
  WAIT (sim, 15, is_gone, machine);
  WAIT (sim, 120, told_done, array);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/task-failure/no-machine-is-blamed", test_no_machine_is_blamed);
  g_test_add_func ("/task-failure/tries-are-few", test_tries_are_few);
  g_test_add_func ("/task-failure/back-off-survives-the-leader", test_back_off_survives_the_leader);
  g_test_add_func ("/task-failure/runs-after-all", test_runs_after_all);
  g_test_add_func ("/task-failure/faulty-machine-beside-failing-job",
                   test_faulty_machine_beside_failing_job);
  return g_test_run ();
}
