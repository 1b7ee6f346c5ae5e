/* Demand: how many machines of which kind the pending tasks need in addition to those that are in
   service or booting.

   Pending tasks are assigned, in the order of the job queue, to booting machines, to CPUs that
   running tasks are expected to free in time, and to machines that would have to be created. */
#pragma once

#include "autoscaler/lost-capacity.h"
#include "autoscaler/scale-out.h"

/**
 * MhDemandPlan:
 *
 * An assignment of all pending tasks, for one step.
 */
typedef struct MhDemandPlan MhDemandPlan;

/**
 * mh_demand_plan_new:
 * @context: the lower layers
 * @scale_out: provides the kinds of machine that the cloud refused recently
 * @lost_capacity: lost capacity that has to be replaced; not changed by the plan
 *
 * Assigns all pending tasks. The machine types must be known. Also updates the expected run and
 * fetch times of each job if any job has pending tasks.
 *
 * Returns: (transfer full): a plan, valid while the current input is processed
 */
MhDemandPlan *
mh_demand_plan_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                    const MhLostCapacity *lost_capacity);

/**
 * mh_demand_plan_free:
 * @plan: (transfer full) (nullable): a plan
 */
void
mh_demand_plan_free (MhDemandPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhDemandPlan, mh_demand_plan_free)

/**
 * mh_demand_plan_estimates:
 * @plan: a plan
 *
 * Returns: (transfer none) (element-type MhCapacityEstimate): the machines of the plan: first the
 * booting ones, then those that would have to be created, in the order in which tasks need them
 */
const GArray *
mh_demand_plan_estimates (const MhDemandPlan *plan);
