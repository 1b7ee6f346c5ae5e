/* Consolidation drains underused machines: it moves their replicas to machines that have the image
   cached, and scale-in releases the empty machines. It does not rebalance replicas across zones. A
   machine that is being drained is in the state MH_MACHINE_DRAINING; consolidation keeps no other
   state. */
#pragma once

#include "autoscaler/context.h"

#include <stdbool.h>

/**
 * mh_consolidation_step:
 * @context: the lower layers
 * @tasks_wait: whether tasks wait for machines; no machine is drained then
 *
 * Selects machines to drain, and stops the replicas of draining machines, one replica of each
 * machine at a time. Cancels the draining of a machine whose replicas no longer fit elsewhere.
 */
void
mh_consolidation_step (const MhAutoscalerContext *context, bool tasks_wait);
