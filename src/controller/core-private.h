/* The components of a controller, for the files of this folder and for tests. */
#pragma once

#include "controller/core.h"

#include "autoscaler/autoscaler.h"
#include "cluster/cluster.h"
#include "cluster/recovery.h"
#include "election/election.h"
#include "jobs/final-state-cache.h"
#include "jobs/job-queue.h"
#include "jobs/runtime-estimate.h"
#include "placement/gang-attempt.h"
#include "placement/placement.h"
#include "runtime/call-queue.h"
#include "storage/load.h"
#include "storage/lookup.h"
#include "storage/record-writer.h"

/** MhCore: the components of a controller */
struct MhCore
{
  const MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;

  GHashTable *jobs; /* id -> MhJob: all jobs that have not ended */
  MhFinalStateCache *final_states;
  MhRuntimeEstimator *runtime_estimator;
  MhJobQueue *job_queue;

  MhRecordWriter *record_writer;
  MhRecordLoader *record_loader;
  MhJobLookup *job_lookup;

  MhCluster *cluster;
  MhRecovery *recovery;
  MhGangAttempts *gang_attempts;
  MhPlacement *placement;
  MhAutoscaler *autoscaler;

  GHashTable
      *forwarded_requests; /* request id -> job id: forwarded to the leader, response pending */
  gint64 status_due_us;    /* when the next status line is logged */
};

/* ---- callbacks for the layers below ---- */

/**
 * mh_core_election_callbacks:
 *
 * Returns: (transfer none): the handlers of changes of leadership
 */
const MhElectionCallbacks *
mh_core_election_callbacks (void);

/**
 * mh_core_cluster_callbacks:
 *
 * Returns: (transfer none): the handlers through which src/cluster calls the layers above it
 */
const MhClusterCallbacks *
mh_core_cluster_callbacks (void);

/**
 * mh_core_storage_init:
 * @core: a controller whose runtime, calls, election and jobs exist already
 *
 * Creates the components of src/storage and registers the handlers of their events.
 */
void
mh_core_storage_init (MhCore *core);

/**
 * mh_core_storage_free:
 * @core: a controller
 *
 * Frees the components of src/storage.
 */
void
mh_core_storage_free (MhCore *core);

/**
 * mh_core_update_recovery:
 * @core: a controller that is the leader and has loaded the records
 *
 * Completes the recovery of a new leader if all machines have reported to it or the time for that
 * is over. Before that the leader does not preempt tasks, create machines or consolidate.
 */
void
mh_core_update_recovery (MhCore *core);

/**
 * mh_core_log_status_if_due:
 * @core: a controller
 *
 * Logs the periodic status line; see controller/status.h.
 */
void
mh_core_log_status_if_due (MhCore *core);

/* ---- users' requests ---- */

/**
 * mh_core_handle_user_request:
 * @core: a controller
 * @request: the request; its spec is consumed
 *
 * Answers the request now, or starts what leads to its response: a write, a read or forwarding.
 */
void
mh_core_handle_user_request (MhCore *core, const MhUserRequest *request);

/**
 * mh_core_handle_forward_response:
 * @core: a controller
 * @id: id of the request that was forwarded
 * @response: (nullable): the leader's response; %NULL: none was received
 *
 * Passes the leader's response to the user, or answers 503 if there is none.
 */
void
mh_core_handle_forward_response (MhCore *core, guint64 id, const MhUserResponse *response);
