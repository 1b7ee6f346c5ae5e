/* Candidates: the machines of one placement pass, and those of them that may take a job's next
   task. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_placement_pass_init:
 * @pass: the fields that hold for the controller are set; the rest is filled in
 *
 * Looks at all machines once: which may take tasks, which zones count, and which are on their way.
 * Reservations of the last pass end.
 */
void
mh_placement_pass_init (MhPlacementPass *pass);

/**
 * mh_placement_pass_clear:
 * @pass: a pass
 */
void
mh_placement_pass_clear (MhPlacementPass *pass);

/**
 * mh_job_cycle_init:
 * @cycle: is filled in
 * @pass: the pass
 * @job: a job
 *
 * Works out which machine types and zones the job may use, and counts its tasks by zone.
 */
void
mh_job_cycle_init (MhJobCycle *cycle, MhPlacementPass *pass, MhJob *job);

/**
 * mh_job_cycle_clear:
 * @cycle: a cycle
 */
void
mh_job_cycle_clear (MhJobCycle *cycle);

/**
 * mh_candidates_collect:
 * @cycle: a cycle
 *
 * Collects the machines that pass all filters but those of zones that depend on where the job's
 * other tasks are, and scores them.
 */
void
mh_candidates_collect (MhJobCycle *cycle);

/**
 * mh_candidates_select:
 * @cycle: a cycle
 *
 * Returns: (transfer none) (nullable): the best candidate that passes all filters now; %NULL if
 * none does
 */
MhCandidate *
mh_candidates_select (MhJobCycle *cycle);

/**
 * mh_arrival_claim:
 * @cycle: a cycle
 * @image_wait_us: how long the job's image takes on the machine that was found
 *
 * Fetches side by side share a machine's rate, so that each takes as long as all. A replica whose
 * image would come later so than on a machine that is on its way, and has no other to fetch, waits
 * for that one.
 *
 * Returns: whether a task of the job does; it has a place on that machine, in this pass
 */
bool
mh_arrival_claim (MhJobCycle *cycle, gint64 image_wait_us);
