/* Status queries at a high rate: responses from memory need no read, queries about one job share
   their reads, and queries leave submissions the calls to the key-value store that they need. */
#include "steps.h"

#include <string.h>

#define UNKNOWN_JOB "j-999999"

/* Sixty status queries about one unknown job arrive within 1 ms. A read for each of them would use
   up all calls to the key-value store. */
static void
test_shared_reads (Simulation *simulation)
{
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  guint leader = simulation_leader (simulation)->index,
        before = simulation->store->final_record_reads;
  MhUserResponse responses[60] = {};
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      simulation_send_request (simulation, leader, MH_USER_STATUS, UNKNOWN_JOB, NULL,
                               &responses[i]);
      if (i == 40)
        simulation_run (simulation, 0.001);
    }
  simulation_run (simulation, 2);
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    g_assert_cmpuint (responses[i].status, ==, 404);
  g_assert_cmpuint (simulation->store->final_record_reads - before, <=, 2);
}

/* A read that began before a query arrived may return an older state than its user has already
   received, so that the query needs a new read. */
static void
test_shared_read_is_not_stale (Simulation *simulation)
{
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  ControllerNode *leader = simulation_leader (simulation);
  MhUserResponse before = {}, after = {};
  guint reads = simulation->store->final_record_reads;
  simulation_send_request (simulation, leader->index, MH_USER_STATUS, UNKNOWN_JOB, NULL, &before);
  simulation_send_request (simulation, leader->index, MH_USER_STATUS, UNKNOWN_JOB, NULL, &after);
  simulation_run (simulation, 2);
  g_assert_cmpuint (before.status, ==, 404);
  g_assert_cmpuint (after.status, ==, 404);
  g_assert_cmpuint (simulation->store->final_record_reads - reads, ==, 2);
}

/* A follower caches the final responses that it forwards, and gives them without the leader and the
   key-value store. Otherwise an outage of both would hide states that users have already seen. */
static void
test_follower_caches_final_response (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (simulation, 60, is_reported_done, user);
  guint leader = simulation_leader (simulation)->index, follower = (leader + 1) % SIMULATION_NODES;
  MhUserResponse response;
  g_assert_cmpuint (simulation_request_and_wait (simulation, follower, MH_USER_STATUS, "j-000001",
                                                 NULL, &response),
                    ==, 200);
  simulation_stop_node (simulation, leader);
  simulation->store->outage_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  simulation_run (simulation, 5);
  g_assert_cmpuint (simulation_request_and_wait (simulation, follower, MH_USER_STATUS, "j-000001",
                                                 NULL, &response),
                    ==, 200);
  g_assert_cmpint (response.state, ==, MH_JOB_DONE);
  /* Other responses are not cached. */
  g_assert_cmpuint (simulation_request_and_wait (simulation, follower, MH_USER_STATUS, UNKNOWN_JOB,
                                                 NULL, &response),
                    ==, 503);
  simulation_start_node (simulation, leader);
  simulation_run (simulation, 30);
}

/* More status queries than the key-value store can serve would take all its calls from submissions.
   The excess ones are answered at once with 503 and Retry-After. */
static void
test_excess_queries_rejected (Simulation *simulation)
{
  User *first = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, first);
  guint leader = simulation_leader (simulation)->index;
  static MhUserResponse responses[900];
  memset (responses, 0, sizeof responses);
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      g_autofree char *job = g_strdup_printf ("j-%06u", 500000 + i);
      simulation_send_request (simulation, leader, MH_USER_STATUS, job, NULL, &responses[i]);
    }
  guint rejected = 0;
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    rejected += responses[i].status == 503 && responses[i].retry_after_s > 0;
  g_assert_cmpuint (rejected, >=, 600);
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 0.5, is_accepted, user);
  simulation_run (simulation, 2);
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    g_assert_true (responses[i].status == 404 || responses[i].status == 503);
  WAIT (simulation, 60, is_reported_done, user);
}

/* While the machine types are unknown, each submission is looked up, and users repeat them all.
   Without a limit, these reads would take the calls of the records. */
static void
test_excess_undecided_submissions_rejected (Simulation *simulation)
{
  User *service = start_service (simulation, 1, 1);
  simulation->cloud->outage_until_us = G_MAXINT64;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_restart_node (simulation, i, CONTROLLER_CURRENT, 0);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 10);
  guint leader = simulation_leader (simulation)->index;
  static MhUserResponse responses[900];
  memset (responses, 0, sizeof responses);
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      MhJobSpec *spec = job_spec_new (500000 + i, MH_SHAPE_ARRAY, 1, 1);
      simulation_send_request (simulation, leader, MH_USER_SUBMIT, spec->id, spec, &responses[i]);
    }
  guint rejected = 0;
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    rejected += responses[i].status == 503 && responses[i].retry_after_s > 0;
  g_assert_cmpuint (rejected, >=, 600);
  user_cancel (service);
  WAIT (simulation, 2, is_reported_cancelled, service);
  for (guint i = 0; i < G_N_ELEMENTS (responses); i++)
    g_assert_cmpuint (responses[i].status, ==, 503);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/job-status/shared-reads", 51, test_shared_reads);
  simulation_test_add ("/job-status/shared-read-is-not-stale", 52, test_shared_read_is_not_stale);
  simulation_test_add ("/job-status/follower-caches-final-response", 53,
                       test_follower_caches_final_response);
  simulation_test_add ("/job-status/excess-queries-rejected", 54, test_excess_queries_rejected);
  simulation_test_add ("/job-status/excess-undecided-submissions-rejected", 55,
                       test_excess_undecided_submissions_rejected);
  return g_test_run ();
}
