/* Processes messages of workers, and responds to their heartbeats.

   Only a message that was certainly sent in this leadership counts: a heartbeat with one of its
   tokens, or a response to a probe or a command of this leader. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * mh_heartbeat_receive:
 * @cluster: the cluster, which leads or is loading
 * @request_id: id of the request, for the response
 * @message: a worker's heartbeat
 *
 * Processes the heartbeat, and responds with the commands to the machine. Steps down if the worker
 * has seen a higher token.
 */
void
mh_heartbeat_receive (MhCluster *cluster, guint64 request_id, const MhHeartbeat *message);

/**
 * mh_heartbeat_receive_response:
 * @cluster: the cluster
 * @machine: the machine to which the request was sent
 * @message: the worker's response to a probe or a command of this leader
 *
 * Processes the response. Steps down if the worker has seen a higher token.
 *
 * Returns: %FALSE if the response is from another machine, not newer than what is known, or led to
 *   the step-down
 */
bool
mh_heartbeat_receive_response (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message);

/**
 * mh_heartbeat_keep_alive_us:
 * @cluster: the cluster
 *
 * How long after its last renewal a leader that cannot renew its lease may keep the tasks of
 * workers alive by responding to heartbeats, without starting any. No successor can confirm a
 * cancellation before that renewal was sent. A task of a cancelled job must be gone within cancel_s
 * of the confirmation, and ends at the latest when the worker's lease expires after the last
 * heartbeat response. docs/design.md has the inequality with each term.
 *
 * Returns: in microseconds; 0 or negative: it may not keep them alive at all
 */
gint64
mh_heartbeat_keep_alive_us (const MhCluster *cluster);
