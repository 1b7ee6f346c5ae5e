/* How long machines take from their rental to their first report, by type.

   What boots have taken tells a machine that is only slow from one that will never join: it is
   estimated as TCP estimates its retransmission timeout (RFC 6298), by a smoothed mean and
   deviation. A machine that is later than that counts with its age so far, so that where all boots
   are slow the estimate follows, and not all machines on their way are rented once more. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_boot_time_joined:
 * @cluster: the cluster
 * @machine: a machine that has just reported for the first time
 *
 * Learns from its boot, if this leader rented it.
 */
void
mh_boot_time_joined (MhCluster *cluster, const MhMachine *machine);

/**
 * mh_boot_time_check:
 * @cluster: the cluster
 * @machine: a machine that has not joined
 *
 * Notes that it is late: it is not counted on any more, so that another is rented in its place.
 * Later it is given back.
 */
void
mh_boot_time_check (MhCluster *cluster, MhMachine *machine);
