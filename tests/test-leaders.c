/* Leaders that end, stand still, are cut off or succeed one another, and outages of the state
   service. On a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* The leader stands still, others lead meanwhile, and it goes on as if nothing had happened: there
   are never two, and no machine is given back for it. */
static void
test_stands_still (void)
{
  Simulation *simulation = simulation_new (42);
  User *u = running_service (simulation, 1, 3);
  ControllerNode *old = simulation_leader (simulation);
  guint starts = simulation->rules->task_starts;
  simulation_freeze_node (simulation, old->index, 8);
  for (guint i = 0; i < 200; i++)
    {
      simulation_run (simulation, 0.1);
      simulation_leader (simulation); /* asserts that there is at most one */
    }
  g_assert_true (simulation_leader (simulation) != old);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 3);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_false (simulation_logged (simulation, "releasing machine reason=silent"));
  finish (simulation);
}

/* It stands still while the state service is away, so that its lease holds: what it has not heard
   meanwhile says nothing of the machines. */
static void
test_stands_still_in_outage (void)
{
  Simulation *simulation = simulation_new (43);
  running_service (simulation, 1, 3);
  ControllerNode *old = simulation_leader (simulation);
  /* Nothing was queued up for it meanwhile. */
  worker_of (simulation, "j-000001/0")->reports_lost_until_us
      = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation->store->outage_until_us = simulation->clock->now_us + 11 * MH_SECOND_US;
  simulation_freeze_node (simulation, old->index, 11);
  simulation_run (simulation, 20);
  g_assert_true (simulation_logged (simulation, "stood still: seconds="));
  g_assert_true (simulation_leader (simulation) == old);
  g_assert_false (simulation_logged (simulation, "releasing machine reason=silent"));
  finish (simulation);
}

/* It stands still between deciding and sending: what rested on its lease is neither ordered nor
   answered when it goes on. */
static void
test_stands_still_deciding (void)
{
  Simulation *simulation = simulation_new (44);
  MhUserAnswer a;
  User *u = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 6);
  WAIT (simulation, 60, all_run, u);
  ControllerNode *old = simulation_leader (simulation);
  old->freeze_before_acting_us = 4 * MH_SECOND_US;
  g_assert_cmpuint (simulation_ask (simulation, old->index, MH_USER_STATUS, "j-000001", NULL, &a),
                    ==, 503);
  /* The same with a start. */
  WAIT (simulation, 30, told_done, u);
  running_service (simulation, 3, 1);
  old = simulation_leader (simulation);
  User *late = simulation_submit (simulation, job_spec_new (5, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 10, accepted, late);
  old->freeze_before_acting_us = 6 * MH_SECOND_US;
  simulation_run (simulation, 5.5);
  simulation->network->keep_requests = true;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != old->index)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 0.7);
  for (guint i = 0; i < simulation->network->kept_requests->len; i++)
    g_assert_false (outgoing_calls_kept_is_command (simulation, i));
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  WAIT (simulation, 30, all_run, late);
  finish (simulation);
}

/* A new leader asks the machines that it knows, and places before their workers have found it. */
static void
test_new_leader_asks (void)
{
  Simulation *simulation = simulation_new (29);
  running_service (simulation, 1, 1);
  simulation_run (simulation, 10); /* the cloud lists the machine */
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->reports_lost_until_us
        = simulation->clock->now_us + 10 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  User *u = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 4, all_run, u);
  finish (simulation);
}

static void
test_leader_crash (void)
{
  Simulation *simulation = simulation_new (12);
  User *u = running_service (simulation, 1, 3), *array;
  array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 6);
  WAIT (simulation, 30, accepted, array);
  guint old = simulation_leader (simulation)->index;
  simulation_stop_node (simulation, old);
  WAIT (simulation, 10, has_leader, NULL);
  g_assert_cmpuint (simulation_leader (simulation)->index, !=, old);
  WAIT (simulation, 90, told_done, array);
  WAIT (simulation, 10, all_run, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3 + 8); /* nothing ran again */
  finish (simulation);
}

/* All of them, in the middle of everything, and back within a moment. */
static void
test_all_crash (void)
{
  Simulation *simulation = simulation_new (13);
  User *u = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 14, 1), 8);
  WAIT (simulation, 30, accepted, u);
  for (guint round = 0; round < 4; round++)
    {
      simulation_run (simulation, 4);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_stop_node (simulation, i);
      simulation_run (simulation, 0.2);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
    }
  WAIT (simulation, 120, told_done, u);
  finish (simulation);
}

/* The leader loses the state service alone: it stops ordering, hears from its peers who leads, and
   hands the workers over; nothing that runs is lost. */
static void
test_leader_cut_from_state (void)
{
  Simulation *simulation = simulation_new (14);
  User *u = running_service (simulation, 1, 4);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 4);
  g_assert_true (simulation_leader (simulation) != old);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 4);
  finish (simulation);
}

/* The same, and the peers cannot hear one another either: the old leader holds the workers for a
   while. The new one must not give their machines back, nor restart anything. */
static void
test_leader_cut_off_and_unheard (void)
{
  Simulation *simulation = simulation_new (15);
  running_service (simulation, 1, 4);
  running_service (simulation, 2, 4);
  running_service (simulation, 3, 4);
  running_service (simulation, 4, 4);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = old->peers_cut_until_us = simulation->clock->now_us + 25 * MH_SECOND_US;
  simulation_run (simulation, 60);
  for (guint i = 1; i <= 4; i++)
    {
      g_autofree char *job = g_strdup_printf ("j-%06u", i);
      g_assert_cmpuint (simulation_running_tasks (simulation, job), ==, 4);
    }
  finish (simulation);
}

/* Replicas survive an outage of the state service that is longer than the workers' lease. */
static void
test_state_outage (void)
{
  Simulation *simulation = simulation_new (16);
  MhUserAnswer a;
  User *u = running_service (simulation, 1, 3);
  ControllerNode *leader = simulation_leader (simulation);
  simulation->store->outage_until_us = simulation->clock->now_us + 18 * MH_SECOND_US;
  simulation_run (simulation, 5);
  /* What cannot be written is answered at once. */
  gint64 asked = simulation->clock->now_us;
  g_assert_cmpuint (simulation_ask (simulation, leader->index, MH_USER_SUBMIT, "j-000009",
                                    job_spec_new (9, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  g_assert_cmpint (simulation->clock->now_us - asked, <, MH_SECOND_US);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 3);
  g_assert_true (simulation_leader (simulation) == leader); /* its lease had its full time again */
  finish (simulation);
}

/* A job cancelled by the new leader while the old one keeps workers alive is gone in time. */
static void
test_cancel_behind_old_leader (void)
{
  Simulation *simulation = simulation_new (17);
  User *u = running_service (simulation, 1, 2);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = old->peers_cut_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US; /* no machine is released */
  simulation_run (simulation, 3);
  user_cancel (u);
  WAIT (simulation, 20, told_cancelled, u);
  simulation_run (simulation, 60); /* the world checks cancel_s */
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  finish (simulation);
}

/* The leader's last write is carried out, but it does not hear of it; another controller, which
   does not know who leads, reads the record. The user must not be told "done" and then something
   older. */
static void
test_no_answer_past_the_leader (void)
{
  Simulation *simulation = simulation_new (25);
  MhUserAnswer a;
  User *u = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 3);
  WAIT (simulation, 30, all_run, u);
  ControllerNode *leader = simulation_leader (simulation);
  guint other = (leader->index + 1) % SIMULATION_NODES;
  /* The other one starts afresh, without its peers, with its first look at the leader's key lost.
   */
  simulation->nodes[other].peers_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < 200 && !u->told_done; i++)
    {
      simulation_stop_node (simulation, other);
      simulation_start_node (simulation, other);
      leader->write_answers_lost_until_us = simulation->clock->now_us + MH_SECOND_US / 2;
      if (simulation_ask (simulation, other, MH_USER_STATUS, "j-000001", NULL, &a) == 200
          && a.state == MH_JOB_DONE)
        {
          simulation_ask (simulation, leader->index, MH_USER_STATUS, "j-000001", NULL, &a);
          g_assert_true (a.status != 200 || a.state == MH_JOB_DONE);
        }
      simulation_run (simulation, 0.05);
    }
  WAIT (simulation, 30, told_done, u);
  finish (simulation);
}

/* The leader keeps its workers and loses all else. Nothing that runs is lost, and the workers are
   with the successor long before the former leader would have let them go. */
static void
test_isolated_leader (void)
{
  Simulation *simulation = simulation_new (32);
  User *u = running_service (simulation, 1, 4);
  ControllerNode *old = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->node = old->index;
  simulation_run (simulation, 10); /* the cloud lists the machines */
  old->store_cut_until_us = old->peers_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 10);
  ControllerNode *now = simulation_leader (simulation);
  g_assert_true (now && now != old);
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *m = g_ptr_array_index (simulation->cloud->machines, i);
      Worker *w = g_ptr_array_index (simulation->workers, i);
      g_assert_true (m->gone || w->node != old->index);
    }
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 4);
  finish (simulation);
}

/* A controller that cannot reach the leader, which lives, sends its users elsewhere for a while,
   and tries again. One whose leader has just died does not: all would at once. */
static void
test_unreached_leader (void)
{
  Simulation *simulation = simulation_new (39);
  MhUserAnswer a;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  ControllerNode *other
      = &simulation->nodes[(simulation_leader (simulation)->index + 1) % SIMULATION_NODES];
  g_assert_true (controller_ready (other->controller));
  other->peers_cut_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 2; i++)
    simulation_ask (simulation, other->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_cmpuint (a.status, ==, 503);
  simulation_run (simulation, 0.5);
  g_assert_false (controller_ready (other->controller));
  simulation_run (simulation, 5);
  g_assert_true (controller_ready (other->controller));
  simulation_run (simulation, 20);
  g_assert_cmpuint (simulation_ask (simulation, other->index, MH_USER_STATUS, "j-000001", NULL, &a),
                    ==, 404);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  for (guint i = 0; i < 20; i++)
    {
      simulation_run (simulation, 0.2);
      g_assert_true (controller_ready (other->controller));
    }
  finish (simulation);
}

/* A controller ends while its election is being written, and is back at once. What its earlier life
   wrote arrives late, with the same node and the same epoch, but attached to a lease that nobody
   renews: the new life must not take that for its own. */
static void
test_back_in_mid_election (void)
{
  Simulation *simulation = simulation_new (33);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  g_tree_remove_all (simulation->store->keys);
  ControllerNode *n = &simulation->nodes[0];
  n->hold_writes = true;
  simulation_start_node (simulation, 0);
  simulation_run (simulation, 0.2);
  g_assert_cmpuint (simulation->network->held_writes->len, ==, 1);
  simulation_stop_node (simulation, 0);
  simulation_run (simulation, 0.1);
  simulation_start_node (simulation, 0);
  simulation_run (simulation, 0.2);
  g_assert_cmpuint (simulation->network->held_writes->len, ==, 2);
  n->peers_cut_until_us
      = simulation->clock->now_us + 60 * MH_SECOND_US; /* nobody tells it of another leader */
  outgoing_calls_release_write (simulation, true);     /* the earlier life's */
  outgoing_calls_release_write (simulation, false);    /* its own: the connection breaks */
  simulation_start_node (simulation, 1);
  /* simulation_leader() asserts that there are never two. */
  for (guint i = 0; i < 60; i++)
    {
      simulation_run (simulation, 0.1);
      simulation_leader (simulation);
    }
  n->hold_writes = false;
  simulation_run (simulation, 5);
  g_assert_nonnull (simulation_leader (simulation));
  finish (simulation);
}

/* The leader is cut off from the workers alone. Another controller, which hears them, leads before
   their leases run out. */
static void
test_leader_loses_workers (void)
{
  Simulation *simulation = simulation_new (40);
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  User *u = running_service (simulation, 1, 4);
  ControllerNode *old = simulation_leader (simulation);
  old->workers_cut_until_us = simulation->clock->now_us + 90 * MH_SECOND_US;
  simulation_run (simulation, 13);
  g_assert_true (simulation_leader (simulation) && simulation_leader (simulation) != old);
  simulation_run (simulation, 30);
  g_assert_true (simulation_leader (simulation) != old);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, u->job->spec->id), ==, 4);
  finish (simulation);
}

/* Workers of controllers that are away wait for an answer of one after the other. The only one that
   is left once handed over to nobody meanwhile, and led again seconds later with nothing known. */
static void
test_last_controller_waits_for_workers (void)
{
  Simulation *simulation = simulation_new (46);
  for (guint i = 0; i < 6; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  running_service (simulation, 1, 4);
  guint old = simulation_leader (simulation)->index;
  guint next = (old + 1) % SIMULATION_NODES;
  simulation_stop_node (simulation, next);
  simulation_run (simulation, 6);
  simulation_freeze_node (simulation, old, 30);
  simulation_run (simulation, 3);
  const ControllerNode *last = simulation_leader (simulation);
  g_assert_true (last && last->index != old && last->index != next);
  for (guint i = 0; i < 240; i++)
    {
      simulation_run (simulation, 0.1);
      g_assert_true (simulation_leader (simulation) == last);
    }
  finish (simulation);
}

/* Every controller is cut off from the workers: leadership is not passed round for ever. */
static void
test_nobody_hears_workers (void)
{
  Simulation *simulation = simulation_new (47);
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  running_service (simulation, 1, 4);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].reports_lost_until_us = simulation->clock->now_us + 120 * MH_SECOND_US;
  guint changes = 0;
  const ControllerNode *before = simulation_leader (simulation);
  for (guint i = 0; i < 1200; i++)
    {
      simulation_run (simulation, 0.1);
      const ControllerNode *leader = simulation_leader (simulation);
      if (leader && leader != before)
        {
          changes++;
          before = leader;
        }
    }
  g_assert_cmpuint (changes, <=, 6);
  simulation_run (simulation, 60);
  finish (simulation);
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
