/* Machines that hang, fail, become silent or are released, and late copies of commands and
   heartbeats. The peers are scripted, and the clock is simulated. */
#include "steps.h"

#include <string.h>

/* A hung machine may resume. If its task were started elsewhere before the cloud confirms the
   release of the machine, the task would run twice. */
static void
test_hung_machine (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  simulation_run (simulation, 25);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1); /* not started again without proof */
  WAIT (simulation, 60, is_removed, machine);
  WAIT (simulation, 60, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* Of a machine that hangs, a new leader knows only the name, from the record of an attempt. If it
   did not release the machine, it would wait for it for ever, or start the task a second time. */
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

/* A direct start that has no response yet is carried out late. If the attempt were cleared at the
   worker, or the task started elsewhere, before that, the task would run again. */
static void
test_late_command (Simulation *simulation)
{
  start_service (simulation, 1, 1); /* a machine that is up and has the image cached */
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 1, 1), 0.2);
  worker->next_heartbeat_us = simulation->clock->now_us + MH_SECOND_US / 2;
  /* The start arrives with the response to a heartbeat, and the task ends while the direct start is
     still in flight. Until a higher token fences the direct start, the ended attempt is not cleared
     at the worker. */
  WAIT (simulation, 30, all_tasks_done, user);
  /* Enough heartbeats for a response to carry the clear, which must not be sent. */
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

/* A direct start is still in flight when its task has ended. Without a higher token that fences it,
   it would run the task again. */
static void
test_late_command_fenced (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 30, is_reported_done, user);
  simulation_run (simulation, 40);
  g_assert_true (simulation_has_logged (simulation, "token raised"));
  guint starts = simulation->rules->task_starts;
  outgoing_calls_release_commands (simulation); /* by now fenced, and the attempt is cleared */
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
}

/* Copies of all requests arrive again, among them starts whose attempts have been cleared since.
   When attempts were cleared without a higher token, a cancelled service ran again. */
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
  simulation_run (simulation, 45); /* until the attempts are cleared */
  guint starts = simulation->rules->task_starts,
        machines_created = (guint)simulation->cloud->machines_created;
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, machines_created);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
}

/* A release is in flight to the cloud, and may be carried out late, when another leader takes over.
   If the new leader started tasks on that machine, they would be lost with it. */
static void
test_release_survives_failover (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  simulation_run (simulation, 60); /* the minimum billed time: it is not released before */
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

/* A silent machine is probed. Without probes it would be kept until its worker's lease expires, or
   be released although the worker answers. */
static void
test_silent_machine_is_probed (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->heartbeats_lost_until_us = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_false (worker->machine->removed);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  worker->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  gint64 hung_since_us = simulation->clock->now_us;
  WAIT (simulation, 60, is_removed, worker->machine);
  g_assert_cmpint (simulation->clock->now_us - hung_since_us, <,
                   simulation->settings->worker_lease_us / 2);
}

/* That an attempt is proven gone must become durable. Otherwise a new leader would wait for the
   machine again, and count the resources of the attempt as in use. */
static void
test_proven_end_is_durable (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  simulation->cloud->max_machines = 0; /* no other machine can be created for the task */
  worker->machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 60, is_removed, worker->machine);
  simulation_run (simulation, 2);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, 40);
  g_assert_nonnull (simulation_leader (simulation));
  g_assert_false (simulation_has_logged (simulation, "reason=silent_since_failover"));
}

static guint
count_joins (const Simulation *simulation)
{
  guint joins = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    joins += strstr (g_ptr_array_index (simulation->log_lines, i), "machine joined") != NULL;
  return joins;
}

static bool
has_leader_with_job (Simulation *simulation, gpointer data)
{
  return has_leader (simulation, data) && simulation_has_logged (simulation, "unfinished_jobs=1");
}

/* A heartbeat that was sent before a start was carried out reaches a new leader late. If the leader
   took it as proof that the attempt is gone, the task would run twice: the worker has not seen a
   token that fences the start. */
static void
test_late_heartbeat_proves_nothing (Simulation *simulation)
{
  for (guint i = 0; i < 2; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  Machine *first = g_ptr_array_index (simulation->cloud->machines, 0);
  Machine *second = g_ptr_array_index (simulation->cloud->machines, 1);
  g_autoptr (MhValue) first_heartbeat = worker_protocol_heartbeat (first);
  g_autoptr (MhValue) second_heartbeat = worker_protocol_heartbeat (second);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 30, all_tasks_running, user);
  guint joins = count_joins (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    worker_by_index (simulation, i)->heartbeats_lost_until_us
        = simulation->clock->now_us + 8 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader_with_job, NULL);
  ControllerNode *leader = simulation_leader (simulation);
  /* The leader has loaded the record of the attempt, and no machine has joined since. A leader that
     has newer messages of the workers would ignore the late heartbeats anyway. */
  g_assert_cmpuint (count_joins (simulation), ==, joins);
  workers_deliver_late_heartbeat (simulation, leader, first_heartbeat);
  workers_deliver_late_heartbeat (simulation, leader, second_heartbeat);
  g_assert_cmpuint (count_joins (simulation), ==, joins); /* at most they give addresses to probe */
  /* From here on, the workers send their heartbeats to the new leader. A worker that tried the
     stopped node first would get its next response after its lease has expired, and would rightly
     stop the task. */
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = worker_by_index (simulation, i);
      worker->target_node = leader->index;
      worker->sole_node = (gint)leader->index;
    }
  simulation_run (simulation, 30); /* the rule checks fail if a task runs twice */
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  g_assert_cmpuint (count_joins (simulation), ==, joins + 2);
  g_assert_false (simulation_has_logged (simulation, "attempt proven gone"));
}

/* A worker whose lease has expired begins a new incarnation, which proves that its earlier attempts
   are gone. Without this proof, their tasks would wait for the release of the machine. */
static void
test_new_incarnation (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 1);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  g_array_set_size (machine->tasks, 0);
  machine->incarnation++;
  machine->heartbeat_sequence = 0;
  WAIT (simulation, 20, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
}

/* Every task fails on a faulty machine. If it were not released, all tasks that are placed there
   would fail. */
static void
test_faulty_machine (Simulation *simulation)
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

/* The heartbeats of a machine arrive on time, so that it looks alive, but no response or command
   reaches it. If it were not released, its tasks would never run elsewhere. */
static void
test_responses_ignored (Simulation *simulation)
{
  /* Long enough that the worker's next heartbeat, which it sends after it has given up on a
     response, is not overdue. */
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].settings->heartbeat_interval_us = 5 * MH_SECOND_US;
  User *user = start_service (simulation, 1, 1);
  Worker *worker = worker_with_task (simulation, "j-000001/0");
  worker->sole_node = (gint)simulation_leader (simulation)->index;
  worker->responses_lost_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  gint64 since_us = simulation->clock->now_us;
  /* Tasks of this array may be placed on the machine, and never show in its heartbeats. */
  User *array = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (simulation, 40, is_removed, worker->machine);
  g_assert_cmpint (simulation->clock->now_us - since_us, <, simulation->settings->worker_lease_us);
  WAIT (simulation, 30, all_tasks_running, user);
  WAIT (simulation, 30, is_reported_done, array);
}

/* A late copy of a heartbeat, from a machine that was released long ago, reaches a leader that has
   no newer message of that machine. If the leader accepted it, it would add the machine again, and
   tasks that are placed there would be lost. */
static void
test_late_heartbeat_of_released_machine (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 60, is_reported_done, user);
  Machine *machine = g_ptr_array_index (simulation->cloud->machines, 0);
  g_autoptr (MhValue) copy = worker_protocol_heartbeat (machine);
  WAIT (simulation, 200, is_removed, machine);
  guint machines_before = simulation->cloud->machines->len;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 1);
  workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), copy);
  workers_deliver_late_heartbeat (simulation, simulation_leader (simulation), copy);
  User *next = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 25, is_reported_done, next);
  g_assert_cmpuint (simulation->cloud->machines->len, >, machines_before);
  g_autofree char *line = g_strdup_printf ("machine joined machine=%s ", machine->name);
  guint joins = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    joins += strstr (g_ptr_array_index (simulation->log_lines, i), line) != NULL;
  g_assert_cmpuint (joins, ==, 1); /* under the first leader */
}

/* A whole zone is cut off for less than the workers' lease. If each of its machines were considered
   failed, they would be released, and others would be created in the same zone. */
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
  guint machines_before = simulation->cloud->machines->len;
  MhJobSpec *spec
      = job_spec_new (4, MH_SHAPE_ARRAY, 8, 2); /* more than the free capacity of the other zone */
  spec->estimated_run_us = 60 * MH_SECOND_US;
  simulation_submit (simulation, spec, 60);
  simulation_run (simulation, 8);
  g_assert_true (simulation_has_logged (
      simulation, "zone considered partitioned, no messages from its workers"));
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      g_assert_false (machine->removed);
      g_assert_true (i < machines_before || strcmp (machine->zone, "a") == 0);
    }
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), ==, 4);
  g_assert_cmpuint (simulation->rules->task_starts, <=, 16); /* no task was started twice */
}

/* A worker restarts quickly, and its incarnation and sequence numbers begin again. It has lost the
   highest token that it had seen: if its machine were kept, the worker would carry out a late
   command of an earlier leader. */
static void
test_worker_restarts (Simulation *simulation)
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

/* All machines hang. Guards against probes that take all connections while they wait for a
   response, and against queued probes that are never sent. */
static void
test_concurrent_worker_calls_are_limited (Simulation *simulation)
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
  simulation_test_add ("/machines/late-command-fenced", 8, test_late_command_fenced);
  simulation_test_add ("/machines/repeated-requests", 41, test_repeated_requests);
  simulation_test_add ("/machines/release-survives-failover", 45, test_release_survives_failover);
  simulation_test_add ("/machines/silent-machine-is-probed", 23, test_silent_machine_is_probed);
  simulation_test_add ("/machines/proven-end-is-durable", 24, test_proven_end_is_durable);
  simulation_test_add ("/machines/late-heartbeat-proves-nothing", 28,
                       test_late_heartbeat_proves_nothing);
  simulation_test_add ("/machines/new-incarnation", 11, test_new_incarnation);
  simulation_test_add ("/machines/faulty-machine", 18, test_faulty_machine);
  simulation_test_add ("/machines/concurrent-worker-calls-are-limited", 48,
                       test_concurrent_worker_calls_are_limited);
  simulation_test_add ("/machines/responses-ignored", 30, test_responses_ignored);
  simulation_test_add ("/machines/late-heartbeat-of-released-machine", 31,
                       test_late_heartbeat_of_released_machine);
  simulation_test_add ("/machines/partitioned-zone", 41, test_partitioned_zone);
  simulation_test_add ("/machines/worker-restarts", 47, test_worker_restarts);
  return g_test_run ();
}
