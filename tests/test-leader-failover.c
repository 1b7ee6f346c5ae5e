/* Leaders that end, stand still, are cut off or succeed one another, and outages of the key-value
   store: whole controllers on a fake clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* A leader that stood still and goes on as if nothing had happened would be a second one, and would
   give machines back as silent. */
static void
test_stands_still (Simulation *simulation)
{
  User *user = running_service (simulation, 1, 3);
  ControllerNode *old = simulation_leader (simulation);
  guint starts = simulation->rules->task_starts;
  simulation_freeze_node (simulation, old->index, 8);
  for (guint i = 0; i < 200; i++)
    {
      simulation_run (simulation, 0.1);
      simulation_leader (simulation); /* asserts that there is at most one */
    }
  g_assert_true (simulation_leader (simulation) != old);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 3);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_false (simulation_logged (simulation, "releasing machine reason=silent"));
}

/* Its lease holds, since the key-value store was away meanwhile; were the time in which it stood
   still taken for silence of the machines, it would give them back. */
static void
test_stands_still_in_outage (Simulation *simulation)
{
  running_service (simulation, 1, 3);
  ControllerNode *old = simulation_leader (simulation);
  /* Nothing was queued up for it meanwhile. */
  worker_of (simulation, "j-000001/0")->reports_lost_until_us
      = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation->store->outage_until_us = simulation->clock->now_us + 11 * MH_SECOND_US;
  simulation_freeze_node (simulation, old->index, 11);
  simulation_run (simulation, 20);
  g_assert_true (simulation_logged (simulation, "stood still seconds="));
  g_assert_true (simulation_leader (simulation) == old);
  g_assert_false (simulation_logged (simulation, "releasing machine reason=silent"));
}

/* It stands still between deciding and sending: orders and answers that rested on its lease would
   leave after the end of it. */
static void
test_stands_still_deciding (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 6);
  WAIT (simulation, 60, all_run, user);
  ControllerNode *old = simulation_leader (simulation);
  old->freeze_before_acting_us = 4 * MH_SECOND_US;
  g_assert_cmpuint (
      simulation_ask (simulation, old->index, MH_USER_STATUS, "j-000001", NULL, &answer), ==, 503);
  /* The same with a start. */
  WAIT (simulation, 30, told_done, user);
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
}

/* Without questions to the machines that it knows, a new leader would place nothing before their
   workers have found it. */
static void
test_new_leader_asks (Simulation *simulation)
{
  running_service (simulation, 1, 1);
  simulation_run (simulation, 10); /* the cloud lists the machine */
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->reports_lost_until_us
        = simulation->clock->now_us + 10 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 4, all_run, user);
}

/* A successor that did not know what runs would start tasks again. */
static void
test_leader_crash (Simulation *simulation)
{
  User *user = running_service (simulation, 1, 3), *array;
  array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 6);
  WAIT (simulation, 30, accepted, array);
  guint old = simulation_leader (simulation)->index;
  simulation_stop_node (simulation, old);
  WAIT (simulation, 10, has_leader, NULL);
  g_assert_cmpuint (simulation_leader (simulation)->index, !=, old);
  WAIT (simulation, 90, told_done, array);
  WAIT (simulation, 10, all_run, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3 + 8); /* nothing ran again */
}

/* All controllers end in the middle of everything, and are back within a moment: what was under way
   would be lost or run twice. */
static void
test_all_crash (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 14, 1), 8);
  WAIT (simulation, 30, accepted, user);
  for (guint round = 0; round < 4; round++)
    {
      simulation_run (simulation, 4);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_stop_node (simulation, i);
      simulation_run (simulation, 0.2);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
    }
  WAIT (simulation, 120, told_done, user);
}

/* A leader that loses the key-value store alone would go on ordering, or keep its workers from its
   successor, and what runs would be lost. */
static void
test_leader_cut_from_state (Simulation *simulation)
{
  User *user = running_service (simulation, 1, 4);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 4);
  g_assert_true (simulation_leader (simulation) != old);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* The same, and the peers cannot hear one another either: the old leader holds the workers for a
   while, and the new one would give their machines back, or start their tasks again. */
static void
test_leader_cut_off_and_unheard (Simulation *simulation)
{
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
}

/* Replicas would end in an outage of the key-value store that is longer than the workers' lease,
   and users would wait for answers that cannot come. */
static void
test_state_outage (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = running_service (simulation, 1, 3);
  ControllerNode *leader = simulation_leader (simulation);
  simulation->store->outage_until_us = simulation->clock->now_us + 18 * MH_SECOND_US;
  simulation_run (simulation, 5);
  /* What cannot be written is answered at once. */
  gint64 asked = simulation->clock->now_us;
  g_assert_cmpuint (simulation_ask (simulation, leader->index, MH_USER_SUBMIT, "j-000009",
                                    job_spec_new (9, MH_SHAPE_ARRAY, 1, 1), &answer),
                    ==, 503);
  g_assert_cmpint (simulation->clock->now_us - asked, <, MH_SECOND_US);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 3);
  g_assert_true (simulation_leader (simulation) == leader); /* its lease had its full time again */
}

/* A job that is cancelled by the new leader would live on as long as the old one keeps its workers
   alive. */
static void
test_cancel_behind_old_leader (Simulation *simulation)
{
  User *user = running_service (simulation, 1, 2);
  ControllerNode *old = simulation_leader (simulation);
  old->store_cut_until_us = old->peers_cut_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US; /* no machine is released */
  simulation_run (simulation, 3);
  user_cancel (user);
  WAIT (simulation, 20, told_cancelled, user);
  simulation_run (simulation, 60); /* the world checks cancel_s */
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* The leader's last write is carried out, but it does not hear of it; another controller, which
   does not know who leads, reads the record: the user would be told "done" and then something
   older. */
static void
test_no_answer_past_the_leader (Simulation *simulation)
{
  MhUserResponse answer;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 3);
  WAIT (simulation, 30, all_run, user);
  ControllerNode *leader = simulation_leader (simulation);
  guint other = (leader->index + 1) % SIMULATION_NODES;
  /* The other one starts afresh, without its peers, with its first look at the leader's key lost.
   */
  simulation->nodes[other].peers_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < 200 && !user->told_done; i++)
    {
      simulation_stop_node (simulation, other);
      simulation_start_node (simulation, other);
      leader->write_answers_lost_until_us = simulation->clock->now_us + MH_SECOND_US / 2;
      if (simulation_ask (simulation, other, MH_USER_STATUS, "j-000001", NULL, &answer) == 200
          && answer.state == MH_JOB_DONE)
        {
          simulation_ask (simulation, leader->index, MH_USER_STATUS, "j-000001", NULL, &answer);
          g_assert_true (answer.status != 200 || answer.state == MH_JOB_DONE);
        }
      simulation_run (simulation, 0.05);
    }
  WAIT (simulation, 30, told_done, user);
}

/* The leader keeps its workers and loses all else: they would come to its successor only when it
   lets them go, and what runs would be lost. */
static void
test_isolated_leader (Simulation *simulation)
{
  User *user = running_service (simulation, 1, 4);
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
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      g_assert_true (machine->gone || worker->node != old->index);
    }
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* A controller that cannot reach the leader, which lives, would keep users from it; one whose
   leader has just died must not send them away, as all would do so at once. */
static void
test_unreached_leader (Simulation *simulation)
{
  MhUserResponse answer;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  ControllerNode *other
      = &simulation->nodes[(simulation_leader (simulation)->index + 1) % SIMULATION_NODES];
  g_assert_true (controller_ready (other->controller));
  other->peers_cut_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 2; i++)
    simulation_ask (simulation, other->index, MH_USER_STATUS, "j-000001", NULL, &answer);
  g_assert_cmpuint (answer.status, ==, 503);
  simulation_run (simulation, 0.5);
  g_assert_false (controller_ready (other->controller));
  simulation_run (simulation, 5);
  g_assert_true (controller_ready (other->controller));
  simulation_run (simulation, 20);
  g_assert_cmpuint (
      simulation_ask (simulation, other->index, MH_USER_STATUS, "j-000001", NULL, &answer), ==,
      404);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  for (guint i = 0; i < 20; i++)
    {
      simulation_run (simulation, 0.2);
      g_assert_true (controller_ready (other->controller));
    }
}

/* A controller ends while its election is being written, and is back at once. What its earlier life
   wrote arrives late, with the same node and the same epoch, but attached to a lease that nobody
   renews: taken for its own, it would lead beside another. */
static void
test_back_in_mid_election (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  g_tree_remove_all (simulation->store->keys);
  ControllerNode *node = &simulation->nodes[0];
  node->hold_writes = true;
  simulation_start_node (simulation, 0);
  simulation_run (simulation, 0.2);
  g_assert_cmpuint (simulation->network->held_writes->len, ==, 1);
  simulation_stop_node (simulation, 0);
  simulation_run (simulation, 0.1);
  simulation_start_node (simulation, 0);
  simulation_run (simulation, 0.2);
  g_assert_cmpuint (simulation->network->held_writes->len, ==, 2);
  node->peers_cut_until_us
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
  node->hold_writes = false;
  simulation_run (simulation, 5);
  g_assert_nonnull (simulation_leader (simulation));
}

/* The leader is cut off from the workers alone: their leases would run out though another
   controller hears them. */
static void
test_leader_loses_workers (Simulation *simulation)
{
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  User *user = running_service (simulation, 1, 4);
  ControllerNode *old = simulation_leader (simulation);
  old->workers_cut_until_us = simulation->clock->now_us + 90 * MH_SECOND_US;
  simulation_run (simulation, 13);
  g_assert_true (simulation_leader (simulation) && simulation_leader (simulation) != old);
  simulation_run (simulation, 30);
  g_assert_true (simulation_leader (simulation) != old);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* Workers of controllers that are away wait for an answer of one after the other. The only one that
   is left once transferred its leadership to nobody meanwhile, and led again seconds later with
   nothing known. */
static void
test_last_controller_waits_for_workers (Simulation *simulation)
{
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
}

/* Every controller is cut off from the workers: leadership would be passed round for ever. */
static void
test_nobody_hears_workers (Simulation *simulation)
{
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
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/leader-failover/stands-still", 42, test_stands_still);
  simulation_test_add ("/leader-failover/stands-still-in-outage", 43, test_stands_still_in_outage);
  simulation_test_add ("/leader-failover/stands-still-deciding", 44, test_stands_still_deciding);
  simulation_test_add ("/leader-failover/new-leader-asks", 29, test_new_leader_asks);
  simulation_test_add ("/leader-failover/leader-crash", 12, test_leader_crash);
  simulation_test_add ("/leader-failover/all-crash", 13, test_all_crash);
  simulation_test_add ("/leader-failover/leader-cut-off-from-store", 14,
                       test_leader_cut_from_state);
  simulation_test_add ("/leader-failover/leader-cut-off-and-unheard", 15,
                       test_leader_cut_off_and_unheard);
  simulation_test_add ("/leader-failover/store-outage", 16, test_state_outage);
  simulation_test_add ("/leader-failover/cancel-behind-old-leader", 17,
                       test_cancel_behind_old_leader);
  simulation_test_add ("/leader-failover/no-answer-past-the-leader", 25,
                       test_no_answer_past_the_leader);
  simulation_test_add ("/leader-failover/isolated-leader", 32, test_isolated_leader);
  simulation_test_add ("/leader-failover/unreached-leader", 39, test_unreached_leader);
  simulation_test_add ("/leader-failover/back-in-mid-election", 33, test_back_in_mid_election);
  simulation_test_add ("/leader-failover/leader-loses-workers", 40, test_leader_loses_workers);
  simulation_test_add ("/leader-failover/last-controller-waits-for-workers", 46,
                       test_last_controller_waits_for_workers);
  simulation_test_add ("/leader-failover/nobody-hears-workers", 47, test_nobody_hears_workers);
  return g_test_run ();
}
