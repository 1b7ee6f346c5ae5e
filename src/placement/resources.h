/* Resources of machines, and what tasks need of them. */
#pragma once

#include "cluster/machine.h"
#include "jobs/job.h"

/** Sums of fractions of a cpu or a GB are exact to less than this. */
#define MH_RESOURCE_EPSILON 1e-6

/**
 * MhResources:
 * @cpus: cores
 * @gpus: GPUs
 * @mem_gb: memory, in GB
 *
 * An amount of resources, on one machine or for some tasks.
 */
typedef struct
{
  double cpus, gpus, mem_gb;
} MhResources;

/**
 * mh_resources_available:
 * @machine: a machine whose type is known
 *
 * Returns: what is neither in use nor reserved in this pass
 */
MhResources
mh_resources_available (const MhMachine *machine);

/**
 * mh_resources_unused_cpus:
 * @machine: a machine whose type is known
 *
 * Returns: the cores that are not in use, reserved or not
 */
double
mh_resources_unused_cpus (const MhMachine *machine);

/**
 * mh_resources_reserve:
 * @machine: a machine
 * @spec: whose tasks
 * @tasks: how many
 *
 * Keeps resources on @machine for @tasks of the job, until the next pass.
 */
void
mh_resources_reserve (MhMachine *machine, const MhJobSpec *spec, guint tasks);

/**
 * mh_resources_add_task:
 * @resources: is increased
 * @spec: by what one of whose tasks needs
 */
void
mh_resources_add_task (MhResources *resources, const MhJobSpec *spec);

/**
 * mh_resource_slots:
 * @available: of one resource
 * @needed: of it, by one task
 * @limit: no more than so many are looked for
 *
 * Returns: for how many tasks @available is enough, at most @limit
 */
guint
mh_resource_slots (double available, double needed, guint limit);

/**
 * mh_resources_slots:
 * @resources: what there is
 * @spec: whose tasks
 * @limit: no more than so many are looked for
 *
 * Returns: for how many tasks of the job @resources are enough, at most @limit
 */
guint
mh_resources_slots (const MhResources *resources, const MhJobSpec *spec, guint limit);
