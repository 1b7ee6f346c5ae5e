/* Preemption: stops tasks of lesser jobs to make room for those that found none. */
#pragma once

#include "placement/placement-types.h"

/** How often a pass makes room. */
#define MH_PREEMPTIONS_PER_PASS 16u

/**
 * mh_preemption_is_allowed:
 * @pass: the pass
 * @job: a job with pending tasks
 * @start_slack_us: how long a start may still take
 *
 * Running tasks end by themselves: what is not urgent gives them a part of the time that it has.
 * And machines that have not reported yet to a new leader may have room.
 *
 * Returns: whether tasks may be stopped for the job now
 */
bool
mh_preemption_is_allowed (const MhPlacementPass *pass, const MhJob *job, gint64 start_slack_us);

/**
 * mh_preemption_make_room_for_task:
 * @cycle: a cycle
 * @image_wait_us: the image must come within this time
 *
 * Makes room for one task of the job, or keeps what is being made already.
 *
 * Returns: whether the task can wait for that room
 */
bool
mh_preemption_make_room_for_task (MhJobCycle *cycle, gint64 image_wait_us);

/**
 * mh_preemption_make_room:
 * @cycle: a cycle
 *
 * Makes room for the pending tasks for which none is being made yet, as far as the team's quota
 * allows.
 */
void
mh_preemption_make_room (MhJobCycle *cycle);

/**
 * mh_preemption_stop_victims:
 * @pass: the pass
 * @preemptor: the job for which they are stopped
 * @victims: (element-type MhAttempt): on one machine
 *
 * Stops the victims gracefully.
 */
void
mh_preemption_stop_victims (const MhPlacementPass *pass, const MhJob *preemptor,
                            const GPtrArray *victims);
