/* The state of the cluster layer, for its own files alone. */
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
 * @cut_off: this side may be the one that is cut off: probes in vain are not believed
 * @report_us: the longest that a worker takes to its next report, and some
 * @suspect_us: after so long a machine that has reported to this leader is probed
 * @replica_us: ... if it holds replicas of services
 * @silent_us: after so long it is given back, whatever the probes brought
 * @unheard_us: ... one that has not reported to this leader, since the election
 *
 * How long a machine may be silent, in microseconds.
 */
typedef struct
{
  bool cut_off;
  gint64 report_us, suspect_us, replica_us, silent_us, unheard_us;
} MhSilenceThresholds;

/* Fields of MhCluster:
   runtime to runtime_estimator: see MhClusterOptions
   callbacks, owner: the layers above, and what they are called with
   machines: name -> MhMachine, which owns its name
   released, released_order: names of machines that are gone; the queue owns them, the oldest first
   commands_due: MhMachine, not owned, that are looked at for commands in this step
   types: MhMachineType; NULL until known
   team_use: team -> MhTeamUse; the names are the settings' or interned
   service_replicas: attempts of services, on all machines
   checked_us: monotonic time at which all machines were last checked
   zones: of zone-silence.c
   fruitless_transfers: of leadership, because no worker was heard; none has reported since. They
   outlast a leadership
   silence: as of the last check of all machines
   probe_bucket, direct_bucket: rates of questions and of direct commands
   boot_statistics: name of a type -> statistics of boot-time.c */
/** MhCluster: the state of the cluster layer, for the files of this folder alone. */
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
  gint64 checked_us;
  GArray *zones;
  guint fruitless_transfers;
  MhSilenceThresholds silence;
  MhTokenBucket probe_bucket, direct_bucket;
  GHashTable *boot_statistics;
};
