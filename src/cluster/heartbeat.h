/* Taking in what workers say, and answering their reports.

   Only a message that was surely sent in this leadership counts: a report with one of its tokens,
   or the answer to a question or a command of this leader's. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * mh_heartbeat_receive:
 * @cluster: the cluster, which leads or is loading
 * @request_id: of the report, for its answer
 * @report: a worker's report
 *
 * Takes the report in, and answers it with what the machine is told. Ends the leadership if the
 * worker has seen a higher token.
 */
void
mh_heartbeat_receive (MhCluster *cluster, guint64 request_id, const MhHeartbeat *report);

/**
 * mh_heartbeat_take_answer:
 * @cluster: the cluster
 * @machine: the machine that was asked
 * @report: the worker's answer to a question or a command of this leader's
 *
 * Returns: %FALSE if the answer is of another machine, or tells nothing newer
 */
bool
mh_heartbeat_take_answer (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report);

/**
 * mh_heartbeat_keep_alive_us:
 * @cluster: the cluster
 *
 * For how long after its last renewal a leader that cannot renew its lease may keep workers' tasks
 * alive, without starting anything. A successor may confirm a cancellation from that renewal's end
 * on, never before; a task of that job must be gone within cancel_s, and ends at the latest with
 * the worker's lease after the last answered report. docs/design.md has the inequality with each
 * term.
 *
 * Returns: in microseconds; not above 0: not at all
 */
gint64
mh_heartbeat_keep_alive_us (const MhCluster *cluster);
