/* The registry of machines.

   A machine is known from the moment when it is created, appears in the cloud's list or in a
   record, or sends a message, until its release is confirmed. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_cluster_find_machine:
 * @cluster: the cluster
 * @name: a machine's name
 *
 * Returns: (transfer none) (nullable): the machine; %NULL: not known, or released
 */
MhMachine *
mh_cluster_find_machine (const MhCluster *cluster, const char *name);

/**
 * mh_cluster_add_machine:
 * @cluster: the cluster
 * @name: a name that is not known yet
 * @type: (nullable): the name of its type; %NULL: not known yet
 * @zone: (nullable): its zone; %NULL: not known yet
 * @spot: whether it is a spot machine
 *
 * Returns: (transfer none): the machine, which lives until mh_cluster_remove_released_machine()
 */
MhMachine *
mh_cluster_add_machine (MhCluster *cluster, const char *name, const char *type, const char *zone,
                        bool spot);

/**
 * mh_cluster_identify_machine:
 * @cluster: the cluster
 * @machine: a machine, of which only the name may be known
 * @type: the name of its type
 * @zone: its zone
 * @spot: whether it is a spot machine
 *
 * Sets the machine's type and zone if they are not known yet, and whether it is a spot machine.
 */
void
mh_cluster_identify_machine (MhCluster *cluster, MhMachine *machine, const char *type,
                             const char *zone, bool spot);

/**
 * mh_cluster_was_released:
 * @cluster: the cluster
 * @name: a machine's name
 *
 * Returns: %TRUE if a machine of that name was released in the last 15 minutes
 */
bool
mh_cluster_was_released (const MhCluster *cluster, const char *name);

/**
 * mh_cluster_silence_us:
 * @cluster: the cluster
 * @last_message_us: monotonic time of the last message, in microseconds
 *
 * Returns: the time without a message, in microseconds. It counts from the time at which this
 * process last resumed after a pause, or after it had refused the heartbeats of all workers, if
 * that is later: until then no message could arrive
 */
gint64
mh_cluster_silence_us (const MhCluster *cluster, gint64 last_message_us);

/**
 * mh_cluster_is_silent:
 * @cluster: the cluster
 * @machine: a machine
 * @threshold_us: a duration in microseconds
 *
 * Returns: %TRUE if no message has come from its worker for longer than @threshold_us
 */
bool
mh_cluster_is_silent (const MhCluster *cluster, const MhMachine *machine, gint64 threshold_us);

/**
 * mh_machine_schedule_commands:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Schedules the machine's unsent commands for the next step, so that they do not wait for the next
 * check of all machines.
 */
void
mh_machine_schedule_commands (MhCluster *cluster, MhMachine *machine);

/**
 * mh_cluster_remember_released:
 * @cluster: the cluster
 * @name: name of a machine whose release is confirmed
 *
 * Remembers the name, since delayed heartbeats and machine lists may still contain it.
 */
void
mh_cluster_remember_released (MhCluster *cluster, const char *name);

/**
 * mh_cluster_resolve_type:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Looks up the machine's type by its name among those that the cloud offers.
 */
void
mh_cluster_resolve_type (const MhCluster *cluster, MhMachine *machine);

/**
 * mh_cluster_forget_old_releases:
 * @cluster: the cluster
 * @now_us: monotonic time, in microseconds
 *
 * Forgets the names of machines that were released more than 15 minutes ago.
 */
void
mh_cluster_forget_old_releases (MhCluster *cluster, gint64 now_us);

/**
 * mh_cluster_forget_all_releases:
 * @cluster: the cluster
 *
 * Forgets the names of all released machines.
 */
void
mh_cluster_forget_all_releases (MhCluster *cluster);
