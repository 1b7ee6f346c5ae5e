/* The lower layers that the autoscaler uses. */
#pragma once

#include "cluster/cluster.h"
#include "cluster/recovery.h"
#include "election/election.h"
#include "jobs/job-queue.h"
#include "runtime/call-queue.h"
#include "storage/record-writer.h"

/**
 * MhAutoscalerContext:
 * @cluster: the machines and the attempts that run on them
 * @settings: settings of this controller
 * @runtime: clock, wake-ups and log
 * @calls: calls to the cloud and to the key-value store
 * @election: whether this controller is the leader, and under which epoch
 * @recovery: whether the machines have reported to this leader yet
 * @record_writer: deletes obsolete records
 * @jobs: (element-type utf8 MhJob): all jobs by id
 * @job_queue: the jobs that have pending tasks
 * @runtime_estimator: how long tasks are expected to run
 *
 * The lower layers that the autoscaler uses. They must outlive the autoscaler. The autoscaler keeps
 * a copy of this struct, and its parts point to that copy.
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

/** How long a call to the cloud waits for its response. */
#define MH_CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
