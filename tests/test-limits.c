/* The limits of the state service, which change while the service runs: announced (`state.next`) or
   not. */
#include "steps.h"

#include <string.h>

#define NEXT_WRITE_RPS 6.0

static void
announce_write_rps (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS;
      simulation_start_node (simulation, i);
    }
}

static User *
submit_array (Simulation *simulation, guint number, guint tasks)
{
  MhJobSpec *spec = job_spec_new (number, MH_SHAPE_ARRAY, tasks, 0.2);
  spec->mem_gb = 0.1;
  return simulation_submit (simulation, spec, 4);
}

static void
submit_many (Simulation *simulation, guint first, guint count)
{
  for (guint i = 0; i < count; i++)
    submit_array (simulation, first + i, 3);
}

static bool
refused (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->store->throttled_writes > 0;
}

/* The announced rate holds, and the leader has met it. */
static Simulation *
simulation_after_rate_fell (guint32 seed)
{
  Simulation *simulation = simulation_new (seed);
  announce_write_rps (simulation);
  WAIT (simulation, 20, has_leader, NULL);
  simulation->store->write_rps = NEXT_WRITE_RPS;
  submit_many (simulation, 1, 20);
  WAIT (simulation, 30, refused, NULL);
  simulation_run (simulation, 20);
  return simulation;
}

/* The rate falls without notice: a leader that did not learn it from the first refusal, for good,
   would be refused again and again, and so would each later one. */
static void
test_rate_for_good (void)
{
  Simulation *simulation = simulation_after_rate_fell (1);
  guint first_leader = simulation->store->throttled_writes;
  g_assert_cmpuint (first_leader, <=, 6); /* those that were under way together */
  g_assert_true (simulation_has_logged (simulation, "takes fewer changes"));
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "limits"));

  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      guint leader = simulation_leader (simulation)->index;
      simulation_stop_node (simulation, leader);
      submit_many (simulation, 100 * (i + 1), 10);
      WAIT (simulation, 20, has_leader, NULL);
      simulation_run (simulation, 5);
      simulation_start_node (simulation, leader);
      simulation_run (simulation, 10);
    }
  g_assert_cmpuint (simulation->store->throttled_writes, ==, first_leader);
  WAIT (simulation, 400, simulation_all_settled, NULL);
  simulation_check_and_free (simulation);
}

/* Without an announcement a refusal is no more than that: a rate that fell with every refusal would
   slow all writes for nothing. */
static void
test_rate_not_announced (Simulation *simulation)
{
  WAIT (simulation, 20, has_leader, NULL);
  simulation->store->write_rps = 18; /* more than a transaction has */
  submit_many (simulation, 1, 40);
  WAIT (simulation, 30, refused, NULL);
  WAIT (simulation, 300, simulation_all_settled, NULL);
  g_assert_false (simulation_has_logged (simulation, "takes fewer changes"));
  g_assert_null (g_tree_lookup (simulation->store->keys, "limits"));
}

/* Settings of later: limits on record that were announced earlier would hold down a rate that has
   been raised since. */
static void
test_rate_of_earlier_settings (void)
{
  Simulation *simulation = simulation_after_rate_fell (3);
  simulation->store->write_rps = 0;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS / 2;
    }
  g_ptr_array_set_size (simulation->log_lines, 0);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  simulation_run (simulation, 20);
  g_assert_false (simulation_has_logged (simulation, "takes fewer changes"));
  WAIT (simulation, 300, simulation_all_settled, NULL);
  simulation_check_and_free (simulation);
}

/* Values and transactions become smaller, and nobody has said so. What does not fit would end every
   leadership, or be sent again and again, and hold up all else. */
static void
test_refused_as_malformed (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 150, 0.05);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US;
  User *large = simulation_submit (simulation, spec, 40);
  WAIT (simulation, 60, all_tasks_running, large);
  User *service = start_service (simulation, 2, 2);
  guint leader = simulation_leader (simulation)->index;
  g_ptr_array_set_size (simulation->log_lines, 0);
  simulation->settings->value_bytes = 1600;
  simulation->settings->txn_ops = 5;

  submit_many (simulation, 10, 20);
  WAIT (simulation, 120, all_tasks_done, large);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_leader (simulation)->index, ==, leader);
  g_assert_false (simulation_has_logged (simulation, "no longer leading"));
  g_assert_true (simulation_has_logged (simulation, "refused by the key-value store"));
  g_assert_cmpuint (simulation->store->malformed_writes, <, 30);
  g_assert_cmpuint (simulation_running_tasks (simulation, service->job->spec->id), ==, 2);
  /* Its end is a small record. */
  WAIT (simulation, 60, is_reported_done, large);
  WAIT (simulation, 60, simulation_all_settled, NULL);
}

/* A submission that no value can hold would be told as accepted and be lost, or leave records
   behind. */
static void
test_submission_too_large (Simulation *simulation)
{
  MhUserAnswer answer;
  WAIT (simulation, 20, has_leader, NULL);
  simulation_run (simulation, 5);
  simulation->settings->value_bytes = 300;
  g_autoptr (MhJobSpec) spec = job_spec_new (1, MH_SHAPE_ARRAY, 3, 1);
  MhValue *copy = mh_submission_encode (spec);
  guint status = simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                              MH_USER_SUBMIT, spec->id,
                                              mh_submission_decode (copy, NULL), &answer);
  mh_value_unref (copy);
  g_assert_cmpuint (status, ==, 503);
  g_assert_cmpuint (answer.retry_after_s, >=, 10);
  g_assert_false (simulation_has_logged (simulation, "no longer leading"));
  g_assert_cmpuint (simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                                 MH_USER_STATUS, spec->id, NULL, &answer),
                    ==, 404);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/key-value-store-limits/rate-for-good", test_rate_for_good);
  g_test_add_func ("/key-value-store-limits/rate-of-earlier-settings",
                   test_rate_of_earlier_settings);
  simulation_test_add ("/key-value-store-limits/rate-not-announced", 2, test_rate_not_announced);
  simulation_test_add ("/key-value-store-limits/refused-as-malformed", 4,
                       test_refused_as_malformed);
  simulation_test_add ("/key-value-store-limits/submission-too-large", 5,
                       test_submission_too_large);
  return g_test_run ();
}
