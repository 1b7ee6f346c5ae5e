/* Machines that are slow to join, or never do. */
#include "steps.h"

#include <string.h>

#define TASKS 16u

/* Four machines of four cpus are wanted for as long as the test looks. */
static SimUser *
wants_four_machines (Sim *sim)
{
  MhJobSpec *spec = sim_spec (1, MH_SHAPE_ARRAY, TASKS, 1);
  spec->types = g_strsplit ("small", ",", 1);
  spec->estimated_run_us = 300 * MH_SECOND_US;
  SimUser *user = sim_submit (sim, spec, 120);
  WAIT (sim, 20, accepted, user);
  sim_run (sim, 3);
  g_assert_cmpuint (sim->world->machines->len, ==, TASKS / 4);
  return user;
}

/* All boots take four times what they should. Those on their way are counted on: all once were
   rented a second time. */
static void
test_slow_boots (void)
{
  Sim *sim = sim_new (61);
  sim->world->boot_us = 18 * MH_SECOND_US;
  SimUser *user = wants_four_machines (sim);
  sim_run (sim, 14);
  g_assert_cmpuint (sim->world->machines->len, <=, 5);
  g_assert_true (sim_logged (sim, "machine late to join"));
  sim_run (sim, 15);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, TASKS);
  WAIT (sim, 200, told_done, user);
  finish (sim);
}

/* One of them never joins: another takes its place, and it is given back soon. */
static void
test_never_joins (void)
{
  Sim *sim = sim_new (62);
  wants_four_machines (sim);
  WorldMachine *machine = g_ptr_array_index (sim->world->machines, 0);
  machine->up_us = G_MAXINT64;
  sim_run (sim, 25);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, TASKS);
  g_assert_cmpuint (sim->world->machines->len, ==, TASKS / 4 + 1);
  g_assert_true (machine->gone);
  g_assert_true (sim_logged (sim, "never came up"));
  finish (sim);
}

/* One joins after another was rented in its place: it is used, since it is there. */
static void
test_joins_late (void)
{
  Sim *sim = sim_new (63);
  wants_four_machines (sim);
  WorldMachine *machine = g_ptr_array_index (sim->world->machines, 0);
  machine->up_us = sim->now_us + 10 * MH_SECOND_US;
  sim_run (sim, 20);
  g_assert_true (machine->up);
  g_assert_false (machine->gone);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, TASKS);
  finish (sim);
}

/* Boots were fast for a while, and then are as usual: those on their way are still counted on. */
static void
test_fast_boots_and_usual_ones (void)
{
  Sim *sim = sim_new (64);
  sim->world->boot_us = MH_SECOND_US / 5;
  SimUser *user = wants_four_machines (sim);
  sim_run (sim, 3);
  guint rented = sim->world->machines->len;
  sim->world->boot_us = 6 * MH_SECOND_US;
  SimUser *more = sim_submit (sim, sim_spec (2, MH_SHAPE_SERVICE, 4, 1), 0);
  WAIT (sim, 30, all_run, more);
  g_assert_cmpuint (sim->world->machines->len - rented, <=, 4);
  sim_run (sim, 10);
  g_assert_cmpuint (sim->world->machines->len - rented, <=, 4);
  WAIT (sim, 200, told_done, user);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/boot-time/slow", test_slow_boots);
  g_test_add_func ("/boot-time/never-joins", test_never_joins);
  g_test_add_func ("/boot-time/joins-late", test_joins_late);
  g_test_add_func ("/boot-time/fast-and-usual", test_fast_boots_and_usual_ones);
  return g_test_run ();
}
