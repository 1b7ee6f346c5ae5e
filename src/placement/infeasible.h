/* The requests for which no machine was found in a placement pass. A task that needs as much or
   more finds none in this pass either, and the machines need not be searched for it. */
#pragma once

#include "jobs/job.h"

/** MhInfeasible: a set of requests for which no machine was found. */
typedef struct MhInfeasible MhInfeasible;

/**
 * mh_infeasible_new:
 *
 * Returns: (transfer full): an empty set, for one pass; free it with mh_infeasible_free()
 */
MhInfeasible *
mh_infeasible_new (void);

/**
 * mh_infeasible_free:
 * @infeasible: (transfer full): a set
 */
void
mh_infeasible_free (MhInfeasible *infeasible);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhInfeasible, mh_infeasible_free)

/**
 * mh_infeasible_add:
 * @infeasible: a set
 * @spec: a job of which no task currently fits on any machine
 *
 * Adds the needs of one task. Does nothing for a job that restricts machine types or zones itself,
 * since other jobs may find a machine elsewhere.
 */
void
mh_infeasible_add (MhInfeasible *infeasible, const MhJobSpec *spec);

/**
 * mh_infeasible_clear:
 * @infeasible: a set
 *
 * Empties the set, since machines have got more room.
 */
void
mh_infeasible_clear (MhInfeasible *infeasible);

/**
 * mh_infeasible_is_known:
 * @infeasible: a set
 * @spec: a job
 *
 * Returns: whether the set has a request that needs no more than a task of @spec, and that could
 * use every machine that @spec could use
 */
bool
mh_infeasible_is_known (const MhInfeasible *infeasible, const MhJobSpec *spec);
