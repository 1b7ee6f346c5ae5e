/* The life of jobs: accepted, placed, written, answered, cancelled; large ones and odd ones. On a
   fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

static void
test_array (void)
{
  Simulation *simulation = simulation_new (1);
  User *u = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 10, 1), 3);
  MhUserAnswer a;
  WAIT (simulation, 60, told_done, u);
  g_assert_cmpuint (u->job->done_count, ==, 10);
  /* For ever after, from every controller, also for a repeated submission. */
  simulation_run (simulation, 120);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      g_assert_cmpuint (simulation_ask (simulation, i, MH_USER_STATUS, "j-000001", NULL, &a), ==,
                        200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (simulation_ask (simulation, i, MH_USER_SUBMIT, "j-000001",
                                        job_spec_new (1, MH_SHAPE_ARRAY, 10, 1), &a),
                        ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (simulation_ask (simulation, i, MH_USER_CANCEL, "j-000001", NULL, &a), ==,
                        200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (simulation_ask (simulation, i, MH_USER_STATUS, "j-777777", NULL, &a), ==,
                        404);
    }
  /* Nothing idle is kept, and nothing is left of the job but its final record. */
  guint live = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    live += !((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->gone;
  g_assert_cmpuint (live, ==, 0);
  g_assert_null (g_tree_lookup (simulation->store->keys, "j/j-000001"));
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "f/j-000001"));
  finish (simulation);
}

/* More tasks than one record holds: all of them are written, reloaded and dropped again. */
static void
test_chunks (void)
{
  Simulation *simulation = simulation_new (2);
  simulation->cloud->capacity = 6;
  MhJobSpec *s = job_spec_new (1, MH_SHAPE_ARRAY, 200, 0.05);
  s->mem_gb = 0.1;
  s->estimated_run_us = 600 * MH_SECOND_US; /* so that none may wait for another */
  User *u = simulation_submit (simulation, s, 30);
  WAIT (simulation, 60, all_run, u);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 90, told_done, u);
  simulation_run (simulation, 10);
  g_assert_null (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  g_assert_cmpuint (simulation->rules->task_starts, ==, 200);
  finish (simulation);
}

static void
test_refusals (void)
{
  Simulation *simulation = simulation_new (3);
  MhUserAnswer a;
  simulation_run (simulation, 5);
  MhJobSpec *s = job_spec_new (1, MH_SHAPE_ARRAY, 1, 1);
  g_free (s->team);
  s->team = g_strdup ("nobody");
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000001", s, &a), ==, 422);
  s = job_spec_new (2, MH_SHAPE_SERVICE, 17, 1); /* a service counts whole: 17 of 16 cpus */
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000002", s, &a), ==, 422);
  s = job_spec_new (3, MH_SHAPE_ARRAY, 1, 1);
  s->zone = g_strdup ("nowhere");
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000003", s, &a), ==, 422);
  s = job_spec_new (4, MH_SHAPE_ARRAY, 1, 1);
  s->mem_gb = 65;
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000004", s, &a), ==, 422);
  /* Thousands of types: none that exists can never run, and one is enough. Stored as they came they
     would not fit a value of the state service, which once ended each leadership in turn. */
  for (guint known = 0; known < 2; known++)
    {
      s = job_spec_new (6 + known, MH_SHAPE_ARRAY, 1, 1);
      s->types = g_new0 (char *, 4001);
      for (guint i = 0; i < 4000; i++)
        s->types[i] = g_strdup (known && i == 3000 ? "large" : "no-such");
      if (known)
        workload_add (simulation->environment->workload, job_spec_new (7, MH_SHAPE_ARRAY, 1, 1),
                      MH_SECOND_US);
      g_autofree char *id = g_strdup (s->id);
      g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, id, s, &a), ==,
                        known ? 201 : 422);
    }
  s = job_spec_new (5, MH_SHAPE_ARRAY, 17, 1); /* an array counts by the task */
  workload_add (simulation->environment->workload, job_spec_new (5, MH_SHAPE_ARRAY, 17, 1),
                MH_SECOND_US);
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000005", s, &a), ==, 201);
  finish (simulation);
}

/* Types unknown: not decided yet, and nothing is held back. */
static void
test_types_unknown (void)
{
  Simulation *simulation = simulation_new (4);
  MhUserAnswer a;
  simulation->cloud->outage_until_us = G_MAXINT64;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  g_assert_cmpuint (simulation_ask (simulation, simulation_leader (simulation)->index,
                                    MH_USER_SUBMIT, "j-000001",
                                    job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  g_assert_cmpuint (a.retry_after_s, >, 0);
  finish (simulation);
}

/* A cancellation meets a start that is still in flight. */
static void
test_cancel_in_flight (void)
{
  Simulation *simulation = simulation_new (9);
  running_service (simulation, 1, 1);
  simulation->network->hold_commands = true;
  User *u = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 10, accepted, u);
  user_cancel (u);
  WAIT (simulation, 10, told_cancelled, u);
  simulation_run (simulation, 1);
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 0);
  finish (simulation);
}

/* A start that is not on record is not ordered. */
static void
test_start_waits_for_its_record (void)
{
  Simulation *simulation = simulation_new (26);
  User *u = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 30, accepted, u);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 15 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 10, all_run, u);
  finish (simulation);
}

/* A result that is not on record is not cleared from its machine, and no cancellation is told. */
static void
test_result_waits_for_its_record (void)
{
  Simulation *simulation = simulation_new (27);
  MhUserAnswer a;
  User *service = running_service (simulation, 1, 1);
  User *u = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (simulation, 30, all_run, u);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation_run (simulation, 6);
  user_cancel (service);
  simulation_run (simulation, 4);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_nonnull (worker_of (simulation, "j-000004/0"));
  g_assert_nonnull (worker_of (simulation, "j-000004/1"));
  g_assert_false (u->told_done || service->told_cancelled);
  simulation_ask (simulation, leader->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_cmpint (a.state, !=, MH_JOB_CANCELLED);
  WAIT (simulation, 20, told_done, u);
  WAIT (simulation, 20, told_cancelled, service);
  finish (simulation);
}

/* A follower once woke every 10 ms, which on such a small share of a core is dear. */
static void
test_idle_followers_sleep (void)
{
  Simulation *simulation = simulation_new (22);
  simulation_run (simulation, 10);
  const ControllerNode *leader = simulation_leader (simulation);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (&simulation->nodes[i] != leader)
      {
        guint before = simulation->nodes[i].wake_count;
        simulation_run (simulation, 10);
        g_assert_cmpuint (simulation->nodes[i].wake_count - before, <, 60);
      }
  finish (simulation);
}

/* Questions about jobs that only the state service remembers are answered while there is always
   more to write than the budget allows. */
static void
test_questions_beside_writes (void)
{
  Simulation *simulation = simulation_new (34);
  MhUserAnswer a;
  for (guint i = 1; i <= 30; i++)
    simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 1, 0.2), 0.5);
  WAIT (simulation, 90, simulation_all_settled, NULL);
  /* New controllers have no answers in memory. */
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->state_write_rps = 1.5;
      simulation_start_node (simulation, i);
    }
  WAIT (simulation, 10, has_leader, NULL);
  for (guint i = 101; i <= 120; i++)
    simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 4, 0.2), 1);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_leader (simulation)->writes_lost_until_us
      = simulation->clock->now_us + 60 * MH_SECOND_US; /* tried again and again */
  simulation_run (simulation, 5);
  for (guint i = 1; i <= 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("j-%06u", i);
      gint64 asked = simulation->clock->now_us;
      g_assert_cmpuint (simulation_ask (simulation, simulation_leader (simulation)->index,
                                        MH_USER_STATUS, id, NULL, &a),
                        ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
      g_assert_cmpint (simulation->clock->now_us - asked, <, 2 * MH_SECOND_US);
    }
  finish (simulation);
}

/* A large job of the least rank begins within four minutes, though smaller ones of a higher rank
   keep coming and would take all there is. */
static void
test_large_job_begins (void)
{
  Simulation *simulation = simulation_new (35);
  simulation->cloud->capacity = 1;
  MhJobSpec *s = job_spec_new (2, MH_SHAPE_ARRAY, 300, 10);
  s->priority = MH_PRIORITY_LOW;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  for (guint i = 0; i < 8; i++)
    simulation_submit (simulation, job_spec_new (101 + 2 * i, MH_SHAPE_ARRAY, 1, 2), 6);
  User *large = simulation_submit (simulation, s, 5);
  gint64 from = simulation->clock->now_us;
  guint next = 201;
  while (large->job->done_count == 0 && simulation->clock->now_us - from < 240 * MH_SECOND_US)
    {
      /* One after the other, so that never enough for the large job's tasks is free at once. */
      simulation_submit (simulation, job_spec_new (next, MH_SHAPE_ARRAY, 1, 2), 4 + next % 7 * 0.7);
      next++;
      simulation_run (simulation, 0.6);
    }
  g_assert_cmpuint (large->job->done_count, >, 0);
  finish (simulation);
}

/* The largest job there may be is accepted, runs, and is reloaded; a cancellation ends it. */
static void
test_largest_job (void)
{
  Simulation *simulation = simulation_new (42);
  MhJobSpec *s = job_spec_new (2, MH_SHAPE_ARRAY, MH_MAX_TASKS, 1);
  s->estimated_run_us = 600 * MH_SECOND_US;
  User *u = simulation_submit (simulation, s, 5);
  WAIT (simulation, 10, accepted, u);
  simulation_run (simulation, 15);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), >, 0);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 15);
  g_assert_cmpuint (u->job->done_count, >, 0);
  user_cancel (u);
  WAIT (simulation, 10, told_cancelled, u);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), ==, 0);
  finish (simulation);
}

/* Two thousand machines, all controllers crash, and everything is served; a machine is given back
   because it is idle, not because so many have not been heard from yet. */
static void
test_large_fleet (void)
{
  Simulation *simulation = simulation_new (38);
  simulation->cloud->capacity = 2100;
  for (guint i = 0; i < 2000; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  User *u = running_service (simulation, 1, 4);
  User *arrays[6];
  for (guint i = 0; i < G_N_ELEMENTS (arrays); i++)
    arrays[i] = simulation_submit (simulation, job_spec_new (10 + i, MH_SHAPE_ARRAY, 60, 0.25), 4);
  simulation_run (simulation, 3);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  simulation_run (simulation, 0.5);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  for (guint i = 0; i < G_N_ELEMENTS (arrays); i++)
    WAIT (simulation, 120, told_done, arrays[i]);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 4);
  g_assert_false (simulation_logged (simulation, "releasing machine reason=silent"));
  finish (simulation);
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
