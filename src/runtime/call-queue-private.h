/* The state of the call queue, shared by its two source files: call-queue.c sends the calls, and
   call-queue-limits.c knows the limits of the key-value store. */
#pragma once

#include "base/token-bucket.h"
#include "runtime/call-queue.h"

/** MH_WRITE_RATE_SHARE: the share of the store's rate limit for changes of keys that this
 * controller uses; the other controllers write a little too */
#define MH_WRITE_RATE_SHARE 0.9
/** MH_WRITE_BURST_S: the burst of the token bucket for changes, in seconds at the full limit */
#define MH_WRITE_BURST_S 0.8

/**
 * MhCallQueue:
 *
 * The members are for the two source files alone.
 */
struct MhCallQueue
{
  MhRuntime *runtime;
  MhPendingCalls *pending;
  GQueue store_queue[MH_CALL_CLASSES], cloud_queue[MH_CALL_CLASSES]; /* MhQueuedCall */
  GQueue worker_queue;                                               /* MhQueuedCall */
  MhTokenBucket store_bucket, write_bucket, cloud_bucket;
  gint64 store_paused_until_us, cloud_paused_until_us;
  bool write_rate_lowered;
  gint64 next_expiry_us; /* when to look for calls whose deadline has passed */
};
