/* Tests transactions, heartbeats and users' requests that arrive late or repeatedly or that cannot
   be fulfilled, and records that cannot be read or have to be re-chunked. docs/meetings.md has a
   row for each test. */
#include "steps.h"

#include <string.h>

/* Some transactions get no response and reach the store after newer ones of the same controller,
   while jobs are submitted and end and leaders change. Without conditions on versions, they would
   replace records by older ones. */
static void
test_late_writes (void)
{
  for (guint seed = 65; seed < 75; seed++)
    {
      Simulation *simulation = simulation_new (seed);
      simulation->network->late_write_probability = 0.3;
      for (guint i = 1; i <= 8; i++)
        {
          User *user = simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 3, 1), 3);
          simulation_run (simulation, 4);
          if (i % 4 == 0)
            user_cancel (user);
          ControllerNode *leader = i % 3 == 0 ? simulation_leader (simulation) : NULL;
          if (leader)
            {
              simulation_stop_node (simulation, leader->index);
              simulation_run (simulation, 0.3);
              simulation_start_node (simulation, leader->index);
            }
        }
      simulation_run (simulation, 30);
      simulation->network->late_write_probability = 0;
      wait_until_all_settled (simulation, 200);
      g_assert_false (simulation_has_logged (simulation, "reason=write_outcome_unknown"));
      simulation_check_and_free (simulation);
    }
}

/* A user submits a job again after it has ended. The first request of the transaction gets no
   response, and the second one conflicts with the final record. If the leader treated the conflict
   as a write by another controller, or the outcome as unknown, it would step down. */
static void
test_late_write_conflicts_with_final_record (Simulation *simulation)
{
  MhUserResponse response;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, user);
  simulation_run (simulation, 5);
  /* The next leader knows the job only from its final record. */
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us
      = simulation->clock->now_us + MH_SECOND_US * 3 / 2; /* the first request gets no response */
  for (guint i = 0; i < 3; i++)
    if (simulation_request_and_wait (simulation, leader->index, MH_USER_SUBMIT, "j-000001",
                                     job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), &response)
        != 503)
      break;
  g_assert_cmpint (response.state, ==, MH_JOB_DONE);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_false (simulation_has_logged (simulation, "reason=write_outcome_unknown"));
}

/* As in the test above, a user submits an ended job again. While the write gets no response, the
   user queries the job's status and submits it again. Each response must be the final state, which
   the status query has read from the final record. In an earlier version the second submission was
   answered with a pending job. */
static void
test_status_between_repeated_submissions (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, user);
  simulation_run (simulation, 5);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 4 * MH_SECOND_US;
  const MhUserVerb verbs[] = { MH_USER_SUBMIT, MH_USER_STATUS, MH_USER_SUBMIT };
  MhUserResponse responses[G_N_ELEMENTS (verbs)] = {};
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      simulation_send_request (simulation, leader->index, verbs[i], "j-000001",
                               verbs[i] == MH_USER_SUBMIT ? job_spec_new (1, MH_SHAPE_ARRAY, 1, 1)
                                                          : NULL,
                               &responses[i]);
      simulation_run (simulation, 0.3);
    }
  simulation_run (simulation, 8);
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    g_assert_true (responses[i].status == 200 && responses[i].state == MH_JOB_DONE);
}

/* A heartbeat of an earlier incarnation of a worker arrives after one of the next incarnation. If
   the leader used it, it would assume that the tasks in it still run on that machine. */
static void
test_heartbeat_of_earlier_incarnation (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->machine->heartbeat_sequence += 100; /* the next incarnation starts from 0 again */
  g_autoptr (MhValue) earlier_heartbeat = worker_protocol_heartbeat (worker->machine);
  worker->heartbeats_lost_until_us
      = simulation->clock->now_us + 22 * MH_SECOND_US; /* its lease expires */
  simulation_run (simulation, 24);
  WAIT (simulation, 30, all_tasks_running, user);
  guint starts = simulation->rules->task_starts;
  for (guint i = 0; i < 3; i++)
    {
      workers_deliver_late_heartbeat (simulation, simulation_leader (simulation),
                                      earlier_heartbeat);
      simulation_run (simulation, 6);
    }
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
}

/* Users cancel a job, request its status or submit it again at the moment at which its last task
   ends, and some requests arrive twice. The responses must not contradict one another. */
static void
test_cancel_as_job_ends (Simulation *simulation)
{
  simulation->cancel_at_end_probability = 1;
  simulation->network->duplicate_probability = 0.2;
  for (guint i = 1; i <= 30; i++)
    {
      simulation_submit (simulation, job_spec_new (i, MH_SHAPE_ARRAY, 1 + i % 3, 1), 1 + i % 4);
      simulation_run (simulation, 1);
    }
  simulation->network->duplicate_probability = 0;
  wait_until_all_settled (simulation, 200);
}

/* A heartbeat that was sent before a failover arrives after the new leader has sent a start to the
   same machine. The heartbeat does not list that attempt. If this counted as proof that the attempt
   is gone, the task would be started twice. */
static void
test_heartbeat_delayed_past_failover (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation_run (simulation, 8);
  g_autoptr (MhValue) delayed_heartbeat = worker_protocol_heartbeat (worker->machine);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 20, all_tasks_running, user);
  simulation_run (simulation, 1);
  for (guint i = 0; i < 3; i++)
    {
      workers_deliver_late_heartbeat (simulation, simulation_leader (simulation),
                                      delayed_heartbeat);
      simulation_run (simulation, 4);
    }
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* A running job is submitted again, a job that is done is cancelled, and a job that can never run
   is submitted. All must get the responses that the protocol defines, also while no controller
   leads. Otherwise their users would retry for ever. */
static void
test_redundant_or_impossible_requests (Simulation *simulation)
{
  MhUserResponse response;
  User *user = start_service (simulation, 1, 1), *done;
  done = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, done);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      g_assert_cmpuint (simulation_request_and_wait (simulation, i, MH_USER_SUBMIT, "j-000001",
                                                     job_spec_new (1, MH_SHAPE_SERVICE, 1, 1),
                                                     &response),
                        ==, 200);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_CANCEL, "j-000002", NULL, &response),
          ==, 200);
      g_assert_cmpint (response.state, ==, MH_JOB_DONE);
    }
  /* Two of three nodes end, the leader among them, and the third cannot be elected. It answers what
     the settings and the records determine, and any other request with 503. */
  ControllerNode *last
      = &simulation->nodes[(simulation_leader (simulation)->index + 1) % SIMULATION_NODES];
  last->writes_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != last->index)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 3);
  g_assert_null (simulation_leader (simulation));
  MhJobSpec *spec = job_spec_new (5, MH_SHAPE_ARRAY, 1, 1);
  g_free (spec->team);
  spec->team = g_strdup ("nobody");
  g_assert_cmpuint (simulation_request_and_wait (simulation, last->index, MH_USER_SUBMIT,
                                                 "j-000005", spec, &response),
                    ==, 422);
  g_assert_cmpuint (simulation_request_and_wait (simulation, last->index, MH_USER_SUBMIT,
                                                 "j-000007", job_spec_new (7, MH_SHAPE_ARRAY, 1, 1),
                                                 &response),
                    ==, 503);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  simulation_run (simulation, 10);
  g_assert_false (user->reported_done || user->reported_cancelled);
}

static bool
has_held_command (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->network->held_commands->len > 0;
}

/* More direct starts than a machine may have unfenced, so that its token is raised. */
#define MANY_TASKS 80u

/* Holds the direct start of an array that fills the only machine, and requests that some of its
   tasks are stopped, either all by a cancellation or some for an urgent service. The worker's next
   heartbeat brings it a higher token, so that it refuses the start when that arrives. Returns: the
   user of the array. */
static User *
stop_array_with_refused_start (Simulation *simulation, bool cancel)
{
  simulation->cloud->max_machines = 0;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  Worker *worker = worker_by_index (simulation, 0);
  MhJobSpec *spec = job_spec_new (2, MH_SHAPE_ARRAY, MANY_TASKS, 0.2);
  spec->mem_gb = 0.1;
  spec->priority = MH_PRIORITY_LOW;
  simulation->network->hold_commands = true;
  worker->next_heartbeat_us = simulation->clock->now_us + 10 * MH_SECOND_US;
  User *array = simulation_submit (simulation, spec, 3);
  WAIT (simulation, 5, has_held_command, NULL);
  if (cancel)
    user_cancel (array);
  else
    simulation_submit (simulation, job_spec_new (1, MH_SHAPE_SERVICE, 1, 4), 0);
  simulation_run (simulation, 1.2);
  worker->next_heartbeat_us = simulation->clock->now_us;
  simulation_run (simulation, 0.3);
  outgoing_calls_release_commands (simulation);
  return array;
}

/* Tasks that were to be stopped while their start was held up, and whose start was then refused,
   were never started again: nothing ended their attempts. */
static void
test_start_refused_while_preempted (Simulation *simulation)
{
  User *array = stop_array_with_refused_start (simulation, false);
  WAIT (simulation, 90, is_reported_done, array);
}

/* As before, for a job that is cancelled: its attempts kept the quota of its team. */
static void
test_start_refused_while_cancelled (Simulation *simulation)
{
  User *array = stop_array_with_refused_start (simulation, true);
  WAIT (simulation, 30, is_reported_cancelled, array);
  User *next = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 4, 4), 3);
  WAIT (simulation, 60, all_tasks_running, next);
}

/* A record cannot be read, for example because another version wrote it. Its job must not be
   answered as unknown, and its tasks must be neither stopped nor started again. */
static void
test_unreadable_record (Simulation *simulation)
{
  MhUserResponse response;
  start_service (simulation, 1, 1);
  simulation_run (simulation, 10);
  guint leader = simulation_leader (simulation)->index;
  simulation_stop_node (simulation, leader);
  key_value_store_corrupt (simulation->store, "j/j-000001");
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 90);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != leader)
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-000001", NULL, &response),
          ==, 503);
}

/* A job is stored in large records when the store's limits are lowered. Without re-chunking, its
   records could not be written any more. If a leader ends while it re-chunks the job, tasks must be
   neither run again nor lost. */
static void
test_rechunk (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Simulation *simulation = simulation_new (90 + step);
      simulation->cloud->max_machines = 6;
      MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 320, 0.04);
      spec->mem_gb = 0.1;
      spec->estimated_run_us = 600 * MH_SECOND_US;
      User *user = simulation_submit (simulation, spec, 40);
      WAIT (simulation, 60, all_tasks_running, user);
      User *cancelled = start_service (simulation, 3, 2);
      simulation_set_store_limits (simulation, 2048, 5);
      simulation_run (simulation, 1 + 0.1 * step);
      if (step)
        simulation_stop_node (
            simulation, simulation_leader (simulation) ? simulation_leader (simulation)->index : 0);
      user_cancel (cancelled);
      simulation_run (simulation, 0.7 * step);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
      WAIT (simulation, 10, is_reported_cancelled, cancelled);
      WAIT (simulation, 120, is_reported_done, user);
      g_assert_true (simulation_has_logged (simulation, "job re-chunked"));
      g_assert_false (simulation_has_logged (simulation, "refused by the key-value store"));
      g_assert_cmpuint (simulation->store->malformed_writes, ==, 0);
      g_assert_cmpuint (simulation->rules->task_starts, ==, 322);
      simulation_run (simulation, 15);
      g_assert_null (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
      simulation_check_and_free (simulation);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/late-messages/late-writes", test_late_writes);
  g_test_add_func ("/late-messages/rechunk", test_rechunk);
  simulation_test_add ("/late-messages/late-write-conflicts-with-final-record", 75,
                       test_late_write_conflicts_with_final_record);
  simulation_test_add ("/late-messages/status-between-repeated-submissions", 86,
                       test_status_between_repeated_submissions);
  simulation_test_add ("/late-messages/heartbeat-of-earlier-incarnation", 77,
                       test_heartbeat_of_earlier_incarnation);
  simulation_test_add ("/late-messages/cancel-as-job-ends", 79, test_cancel_as_job_ends);
  simulation_test_add ("/late-messages/heartbeat-delayed-past-failover", 81,
                       test_heartbeat_delayed_past_failover);
  simulation_test_add ("/late-messages/redundant-or-impossible-requests", 84,
                       test_redundant_or_impossible_requests);
  simulation_test_add ("/late-messages/unreadable-record", 85, test_unreadable_record);
  simulation_test_add ("/late-messages/start-refused-while-preempted", 60,
                       test_start_refused_while_preempted);
  simulation_test_add ("/late-messages/start-refused-while-cancelled", 61,
                       test_start_refused_while_cancelled);
  return g_test_run ();
}
