/* The life of jobs: accepted, placed, written, answered, cancelled; large ones and odd ones. On a
   fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* A job that was forgotten, told otherwise by another controller, or left with records and idle
   machines behind it, would cost its user or its owner. */
static void
test_array (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 10, 1), 3);
  MhUserAnswer answer;
  WAIT (simulation, 60, is_reported_done, user);
  g_assert_cmpuint (user->job->done_count, ==, 10);
  /* For ever after, from every controller, also for a repeated submission. */
  simulation_run (simulation, 120);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-000001", NULL, &answer),
          ==, 200);
      g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (simulation_request_and_wait (simulation, i, MH_USER_SUBMIT, "j-000001",
                                                     job_spec_new (1, MH_SHAPE_ARRAY, 10, 1),
                                                     &answer),
                        ==, 200);
      g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_CANCEL, "j-000001", NULL, &answer),
          ==, 200);
      g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-777777", NULL, &answer),
          ==, 404);
    }
  /* Nothing idle is kept, and nothing is left of the job but its final record. */
  guint live = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    live += !((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->removed;
  g_assert_cmpuint (live, ==, 0);
  g_assert_null (g_tree_lookup (simulation->store->keys, "j/j-000001"));
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "f/j-000001"));
}

/* More tasks than one record holds. Chunks that were not written, reloaded or dropped with their
   job would lose tasks, run them twice, or stay for ever. */
static void
test_chunks (Simulation *simulation)
{
  simulation->cloud->max_machines = 6;
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 200, 0.05);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US; /* so that none may wait for another */
  User *user = simulation_submit (simulation, spec, 30);
  WAIT (simulation, 60, all_tasks_running, user);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 90, is_reported_done, user);
  simulation_run (simulation, 10);
  g_assert_null (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  g_assert_cmpuint (simulation->rules->task_starts, ==, 200);
}

/* What can never run would wait for ever, were it accepted. */
static void
test_refusals (Simulation *simulation)
{
  MhUserAnswer answer;
  simulation_run (simulation, 5);
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 1, 1);
  g_free (spec->team);
  spec->team = g_strdup ("nobody");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000001", spec, &answer), ==,
      422);
  spec = job_spec_new (2, MH_SHAPE_SERVICE, 17, 1); /* a service counts whole: 17 of 16 cpus */
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000002", spec, &answer), ==,
      422);
  spec = job_spec_new (3, MH_SHAPE_ARRAY, 1, 1);
  spec->zone = g_strdup ("nowhere");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000003", spec, &answer), ==,
      422);
  spec = job_spec_new (4, MH_SHAPE_ARRAY, 1, 1);
  spec->mem_gb = 65;
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000004", spec, &answer), ==,
      422);
  /* Thousands of types: none that exists can never run, and one is enough. Stored as they came they
     would not fit a value of the state service, which once ended each leadership in turn. */
  for (guint known = 0; known < 2; known++)
    {
      spec = job_spec_new (6 + known, MH_SHAPE_ARRAY, 1, 1);
      spec->types = g_new0 (char *, 4001);
      for (guint i = 0; i < 4000; i++)
        spec->types[i] = g_strdup (known && i == 3000 ? "large" : "no-such");
      if (known)
        workload_add (simulation->environment->workload, job_spec_new (7, MH_SHAPE_ARRAY, 1, 1),
                      MH_SECOND_US);
      g_autofree char *id = g_strdup (spec->id);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, id, spec, &answer), ==,
          known ? 201 : 422);
    }
  spec = job_spec_new (5, MH_SHAPE_ARRAY, 17, 1); /* an array counts by the task */
  workload_add (simulation->environment->workload, job_spec_new (5, MH_SHAPE_ARRAY, 17, 1),
                MH_SECOND_US);
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000005", spec, &answer), ==,
      201);
}

/* While the machine types are unknown nothing can be decided: a refusal would be wrong, and work
   held back would wait for no reason. */
static void
test_types_unknown (Simulation *simulation)
{
  MhUserAnswer answer;
  simulation->cloud->outage_until_us = G_MAXINT64;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  g_assert_cmpuint (simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                                 MH_USER_SUBMIT, "j-000001",
                                                 job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), &answer),
                    ==, 503);
  g_assert_cmpuint (answer.retry_after_s, >, 0);
}

/* A cancellation meets a start that is still in flight. Without a stop after it the task would run
   on. */
static void
test_cancel_in_flight (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 10, is_accepted, user);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
  simulation_run (simulation, 1);
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 0);
}

/* A start that is sent before it is on record would be unknown to the next leader, which would
   start the task again. */
static void
test_start_waits_for_its_record (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 30, is_accepted, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 15 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 10, all_tasks_running, user);
}

/* A result that is cleared from its machine before it is on record would be lost with the leader,
   and a cancellation that is told before would be taken back. */
static void
test_result_waits_for_its_record (Simulation *simulation)
{
  MhUserAnswer answer;
  User *service = start_service (simulation, 1, 1);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (simulation, 30, all_tasks_running, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation_run (simulation, 6);
  user_cancel (service);
  simulation_run (simulation, 4);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_nonnull (worker_with_task (simulation, "j-000004/0"));
  g_assert_nonnull (worker_with_task (simulation, "j-000004/1"));
  g_assert_false (user->reported_done || service->reported_cancelled);
  simulation_request_and_wait (simulation, leader->index, MH_USER_STATUS, "j-000001", NULL,
                               &answer);
  g_assert_cmpint (answer.state, !=, MH_JOB_CANCELLED);
  WAIT (simulation, 20, is_reported_done, user);
  WAIT (simulation, 20, is_reported_cancelled, service);
}

/* A follower once woke every 10 ms, which costs much where it has a small share of a cpu. */
static void
test_idle_followers_sleep (Simulation *simulation)
{
  simulation_run (simulation, 10);
  const ControllerNode *leader = simulation_leader (simulation);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (&simulation->nodes[i] != leader)
      {
        guint before = simulation->nodes[i].wake_count;
        simulation_run (simulation, 10);
        g_assert_cmpuint (simulation->nodes[i].wake_count - before, <, 60);
      }
}

/* Questions about jobs that only the key-value store remembers would get no answer while there is
   always more to write than the rate of calls allows, if writes came first without end. */
static void
test_questions_beside_writes (Simulation *simulation)
{
  MhUserAnswer answer;
  for (guint i = 1; i <= 30; i++)
    simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 1, 0.2), 0.5);
  WAIT (simulation, 90, simulation_all_settled, NULL);
  /* New controllers have no answers in memory. */
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->store_write_rps = 1.5;
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
      g_assert_cmpuint (simulation_request_and_wait (simulation,
                                                     simulation_leader (simulation)->index,
                                                     MH_USER_STATUS, id, NULL, &answer),
                        ==, 200);
      g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
      g_assert_cmpint (simulation->clock->now_us - asked, <, 2 * MH_SECOND_US);
    }
}

/* A large job of the lowest priority would never begin while smaller ones of a higher priority keep
   coming and take all there is: it begins within four minutes. */
static void
test_large_job_begins (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, 300, 10);
  spec->priority = MH_PRIORITY_LOW;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  for (guint i = 0; i < 8; i++)
    simulation_submit (simulation, job_spec_new (101 + 2 * i, MH_SHAPE_ARRAY, 1, 2), 6);
  User *large = simulation_submit (simulation, spec, 5);
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
}

/* The largest job there may be would not fit into a transaction or a load if it were handled at
   once: it is accepted, runs, is reloaded and cancelled. */
static void
test_largest_job (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, MH_MAX_TASKS, 1);
  spec->estimated_run_us = 600 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, 5);
  WAIT (simulation, 10, is_accepted, user);
  simulation_run (simulation, 15);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), >, 0);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 15);
  g_assert_cmpuint (user->job->done_count, >, 0);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), ==, 0);
}

/* Two thousand machines, and all controllers crash. A new leader that took machines for silent, as
   not all have reported yet, would give them back; only idle ones go. */
static void
test_large_fleet (Simulation *simulation)
{
  simulation->cloud->max_machines = 2100;
  for (guint i = 0; i < 2000; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  User *user = start_service (simulation, 1, 4);
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
    WAIT (simulation, 120, is_reported_done, arrays[i]);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
  g_assert_false (simulation_has_logged (simulation, "releasing machine reason=silent"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/jobs/array", 1, test_array);
  simulation_test_add ("/jobs/chunks", 2, test_chunks);
  simulation_test_add ("/jobs/refusals", 3, test_refusals);
  simulation_test_add ("/jobs/types-unknown", 4, test_types_unknown);
  simulation_test_add ("/jobs/cancel-in-flight", 9, test_cancel_in_flight);
  simulation_test_add ("/jobs/start-waits-for-its-record", 26, test_start_waits_for_its_record);
  simulation_test_add ("/jobs/result-waits-for-its-record", 27, test_result_waits_for_its_record);
  simulation_test_add ("/jobs/questions-beside-writes", 34, test_questions_beside_writes);
  simulation_test_add ("/jobs/large-job-begins", 35, test_large_job_begins);
  simulation_test_add ("/jobs/largest-job", 42, test_largest_job);
  simulation_test_add ("/jobs/idle-followers-sleep", 22, test_idle_followers_sleep);
  simulation_test_add ("/jobs/large-fleet", 38, test_large_fleet);
  return g_test_run ();
}
