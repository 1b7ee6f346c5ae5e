/* Outages of the state service, controllers that are cut off or end, and how long a leader that
   cannot renew its lease may extend the workers' leases. docs/meetings.md has a row for each. */
#include "steps.h"

#include <string.h>

/* The first leader loses the state service and its peers, and keeps its worker, which nobody else
   can ask; the second confirms a cancellation, and loses the state service with everybody else
   `outage_s` later, before or after the first gives the worker up. The worker's task is gone within
   cancel_s all the same. Without stops in what such a leader answers, the second kept the task
   alive in its turn. */
static void
extend_across_leaders (guint seed, bool refused, bool isolated, double outage_s)
{
  Sim *sim = sim_new (seed);
  SimUser *u = running_service (sim, 1, 2);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  for (guint i = 0; i < sim->workers->len; i++)
    sim_worker (sim, i)->node = old->index;
  *(refused ? &old->state_refused_us : &old->state_cut_us) = sim->now_us + 300 * MH_SECOND_US;
  if (isolated)
    old->peers_cut_us = sim->now_us + 300 * MH_SECOND_US;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 300 * MH_SECOND_US; /* no machine is released */
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  g_assert_true (sim_leader (sim) != old);
  sim_run (sim, outage_s);
  sim->world->outage_until_us = sim->now_us + 70 * MH_SECOND_US;
  sim_run (sim, 120); /* the world checks cancel_s */
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

static void
test_lease_extension (void)
{
  for (guint i = 0; i < 12; i++)
    {
      extend_across_leaders (100 + i, true, false, 0.5 + 2 * i);
      extend_across_leaders (200 + i, true, true, 0.5 + 2 * i);
      extend_across_leaders (300 + i, false, true, 0.5 + 2 * i);
    }
}

/* A cancellation is confirmed, and its leader ends before any worker hears of it. The next one can
   renew its lease, but does not get to see the records for long: it must not keep alive what it
   cannot know to be cancelled. */
static void
test_cancel_before_a_slow_load (void)
{
  Sim *sim = sim_new (50);
  SimUser *u = running_service (sim, 1, 2);
  sim_run (sim, 10);
  guint old = sim_leader (sim)->index;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 300 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    sim->nodes[i].lists_lost_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < sim->workers->len; i++)
    sim_worker (sim, i)->reports_lost_us = sim->now_us + 3 * MH_SECOND_US;
  sim_cancel (u);
  WAIT (sim, 3, told_cancelled, u);
  sim_stop_node (sim, old);
  sim_run (sim, 80);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* Settings that leave no room beside the workers' lease: nothing is kept alive without the state
   service, what is cancelled is gone in time, and silence is noticed as ever. */
static void
test_no_room_for_lease_extension (void)
{
  Sim *sim = sim_new (54);
  sim->settings->cancel_us = 18 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->cancel_us = 18 * MH_SECOND_US;
      sim_start_node (sim, i);
    }
  SimUser *u = running_service (sim, 1, 2), *other = running_service (sim, 3, 1);
  g_assert_true (sim_logged (sim, "leaves no room"));
  sim_run (sim, 10);
  WorldMachine *m = worker_of (sim, "j-000003/0")->machine;
  m->hung_until_us = sim->now_us + 100 * MH_SECOND_US;
  WAIT (sim, 20, is_gone, m);
  WAIT (sim, 20, all_run, other);
  WAIT (sim, 20, all_run, u);
  SimNode *old = sim_leader (sim);
  old->state_cut_us = old->peers_cut_us = sim->now_us + 100 * MH_SECOND_US;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 100 * MH_SECOND_US;
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  sim->world->outage_until_us = sim->now_us + 40 * MH_SECOND_US;
  sim_run (sim, 40);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* The state service is away for longer than the old leader may keep anything alive: the tasks end
   with the workers' leases, and start again on the very machines once it is back. That nothing was
   heard while all reports were refused once had the whole fleet given back. */
static void
test_long_outage (void)
{
  Sim *sim = sim_new (51);
  SimUser *u = running_service (sim, 1, 4);
  sim->world->outage_until_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 59);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  WAIT (sim, 8, all_run, u);
  g_assert_cmpuint (sim->world->starts, ==, 8);
  for (guint i = 0; i < sim->world->machines->len; i++)
    g_assert_false (((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->gone);
  finish (sim);
}

/* A leader keeps its workers and users alone, and jobs are cancelled through the new one: nobody is
   told anything older by the first, and what is cancelled is gone in time. */
static void
test_cancel_beside_a_cut_leader (void)
{
  Sim *sim = sim_new (61);
  MhUserAnswer a;
  SimUser *u = running_service (sim, 1, 2), *other = running_service (sim, 2, 2);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  for (guint i = 0; i < sim->workers->len; i++)
    sim_worker (sim, i)->node = old->index;
  old->state_cut_us = old->peers_cut_us = sim->now_us + 60 * MH_SECOND_US;
  sim->hold_commands = true; /* no worker tells the old one of the new */
  sim_run (sim, 3);
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  sim_ask (sim, old->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_true (a.status == 503 || a.state == MH_JOB_CANCELLED);
  sim_release_commands (sim);
  sim_run (sim, 80);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  WAIT (sim, 60, all_run, other);
  finish (sim);
}

/* Ten leaders in two minutes, some of them inside an outage, while users submit and cancel. */
static void
test_ten_leaders (void)
{
  Sim *sim = sim_new (63);
  SimUser *u = running_service (sim, 1, 3);
  for (guint i = 0; i < 10; i++)
    {
      SimUser *next = sim_submit (sim, sim_spec (10 + i, MH_SHAPE_ARRAY, 3, 1), 4);
      SimNode *leader = sim_leader (sim);
      guint stopped = leader ? leader->index : i % SIM_NODES;
      if (i == 4)
        sim->world->outage_until_us = sim->now_us + 20 * MH_SECOND_US;
      if (i == 6)
        sim_cancel (u);
      sim_stop_node (sim, stopped);
      sim_run (sim, 3);
      sim_start_node (sim, stopped);
      sim_run (sim, 9);
      if (i % 3 == 0)
        sim_cancel (next);
    }
  wait_all (sim, 200);
  g_assert_true (u->told_cancelled);
  finish (sim);
}

/* A team is at its limit when the leader changes; a machine that runs its tasks can't be asked, and
   cancels fall into that. What may still run there counts, so that no more is started. */
static void
test_limit_across_leaders (void)
{
  Sim *sim = sim_new (64);
  SimUser *u = running_array (sim, 2, 16, 200); /* 16 cpus are blue's limit */
  MhJobSpec *s = sim_spec (4, MH_SHAPE_ARRAY, 16, 1);
  s->estimated_run_us = 300 * MH_SECOND_US;
  SimUser *more = sim_submit (sim, s, 5);
  WAIT (sim, 20, accepted, more);
  sim_run (sim, 5);
  SimWorker *lost = worker_of (sim, "j-000002/0");
  lost->cut_us = sim->now_us + 30 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  WAIT (sim, 200, told_done, more); /* the world checks the limit at each start */
  finish (sim);
}

/* No controller for longer than the workers' lease: whatever ran is gone, and runs again. */
static void
test_all_away_for_a_lease (void)
{
  Sim *sim = sim_new (76);
  SimUser *u = running_service (sim, 1, 3);
  SimUser *array = running_array (sim, 2, 6, 20);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_run (sim, 30);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  WAIT (sim, 15, all_run, u);
  WAIT (sim, 60, told_done, array);
  finish (sim);
}

/* Controllers hand over and back; then all end, and one is back within a moment, alone. */
static void
test_back_and_forth (void)
{
  Sim *sim = sim_new (82);
  SimUser *u = running_service (sim, 1, 3);
  running_service (sim, 3, 1);
  sim_run (sim, 10);
  for (guint i = 0; i < 4; i++)
    {
      SimNode *leader = sim_leader (sim);
      if (leader)
        leader->reports_lost_us = sim->now_us + 10 * MH_SECOND_US;
      sim_run (sim, 14);
    }
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_run (sim, 0.2);
  sim_start_node (sim, 1);
  sim_run (sim, 10);
  g_assert_true (sim_leader (sim) == &sim->nodes[1]);
  WAIT (sim, 60, all_run, u);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/outages/" name, (func))
  ADD ("lease-extension", test_lease_extension);
  ADD ("cancel-before-a-slow-load", test_cancel_before_a_slow_load);
  ADD ("no-room-for-lease-extension", test_no_room_for_lease_extension);
  ADD ("long-outage", test_long_outage);
  ADD ("cancel-beside-a-cut-leader", test_cancel_beside_a_cut_leader);
  ADD ("ten-leaders", test_ten_leaders);
  ADD ("limit-across-leaders", test_limit_across_leaders);
  ADD ("all-away-for-a-lease", test_all_away_for_a_lease);
  ADD ("back-and-forth", test_back_and_forth);
  return g_test_run ();
}
