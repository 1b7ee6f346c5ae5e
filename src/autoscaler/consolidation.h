/* Consolidation: replicas on machines that hold little else are moved to machines that have their
   image, and the machines that are empty then are released by scale-in. No replica is moved for its
   zone. The state is in each machine's flag `draining`. */
#pragma once

#include "autoscaler/context.h"

#include <stdbool.h>

/**
 * mh_consolidation_step:
 * @context: the layers below
 * @tasks_wait: whether tasks wait for machines, so that none is drained
 *
 * Chooses machines to drain, and goes on with those that were chosen: the replicas of one are
 * stopped one at a time. A machine whose replicas do not fit elsewhere any more is no longer
 * drained.
 */
void
mh_consolidation_step (const MhAutoscalerContext *context, bool tasks_wait);
