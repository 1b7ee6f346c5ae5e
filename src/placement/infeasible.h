/* What found no machine in this pass: nor will a task that needs as much or more, until the next.
 */
#pragma once

#include "jobs/job.h"

/** MhInfeasible: the requests that found no machine. */
typedef struct MhInfeasible MhInfeasible;

/**
 * mh_infeasible_new:
 *
 * Returns: (transfer full): an empty memory, for one pass
 */
MhInfeasible *
mh_infeasible_new (void);

/**
 * mh_infeasible_free:
 * @infeasible: (transfer full): a memory
 */
void
mh_infeasible_free (MhInfeasible *infeasible);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhInfeasible, mh_infeasible_free)

/**
 * mh_infeasible_remember:
 * @infeasible: a memory
 * @spec: a job of which no task fits on any machine
 *
 * Remembers what a task of it needs; ignored where the job itself rules machines out by type or
 * zone, which says nothing of others.
 */
void
mh_infeasible_remember (MhInfeasible *infeasible, const MhJobSpec *spec);

/**
 * mh_infeasible_is_known:
 * @infeasible: a memory
 * @spec: a job
 *
 * Returns: whether a task that needs no more, and could go to all machines that one of this job
 * could, found none
 */
bool
mh_infeasible_is_known (const MhInfeasible *infeasible, const MhJobSpec *spec);
