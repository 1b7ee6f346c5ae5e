/* Compound failures: two or three things go wrong at once. Those that the operators named first are
   in test-store-outages.c, test-partitions.c and test-late-messages.c; docs/meetings.md has a row
   for each. */
#include "steps.h"

#include <string.h>

#define CANCEL_S 41 /* of the settings */

/* Every node is asked within milliseconds. */
static void
ask_closely (Simulation *simulation, User *user, double seconds)
{
  gint64 end = simulation->clock->now_us + (gint64)(seconds * MH_SECOND_US);
  while (simulation->clock->now_us < end)
    {
      simulation_request_from_all_nodes (simulation, user);
      simulation_run (simulation, 0.003);
    }
}

static bool
cancel_asked (Simulation *simulation, gpointer data)
{
  (void)simulation;
  const User *user = data;
  return user->reported_cancelled || user->reported_done;
}

/* Users ask at all nodes, again and again, right after a job was accepted, ended or cancelled: a
   node that answers by what it remembers would give an answer older than one before (the stand-in
   user checks each). */
static void
test_close_looks (void)
{
  for (guint round = 0; round < 8; round++)
    {
      bool cancels = round % 2, leader_ends = round / 2 % 2, peers_cut = round / 4;
      Simulation *simulation = simulation_new (300 + round);
      start_service (simulation, 1, 1);
      User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 1), 1.5);
      WAIT (simulation, 30, is_accepted, user);
      if (peers_cut)
        simulation->nodes[(simulation_leader (simulation)->index + 1) % SIMULATION_NODES]
            .peers_cut_until_us
            = simulation->clock->now_us + 20 * MH_SECOND_US;
      ask_closely (simulation, user, 0.3);
      guint leader = simulation_leader (simulation)->index;
      if (cancels && leader_ends) /* and what it knows of that goes with it */
        simulation->nodes[leader].writes_lost_until_us = simulation->clock->now_us + MH_SECOND_US;
      if (cancels)
        {
          user_cancel (user);
          ask_closely (simulation, user, 0.1);
        }
      if (leader_ends)
        simulation_stop_node (simulation, leader);
      for (guint i = 0; i < 200 && !cancel_asked (simulation, user); i++)
        ask_closely (simulation, user, 0.05);
      g_assert_true (cancel_asked (simulation, user));
      simulation_start_node (simulation, leader);
      ask_closely (simulation, user, 1.5);
      simulation_check_and_free (simulation);
    }
}

/* A start of a leader that has been deposed arrives after its successor has acted, once the job was
   placed again, and once it was cancelled. Without a fencing token it would run beside the new
   attempt. */
static void
test_command_of_a_deposed_leader (void)
{
  for (guint cancels = 0; cancels < 2; cancels++)
    {
      Simulation *simulation = simulation_new (310 + cancels);
      User *first = start_service (simulation, 1, 1);
      simulation->network->hold_commands = true;
      User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 2, 1), 0);
      WAIT (simulation, 10, is_accepted, user);
      simulation_run (simulation, 0.2);
      g_assert_cmpuint (simulation->network->held_commands->len, >, 0);
      ControllerNode *old = simulation_leader (simulation);
      old->store_cut_until_us = old->peers_cut_until_us
          = simulation->clock->now_us + 30 * MH_SECOND_US;
      old->workers_cut_until_us = old->store_cut_until_us;
      simulation->network->hold_commands = false; /* those of its successor arrive */
      simulation_run (simulation, 3);
      if (cancels)
        {
          user_cancel (user);
          WAIT (simulation, 20, is_reported_cancelled, user);
        }
      simulation_run (simulation, 10);
      guint starts = simulation->rules->task_starts;
      outgoing_calls_release_commands (simulation);
      simulation_run (simulation, CANCEL_S + 1); /* the cut is over too */
      g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==,
                        cancels ? 0 : 2);
      g_assert_cmpuint (simulation_running_tasks (simulation, first->job->spec->id), ==, 1);
      simulation_check_and_free (simulation);
    }
}

/* Jobs are cancelled in the seconds in which leadership changes, one at every tenth of a second,
   and what the leader sends straight to the workers comes late. A cancellation that was lost
   between two leaders would leave its job running. */
static void
test_cancelled_while_the_leader_changes (void)
{
  for (guint returns = 0; returns < 2; returns++)
    {
      Simulation *simulation = simulation_new (320 + returns);
      User *users[20];
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        {
          users[i]
              = simulation_submit (simulation, job_spec_new (1 + i, MH_SHAPE_SERVICE, 2, 0.5), 0);
        }
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        WAIT (simulation, 60, all_tasks_running, users[i]);
      guint leader = simulation_leader (simulation)->index;
      guint starts = simulation->rules->task_starts;
      simulation->network->hold_commands = true;
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        {
          if (i == 3)
            simulation_stop_node (simulation, leader);
          if (i == 3 + 2 && returns) /* within a fraction of a second */
            simulation_start_node (simulation, leader);
          user_cancel (users[i]);
          simulation_request_from_all_nodes (simulation, users[i]);
          simulation_run (simulation, 0.1);
        }
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        WAIT (simulation, 20, is_reported_cancelled, users[i]);
      simulation_run (simulation, CANCEL_S + 1);
      outgoing_calls_release_commands (simulation);
      simulation_run (simulation, 1);
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        g_assert_cmpuint (simulation_running_tasks (simulation, users[i]->job->spec->id), ==, 0);
      g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      simulation_check_and_free (simulation);
    }
}

/* Four jobs of one task a second for two minutes, a quarter of them cancelled, and the leader ends
   twice: one that is not on record in time would be left behind. */
static void
test_many_small_jobs (Simulation *simulation)
{
  guint number = 0;
  for (guint turn = 0; turn < 480; turn++)
    {
      simulation_submit (simulation, job_spec_new (++number, MH_SHAPE_ARRAY, 1, 1),
                         g_rand_double_range (simulation->random, 0.5, 3));
      if (turn % 4 == 3)
        user_cancel (g_ptr_array_index (simulation->users,
                                        simulation->users->len - 1
                                            - (guint)g_rand_int_range (simulation->random, 0, 4)));
      if (turn == 150 || turn == 300)
        simulation_stop_node (
            simulation, simulation_leader (simulation) ? simulation_leader (simulation)->index : 0);
      if (turn == 160 || turn == 301)
        for (guint i = 0; i < SIMULATION_NODES; i++)
          simulation_start_node (simulation, i);
      simulation_run (simulation, 0.25);
    }
  WAIT (simulation, 90, simulation_all_settled, NULL);
}

/* The leader's transactions are carried out, their answers are lost, and other nodes read what they
   wrote, also such as have just begun and do not know yet that somebody leads: one of them would
   tell a user what the leader may still contradict. */
static void
test_answers_of_writes_lost (void)
{
  for (guint round = 0; round < 6; round++)
    {
      bool leader_ends = round % 2;
      Simulation *simulation = simulation_new (340 + round);
      User *ends
          = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 2, 1), 4 + 0.5 * round);
      User *cancelled = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 1), 100);
      WAIT (simulation, 60, all_tasks_running, ends);
      WAIT (simulation, 60, all_tasks_running, cancelled);
      ControllerNode *leader = simulation_leader (simulation);
      guint other = (leader->index + 1) % SIMULATION_NODES;
      leader->write_answers_lost_until_us = simulation->clock->now_us + 8 * MH_SECOND_US;
      leader->peers_cut_until_us
          = leader->write_answers_lost_until_us; /* the others read by themselves */
      user_cancel (cancelled);
      User *submitted = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 2);
      User *const users[] = { ends, cancelled, submitted };
      for (guint i = 0; i < 300; i++)
        {
          if (i == 150 && leader_ends)
            simulation_stop_node (simulation, leader->index);
          simulation_restart_node (simulation, other, CONTROLLER_CURRENT, 0);
          simulation_request_from_all_nodes (simulation, users[i % G_N_ELEMENTS (users)]);
          simulation_run (simulation, 0.03);
        }
      simulation_start_node (simulation, leader->index);
      WAIT (simulation, 90, simulation_all_settled, NULL);
      simulation_check_and_free (simulation);
    }
}

/* Machines are up within a second and get work at once, while writes are carried out late, and one
   leader after the other ends: starts that are not on record would run twice. */
static void
test_fast_machines_slow_writes (void)
{
  for (guint seed = 0; seed < 6; seed++)
    {
      Simulation *simulation = simulation_new (350 + seed);
      simulation->cloud->boot_us = MH_SECOND_US;
      simulation->network->late_write_probability = 0.3;
      for (guint turn = 0; turn < 8; turn++)
        {
          MhJobSpec *spec = job_spec_new (1 + turn, MH_SHAPE_ARRAY, 6, 1);
          simulation_submit (simulation, spec, 3);
          simulation_run (simulation, g_rand_double_range (simulation->random, 0.5, 2.5));
          guint ends = simulation_leader (simulation) ? simulation_leader (simulation)->index
                                                      : turn % SIMULATION_NODES;
          simulation_stop_node (simulation, ends);
          simulation_run (simulation, g_rand_double_range (simulation->random, 0.05, 2));
          simulation_start_node (simulation, ends);
        }
      simulation->network->late_write_probability = 0;
      WAIT (simulation, 200, simulation_all_settled, NULL);
      simulation_check_and_free (simulation);
    }
}

/* Old reports, of tasks that have ended since and of sessions that are over, reach every controller
   just as a new leader begins, which would take them for the present state. */
static void
test_old_reports_at_an_election (void)
{
  for (guint round = 0; round < 2; round++)
    {
      Simulation *simulation = simulation_new (360 + round);
      User *service = start_service (simulation, 1, 2);
      User *array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 6, 1), 4);
      WAIT (simulation, 60, all_tasks_running, array);
      g_autoptr (GPtrArray) old = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
      for (guint i = 0; i < simulation->workers->len; i++)
        g_ptr_array_add (old, worker_protocol_heartbeat (
                                  ((Worker *)g_ptr_array_index (simulation->workers, i))->machine));
      WAIT (simulation, 60, is_reported_done, array);
      User *second = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 6, 1), 30);
      WAIT (simulation, 60, all_tasks_running, second);
      guint starts = simulation->rules->task_starts;
      guint leader = simulation_leader (simulation)->index;
      if (round) /* all sessions end, and the old reports are of earlier ones */
        for (guint i = 0; i < SIMULATION_NODES; i++)
          simulation_stop_node (simulation, i);
      simulation_stop_node (simulation, leader);
      simulation_run (simulation, round ? 20 : 0.2);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
      for (guint step = 0; step < 60; step++)
        {
          for (guint i = 0; i < SIMULATION_NODES; i++)
            for (guint k = 0; k < old->len; k++)
              workers_deliver_late_heartbeat (simulation, &simulation->nodes[i],
                                              g_ptr_array_index (old, k));
          simulation_run (simulation, 0.05);
        }
      WAIT (simulation, 120, is_reported_done, second);
      WAIT (simulation, 60, all_tasks_running, service);
      if (!round)
        g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      simulation_check_and_free (simulation);
    }
}

/* Both teams are at their limit; jobs of both are cancelled whose machines are cut off or hang,
   more work of both waits, and the leader changes. Were what may still run not counted, a team
   would exceed its quota; were it counted for ever, the rest would wait. */
static void
test_limits_cut_machines_and_a_new_leader (void)
{
  for (guint hangs = 0; hangs < 2; hangs++)
    {
      Simulation *simulation = simulation_new (370 + hangs);
      User *running[4], *waiting[4];
      for (guint i = 0; i < G_N_ELEMENTS (running); i++)
        {
          MhJobSpec *spec = job_spec_new (1 + i, MH_SHAPE_ARRAY, 8, 1);
          spec->estimated_run_us = 300 * MH_SECOND_US;
          running[i] = simulation_submit (simulation, spec, 300);
        }
      for (guint i = 0; i < G_N_ELEMENTS (running); i++)
        WAIT (simulation, 90, all_tasks_running, running[i]);
      for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
        waiting[i] = simulation_submit (simulation, job_spec_new (11 + i, MH_SHAPE_ARRAY, 8, 1), 3);
      simulation_run (simulation, 3);
      guint silent = 0;
      for (guint i = 0; i < simulation->workers->len; i += 2)
        {
          Worker *worker = g_ptr_array_index (simulation->workers, i);
          gint64 until = simulation->clock->now_us + 25 * MH_SECOND_US;
          if (hangs)
            worker->machine->hung_until_us = until;
          else
            worker->cut_until_us = until;
          silent++;
        }
      g_assert_cmpuint (silent, >, 0);
      user_cancel (running[0]);
      user_cancel (running[1]);
      simulation_run (simulation, 0.5);
      guint leader = simulation_leader (simulation)->index;
      simulation_stop_node (simulation, leader);
      simulation_run (simulation, 3);
      simulation_start_node (simulation, leader);
      WAIT (simulation, 30, is_reported_cancelled, running[0]);
      WAIT (simulation, 30, is_reported_cancelled, running[1]);
      for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
        WAIT (simulation, 200, is_reported_done, waiting[i]);
      simulation_check_and_free (simulation);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/compound-failure/close-looks", test_close_looks);
  g_test_add_func ("/compound-failure/command-of-a-deposed-leader",
                   test_command_of_a_deposed_leader);
  g_test_add_func ("/compound-failure/cancelled-while-the-leader-changes",
                   test_cancelled_while_the_leader_changes);
  g_test_add_func ("/compound-failure/answers-of-writes-lost", test_answers_of_writes_lost);
  g_test_add_func ("/compound-failure/fast-machines-slow-writes", test_fast_machines_slow_writes);
  g_test_add_func ("/compound-failure/old-reports-at-an-election", test_old_reports_at_an_election);
  g_test_add_func ("/compound-failure/limits-cut-machines-and-a-new-leader",
                   test_limits_cut_machines_and_a_new_leader);
  simulation_test_add ("/compound-failure/many-small-jobs", 330, test_many_small_jobs);
  return g_test_run ();
}
