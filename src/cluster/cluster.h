/* The cluster layer: machines, the heartbeats of their workers, and which task may be running
   where.

   Silence is no proof that a task has ended: an attempt occupies its machine until its worker shows
   that it is gone, or the release of the machine is confirmed. */
#pragma once

#include "cluster/cluster-types.h"

/**
 * mh_cluster_new:
 * @settings: (transfer none): must outlive the cluster
 * @callbacks: (transfer none): must outlive the cluster
 * @now_us: monotonic time, in microseconds
 *
 * Returns: (transfer full): a cluster without machines; free with mh_cluster_free()
 */
MhCluster *
mh_cluster_new (const MhSettings *settings, const MhClusterCallbacks *callbacks, gint64 now_us);

/**
 * mh_cluster_free:
 * @cluster: (nullable) (transfer full): a cluster that mh_cluster_clear() has emptied
 */
void
mh_cluster_free (MhCluster *cluster);

/**
 * mh_cluster_clear:
 * @core: the controller
 *
 * Forgets machines, attempts and zones, as a leadership ends. Machine types and what boots have
 * taken stay known.
 */
void
mh_cluster_clear (MhCore *core);

/**
 * mh_cluster_records_loaded:
 * @core: the controller, which has just read all records
 *
 * Goes on with what an earlier leader left: cancelled jobs are stopped, and those whose tasks are
 * all done are finished.
 */
void
mh_cluster_records_loaded (MhCore *core);

/**
 * mh_cluster_step:
 * @core: the controller
 *
 * Sends the commands that are due, and, five times a second, checks all machines: silence, notices
 * of the cloud, fencing, commands that could not leave at once.
 */
void
mh_cluster_step (MhCore *core);

/**
 * mh_cluster_machines:
 * @core: the controller
 *
 * Returns: (transfer none): the machines that are known (char * to #MhMachine), in an order that
 * does not depend on addresses; not to be changed
 */
GHashTable *
mh_cluster_machines (const MhCore *core);

/**
 * mh_cluster_types:
 * @core: the controller
 *
 * Returns: (transfer none) (nullable) (element-type MhMachineType): the types that can be rented;
 * %NULL until the cloud has told them
 */
const GPtrArray *
mh_cluster_types (const MhCore *core);

/**
 * mh_cluster_set_types:
 * @core: the controller
 * @types: (transfer full) (element-type MhMachineType): what the cloud offers now
 *
 * Replaces the types, and looks up that of each machine again.
 */
void
mh_cluster_set_types (MhCore *core, GPtrArray *types);

/**
 * mh_cluster_team_use:
 * @core: the controller
 * @team: a team's name
 *
 * Returns: (transfer none) (nullable): what the attempts of the team's jobs occupy; %NULL: there
 * never were any
 */
const MhUse *
mh_cluster_team_use (const MhCore *core, const char *team);

/**
 * mh_cluster_service_replicas:
 * @core: the controller
 *
 * Returns: how many attempts of services there are on all machines
 */
guint
mh_cluster_service_replicas (const MhCore *core);

/**
 * mh_cluster_machine_released:
 * @core: the controller
 * @machine: (transfer full): a machine whose release the cloud has confirmed
 *
 * That is proof that its tasks are gone: its attempts are over. The machine is forgotten but for
 * its name, which late reports and lists may still carry.
 */
void
mh_cluster_machine_released (MhCore *core, MhMachine *machine);
