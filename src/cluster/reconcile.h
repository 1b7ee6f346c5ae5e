/* Squaring what a worker shows with the attempts that are on record for its machine.

   Three things can be found: an attempt that goes on or has ended, one that is gone, and an orphan,
   which is none of ours. That an attempt is not shown proves that it is gone only if no start of it
   can still be on its way. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * MhMessageSource:
 * @MH_MESSAGE_REPORT: the worker sent it by itself; it has the answer to its last report, or has
 * given that up
 * @MH_MESSAGE_ANSWER: to a question or a direct command. It proves less: it may overtake the starts
 * that the last answer to a report carries
 */
typedef enum
{
  MH_MESSAGE_REPORT,
  MH_MESSAGE_ANSWER
} MhMessageSource;

/**
 * mh_reconcile:
 * @cluster: the cluster
 * @machine: the machine, whose heartbeat is up to date
 * @report: what its worker shows, newer than all before it
 * @source: how it came
 *
 * Updates the machine's attempts and orphans. Ends the leadership if a worker shows an attempt that
 * is not on record here.
 */
void
mh_reconcile (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report,
              MhMessageSource source);
