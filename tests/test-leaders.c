/* Leaders that end, stand still, are cut off or succeed one another, and outages of the state
   service. On a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* The leader stands still, others lead meanwhile, and it goes on as if nothing had happened: there
   are never two, and no machine is given back for it. */
static void
test_stands_still (void)
{
  Sim *sim = sim_new (42);
  SimUser *u = running_service (sim, 1, 3);
  SimNode *old = sim_leader (sim);
  guint starts = sim->world->starts;
  sim_freeze_node (sim, old->index, 8);
  for (guint i = 0; i < 200; i++)
    {
      sim_run (sim, 0.1);
      sim_leader (sim); /* asserts that there is at most one */
    }
  g_assert_true (sim_leader (sim) != old);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 3);
  g_assert_cmpuint (sim->world->starts, ==, starts);
  g_assert_false (sim_logged (sim, "given back: silent"));
  finish (sim);
}

/* It stands still while the state service is away, so that its lease holds: what it has not heard
   meanwhile says nothing of the machines. */
static void
test_stands_still_in_outage (void)
{
  Sim *sim = sim_new (43);
  running_service (sim, 1, 3);
  SimNode *old = sim_leader (sim);
  /* Nothing was queued up for it meanwhile. */
  worker_of (sim, "j-000001/0")->reports_lost_us = sim->now_us + 12 * MH_SECOND_US;
  sim->world->outage_until_us = sim->now_us + 11 * MH_SECOND_US;
  sim_freeze_node (sim, old->index, 11);
  sim_run (sim, 20);
  g_assert_true (sim_logged (sim, "stood still: seconds="));
  g_assert_true (sim_leader (sim) == old);
  g_assert_false (sim_logged (sim, "given back: silent"));
  finish (sim);
}

/* It stands still between deciding and sending: what rested on its lease is neither ordered nor
   answered when it goes on. */
static void
test_stands_still_deciding (void)
{
  Sim *sim = sim_new (44);
  MhUserAnswer a;
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 6);
  WAIT (sim, 60, all_run, u);
  SimNode *old = sim_leader (sim);
  old->freeze_deciding_us = 4 * MH_SECOND_US;
  g_assert_cmpuint (sim_ask (sim, old->index, MH_USER_STATUS, "j-000001", NULL, &a), ==, 503);
  /* The same with a start. */
  WAIT (sim, 30, told_done, u);
  running_service (sim, 3, 1);
  old = sim_leader (sim);
  SimUser *late = sim_submit (sim, sim_spec (5, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 10, accepted, late);
  old->freeze_deciding_us = 6 * MH_SECOND_US;
  sim_run (sim, 5.5);
  sim->keep_requests = true;
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != old->index)
      sim_stop_node (sim, i);
  sim_run (sim, 0.7);
  for (guint i = 0; i < sim->kept->len; i++)
    g_assert_false (sim_is_command (sim, i));
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  WAIT (sim, 30, all_run, late);
  finish (sim);
}

/* A new leader asks the machines that it knows, and places before their workers have found it. */
static void
test_new_leader_asks (void)
{
  Sim *sim = sim_new (29);
  running_service (sim, 1, 1);
  sim_run (sim, 10); /* the cloud lists the machine */
  for (guint i = 0; i < sim->workers->len; i++)
    ((SimWorker *)g_ptr_array_index (sim->workers, i))->reports_lost_us
        = sim->now_us + 10 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 4, all_run, u);
  finish (sim);
}

static void
test_leader_crash (void)
{
  Sim *sim = sim_new (12);
  SimUser *u = running_service (sim, 1, 3), *array;
  array = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 8, 1), 6);
  WAIT (sim, 30, accepted, array);
  guint old = sim_leader (sim)->index;
  sim_stop_node (sim, old);
  WAIT (sim, 10, has_leader, NULL);
  g_assert_cmpuint (sim_leader (sim)->index, !=, old);
  WAIT (sim, 90, told_done, array);
  WAIT (sim, 10, all_run, u);
  g_assert_cmpuint (sim->world->starts, ==, 3 + 8); /* nothing ran again */
  finish (sim);
}

/* All of them, in the middle of everything, and back within a moment. */
static void
test_all_crash (void)
{
  Sim *sim = sim_new (13);
  SimUser *u = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 14, 1), 8);
  WAIT (sim, 30, accepted, u);
  for (guint round = 0; round < 4; round++)
    {
      sim_run (sim, 4);
      for (guint i = 0; i < SIM_NODES; i++)
        sim_stop_node (sim, i);
      sim_run (sim, 0.2);
      for (guint i = 0; i < SIM_NODES; i++)
        sim_start_node (sim, i);
    }
  WAIT (sim, 120, told_done, u);
  finish (sim);
}

/* The leader loses the state service alone: it stops ordering, hears from its peers who leads, and
   hands the workers over; nothing that runs is lost. */
static void
test_leader_cut_from_state (void)
{
  Sim *sim = sim_new (14);
  SimUser *u = running_service (sim, 1, 4);
  SimNode *old = sim_leader (sim);
  old->state_cut_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 4);
  g_assert_true (sim_leader (sim) != old);
  sim_run (sim, 60);
  g_assert_cmpuint (sim->world->starts, ==, 4);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 4);
  finish (sim);
}

/* The same, and the peers cannot hear one another either: the old leader holds the workers for a
   while. The new one must not give their machines back, nor restart anything. */
static void
test_leader_cut_off_and_unheard (void)
{
  Sim *sim = sim_new (15);
  running_service (sim, 1, 4);
  running_service (sim, 2, 4);
  running_service (sim, 3, 4);
  running_service (sim, 4, 4);
  SimNode *old = sim_leader (sim);
  old->state_cut_us = old->peers_cut_us = sim->now_us + 25 * MH_SECOND_US;
  sim_run (sim, 60);
  for (guint i = 1; i <= 4; i++)
    {
      g_autofree char *job = g_strdup_printf ("j-%06u", i);
      g_assert_cmpuint (world_running (sim->world, job), ==, 4);
    }
  finish (sim);
}

/* Replicas survive an outage of the state service that is longer than the workers' lease. */
static void
test_state_outage (void)
{
  Sim *sim = sim_new (16);
  MhUserAnswer a;
  SimUser *u = running_service (sim, 1, 3);
  SimNode *leader = sim_leader (sim);
  sim->world->outage_until_us = sim->now_us + 18 * MH_SECOND_US;
  sim_run (sim, 5);
  /* What cannot be written is answered at once. */
  gint64 asked = sim->now_us;
  g_assert_cmpuint (sim_ask (sim, leader->index, MH_USER_SUBMIT, "j-000009",
                             sim_spec (9, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  g_assert_cmpint (sim->now_us - asked, <, MH_SECOND_US);
  sim_run (sim, 30);
  g_assert_cmpuint (sim->world->starts, ==, 3);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 3);
  g_assert_true (sim_leader (sim) == leader); /* its lease had its full time again */
  finish (sim);
}

/* A job cancelled by the new leader while the old one keeps workers alive is gone in time. */
static void
test_cancel_behind_old_leader (void)
{
  Sim *sim = sim_new (17);
  SimUser *u = running_service (sim, 1, 2);
  SimNode *old = sim_leader (sim);
  old->state_cut_us = old->peers_cut_us = sim->now_us + 200 * MH_SECOND_US;
  sim->world->cloud_outage_until_us = sim->now_us + 200 * MH_SECOND_US; /* no machine is released */
  sim_run (sim, 3);
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  sim_run (sim, 60); /* the world checks cancel_s */
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* The leader's last write is carried out, but it does not hear of it; another controller, which
   does not know who leads, reads the record. The user must not be told "done" and then something
   older. */
static void
test_no_answer_past_the_leader (void)
{
  Sim *sim = sim_new (25);
  MhUserAnswer a;
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 3);
  WAIT (sim, 30, all_run, u);
  SimNode *leader = sim_leader (sim);
  guint other = (leader->index + 1) % SIM_NODES;
  /* The other one starts afresh, without its peers, with its first look at the leader's key lost.
   */
  sim->nodes[other].peers_cut_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < 200 && !u->told_done; i++)
    {
      sim_stop_node (sim, other);
      sim_start_node (sim, other);
      leader->write_answers_lost_us = sim->now_us + MH_SECOND_US / 2;
      if (sim_ask (sim, other, MH_USER_STATUS, "j-000001", NULL, &a) == 200
          && a.state == MH_JOB_DONE)
        {
          sim_ask (sim, leader->index, MH_USER_STATUS, "j-000001", NULL, &a);
          g_assert_true (a.status != 200 || a.state == MH_JOB_DONE);
        }
      sim_run (sim, 0.05);
    }
  WAIT (sim, 30, told_done, u);
  finish (sim);
}

/* The leader keeps its workers and loses all else. Nothing that runs is lost, and the workers are
   with the successor long before the former leader would have let them go. */
static void
test_isolated_leader (void)
{
  Sim *sim = sim_new (32);
  SimUser *u = running_service (sim, 1, 4);
  SimNode *old = sim_leader (sim);
  for (guint i = 0; i < sim->workers->len; i++)
    ((SimWorker *)g_ptr_array_index (sim->workers, i))->node = old->index;
  sim_run (sim, 10); /* the cloud lists the machines */
  old->state_cut_us = old->peers_cut_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 10);
  SimNode *now = sim_leader (sim);
  g_assert_true (now && now != old);
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (sim->world->machines, i);
      SimWorker *w = g_ptr_array_index (sim->workers, i);
      g_assert_true (m->gone || w->node != old->index);
    }
  sim_run (sim, 60);
  g_assert_cmpuint (sim->world->starts, ==, 4);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 4);
  finish (sim);
}

/* A controller that cannot reach the leader, which lives, sends its users elsewhere for a while,
   and tries again. One whose leader has just died does not: all would at once. */
static void
test_unreached_leader (void)
{
  Sim *sim = sim_new (39);
  MhUserAnswer a;
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 2);
  SimNode *other = &sim->nodes[(sim_leader (sim)->index + 1) % SIM_NODES];
  g_assert_true (controller_ready (other->controller));
  other->peers_cut_us = sim->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 2; i++)
    sim_ask (sim, other->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_cmpuint (a.status, ==, 503);
  sim_run (sim, 0.5);
  g_assert_false (controller_ready (other->controller));
  sim_run (sim, 5);
  g_assert_true (controller_ready (other->controller));
  sim_run (sim, 20);
  g_assert_cmpuint (sim_ask (sim, other->index, MH_USER_STATUS, "j-000001", NULL, &a), ==, 404);
  sim_stop_node (sim, sim_leader (sim)->index);
  for (guint i = 0; i < 20; i++)
    {
      sim_run (sim, 0.2);
      g_assert_true (controller_ready (other->controller));
    }
  finish (sim);
}

/* A controller ends while its election is being written, and is back at once. What its earlier life
   wrote arrives late, with the same node and the same epoch, but attached to a lease that nobody
   renews: the new life must not take that for its own. */
static void
test_back_in_mid_election (void)
{
  Sim *sim = sim_new (33);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  g_tree_remove_all (sim->world->keys);
  SimNode *n = &sim->nodes[0];
  n->hold_writes = true;
  sim_start_node (sim, 0);
  sim_run (sim, 0.2);
  g_assert_cmpuint (sim->held_writes->len, ==, 1);
  sim_stop_node (sim, 0);
  sim_run (sim, 0.1);
  sim_start_node (sim, 0);
  sim_run (sim, 0.2);
  g_assert_cmpuint (sim->held_writes->len, ==, 2);
  n->peers_cut_us = sim->now_us + 60 * MH_SECOND_US; /* nobody tells it of another leader */
  sim_release_write (sim, true);                     /* the earlier life's */
  sim_release_write (sim, false);                    /* its own: the connection breaks */
  sim_start_node (sim, 1);
  /* sim_leader() asserts that there are never two. */
  for (guint i = 0; i < 60; i++)
    {
      sim_run (sim, 0.1);
      sim_leader (sim);
    }
  n->hold_writes = false;
  sim_run (sim, 5);
  g_assert_nonnull (sim_leader (sim));
  finish (sim);
}

/* The leader is cut off from the workers alone. Another controller, which hears them, leads before
   their leases run out. */
static void
test_leader_loses_workers (void)
{
  Sim *sim = sim_new (40);
  for (guint i = 0; i < 4; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  sim_run (sim, 8);
  SimUser *u = running_service (sim, 1, 4);
  SimNode *old = sim_leader (sim);
  old->workers_cut_us = sim->now_us + 90 * MH_SECOND_US;
  sim_run (sim, 13);
  g_assert_true (sim_leader (sim) && sim_leader (sim) != old);
  sim_run (sim, 30);
  g_assert_true (sim_leader (sim) != old);
  g_assert_cmpuint (sim->world->starts, ==, 4);
  g_assert_cmpuint (world_running (sim->world, u->job->spec->id), ==, 4);
  finish (sim);
}

/* Workers of controllers that are away wait for an answer of one after the other. The only one that
   is left once handed over to nobody meanwhile, and led again seconds later with nothing known. */
static void
test_last_controller_waits_for_workers (void)
{
  Sim *sim = sim_new (46);
  for (guint i = 0; i < 6; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  sim_run (sim, 8);
  running_service (sim, 1, 4);
  guint old = sim_leader (sim)->index;
  guint next = (old + 1) % SIM_NODES;
  sim_stop_node (sim, next);
  sim_run (sim, 6);
  sim_freeze_node (sim, old, 30);
  sim_run (sim, 3);
  const SimNode *last = sim_leader (sim);
  g_assert_true (last && last->index != old && last->index != next);
  for (guint i = 0; i < 240; i++)
    {
      sim_run (sim, 0.1);
      g_assert_true (sim_leader (sim) == last);
    }
  finish (sim);
}

/* Every controller is cut off from the workers: leadership is not passed round for ever. */
static void
test_nobody_hears_workers (void)
{
  Sim *sim = sim_new (47);
  for (guint i = 0; i < 4; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  sim_run (sim, 8);
  running_service (sim, 1, 4);
  for (guint i = 0; i < SIM_NODES; i++)
    sim->nodes[i].reports_lost_us = sim->now_us + 120 * MH_SECOND_US;
  guint changes = 0;
  const SimNode *before = sim_leader (sim);
  for (guint i = 0; i < 1200; i++)
    {
      sim_run (sim, 0.1);
      const SimNode *leader = sim_leader (sim);
      if (leader && leader != before)
        {
          changes++;
          before = leader;
        }
    }
  g_assert_cmpuint (changes, <=, 6);
  sim_run (sim, 60);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/leaders/" name, (func))
  ADD ("stands-still", test_stands_still);
  ADD ("stands-still-in-outage", test_stands_still_in_outage);
  ADD ("stands-still-deciding", test_stands_still_deciding);
  ADD ("new-leader-asks", test_new_leader_asks);
  ADD ("leader-crash", test_leader_crash);
  ADD ("all-crash", test_all_crash);
  ADD ("leader-cut-from-state", test_leader_cut_from_state);
  ADD ("leader-cut-off-and-unheard", test_leader_cut_off_and_unheard);
  ADD ("state-outage", test_state_outage);
  ADD ("cancel-behind-old-leader", test_cancel_behind_old_leader);
  ADD ("no-answer-past-the-leader", test_no_answer_past_the_leader);
  ADD ("isolated-leader", test_isolated_leader);
  ADD ("unreached-leader", test_unreached_leader);
  ADD ("back-in-mid-election", test_back_in_mid_election);
  ADD ("leader-loses-workers", test_leader_loses_workers);
  ADD ("last-controller-waits-for-workers", test_last_controller_waits_for_workers);
  ADD ("nobody-hears-workers", test_nobody_hears_workers);
  return g_test_run ();
}
