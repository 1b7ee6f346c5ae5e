/* Users who ask many times as often: what a node knows costs no read, reads are shared, and
   questions take nothing from submissions. */
#include "steps.h"

#include <string.h>

#define UNKNOWN_JOB "j-999999"

/* Sixty users ask about one job that nobody has submitted, at the same moment and a little later: a
   read for each would take all calls to the key-value store. */
static void
test_questions_share_reads (Simulation *simulation)
{
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  guint leader = simulation_leader (simulation)->index,
        before = simulation->store->final_record_reads;
  MhUserAnswer answers[60] = {};
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      simulation_send_request (simulation, leader, MH_USER_STATUS, UNKNOWN_JOB, NULL, &answers[i]);
      if (i == 40)
        simulation_run (simulation, 0.001);
    }
  simulation_run (simulation, 2);
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    g_assert_cmpuint (answers[i].status, ==, 404);
  g_assert_cmpuint (simulation->store->final_record_reads - before, <=, 2);
}

/* An answer that was read before a question came may be older than what its user has been told: the
   question gets a read of its own. */
static void
test_shared_read_is_not_older (Simulation *simulation)
{
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  ControllerNode *leader = simulation_leader (simulation);
  MhUserAnswer before = {}, after = {};
  guint reads = simulation->store->final_record_reads;
  simulation_send_request (simulation, leader->index, MH_USER_STATUS, UNKNOWN_JOB, NULL, &before);
  simulation_send_request (simulation, leader->index, MH_USER_STATUS, UNKNOWN_JOB, NULL, &after);
  simulation_run (simulation, 2);
  g_assert_cmpuint (before.status, ==, 404);
  g_assert_cmpuint (after.status, ==, 404);
  g_assert_cmpuint (simulation->store->final_record_reads - reads, ==, 2);
}

/* A follower that has passed on a final answer gives it without the leader and the key-value store;
   else an outage of both would leave users without what was already told. */
static void
test_follower_remembers_final (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (simulation, 60, is_reported_done, user);
  guint leader = simulation_leader (simulation)->index, follower = (leader + 1) % SIMULATION_NODES;
  MhUserAnswer answer;
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, follower, MH_USER_STATUS, "j-000001", NULL, &answer),
      ==, 200);
  simulation_stop_node (simulation, leader);
  simulation->store->outage_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  simulation_run (simulation, 5);
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, follower, MH_USER_STATUS, "j-000001", NULL, &answer),
      ==, 200);
  g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
  /* What is not final is not remembered. */
  g_assert_cmpuint (simulation_request_and_wait (simulation, follower, MH_USER_STATUS, UNKNOWN_JOB,
                                                 NULL, &answer),
                    ==, 503);
  simulation_start_node (simulation, leader);
  simulation_run (simulation, 30);
}

/* More questions than the key-value store can answer would take all its calls from submissions: the
   rest is told at once to come again. */
static void
test_questions_beyond_their_share (Simulation *simulation)
{
  User *first = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, first);
  guint leader = simulation_leader (simulation)->index;
  static MhUserAnswer answers[900];
  memset (answers, 0, sizeof answers);
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_autofree char *job = g_strdup_printf ("j-%06u", 500000 + i);
      simulation_send_request (simulation, leader, MH_USER_STATUS, job, NULL, &answers[i]);
    }
  guint refused = 0;
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    refused += answers[i].status == 503 && answers[i].retry_after_s > 0;
  g_assert_cmpuint (refused, >=, 600);
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 0.5, is_accepted, user);
  simulation_run (simulation, 2);
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    g_assert_true (answers[i].status == 404 || answers[i].status == 503);
  WAIT (simulation, 60, is_reported_done, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/job-status/share-reads", 51, test_questions_share_reads);
  simulation_test_add ("/job-status/shared-read-is-not-older", 52, test_shared_read_is_not_older);
  simulation_test_add ("/job-status/follower-remembers-final", 53, test_follower_remembers_final);
  simulation_test_add ("/job-status/beyond-their-share", 54, test_questions_beyond_their_share);
  return g_test_run ();
}
