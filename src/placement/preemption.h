/* Preemption: stops tasks of jobs further back in the queue to make room for tasks that no machine
   has room for. */
#pragma once

#include "placement/placement-types.h"

/** Maximum number of tasks and gangs for which one pass makes room by preemption. */
#define MH_MAX_PREEMPTIONS_PER_PASS 16u

/**
 * mh_preemption_is_allowed:
 * @pass: the pass
 * @job: a job with pending tasks
 * @start_slack_us: how long a start may still take
 *
 * Nothing is stopped before every machine has reported to a new leader, or the time limit for that
 * has passed: machines that have not reported yet may have room. Nothing is stopped for
 * low-priority work beyond its team's quota. An array, or a gang that is not urgent, first waits a
 * fraction of its start slack, in which running tasks may complete.
 *
 * Returns: whether tasks may be stopped for the job now
 */
bool
mh_preemption_is_allowed (const MhPlacementPass *pass, const MhJob *job, gint64 start_slack_us);

/**
 * mh_preemption_make_room_for_task:
 * @cycle: a cycle
 * @max_wait_us: maximum image wait on the machine
 *
 * Makes room for one task of the job, or reserves room that is becoming free already.
 *
 * Returns: whether the task can wait, for reserved room or for a booting machine
 */
bool
mh_preemption_make_room_for_task (MhJobCycle *cycle, gint64 max_wait_us);

/**
 * mh_preemption_make_room:
 * @cycle: a cycle
 *
 * Makes room for the pending tasks that do not wait for room already, as far as the team's quota
 * allows.
 */
void
mh_preemption_make_room (MhJobCycle *cycle);

/**
 * mh_preemption_stop_victims:
 * @pass: the pass
 * @preemptor: the job for which they are stopped
 * @victims: (element-type MhAttempt): the attempts to stop, all on one machine
 *
 * Stops the victims. Each one gets the time that it needs to save its checkpoint.
 */
void
mh_preemption_stop_victims (const MhPlacementPass *pass, const MhJob *preemptor,
                            const GPtrArray *victims);
