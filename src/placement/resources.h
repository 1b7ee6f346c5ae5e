/* Resources of machines, and the amounts that tasks need. */
#pragma once

#include "cluster/machine.h"
#include "jobs/job.h"

/** Tolerance for amounts of resources, in CPUs, GPUs or GB: rounding errors in sums of fractions
   of a CPU or a GB are smaller than this. */
#define MH_RESOURCE_EPSILON 1e-6

/**
 * MhResources:
 * @cpus: CPUs
 * @gpus: GPUs
 * @mem_gb: memory, in GB
 *
 * Amounts of resources: on one machine, or for a number of tasks.
 */
typedef struct
{
  double cpus, gpus, mem_gb;
} MhResources;

/**
 * mh_resources_available:
 * @machine: a machine whose type is known
 *
 * Returns: the resources that are neither in use nor reserved in this pass
 */
MhResources
mh_resources_available (const MhMachine *machine);

/**
 * mh_resources_unused_cpus:
 * @machine: a machine whose type is known
 *
 * Returns: the CPUs that are not in use, whether or not they are reserved
 */
double
mh_resources_unused_cpus (const MhMachine *machine);

/**
 * mh_resources_reserve:
 * @machine: a machine
 * @spec: the job
 * @tasks: number of its tasks
 *
 * Reserves CPUs and memory on @machine for @tasks tasks of the job, until the next pass. GPUs are
 * not reserved.
 */
void
mh_resources_reserve (MhMachine *machine, const MhJobSpec *spec, guint tasks);

/**
 * mh_resources_add_task:
 * @resources: (inout): the amounts to increase
 * @spec: a job
 *
 * Adds the needs of one task of the job to @resources.
 */
void
mh_resources_add_task (MhResources *resources, const MhJobSpec *spec);

/**
 * mh_resources_count_slots_of_one:
 * @available: available amount of a single resource
 * @needed: amount of it that one task needs
 * @limit: upper limit of the result
 *
 * Returns: the number of tasks for which @available is enough, at most @limit
 */
guint
mh_resources_count_slots_of_one (double available, double needed, guint limit);

/**
 * mh_resources_count_slots:
 * @resources: the available resources
 * @spec: the job
 * @limit: upper limit of the result
 *
 * Returns: the number of tasks of the job for which @resources are enough, at most @limit
 */
guint
mh_resources_count_slots (const MhResources *resources, const MhJobSpec *spec, guint limit);
