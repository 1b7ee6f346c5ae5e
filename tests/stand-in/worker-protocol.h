/* The worker's side of the published protocol between controllers and workers. Maps the protocol's
   words to those of machine.h. */
#pragma once

#include "protocol/value.h"
#include "stand-in/worker-runtime.h"

/** worker_protocol_heartbeat: Returns: (transfer full): a new heartbeat with the next sequence
 * number */
MhValue *
worker_protocol_heartbeat (Machine *machine);
/**
 * worker_protocol_heartbeat_response:
 * @sent_us: when the worker sent the heartbeat
 * @incarnation: of the worker when it sent the heartbeat
 * @body: of the response
 *
 * Renews the lease and carries out the commands of the response. Does nothing if the heartbeat is
 * of an earlier incarnation, or if the response has a lower fencing token than the machine knows.
 */
void
worker_protocol_heartbeat_response (Machine *machine, gint64 sent_us, guint64 incarnation,
                                    const MhValue *body);
/**
 * worker_protocol_commands:
 * @body: of a direct call
 * @response: (out) (transfer full) (nullable): a heartbeat
 *
 * Carries out the commands of a direct call.
 *
 * Returns: HTTP status; 409 if the fencing token is lower than the machine knows or the incarnation
 * is another one
 */
guint
worker_protocol_commands (Machine *machine, const MhValue *body, MhValue **response);
