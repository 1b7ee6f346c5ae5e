/* What the parts of the autoscaler share: the layers below that they use. */
#pragma once

#include "controller/core-private.h"

/**
 * MhAutoscalerContext:
 * @core: jobs, machines, records, leadership
 * @runtime: time, wake-ups and the log
 * @calls: calls to the cloud and to the key-value store
 * @settings: of this controller
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
};

/* For how long a call to the cloud waits for its reply. */
#define MH_CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
