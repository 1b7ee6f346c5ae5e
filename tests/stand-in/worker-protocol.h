/* The published protocol between controllers and workers, as a worker speaks it. The words of the
   protocol are mapped to those of machine.h here. */
#pragma once

#include "protocol/value.h"
#include "stand-in/worker-runtime.h"

/** worker_protocol_report: Returns: (transfer full): a new report; its number rises */
MhValue *
worker_protocol_heartbeat (Machine *machine);
/**
 * worker_protocol_response:
 * @sent_us: when the report was sent that this answers
 * @session: incarnation of the worker that sent it
 * @body: of the response
 *
 * Renews the lease, and carries out the commands that come with it. A response to an earlier
 * incarnation, or with a lower fencing token, changes nothing.
 */
void
worker_protocol_heartbeat_response (Machine *machine, gint64 sent_us, guint64 session,
                                    const MhValue *body);
/**
 * worker_protocol_commands:
 * @body: of a direct call
 * @reply: (out) (transfer full) (nullable): a report
 *
 * Returns: HTTP status: 409 if the token or the session is an earlier one
 */
guint
worker_protocol_commands (Machine *machine, const MhValue *body, MhValue **reply);
