/* Machines and zones that are cut off in one direction or both, while leaders change.
   docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* Its lease runs out, again and again, and with it whatever is started there. It takes no work and
   is given back, and what ran there runs elsewhere; a whole zone of them does not stop the rest. */
static void
test_reports_lost (void)
{
  Sim *sim = sim_new (52);
  SimUser *u = running_service (sim, 1, 4);
  SimWorker *silent = worker_of (sim, "j-000001/0");
  silent->reports_lost_us = sim->now_us + 200 * MH_SECOND_US;
  sim_run (sim, 9); /* its report is overdue: it gets nothing new, whatever room it has */
  guint before = silent->machine->tasks->len;
  SimUser *next = sim_submit (sim, sim_spec (5, MH_SHAPE_SERVICE, 2, 0.5), 0);
  WAIT (sim, 20, all_run, next);
  g_assert_cmpuint (silent->machine->tasks->len, <=, before);
  WAIT (sim, 40, is_gone, silent->machine);
  WAIT (sim, 10, all_run, u);
  SimUser *array = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (sim, 60, told_done, array);
  /* And one that is cancelled meanwhile is gone in time. */
  SimUser *third = running_service (sim, 3, 2);
  worker_of (sim, "j-000003/0")->reports_lost_us = sim->now_us + 200 * MH_SECOND_US;
  sim_run (sim, 2);
  sim_cancel (third);
  sim_run (sim, 60);
  g_assert_cmpuint (world_running (sim->world, "j-000003"), ==, 0);
  finish (sim);
}

/* No report comes to this leader alone, though the workers answer its questions: another leads. */
static void
test_reports_to_the_leader_lost (void)
{
  Sim *sim = sim_new (53);
  SimUser *u = running_service (sim, 1, 4);
  running_service (sim, 2, 4);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  old->reports_lost_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 20);
  g_assert_true (sim_leader (sim) != old);
  WAIT (sim, 30, all_run, u);
  finish (sim);
}

/* More work than room, urgent and not, over links on which a part of everything comes late: all of
   it runs in the end, the urgent first, and nothing waits beside free room. */
static void
test_more_work_than_room (void)
{
  Sim *sim = sim_new (60);
  sim->world->capacity = 4;
  sim->late = 0.1;
  sim->lose = 0.02;
  for (guint i = 1; i <= 12; i++)
    sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 8, 1), 6);
  sim_run (sim, 30);
  SimUser *urgent = sim_submit (sim, sim_spec (20, MH_SHAPE_SERVICE, 2, 1), 0);
  WAIT (sim, 60, all_run, urgent);
  sim_run (sim, 30);
  sim->late = sim->lose = 0;
  wait_all (sim, 400);
  finish (sim);
}

/* The workers of a zone can reach only the leader, which is cut off with them for longer than their
   lease. What runs there runs elsewhere only when the machines are gone. */
static void
test_zone_cut_with_its_leader (void)
{
  Sim *sim = sim_new (62);
  SimUser *u = running_service (sim, 1, 4);
  SimUser *array = running_array (sim, 2, 8, 20);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  gint64 until = sim->now_us + 40 * MH_SECOND_US;
  old->state_cut_us = old->peers_cut_us = until;
  for (guint i = 0; i < sim->workers->len; i++)
    {
      SimWorker *w = sim_worker (sim, i);
      bool inside = strcmp (w->machine->zone, "a") == 0;
      w->node = inside ? old->index : (old->index + 1) % SIM_NODES;
      w->node_only = inside ? (gint)old->index : -1;
      w->only_until_us = inside ? until : 0;
    }
  WAIT (sim, 200, told_done, array);
  WAIT (sim, 60, all_run, u);
  finish (sim);
}

/* Jobs of two or three tasks that end far apart, each with a change of leader between. */
static void
test_ends_far_apart (void)
{
  Sim *sim = sim_new (78);
  SimUser *users[6];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      users[i] = sim_submit (sim, sim_spec (1 + i, MH_SHAPE_ARRAY, 2 + i % 2, 1), 3);
      users[i]->job->apart_us = 12 * MH_SECOND_US;
    }
  for (guint i = 0; i < 4; i++)
    {
      sim_run (sim, 9);
      SimNode *leader = sim_leader (sim);
      guint stopped = leader ? leader->index : 0;
      sim_stop_node (sim, stopped);
      sim_run (sim, i % 2 ? 0.2 : 3);
      sim_start_node (sim, stopped);
    }
  wait_all (sim, 120);
  g_assert_cmpuint (sim->world->starts, ==, 15); /* none ran again */
  finish (sim);
}

/* An array bound to one zone by its first tasks loses machines there. What runs on keeps it in that
   zone, and room is rented there, not in the emptier one. */
static void
test_one_zone_loses_machines (void)
{
  Sim *sim = sim_new (80);
  MhJobSpec *s = sim_spec (2, MH_SHAPE_ARRAY, 12, 1);
  s->single_zone = true;
  s->estimated_run_us = 300 * MH_SECOND_US;
  SimUser *u = sim_submit (sim, s, 300);
  WAIT (sim, 60, all_run, u);
  SimWorker *kept = worker_of (sim, "j-000002/0");
  guint failed = 0;
  for (guint i = 0; i < sim->workers->len; i++)
    {
      WorldMachine *m = sim_worker (sim, i)->machine;
      if (m == kept->machine || m->tasks->len == 0)
        continue;
      world_fail (m);
      failed++;
    }
  g_assert_cmpuint (failed, >, 0);
  guint known = sim->world->machines->len;
  WAIT (sim, 60, all_run, u);
  for (guint i = known; i < sim->world->machines->len; i++)
    g_assert_cmpstr (((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->zone, ==,
                     kept->machine->zone);
  g_assert_true (strcmp (kept->machine->zone, worker_of (sim, "j-000002/11")->machine->zone) == 0);
  finish (sim);
}

/* A leader ends while machines with long tasks don't hear its successor, or can't be reached: they
   are given back, and only then does what they ran run elsewhere, with nothing waiting beside it.
 */
static void
test_answers_of_a_new_leader_lost (void)
{
  Sim *sim = sim_new (83);
  running_array (sim, 2, 12, 90);
  sim_run (sim, 10);
  worker_of (sim, "j-000002/0")->answers_lost_us = sim->now_us + 200 * MH_SECOND_US;
  SimWorker *cut = worker_of (sim, "j-000002/11");
  cut->cut_us = sim->now_us + 100 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  wait_all (sim, 300);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/partitions/" name, (func))
  ADD ("reports-lost", test_reports_lost);
  ADD ("reports-to-the-leader-lost", test_reports_to_the_leader_lost);
  ADD ("more-work-than-room", test_more_work_than_room);
  ADD ("zone-cut-with-its-leader", test_zone_cut_with_its_leader);
  ADD ("ends-far-apart", test_ends_far_apart);
  ADD ("one-zone-loses-machines", test_one_zone_loses_machines);
  ADD ("answers-of-a-new-leader-lost", test_answers_of_a_new_leader_lost);
  return g_test_run ();
}
