/* Machines that hang, fail, fall silent or are given back, and late copies of commands and reports.
   On a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* A hung machine may go on: its tasks run elsewhere only when it is confirmed released. */
static void
test_hung_machine (void)
{
  Simulation *simulation = simulation_new (5);
  User *u = running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  m->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation->cloud->outage_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  simulation_run (simulation, 25);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1); /* no proof, no start */
  WAIT (simulation, 60, is_gone, m);
  WAIT (simulation, 60, all_run, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
  finish (simulation);
}

/* A new leader knows nothing of a machine that hangs but its name in a record. */
static void
test_hung_machine_new_leader (void)
{
  Simulation *simulation = simulation_new (6);
  User *u = running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  m->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  WAIT (simulation, 90, is_gone, m);
  WAIT (simulation, 60, all_run, u);
  finish (simulation);
}

/* An unanswered command is carried out late: the attempt must not have been cleared or moved. */
static void
test_late_command (void)
{
  Simulation *simulation = simulation_new (7);
  running_service (simulation, 1, 1); /* a machine that is up, with the image */
  Worker *w = worker_of (simulation, "j-000001/0");
  simulation->network->hold_commands = true;
  User *u = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 1, 1), 0.2);
  w->next_report_us = simulation->clock->now_us + MH_SECOND_US / 2;
  /* The start comes with a report's response, the task ends, and the direct start is still on its
     way. Until a new epoch fences it the ended attempt stays on the machine. */
  WAIT (simulation, 30, all_done, u);
  /* Reports enough for a clear that should not be sent. */
  for (guint i = 0; i < 4; i++)
    {
      w->next_report_us = simulation->clock->now_us;
      simulation_run (simulation, 0.1);
    }
  g_assert_false (simulation_logged (simulation, "token raised"));
  guint starts = simulation->rules->task_starts;
  outgoing_calls_release_commands (simulation);
  simulation_run (simulation, 20);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  finish (simulation);
}

static void
test_late_command_is_fenced (void)
{
  Simulation *simulation = simulation_new (8);
  running_service (simulation, 1, 1);
  simulation->network->hold_commands = true;
  User *u = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 30, told_done, u);
  simulation_run (simulation, 40);
  g_assert_true (simulation_logged (simulation, "token raised"));
  guint starts = simulation->rules->task_starts;
  outgoing_calls_release_commands (
      simulation); /* now the attempt is cleared, and the command too old */
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  finish (simulation);
}

/* Copies of commands that were carried out come once more, when the attempts that they started have
   been cleared: cleared without a higher epoch, a cancelled service once ran again. */
static void
test_repeated_requests (void)
{
  Simulation *simulation = simulation_new (41);
  running_service (simulation, 1, 1);
  simulation->network->keep_requests = true;
  User *u = running_service (simulation, 3, 2), *array = NULL;
  array = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 3, 1), 2);
  WAIT (simulation, 30, told_done, array);
  user_cancel (u);
  WAIT (simulation, 10, told_cancelled, u);
  simulation_run (simulation, 45); /* cleared by now */
  guint starts = simulation->rules->task_starts, rented = (guint)simulation->cloud->machines_rented;
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_cmpuint (simulation->cloud->machines_rented, ==, rented);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 1);
  finish (simulation);
}

/* A release is on its way, and may come late, when another leader takes over: it gives the machine
   back too, and starts nothing there. */
static void
test_release_outlives_its_leader (void)
{
  Simulation *simulation = simulation_new (45);
  User *u = running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  simulation_run (simulation, 60); /* paid for anyway until then */
  user_cancel (u);
  WAIT (simulation, 10, told_cancelled, u);
  simulation->cloud->outage_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 150 && !simulation_logged (simulation, "releasing machine reason=idle");
       i++)
    simulation_run (simulation, 0.1);
  simulation_run (simulation, 0.5);
  g_assert_true (simulation_logged (simulation, "releasing machine reason=idle"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  User *next = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 60, all_run, next);
  g_assert_true (worker_of (simulation, "j-000003/0")->machine != m);
  simulation_run (simulation, 5);
  g_assert_true (m->gone);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000003"), ==, 1);
  finish (simulation);
}

/* A machine that does not report is asked; one that answers is kept, one that does not is given
   back well before the worker's lease would have ended. */
static void
test_suspected_machine_is_probed (void)
{
  Simulation *simulation = simulation_new (23);
  running_service (simulation, 1, 1);
  Worker *w = worker_of (simulation, "j-000001/0");
  w->reports_lost_until_us = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_false (w->machine->gone);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  w->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
  gint64 hung = simulation->clock->now_us;
  WAIT (simulation, 60, is_gone, w->machine);
  g_assert_cmpint (simulation->clock->now_us - hung, <, simulation->settings->worker_lease_us / 2);
  finish (simulation);
}

/* What was proven gone is on record: a new leader does not look for it again. */
static void
test_proof_is_kept (void)
{
  Simulation *simulation = simulation_new (24);
  running_service (simulation, 1, 1);
  Worker *w = worker_of (simulation, "j-000001/0");
  simulation->cloud->capacity = 0; /* the task has nowhere else to go */
  w->machine->hung_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 60, is_gone, w->machine);
  simulation_run (simulation, 2);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  simulation_run (simulation, 40);
  g_assert_nonnull (simulation_leader (simulation));
  g_assert_false (simulation_logged (simulation, "reason=silent_since_failover"));
  finish (simulation);
}

/* A report that was sent before a start was carried out reaches a new leader late. That it does not
   show the attempt proves nothing: the worker has not seen the epoch that fences the start. */
static void
test_late_report_proves_nothing (void)
{
  Simulation *simulation = simulation_new (28);
  for (guint i = 0; i < 2; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 10);
  Machine *first = g_ptr_array_index (simulation->cloud->machines, 0);
  Machine *second = g_ptr_array_index (simulation->cloud->machines, 1);
  g_autoptr (MhValue) of_first = worker_protocol_report (first);
  g_autoptr (MhValue) of_second = worker_protocol_report (second);
  User *u = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 30, all_run, u);
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->reports_lost_until_us
        = simulation->clock->now_us + 8 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 0.3);
  workers_deliver_late_report (simulation, simulation_leader (simulation), of_first);
  workers_deliver_late_report (simulation, simulation_leader (simulation), of_second);
  simulation_run (simulation, 30); /* the world checks that nothing runs twice */
  g_assert_cmpuint (simulation->rules->task_starts, ==, 1);
  finish (simulation);
}

/* A worker whose lease ran out has a new session: proof by itself. */
static void
test_new_session (void)
{
  Simulation *simulation = simulation_new (11);
  User *u = running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  g_array_set_size (m->tasks, 0);
  m->session++;
  m->sequence = 0;
  WAIT (simulation, 20, all_run, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 2);
  finish (simulation);
}

static void
test_sick_machine (void)
{
  Simulation *simulation = simulation_new (18);
  running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  m->faulty = true;
  User *a = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 1), 3);
  User *b = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (simulation, 120, told_done, a);
  WAIT (simulation, 120, told_done, b);
  g_assert_true (m->gone);
  finish (simulation);
}

/* The reports of a machine arrive, but nothing reaches it. It looks alive, and even reports on
   time; what it holds can run elsewhere only when it is given back. */
static void
test_answers_ignored (void)
{
  Simulation *simulation = simulation_new (30);
  /* So long that the worker's next try, after it has given up on an answer, is not even late. */
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].settings->report_us = 5 * MH_SECOND_US;
  User *u = running_service (simulation, 1, 1);
  Worker *w = worker_of (simulation, "j-000001/0");
  w->only_node = (gint)simulation_leader (simulation)->index;
  w->answers_lost_until_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  gint64 from = simulation->clock->now_us;
  /* One more task for it, which it never shows. */
  User *array = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (simulation, 40, is_gone, w->machine);
  g_assert_cmpint (simulation->clock->now_us - from, <, simulation->settings->worker_lease_us);
  WAIT (simulation, 30, all_run, u);
  WAIT (simulation, 30, told_done, array);
  finish (simulation);
}

/* A copy of a report comes late to a leader that has heard nothing newer, of a machine that was
   given back long ago: it brings no machine back, and nothing is placed there. */
static void
test_late_copy_of_returned_machine (void)
{
  Simulation *simulation = simulation_new (31);
  User *u = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 60, told_done, u);
  Machine *m = g_ptr_array_index (simulation->cloud->machines, 0);
  g_autoptr (MhValue) copy = worker_protocol_report (m);
  WAIT (simulation, 200, is_gone, m);
  guint lease_lengths = simulation->cloud->machines->len;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 1);
  workers_deliver_late_report (simulation, simulation_leader (simulation), copy);
  workers_deliver_late_report (simulation, simulation_leader (simulation), copy);
  User *next = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (simulation, 25, told_done, next);
  g_assert_cmpuint (simulation->cloud->machines->len, >, lease_lengths);
  g_autofree char *line = g_strdup_printf ("machine joined machine=%s ", m->name);
  guint reported = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    reported += strstr (g_ptr_array_index (simulation->log_lines, i), line) != NULL;
  g_assert_cmpuint (reported, ==, 1); /* to the first leader */
  finish (simulation);
}

/* A zone is cut off as a whole, for less than the workers' lease. Its machines are not given back
   one by one, none is rented there meanwhile, and what runs there goes on. */
static void
test_partitioned_zone (void)
{
  Simulation *simulation = simulation_new (41);
  for (guint i = 0; i < 8; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  running_service (simulation, 1, 4);
  running_service (simulation, 2, 4);
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (simulation->workers, i);
      if (strcmp (w->machine->zone, "b") == 0)
        w->cut_until_us = simulation->clock->now_us + 13 * MH_SECOND_US;
    }
  simulation_run (simulation, 4);
  guint before = simulation->cloud->machines->len;
  MhJobSpec *s = job_spec_new (4, MH_SHAPE_ARRAY, 8, 2); /* more than is free in the other zone */
  s->estimated_run_us = 60 * MH_SECOND_US;
  simulation_submit (simulation, s, 60);
  simulation_run (simulation, 8);
  g_assert_true (simulation_logged (simulation, "zone silent, taken for partitioned"));
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *m = g_ptr_array_index (simulation->cloud->machines, i);
      g_assert_false (m->gone);
      g_assert_true (i < before || strcmp (m->zone, "a") == 0);
    }
  simulation_run (simulation, 10);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000002"), ==, 4);
  g_assert_cmpuint (simulation->rules->task_starts, <=, 16); /* nothing twice */
  finish (simulation);
}

/* A machine is back within a moment, and its worker counts from the beginning: it has forgotten
   which epochs it has seen, and is given back as soon as that is known. */
static void
test_worker_begins_anew (void)
{
  Simulation *simulation = simulation_new (47);
  User *u = running_service (simulation, 1, 1);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  simulation_run (simulation, 20);
  g_array_set_size (m->tasks, 0);
  m->session = 1;
  m->sequence = m->token = 0;
  m->lease_from_us = simulation->clock->now_us;
  WAIT (simulation, 7, is_gone, m);
  g_assert_true (simulation_logged (simulation, "reason=worker_restarted"));
  WAIT (simulation, 15, all_run, u);
  finish (simulation);
}

/* All machines hang: the questions to them do not take all connections, and those that had to wait
   are put once others have been given up. */
static void
test_calls_at_once (void)
{
  Simulation *simulation = simulation_new (48);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation->nodes[i].settings->core_share = 1;
      simulation->nodes[i].settings->max_connections = 240;
    }
  for (guint i = 0; i < 60; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 8);
  User *user = running_service (simulation, 1, 4);
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
  WAIT (simulation, 60, all_run, user);
  finish (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/machines/" name, (func))
  ADD ("hung-machine", test_hung_machine);
  ADD ("hung-machine-new-leader", test_hung_machine_new_leader);
  ADD ("late-command", test_late_command);
  ADD ("late-command-fenced", test_late_command_is_fenced);
  ADD ("repeated-requests", test_repeated_requests);
  ADD ("release-outlives-its-leader", test_release_outlives_its_leader);
  ADD ("suspected-machine-is-probed", test_suspected_machine_is_probed);
  ADD ("proof-is-kept", test_proof_is_kept);
  ADD ("late-report-proves-nothing", test_late_report_proves_nothing);
  ADD ("new-session", test_new_session);
  ADD ("sick-machine", test_sick_machine);
  ADD ("calls-at-once", test_calls_at_once);
  ADD ("answers-ignored", test_answers_ignored);
  ADD ("late-copy-of-returned-machine", test_late_copy_of_returned_machine);
  ADD ("partitioned-zone", test_partitioned_zone);
  ADD ("worker-begins-anew", test_worker_begins_anew);
  return g_test_run ();
}
