/* The cluster layer: machines, the heartbeats of their workers, and which tasks may be running
   on which machine.

   Silence is no proof that a task has ended: an attempt occupies its machine until its worker shows
   that the attempt is gone, or the release of the machine is confirmed. */
#pragma once

#include "cluster/cluster-types.h"
#include "election/election.h"
#include "jobs/runtime-estimate.h"
#include "storage/load.h"

/**
 * MhClusterOptions:
 * @runtime: time, wake-ups, the log and responses to heartbeats
 * @calls: calls to workers
 * @election: whether this controller may act as leader, and its epoch
 * @jobs: (element-type utf8 MhJob): the jobs in memory, by id
 * @record_loader: knows which jobs have records that this version cannot read
 * @record_writer: writes the records of attempts
 * @runtime_estimator: learns how long tasks run
 * @callbacks: the callbacks of the layers above
 * @owner: passed to the callbacks
 *
 * The dependencies of a cluster. No ownership is transferred, and all must outlive the cluster.
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
 * @options: its dependencies
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
 * Removes all machines, attempts and zones at the end of a leadership. Machine types and boot-time
 * statistics are kept.
 */
void
mh_cluster_clear (MhCluster *cluster);

/**
 * mh_cluster_resume_loaded_jobs:
 * @cluster: the cluster, after all records have been loaded
 *
 * Resumes the jobs of earlier leaders: announces gangs to the layers above, stops cancelled jobs,
 * and finishes jobs whose tasks are all done.
 */
void
mh_cluster_resume_loaded_jobs (MhCluster *cluster);

/**
 * mh_cluster_step:
 * @cluster: the cluster
 *
 * Sends the commands that are due. Five times a second it also checks all machines for silence,
 * preemption notices, fencing and unsent commands.
 */
void
mh_cluster_step (MhCluster *cluster);

/**
 * mh_cluster_machines:
 * @cluster: the cluster
 *
 * Returns: (transfer none): the known machines (char * to #MhMachine), in an order that does not
 * depend on addresses; must not be modified
 */
GHashTable *
mh_cluster_machines (const MhCluster *cluster);

/**
 * mh_cluster_types:
 * @cluster: the cluster
 *
 * Returns: (transfer none) (nullable) (element-type MhMachineType): the machine types that the
 * cloud offers; %NULL until they have been read
 */
const GPtrArray *
mh_cluster_types (const MhCluster *cluster);

/**
 * mh_cluster_set_types:
 * @cluster: the cluster
 * @types: (transfer full) (element-type MhMachineType): the types that the cloud offers now
 *
 * Replaces the machine types, and resolves the type of each machine again.
 */
void
mh_cluster_set_types (MhCluster *cluster, GPtrArray *types);

/**
 * mh_cluster_team_use:
 * @cluster: the cluster
 * @team: a team's name
 *
 * Returns: (transfer none) (nullable): the resources that the attempts of the team's jobs occupy;
 * %NULL: the team has had no attempt in this leadership
 */
const MhTeamUse *
mh_cluster_team_use (const MhCluster *cluster, const char *team);

/**
 * mh_cluster_service_replicas:
 * @cluster: the cluster
 *
 * Returns: the number of live attempts of services on all machines
 */
guint
mh_cluster_service_replicas (const MhCluster *cluster);

/**
 * mh_cluster_remove_released_machine:
 * @cluster: the cluster
 * @machine: (transfer full): a machine whose release the cloud has confirmed
 *
 * Ends the machine's attempts, since the confirmed release proves that its tasks are gone, and
 * removes the machine. Its name is remembered, since delayed heartbeats and machine lists may still
 * contain it.
 */
void
mh_cluster_remove_released_machine (MhCluster *cluster, MhMachine *machine);
