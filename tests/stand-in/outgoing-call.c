#include "stand-in/outgoing-call.h"

#include "stand-in/simulation.h"

#include <string.h>

#define AFTER_FAULT_DELAY_US 1000

struct OutgoingCall
{
  Simulation *simulation;
  guint node, incarnation; /* of the sender */
  guint64 id;
  MhRequest *request;
  bool answered;       /* also true for a copy, whose response is ignored */
  bool has_connection; /* of the limited ones to the key-value store */
  guint status;
  MhValue *body;
};

static void
on_arrival (gpointer data);

static void
call_clear (gpointer data)
{
  OutgoingCall *call = data;
  mh_request_free (call->request);
  mh_value_unref (call->body);
}

void
outgoing_call_unref (gpointer data)
{
  g_rc_box_release_full (data, call_clear);
}

static ControllerNode *
sender_of (const OutgoingCall *call)
{
  return &call->simulation->nodes[call->node];
}

static bool
is_transaction (const OutgoingCall *call)
{
  return strcmp (call->request->path, "/multi") == 0;
}

/* ---- connections to the key-value store ---- */

static void
start_call (OutgoingCall *call);

/* The call has ended: the one that has waited longest gets its connection. */
static void
release_connection (OutgoingCall *call)
{
  ControllerNode *node = sender_of (call);
  if (node->store_connections == 0 || call->request->target != MH_TARGET_KEY_VALUE_STORE)
    return;
  node->store_calls_in_flight -= call->has_connection;
  call->has_connection = false;
  node->pause_before_acting_us
      += (gint64)(node->waiting_call_us * node->waiting_store_calls.length);
  while (node->waiting_store_calls.length && node->store_calls_in_flight < node->store_connections)
    {
      OutgoingCall *next = g_queue_pop_head (&node->waiting_store_calls);
      if (!next->answered)
        start_call (next);
      outgoing_call_unref (next);
    }
}

/* Returns whether the call has to wait for a connection. */
static bool
wait_for_connection (OutgoingCall *call)
{
  ControllerNode *node = sender_of (call);
  if (node->store_connections == 0 || call->request->target != MH_TARGET_KEY_VALUE_STORE
      || node->store_calls_in_flight < node->store_connections)
    return false;
  /* A rule of this project: what waits in the HTTP client cannot be overtaken. */
  rule_checks_add_violation (node->simulation->rules, "%s: a call waits for a connection: %s",
                             node->name, call->request->path);
  g_queue_push_tail (&node->waiting_store_calls, g_rc_box_acquire (call));
  return true;
}

/* ---- responses ---- */

static void
on_response_arrival (gpointer data)
{
  OutgoingCall *call = data;
  ControllerNode *node = sender_of (call);
  if (call->answered)
    return;
  call->answered = true;
  if (node->controller == NULL || node->incarnation != call->incarnation)
    return;
  node->worker_calls_in_flight -= call->request->target == MH_TARGET_WORKER;
  release_connection (call);
  MhNow now = controller_node_now (node);
  controller_call_finished (node->controller, &now, call->id, call->status, call->body);
  controller_node_drain (node);
}

static void
on_timeout (gpointer data)
{
  OutgoingCall *call = data;
  if (call->answered)
    return;
  call->status = 0;
  g_clear_pointer (&call->body, mh_value_unref);
  on_response_arrival (call);
}

/* Sends a response to the caller. Takes ownership of the body. */
static void
send_response (OutgoingCall *call, guint status, MhValue *body)
{
  Simulation *simulation = call->simulation;
  ControllerNode *node = sender_of (call);
  gint64 now_us = simulation->clock->now_us;
  call->status = status;
  call->body = body;
  if (network_draw_loss (simulation->network))
    return;
  if (call->request->target == MH_TARGET_KEY_VALUE_STORE && now_us < node->store_cut_until_us)
    return;
  if (is_transaction (call) && now_us < node->write_responses_lost_until_us)
    return;
  gint64 delay_us = network_draw_delay (simulation->network);
  if (call->request->target == MH_TARGET_KEY_VALUE_STORE)
    delay_us += simulation->network->store_delay_us;
  fake_clock_add_pausable (simulation->clock, &node->paused_until_us, now_us + delay_us,
                           on_response_arrival, g_rc_box_acquire (call), outgoing_call_unref);
}

void
outgoing_call_end_watch (OutgoingCall *call, guint status, MhValue *body)
{
  send_response (call, status, body);
  outgoing_call_unref (call);
}

/* ---- copies ---- */

/* Returns a duplicate of the request, whose response is ignored. */
static OutgoingCall *
copy_call (const OutgoingCall *call)
{
  OutgoingCall *copy = g_rc_box_new0 (OutgoingCall);
  copy->simulation = call->simulation;
  copy->node = call->node;
  copy->incarnation = call->incarnation;
  copy->request = mh_request_copy (call->request);
  copy->answered = true;
  return copy;
}

static void
schedule_arrival (OutgoingCall *call, gint64 in_us)
{
  FakeClock *clock = call->simulation->clock;
  fake_clock_add (clock, clock->now_us + in_us, on_arrival, call, outgoing_call_unref);
}

static void
keep_copies (const OutgoingCall *call)
{
  Network *network = call->simulation->network;
  if (call->answered || strcmp (call->request->method, "GET") == 0)
    return;
  if (network->keep_requests)
    g_ptr_array_add (network->kept_requests, copy_call (call));
  if (network_draw_duplicate (network))
    schedule_arrival (copy_call (call), network_draw_duplicate_delay (network));
}

/* ---- arrival ---- */

static void
deliver_to_worker (OutgoingCall *call)
{
  Simulation *simulation = call->simulation;
  gint64 now_us = simulation->clock->now_us;
  const Worker *worker = worker_by_endpoint (simulation, call->request->endpoint);
  if (worker == NULL || !worker->machine->running || worker->machine->removed)
    return;
  if (worker->responses_lost_until_us > now_us)
    return;
  /* A command that a hang or a partition delays is carried out afterwards, however late. */
  gint64 until_us = worker_unreachable_until (worker, sender_of (call));
  if (until_us > now_us)
    {
      schedule_arrival (g_rc_box_acquire (call), until_us + AFTER_FAULT_DELAY_US - now_us);
      return;
    }
  guint status = 200;
  MhValue *response;
  if (strcmp (call->request->path, "/show") == 0)
    response = worker_protocol_heartbeat (worker->machine);
  else
    status = worker_protocol_commands (worker->machine, call->request->body, &response);
  send_response (call, status, response);
}

/* Returns whether the transaction is delayed, held or lost. */
static bool
intercept_write (OutgoingCall *call)
{
  Simulation *simulation = call->simulation;
  const ControllerNode *node = sender_of (call);
  gint64 late_us = call->answered ? 0 : network_draw_late_write_delay (simulation->network);
  if (late_us > 0)
    {
      schedule_arrival (copy_call (call), late_us);
      return true;
    }
  if (node->hold_writes)
    {
      g_ptr_array_add (simulation->network->held_writes, g_rc_box_acquire (call));
      return true;
    }
  return simulation->clock->now_us < node->writes_lost_until_us;
}

static void
deliver_to_service (OutgoingCall *call)
{
  const ControllerNode *node = sender_of (call);
  const MhRequest *called = call->request;
  gint64 now_us = call->simulation->clock->now_us;
  bool store = called->target == MH_TARGET_KEY_VALUE_STORE;
  if (store && now_us < node->store_cut_until_us)
    return;
  if (store && now_us < node->store_rejects_until_us)
    {
      send_response (call, 503, NULL);
      return;
    }
  if (g_str_has_prefix (called->path, "/kv?") && now_us < node->key_lists_lost_until_us)
    return;
  if (is_transaction (call) && intercept_write (call))
    return;
  ServiceRequest request
      = { .method = called->method, .path = called->path, .body = called->body, .token = call };
  ServiceResponse response;
  if (environment_serve (call->simulation->environment, called->target, &request, &response))
    send_response (call, response.status, response.body);
  else
    g_rc_box_acquire (call); /* owned by the watch */
}

static void
on_arrival (gpointer data)
{
  OutgoingCall *call = data;
  Network *network = call->simulation->network;
  keep_copies (call);
  if (call->request->target != MH_TARGET_WORKER)
    deliver_to_service (call);
  else if (network->hold_commands)
    g_ptr_array_add (network->held_commands, g_rc_box_acquire (call));
  else
    deliver_to_worker (call);
}

static void
start_call (OutgoingCall *call)
{
  Simulation *simulation = call->simulation;
  ControllerNode *node = sender_of (call);
  call->has_connection
      = node->store_connections > 0 && call->request->target == MH_TARGET_KEY_VALUE_STORE;
  node->store_calls_in_flight += call->has_connection;
  if (!network_draw_loss (simulation->network))
    schedule_arrival (g_rc_box_acquire (call), network_draw_delay (simulation->network));
}

void
outgoing_call_send (ControllerNode *node, MhRequest *request, const MhAction *action)
{
  Simulation *simulation = node->simulation;
  FakeClock *clock = simulation->clock;
  OutgoingCall *call = g_rc_box_new0 (OutgoingCall);
  call->simulation = simulation;
  call->node = node->index;
  call->incarnation = node->incarnation;
  call->id = action->id;
  call->request = request;
  node->worker_calls_in_flight += request->target == MH_TARGET_WORKER;
  node->peak_worker_calls = MAX (node->peak_worker_calls, node->worker_calls_in_flight);
  fake_clock_add_pausable (clock, &node->paused_until_us, clock->now_us + action->timeout_us,
                           on_timeout, g_rc_box_acquire (call), outgoing_call_unref);
  if (!wait_for_connection (call))
    start_call (call);
  outgoing_call_unref (call);
}

/* ---- held and kept calls ---- */

void
outgoing_calls_release_commands (Simulation *simulation)
{
  GPtrArray *held = simulation->network->held_commands;
  simulation->network->hold_commands = false;
  for (guint i = 0; i < held->len; i++)
    deliver_to_worker (g_ptr_array_index (held, i));
  g_ptr_array_set_size (held, 0);
}

void
outgoing_calls_release_write (Simulation *simulation, bool arrives)
{
  GPtrArray *held = simulation->network->held_writes;
  g_assert_cmpuint (held->len, >, 0);
  OutgoingCall *call = g_ptr_array_steal_index (held, 0);
  ControllerNode *node = sender_of (call);
  node->hold_writes = false;
  if (arrives)
    on_arrival (call);
  else
    on_timeout (call);
  node->hold_writes = true;
  outgoing_call_unref (call);
}

void
outgoing_calls_repeat_kept (Simulation *simulation)
{
  GPtrArray *kept = simulation->network->kept_requests;
  for (guint i = 0; i < kept->len; i++)
    on_arrival (g_ptr_array_index (kept, i));
  g_ptr_array_set_size (kept, 0);
}

bool
outgoing_calls_kept_is_command (const Simulation *simulation, guint kept)
{
  const OutgoingCall *call = g_ptr_array_index (simulation->network->kept_requests, kept);
  return strcmp (call->request->path, "/commands") == 0;
}
