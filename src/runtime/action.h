/* Actions: what the state machine asks its host to do.

   After each input, the host (src/server, or the simulation of the tests) takes the actions with
   mh_core_pop_action () and carries them out in order. */
#pragma once

#include "protocol/request.h"
#include "protocol/user-messages.h"

/**
 * MhActionKind:
 * @MH_ACTION_SEND_REQUEST: send a request; the host passes its response to
 * mh_core_receive_response ()
 * @MH_ACTION_ANNOUNCE_LEADER: announce to another controller that this one leads, with epoch @id
 * @MH_ACTION_FORWARD_USER_REQUEST: forward a user's request to another controller
 * @MH_ACTION_RESPOND_TO_USER: respond to a user's request
 * @MH_ACTION_RESPOND_TO_HEARTBEAT: respond to a worker's heartbeat
 * @MH_ACTION_LOG: write a line to the log
 *
 * What the host has to do.
 */
typedef enum
{
  MH_ACTION_SEND_REQUEST,
  MH_ACTION_ANNOUNCE_LEADER,
  MH_ACTION_FORWARD_USER_REQUEST,
  MH_ACTION_RESPOND_TO_USER,
  MH_ACTION_RESPOND_TO_HEARTBEAT,
  MH_ACTION_LOG
} MhActionKind;

/**
 * MhAction:
 * @kind: what is to be done; each of the other members applies only to the kinds that its
 * description names
 * @id: SEND_REQUEST: number of the call; ANNOUNCE_LEADER: the epoch; FORWARD_USER_REQUEST,
 * RESPOND_TO_USER, RESPOND_TO_HEARTBEAT: number of the request that is forwarded or answered
 * @timeout_us: SEND_REQUEST, FORWARD_USER_REQUEST: how long to wait for a response, in microseconds
 * @request: (owned) (nullable): SEND_REQUEST: the request
 * @response: RESPOND_TO_USER: the response
 * @status: RESPOND_TO_HEARTBEAT: the HTTP status
 * @body: (owned) (nullable): RESPOND_TO_HEARTBEAT: the body of the response
 * @node: (owned) (nullable): FORWARD_USER_REQUEST, ANNOUNCE_LEADER: the controller to send to
 * @line: (owned) (nullable): LOG: the line
 * @level: LOG: its log level
 * @lease_until_us: all kinds: monotonic time at which the leader lease ends that the action depends
 * on; the action must not leave the process after that. 0: it depends on no lease
 *
 * An action.
 */
typedef struct
{
  MhActionKind kind;
  guint64 id;
  gint64 timeout_us;
  MhRequest *request;
  MhUserResponse response;
  guint status;
  MhValue *body;
  char *node;
  char *line;
  GLogLevelFlags level;
  gint64 lease_until_us;
} MhAction;

/**
 * mh_action_free:
 * @action: (transfer full) (nullable): an action
 *
 * Frees the action and what it owns.
 */
void
mh_action_free (MhAction *action);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhAction, mh_action_free)
