/* What the parts of the autoscaler share: the layers below that they use. */
#pragma once

#include "controller/core-private.h"

/**
 * MhAutoscalerContext:
 * @core: for the functions of layers that still take it: jobs, machines, records
 * @runtime: time, wake-ups and the log
 * @calls: calls to the cloud and to the key-value store
 * @settings: of this controller
 * @election: whether, and under which epoch, this controller leads
 * @recovery: whether the machines have reported to this leader
 * @runtime_estimator: how long tasks are expected to run
 *
 * What lies below the autoscaler. The autoscaler owns the context; its parts borrow it, and it
 * outlives them.
 */
struct MhAutoscalerContext
{
  MhCore *core;
  MhRuntime *runtime;
  MhCallQueue *calls;
  const MhSettings *settings;
  MhElection *election;
  const MhRecovery *recovery;
  const MhRuntimeEstimator *runtime_estimator;
};

/* For how long a call to the cloud waits for its reply. */
#define MH_CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
