/* The objects that a controller is composed of, for the files of this folder and for tests. */
#pragma once

#include "controller/core.h"

#include "autoscaler/autoscaler.h"
#include "cluster/cluster.h"
#include "cluster/recovery.h"
#include "election/election.h"
#include "jobs/final-answers.h"
#include "jobs/job-queue.h"
#include "jobs/runtime-estimate.h"
#include "placement/gang-attempt.h"
#include "placement/placement.h"
#include "runtime/call-queue.h"
#include "storage/load.h"
#include "storage/lookup.h"
#include "storage/record-writer.h"

/** MhCore: the objects that a controller is composed of. */
struct MhCore
{
  const MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;

  GHashTable *jobs; /* id -> MhJob: all that are not over */
  MhFinalAnswers *final_answers;
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
      *forwarded_requests; /* request id -> job id: passed on to the leader, not answered yet */
};

/* ---- callbacks of the layers below ---- */

/**
 * mh_core_election_callbacks:
 *
 * Returns: (transfer none): what the controller does as leadership comes and goes
 */
const MhElectionCallbacks *
mh_core_election_callbacks (void);

/**
 * mh_core_cluster_callbacks:
 *
 * Returns: (transfer none): what follows above the cluster from what happens in it
 */
const MhClusterCallbacks *
mh_core_cluster_callbacks (void);

/**
 * mh_core_storage_init:
 * @core: a controller with runtime, calls, election and jobs
 *
 * Makes the objects of src/storage, and registers what follows from records that were written or
 * read.
 */
void
mh_core_storage_init (MhCore *core);

/**
 * mh_core_storage_free:
 * @core: a controller
 *
 * Frees the objects of src/storage.
 */
void
mh_core_storage_free (MhCore *core);

/**
 * mh_core_update_recovery:
 * @core: a controller that leads
 *
 * Notes whether the machines have reported to a new leader, so that it may also preempt and scale.
 */
void
mh_core_update_recovery (MhCore *core);

/* ---- users' requests ---- */

/**
 * mh_core_handle_user_request:
 * @core: a controller
 * @request: what is asked; its spec is taken over
 *
 * Answers the request, or sees to it that it will be.
 */
void
mh_core_handle_user_request (MhCore *core, const MhUserRequest *request);

/**
 * mh_core_handle_forward_reply:
 * @core: a controller
 * @id: of the request that was passed on
 * @answer: (nullable): the leader's answer
 *
 * Answers the user by what the leader said, or with 503 when it said nothing.
 */
void
mh_core_handle_forward_reply (MhCore *core, guint64 id, const MhUserResponse *answer);
