/* A controller of a simulation: the core of this version, or that of the version in production.
   Both get the same inputs, and the actions of both are returned as types of this version. */
#pragma once

#include "controller/core.h"

/** ControllerVersion: which core a controller has */
typedef enum
{
  CONTROLLER_CURRENT,
  CONTROLLER_PRODUCTION
} ControllerVersion;

typedef struct Controller Controller;

/** controller_new: @settings: must outlive the controller. Returns: (transfer full): a controller
 * that starts now */
Controller *
controller_new (ControllerVersion version, const MhSettings *settings, const MhNow *now);
/** controller_free: Frees @controller, which may be %NULL. */
void
controller_free (Controller *controller);
/** controller_tick: The timer has fired. */
void
controller_tick (Controller *controller, const MhNow *now);
/** controller_user_request: A request of a user arrives, directly or by way of another controller.
 */
void
controller_user_request (Controller *controller, const MhNow *now, const MhUserRequest *request);
/** controller_heartbeat: A heartbeat arrives. @id: that the response gets */
void
controller_heartbeat (Controller *controller, const MhNow *now, guint64 id,
                      const MhValue *heartbeat);
/** controller_call_finished: The call @id of the controller is over. @status: HTTP status; 0: no
 * response came */
void
controller_call_finished (Controller *controller, const MhNow *now, guint64 id, guint status,
                          const MhValue *body);
/** controller_forward_finished: A request that the controller forwarded is over. @response:
 * (nullable): %NULL: no response came */
void
controller_forward_finished (Controller *controller, const MhNow *now, guint64 id,
                             const MhUserResponse *response);
/** controller_leader_announced: Another controller announces itself as leader. */
void
controller_leader_announced (Controller *controller, const MhNow *now, const char *node,
                             guint64 epoch);
/** controller_next_action: Returns: (transfer full) (nullable): the next action; %NULL: none is
 * left */
MhAction *
controller_next_action (Controller *controller, gint64 mono_us);
/** controller_next_wake: Returns: when it needs its next tick, on its monotonic clock */
gint64
controller_next_wake (const Controller *controller);
/** controller_count: Returns: the value of a counter of the current version; 0 for the version in
 * production */
guint64
controller_count (const Controller *controller, MhCounter counter);
/** controller_get_core: Returns: (transfer none) (nullable): the core; %NULL: of the version in
 * production */
MhCore *
controller_get_core (Controller *controller);
/** controller_leads: Returns: whether its leader lease is valid, as of its last input */
bool
controller_leads (const Controller *controller);
/** controller_ready: Returns: whether GET /ready is answered with success */
bool
controller_ready (const Controller *controller);
