/* Direct commands: requests to a worker that do not wait for its next heartbeat. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_direct_command_init:
 * @cluster: the cluster
 *
 * Sets up the rate limit of deferrable direct commands.
 */
void
mh_direct_command_init (MhCluster *cluster);

/**
 * mh_direct_command_can_send:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Only one direct command to a machine is in flight at a time. None is sent to a machine that may
 * be gone or unreachable, or while a start to it may be lost: the response to its next heartbeat
 * carries the commands instead.
 *
 * Returns: %TRUE if a direct command can be sent to the machine now
 */
bool
mh_direct_command_can_send (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_direct_command_send_unsent:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Sends its unsent commands, if a direct command can be sent now, and if they are urgent or the
 * rate limit of deferrable ones allows it.
 */
void
mh_direct_command_send_unsent (MhCluster *cluster, MhMachine *machine);

/**
 * mh_direct_command_send_token:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Sends the fencing token, with the unsent commands if there are any, if a direct command can be
 * sent now. The worker learns of this leader from the token. If the worker still sends heartbeats
 * to a former leader, its next one carries the token there, and the former leader steps down.
 */
void
mh_direct_command_send_token (MhCluster *cluster, MhMachine *machine);
