/* An estimate of the capacity of one machine: one that remains in service, one that is booting, or
   one that would have to be created. Consolidation and the demand plan assign tasks to estimates;
   this does not change any machine. */
#pragma once

#include "cluster/machine-registry.h"
#include "placement/resources.h"
#include "protocol/cloud-messages.h"

/**
 * MhCapacityEstimate:
 * @machine: (nullable): the machine; %NULL if the estimate is for a machine that is booting or not
 * created yet
 * @type: the machine type
 * @zone: the zone, interned, so that zones can be compared by address; borrowed from the machine or
 * the offer
 * @spot: whether it is a spot machine
 * @to_create: whether the machine would have to be created
 * @available: resources that are not in use
 *
 * The capacity of one machine.
 */
typedef struct
{
  const MhMachine *machine;
  const MhMachineType *type;
  const GRefString *zone;
  bool spot, to_create;
  MhResources available;
} MhCapacityEstimate;

/**
 * mh_capacity_estimate_for_type:
 * @type: a machine type
 * @zone: an interned zone
 * @spot: whether it is a spot machine
 *
 * Returns: an estimate of an empty machine; it borrows @type and @zone
 */
MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot);

/**
 * mh_capacity_estimate_suits_job:
 * @estimate: an estimate
 * @job: a job
 * @zone: (nullable): the only zone in which the tasks may run, interned; %NULL: any zone
 *
 * Returns: %TRUE if the job may run on such a machine by its type, its zone and whether it is a
 * spot machine, regardless of the resources that are in use
 */
bool
mh_capacity_estimate_suits_job (const MhCapacityEstimate *estimate, const MhJob *job,
                                const char *zone);

/**
 * mh_capacity_estimate_count_tasks:
 * @estimate: an estimate
 * @spec: the job whose tasks are to be assigned
 * @tasks: the number of tasks to assign
 *
 * Returns: how many of the tasks fit into the available resources
 */
guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *estimate, const MhJobSpec *spec,
                                  guint tasks);

/**
 * mh_capacity_estimate_reserve:
 * @estimate: an estimate
 * @spec: the job whose tasks are assigned
 * @tasks: the number of tasks
 *
 * Subtracts the resources of the tasks from the available resources.
 */
void
mh_capacity_estimate_reserve (MhCapacityEstimate *estimate, const MhJobSpec *spec, guint tasks);
