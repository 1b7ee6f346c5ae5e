/* Calls of controllers to the key-value store, the cloud and the workers, on their way through the
   network. A call is counted by references, as it and its timeout are events of their own. */
#pragma once

#include "stand-in/controller-node.h"

typedef struct OutgoingCall OutgoingCall;

/**
 * outgoing_call_send:
 * @request: (transfer full): what is called
 * @action: with the id and the timeout
 */
void
outgoing_call_send (ControllerNode *node, MhRequest *request, const MhAction *action);
/** outgoing_call_end_watch: A watch, whose token the call is, ended. @body: (transfer full): */
void
outgoing_call_end_watch (OutgoingCall *call, guint status, MhValue *body);
/** outgoing_call_unref: @call: an OutgoingCall */
void
outgoing_call_unref (gpointer call);
/** outgoing_calls_release_commands: The held calls to workers arrive, and none is held any more. */
void
outgoing_calls_release_commands (Simulation *simulation);
/**
 * outgoing_calls_release_write:
 * @arrives: whether the first of the held transactions arrives, or is lost and its sender told so
 */
void
outgoing_calls_release_write (Simulation *simulation, bool arrives);
/** outgoing_calls_repeat_kept: All kept requests come once more, and nobody waits for an answer. */
void
outgoing_calls_repeat_kept (Simulation *simulation);
/** outgoing_calls_kept_is_command: Returns: whether the kept request commands a worker */
bool
outgoing_calls_kept_is_command (const Simulation *simulation, guint kept);
