/* What the autoscaler uses of the layers below. */
#pragma once

#include "cluster/cluster.h"
#include "cluster/recovery.h"
#include "election/election.h"
#include "jobs/job-queue.h"
#include "runtime/call-queue.h"

/**
 * MhAutoscalerContext:
 * @core: for the functions of storage, which still take it
 * @cluster: machines, and what runs on them
 * @settings: of this controller
 * @runtime: time, wake-ups and the log
 * @calls: calls to the cloud and to the key-value store
 * @election: whether, and under which epoch, this controller leads
 * @recovery: whether the machines have reported to this leader
 * @jobs: (element-type utf8 MhJob): all jobs by id
 * @job_queue: which jobs have tasks to start
 * @runtime_estimator: how long tasks are expected to run
 *
 * What lies below the autoscaler; all of it must outlive it. The autoscaler has a copy, which its
 * parts borrow.
 */
typedef struct
{
  MhCore *core;
  MhCluster *cluster;
  const MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;
  const MhRecovery *recovery;
  GHashTable *jobs;
  MhJobQueue *job_queue;
  const MhRuntimeEstimator *runtime_estimator;
} MhAutoscalerContext;

/* For how long a call to the cloud waits for its reply. */
#define MH_CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
