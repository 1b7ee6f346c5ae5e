/* What the autoscaler uses of the layers below. */
#pragma once

#include "cluster/cluster.h"
#include "cluster/recovery.h"
#include "election/election.h"
#include "jobs/job-queue.h"
#include "runtime/call-queue.h"
#include "storage/record-writer.h"

/**
 * MhAutoscalerContext:
 * @cluster: machines, and what runs on them
 * @settings: of this controller
 * @runtime: time, wake-ups and the log
 * @calls: calls to the cloud and to the key-value store
 * @election: whether, and under which epoch, this controller leads
 * @recovery: whether the machines have reported to this leader
 * @record_writer: drops records that are of no use any more
 * @jobs: (element-type utf8 MhJob): all jobs by id
 * @job_queue: which jobs have tasks to start
 * @runtime_estimator: how long tasks are expected to run
 *
 * What lies below the autoscaler; all of it must outlive it. The autoscaler has a copy, which its
 * parts borrow.
 */
typedef struct
{
  MhCluster *cluster;
  const MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;
  const MhRecovery *recovery;
  MhRecordWriter *record_writer;
  GHashTable *jobs;
  MhJobQueue *job_queue;
  const MhRuntimeEstimator *runtime_estimator;
} MhAutoscalerContext;

/** For how long a call to the cloud waits for its reply. */
#define MH_CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
