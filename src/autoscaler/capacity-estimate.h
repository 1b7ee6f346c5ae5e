/* An estimate of the capacity of one machine: of one that stays, of one that is coming, or of one
   that would have to be created. Consolidation and the demand plan lay tasks out on estimates; no
   machine is touched by it. */
#pragma once

#include "cluster/machine-registry.h"
#include "placement/resources.h"
#include "protocol/cloud-messages.h"

/**
 * MhCapacityEstimate:
 * @machine: (nullable): the machine; %NULL: it is not there yet
 * @type: its type
 * @zone: its zone, interned, so that zones are compared by address; borrowed from the machine or
 * the offer
 * @spot: whether it is a spot machine
 * @to_create: whether it would have to be created
 * @available: what is not in use
 *
 * Capacity of one machine.
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
 * @type: a type of machine
 * @zone: an interned zone
 * @spot: whether it is a spot machine
 *
 * Returns: an estimate of a machine of which all is free; it borrows @type and @zone
 */
MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot);

/**
 * mh_capacity_estimate_suits:
 * @estimate: an estimate
 * @job: a job
 * @zone: (nullable): the only zone that the tasks may go to, interned; %NULL: any
 *
 * Returns: %TRUE if type, zone and kind of the machine suit the job, whatever is free on it
 */
bool
mh_capacity_estimate_suits (const MhCapacityEstimate *estimate, const MhJob *job, const char *zone);

/**
 * mh_capacity_estimate_count_tasks:
 * @estimate: an estimate
 * @spec: what one task needs
 * @tasks: how many there are
 *
 * Returns: how many of the tasks fit into what is free
 */
guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *estimate, const MhJobSpec *spec,
                                  guint tasks);

/**
 * mh_capacity_estimate_reserve:
 * @estimate: an estimate
 * @spec: what one task needs
 * @tasks: how many
 *
 * Takes the tasks' needs off what is free.
 */
void
mh_capacity_estimate_reserve (MhCapacityEstimate *estimate, const MhJobSpec *spec, guint tasks);
