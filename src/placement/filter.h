/* The filters of placement: where a task may go at all. Each is a step by itself, as in the
   Kubernetes scheduler's Filter phase. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_filter_required_zone:
 * @job: a job
 *
 * Returns: (nullable): the only zone in which a further task of the job may run: the one that it
 * asks for, or that its other tasks have fixed (same zone); interned; %NULL: any. The empty string
 * if it is fixed, and not known.
 */
const char *
mh_filter_required_zone (const MhJob *job);

/**
 * mh_filter_type:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the job's types, and what a task needs, admit machines of this type
 */
bool
mh_filter_type (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_spot:
 * @spec: a job
 * @machine: a machine
 *
 * Returns: whether the job may run there as far as preemptible (spot) machines are concerned
 */
bool
mh_filter_spot (const MhJobSpec *spec, const MhMachine *machine);

/**
 * mh_filter_counted_zone:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine's zone is one in which the job may run
 */
bool
mh_filter_counted_zone (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_machine:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine passes the filters that hold for the whole cycle: type, spot, zone
 */
bool
mh_filter_machine (const MhJobCycle *cycle, const MhMachine *machine);

/**
 * mh_filter_resources:
 * @machine: a machine
 * @spec: a job
 *
 * Returns: whether one more task of the job has room there now
 */
bool
mh_filter_resources (const MhMachine *machine, const MhJobSpec *spec);

/**
 * mh_filter_scatter:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether a scattered job may have one more task in the zone: at most half of all
 */
bool
mh_filter_scatter (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_one_zone:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether a job whose tasks all run in one zone has none in another; an earlier task of
 * this very pass may have fixed the zone
 */
bool
mh_filter_one_zone (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_topology_spread:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether a service's hard topology spread constraint allows one more task in the zone
 */
bool
mh_filter_topology_spread (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_zone:
 * @cycle: a cycle
 * @zone: index into the cycle's zones
 *
 * Returns: whether the zone passes the filters that depend on where the job's tasks are: scatter,
 * one zone, topology spread
 */
bool
mh_filter_zone (const MhJobCycle *cycle, guint zone);

/**
 * mh_filter_admits:
 * @cycle: a cycle
 * @machine: a machine
 *
 * Returns: whether the machine passes all filters but that of resources
 */
bool
mh_filter_admits (const MhJobCycle *cycle, const MhMachine *machine);
