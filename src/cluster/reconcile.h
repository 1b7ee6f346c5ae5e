/* Reconciliation of the tasks that a worker reports with the attempts on record for its machine.

   An attempt can turn out to be live, ended or gone; a reported task that is no live attempt of
   this machine is an orphaned attempt. An attempt that is not reported is proven gone only if no
   start of it can still be in flight. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * MhMessageSource:
 * @MH_MESSAGE_HEARTBEAT: a heartbeat. The worker has received the response to its last one, or has
 *   stopped waiting for it
 * @MH_MESSAGE_RESPONSE: a response to a probe or a direct command. It proves less: it may overtake
 *   starts in the last heartbeat response
 */
typedef enum
{
  MH_MESSAGE_HEARTBEAT,
  MH_MESSAGE_RESPONSE
} MhMessageSource;

/**
 * mh_reconcile:
 * @cluster: the cluster
 * @machine: the machine, whose heartbeat state is up to date
 * @message: what its worker reports, newer than all earlier messages
 * @source: whether it is a heartbeat or a response
 *
 * Updates the machine's attempts and orphaned attempts. Steps down if the worker reports an attempt
 * of a task that is newer than the last one on record here.
 */
void
mh_reconcile (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message,
              MhMessageSource source);
