#include "stand-in/controller-node.h"

#include "stand-in/simulation.h"

#include "runtime/pending-calls.h"
#include "stand-in/decision-log.h"
#include "stand-in/outgoing-call.h"
#include "stand-in/peer-message.h"

#define WALL_CLOCK_START_US 1700000000000000
#define WALL_CLOCK_SKEW_PER_NODE_US 1000
#define MAX_CLOCK_DRIFT 0.0005
#define MIN_TIMER_US 1000

static void
pending_request_free (gpointer data)
{
  PendingRequest *request = data;
  if (request->free_data)
    request->free_data (request->data);
  g_free (request->job_id);
  mh_job_spec_free (request->spec);
  g_free (request);
}

MhJobSpec *
job_spec_copy (const MhJobSpec *spec)
{
  g_autoptr (MhValue) message = mh_submission_encode (spec);
  MhJobSpec *copy = mh_submission_decode (message, NULL);
  g_assert_nonnull (copy);
  copy->is_incomplete = spec->is_incomplete; /* an encoded submission has all fields */
  return copy;
}

void
controller_node_init (ControllerNode *node, Simulation *simulation, guint index,
                      MhSettings *settings)
{
  node->simulation = simulation;
  node->index = index;
  node->settings = settings;
  node->name = g_strdup (settings->node_name);
  node->clock_drift = g_rand_double_range (simulation->random, -MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT);
  node->pending_requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, pending_request_free);
}

void
controller_node_clear (ControllerNode *node)
{
  controller_node_stop (node);
  g_hash_table_unref (node->pending_requests);
  mh_settings_free (node->settings);
  g_free (node->name);
}

/* ---- clocks ---- */

static gint64
monotonic_us (const ControllerNode *node, gint64 now_us)
{
  return MH_SECOND_US * (node->index + 1) + (gint64)((double)now_us * (1 + node->clock_drift));
}

MhNow
controller_node_now (ControllerNode *node)
{
  gint64 now_us = node->simulation->clock->now_us;
  gint64 read_us = node->input_unread_since_us;
  return (MhNow){ .mono_us = monotonic_us (node, now_us),
                  .input_read_us = read_us ? monotonic_us (node, read_us) : 0,
                  .wall_us = WALL_CLOCK_START_US + now_us
                             + (gint64)WALL_CLOCK_SKEW_PER_NODE_US * node->index,
                  .jitter = g_rand_double (node->simulation->random) };
}

bool
controller_node_is_paused (const ControllerNode *node)
{
  return node->paused_until_us > node->simulation->clock->now_us;
}

/* ---- inputs ---- */

/* Returns the id of the request for the controller. */
static guint64
add_pending_request (ControllerNode *node, PendingRequest *request)
{
  guint64 id = fake_clock_next_number (node->simulation->clock);
  g_hash_table_insert (node->pending_requests, g_memdup2 (&id, sizeof id), request);
  return id;
}

void
controller_node_user_request (ControllerNode *node, PendingRequest *request, bool forwarded)
{
  MhNow now = controller_node_now (node);
  guint64 id = add_pending_request (node, request);
  MhUserRequest sent = { .id = id,
                         .verb = request->verb,
                         .job_id = request->job_id,
                         .spec = request->spec ? job_spec_copy (request->spec) : NULL,
                         .forwarded = forwarded };
  controller_user_request (node->controller, &now, &sent);
  controller_node_drain (node);
}

void
controller_node_heartbeat (ControllerNode *node, PendingRequest *request, const MhValue *heartbeat)
{
  MhNow now = controller_node_now (node);
  controller_heartbeat (node->controller, &now, add_pending_request (node, request), heartbeat);
  controller_node_drain (node);
}

bool
controller_node_leads (ControllerNode *node)
{
  MhNow now = controller_node_now (node);
  controller_tick (node->controller, &now);
  controller_node_drain (node);
  return controller_leads (node->controller);
}

/* ---- actions ---- */

static void
respond_to_request (ControllerNode *node, const MhAction *action)
{
  const PendingRequest *request = g_hash_table_lookup (node->pending_requests, &action->id);
  if (request == NULL)
    return;
  request->on_response (node, request, action);
  g_hash_table_remove (node->pending_requests, &action->id);
}

static void
execute_action (ControllerNode *node, MhAction *action)
{
  switch (action->kind)
    {
    case MH_ACTION_SEND_REQUEST:
      outgoing_call_send (node, g_steal_pointer (&action->request), action);
      break;
    case MH_ACTION_ANNOUNCE_LEADER:
      peer_message_announce (node, action);
      break;
    case MH_ACTION_FORWARD_USER_REQUEST:
      peer_message_forward (node, action,
                            g_hash_table_lookup (node->pending_requests, &action->id));
      break;
    case MH_ACTION_LOG:
      simulation_log (node->simulation, node->name, action->line);
      break;
    default:
      respond_to_request (node, action);
    }
}

static void
on_timer (gpointer data)
{
  ControllerNode *node = data;
  if (node->controller == NULL || node->simulation->clock->now_us < node->next_wake_us)
    return;
  node->next_wake_us = G_MAXINT64;
  node->wake_count++;
  MhNow now = controller_node_now (node);
  controller_tick (node->controller, &now);
  controller_node_drain (node);
}

static void
set_timer (ControllerNode *node)
{
  FakeClock *clock = node->simulation->clock;
  MhNow now = controller_node_now (node);
  gint64 in_us = controller_next_wake (node->controller) - now.mono_us;
  gint64 wake_us = clock->now_us + MAX (in_us, MIN_TIMER_US);
  if (node->next_wake_us != G_MAXINT64 && wake_us >= node->next_wake_us)
    return;
  node->next_wake_us = wake_us;
  fake_clock_add_pausable (clock, &node->paused_until_us, wake_us, on_timer, node, NULL);
}

static void
on_resume (gpointer data)
{
  ControllerNode *node = data;
  if (node->controller)
    controller_node_drain (node);
}

/* Charges the processor time of what the last input examined: the actions are carried out, and
   further inputs handled, only after that time. */
static void
charge_processor_time (ControllerNode *node)
{
  if (node->preemption_site_us == 0)
    return;
  guint64 sites = controller_count (node->controller, MH_COUNTER_PREEMPTION_SITES);
  guint64 examined = sites - node->preemption_sites;
  node->preemption_sites = sites;
  node->pause_before_acting_us += (gint64)((double)examined * node->preemption_site_us);
}

void
controller_node_drain (ControllerNode *node)
{
  FakeClock *clock = node->simulation->clock;
  charge_processor_time (node);
  if (node->pause_before_acting_us)
    node->paused_until_us = clock->now_us + node->pause_before_acting_us;
  node->pause_before_acting_us = 0;
  if (controller_node_is_paused (node))
    {
      fake_clock_add_pausable (clock, &node->paused_until_us, node->paused_until_us, on_resume,
                               node, NULL);
      return;
    }
  MhAction *action;
  while ((action = controller_next_action (node->controller, controller_node_now (node).mono_us)))
    {
      decision_log_add_action (node, action);
      execute_action (node, action);
      mh_action_free (action);
    }
  set_timer (node);
}

/* ---- process ---- */

void
controller_node_stop (ControllerNode *node)
{
  g_clear_pointer (&node->controller, controller_free);
  g_hash_table_remove_all (node->pending_requests);
  node->worker_calls_in_flight = 0;
  node->store_calls_in_flight = 0;
  g_queue_clear_full (&node->waiting_store_calls, outgoing_call_unref);
  node->incarnation++;
}

void
controller_node_start (ControllerNode *node)
{
  if (node->controller)
    return;
  MhNow now = controller_node_now (node);
  node->next_wake_us = G_MAXINT64;
  node->paused_until_us = node->pause_before_acting_us = 0;
  node->preemption_sites = 0;
  node->store_connections = node->version == CONTROLLER_CURRENT ? MH_STORE_CONNECTIONS : 0;
  node->controller = controller_new (node->version, node->settings, &now);
  controller_tick (node->controller, &now);
  controller_node_drain (node);
}
