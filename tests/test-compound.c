/* Compound failures: two or three faults at the same time. The combinations that the operators
   named first are in test-store-outages.c, test-partitions.c and test-late-messages.c;
   docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

#define CANCEL_LIMIT_S 41 /* cancel_limit_us of the simulation's settings, in seconds */

/* Lets the user ask every node every 3 ms for that time. */
static void
ask_in_quick_succession (Simulation *simulation, User *user, double seconds)
{
  gint64 end_us = simulation->clock->now_us + (gint64)(seconds * MH_SECOND_US);
  while (simulation->clock->now_us < end_us)
    {
      simulation_request_from_all_nodes (simulation, user);
      simulation_run (simulation, 0.003);
    }
}

static bool
has_final_response (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return user_is_settled (data);
}

/* A user asks all nodes in quick succession, right after its job was accepted, ended or cancelled.
   A node that answers from memory that is out of date would contradict an earlier response of
   another node; the stand-in user checks each response. */
static void
test_responses_in_quick_succession (void)
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
      ask_in_quick_succession (simulation, user, 0.3);
      guint leader = simulation_leader (simulation)->index;
      if (cancels && leader_ends) /* what the leader knows of the cancellation is lost with it */
        simulation->nodes[leader].writes_lost_until_us = simulation->clock->now_us + MH_SECOND_US;
      if (cancels)
        {
          user_cancel (user);
          ask_in_quick_succession (simulation, user, 0.1);
        }
      if (leader_ends)
        simulation_stop_node (simulation, leader);
      for (guint i = 0; i < 200 && !has_final_response (simulation, user); i++)
        ask_in_quick_succession (simulation, user, 0.05);
      g_assert_true (has_final_response (simulation, user));
      simulation_start_node (simulation, leader);
      ask_in_quick_succession (simulation, user, 1.5);
      simulation_check_and_free (simulation);
    }
}

/* A start of a former leader arrives after its successor has acted: in the first round the job has
   been placed again, in the second it has been cancelled. Without a fencing token, the start would
   run beside the new attempt, or after the cancellation. */
static void
test_command_of_former_leader (void)
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
      ControllerNode *former_leader = simulation_leader (simulation);
      former_leader->store_cut_until_us = former_leader->peers_cut_until_us
          = simulation->clock->now_us + 30 * MH_SECOND_US;
      former_leader->workers_cut_until_us = former_leader->store_cut_until_us;
      simulation->network->hold_commands = false; /* commands of its successor arrive */
      simulation_run (simulation, 3);
      if (cancels)
        {
          user_cancel (user);
          WAIT (simulation, 20, is_reported_cancelled, user);
        }
      simulation_run (simulation, 10);
      guint starts = simulation->rules->task_starts;
      outgoing_calls_release_commands (simulation);
      simulation_run (simulation, CANCEL_LIMIT_S + 1); /* the partition has ended too */
      g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==,
                        cancels ? 0 : 2);
      g_assert_cmpuint (simulation_running_tasks (simulation, first->job->spec->id), ==, 1);
      simulation_check_and_free (simulation);
    }
}

/* Jobs are cancelled, one every tenth of a second, while leadership changes, and direct commands
   reach the workers late. A cancellation that is lost between two leaders would leave its job
   running. */
static void
test_cancelled_during_failover (void)
{
  for (guint leader_returns = 0; leader_returns < 2; leader_returns++)
    {
      Simulation *simulation = simulation_new (320 + leader_returns);
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
          if (i == 3 + 2 && leader_returns) /* restarts after 0.2 s */
            simulation_start_node (simulation, leader);
          user_cancel (users[i]);
          simulation_request_from_all_nodes (simulation, users[i]);
          simulation_run (simulation, 0.1);
        }
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        WAIT (simulation, 20, is_reported_cancelled, users[i]);
      simulation_run (simulation, CANCEL_LIMIT_S + 1);
      outgoing_calls_release_commands (simulation);
      simulation_run (simulation, 1);
      for (guint i = 0; i < G_N_ELEMENTS (users); i++)
        g_assert_cmpuint (simulation_running_tasks (simulation, users[i]->job->spec->id), ==, 0);
      g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      simulation_check_and_free (simulation);
    }
}

/* For two minutes, four jobs of one task each are submitted per second, up to a quarter of them are
   cancelled, and the leader stops twice. If a submission were accepted before its record is
   durable, the job would be lost with the leader. */
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

/* The leader's transactions are carried out, but the responses are lost. Other nodes read the
   written records, among them nodes that have just started and do not know yet that there is a
   leader. They must not give a user a response that the leader, which does not know the outcome of
   its transactions, may still contradict. */
static void
test_responses_to_writes_lost (void)
{
  for (guint round = 0; round < 6; round++)
    {
      bool leader_ends = round % 2;
      Simulation *simulation = simulation_new (340 + round);
      User *ending
          = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 2, 1), 4 + 0.5 * round);
      User *cancelled = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 1), 100);
      WAIT (simulation, 60, all_tasks_running, ending);
      WAIT (simulation, 60, all_tasks_running, cancelled);
      ControllerNode *leader = simulation_leader (simulation);
      guint other = (leader->index + 1) % SIMULATION_NODES;
      leader->write_responses_lost_until_us = simulation->clock->now_us + 8 * MH_SECOND_US;
      leader->peers_cut_until_us
          = leader->write_responses_lost_until_us; /* the others read the records themselves */
      user_cancel (cancelled);
      User *submitted = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 2);
      User *const users[] = { ending, cancelled, submitted };
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

/* Machines boot within a second and get tasks at once, while some transactions are carried out
   late, and one leader after the other stops. Guards against starts that are sent before their
   records are durable: their tasks would run twice. */
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
          guint stopped = simulation_leader (simulation) ? simulation_leader (simulation)->index
                                                         : turn % SIMULATION_NODES;
          simulation_stop_node (simulation, stopped);
          simulation_run (simulation, g_rand_double_range (simulation->random, 0.05, 2));
          simulation_start_node (simulation, stopped);
        }
      simulation->network->late_write_probability = 0;
      WAIT (simulation, 200, simulation_all_settled, NULL);
      simulation_check_and_free (simulation);
    }
}

/* Late copies of heartbeats reach every controller just as a new leader begins. They list tasks
   that have ended since, and in the second round they are from earlier incarnations. Guards against
   a new leader that treats them as the present state of the workers. */
static void
test_late_heartbeats_during_election (void)
{
  for (guint round = 0; round < 2; round++)
    {
      Simulation *simulation = simulation_new (360 + round);
      User *service = start_service (simulation, 1, 2);
      User *array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 6, 1), 4);
      WAIT (simulation, 60, all_tasks_running, array);
      g_autoptr (GPtrArray) late_heartbeats
          = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
      for (guint i = 0; i < simulation->workers->len; i++)
        g_ptr_array_add (late_heartbeats,
                         worker_protocol_heartbeat (
                             ((Worker *)g_ptr_array_index (simulation->workers, i))->machine));
      WAIT (simulation, 60, is_reported_done, array);
      User *second = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 6, 1), 30);
      WAIT (simulation, 60, all_tasks_running, second);
      guint starts = simulation->rules->task_starts;
      guint leader = simulation_leader (simulation)->index;
      if (round) /* all leases expire, so that the late heartbeats are from earlier incarnations */
        for (guint i = 0; i < SIMULATION_NODES; i++)
          simulation_stop_node (simulation, i);
      simulation_stop_node (simulation, leader);
      simulation_run (simulation, round ? 20 : 0.2);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
      for (guint step = 0; step < 60; step++)
        {
          for (guint i = 0; i < SIMULATION_NODES; i++)
            for (guint k = 0; k < late_heartbeats->len; k++)
              workers_deliver_late_heartbeat (simulation, &simulation->nodes[i],
                                              g_ptr_array_index (late_heartbeats, k));
          simulation_run (simulation, 0.05);
        }
      WAIT (simulation, 120, is_reported_done, second);
      WAIT (simulation, 60, all_tasks_running, service);
      if (!round)
        g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
      simulation_check_and_free (simulation);
    }
}

/* Both teams have used up their quotas, and more jobs of both wait. Every second machine is cut off
   or hangs, a running job of each team is cancelled, and the leader changes. If attempts that may
   still run were not counted, a team would exceed its quota; if they were counted for ever, the
   other jobs would wait for ever. */
static void
test_quotas_with_lost_machines_and_failover (void)
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
      guint affected = 0;
      for (guint i = 0; i < simulation->workers->len; i += 2)
        {
          Worker *worker = g_ptr_array_index (simulation->workers, i);
          gint64 until_us = simulation->clock->now_us + 25 * MH_SECOND_US;
          if (hangs)
            worker->machine->hung_until_us = until_us;
          else
            worker->cut_until_us = until_us;
          affected++;
        }
      g_assert_cmpuint (affected, >, 0);
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
  g_test_add_func ("/compound-failure/responses-in-quick-succession",
                   test_responses_in_quick_succession);
  g_test_add_func ("/compound-failure/command-of-former-leader", test_command_of_former_leader);
  g_test_add_func ("/compound-failure/cancelled-during-failover", test_cancelled_during_failover);
  g_test_add_func ("/compound-failure/responses-to-writes-lost", test_responses_to_writes_lost);
  g_test_add_func ("/compound-failure/fast-machines-slow-writes", test_fast_machines_slow_writes);
  g_test_add_func ("/compound-failure/late-heartbeats-during-election",
                   test_late_heartbeats_during_election);
  g_test_add_func ("/compound-failure/quotas-with-lost-machines-and-failover",
                   test_quotas_with_lost_machines_and_failover);
  simulation_test_add ("/compound-failure/many-small-jobs", 330, test_many_small_jobs);
  return g_test_run ();
}
