/* Gangs that are stopped: for urgent work, by their users, or because the cloud takes a machine
   back; on a fake clock. */
#include "steps.h"

#include <string.h>

/* A gang is stopped while one of its machines cannot be told: the log says why progress is given
   up. */
static void
test_stopped_while_one_cannot_be_told (Simulation *simulation)
{
  User *user = submit_gang_on_small_machines (simulation, 2, 40);
  WAIT (simulation, 60, is_gang_running, user);
  Worker *cut = worker_with_task (simulation, "j-000001/0");
  cut->cut_until_us = simulation->clock->now_us + 7 * MH_SECOND_US;
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

/* Cancelled in each phase: without stops to every task, or with a start that is still under way, it
   would run on past the limit. */
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

/* Urgent work takes the room of a running gang: all its tasks are told together, and it goes on
   from what it saved. */
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

/* Room for urgent work is made by the end of single tasks, as long as that does: one task of a gang
   would cost the whole of it. */
static void
test_order_of_victims (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  MhJobSpec *single = job_spec_new (2, MH_SHAPE_ARRAY, 8, 1);
  single->estimated_run_us = 300 * MH_SECOND_US;
  single->spot = false;
  single->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *array = simulation_submit (simulation, single, 90);
  WAIT (simulation, 60, all_tasks_running, array);
  simulation_run (simulation, 10); /* so that each of them has run for longer than the gang */
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

/* A gang runs beyond its team's guarantee, and another team's work within one wants its room: one
   task would cost the whole gang. It ends by itself, and then the other has its turn. */
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

/* The cloud takes one of its machines back: with enough notice the gang saves together before that,
   and goes on elsewhere; with too little it is left to run, and loses what it has not saved. */
static void
test_notice (void)
{
  for (guint enough = 0; enough < 2; enough++)
    {
      Simulation *simulation = simulation_new (83 + enough);
      add_small_machines (simulation, 3);
      MhJobSpec *spec = gang_spec_new (1, 4, 2);
      require_small_machines (spec);
      User *user = simulation_submit (simulation, spec, 30);
      WAIT (simulation, 60, is_gang_running, user);
      simulation_run (simulation, 8);
      Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
      machine->preempted_at_us = simulation->clock->now_us + (enough ? 12 : 2) * MH_SECOND_US;
      WAIT (simulation, 20, is_removed, machine);
      g_assert_cmpuint (user->job->orderly_stops, ==, enough);
      WAIT (simulation, 120, is_reported_done, user);
      simulation_check_and_free (simulation);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/gang-scheduling/stopped-while-one-cannot-be-told", 19,
                       test_stopped_while_one_cannot_be_told);
  g_test_add_func ("/gang-scheduling/cancel", test_cancel);
  simulation_test_add ("/gang-scheduling/orderly-stop", 80, test_orderly_stop);
  simulation_test_add ("/gang-scheduling/order-of-victims", 85, test_order_of_victims);
  simulation_test_add ("/gang-scheduling/not-stopped-for-a-guarantee-alone", 87,
                       test_not_stopped_for_a_guarantee_alone);
  g_test_add_func ("/gang-scheduling/notice", test_notice);
  return g_test_run ();
}
