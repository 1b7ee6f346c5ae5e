/* The life of jobs: accepted, placed, written, answered, cancelled; large ones and odd ones. On a
   fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

static void
test_array (void)
{
  Sim *sim = sim_new (1);
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 10, 1), 3);
  MhUserAnswer a;
  WAIT (sim, 60, told_done, u);
  g_assert_cmpuint (u->job->n_done, ==, 10);
  /* For ever after, from every controller, also for a repeated submission. */
  sim_run (sim, 120);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_STATUS, "j-000001", NULL, &a), ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (
          sim_ask (sim, i, MH_USER_SUBMIT, "j-000001", sim_spec (1, MH_SHAPE_ARRAY, 10, 1), &a), ==,
          200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_CANCEL, "j-000001", NULL, &a), ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_STATUS, "j-777777", NULL, &a), ==, 404);
    }
  /* Nothing idle is kept, and nothing is left of the job but its final record. */
  guint live = 0;
  for (guint i = 0; i < sim->world->machines->len; i++)
    live += !((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->gone;
  g_assert_cmpuint (live, ==, 0);
  g_assert_null (g_tree_lookup (sim->world->keys, "j/j-000001"));
  g_assert_nonnull (g_tree_lookup (sim->world->keys, "f/j-000001"));
  finish (sim);
}

/* More tasks than one record holds: all of them are written, reloaded and dropped again. */
static void
test_chunks (void)
{
  Sim *sim = sim_new (2);
  sim->world->capacity = 6;
  MhJobSpec *s = sim_spec (1, MH_SHAPE_ARRAY, 200, 0.05);
  s->mem_gb = 0.1;
  s->estimated_run_us = 600 * MH_SECOND_US; /* so that none may wait for another */
  SimUser *u = sim_submit (sim, s, 30);
  WAIT (sim, 60, all_run, u);
  g_assert_nonnull (g_tree_lookup (sim->world->keys, "t/j-000001/00001"));
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 90, told_done, u);
  sim_run (sim, 10);
  g_assert_null (g_tree_lookup (sim->world->keys, "t/j-000001/00001"));
  g_assert_cmpuint (sim->world->starts, ==, 200);
  finish (sim);
}

static void
test_refusals (void)
{
  Sim *sim = sim_new (3);
  MhUserAnswer a;
  sim_run (sim, 5);
  MhJobSpec *s = sim_spec (1, MH_SHAPE_ARRAY, 1, 1);
  g_free (s->team);
  s->team = g_strdup ("nobody");
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000001", s, &a), ==, 422);
  s = sim_spec (2, MH_SHAPE_SERVICE, 17, 1); /* a service counts whole: 17 of 16 cpus */
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000002", s, &a), ==, 422);
  s = sim_spec (3, MH_SHAPE_ARRAY, 1, 1);
  s->zone = g_strdup ("nowhere");
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000003", s, &a), ==, 422);
  s = sim_spec (4, MH_SHAPE_ARRAY, 1, 1);
  s->mem_gb = 65;
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000004", s, &a), ==, 422);
  /* Thousands of types: none that exists can never run, and one is enough. Stored as they came they
     would not fit a value of the state service, which once ended each leadership in turn. */
  for (guint known = 0; known < 2; known++)
    {
      s = sim_spec (6 + known, MH_SHAPE_ARRAY, 1, 1);
      s->types = g_new0 (char *, 4001);
      for (guint i = 0; i < 4000; i++)
        s->types[i] = g_strdup (known && i == 3000 ? "large" : "no-such");
      if (known)
        world_job (sim->world, sim_spec (7, MH_SHAPE_ARRAY, 1, 1), MH_SECOND_US);
      g_autofree char *id = g_strdup (s->id);
      g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, id, s, &a), ==, known ? 201 : 422);
    }
  s = sim_spec (5, MH_SHAPE_ARRAY, 17, 1); /* an array counts by the task */
  world_job (sim->world, sim_spec (5, MH_SHAPE_ARRAY, 17, 1), MH_SECOND_US);
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000005", s, &a), ==, 201);
  finish (sim);
}

/* Types unknown: not decided yet, and nothing is held back. */
static void
test_types_unknown (void)
{
  Sim *sim = sim_new (4);
  MhUserAnswer a;
  sim->world->cloud_outage_until_us = G_MAXINT64;
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 2);
  g_assert_cmpuint (sim_ask (sim, sim_leader (sim)->index, MH_USER_SUBMIT, "j-000001",
                             sim_spec (1, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  g_assert_cmpuint (a.retry_after_s, >, 0);
  finish (sim);
}

/* A cancellation meets a start that is still in flight. */
static void
test_cancel_in_flight (void)
{
  Sim *sim = sim_new (9);
  running_service (sim, 1, 1);
  sim->hold_commands = true;
  SimUser *u = sim_submit (sim, sim_spec (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 10, accepted, u);
  sim_cancel (u);
  WAIT (sim, 10, told_cancelled, u);
  sim_run (sim, 1);
  sim_release_commands (sim);
  sim_run (sim, 60);
  g_assert_cmpuint (world_running (sim->world, "j-000003"), ==, 0);
  finish (sim);
}

/* A start that is not on record is not ordered. */
static void
test_start_waits_for_its_record (void)
{
  Sim *sim = sim_new (26);
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 30, accepted, u);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 15 * MH_SECOND_US;
  sim_run (sim, 14);
  g_assert_true (sim_leader (sim) == leader);
  g_assert_cmpuint (sim->world->starts, ==, 0);
  WAIT (sim, 10, all_run, u);
  finish (sim);
}

/* A result that is not on record is not cleared from its machine, and no cancellation is told. */
static void
test_result_waits_for_its_record (void)
{
  Sim *sim = sim_new (27);
  MhUserAnswer a;
  SimUser *service = running_service (sim, 1, 1);
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (sim, 30, all_run, u);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 12 * MH_SECOND_US;
  sim_run (sim, 6);
  sim_cancel (service);
  sim_run (sim, 4);
  g_assert_true (sim_leader (sim) == leader);
  g_assert_nonnull (worker_of (sim, "j-000004/0"));
  g_assert_nonnull (worker_of (sim, "j-000004/1"));
  g_assert_false (u->told_done || service->told_cancelled);
  sim_ask (sim, leader->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_cmpint (a.state, !=, MH_JOB_CANCELLED);
  WAIT (sim, 20, told_done, u);
  WAIT (sim, 20, told_cancelled, service);
  finish (sim);
}

/* A follower once woke every 10 ms, which on such a small share of a core is dear. */
static void
test_idle_followers_sleep (void)
{
  Sim *sim = sim_new (22);
  sim_run (sim, 10);
  const SimNode *leader = sim_leader (sim);
  for (guint i = 0; i < SIM_NODES; i++)
    if (&sim->nodes[i] != leader)
      {
        guint before = sim->nodes[i].wakes;
        sim_run (sim, 10);
        g_assert_cmpuint (sim->nodes[i].wakes - before, <, 60);
      }
  finish (sim);
}

/* Questions about jobs that only the state service remembers are answered while there is always
   more to write than the budget allows. */
static void
test_questions_beside_writes (void)
{
  Sim *sim = sim_new (34);
  MhUserAnswer a;
  for (guint i = 1; i <= 30; i++)
    sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 1, 0.2), 0.5);
  WAIT (sim, 90, sim_all_settled, NULL);
  /* New controllers have no answers in memory. */
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->state_write_rps = 1.5;
      sim_start_node (sim, i);
    }
  WAIT (sim, 10, has_leader, NULL);
  for (guint i = 101; i <= 120; i++)
    sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 4, 0.2), 1);
  WAIT (sim, 10, has_leader, NULL);
  sim_leader (sim)->writes_lost_us = sim->now_us + 60 * MH_SECOND_US; /* tried again and again */
  sim_run (sim, 5);
  for (guint i = 1; i <= 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("j-%06u", i);
      gint64 asked = sim->now_us;
      g_assert_cmpuint (sim_ask (sim, sim_leader (sim)->index, MH_USER_STATUS, id, NULL, &a), ==,
                        200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpint (sim->now_us - asked, <, 2 * MH_SECOND_US);
    }
  finish (sim);
}

/* A large job of the least rank begins within four minutes, though smaller ones of a higher rank
   keep coming and would take all there is. */
static void
test_large_job_begins (void)
{
  Sim *sim = sim_new (35);
  sim->world->capacity = 1;
  MhJobSpec *s = sim_spec (2, MH_SHAPE_ARRAY, 300, 10);
  s->priority = MH_PRIORITY_LOW;
  world_add_machine (sim->world, "large", "a", false);
  sim_run (sim, 10);
  for (guint i = 0; i < 8; i++)
    sim_submit (sim, sim_spec (101 + 2 * i, MH_SHAPE_ARRAY, 1, 2), 6);
  SimUser *large = sim_submit (sim, s, 5);
  gint64 from = sim->now_us;
  guint next = 201;
  while (large->job->n_done == 0 && sim->now_us - from < 240 * MH_SECOND_US)
    {
      /* One after the other, so that never enough for the large job's tasks is free at once. */
      sim_submit (sim, sim_spec (next, MH_SHAPE_ARRAY, 1, 2), 4 + next % 7 * 0.7);
      next++;
      sim_run (sim, 0.6);
    }
  g_assert_cmpuint (large->job->n_done, >, 0);
  finish (sim);
}

/* The largest job there may be is accepted, runs, and is reloaded; a cancellation ends it. */
static void
test_largest_job (void)
{
  Sim *sim = sim_new (42);
  MhJobSpec *s = sim_spec (2, MH_SHAPE_ARRAY, MH_MAX_TASKS, 1);
  s->estimated_run_us = 600 * MH_SECOND_US;
  SimUser *u = sim_submit (sim, s, 5);
  WAIT (sim, 10, accepted, u);
  sim_run (sim, 15);
  g_assert_cmpuint (world_running (sim->world, "j-000002"), >, 0);
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 15);
  g_assert_cmpuint (u->job->n_done, >, 0);
  sim_cancel (u);
  WAIT (sim, 10, told_cancelled, u);
  sim_run (sim, 60);
  g_assert_cmpuint (world_running (sim->world, "j-000002"), ==, 0);
  finish (sim);
}

/* Two thousand machines, all controllers crash, and everything is served; a machine is given back
   because it is idle, not because so many have not been heard from yet. */
static void
test_large_fleet (void)
{
  Sim *sim = sim_new (38);
  sim->world->capacity = 2100;
  for (guint i = 0; i < 2000; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  SimUser *u = running_service (sim, 1, 4);
  SimUser *arrays[6];
  for (guint i = 0; i < G_N_ELEMENTS (arrays); i++)
    arrays[i] = sim_submit (sim, sim_spec (10 + i, MH_SHAPE_ARRAY, 60, 0.25), 4);
  sim_run (sim, 3);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_run (sim, 0.5);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  for (guint i = 0; i < G_N_ELEMENTS (arrays); i++)
    WAIT (sim, 120, told_done, arrays[i]);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 4);
  g_assert_false (sim_logged (sim, "given back: silent"));
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/jobs/" name, (func))
  ADD ("array", test_array);
  ADD ("chunks", test_chunks);
  ADD ("refusals", test_refusals);
  ADD ("types-unknown", test_types_unknown);
  ADD ("cancel-in-flight", test_cancel_in_flight);
  ADD ("start-waits-for-its-record", test_start_waits_for_its_record);
  ADD ("result-waits-for-its-record", test_result_waits_for_its_record);
  ADD ("questions-beside-writes", test_questions_beside_writes);
  ADD ("large-job-begins", test_large_job_begins);
  ADD ("largest-job", test_largest_job);
  ADD ("idle-followers-sleep", test_idle_followers_sleep);
  ADD ("large-fleet", test_large_fleet);
  return g_test_run ();
}
