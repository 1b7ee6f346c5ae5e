/* Boot times: how long machines take from their creation to their first heartbeat, by type.

   The observed boot times separate a machine that is only slow from one that will never join. The
   limit is estimated like TCP's retransmission time-out (RFC 6298), from a smoothed mean and
   deviation. The age of a machine that exceeds the limit is a sample too: if all boots are slow,
   the estimate rises, and not every machine that is still booting is replaced. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_boot_time_note_join:
 * @cluster: the cluster
 * @machine: a machine that has just reported for the first time
 *
 * Adds the duration of its boot to the statistics of its type, if this leader created it.
 */
void
mh_boot_time_note_join (MhCluster *cluster, const MhMachine *machine);

/**
 * mh_boot_time_check_machine:
 * @cluster: the cluster
 * @machine: a machine that has not joined
 *
 * Marks the machine as late when it has exceeded the expected boot time: it no longer counts as
 * coming, so that another one can be created in its place. Releases it if it has still not
 * joined at twice that age, once a running worker has had time to report to this leader.
 */
void
mh_boot_time_check_machine (MhCluster *cluster, MhMachine *machine);
