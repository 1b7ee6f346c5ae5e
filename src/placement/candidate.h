/* Setup of a placement pass and of a job's cycle in it, and the choice of the machine for the job's
   next task among the candidates. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_placement_pass_init:
 * @pass: (inout): a pass; the caller has set the fields that do not depend on the machines
 *
 * Walks all machines once and collects the machines that may take tasks, the machines that are
 * booting, and the zones with live machines. Drops the reservations of the previous pass.
 */
void
mh_placement_pass_init (MhPlacementPass *pass);

/**
 * mh_placement_pass_clear:
 * @pass: a pass
 *
 * Frees what mh_placement_pass_init() has collected.
 */
void
mh_placement_pass_clear (MhPlacementPass *pass);

/**
 * mh_job_cycle_init:
 * @cycle: (out): the cycle to initialize
 * @pass: the pass
 * @job: a job
 *
 * Determines the machine types and zones that the job may use, and counts its tasks in each of
 * these zones.
 */
void
mh_job_cycle_init (MhJobCycle *cycle, MhPlacementPass *pass, MhJob *job);

/**
 * mh_job_cycle_clear:
 * @cycle: a cycle
 *
 * Frees the arrays of @cycle.
 */
void
mh_job_cycle_clear (MhJobCycle *cycle);

/**
 * mh_candidates_collect:
 * @cycle: a cycle
 *
 * Collects and scores the machines that pass all filters except mh_filter_zone(), whose result
 * changes with each task that is placed.
 */
void
mh_candidates_collect (MhJobCycle *cycle);

/**
 * mh_candidates_select:
 * @cycle: a cycle
 *
 * Returns: (transfer none) (nullable): the best candidate that currently passes all filters; %NULL
 * if none does
 */
MhCandidate *
mh_candidates_select (MhJobCycle *cycle);

/**
 * mh_booting_machine_claim:
 * @cycle: a cycle
 * @image_wait_us: time until the job's image is present on the best candidate
 *
 * Claims resources of a booting machine for a replica of a service, if the replica would have its
 * image there earlier than on the best candidate. Concurrent image fetches share the fetch rate of
 * a machine, so that each of them takes as long as all together. A booting machine is therefore
 * claimed for one image only.
 *
 * Returns: whether the replica waits for a booting machine; the claim holds until the end of this
 * pass
 */
bool
mh_booting_machine_claim (MhJobCycle *cycle, gint64 image_wait_us);
