/* One controller of a simulation: this version's core, or that of the version in production. Both
   take the same inputs, and their actions come out as this version's. */
#pragma once

#include "controller/core.h"

/** ControllerVersion: which core it is */
typedef enum
{
  CONTROLLER_CURRENT,
  CONTROLLER_PRODUCTION
} ControllerVersion;

typedef struct Controller Controller;

/** controller_new: @settings: must outlive it. Returns: (transfer full): a controller that started
 * now */
Controller *
controller_new (ControllerVersion version, const MhSettings *settings, const MhNow *now);
/** controller_free: @controller: (nullable): a controller */
void
controller_free (Controller *controller);
/** controller_tick: Its timer has run out. */
void
controller_tick (Controller *controller, const MhNow *now);
/** controller_user: A user, or another controller for one, asks. */
void
controller_user_request (Controller *controller, const MhNow *now, const MhUserRequest *request);
/** controller_report: A worker's report. @id: that the response will have */
void
controller_heartbeat (Controller *controller, const MhNow *now, guint64 id, const MhValue *report);
/** controller_reply: The answer to its call of that id. @status: HTTP status; 0: there was none */
void
controller_call_finished (Controller *controller, const MhNow *now, guint64 id, guint status,
                          const MhValue *body);
/** controller_forwarded: @answer: (nullable): to what it forwarded; %NULL: there was none */
void
controller_forward_finished (Controller *controller, const MhNow *now, guint64 id,
                             const MhUserAnswer *answer);
/** controller_leader_announced: Another controller says who leads. */
void
controller_leader_announced (Controller *controller, const MhNow *now, const char *node,
                             guint64 epoch);
/** controller_pop: Returns: (transfer full) (nullable): its next action */
MhAction *
controller_next_action (Controller *controller, gint64 mono_us);
/** controller_next_wake: Returns: when it wants its next tick, on its monotonic clock */
gint64
controller_next_wake (const Controller *controller);
/** controller_leads: Returns: whether its lease is valid, as of its last input */
bool
controller_leads (const Controller *controller);
/** controller_ready: Returns: as GET /ready is answered */
bool
controller_ready (const Controller *controller);
