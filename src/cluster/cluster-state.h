/* The private state of the cluster layer. */
#pragma once

#include "base/token-bucket.h"
#include "cluster/cluster-types.h"
#include "election/election.h"
#include "jobs/runtime-estimate.h"
#include "runtime/call-queue.h"
#include "storage/load.h"
#include "storage/record-writer.h"

/**
 * MhSilenceThresholds:
 * @leader_partitioned: most machines are silent, so that the leader itself may be partitioned;
 * failed probes are then ignored
 * @overdue_us: the next heartbeat is overdue after this; includes a margin for delays
 * @probe_us: a machine that has reported to this leader is probed after this
 * @replica_probe_us: like @probe_us, for machines with service replicas
 * @release_us: a machine that has reported is released after this, whatever its probes show
 * @unreported_release_us: a machine that has not reported to this leader is released after this,
 * counted from the election or from its discovery, whichever is later
 *
 * Durations for which a machine may be silent, in microseconds.
 */
typedef struct
{
  bool leader_partitioned;
  gint64 overdue_us, probe_us, replica_probe_us, release_us, unreported_release_us;
} MhSilenceThresholds;

/* Fields of MhCluster:
   runtime to runtime_estimator: see MhClusterOptions
   callbacks, owner: the callbacks of the layers above, and their first argument
   machines: name -> MhMachine, which owns its name
   released, released_order: names of released machines; the queue owns them, oldest first
   commands_due: MhMachine, not owned, whose unsent commands are sent in the next step
   types: MhMachineType; NULL until they have been read
   team_use: team -> MhTeamUse; the names are owned by the settings or interned
   service_replicas: number of live attempts of services, on all machines
   last_check_us: monotonic time at which all machines were last checked
   zones: MhZone, see zone-silence.h
   ineffective_transfers: leadership transfers for lack of heartbeats, since the last heartbeat;
   kept when a leadership ends
   silence: as of the last check of all machines
   probe_bucket, direct_bucket: rate limits of probes and of direct commands
   boot_statistics: name of a type -> BootStatistics, see boot-time.c */
/** MhCluster: the state of the cluster layer, private to the files of this folder. */
struct MhCluster
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;
  GHashTable *jobs;
  MhRecordLoader *record_loader;
  MhRecordWriter *record_writer;
  MhRuntimeEstimator *runtime_estimator;
  const MhSettings *settings;
  const MhClusterCallbacks *callbacks;
  gpointer owner;
  GHashTable *machines;
  GHashTable *released;
  GQueue released_order;
  GPtrArray *commands_due;
  GPtrArray *types;
  GHashTable *team_use;
  guint service_replicas;
  gint64 last_check_us;
  GArray *zones;
  guint ineffective_transfers;
  MhSilenceThresholds silence;
  MhTokenBucket probe_bucket, direct_bucket;
  GHashTable *boot_statistics;
};
