/* Calls of controllers to the key-value store, the cloud and the workers, on their way through the
   network. A call is reference-counted, because its arrival and its time-out are separate events.
   */
#pragma once

#include "stand-in/controller-node.h"

typedef struct OutgoingCall OutgoingCall;

/**
 * outgoing_call_send:
 * @request: (transfer full): the request
 * @action: with the id and the time-out
 */
void
outgoing_call_send (ControllerNode *node, MhRequest *request, const MhAction *action);
/** outgoing_call_end_watch: A watch has ended whose token is @call. @body: (transfer full): */
void
outgoing_call_end_watch (OutgoingCall *call, guint status, MhValue *body);
/** outgoing_call_unref: Drops a reference to @call, an OutgoingCall. */
void
outgoing_call_unref (gpointer call);
/** outgoing_calls_release_commands: Delivers the held calls to workers, and stops holding such
 * calls. */
void
outgoing_calls_release_commands (Simulation *simulation);
/**
 * outgoing_calls_release_write:
 * @arrives: whether the first held transaction is delivered; otherwise it is lost and its call
 *   times out now
 */
void
outgoing_calls_release_write (Simulation *simulation, bool arrives);
/** outgoing_calls_repeat_kept: Delivers all kept requests a second time. Their responses are
 * ignored.
 */
void
outgoing_calls_repeat_kept (Simulation *simulation);
/** outgoing_calls_kept_is_command: Returns: whether the kept request at that index is a command to
 * a worker */
bool
outgoing_calls_kept_is_command (const Simulation *simulation, guint kept);
