#include "stand-in/peer-message.h"

#include "stand-in/simulation.h"

#include <string.h>

typedef struct
{
  Simulation *simulation;
  guint from, to;
  guint incarnation; /* of the sender */
  guint64 id;        /* of the request; in an announcement: the epoch */
  char *text;        /* id of the job; in an announcement: name of the leader's node */
  MhUserVerb verb;
  MhJobSpec *spec;
  MhUserResponse response;
  bool answered;
} PeerMessage;

static void
message_free (gpointer data)
{
  PeerMessage *message = data;
  g_free (message->text);
  mh_job_spec_free (message->spec);
  g_free (message);
}

static PeerMessage *
message_new (const ControllerNode *from, guint64 id)
{
  PeerMessage *message = g_new0 (PeerMessage, 1);
  message->simulation = from->simulation;
  message->from = from->index;
  message->incarnation = from->incarnation;
  message->id = id;
  return message;
}

/* Delivers the message to `node` after `in_us`, or when the node is no longer paused. */
static void
schedule_delivery (PeerMessage *message, const ControllerNode *node, gint64 in_us,
                   FakeClockFunc arrive)
{
  FakeClock *clock = message->simulation->clock;
  fake_clock_add_pausable (clock, &node->paused_until_us, clock->now_us + in_us, arrive, message,
                           message_free);
}

static bool
is_partitioned (const PeerMessage *message)
{
  const ControllerNode *nodes = message->simulation->nodes;
  gint64 now_us = message->simulation->clock->now_us;
  return nodes[message->from].peers_cut_until_us > now_us
         || nodes[message->to].peers_cut_until_us > now_us;
}

/* ---- announcements ---- */

static void
on_announcement (gpointer data)
{
  const PeerMessage *message = data;
  ControllerNode *node = &message->simulation->nodes[message->to];
  if (node->controller == NULL || is_partitioned (message))
    return;
  MhNow now = controller_node_now (node);
  controller_leader_announced (node->controller, &now, message->text, message->id);
  controller_node_drain (node);
}

void
peer_message_announce (ControllerNode *from, const MhAction *action)
{
  const ControllerNode *receiver = simulation_node_named (from->simulation, action->node);
  PeerMessage *message = message_new (from, action->id);
  message->to = receiver->index;
  message->text = g_strdup (from->name);
  schedule_delivery (message, receiver, network_draw_delay (from->simulation->network),
                     on_announcement);
}

/* ---- forwarded requests ---- */

/* A response, or the time-out of a request that got none. */
static void
on_response (gpointer data)
{
  const PeerMessage *message = data;
  ControllerNode *node = &message->simulation->nodes[message->from];
  if (node->controller == NULL || node->incarnation != message->incarnation)
    return;
  MhNow now = controller_node_now (node);
  controller_forward_finished (node->controller, &now, message->id,
                               message->answered ? &message->response : NULL);
  controller_node_drain (node);
}

/* Copies the fields that identify the request and its sender. */
static PeerMessage *
copy_sender (const PeerMessage *message)
{
  PeerMessage *copy = g_new0 (PeerMessage, 1);
  copy->simulation = message->simulation;
  copy->from = message->from;
  copy->to = message->to;
  copy->incarnation = message->incarnation;
  copy->id = message->id;
  return copy;
}

static void
on_request_answered (ControllerNode *node, const PendingRequest *request, const MhAction *action)
{
  const PeerMessage *message = request->data;
  if (is_partitioned (message))
    return;
  const ControllerNode *requester = &node->simulation->nodes[message->from];
  PeerMessage *response_message = copy_sender (message);
  response_message->response = action->response;
  response_message->answered = true;
  schedule_delivery (response_message, requester, network_draw_delay (node->simulation->network),
                     on_response);
}

static void
on_request (gpointer data)
{
  PeerMessage *message = data;
  ControllerNode *node = &message->simulation->nodes[message->to];
  if (node->controller == NULL || is_partitioned (message))
    return;
  PendingRequest *request = g_new0 (PendingRequest, 1);
  request->on_response = on_request_answered;
  request->data = copy_sender (message);
  request->free_data = message_free;
  request->verb = message->verb;
  request->job_id = g_strdup (message->text);
  request->spec = g_steal_pointer (&message->spec);
  controller_node_user_request (node, request, true);
}

void
peer_message_forward (ControllerNode *from, const MhAction *action, const PendingRequest *request)
{
  const ControllerNode *receiver = simulation_node_named (from->simulation, action->node);
  g_assert_nonnull (request);
  PeerMessage *message = message_new (from, action->id);
  message->to = receiver->index;
  message->verb = request->verb;
  message->text = g_strdup (request->job_id);
  message->spec = request->spec ? job_spec_copy (request->spec) : NULL;
  schedule_delivery (message, receiver, network_draw_delay (from->simulation->network), on_request);
  schedule_delivery (message_new (from, action->id), from, action->timeout_us, on_response);
}
