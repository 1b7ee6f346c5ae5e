/* Transactions, reports and requests that come late, twice or malformed, and records that are not
   understood or have to be re-chunked. docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* A part of the transactions gets no answer and is carried out after newer ones of the same
   controller, while jobs come and end and leaders change. */
static void
test_late_writes (void)
{
  for (guint seed = 65; seed < 75; seed++)
    {
      Sim *sim = sim_new (seed);
      sim->late_writes = 0.3;
      for (guint i = 1; i <= 8; i++)
        {
          SimUser *u = sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 3, 1), 3);
          sim_run (sim, 4);
          if (i % 4 == 0)
            sim_cancel (u);
          SimNode *leader = i % 3 == 0 ? sim_leader (sim) : NULL;
          if (leader)
            {
              sim_stop_node (sim, leader->index);
              sim_run (sim, 0.3);
              sim_start_node (sim, leader->index);
            }
        }
      sim_run (sim, 30);
      sim->late_writes = 0;
      wait_all (sim, 200);
      g_assert_false (sim_logged (sim, "cannot be accounted for"));
      finish (sim);
    }
}

/* A submission that is repeated long after its job was over meets the final record in a transaction
   of which a copy is on its way. It was never carried out, and the leader goes on. */
static void
test_late_write_meets_a_final_record (void)
{
  Sim *sim = sim_new (75);
  MhUserAnswer a;
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, u);
  sim_run (sim, 5);
  sim_stop_node (sim, sim_leader (sim)->index); /* the next one knows it from the record alone */
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 3);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + MH_SECOND_US * 3 / 2; /* the first copy gets no answer */
  for (guint i = 0; i < 3; i++)
    if (sim_ask (sim, leader->index, MH_USER_SUBMIT, "j-000001", sim_spec (1, MH_SHAPE_ARRAY, 1, 1),
                 &a)
        != 503)
      break;
  g_assert_cmpint (a.state, ==, MH_JOB_DONE);
  g_assert_true (sim_leader (sim) == leader);
  g_assert_false (sim_logged (sim, "cannot be accounted for"));
  finish (sim);
}

/* The same, and while its write waits the user asks, and submits once more: what the question found
   in the final record holds. The second submission once was answered as a job that waits. */
static void
test_question_between_repeated_submissions (void)
{
  Sim *sim = sim_new (86);
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, u);
  sim_run (sim, 5);
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 3);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 4 * MH_SECOND_US;
  const MhUserVerb verbs[] = { MH_USER_SUBMIT, MH_USER_STATUS, MH_USER_SUBMIT };
  MhUserAnswer answers[G_N_ELEMENTS (verbs)] = {};
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      sim_ask_later (sim, leader->index, verbs[i], "j-000001",
                     verbs[i] == MH_USER_SUBMIT ? sim_spec (1, MH_SHAPE_ARRAY, 1, 1) : NULL,
                     &answers[i]);
      sim_run (sim, 0.3);
    }
  sim_run (sim, 8);
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    g_assert_true (answers[i].status == 200 && answers[i].state == MH_JOB_DONE);
  finish (sim);
}

/* A report of an earlier session comes after one of the next: what it shows is not there. */
static void
test_report_of_an_earlier_session (void)
{
  Sim *sim = sim_new (77);
  SimUser *u = running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  w->machine->sequence += 100; /* the next session counts from the beginning */
  g_autoptr (MhValue) old = world_report (sim->world, w->machine);
  w->reports_lost_us = sim->now_us + 22 * MH_SECOND_US; /* its lease ends */
  sim_run (sim, 24);
  WAIT (sim, 30, all_run, u);
  guint starts = sim->world->starts;
  for (guint i = 0; i < 3; i++)
    {
      sim_late_report (sim, sim_leader (sim), old);
      sim_run (sim, 6);
    }
  g_assert_cmpuint (sim->world->starts, ==, starts);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 1);
  finish (sim);
}

/* A cancellation, a question and a repeated submission at the very end of a job's last task. */
static void
test_cancel_at_the_end (void)
{
  Sim *sim = sim_new (79);
  sim->cancel_at_end = 1;
  sim->copies = 0.2;
  for (guint i = 1; i <= 30; i++)
    {
      sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 1 + i % 3, 1), 1 + i % 4);
      sim_run (sim, 1);
    }
  sim->copies = 0;
  wait_all (sim, 200);
  finish (sim);
}

/* A report is held back until a new leader has acted, and then arrives there: the start that it
   does not show was sent by the new leader meanwhile. */
static void
test_report_held_until_a_new_leader_acted (void)
{
  Sim *sim = sim_new (81);
  running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  sim_run (sim, 8);
  g_autoptr (MhValue) held = world_report (sim->world, w->machine);
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 20, all_run, u);
  sim_run (sim, 1);
  for (guint i = 0; i < 3; i++)
    {
      sim_late_report (sim, sim_leader (sim), held);
      sim_run (sim, 4);
    }
  g_assert_cmpuint (sim->world->starts, ==, 2);
  finish (sim);
}

/* Repeated submissions of what is not over, cancels of what is done, and jobs that can't run: each
   is answered as the page says, also while no controller leads. */
static void
test_odd_requests (void)
{
  Sim *sim = sim_new (84);
  MhUserAnswer a;
  SimUser *u = running_service (sim, 1, 1), *done;
  done = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, done);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      g_assert_cmpuint (
          sim_ask (sim, i, MH_USER_SUBMIT, "j-000001", sim_spec (1, MH_SHAPE_SERVICE, 1, 1), &a),
          ==, 200);
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_CANCEL, "j-000002", NULL, &a), ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
    }
  /* Two of three nodes end, the leader among them, and the third cannot be elected: what can be
     told from the settings and the records is told, the rest is not. */
  SimNode *last = &sim->nodes[(sim_leader (sim)->index + 1) % SIM_NODES];
  last->writes_lost_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != last->index)
      sim_stop_node (sim, i);
  sim_run (sim, 3);
  g_assert_null (sim_leader (sim));
  MhJobSpec *s = sim_spec (5, MH_SHAPE_ARRAY, 1, 1);
  g_free (s->team);
  s->team = g_strdup ("nobody");
  g_assert_cmpuint (sim_ask (sim, last->index, MH_USER_SUBMIT, "j-000005", s, &a), ==, 422);
  g_assert_cmpuint (sim_ask (sim, last->index, MH_USER_SUBMIT, "j-000007",
                             sim_spec (7, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  sim_run (sim, 10);
  g_assert_false (u->told_done || u->told_cancelled);
  finish (sim);
}

/* A record that is not understood, as another version may write it: its job is neither unknown nor
   free to start, and what runs of it is left alone. */
static void
test_record_not_understood (void)
{
  Sim *sim = sim_new (85);
  MhUserAnswer a;
  running_service (sim, 1, 1);
  sim_run (sim, 10);
  guint leader = sim_leader (sim)->index;
  sim_stop_node (sim, leader);
  world_spoil (sim->world, "j/j-000001");
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 90);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 1);
  g_assert_cmpuint (sim->world->starts, ==, 1);
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != leader)
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_STATUS, "j-000001", NULL, &a), ==, 503);
  finish (sim);
}

/* Jobs written in large records go on under limits that take only small ones: they are
   re-chunked, also when leaders end in the midst of it, and nothing runs again or is lost. */
static void
test_rechunked (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Sim *sim = sim_new (90 + step);
      sim->world->capacity = 6;
      MhJobSpec *s = sim_spec (1, MH_SHAPE_ARRAY, 320, 0.04);
      s->mem_gb = 0.1;
      s->estimated_run_us = 600 * MH_SECOND_US;
      SimUser *u = sim_submit (sim, s, 40);
      WAIT (sim, 60, all_run, u);
      SimUser *cancelled = running_service (sim, 3, 2);
      sim_limit (sim, 2048, 5);
      sim_run (sim, 1 + 0.1 * step);
      if (step)
        sim_stop_node (sim, sim_leader (sim) ? sim_leader (sim)->index : 0);
      sim_cancel (cancelled);
      sim_run (sim, 0.7 * step);
      for (guint i = 0; i < SIM_NODES; i++)
        sim_start_node (sim, i);
      WAIT (sim, 10, told_cancelled, cancelled);
      WAIT (sim, 120, told_done, u);
      g_assert_true (sim_logged (sim, "re-chunked into"));
      g_assert_false (sim_logged (sim, "refused by the state service"));
      g_assert_cmpuint (sim->world->writes_malformed, ==, 0);
      g_assert_cmpuint (sim->world->starts, ==, 322);
      sim_run (sim, 15);
      g_assert_null (g_tree_lookup (sim->world->keys, "t/j-000001/00001"));
      finish (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/late-messages/" name, (func))
  ADD ("late-writes", test_late_writes);
  ADD ("late-write-meets-a-final-record", test_late_write_meets_a_final_record);
  ADD ("question-between-repeated-submissions", test_question_between_repeated_submissions);
  ADD ("report-of-an-earlier-session", test_report_of_an_earlier_session);
  ADD ("cancel-at-the-end", test_cancel_at_the_end);
  ADD ("report-held-until-a-new-leader-acted", test_report_held_until_a_new_leader_acted);
  ADD ("odd-requests", test_odd_requests);
  ADD ("record-not-understood", test_record_not_understood);
  ADD ("rechunked", test_rechunked);
  return g_test_run ();
}
