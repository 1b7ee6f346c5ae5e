/* Commands that are sent straight to a worker, without waiting for its next report. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_direct_command_init:
 * @cluster: the cluster
 */
void
mh_direct_command_init (MhCluster *cluster);

/**
 * mh_direct_command_can_send:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Only one direct command is under way to a machine at a time, and none to one that may not be
 * there, or that a start was lost to: its next report carries what it is to be told.
 *
 * Returns: %TRUE if a command would leave for the machine now
 */
bool
mh_direct_command_can_send (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_direct_command_send_unsent:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Sends what has not been said yet, if a command can leave now, and if it is urgent or few others
 * are.
 */
void
mh_direct_command_send_unsent (MhCluster *cluster, MhMachine *machine);

/**
 * mh_direct_command_send_token:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Sends the token, even without commands: the worker learns of this leader, and so does a former
 * one that it still reports to.
 */
void
mh_direct_command_send_token (MhCluster *cluster, MhMachine *machine);
