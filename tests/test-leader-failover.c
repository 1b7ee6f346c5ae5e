/* Tests failover when leaders crash, are paused or are cut off, and outages of the key-value store:
   complete controllers on a fake clock, with simulated peers. */
#include "steps.h"

#include <string.h>

/* A leader that resumes after a pause of its process must not act as a second leader, and must not
   release machines as silent because no heartbeat reached it during the pause. */
static void
test_paused_leader (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 3);
  ControllerNode *former_leader = simulation_leader (simulation);
  guint starts = simulation->rules->task_starts;
  simulation_pause_node (simulation, former_leader->index, 8);
  for (guint i = 0; i < 200; i++)
    {
      simulation_run (simulation, 0.1);
      simulation_leader (simulation); /* asserts that there is at most one */
    }
  g_assert_true (simulation_leader (simulation) != former_leader);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 3);
  g_assert_cmpuint (simulation->rules->task_starts, ==, starts);
  g_assert_false (simulation_has_logged (simulation, "releasing machine reason=silent"));
}

/* The leader is paused during an outage of the key-value store, so its lease does not expire. It
   must not count the time of the pause as silence of the machines, or it would release them. */
static void
test_paused_leader_in_store_outage (Simulation *simulation)
{
  start_service (simulation, 1, 3);
  ControllerNode *leader = simulation_leader (simulation);
  /* The worker sends no heartbeats, so none waits for the leader when it resumes. */
  worker_with_task (simulation, "j-000001/0")->heartbeats_lost_until_us
      = simulation->clock->now_us + 12 * MH_SECOND_US;
  simulation->store->outage_until_us = simulation->clock->now_us + 11 * MH_SECOND_US;
  simulation_pause_node (simulation, leader->index, 11);
  simulation_run (simulation, 20);
  g_assert_true (simulation_has_logged (simulation, "process was paused seconds="));
  g_assert_true (simulation_leader (simulation) == leader);
  g_assert_false (simulation_has_logged (simulation, "releasing machine reason=silent"));
}

/* The leader is paused between deciding and sending. Commands and responses that depend on its
   lease must not be sent after the lease has lapsed, or they could contradict those of its
   successor. */
static void
test_paused_before_sending (Simulation *simulation)
{
  MhUserResponse response;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 6);
  WAIT (simulation, 60, all_tasks_running, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->pause_before_acting_us = 4 * MH_SECOND_US;
  g_assert_cmpuint (simulation_request_and_wait (simulation, leader->index, MH_USER_STATUS,
                                                 "j-000001", NULL, &response),
                    ==, 503);
  /* The same with the command that starts a task. */
  WAIT (simulation, 30, is_reported_done, user);
  start_service (simulation, 3, 1);
  leader = simulation_leader (simulation);
  User *late = simulation_submit (simulation, job_spec_new (5, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 10, is_accepted, late);
  leader->pause_before_acting_us = 6 * MH_SECOND_US;
  simulation_run (simulation, 5.5);
  simulation->network->keep_requests = true;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != leader->index)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 0.7);
  for (guint i = 0; i < simulation->network->kept_requests->len; i++)
    g_assert_false (outgoing_calls_kept_is_command (simulation, i));
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  WAIT (simulation, 30, all_tasks_running, late);
}

/* A new leader must probe the machines that it knows. Otherwise it would place no task until their
   workers have found it. */
static void
test_new_leader_probes_machines (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation_run (simulation, 10); /* the cloud lists the machine */
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->heartbeats_lost_until_us
        = simulation->clock->now_us + 10 * MH_SECOND_US;
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 10, has_leader, NULL);
  User *user = simulation_submit (simulation, job_spec_new (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (simulation, 4, all_tasks_running, user);
}

/* The leader crashes. A successor that does not know which tasks run would start them again. */
static void
test_leader_crash (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 3), *array;
  array = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 6);
  WAIT (simulation, 30, is_accepted, array);
  guint former_leader = simulation_leader (simulation)->index;
  simulation_stop_node (simulation, former_leader);
  WAIT (simulation, 10, has_leader, NULL);
  g_assert_cmpuint (simulation_leader (simulation)->index, !=, former_leader);
  WAIT (simulation, 90, is_reported_done, array);
  WAIT (simulation, 10, all_tasks_running, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3 + 8); /* no task was started twice */
}

/* All controllers crash repeatedly while an array runs, and restart shortly afterwards. Tasks and
   writes in flight must be neither lost nor repeated. */
static void
test_all_controllers_crash (Simulation *simulation)
{
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 14, 1), 8);
  WAIT (simulation, 30, is_accepted, user);
  for (guint round = 0; round < 4; round++)
    {
      simulation_run (simulation, 4);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_stop_node (simulation, i);
      simulation_run (simulation, 0.2);
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_start_node (simulation, i);
    }
  WAIT (simulation, 120, is_reported_done, user);
}

/* A leader that is cut off from the key-value store only must neither continue to send commands nor
   keep its workers from its successor, or the running tasks would be lost. */
static void
test_leader_cut_off_from_store (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->store_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 4);
  g_assert_true (simulation_leader (simulation) != former_leader);
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* The leader is cut off from the key-value store and from its peers. It keeps its workers for a
   while. In that time the new leader must neither release their machines nor start their tasks
   again. */
static void
test_leader_cut_off_from_store_and_peers (Simulation *simulation)
{
  start_service (simulation, 1, 4);
  start_service (simulation, 2, 4);
  start_service (simulation, 3, 4);
  start_service (simulation, 4, 4);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us
      = simulation->clock->now_us + 25 * MH_SECOND_US;
  simulation_run (simulation, 60);
  for (guint i = 1; i <= 4; i++)
    {
      g_autofree char *job = g_strdup_printf ("j-%06u", i);
      g_assert_cmpuint (simulation_running_tasks (simulation, job), ==, 4);
    }
}

/* In an outage of the key-value store that is longer than the workers' lease, replicas must keep
   running, and users must not wait for responses that cannot be given. */
static void
test_store_outage (Simulation *simulation)
{
  MhUserResponse response;
  User *user = start_service (simulation, 1, 3);
  ControllerNode *leader = simulation_leader (simulation);
  simulation->store->outage_until_us = simulation->clock->now_us + 18 * MH_SECOND_US;
  simulation_run (simulation, 5);
  /* A request whose write is impossible is answered at once. */
  gint64 asked_us = simulation->clock->now_us;
  g_assert_cmpuint (simulation_request_and_wait (simulation, leader->index, MH_USER_SUBMIT,
                                                 "j-000009", job_spec_new (9, MH_SHAPE_ARRAY, 1, 1),
                                                 &response),
                    ==, 503);
  g_assert_cmpint (simulation->clock->now_us - asked_us, <, MH_SECOND_US);
  simulation_run (simulation, 30);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 3);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 3);
  g_assert_true (simulation_leader (simulation) == leader); /* its lease was renewed in full */
}

/* The former leader is cut off from the key-value store and its peers. A job that is cancelled at
   the new leader must stop within cancel_s, even while the former leader keeps its tasks alive. */
static void
test_cancel_while_former_leader_isolated (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 2);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 200 * MH_SECOND_US; /* no machine is released */
  simulation_run (simulation, 3);
  user_cancel (user);
  WAIT (simulation, 20, is_reported_cancelled, user);
  simulation_run (simulation, 60); /* the rule checks of the simulation enforce cancel_s */
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* The leader's last write is carried out, but the response is lost. Another controller, which does
   not know who leads, reads the record and answers "done". The leader must not report an older
   state afterwards. */
static void
test_status_bypassing_leader (Simulation *simulation)
{
  MhUserResponse response;
  User *user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 1, 1), 3);
  WAIT (simulation, 30, all_tasks_running, user);
  ControllerNode *leader = simulation_leader (simulation);
  guint other = (leader->index + 1) % SIMULATION_NODES;
  /* The other controller restarts each time, cut off from its peers, so it does not know the leader
     until it has read the leader key. */
  simulation->nodes[other].peers_cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < 200 && !user->reported_done; i++)
    {
      simulation_stop_node (simulation, other);
      simulation_start_node (simulation, other);
      leader->write_responses_lost_until_us = simulation->clock->now_us + MH_SECOND_US / 2;
      if (simulation_request_and_wait (simulation, other, MH_USER_STATUS, "j-000001", NULL,
                                       &response)
              == 200
          && response.state == MH_JOB_DONE)
        {
          simulation_request_and_wait (simulation, leader->index, MH_USER_STATUS, "j-000001", NULL,
                                       &response);
          g_assert_true (response.status != 200 || response.state == MH_JOB_DONE);
        }
      simulation_run (simulation, 0.05);
    }
  WAIT (simulation, 30, is_reported_done, user);
}

/* The leader keeps the connections to its workers, but is cut off from the key-value store and its
   peers. Its workers must change to its successor in time, or the running tasks would be lost. */
static void
test_isolated_leader_with_workers (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  ControllerNode *former_leader = simulation_leader (simulation);
  for (guint i = 0; i < simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (simulation->workers, i))->target_node = former_leader->index;
  simulation_run (simulation, 10); /* the cloud lists the machines */
  former_leader->store_cut_until_us = former_leader->peers_cut_until_us
      = simulation->clock->now_us + 60 * MH_SECOND_US;
  simulation_run (simulation, 10);
  ControllerNode *successor = simulation_leader (simulation);
  g_assert_true (successor && successor != former_leader);
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      g_assert_true (machine->removed || worker->target_node != former_leader->index);
    }
  simulation_run (simulation, 60);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* A controller that cannot reach a running leader must report itself not ready, or it would keep
   users from that leader. A controller whose leader has just crashed must stay ready, because
   otherwise all controllers would become not ready at once. */
static void
test_unreachable_leader (Simulation *simulation)
{
  MhUserResponse response;
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, 2);
  ControllerNode *other
      = &simulation->nodes[(simulation_leader (simulation)->index + 1) % SIMULATION_NODES];
  g_assert_true (controller_ready (other->controller));
  other->peers_cut_until_us = simulation->clock->now_us + 20 * MH_SECOND_US;
  for (guint i = 0; i < 2; i++)
    simulation_request_and_wait (simulation, other->index, MH_USER_STATUS, "j-000001", NULL,
                                 &response);
  g_assert_cmpuint (response.status, ==, 503);
  simulation_run (simulation, 0.5);
  g_assert_false (controller_ready (other->controller));
  simulation_run (simulation, 5);
  g_assert_true (controller_ready (other->controller));
  simulation_run (simulation, 20);
  g_assert_cmpuint (simulation_request_and_wait (simulation, other->index, MH_USER_STATUS,
                                                 "j-000001", NULL, &response),
                    ==, 404);
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  for (guint i = 0; i < 20; i++)
    {
      simulation_run (simulation, 0.2);
      g_assert_true (controller_ready (other->controller));
    }
}

/* A controller crashes while the transaction of its campaign is in flight, and restarts at once.
   The transaction of the earlier process arrives late, with the same name and epoch, but attached
   to a lease that nobody renews. If the controller mistook it for its own, there could be two
   leaders. */
static void
test_restart_during_campaign (Simulation *simulation)
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
      = simulation->clock->now_us + 60 * MH_SECOND_US; /* it receives no announcements */
  outgoing_calls_release_write (simulation, true);     /* of the earlier process */
  outgoing_calls_release_write (simulation, false);    /* its own: the connection breaks */
  simulation_start_node (simulation, 1);
  /* simulation_leader() asserts that there is at most one leader. */
  for (guint i = 0; i < 60; i++)
    {
      simulation_run (simulation, 0.1);
      simulation_leader (simulation);
    }
  node->hold_writes = false;
  simulation_run (simulation, 5);
  g_assert_nonnull (simulation_leader (simulation));
}

/* The leader is cut off from the workers only. It must transfer its leadership, or the workers'
   leases would expire although another controller receives their heartbeats. */
static void
test_leader_loses_workers (Simulation *simulation)
{
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  User *user = start_service (simulation, 1, 4);
  ControllerNode *former_leader = simulation_leader (simulation);
  former_leader->workers_cut_until_us = simulation->clock->now_us + 90 * MH_SECOND_US;
  simulation_run (simulation, 13);
  g_assert_true (simulation_leader (simulation) && simulation_leader (simulation) != former_leader);
  simulation_run (simulation, 30);
  g_assert_true (simulation_leader (simulation) != former_leader);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  g_assert_cmpuint (simulation_running_tasks (simulation, user->job->spec->id), ==, 4);
}

/* One controller is down and another is paused, and their workers wait for a response of each in
   turn before they try the last one. That one must not transfer its leadership in the meantime. An
   earlier version did so although no other controller could be elected, and led again seconds later
   without any state. */
static void
test_last_controller_keeps_leadership (Simulation *simulation)
{
  for (guint i = 0; i < 6; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  start_service (simulation, 1, 4);
  guint former_leader = simulation_leader (simulation)->index;
  guint next = (former_leader + 1) % SIMULATION_NODES;
  simulation_stop_node (simulation, next);
  simulation_run (simulation, 6);
  simulation_pause_node (simulation, former_leader, 30);
  simulation_run (simulation, 3);
  const ControllerNode *last = simulation_leader (simulation);
  g_assert_true (last && last->index != former_leader && last->index != next);
  for (guint i = 0; i < 240; i++)
    {
      simulation_run (simulation, 0.1);
      g_assert_true (simulation_leader (simulation) == last);
    }
}

/* No controller receives heartbeats. The leadership must not be transferred from one controller to
   the next without end. */
static void
test_no_controller_receives_heartbeats (Simulation *simulation)
{
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  simulation_run (simulation, 8);
  start_service (simulation, 1, 4);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation->nodes[i].heartbeats_lost_until_us = simulation->clock->now_us + 120 * MH_SECOND_US;
  guint changes = 0;
  const ControllerNode *last_leader = simulation_leader (simulation);
  for (guint i = 0; i < 1200; i++)
    {
      simulation_run (simulation, 0.1);
      const ControllerNode *leader = simulation_leader (simulation);
      if (leader && leader != last_leader)
        {
          changes++;
          last_leader = leader;
        }
    }
  g_assert_cmpuint (changes, <=, 6);
  simulation_run (simulation, 60);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/leader-failover/paused-leader", 42, test_paused_leader);
  simulation_test_add ("/leader-failover/paused-leader-in-store-outage", 43,
                       test_paused_leader_in_store_outage);
  simulation_test_add ("/leader-failover/paused-before-sending", 44, test_paused_before_sending);
  simulation_test_add ("/leader-failover/new-leader-probes-machines", 29,
                       test_new_leader_probes_machines);
  simulation_test_add ("/leader-failover/leader-crash", 12, test_leader_crash);
  simulation_test_add ("/leader-failover/all-controllers-crash", 13, test_all_controllers_crash);
  simulation_test_add ("/leader-failover/leader-cut-off-from-store", 14,
                       test_leader_cut_off_from_store);
  simulation_test_add ("/leader-failover/leader-cut-off-from-store-and-peers", 15,
                       test_leader_cut_off_from_store_and_peers);
  simulation_test_add ("/leader-failover/store-outage", 16, test_store_outage);
  simulation_test_add ("/leader-failover/cancel-while-former-leader-isolated", 17,
                       test_cancel_while_former_leader_isolated);
  simulation_test_add ("/leader-failover/status-bypassing-leader", 25,
                       test_status_bypassing_leader);
  simulation_test_add ("/leader-failover/isolated-leader-with-workers", 32,
                       test_isolated_leader_with_workers);
  simulation_test_add ("/leader-failover/unreachable-leader", 39, test_unreachable_leader);
  simulation_test_add ("/leader-failover/restart-during-campaign", 33,
                       test_restart_during_campaign);
  simulation_test_add ("/leader-failover/leader-loses-workers", 40, test_leader_loses_workers);
  simulation_test_add ("/leader-failover/last-controller-keeps-leadership", 46,
                       test_last_controller_keeps_leadership);
  simulation_test_add ("/leader-failover/no-controller-receives-heartbeats", 47,
                       test_no_controller_receives_heartbeats);
  return g_test_run ();
}
