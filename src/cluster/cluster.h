/* The cluster layer: machines, the heartbeats of their workers, and which task may be running
   where.

   Silence is no proof that a task has ended: an attempt occupies its machine until its worker shows
   that it is gone, or the release of the machine is confirmed. */
#pragma once

#include "cluster/cluster-types.h"
#include "election/election.h"
#include "jobs/runtime-estimate.h"
#include "storage/load.h"

/**
 * MhClusterOptions:
 * @runtime: time, wake-ups, the log and answers to reports
 * @calls: calls to workers
 * @election: whether this controller may act as leader, and its epoch
 * @jobs: (element-type utf8 MhJob): the jobs in memory, by id
 * @record_loader: knows which jobs have records that are not understood
 * @record_writer: writes what becomes of attempts
 * @runtime_estimator: learns how long tasks run
 * @callbacks: what the layers above are told
 * @owner: passed to the callbacks
 *
 * What a cluster works with. Nothing is transferred, and all must outlive the cluster.
 */
typedef struct
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;
  GHashTable *jobs;
  MhRecordLoader *record_loader;
  MhRecordWriter *record_writer;
  MhRuntimeEstimator *runtime_estimator;
  const MhClusterCallbacks *callbacks;
  gpointer owner;
} MhClusterOptions;

/**
 * mh_cluster_new:
 * @options: what it works with
 *
 * Returns: (transfer full): a cluster without machines; free with mh_cluster_free()
 */
MhCluster *
mh_cluster_new (const MhClusterOptions *options);

/**
 * mh_cluster_free:
 * @cluster: (nullable) (transfer full): a cluster that mh_cluster_clear() has emptied
 */
void
mh_cluster_free (MhCluster *cluster);

/**
 * mh_cluster_clear:
 * @cluster: the cluster
 *
 * Forgets machines, attempts and zones, as a leadership ends. Machine types and what boots have
 * taken stay known.
 */
void
mh_cluster_clear (MhCluster *cluster);

/**
 * mh_cluster_records_loaded:
 * @cluster: the cluster, which has just read all records
 *
 * Goes on with what an earlier leader left: cancelled jobs are stopped, and those whose tasks are
 * all done are finished.
 */
void
mh_cluster_records_loaded (MhCluster *cluster);

/**
 * mh_cluster_step:
 * @cluster: the cluster
 *
 * Sends the commands that are due, and, five times a second, checks all machines: silence, notices
 * of the cloud, fencing, commands that could not leave at once.
 */
void
mh_cluster_step (MhCluster *cluster);

/**
 * mh_cluster_machines:
 * @cluster: the cluster
 *
 * Returns: (transfer none): the machines that are known (char * to #MhMachine), in an order that
 * does not depend on addresses; not to be changed
 */
GHashTable *
mh_cluster_machines (const MhCluster *cluster);

/**
 * mh_cluster_types:
 * @cluster: the cluster
 *
 * Returns: (transfer none) (nullable) (element-type MhMachineType): the types that can be rented;
 * %NULL until the cloud has told them
 */
const GPtrArray *
mh_cluster_types (const MhCluster *cluster);

/**
 * mh_cluster_set_types:
 * @cluster: the cluster
 * @types: (transfer full) (element-type MhMachineType): what the cloud offers now
 *
 * Replaces the types, and looks up that of each machine again.
 */
void
mh_cluster_set_types (MhCluster *cluster, GPtrArray *types);

/**
 * mh_cluster_team_use:
 * @cluster: the cluster
 * @team: a team's name
 *
 * Returns: (transfer none) (nullable): what the attempts of the team's jobs occupy; %NULL: there
 * never were any
 */
const MhTeamUse *
mh_cluster_team_use (const MhCluster *cluster, const char *team);

/**
 * mh_cluster_service_replicas:
 * @cluster: the cluster
 *
 * Returns: how many attempts of services there are on all machines
 */
guint
mh_cluster_service_replicas (const MhCluster *cluster);

/**
 * mh_cluster_machine_released:
 * @cluster: the cluster
 * @machine: (transfer full): a machine whose release the cloud has confirmed
 *
 * That is proof that its tasks are gone: its attempts are over. The machine is forgotten but for
 * its name, which late reports and lists may still carry.
 */
void
mh_cluster_machine_released (MhCluster *cluster, MhMachine *machine);
