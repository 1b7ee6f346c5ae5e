/* Machines that hang, fail, fall silent or are given back, and late copies of commands and reports.
   On a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* A hung machine may go on: its tasks run elsewhere only when it is confirmed released. */
static void
test_hung_machine (void)
{
  Sim *sim = sim_new (5);
  SimUser *u = running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  m->hung_until_us = sim->now_us + 300 * MH_SECOND_US;
  sim->world->cloud_outage_until_us = sim->now_us + 30 * MH_SECOND_US;
  sim_run (sim, 25);
  g_assert_cmpuint (sim->world->starts, ==, 1); /* no proof, no start */
  WAIT (sim, 60, is_gone, m);
  WAIT (sim, 60, all_run, u);
  g_assert_cmpuint (sim->world->starts, ==, 2);
  finish (sim);
}

/* A new leader knows nothing of a machine that hangs but its name in a record. */
static void
test_hung_machine_new_leader (void)
{
  Sim *sim = sim_new (6);
  SimUser *u = running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  m->hung_until_us = sim->now_us + 300 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  sim_run (sim, 10);
  g_assert_cmpuint (sim->world->starts, ==, 1);
  WAIT (sim, 90, is_gone, m);
  WAIT (sim, 60, all_run, u);
  finish (sim);
}

/* An unanswered command is carried out late: the attempt must not have been cleared or moved. */
static void
test_late_command (void)
{
  Sim *sim = sim_new (7);
  running_service (sim, 1, 1); /* a machine that is up, with the image */
  SimWorker *w = worker_of (sim, "j-000001/0");
  sim->hold_commands = true;
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 1, 1), 0.2);
  w->next_us = sim->now_us + MH_SECOND_US / 2;
  /* The start comes with a report's response, the task ends, and the direct start is still on its
     way. Until a new epoch fences it the ended attempt stays on the machine. */
  WAIT (sim, 30, all_done, u);
  /* Reports enough for a clear that should not be sent. */
  for (guint i = 0; i < 4; i++)
    {
      w->next_us = sim->now_us;
      sim_run (sim, 0.1);
    }
  g_assert_false (sim_logged (sim, "token raised"));
  guint starts = sim->world->starts;
  sim_release_commands (sim);
  sim_run (sim, 20);
  g_assert_cmpuint (sim->world->starts, ==, starts);
  finish (sim);
}

static void
test_late_command_is_fenced (void)
{
  Sim *sim = sim_new (8);
  running_service (sim, 1, 1);
  sim->hold_commands = true;
  SimUser *u = sim_submit (sim, sim_spec (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (sim, 30, told_done, u);
  sim_run (sim, 40);
  g_assert_true (sim_logged (sim, "token raised"));
  guint starts = sim->world->starts;
  sim_release_commands (sim); /* now the attempt is cleared, and the command too old */
  sim_run (sim, 10);
  g_assert_cmpuint (sim->world->starts, ==, starts);
  finish (sim);
}

/* Copies of commands that were carried out come once more, when the attempts that they started have
   been cleared: cleared without a higher epoch, a cancelled service once ran again. */
static void
test_repeated_requests (void)
{
  Sim *sim = sim_new (41);
  running_service (sim, 1, 1);
  sim->keep_requests = true;
  SimUser *u = running_service (sim, 3, 2), *array = NULL;
  array = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 3, 1), 2);
  WAIT (sim, 30, told_done, array);
  sim_cancel (u);
  WAIT (sim, 10, told_cancelled, u);
  sim_run (sim, 45); /* cleared by now */
  guint starts = sim->world->starts, rented = (guint)sim->world->n_rented;
  sim_repeat_requests (sim);
  sim_run (sim, 60);
  g_assert_cmpuint (sim->world->starts, ==, starts);
  g_assert_cmpuint (sim->world->n_rented, ==, rented);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 1);
  finish (sim);
}

/* A release is on its way, and may come late, when another leader takes over: it gives the machine
   back too, and starts nothing there. */
static void
test_release_outlives_its_leader (void)
{
  Sim *sim = sim_new (45);
  SimUser *u = running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  sim_run (sim, 60); /* paid for anyway until then */
  sim_cancel (u);
  WAIT (sim, 10, told_cancelled, u);
  sim->world->cloud_outage_until_us = sim->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 150 && !sim_logged (sim, "given back: idle"); i++)
    sim_run (sim, 0.1);
  sim_run (sim, 0.5);
  g_assert_true (sim_logged (sim, "given back: idle"));
  sim_stop_node (sim, sim_leader (sim)->index);
  SimUser *next = sim_submit (sim, sim_spec (3, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 60, all_run, next);
  g_assert_true (worker_of (sim, "j-000003/0")->machine != m);
  sim_run (sim, 5);
  g_assert_true (m->gone);
  sim_run (sim, 30);
  g_assert_cmpuint (world_running (sim->world, "j-000003"), ==, 1);
  finish (sim);
}

/* A machine that does not report is asked; one that answers is kept, one that does not is given
   back well before the worker's lease would have ended. */
static void
test_suspected_machine_is_probed (void)
{
  Sim *sim = sim_new (23);
  running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  w->reports_lost_us = sim->now_us + 12 * MH_SECOND_US;
  sim_run (sim, 14);
  g_assert_false (w->machine->gone);
  g_assert_cmpuint (sim->world->starts, ==, 1);
  w->machine->hung_until_us = sim->now_us + 100 * MH_SECOND_US;
  gint64 hung = sim->now_us;
  WAIT (sim, 60, is_gone, w->machine);
  g_assert_cmpint (sim->now_us - hung, <, sim->settings->worker_lease_us / 2);
  finish (sim);
}

/* What was proven gone is on record: a new leader does not look for it again. */
static void
test_proof_is_kept (void)
{
  Sim *sim = sim_new (24);
  running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  sim->world->capacity = 0; /* the task has nowhere else to go */
  w->machine->hung_until_us = sim->now_us + 300 * MH_SECOND_US;
  WAIT (sim, 60, is_gone, w->machine);
  sim_run (sim, 2);
  sim_stop_node (sim, sim_leader (sim)->index);
  sim_run (sim, 40);
  g_assert_nonnull (sim_leader (sim));
  g_assert_false (sim_logged (sim, "silent since the change"));
  finish (sim);
}

/* A report that was sent before a start was carried out reaches a new leader late. That it does not
   show the attempt proves nothing: the worker has not seen the epoch that fences the start. */
static void
test_late_report_proves_nothing (void)
{
  Sim *sim = sim_new (28);
  for (guint i = 0; i < 2; i++)
    world_add_machine (sim->world, "large", "a", false);
  sim_run (sim, 10);
  WorldMachine *first = g_ptr_array_index (sim->world->machines, 0);
  WorldMachine *second = g_ptr_array_index (sim->world->machines, 1);
  g_autoptr (MhValue) of_first = world_report (sim->world, first);
  g_autoptr (MhValue) of_second = world_report (sim->world, second);
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 30, all_run, u);
  for (guint i = 0; i < sim->workers->len; i++)
    ((SimWorker *)g_ptr_array_index (sim->workers, i))->reports_lost_us
        = sim->now_us + 8 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 0.3);
  sim_late_report (sim, sim_leader (sim), of_first);
  sim_late_report (sim, sim_leader (sim), of_second);
  sim_run (sim, 30); /* the world checks that nothing runs twice */
  g_assert_cmpuint (sim->world->starts, ==, 1);
  finish (sim);
}

/* A worker whose lease ran out has a new session: proof by itself. */
static void
test_new_session (void)
{
  Sim *sim = sim_new (11);
  SimUser *u = running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  g_array_set_size (m->tasks, 0);
  m->session++;
  m->sequence = 0;
  WAIT (sim, 20, all_run, u);
  g_assert_cmpuint (sim->world->starts, ==, 2);
  finish (sim);
}

static void
test_sick_machine (void)
{
  Sim *sim = sim_new (18);
  running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  m->sick = true;
  SimUser *a = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 2, 1), 3);
  SimUser *b = sim_submit (sim, sim_spec (4, MH_SHAPE_ARRAY, 2, 1), 3);
  WAIT (sim, 120, told_done, a);
  WAIT (sim, 120, told_done, b);
  g_assert_true (m->gone);
  finish (sim);
}

/* The reports of a machine arrive, but nothing reaches it. It looks alive, and even reports on
   time; what it holds can run elsewhere only when it is given back. */
static void
test_answers_ignored (void)
{
  Sim *sim = sim_new (30);
  /* So long that the worker's next try, after it has given up on an answer, is not even late. */
  for (guint i = 0; i < SIM_NODES; i++)
    sim->nodes[i].settings->report_us = 5 * MH_SECOND_US;
  SimUser *u = running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  w->node_only = (gint)sim_leader (sim)->index;
  w->answers_lost_us = sim->now_us + 300 * MH_SECOND_US;
  gint64 from = sim->now_us;
  /* One more task for it, which it never shows. */
  SimUser *array = sim_submit (sim, sim_spec (3, MH_SHAPE_ARRAY, 2, 1), 2);
  WAIT (sim, 40, is_gone, w->machine);
  g_assert_cmpint (sim->now_us - from, <, sim->settings->worker_lease_us);
  WAIT (sim, 30, all_run, u);
  WAIT (sim, 30, told_done, array);
  finish (sim);
}

/* A copy of a report comes late to a leader that has heard nothing newer, of a machine that was
   given back long ago: it brings no machine back, and nothing is placed there. */
static void
test_late_copy_of_returned_machine (void)
{
  Sim *sim = sim_new (31);
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (sim, 60, told_done, u);
  WorldMachine *m = g_ptr_array_index (sim->world->machines, 0);
  g_autoptr (MhValue) copy = world_report (sim->world, m);
  WAIT (sim, 200, is_gone, m);
  guint lease_lengths = sim->world->machines->len;
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 1);
  sim_late_report (sim, sim_leader (sim), copy);
  sim_late_report (sim, sim_leader (sim), copy);
  SimUser *next = sim_submit (sim, sim_spec (3, MH_SHAPE_ARRAY, 1, 1), 1);
  WAIT (sim, 25, told_done, next);
  g_assert_cmpuint (sim->world->machines->len, >, lease_lengths);
  g_autofree char *line = g_strdup_printf ("machine joined machine=%s ", m->name);
  guint reported = 0;
  for (guint i = 0; i < sim->log->len; i++)
    reported += strstr (g_ptr_array_index (sim->log, i), line) != NULL;
  g_assert_cmpuint (reported, ==, 1); /* to the first leader */
  finish (sim);
}

/* A zone is cut off as a whole, for less than the workers' lease. Its machines are not given back
   one by one, none is rented there meanwhile, and what runs there goes on. */
static void
test_partitioned_zone (void)
{
  Sim *sim = sim_new (41);
  for (guint i = 0; i < 8; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  sim_run (sim, 8);
  running_service (sim, 1, 4);
  running_service (sim, 2, 4);
  for (guint i = 0; i < sim->workers->len; i++)
    {
      SimWorker *w = g_ptr_array_index (sim->workers, i);
      if (strcmp (w->machine->zone, "b") == 0)
        w->cut_us = sim->now_us + 13 * MH_SECOND_US;
    }
  sim_run (sim, 4);
  guint before = sim->world->machines->len;
  MhJobSpec *s = sim_spec (4, MH_SHAPE_ARRAY, 8, 2); /* more than is free in the other zone */
  s->estimated_run_us = 60 * MH_SECOND_US;
  sim_submit (sim, s, 60);
  sim_run (sim, 8);
  g_assert_true (sim_logged (sim, "zone silent, taken for partitioned"));
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (sim->world->machines, i);
      g_assert_false (m->gone);
      g_assert_true (i < before || strcmp (m->zone, "a") == 0);
    }
  sim_run (sim, 10);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 4);
  g_assert_cmpuint (world_running (sim->world, "j-000002"), ==, 4);
  g_assert_cmpuint (sim->world->starts, <=, 16); /* nothing twice */
  finish (sim);
}

/* A machine is back within a moment, and its worker counts from the beginning: it has forgotten
   which epochs it has seen, and is given back as soon as that is known. */
static void
test_worker_begins_anew (void)
{
  Sim *sim = sim_new (47);
  SimUser *u = running_service (sim, 1, 1);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  sim_run (sim, 20);
  g_array_set_size (m->tasks, 0);
  m->session = 1;
  m->sequence = m->token = 0;
  m->lease_from_us = sim->now_us;
  WAIT (sim, 7, is_gone, m);
  g_assert_true (sim_logged (sim, "begun anew"));
  WAIT (sim, 15, all_run, u);
  finish (sim);
}

/* All machines hang: the questions to them do not take all connections, and those that had to wait
   are put once others have been given up. */
static void
test_calls_at_once (void)
{
  Sim *sim = sim_new (48);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim->nodes[i].settings->core_share = 1;
      sim->nodes[i].settings->max_connections = 240;
    }
  for (guint i = 0; i < 60; i++)
    world_add_machine (sim->world, "small", "a", false);
  sim_run (sim, 8);
  SimUser *user = running_service (sim, 1, 4);
  SimNode *leader = sim_leader (sim);
  leader->most_worker_calls = 0;
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      WorldMachine *machine = g_ptr_array_index (sim->world->machines, i);
      machine->hung_until_us = sim->now_us + 8 * MH_SECOND_US;
    }
  sim_run (sim, 30);
  g_assert_cmpuint (leader->most_worker_calls, <=, 20);
  g_assert_cmpuint (leader->most_worker_calls, >=, 16);
  WAIT (sim, 60, all_run, user);
  finish (sim);
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
