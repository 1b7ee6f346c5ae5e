/* The limits of the state service, which change while the service runs: announced (`state.next`) or
   not. */
#include "steps.h"

#include <string.h>

#define NEXT_WRITE_RPS 6.0

static void
announce_write_rps (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS;
      sim_start_node (sim, i);
    }
}

static SimUser *
submit_array (Sim *sim, guint number, guint tasks)
{
  MhJobSpec *spec = sim_spec (number, MH_SHAPE_ARRAY, tasks, 0.2);
  spec->mem_gb = 0.1;
  return sim_submit (sim, spec, 4);
}

static void
submit_many (Sim *sim, guint first, guint count)
{
  for (guint i = 0; i < count; i++)
    submit_array (sim, first + i, 3);
}

static bool
refused (Sim *sim, gpointer unused)
{
  (void)unused;
  return sim->world->writes_refused > 0;
}

/* The announced rate holds, and the leader has met it. */
static Sim *
sim_after_rate_fell (guint32 seed)
{
  Sim *sim = sim_new (seed);
  announce_write_rps (sim);
  WAIT (sim, 20, has_leader, NULL);
  sim->world->write_rps = NEXT_WRITE_RPS;
  submit_many (sim, 1, 20);
  WAIT (sim, 30, refused, NULL);
  sim_run (sim, 20);
  return sim;
}

/* The rate falls without notice: the first refusal teaches it, for good, and no later leader has to
   be refused, whichever process it is. */
static void
test_rate_for_good (void)
{
  Sim *sim = sim_after_rate_fell (1);
  guint first_leader = sim->world->writes_refused;
  g_assert_cmpuint (first_leader, <=, 6); /* those that were under way together */
  g_assert_true (sim_logged (sim, "takes fewer changes"));
  g_assert_nonnull (g_tree_lookup (sim->world->keys, "limits"));

  for (guint i = 0; i < SIM_NODES; i++)
    {
      guint leader = sim_leader (sim)->index;
      sim_stop_node (sim, leader);
      submit_many (sim, 100 * (i + 1), 10);
      WAIT (sim, 20, has_leader, NULL);
      sim_run (sim, 5);
      sim_start_node (sim, leader);
      sim_run (sim, 10);
    }
  g_assert_cmpuint (sim->world->writes_refused, ==, first_leader);
  WAIT (sim, 400, sim_all_settled, NULL);
  finish (sim);
}

/* Without an announcement a refusal is no more than that: the rate stays. */
static void
test_rate_not_announced (void)
{
  Sim *sim = sim_new (2);
  WAIT (sim, 20, has_leader, NULL);
  sim->world->write_rps = 18; /* more than a transaction has */
  submit_many (sim, 1, 40);
  WAIT (sim, 30, refused, NULL);
  WAIT (sim, 300, sim_all_settled, NULL);
  g_assert_false (sim_logged (sim, "takes fewer changes"));
  g_assert_null (g_tree_lookup (sim->world->keys, "limits"));
  finish (sim);
}

/* Settings of later: the limits that were announced are the present ones, and others come next. */
static void
test_rate_of_earlier_settings (void)
{
  Sim *sim = sim_after_rate_fell (3);
  sim->world->write_rps = 0;
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS / 2;
    }
  g_ptr_array_set_size (sim->log, 0);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  sim_run (sim, 20);
  g_assert_false (sim_logged (sim, "takes fewer changes"));
  WAIT (sim, 300, sim_all_settled, NULL);
  finish (sim);
}

/* Values and transactions become smaller, and nobody has said so: what does not fit is refused, but
   neither ends the leadership nor is sent again and again, and all else goes on. */
static void
test_refused_as_malformed (void)
{
  Sim *sim = sim_new (4);
  MhJobSpec *spec = sim_spec (1, MH_SHAPE_ARRAY, 150, 0.05);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US;
  SimUser *large = sim_submit (sim, spec, 40);
  WAIT (sim, 60, all_run, large);
  SimUser *service = running_service (sim, 2, 2);
  guint leader = sim_leader (sim)->index;
  g_ptr_array_set_size (sim->log, 0);
  sim->settings->value_bytes = 1600;
  sim->settings->txn_ops = 5;

  submit_many (sim, 10, 20);
  WAIT (sim, 120, all_done, large);
  sim_run (sim, 60);
  g_assert_cmpuint (sim_leader (sim)->index, ==, leader);
  g_assert_false (sim_logged (sim, "no longer leading"));
  g_assert_true (sim_logged (sim, "refused by the state service"));
  g_assert_cmpuint (sim->world->writes_malformed, <, 30);
  g_assert_cmpuint (world_running (sim->world, service->job->spec->id), ==, 2);
  /* Its end is a small record. */
  WAIT (sim, 60, told_done, large);
  WAIT (sim, 60, sim_all_settled, NULL);
  finish (sim);
}

/* A submission that no value can hold is not accepted, and nothing is left of it. */
static void
test_submission_too_large (void)
{
  Sim *sim = sim_new (5);
  MhUserAnswer answer;
  WAIT (sim, 20, has_leader, NULL);
  sim_run (sim, 5);
  sim->settings->value_bytes = 300;
  g_autoptr (MhJobSpec) spec = sim_spec (1, MH_SHAPE_ARRAY, 3, 1);
  MhValue *copy = mh_submission_encode (spec);
  guint status = sim_ask (sim, sim_leader (sim)->index, MH_USER_SUBMIT, spec->id,
                          mh_submission_decode (copy, NULL), &answer);
  mh_value_unref (copy);
  g_assert_cmpuint (status, ==, 503);
  g_assert_cmpuint (answer.retry_after_s, >=, 10);
  g_assert_false (sim_logged (sim, "no longer leading"));
  g_assert_cmpuint (sim_ask (sim, sim_leader (sim)->index, MH_USER_STATUS, spec->id, NULL, &answer),
                    ==, 404);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limits/rate-for-good", test_rate_for_good);
  g_test_add_func ("/limits/rate-not-announced", test_rate_not_announced);
  g_test_add_func ("/limits/rate-of-earlier-settings", test_rate_of_earlier_settings);
  g_test_add_func ("/limits/refused-as-malformed", test_refused_as_malformed);
  g_test_add_func ("/limits/submission-too-large", test_submission_too_large);
  return g_test_run ();
}
