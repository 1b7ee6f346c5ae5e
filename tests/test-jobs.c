/* The life cycle of jobs: submission, placement, records, responses and cancellation; also very
   large and unusual jobs. Runs on a fake clock, with stand-ins for the peers. */
#include "steps.h"

#include <string.h>

/* A job must not be forgotten, controllers must not contradict each other about it, and it must not
   leave records or idle machines behind, which cost the owner money. */
static void
test_array (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 10, 1), 3);
  MhUserResponse response;
  WAIT (simulation, 60, is_reported_done, user);
  g_assert_cmpuint (user->job->done_count, ==, 10);
  /* Every controller gives the same response later, also to a repeated submission. */
  simulation_run (simulation, 120);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-000001", NULL, &response),
          ==, 200);
      g_assert_cmpint (response.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (simulation_request_and_wait (simulation, i, MH_USER_SUBMIT, "j-000001",
                                                     job_spec_new (1, MH_SHAPE_ARRAY, 10, 1),
                                                     &response),
                        ==, 200);
      g_assert_cmpint (response.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_CANCEL, "j-000001", NULL, &response),
          ==, 200);
      g_assert_cmpint (response.state, ==, MH_JOB_DONE);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-777777", NULL, &response),
          ==, 404);
    }
  /* No idle machine is kept, and of the job only the final record remains. */
  guint live = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    live += !((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->removed;
  g_assert_cmpuint (live, ==, 0);
  g_assert_null (g_tree_lookup (simulation->store->keys, "j/j-000001"));
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "f/j-000001"));
}

/* A job with more tasks than one record holds. If chunks were not written, not reloaded or not
   deleted with their job, tasks would be lost or run twice, or records would stay for ever. */
static void
test_chunks (Simulation *simulation)
{
  simulation->cloud->max_machines = 6;
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 200, 0.05);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US; /* too long for tasks to wait for others to end */
  User *user = simulation_submit (simulation, spec, 30);
  WAIT (simulation, 60, all_tasks_running, user);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 90, is_reported_done, user);
  simulation_run (simulation, 10);
  g_assert_null (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  g_assert_cmpuint (simulation->rules->task_starts, ==, 200);
}

/* Jobs that can never run would wait for ever if they were accepted. */
static void
test_impossible_submissions (Simulation *simulation)
{
  MhUserResponse response;
  simulation_run (simulation, 5);
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 1, 1);
  g_free (spec->team);
  spec->team = g_strdup ("nobody");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000001", spec, &response), ==,
      422);
  spec = job_spec_new (2, MH_SHAPE_SERVICE, 17, 1); /* all tasks count: 17 of 16 cpus */
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000002", spec, &response), ==,
      422);
  spec = job_spec_new (3, MH_SHAPE_ARRAY, 1, 1);
  spec->zone = g_strdup ("nowhere");
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000003", spec, &response), ==,
      422);
  spec = job_spec_new (4, MH_SHAPE_ARRAY, 1, 1);
  spec->mem_gb = 65;
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000004", spec, &response), ==,
      422);
  /* Thousands of machine types: the job can never run if none of them exists, and can if one does.
     The whole list does not fit a value of the key-value store; when it was stored nevertheless,
     it ended each leadership in turn. */
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
          simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, id, spec, &response), ==,
          known ? 201 : 422);
    }
  spec = job_spec_new (5, MH_SHAPE_ARRAY, 17, 1); /* only one task of an array counts */
  workload_add (simulation->environment->workload, job_spec_new (5, MH_SHAPE_ARRAY, 17, 1),
                MH_SECOND_US);
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, 0, MH_USER_SUBMIT, "j-000005", spec, &response), ==,
      201);
}

/* While the machine types are unknown, a submission can be neither accepted nor rejected: a
   rejection could be wrong, and its user would wait for no reason if it were left unanswered. */
static void
test_unknown_machine_types (Simulation *simulation)
{
  MhUserResponse response;
  simulation->cloud->outage_until_us = G_MAXINT64;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  g_assert_cmpuint (simulation_request_and_wait (simulation, simulation_leader (simulation)->index,
                                                 MH_USER_SUBMIT, "j-000001",
                                                 job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), &response),
                    ==, 503);
  g_assert_cmpuint (response.retry_after_s, >, 0);
}

/* A job is cancelled while the start of its task is still in flight. Unless a stop follows that
   start, the task keeps running. */
static void
test_cancel_with_start_in_flight (Simulation *simulation)
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

/* A start that is sent before its attempt is durable would be unknown to the next leader, which
   would start the task again. */
static void
test_start_waits_for_record (Simulation *simulation)
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

/* A result that is cleared from its machine before it is durable would be lost with the leader, and
   a cancellation that is answered before it is durable would be undone by a failover. */
static void
test_result_waits_for_record (Simulation *simulation)
{
  MhUserResponse response;
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
                               &response);
  g_assert_cmpint (response.state, !=, MH_JOB_CANCELLED);
  WAIT (simulation, 20, is_reported_done, user);
  WAIT (simulation, 20, is_reported_cancelled, service);
}

/* Idle followers must not wake up often. In an earlier version they did so every 10 ms, which is
   expensive where a controller has only a small share of a cpu. */
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

/* Status queries about jobs that are not in memory need reads. If writes always took precedence,
   these queries would get no response while more writes wait than the rate limit allows. */
static void
test_status_queries_during_writes (Simulation *simulation)
{
  MhUserResponse response;
  for (guint i = 1; i <= 30; i++)
    simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 1, 0.2), 0.5);
  WAIT (simulation, 90, simulation_all_settled, NULL);
  /* Restarted controllers have no final responses in memory. */
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
      = simulation->clock->now_us + 60 * MH_SECOND_US; /* the writes are retried all the time */
  simulation_run (simulation, 5);
  for (guint i = 1; i <= 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("j-%06u", i);
      gint64 asked_us = simulation->clock->now_us;
      g_assert_cmpuint (simulation_request_and_wait (simulation,
                                                     simulation_leader (simulation)->index,
                                                     MH_USER_STATUS, id, NULL, &response),
                        ==, 200);
      g_assert_cmpint (response.state, ==, MH_JOB_DONE);
      g_assert_cmpint (simulation->clock->now_us - asked_us, <, 2 * MH_SECOND_US);
    }
}

/* A large job of the lowest priority must not starve while smaller jobs of a higher priority keep
   arriving and use all free resources: its first task is done within four minutes. */
static void
test_large_job_does_not_starve (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, 300, 10);
  spec->priority = MH_PRIORITY_LOW;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  for (guint i = 0; i < 8; i++)
    simulation_submit (simulation, job_spec_new (101 + 2 * i, MH_SHAPE_ARRAY, 1, 2), 6);
  User *large = simulation_submit (simulation, spec, 5);
  gint64 from_us = simulation->clock->now_us;
  guint next = 201;
  while (large->job->done_count == 0 && simulation->clock->now_us - from_us < 240 * MH_SECOND_US)
    {
      /* Staggered, so that a task of the large job never fits into what is free at any moment. */
      simulation_submit (simulation, job_spec_new (next, MH_SHAPE_ARRAY, 1, 2), 4 + next % 7 * 0.7);
      next++;
      simulation_run (simulation, 0.6);
    }
  g_assert_cmpuint (large->job->done_count, >, 0);
}

/* A job of MH_MAX_TASKS_PER_JOB tasks is too large to be written in one transaction or loaded with
   one read. It must still be accepted, run, be loaded by the next leader and be cancelled. */
static void
test_largest_job (Simulation *simulation)
{
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, MH_MAX_TASKS_PER_JOB, 1);
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

/* All controllers of a cluster of 2000 machines crash. A new leader that treated machines as silent
   because they have not sent it a heartbeat yet would release them. Only idle ones may go. */
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
  simulation_test_add ("/jobs/impossible-submissions", 3, test_impossible_submissions);
  simulation_test_add ("/jobs/unknown-machine-types", 4, test_unknown_machine_types);
  simulation_test_add ("/jobs/cancel-with-start-in-flight", 9, test_cancel_with_start_in_flight);
  simulation_test_add ("/jobs/start-waits-for-record", 26, test_start_waits_for_record);
  simulation_test_add ("/jobs/result-waits-for-record", 27, test_result_waits_for_record);
  simulation_test_add ("/jobs/status-queries-during-writes", 34, test_status_queries_during_writes);
  simulation_test_add ("/jobs/large-job-does-not-starve", 35, test_large_job_does_not_starve);
  simulation_test_add ("/jobs/largest-job", 42, test_largest_job);
  simulation_test_add ("/jobs/idle-followers-sleep", 22, test_idle_followers_sleep);
  simulation_test_add ("/jobs/large-fleet", 38, test_large_fleet);
  return g_test_run ();
}
