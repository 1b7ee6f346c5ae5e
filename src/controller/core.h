/* The scheduler's core: a pure state machine that composes the modules of all layers below.

   Each input is given the time and returns at once; what is to be sent, written, answered or logged
   is then taken with mh_core_pop (). It does no I/O, reads no clock and starts no thread, so that
   tests run it on a fake clock. */
#pragma once

#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"
#include "runtime/runtime.h"

/** MhCore: one controller. */
typedef struct MhCore MhCore;

/**
 * mh_core_new:
 * @settings: (not transferred): must outlive the core
 * @now: the present time
 *
 * Returns: (transfer full): a controller that follows, and knows no leader yet
 */
MhCore *
mh_core_new (const MhSettings *settings, const MhNow *now);

/**
 * mh_core_free:
 * @core: (transfer full) (nullable): a controller
 *
 * Frees it with all that it knows. Nothing is sent.
 */
void
mh_core_free (MhCore *core);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCore, mh_core_free)

/* ---- inputs ---- */

/**
 * mh_core_tick:
 * @core: a controller
 * @now: the present time
 *
 * Time has passed: to be called at mh_core_next_wake () at the latest.
 */
void
mh_core_tick (MhCore *core, const MhNow *now);

/**
 * MhUserRequest:
 * @id: of the request; its MH_ACTION_ANSWER_USER carries it
 * @verb: what the user asks for
 * @job_id: (not transferred): a valid id
 * @spec: (transfer full) (nullable): what is submitted; MH_USER_SUBMIT alone
 * @forwarded: another controller passes the request on; it is not passed on again
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
 * mh_core_user:
 * @core: a controller
 * @now: the present time
 * @request: what is asked; its spec is taken over
 *
 * A user's request. It is answered in this step or a later one, or passed on to the leader.
 */
void
mh_core_user (MhCore *core, const MhNow *now, const MhUserRequest *request);

/**
 * mh_core_report:
 * @core: a controller
 * @now: the present time
 * @id: of the request; its MH_ACTION_ANSWER_REPORT carries it
 * @report: (not transferred): the worker's heartbeat
 *
 * A worker's heartbeat.
 */
void
mh_core_report (MhCore *core, const MhNow *now, guint64 id, const MhHeartbeat *report);

/**
 * mh_core_reply:
 * @core: a controller
 * @now: the present time
 * @id: of the call that ends
 * @status: HTTP status; 0: no answer came, so that whether the request was carried out is unknown
 * @body: (not transferred) (nullable): of the answer
 *
 * The end of a call that mh_core_pop () gave out.
 */
void
mh_core_reply (MhCore *core, const MhNow *now, guint64 id, guint status, const MhValue *body);

/**
 * mh_core_forwarded:
 * @core: a controller
 * @now: the present time
 * @id: of the user's request that was passed on
 * @answer: (not transferred) (nullable): the leader's answer; %NULL when none came in time
 *
 * The end of a request that was passed on to the leader.
 */
void
mh_core_forwarded (MhCore *core, const MhNow *now, guint64 id, const MhUserResponse *answer);

/**
 * mh_core_leader_announced:
 * @core: a controller
 * @now: the present time
 * @node: the controller that says it leads
 * @epoch: its leadership epoch
 *
 * Another controller announces that it leads: a hint, never a proof.
 */
void
mh_core_leader_announced (MhCore *core, const MhNow *now, const char *node, guint64 epoch);

/* ---- outputs ---- */

/**
 * mh_core_pop:
 * @core: a controller
 * @mono_us: the steady clock at this moment, which may be long after the input, in microseconds
 *
 * What rests on a lease is judged once more by @mono_us: the process may have stood still between
 * deciding and sending. A call whose lease has ended is not given out, and an answer becomes a 503.
 *
 * Returns: (transfer full) (nullable): the next action; %NULL when there is none
 */
MhAction *
mh_core_pop (MhCore *core, gint64 mono_us);

/**
 * mh_core_next_wake:
 * @core: a controller
 *
 * Returns: the steady time of the next tick that is needed, in microseconds
 */
gint64
mh_core_next_wake (const MhCore *core);

/**
 * mh_core_ready:
 * @core: a controller
 *
 * Returns: %TRUE if GET /ready is to be answered with 200
 */
bool
mh_core_ready (const MhCore *core);

/**
 * mh_core_leads:
 * @core: a controller
 *
 * Returns: %TRUE while it holds a valid lease and may act as leader
 */
bool
mh_core_leads (const MhCore *core);
