/* The filters of placement: on which machines a task may run. Each filter is a function, like a
   plugin of the Filter phase in the Kubernetes scheduler. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_filter_required_zone:
 * @job: a job
 *
 * The zone that the job asks for, or, for a job whose tasks all run in one zone, the zone of its
 * live tasks.
 *
 * Returns: (nullable): the only zone in which a further task of the job may run, interned; %NULL:
 * any zone. The empty string if a live task determines the zone and its zone is not known yet.
 */
const char *
mh_filter_required_zone (const MhJob *job);

/**
 * mh_filter_type:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the job accepts the machine's type and a task fits on an empty machine of it
 */
bool
mh_filter_type (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_spot:
 * @spec: a job
 * @machine: a machine
 *
 * Returns: whether the machine is not a spot machine, or the job accepts spot machines
 */
bool
mh_filter_spot (const MhJobSpec *spec, const MhMachine *machine);

/**
 * mh_filter_counted_zone:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine's zone is a counted one (MhJobCycle): the job may run there
 */
bool
mh_filter_counted_zone (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_machine:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine passes the filters whose results are the same throughout the cycle:
 * type, spot, counted zone
 */
bool
mh_filter_machine (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_resources:
 * @machine: a machine
 * @spec: a job
 *
 * Returns: whether the machine currently has room for one more task of the job
 */
bool
mh_filter_resources (const MhMachine *machine, const MhJobSpec *spec);

/**
 * mh_filter_scatter:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether at most half of the job's tasks, rounded up, would be in the zone with one more
 * task there; always %TRUE for a job that is not scattered
 */
bool
mh_filter_scatter (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_one_zone:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * For a job whose tasks all run in one zone. Checks the counts of the cycle, since a task that was
 * started earlier in this cycle may have determined the zone.
 *
 * Returns: whether the job has no task in any other zone; always %TRUE for other jobs
 */
bool
mh_filter_one_zone (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_topology_spread:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether the hard topology spread constraint allows one more task in the zone; always
 * %TRUE for a soft constraint, and for jobs other than services
 */
bool
mh_filter_topology_spread (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_zone:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether the zone passes the filters that depend on the zones of the job's other tasks:
 * scatter, one zone, topology spread
 */
bool
mh_filter_zone (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_admits:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine passes all filters except that of resources
 */
bool
mh_filter_admits (const MhJobCycle *cycle, const MhMachine *machine);
