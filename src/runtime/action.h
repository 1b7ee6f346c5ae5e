/* Actions: what the state machine asks its host to do. The host (src/server, or the fake clock of
   the tests) takes them with mh_core_pop () after each input and carries them out in order. */
#pragma once

#include "protocol/request.h"
#include "protocol/user-messages.h"

/**
 * MhActionKind:
 * @MH_ACTION_CALL: make a request; its reply comes back through mh_core_reply ()
 * @MH_ACTION_ANNOUNCE_LEADER: tell another controller that this one leads, with epoch `id`
 * @MH_ACTION_FORWARD: hand a user's request to another controller
 * @MH_ACTION_ANSWER_USER: answer a user's request
 * @MH_ACTION_ANSWER_REPORT: answer a worker's heartbeat
 * @MH_ACTION_LOG: write a line to the log
 */
typedef enum
{
  MH_ACTION_CALL,
  MH_ACTION_ANNOUNCE_LEADER,
  MH_ACTION_FORWARD,
  MH_ACTION_ANSWER_USER,
  MH_ACTION_ANSWER_REPORT,
  MH_ACTION_LOG
} MhActionKind;

/**
 * MhAction:
 * @kind: what is to be done; the other fields apply to the kinds that they name
 * @id: of the call, or of the request that is answered; the epoch of ANNOUNCE_LEADER
 * @timeout_us: CALL, FORWARD: how long to wait for a reply, in microseconds
 * @request: (owned) (nullable): CALL
 * @answer: ANSWER_USER
 * @status: ANSWER_REPORT: the HTTP status
 * @body: (owned) (nullable): ANSWER_REPORT
 * @node: (owned) (nullable): FORWARD, ANNOUNCE_LEADER: the controller that it goes to
 * @line: (owned) (nullable): LOG
 * @level: LOG
 * @lease_until_us: steady time at which the leader's lease ends that the action rests on; it must
 * not leave the process after that. 0: it rests on no lease
 *
 * One action.
 */
typedef struct
{
  MhActionKind kind;
  guint64 id;
  gint64 timeout_us;
  MhRequest *request;
  MhUserResponse answer;
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
 * Frees the action with all that it owns.
 */
void
mh_action_free (MhAction *action);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhAction, mh_action_free)
