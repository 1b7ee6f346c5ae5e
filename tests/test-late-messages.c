/* Transactions, reports and requests that come late, twice or malformed, and records that are not
   understood or have to be re-chunked. docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* A part of the transactions gets no answer and is carried out after newer ones of the same
   controller, while jobs come and end and leaders change. Without conditions on versions they would
   bring old records back. */
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

/* A submission that is repeated long after its job was over meets the final record in a transaction
   of which a copy is on its way. A leader that took this for another's write would step down. */
static void
test_late_write_meets_a_final_record (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, user);
  simulation_run (simulation, 5);
  simulation_stop_node (
      simulation,
      simulation_leader (simulation)->index); /* the next one knows it from the record alone */
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 3);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us
      = simulation->clock->now_us + MH_SECOND_US * 3 / 2; /* the first copy gets no answer */
  for (guint i = 0; i < 3; i++)
    if (simulation_request_and_wait (simulation, leader->index, MH_USER_SUBMIT, "j-000001",
                                     job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), &answer)
        != 503)
      break;
  g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_false (simulation_has_logged (simulation, "reason=write_outcome_unknown"));
}

/* The same, and while its write waits the user asks, and submits once more: what the question found
   in the final record holds. The second submission once was answered as a job that waits. */
static void
test_question_between_repeated_submissions (Simulation *simulation)
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
  MhUserResponse answers[G_N_ELEMENTS (verbs)] = {};
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      simulation_send_request (
          simulation, leader->index, verbs[i], "j-000001",
          verbs[i] == MH_USER_SUBMIT ? job_spec_new (1, MH_SHAPE_ARRAY, 1, 1) : NULL, &answers[i]);
      simulation_run (simulation, 0.3);
    }
  simulation_run (simulation, 8);
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    g_assert_true (answers[i].status == 200 && answers[i].state == MH_JOB_DONE);
}

/* A report of an earlier session comes after one of the next. Believed, what it shows would be
   taken to run there. */
static void
test_report_of_an_earlier_session (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->machine->heartbeat_sequence += 100; /* the next session counts from the beginning */
  g_autoptr (MhValue) old = worker_protocol_heartbeat (worker->machine);
  worker->heartbeats_lost_until_us
      = simulation->clock->now_us + 22 * MH_SECOND_US; /* its lease ends */
  simulation_run (simulation, 24);
  WAIT (simulation, 30, all_tasks_running, user);
  guint starts = simulation->rules->task_starts;
  for (guint i = 0; i < 3; i++)
    {
      workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), old);
      simulation_run (simulation, 6);
    }
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
}

/* A cancellation, a question and a repeated submission at the very end of a job's last task would
   be answered in ways that contradict one another. */
static void
test_cancel_at_the_end (Simulation *simulation)
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

/* A report is held back until a new leader has acted. As proof that its start is gone, which was
   sent meanwhile, it would have the task started twice. */
static void
test_report_held_until_a_new_leader_acted (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation_run (simulation, 8);
  g_autoptr (MhValue) held = worker_protocol_heartbeat (worker->machine);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 20, all_tasks_running, user);
  simulation_run (simulation, 1);
  for (guint i = 0; i < 3; i++)
    {
      workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), held);
      simulation_run (simulation, 4);
    }
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* Repeated submissions of what is not over, cancellations of what is done, and jobs that can't run:
   without an answer as the protocol says, also while no controller leads, their users would ask for
   ever. */
static void
test_odd_requests (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = start_service (simulation, 1, 1), *done;
  done = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (simulation, 60, is_reported_done, done);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      g_assert_cmpuint (simulation_request_and_wait (simulation, i, MH_USER_SUBMIT, "j-000001",
                                                     job_spec_new (1, MH_SHAPE_SERVICE, 1, 1),
                                                     &answer),
                        ==, 200);
      g_assert_cmpuint (
          simulation_request_and_wait (simulation, i, MH_USER_CANCEL, "j-000002", NULL, &answer),
          ==, 200);
      g_assert_cmpint (answer.state, ==, MH_JOB_DONE);
    }
  /* Two of three nodes end, the leader among them, and the third cannot be elected: what can be
     told from the settings and the records is told, the rest is not. */
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
                                                 "j-000005", spec, &answer),
                    ==, 422);
  g_assert_cmpuint (simulation_request_and_wait (simulation, last->index, MH_USER_SUBMIT,
                                                 "j-000007", job_spec_new (7, MH_SHAPE_ARRAY, 1, 1),
                                                 &answer),
                    ==, 503);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  simulation_run (simulation, 10);
  g_assert_false (user->reported_done || user->reported_cancelled);
}

/* A record that is not understood, as another version may write it: its job would be told as
   unknown, or what runs of it would be stopped or started again. */
static void
test_record_not_understood (Simulation *simulation)
{
  MhUserResponse answer;
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
          simulation_request_and_wait (simulation, i, MH_USER_STATUS, "j-000001", NULL, &answer),
          ==, 503);
}

/* Jobs written in large records go on under limits that take only small ones. Left as they are they
   could not be written any more; re-chunked in part, when leaders end in the midst of it, tasks
   would run again or be lost. */
static void
test_rechunked (void)
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
  g_test_add_func ("/late-messages/rechunked", test_rechunked);
  simulation_test_add ("/late-messages/late-write-meets-a-final-record", 75,
                       test_late_write_meets_a_final_record);
  simulation_test_add ("/late-messages/question-between-repeated-submissions", 86,
                       test_question_between_repeated_submissions);
  simulation_test_add ("/late-messages/report-of-an-earlier-session", 77,
                       test_report_of_an_earlier_session);
  simulation_test_add ("/late-messages/cancel-at-the-end", 79, test_cancel_at_the_end);
  simulation_test_add ("/late-messages/report-held-until-a-new-leader-acted", 81,
                       test_report_held_until_a_new_leader_acted);
  simulation_test_add ("/late-messages/odd-requests", 84, test_odd_requests);
  simulation_test_add ("/late-messages/record-not-understood", 85, test_record_not_understood);
  return g_test_run ();
}
