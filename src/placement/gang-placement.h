/* Placement of gangs: all tasks are placed in the same pass, or none is (gang scheduling). The
   topology spread of KEP-895 is for services and does not apply to gangs. */
#pragma once

#include "placement/placement-types.h"

/**
 * MhGangPlacementResult:
 * @MH_GANG_PENDING: no task was started and no task was preempted
 * @MH_GANG_PREEMPTING: tasks were preempted to make room for the gang
 * @MH_GANG_STARTED: all tasks were started
 *
 * The result of the placement of one gang in one pass.
 */
typedef enum
{
  MH_GANG_PENDING,
  MH_GANG_PREEMPTING,
  MH_GANG_STARTED
} MhGangPlacementResult;

/**
 * mh_gang_place:
 * @pass: the pass
 * @job: a gang
 * @may_preempt: whether tasks of jobs further back in the queue may be stopped for it
 *
 * Starts all tasks or none. For a gang that cannot start, may reserve available capacity, or make
 * room by preemption.
 *
 * Returns: the result
 */
MhGangPlacementResult
mh_gang_place (const MhPlacementPass *pass, MhJob *job, bool may_preempt);
