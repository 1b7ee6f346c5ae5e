/* Failure detection: decides which machines are probed, which are released as failed, and when the
   leader itself is more likely to be partitioned.

   It never treats a task as ended, because silence is no proof. Only a message from the worker or
   the confirmed release of its machine proves that a task has ended. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_failure_init:
 * @cluster: the cluster
 *
 * Initializes the rate limit of probes.
 */
void
mh_failure_init (MhCluster *cluster);

/**
 * mh_failure_has_missed_heartbeats:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Returns: %TRUE if no heartbeat has arrived for two and a half heartbeat intervals, whether or not
 * the worker answers probes. A single heartbeat is overdue earlier, see #MhSilenceThresholds
 */
bool
mh_failure_has_missed_heartbeats (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_failure_is_unreachable:
 * @machine: a machine
 *
 * Returns: %TRUE if several consecutive probes of its worker have failed
 */
bool
mh_failure_is_unreachable (const MhMachine *machine);

/**
 * mh_failure_update_thresholds:
 * @cluster: the cluster
 *
 * Counts silent machines, updates which zones are partitioned, and sets how long a machine may be
 * silent. To be called before the machines are checked one by one.
 */
void
mh_failure_update_thresholds (MhCluster *cluster);

/**
 * mh_failure_check_machine:
 * @cluster: the cluster
 * @machine: a machine that is not being released
 *
 * Probes the machine if it has been silent for too long, and releases it if it has failed or never
 * joined.
 */
void
mh_failure_check_machine (MhCluster *cluster, MhMachine *machine);

/**
 * mh_failure_transfer_if_partitioned:
 * @cluster: the cluster
 *
 * Transfers leadership if there are several machines and none of their heartbeats arrives, although
 * the key-value store is reachable. This controller is then partitioned from the workers, and
 * another one may not be.
 */
void
mh_failure_transfer_if_partitioned (MhCluster *cluster);
