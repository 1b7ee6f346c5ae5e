/* Placement of gangs: places for all tasks in one pass, or for none (gang scheduling). KEP-895's
   spread is about services and does not apply here. */
#pragma once

#include "placement/placement-types.h"

/**
 * MhGangPlacement:
 * @MH_GANG_PENDING: there is no room for all
 * @MH_GANG_PREEMPTING: room is being made, by stopping lesser work
 * @MH_GANG_STARTED: every task has its machine
 */
typedef enum
{
  MH_GANG_PENDING,
  MH_GANG_PREEMPTING,
  MH_GANG_STARTED
} MhGangPlacement;

/**
 * mh_gang_is_feasible:
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 * @spec: a gang
 *
 * Returns: whether its tasks could ever run all at once, with the zones that it allows and that its
 * types are offered in
 */
bool
mh_gang_is_feasible (const GPtrArray *types, const MhJobSpec *spec);

/**
 * mh_gang_place:
 * @pass: the pass
 * @job: a gang
 * @may_preempt: whether lesser work may be stopped for it
 *
 * Starts all tasks, or none. For one that cannot start, capacity may be held or made.
 *
 * Returns: what was done
 */
MhGangPlacement
mh_gang_place (const MhPlacementPass *pass, MhJob *job, bool may_preempt);
