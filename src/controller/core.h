/* The core of the scheduler: a deterministic state machine composed of the modules of all layers
   below.

   Each input carries the current time and returns without blocking. The host then takes the
   resulting actions (calls, responses, log lines) with mh_core_pop_action (). The core does no I/O,
   reads no clock and starts no thread, so that tests can run it on a fake clock. */
#pragma once

#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"
#include "runtime/runtime.h"

/** MhCore: a controller. */
typedef struct MhCore MhCore;

/**
 * mh_core_new:
 * @settings: (transfer none): must outlive the core
 * @now: the current time
 *
 * Returns: (transfer full): a controller in the follower state that does not know a leader yet
 */
MhCore *
mh_core_new (const MhSettings *settings, const MhNow *now);

/**
 * mh_core_free:
 * @core: (transfer full) (nullable): a controller
 *
 * Frees the controller and all its state. Sends nothing.
 */
void
mh_core_free (MhCore *core);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCore, mh_core_free)

/* ---- inputs ---- */

/**
 * mh_core_tick:
 * @core: a controller
 * @now: the current time
 *
 * Does the work that has become due. To be called at mh_core_next_wake_up_us () at the latest.
 */
void
mh_core_tick (MhCore *core, const MhNow *now);

/**
 * MhUserRequest:
 * @id: id of the request, which its MH_ACTION_RESPOND_TO_USER carries
 * @verb: what the user asks for
 * @job_id: (transfer none): a valid job id
 * @spec: (transfer full) (nullable): the submitted job; set for MH_USER_SUBMIT only
 * @forwarded: another controller has forwarded the request here; it is not forwarded again
 *
 * A user's request.
 */
typedef struct
{
  guint64 id;
  MhUserVerb verb;
  const char *job_id;
  MhJobSpec *spec;
  bool forwarded;
} MhUserRequest;

/**
 * mh_core_receive_user_request:
 * @core: a controller
 * @now: the current time
 * @request: the request; its spec is consumed
 *
 * Handles a user's request: it is answered in this step or a later one, or forwarded to the leader.
 */
void
mh_core_receive_user_request (MhCore *core, const MhNow *now, const MhUserRequest *request);

/**
 * mh_core_receive_heartbeat:
 * @core: a controller
 * @now: the current time
 * @id: id of the request, which its MH_ACTION_RESPOND_TO_HEARTBEAT carries
 * @heartbeat: (transfer none): the heartbeat
 *
 * Handles a worker's heartbeat.
 */
void
mh_core_receive_heartbeat (MhCore *core, const MhNow *now, guint64 id,
                           const MhHeartbeat *heartbeat);

/**
 * mh_core_receive_response:
 * @core: a controller
 * @now: the current time
 * @id: id of the call
 * @status: HTTP status; 0: no response was received, and it is unknown whether the request was
 * carried out
 * @body: (transfer none) (nullable): body of the response
 *
 * Handles the response to a call that mh_core_pop_action () returned, or its failure.
 */
void
mh_core_receive_response (MhCore *core, const MhNow *now, guint64 id, guint status,
                          const MhValue *body);

/**
 * mh_core_receive_forward_response:
 * @core: a controller
 * @now: the current time
 * @id: id of the user's request that was forwarded
 * @response: (transfer none) (nullable): the leader's response; %NULL: none was received before
 * the time-out
 *
 * Handles the leader's response to a forwarded request, or its failure.
 */
void
mh_core_receive_forward_response (MhCore *core, const MhNow *now, guint64 id,
                                  const MhUserResponse *response);

/**
 * mh_core_receive_announcement:
 * @core: a controller
 * @now: the current time
 * @node: the controller that claims to be the leader
 * @epoch: its leadership epoch
 *
 * Handles another controller's announcement that it is the leader. An announcement is only a hint:
 * it can make this controller a follower, but never the leader.
 */
void
mh_core_receive_announcement (MhCore *core, const MhNow *now, const char *node, guint64 epoch);

/* ---- outputs ---- */

/**
 * mh_core_pop_action:
 * @core: a controller
 * @mono_us: the current monotonic time, in microseconds; it may be much later than the last input
 *
 * Checks against @mono_us that the leader lease on which the action depends is still valid, because
 * the process may have been paused between the decision and this call. If the lease has expired, a
 * call is completed as one without a response and not returned, and a response is replaced by a
 * 503.
 *
 * Returns: (transfer full) (nullable): the next action; %NULL if there is none
 */
MhAction *
mh_core_pop_action (MhCore *core, gint64 mono_us);

/**
 * mh_core_next_wake_up_us:
 * @core: a controller
 *
 * Returns: the monotonic time at which mh_core_tick () must be called at the latest, in
 * microseconds
 */
gint64
mh_core_next_wake_up_us (const MhCore *core);

/**
 * mh_core_is_ready:
 * @core: a controller
 *
 * Returns: %TRUE if GET /ready is to be answered with 200: users can be served here, by this
 * controller or by forwarding
 */
bool
mh_core_is_ready (const MhCore *core);

/**
 * mh_core_is_leader:
 * @core: a controller
 *
 * Returns: %TRUE while this controller holds a valid leader lease and may act as leader
 */
bool
mh_core_is_leader (const MhCore *core);
