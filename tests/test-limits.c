/* Limits of the key-value store that change while it runs, with or without an announcement in the
   settings (`state.next`). */
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
submit_arrays (Simulation *simulation, guint first, guint count)
{
  for (guint i = 0; i < count; i++)
    submit_array (simulation, first + i, 3);
}

static bool
write_was_throttled (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->store->throttled_writes > 0;
}

/* The simulation in which the announced rate applies and has already throttled the leader. */
static Simulation *
simulation_with_lowered_rate (guint32 seed)
{
  Simulation *simulation = simulation_new (seed);
  announce_write_rps (simulation);
  WAIT (simulation, 20, has_leader, NULL);
  simulation->store->write_rps = NEXT_WRITE_RPS;
  submit_arrays (simulation, 1, 20);
  WAIT (simulation, 30, write_was_throttled, NULL);
  simulation_run (simulation, 20);
  return simulation;
}

/* The rate falls to the announced one at a time that the controllers do not know. The leader learns
   it from the first throttled write and records it; otherwise this leader and each later one would
   be throttled again and again. */
static void
test_lowered_rate_is_kept (void)
{
  Simulation *simulation = simulation_with_lowered_rate (1);
  guint throttled_at_first = simulation->store->throttled_writes;
  g_assert_cmpuint (throttled_at_first, <=, 6); /* the writes that were in flight together */
  g_assert_true (simulation_has_logged (simulation, "lowering rate of changes to key-value store"));
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "limits"));

  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      guint leader = simulation_leader (simulation)->index;
      simulation_stop_node (simulation, leader);
      submit_arrays (simulation, 100 * (i + 1), 10);
      WAIT (simulation, 20, has_leader, NULL);
      simulation_run (simulation, 5);
      simulation_start_node (simulation, leader);
      simulation_run (simulation, 10);
    }
  g_assert_cmpuint (simulation->store->throttled_writes, ==, throttled_at_first);
  WAIT (simulation, 400, simulation_all_settled, NULL);
  simulation_check_and_free (simulation);
}

/* Without an announced rate, a throttled write does not lower the controller's own rate: lowering
   it each time would slow down all writes for no reason. */
static void
test_unannounced_rate (Simulation *simulation)
{
  WAIT (simulation, 20, has_leader, NULL);
  simulation->store->write_rps = 18; /* more changes than one transaction has */
  submit_arrays (simulation, 1, 40);
  WAIT (simulation, 30, write_was_throttled, NULL);
  WAIT (simulation, 300, simulation_all_settled, NULL);
  g_assert_false (
      simulation_has_logged (simulation, "lowering rate of changes to key-value store"));
  g_assert_null (g_tree_lookup (simulation->store->keys, "limits"));
}

/* Recorded limits that were announced by earlier settings must not apply under later settings: they
   would hold down a rate that has been raised since. */
static void
test_rate_of_earlier_settings (void)
{
  Simulation *simulation = simulation_with_lowered_rate (3);
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
  g_assert_false (
      simulation_has_logged (simulation, "lowering rate of changes to key-value store"));
  WAIT (simulation, 300, simulation_all_settled, NULL);
  simulation_check_and_free (simulation);
}

/* The key-value store lowers its limits on values and transactions without an announcement. Writes
   that no longer fit must neither end leaderships nor be sent again and again, which would delay
   all other writes. */
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

  submit_arrays (simulation, 10, 20);
  WAIT (simulation, 120, all_tasks_done, large);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_leader (simulation)->index, ==, leader);
  g_assert_false (simulation_has_logged (simulation, "no longer leading"));
  g_assert_true (simulation_has_logged (simulation, "refused by the key-value store"));
  g_assert_cmpuint (simulation->store->malformed_writes, <, 30);
  g_assert_cmpuint (simulation_running_tasks (simulation, service->job->spec->id), ==, 2);
  /* The final record is small enough again. */
  WAIT (simulation, 60, is_reported_done, large);
  WAIT (simulation, 60, simulation_all_settled, NULL);
}

/* A submission that is larger than any value may be must not be answered as accepted and then be
   lost, nor leave records behind. */
static void
test_submission_too_large (Simulation *simulation)
{
  MhUserResponse response;
  WAIT (simulation, 20, has_leader, NULL);
  simulation_run (simulation, 5);
  simulation->settings->value_bytes = 300;
  g_autoptr (MhJobSpec) spec = job_spec_new (1, MH_SHAPE_ARRAY, 3, 1);
  MhValue *copy = mh_submission_encode (spec);
  guint status = simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                              MH_USER_SUBMIT, spec->id,
                                              mh_submission_decode (copy, NULL), &response);
  mh_value_unref (copy);
  g_assert_cmpuint (status, ==, 503);
  g_assert_cmpuint (response.retry_after_s, >=, 10);
  g_assert_false (simulation_has_logged (simulation, "no longer leading"));
  g_assert_cmpuint (simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                                 MH_USER_STATUS, spec->id, NULL, &response),
                    ==, 404);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/key-value-store-limits/lowered-rate-is-kept", test_lowered_rate_is_kept);
  g_test_add_func ("/key-value-store-limits/rate-of-earlier-settings",
                   test_rate_of_earlier_settings);
  simulation_test_add ("/key-value-store-limits/unannounced-rate", 2, test_unannounced_rate);
  simulation_test_add ("/key-value-store-limits/refused-as-malformed", 4,
                       test_refused_as_malformed);
  simulation_test_add ("/key-value-store-limits/submission-too-large", 5,
                       test_submission_too_large);
  return g_test_run ();
}
