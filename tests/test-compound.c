/* Compound failures: two or three things go wrong at once. Those that the operators named first are
   in test-outages.c, test-partitions.c and test-late-messages.c; docs/meetings.md has a row for
   each. */
#include "steps.h"

#include <string.h>

#define CANCEL_S 41 /* of the settings */

/* Every node is asked within milliseconds. */
static void
ask_closely (Sim *sim, SimUser *user, double seconds)
{
  gint64 end = sim->now_us + (gint64)(seconds * MH_SECOND_US);
  while (sim->now_us < end)
    {
      sim_ask_all (sim, user);
      sim_run (sim, 0.003);
    }
}

static bool
cancel_asked (Sim *sim, gpointer data)
{
  (void)sim;
  const SimUser *user = data;
  return user->told_cancelled || user->told_done;
}

/* Users ask at all nodes, again and again, right after a job was accepted, ended or cancelled: no
   answer is older than one given before (the stand-in user checks each). */
static void
test_close_looks (void)
{
  for (guint round = 0; round < 8; round++)
    {
      bool cancels = round % 2, leader_ends = round / 2 % 2, peers_cut = round / 4;
      Sim *sim = sim_new (300 + round);
      running_service (sim, 1, 1);
      SimUser *user = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 2, 1), 1.5);
      WAIT (sim, 30, accepted, user);
      if (peers_cut)
        sim->nodes[(sim_leader (sim)->index + 1) % SIM_NODES].peers_cut_us
            = sim->now_us + 20 * MH_SECOND_US;
      ask_closely (sim, user, 0.3);
      guint leader = sim_leader (sim)->index;
      if (cancels && leader_ends) /* and what it knows of that goes with it */
        sim->nodes[leader].writes_lost_us = sim->now_us + MH_SECOND_US;
      if (cancels)
        {
          sim_cancel (user);
          ask_closely (sim, user, 0.1);
        }
      if (leader_ends)
        sim_stop_node (sim, leader);
      for (guint i = 0; i < 200 && !cancel_asked (sim, user); i++)
        ask_closely (sim, user, 0.05);
      g_assert_true (cancel_asked (sim, user));
      sim_start_node (sim, leader);
      ask_closely (sim, user, 1.5);
      finish (sim);
    }
}

/* A start of a leader that has been deposed arrives after its successor has acted, once the job was
   placed again, and once it was cancelled. */
static void
test_command_of_a_deposed_leader (void)
{
  for (guint cancels = 0; cancels < 2; cancels++)
    {
      Sim *sim = sim_new (310 + cancels);
      SimUser *first = running_service (sim, 1, 1);
      sim->hold_commands = true;
      SimUser *user = sim_submit (sim, sim_spec (2, MH_SHAPE_SERVICE, 2, 1), 0);
      WAIT (sim, 10, accepted, user);
      sim_run (sim, 0.2);
      g_assert_cmpuint (sim->held->len, >, 0);
      SimNode *old = sim_leader (sim);
      old->state_cut_us = old->peers_cut_us = sim->now_us + 30 * MH_SECOND_US;
      old->workers_cut_us = old->state_cut_us;
      sim->hold_commands = false; /* those of its successor arrive */
      sim_run (sim, 3);
      if (cancels)
        {
          sim_cancel (user);
          WAIT (sim, 20, told_cancelled, user);
        }
      sim_run (sim, 10);
      guint starts = sim->world->starts;
      sim_release_commands (sim);
      sim_run (sim, CANCEL_S + 1); /* the cut is over too */
      g_assert_cmpuint (sim->world->starts, ==, starts);
      g_assert_cmpuint (world_running (sim->world, user->job->spec->id), ==, cancels ? 0 : 2);
      g_assert_cmpuint (world_running (sim->world, first->job->spec->id), ==, 1);
      finish (sim);
    }
}

/* Jobs are cancelled in the seconds in which leadership changes, one at every tenth of a second.
   What the leader sends straight to the workers comes late. */
static void
test_cancelled_while_the_leader_changes (void)
{
  for (guint returns = 0; returns < 2; returns++)
    {
      Sim *sim = sim_new (320 + returns);
      SimUser *users[20];
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        {
          users[i] = sim_submit (sim, sim_spec (1 + i, MH_SHAPE_SERVICE, 2, 0.5), 0);
        }
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        WAIT (sim, 60, all_run, users[i]);
      guint leader = sim_leader (sim)->index;
      guint starts = sim->world->starts;
      sim->hold_commands = true;
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        {
          if (i == 3)
            sim_stop_node (sim, leader);
          if (i == 3 + 2 && returns) /* within a fraction of a second */
            sim_start_node (sim, leader);
          sim_cancel (users[i]);
          sim_ask_all (sim, users[i]);
          sim_run (sim, 0.1);
        }
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        WAIT (sim, 20, told_cancelled, users[i]);
      sim_run (sim, CANCEL_S + 1);
      sim_release_commands (sim);
      sim_run (sim, 1);
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        g_assert_cmpuint (world_running (sim->world, users[i]->job->spec->id), ==, 0);
      g_assert_cmpuint (sim->world->starts, ==, starts);
      finish (sim);
    }
}

/* Four jobs of one task a second for two minutes, a quarter of them cancelled, and the leader ends
   twice: none is left behind. */
static void
test_many_small_jobs (void)
{
  Sim *sim = sim_new (330);
  guint number = 0;
  for (guint turn = 0; turn < 480; turn++)
    {
      sim_submit (sim, sim_spec (++number, MH_SHAPE_ARRAY, 1, 1),
                  g_rand_double_range (sim->random, 0.5, 3));
      if (turn % 4 == 3)
        sim_cancel (g_ptr_array_index (
            sim->users, sim->users->len - 1 - (guint)g_rand_int_range (sim->random, 0, 4)));
      if (turn == 150 || turn == 300)
        sim_stop_node (sim, sim_leader (sim) ? sim_leader (sim)->index : 0);
      if (turn == 160 || turn == 301)
        for (guint i = 0; i < SIM_NODES; i++)
          sim_start_node (sim, i);
      sim_run (sim, 0.25);
    }
  WAIT (sim, 90, sim_all_settled, NULL);
  finish (sim);
}

/* The leader's transactions are carried out, their answers are lost, and other nodes read what they
   wrote, also such as have just begun and do not know yet that somebody leads: none of them tells a
   user what the leader may still contradict. */
static void
test_answers_of_writes_lost (void)
{
  for (guint round = 0; round < 6; round++)
    {
      bool leader_ends = round % 2;
      Sim *sim = sim_new (340 + round);
      SimUser *ends = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 2, 1), 4 + 0.5 * round);
      SimUser *cancelled = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 2, 1), 100);
      WAIT (sim, 60, all_run, ends);
      WAIT (sim, 60, all_run, cancelled);
      SimNode *leader = sim_leader (sim);
      guint other = (leader->index + 1) % SIM_NODES;
      leader->write_answers_lost_us = sim->now_us + 8 * MH_SECOND_US;
      leader->peers_cut_us = leader->write_answers_lost_us; /* the others read by themselves */
      sim_cancel (cancelled);
      SimUser *submitted = sim_submit (sim, sim_spec (3, MH_SHAPE_ARRAY, 1, 1), 2);
      SimUser *const users[] = { ends, cancelled, submitted };
      for (guint i = 0; i < 300; i++)
        {
          if (i == 150 && leader_ends)
            sim_stop_node (sim, leader->index);
          sim_restart_node (sim, other, CONTROLLER_CURRENT, 0);
          sim_ask_all (sim, users[i % G_N_ELEMENTS (users)]);
          sim_run (sim, 0.03);
        }
      sim_start_node (sim, leader->index);
      WAIT (sim, 90, sim_all_settled, NULL);
      finish (sim);
    }
}

/* Machines are up within a second and get work at once, while writes are carried out late, and one
   leader after the other ends. */
static void
test_fast_machines_slow_writes (void)
{
  for (guint seed = 0; seed < 6; seed++)
    {
      Sim *sim = sim_new (350 + seed);
      sim->world->boot_us = MH_SECOND_US;
      sim->late_writes = 0.3;
      for (guint turn = 0; turn < 8; turn++)
        {
          MhJobSpec *spec = sim_spec (1 + turn, MH_SHAPE_ARRAY, 6, 1);
          sim_submit (sim, spec, 3);
          sim_run (sim, g_rand_double_range (sim->random, 0.5, 2.5));
          guint ends = sim_leader (sim) ? sim_leader (sim)->index : turn % SIM_NODES;
          sim_stop_node (sim, ends);
          sim_run (sim, g_rand_double_range (sim->random, 0.05, 2));
          sim_start_node (sim, ends);
        }
      sim->late_writes = 0;
      WAIT (sim, 200, sim_all_settled, NULL);
      finish (sim);
    }
}

/* Old reports, of tasks that have ended since and of sessions that are over, reach every controller
   just as a new leader begins. */
static void
test_old_reports_at_an_election (void)
{
  for (guint round = 0; round < 2; round++)
    {
      Sim *sim = sim_new (360 + round);
      SimUser *service = running_service (sim, 1, 2);
      SimUser *array = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 6, 1), 4);
      WAIT (sim, 60, all_run, array);
      g_autoptr (GPtrArray) old = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
      for (guint i = 0; i < sim->workers->len; i++)
        g_ptr_array_add (
            old,
            world_report (sim->world, ((SimWorker *)g_ptr_array_index (sim->workers, i))->machine));
      WAIT (sim, 60, told_done, array);
      SimUser *second = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 6, 1), 30);
      WAIT (sim, 60, all_run, second);
      guint starts = sim->world->starts;
      guint leader = sim_leader (sim)->index;
      if (round) /* all sessions end, and the old reports are of earlier ones */
        for (guint i = 0; i < SIM_NODES; i++)
          sim_stop_node (sim, i);
      sim_stop_node (sim, leader);
      sim_run (sim, round ? 20 : 0.2);
      for (guint i = 0; i < SIM_NODES; i++)
        sim_start_node (sim, i);
      for (guint step = 0; step < 60; step++)
        {
          for (guint i = 0; i < SIM_NODES; i++)
            for (guint k = 0; k < old->len; k++)
              sim_late_report (sim, &sim->nodes[i], g_ptr_array_index (old, k));
          sim_run (sim, 0.05);
        }
      WAIT (sim, 120, told_done, second);
      WAIT (sim, 60, all_run, service);
      if (!round)
        g_assert_cmpuint (sim->world->starts, ==, starts);
      finish (sim);
    }
}

/* Both teams are at their limit; jobs of both are cancelled whose machines are cut off or hang,
   more work of both waits, and the leader changes: what may still run counts, and later everything
   is served. */
static void
test_limits_cut_machines_and_a_new_leader (void)
{
  for (guint hangs = 0; hangs < 2; hangs++)
    {
      Sim *sim = sim_new (370 + hangs);
      SimUser *running[4], *waiting[4];
      for (guint i = 0; i < G_N_ELEMENTS (running); i++)
        {
          MhJobSpec *spec = sim_spec (1 + i, MH_SHAPE_ARRAY, 8, 1);
          spec->estimated_run_us = 300 * MH_SECOND_US;
          running[i] = sim_submit (sim, spec, 300);
        }
      for (guint i = 0; i < G_N_ELEMENTS (running); i++)
        WAIT (sim, 90, all_run, running[i]);
      for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
        waiting[i] = sim_submit (sim, sim_spec (11 + i, MH_SHAPE_ARRAY, 8, 1), 3);
      sim_run (sim, 3);
      guint silent = 0;
      for (guint i = 0; i < sim->workers->len; i += 2)
        {
          SimWorker *worker = g_ptr_array_index (sim->workers, i);
          gint64 until = sim->now_us + 25 * MH_SECOND_US;
          if (hangs)
            worker->machine->hung_until_us = until;
          else
            worker->cut_us = until;
          silent++;
        }
      g_assert_cmpuint (silent, >, 0);
      sim_cancel (running[0]);
      sim_cancel (running[1]);
      sim_run (sim, 0.5);
      guint leader = sim_leader (sim)->index;
      sim_stop_node (sim, leader);
      sim_run (sim, 3);
      sim_start_node (sim, leader);
      WAIT (sim, 30, told_cancelled, running[0]);
      WAIT (sim, 30, told_cancelled, running[1]);
      for (guint i = 0; i < G_N_ELEMENTS (waiting); i++)
        WAIT (sim, 200, told_done, waiting[i]);
      finish (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/compound/" name, func)
  ADD ("close-looks", test_close_looks);
  ADD ("command-of-a-deposed-leader", test_command_of_a_deposed_leader);
  ADD ("cancelled-while-the-leader-changes", test_cancelled_while_the_leader_changes);
  ADD ("many-small-jobs", test_many_small_jobs);
  ADD ("answers-of-writes-lost", test_answers_of_writes_lost);
  ADD ("fast-machines-slow-writes", test_fast_machines_slow_writes);
  ADD ("old-reports-at-an-election", test_old_reports_at_an_election);
  ADD ("limits-cut-machines-and-a-new-leader", test_limits_cut_machines_and_a_new_leader);
  return g_test_run ();
}
