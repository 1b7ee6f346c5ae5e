/* Demand: how many machines of which kind the waiting tasks need beyond those that are there or
   coming.

   Waiting tasks are laid out, in the order of the job queue, on machines that are coming, on cpus
   that running tasks will leave in time, and on machines that would have to be created. */
#pragma once

#include "autoscaler/lost-capacity.h"
#include "autoscaler/scale-out.h"

/**
 * MhDemandPlan:
 *
 * A layout of all waiting tasks, for one step.
 */
typedef struct MhDemandPlan MhDemandPlan;

/**
 * mh_demand_plan_new:
 * @context: the layers below
 * @scale_out: knows which kinds of machine were refused
 * @lost: capacity that was lost; the plan takes nothing off it
 *
 * Lays out all waiting tasks. The types of machines must be known. Also renews each job's expected
 * run and fetch times.
 *
 * Returns: (transfer full): a plan, valid during the current input
 */
MhDemandPlan *
mh_demand_plan_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                    const MhLostCapacity *lost);

/**
 * mh_demand_plan_free:
 * @plan: (transfer full) (nullable): a plan
 *
 * Frees it with its estimates.
 */
void
mh_demand_plan_free (MhDemandPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhDemandPlan, mh_demand_plan_free)

/**
 * mh_demand_plan_estimates:
 * @plan: a plan
 *
 * Returns: (transfer none) (element-type MhCapacityEstimate): the machines of the plan: those that
 * are coming, and those that would have to be created, in the order in which tasks ask for them
 */
const GArray *
mh_demand_plan_estimates (const MhDemandPlan *plan);
