/* The limits of the key-value store, and what its failures say about them. */
#include "runtime/call-queue-private.h"

/* Pause of calls to the key-value store after one has failed, and the random addition to it. */
#define STORE_FAILURE_PAUSE_US (MH_SECOND_US / 10)
#define STORE_FAILURE_PAUSE_JITTER_US 150000

double
mh_call_queue_store_rate (const MhCallQueue *queue)
{
  return queue->store_bucket.rate;
}

double
mh_call_queue_write_burst (const MhCallQueue *queue)
{
  return queue->write_bucket.burst;
}

bool
mh_call_queue_may_write (MhCallQueue *queue, double changes, double *tokens)
{
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  bool allowed = now_us >= queue->store_paused_until_us
                 && mh_token_bucket_has (&queue->write_bucket, changes, now_us);
  *tokens = queue->write_bucket.tokens;
  return allowed;
}

gint64
mh_call_queue_store_paused_until_us (const MhCallQueue *queue)
{
  return queue->store_paused_until_us;
}

void
mh_call_queue_pause_store (MhCallQueue *queue, gint64 min_delay_us, gint64 jitter_us)
{
  queue->store_paused_until_us = mh_runtime_jittered_us (queue->runtime, min_delay_us, jitter_us);
}

void
mh_call_queue_pause_cloud (MhCallQueue *queue, gint64 min_delay_us, gint64 jitter_us)
{
  queue->cloud_paused_until_us = mh_runtime_jittered_us (queue->runtime, min_delay_us, jitter_us);
}

static const char *
failure_reason (guint status)
{
  switch (status)
    {
    case 0:
      return "no_answer";
    case 503:
      return "unavailable_or_refuses_this_controller";
    case 429:
      return "too_many_requests";
    default:
      return "unexpected_answer";
    }
}

void
mh_call_queue_log_store_failure (MhCallQueue *queue, guint status)
{
  mh_log_info_limited (queue->runtime, MH_LOG_STORE,
                       "key-value store call failed status=%u reason=%s", status,
                       failure_reason (status));
}

void
mh_call_queue_handle_store_failure (MhCallQueue *queue, guint status)
{
  g_return_if_fail (queue);
  mh_call_queue_log_store_failure (queue, status);
  if (status == 429)
    mh_call_queue_lower_write_rate (queue);
  mh_call_queue_pause_store (queue, STORE_FAILURE_PAUSE_US, STORE_FAILURE_PAUSE_JITTER_US);
}

void
mh_call_queue_lower_write_rate (MhCallQueue *queue)
{
  double next_rate = mh_runtime_settings (queue->runtime)->next_write_rps;
  if (next_rate <= 0 || queue->write_rate_lowered)
    return;
  queue->write_rate_lowered = true;
  if (queue->write_bucket.rate <= next_rate * MH_WRITE_RATE_SHARE)
    return;
  mh_log_info (queue->runtime,
               "lowering rate of changes to key-value store changes_per_second=%.1f", next_rate);
  mh_token_bucket_init (&queue->write_bucket, next_rate * MH_WRITE_RATE_SHARE,
                        next_rate * MH_WRITE_BURST_S, mh_runtime_now_us (queue->runtime));
  mh_token_bucket_take (&queue->write_bucket, queue->write_bucket.burst);
}

bool
mh_call_queue_write_rate_is_lowered (const MhCallQueue *queue)
{
  return queue->write_rate_lowered;
}
