/* Machines that are slow to join, or never do. */
#include "steps.h"

#include <string.h>

#define TASKS 16u

/* Four machines of four cpus are wanted for as long as the test looks. */
static User *
wants_four_machines (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, TASKS, 1);
  use_small_machines (spec);
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, 120);
  WAIT (simulation, 20, accepted, user);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, TASKS / 4);
  return user;
}

/* All boots take four times what they should. Those on their way are counted on: all once were
   rented a second time. */
static void
test_slow_boots (Simulation *simulation)
{
  simulation->cloud->boot_us = 18 * MH_SECOND_US;
  User *user = wants_four_machines (simulation);
  simulation_run (simulation, 14);
  g_assert_cmpuint (simulation->cloud->machines->len, <=, 5);
  g_assert_true (simulation_logged (simulation, "machine late to join"));
  simulation_run (simulation, 15);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
  WAIT (simulation, 200, told_done, user);
}

/* One of them never joins: without another in its place its tasks would wait for ever, and if it
   were kept it would be paid for. */
static void
test_never_joins (Simulation *simulation)
{
  wants_four_machines (simulation);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  machine->up_us = G_MAXINT64;
  simulation_run (simulation, 25);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, TASKS / 4 + 1);
  g_assert_true (machine->gone);
  g_assert_true (simulation_logged (simulation, "never_joined"));
}

/* One joins after another was rented in its place: given back though it is there, its boot would
   have been for nothing. */
static void
test_joins_late (Simulation *simulation)
{
  wants_four_machines (simulation);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  machine->up_us = simulation->clock->now_us + 10 * MH_SECOND_US;
  simulation_run (simulation, 20);
  g_assert_true (machine->up);
  g_assert_false (machine->gone);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
}

/* Boots were fast for a while, and then are as usual: those on their way would be taken for failed,
   and rented a second time. */
static void
test_fast_boots_and_usual_ones (Simulation *simulation)
{
  simulation->cloud->boot_us = MH_SECOND_US / 5;
  User *user = wants_four_machines (simulation);
  simulation_run (simulation, 3);
  guint rented = simulation->cloud->machines->len;
  simulation->cloud->boot_us = 6 * MH_SECOND_US;
  User *more = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 4, 1), 0);
  WAIT (simulation, 30, all_run, more);
  g_assert_cmpuint (simulation->cloud->machines->len - rented, <=, 4);
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->cloud->machines->len - rented, <=, 4);
  WAIT (simulation, 200, told_done, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/boot-time/slow", 61, test_slow_boots);
  simulation_test_add ("/boot-time/never-joins", 62, test_never_joins);
  simulation_test_add ("/boot-time/joins-late", 63, test_joins_late);
  simulation_test_add ("/boot-time/fast-and-usual", 64, test_fast_boots_and_usual_ones);
  return g_test_run ();
}
