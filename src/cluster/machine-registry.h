/* Which machines there are.

   A machine is known from the moment it was rented, listed, named in a record or heard, until its
   release is confirmed. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_cluster_find_machine:
 * @cluster: the cluster
 * @name: a machine's name
 *
 * Returns: (transfer none) (nullable): the machine; %NULL: not known, or gone
 */
MhMachine *
mh_cluster_find_machine (const MhCluster *cluster, const char *name);

/**
 * mh_cluster_add_machine:
 * @cluster: the cluster
 * @name: a name that is not known yet
 * @type: (nullable): the name of its type; %NULL: not known yet
 * @zone: (nullable): its zone; %NULL: not known yet
 * @spot: whether the cloud may take it back
 *
 * Returns: (transfer none): the machine, which lives until mh_cluster_machine_released()
 */
MhMachine *
mh_cluster_add_machine (MhCluster *cluster, const char *name, const char *type, const char *zone,
                        bool spot);

/**
 * mh_cluster_identify_machine:
 * @cluster: the cluster
 * @machine: a machine, perhaps known by its name alone
 * @type: the name of its type
 * @zone: its zone
 * @spot: whether the cloud may take it back
 *
 * Notes what the machine is, as far as that was not known.
 */
void
mh_cluster_identify_machine (MhCluster *cluster, MhMachine *machine, const char *type,
                             const char *zone, bool spot);

/**
 * mh_cluster_was_released:
 * @cluster: the cluster
 * @name: a machine's name
 *
 * Returns: %TRUE if a machine of that name was released in the last quarter of an hour
 */
bool
mh_cluster_was_released (const MhCluster *cluster, const char *name);

/**
 * mh_cluster_silence_us:
 * @cluster: the cluster
 * @heard_us: monotonic time of the last message, in microseconds
 *
 * Returns: for how long nothing has come that should have, in microseconds: the time during which
 * this process stood still, or refused all workers, says nothing of them
 */
gint64
mh_cluster_silence_us (const MhCluster *cluster, gint64 heard_us);

/**
 * mh_cluster_is_silent:
 * @cluster: the cluster
 * @machine: a machine
 * @for_us: in microseconds
 *
 * Returns: %TRUE if nothing has come from it for longer than @for_us
 */
bool
mh_cluster_is_silent (const MhCluster *cluster, const MhMachine *machine, gint64 for_us);

/**
 * mh_machine_schedule_commands:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Its commands are looked at in this step, not with the next check of all machines.
 */
void
mh_machine_schedule_commands (MhCluster *cluster, MhMachine *machine);

/**
 * mh_cluster_remember_released:
 * @cluster: the cluster
 * @name: of a machine that is gone
 *
 * Late reports and lists may still carry the name.
 */
void
mh_cluster_remember_released (MhCluster *cluster, const char *name);

/**
 * mh_cluster_resolve_type:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Looks up the type that its name says.
 */
void
mh_cluster_resolve_type (const MhCluster *cluster, MhMachine *machine);

/**
 * mh_cluster_forget_old_releases:
 * @cluster: the cluster
 * @now_us: monotonic time, in microseconds
 *
 * Forgets the names of machines that were released long ago.
 */
void
mh_cluster_forget_old_releases (MhCluster *cluster, gint64 now_us);

/**
 * mh_cluster_forget_all_releases:
 * @cluster: the cluster
 */
void
mh_cluster_forget_all_releases (MhCluster *cluster);
