/* Machines that hang, fail, fall silent or are given back, and late copies of commands and reports.
   On a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* A hung machine may go on: a task that ran elsewhere before it is confirmed released would run
   twice. */
static void
test_hung_machine (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  simulation_run (simulation, 25);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1); /* no proof, no start */
  WAIT (simulation, 60, is_removed, machine);
  WAIT (simulation, 60, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* A new leader knows nothing of a machine that hangs but its name in a record. Without a release it
   would wait for ever, or start the task a second time. */
static void
test_hung_machine_new_leader (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  WAIT (simulation, 90, is_removed, machine);
  WAIT (simulation, 60, all_tasks_running, user);
}

/* An unanswered command is carried out late. Were the attempt cleared or moved meanwhile, its task
   would run again. */
static void
test_late_command (Simulation *simulation)
{
  start_service (simulation, 1, 1); /* a machine that is up, with the image */
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 1, 1), 0.2);
  worker->next_heartbeat_us = simulation->clock->now_us + MH_SECOND_US / 2;
  /* The start comes with a report's response, the task ends, and the direct start is still on its
     way. Until a new epoch fences it the ended attempt stays on the machine. */
  WAIT (simulation, 30, all_tasks_done, user);
  /* Reports enough for a clear that should not be sent. */
  for (guint i = 0; i < 4; i++)
    {
      worker->next_heartbeat_us = simulation->clock->now_us;
      simulation_run (simulation, 0.1);
    }
  g_assert_false (simulation_has_logged (simulation, "token raised"));
  guint starts = simulation->rules->task_starts;
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 20);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
}

/* A start that is still under way when its task is over would run it again, without a higher token
   that fences it. */
static void
test_late_command_is_fenced (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 30, is_reported_done, user);
  simulation_run (simulation, 40);
  g_assert_true (simulation_has_logged (simulation, "token raised"));
  guint starts = simulation->rules->task_starts;
  outgoing_calls_release_commands (
      simulation); /* now the attempt is cleared, and the command too old */
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
}

/* Copies of commands that were carried out come once more, when the attempts that they started have
   been cleared: cleared without a higher token, a cancelled service once ran again. */
static void
test_repeated_requests (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation->network->keep_requests = true;
  User *user = start_service (simulation, 3, 2), *array = NULL;
  array = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 3, 1), 2);
  WAIT (simulation, 30, is_reported_done, array);
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
  simulation_run (simulation, 45); /* cleared by now */
  guint starts = simulation->rules->task_starts,
        rented = (guint)simulation->cloud->machines_created;
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, rented);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
}

/* A release is on its way, and may come late, when another leader takes over. Work that were
   started on that machine would be lost with it. */
static void
test_release_outlives_its_leader (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  simulation_run (simulation, 60); /* paid for anyway until then */
  user_cancel (user);
  WAIT (simulation, 10, is_reported_cancelled, user);
  simulation->cloud->outage_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 150 && !simulation_has_logged (simulation, "releasing machine reason=idle");
       i++)
    simulation_run (simulation, 0.1);
  simulation_run (simulation, 0.5);
  g_assert_true (simulation_has_logged (simulation, "releasing machine reason=idle"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  User *next = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 60, all_tasks_running, next);
  g_assert_true (worker_with_task (simulation, "j-000003/0")->machine != machine);
  simulation_run (simulation, 5);
  g_assert_true (machine->removed);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 1);
}

/* A machine that does not report is asked. Without that it would be kept until its worker's lease
   ends, or given back though it answers. */
static void
test_suspected_machine_is_probed (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->heartbeats_lost_until_us = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_false (worker->machine->removed);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  worker->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  gint64 hung = simulation->clock->now_us;
  WAIT (simulation, 60, is_removed, worker->machine);
  g_assert_cmpint (simulation->clock->now_us - hung, <, simulation->settings->worker_lease_us / 2);
}

/* What was proven gone is on record: a new leader would look for it again, and keep its place. */
static void
test_proof_is_kept (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation->cloud->max_machines = 0; /* the task has nowhere else to go */
  worker->machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 60, is_removed, worker->machine);
  simulation_run (simulation, 2);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, 40);
  g_assert_nonnull (simulation_leader (simulation));
  g_assert_false (simulation_has_logged (simulation, "reason=silent_since_failover"));
}

static guint
joined_count (const Simulation *simulation)
{
  guint joined = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    joined += strstr (g_ptr_array_index (simulation->log_lines, i), "machine joined") != NULL;
  return joined;
}

static bool
has_leader_with_job (Simulation *simulation, gpointer data)
{
  return has_leader (simulation, data) && simulation_has_logged (simulation, "unfinished_jobs=1");
}

/* A report that was sent before a start was carried out reaches a new leader late. Taken as proof
   that the attempt is gone, it would have the task run twice: the worker has not seen the token
   that fences the start. */
static void
test_late_report_proves_nothing (Simulation *simulation)
{
  for (guint i = 0; i < 2; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  Machine *first = g_ptr_array_index (simulation->cloud->machines, 0);
  Machine *second = g_ptr_array_index (simulation->cloud->machines, 1);
  g_autoptr (MhValue) of_first = worker_protocol_heartbeat (first);
  g_autoptr (MhValue) of_second = worker_protocol_heartbeat (second);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 30, all_tasks_running, user);
  guint joined = joined_count (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->heartbeats_lost_until_us
        = simulation->clock->now_us + 8 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader_with_job, NULL);
  ControllerNode *leader = simulation_leader (simulation);
  /* It has read the record of the attempt, and has not heard the machines: to a leader that they
     have answered, the late reports are merely old. */
  g_assert_cmpuint (joined_count (simulation), ==, joined);
  workers_deliver_late_heartbeat (simulation, leader, of_first);
  workers_deliver_late_heartbeat (simulation, leader, of_second);
  g_assert_cmpuint (joined_count (simulation), ==, joined); /* at most they tell where to ask */
  /* The workers go on with the new leader. One that first tried the node that is stopped would get
     its next answer when its lease is over, and rightly kill the task. */
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = worker_by_index (simulation, i);
      worker->target_node = leader->index;
      worker->sole_node = (gint)leader->index;
    }
  simulation_run (simulation, 30); /* the world checks that nothing runs twice */
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  g_assert_cmpuint (joined_count (simulation), ==, joined + 2);
  g_assert_false (simulation_has_logged (simulation, "attempt proven gone"));
}

/* A worker whose lease expired has a new session, which is proof by itself: without it its tasks
   would wait for the machine's release. */
static void
test_new_session (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  g_array_set_size (machine->tasks, 0);
  machine->incarnation++;
  machine->heartbeat_sequence = 0;
  WAIT (simulation, 20, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* A machine on which every task fails would eat up all work that is sent there. */
static void
test_sick_machine (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->fails_all_tasks = true;
  User *first = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 1), 3);
  User *second = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (simulation, 120, is_reported_done, first);
  WAIT (simulation, 120, is_reported_done, second);
  g_assert_true (machine->removed);
}

/* The reports of a machine arrive, but nothing reaches it. It looks alive, and reports on time;
   what it holds would never run elsewhere if it were not given back. */
static void
test_answers_ignored (Simulation *simulation)
{
  /* So long that the worker's next try, after it has given up on an answer, is not even late. */
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].settings->heartbeat_interval_us = 5 * MH_SECOND_US;
  User *user = start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->sole_node = (gint)simulation_leader (simulation)->index;
  worker->answers_lost_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  gint64 from = simulation->clock->now_us;
  /* One more task for it, which it never shows. */
  User *array = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (simulation, 40, is_removed, worker->machine);
  g_assert_cmpint (simulation->clock->now_us - from, <, simulation->settings->worker_lease_us);
  WAIT (simulation, 30, all_tasks_running, user);
  WAIT (simulation, 30, is_reported_done, array);
}

/* A copy of a report comes late to a leader that has heard nothing newer, of a machine that was
   given back long ago. Believed, it would bring the machine back, and work would be lost there. */
static void
test_late_copy_of_returned_machine (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 60, is_reported_done, user);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  g_autoptr (MhValue) copy = worker_protocol_heartbeat (machine);
  WAIT (simulation, 200, is_removed, machine);
  guint lease_lengths = simulation->cloud->machines->len;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 1);
  workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), copy);
  workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), copy);
  User *next = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 25, is_reported_done, next);
  g_assert_cmpuint (simulation->cloud->machines->len, >, lease_lengths);
  g_autofree char *line = g_strdup_printf ("machine joined machine=%s ", machine->name);
  guint reported = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    reported += strstr (g_ptr_array_index (simulation->log_lines, i), line) != NULL;
  g_assert_cmpuint (reported, ==, 1); /* to the first leader */
}

/* A zone is cut off as a whole, for less than the workers' lease. Taken one by one for failed, its
   machines would be given back, and others rented there. */
static void
test_partitioned_zone (Simulation *simulation)
{
  for (guint i = 0; i < 8; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  start_service (simulation, 1, 4);
  start_service (simulation, 2, 4);
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      if (strcmp (worker->machine->zone, "b") == 0)
        worker->cut_until_us = simulation->clock->now_us + 13 * MH_SECOND_US;
    }
  simulation_run (simulation, 4);
  guint before = simulation->cloud->machines->len;
  MhJobSpec *spec
      = job_spec_new (4, MH_SHAPE_ARRAY, 8, 2); /* more than is free in the other zone */
  spec->estimated_run_us = 60 * MH_SECOND_US;
  simulation_submit (simulation, spec, 60);
  simulation_run (simulation, 8);
  g_assert_true (simulation_has_logged (
      simulation, "zone considered partitioned, no messages from its workers"));
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      g_assert_false (machine->removed);
      g_assert_true (i < before || strcmp (machine->zone, "a") == 0);
    }
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), ==, 4);
  g_assert_cmpuint (simulation->rules->task_starts, <=, 16); /* nothing twice */
}

/* A machine is back within a moment, and its worker counts from the beginning: it has forgotten
   which tokens it has seen, and a late command of an earlier leader would be carried out if it were
   kept. */
static void
test_worker_begins_anew (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  simulation_run (simulation, 20);
  g_array_set_size (machine->tasks, 0);
  machine->incarnation = 1;
  machine->heartbeat_sequence = machine->fencing_token = 0;
  machine->lease_start_us = simulation->clock->now_us;
  WAIT (simulation, 7, is_removed, machine);
  g_assert_true (simulation_has_logged (simulation, "reason=worker_restarted"));
  WAIT (simulation, 15, all_tasks_running, user);
}

/* All machines hang: the questions to them would take all connections, and those that had to wait
   would never be put. */
static void
test_calls_at_once (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation->nodes[i].settings->core_share = 1;
      simulation->nodes[i].settings->max_connections = 240;
    }
  for (guint i = 0; i < 60; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 8);
  User *user = start_service (simulation, 1, 4);
  ControllerNode *leader = simulation_leader (simulation);
  leader->peak_worker_calls = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      machine->hung_until_us = simulation->clock->now_us + 8 * MH_SECOND_US;
    }
  simulation_run (simulation, 30);
  g_assert_cmpuint (leader->peak_worker_calls, <=, 20);
  g_assert_cmpuint (leader->peak_worker_calls, >=, 16);
  WAIT (simulation, 60, all_tasks_running, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/machines/hung-machine", 5, test_hung_machine);
  simulation_test_add ("/machines/hung-machine-new-leader", 6, test_hung_machine_new_leader);
  simulation_test_add ("/machines/late-command", 7, test_late_command);
  simulation_test_add ("/machines/late-command-fenced", 8, test_late_command_is_fenced);
  simulation_test_add ("/machines/repeated-requests", 41, test_repeated_requests);
  simulation_test_add ("/machines/release-outlives-its-leader", 45,
                       test_release_outlives_its_leader);
  simulation_test_add ("/machines/suspected-machine-is-probed", 23,
                       test_suspected_machine_is_probed);
  simulation_test_add ("/machines/proof-is-kept", 24, test_proof_is_kept);
  simulation_test_add ("/machines/late-report-proves-nothing", 28, test_late_report_proves_nothing);
  simulation_test_add ("/machines/new-session", 11, test_new_session);
  simulation_test_add ("/machines/sick-machine", 18, test_sick_machine);
  simulation_test_add ("/machines/calls-at-once", 48, test_calls_at_once);
  simulation_test_add ("/machines/answers-ignored", 30, test_answers_ignored);
  simulation_test_add ("/machines/late-copy-of-returned-machine", 31,
                       test_late_copy_of_returned_machine);
  simulation_test_add ("/machines/partitioned-zone", 41, test_partitioned_zone);
  simulation_test_add ("/machines/worker-begins-anew", 47, test_worker_begins_anew);
  return g_test_run ();
}
