/* Tests with machines that join late or never. */
#include "steps.h"

#include <string.h>

#define TASKS 16u

/* Submits a job that needs four machines with four CPUs each for longer than the tests run, and
   waits until they are created. */
static User *
submit_job_for_four_machines (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, TASKS, 1);
  require_small_machines (spec);
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, 120);
  WAIT (simulation, 20, is_accepted, user);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, TASKS / 4);
  return user;
}

/* All boots take 18 s instead of the expected 4 s. Only the first late machine may be replaced: its
   age raises the expected boot time of the others. Without that, all of them were created a second
   time. */
static void
test_slow_boots (Simulation *simulation)
{
  simulation->cloud->boot_us = 18 * MH_SECOND_US;
  User *user = submit_job_for_four_machines (simulation);
  simulation_run (simulation, 14);
  g_assert_cmpuint (simulation->cloud->machines->len, <=, 5);
  g_assert_true (simulation_has_logged (simulation, "machine late to join"));
  simulation_run (simulation, 15);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
  WAIT (simulation, 200, is_reported_done, user);
}

/* One machine never joins. It must be replaced, otherwise its tasks wait forever, and released,
   otherwise it costs money without being of use. */
static void
test_never_joins (Simulation *simulation)
{
  submit_job_for_four_machines (simulation);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  machine->boot_done_us = G_MAXINT64;
  simulation_run (simulation, 25);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, TASKS / 4 + 1);
  g_assert_true (machine->removed);
  g_assert_true (simulation_has_logged (simulation, "never_joined"));
}

/* One machine joins after another was created in its place. It must not be released then, since its
   boot has already been paid for. */
static void
test_joins_late (Simulation *simulation)
{
  submit_job_for_four_machines (simulation);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  machine->boot_done_us = simulation->clock->now_us + 10 * MH_SECOND_US;
  simulation_run (simulation, 20);
  g_assert_true (machine->running);
  g_assert_false (machine->removed);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, TASKS);
}

/* Boots are fast for a while and then take as long as expected. Guards against an expected boot
   time that follows the fast boots so closely that machines with normal boots count as late and are
   created a second time. */
static void
test_fast_then_normal_boots (Simulation *simulation)
{
  simulation->cloud->boot_us = MH_SECOND_US / 5;
  User *user = submit_job_for_four_machines (simulation);
  simulation_run (simulation, 3);
  guint machines_before = simulation->cloud->machines->len;
  simulation->cloud->boot_us = 6 * MH_SECOND_US;
  User *service_user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 4, 1), 0);
  WAIT (simulation, 30, all_tasks_running, service_user);
  g_assert_cmpuint (simulation->cloud->machines->len - machines_before, <=, 4);
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->cloud->machines->len - machines_before, <=, 4);
  WAIT (simulation, 200, is_reported_done, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/boot-time/slow-boots", 61, test_slow_boots);
  simulation_test_add ("/boot-time/never-joins", 62, test_never_joins);
  simulation_test_add ("/boot-time/joins-late", 63, test_joins_late);
  simulation_test_add ("/boot-time/fast-then-normal-boots", 64, test_fast_then_normal_boots);
  return g_test_run ();
}
