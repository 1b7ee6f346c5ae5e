#include "runtime/call-queue-private.h"

#include "runtime/queued-call.h"

/* Requests to the key-value store: the share of its rate limit that this controller uses, and the
   burst of its token bucket, in seconds at the full limit. The other controllers also read and
   watch. */
#define STORE_RATE_SHARE 0.75
#define STORE_BURST_S 0.4
/* Likewise for requests to the cloud. */
#define CLOUD_RATE_SHARE 0.9
#define CLOUD_BURST_S 1.5
/* Time until calls that wait for tokens are tried again. */
#define STORE_TOKEN_RETRY_US 20000
#define CLOUD_TOKEN_RETRY_US 100000
/* Shortest time between two searches for calls whose deadline has passed. */
#define EXPIRY_INTERVAL_US 20000
/* Bound on the calls to workers that are in flight: one part in WORKER_CALLS_DIVISOR of all
   connections, but at least MIN_WORKER_CALLS. */
#define WORKER_CALLS_DIVISOR 12u
#define MIN_WORKER_CALLS 16u

MhCallQueue *
mh_call_queue_new (MhRuntime *runtime)
{
  g_return_val_if_fail (runtime, NULL);
  const MhSettings *settings = mh_runtime_settings (runtime);
  gint64 now_us = mh_runtime_now_us (runtime);
  MhCallQueue *queue = g_new0 (MhCallQueue, 1);
  queue->runtime = runtime;
  queue->next_expiry_us = G_MAXINT64;
  queue->pending = mh_pending_calls_new ();
  mh_token_bucket_init (&queue->store_bucket, settings->store_rps * STORE_RATE_SHARE,
                        settings->store_rps * STORE_BURST_S, now_us);
  mh_token_bucket_init (&queue->write_bucket, settings->store_write_rps * MH_WRITE_RATE_SHARE,
                        settings->store_write_rps * MH_WRITE_BURST_S, now_us);
  mh_token_bucket_init (&queue->cloud_bucket, settings->cloud_rps * CLOUD_RATE_SHARE,
                        settings->cloud_rps * CLOUD_BURST_S, now_us);
  return queue;
}

void
mh_call_queue_free (MhCallQueue *queue)
{
  if (queue == NULL)
    return;
  mh_call_queue_forget_all (queue);
  mh_pending_calls_free (queue->pending);
  g_free (queue);
}

static MhCallPool
get_pool (MhTarget target, MhCallClass class)
{
  switch (target)
    {
    case MH_TARGET_KEY_VALUE_STORE:
      return class == MH_CALL_LEASE        ? MH_CALL_POOL_LEASE
             : class == MH_CALL_BACKGROUND ? MH_CALL_POOL_USER_READS
                                           : MH_CALL_POOL_STORE;
    case MH_TARGET_CLOUD:
      return MH_CALL_POOL_CLOUD;
    default:
      return MH_CALL_POOL_WORKERS;
    }
}

static GQueue *
queue_for (MhCallQueue *queue, MhTarget target, MhCallClass class)
{
  switch (target)
    {
    case MH_TARGET_KEY_VALUE_STORE:
      return &queue->store_queue[class];
    case MH_TARGET_CLOUD:
      return &queue->cloud_queue[class];
    default:
      return &queue->worker_queue;
    }
}

void
mh_call_queue_add (MhCallQueue *queue, MhRequest *request, const MhCallOptions *options)
{
  g_return_if_fail (queue && request && options && options->func);
  guint64 id = mh_runtime_next_id (queue->runtime);
  const MhPendingCall pending = { .pool = get_pool (request->target, options->class),
                                  .func = options->func,
                                  .owner = options->owner,
                                  .data = options->data,
                                  .free_data = options->free_data };
  mh_pending_calls_add (queue->pending, id, &pending);
  GQueue *waiting = queue_for (queue, request->target, options->class);
  MhQueuedCall *queued = mh_queued_call_new (id, request, mh_runtime_now_us (queue->runtime));
  queued->timeout_us = options->timeout_us;
  queued->deadline_us = options->deadline_us;
  queued->changes = options->changes;
  if (options->class == MH_CALL_BACKGROUND)
    g_queue_push_head (waiting, queued);
  else
    g_queue_push_tail (waiting, queued);
  if (options->deadline_us)
    queue->next_expiry_us = MIN (queue->next_expiry_us, options->deadline_us);
}

void
mh_call_queue_complete (MhCallQueue *queue, guint64 id, const MhCallResponse *response)
{
  g_return_if_fail (queue && response);
  mh_pending_calls_complete (queue->pending, id, response);
}

void
mh_call_queue_forget_all (MhCallQueue *queue)
{
  for (guint i = 0; i < MH_CALL_CLASSES; i++)
    {
      g_queue_clear_full (&queue->store_queue[i], mh_queued_call_free);
      g_queue_clear_full (&queue->cloud_queue[i], mh_queued_call_free);
    }
  g_queue_clear_full (&queue->worker_queue, mh_queued_call_free);
  mh_pending_calls_forget_all (queue->pending);
}

MhBacklog
mh_call_queue_get_backlog (const MhCallQueue *queue, MhTarget target, MhCallClass class)
{
  g_return_val_if_fail (queue && (guint) class < MH_CALL_CLASSES, (MhBacklog){ 0 });
  GQueue *waiting = queue_for ((MhCallQueue *)queue, target, class);
  const MhQueuedCall *oldest
      = class == MH_CALL_BACKGROUND ? g_queue_peek_tail (waiting) : g_queue_peek_head (waiting);
  return (MhBacklog){ .waiting = waiting->length,
                      .oldest_age_us
                      = oldest ? mh_runtime_now_us (queue->runtime) - oldest->queued_us : 0 };
}

MhBacklog
mh_call_queue_get_in_flight (const MhCallQueue *queue, MhCallPool pool)
{
  g_return_val_if_fail (queue, (MhBacklog){ 0 });
  return mh_pending_calls_get_in_flight (queue->pending, pool, mh_runtime_now_us (queue->runtime));
}

/* ---- sending ---- */

/* Commands to workers and calls that change something in the cloud carry the end of the leader
   lease. Writes to the key-value store carry the conditions of their transaction instead. */
static void
send_call (MhCallQueue *queue, MhQueuedCall *queued)
{
  MhAction *action = mh_runtime_add_action (queue->runtime, MH_ACTION_SEND_REQUEST, queued->id);
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  mh_pending_calls_note_sent (queue->pending, queued->id, now_us);
  action->request = g_steal_pointer (&queued->request);
  action->timeout_us = queued->timeout_us;
  if (queued->deadline_us)
    action->timeout_us = MIN (action->timeout_us, queued->deadline_us - now_us);
  if (action->request->target != MH_TARGET_KEY_VALUE_STORE && action->request->body)
    action->lease_until_us = mh_runtime_lease_until_us (queue->runtime);
  mh_queued_call_free (queued);
}

static bool
store_has_token (MhCallQueue *queue)
{
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  return now_us >= queue->store_paused_until_us
         && mh_token_bucket_has (&queue->store_bucket, 1, now_us);
}

static bool
has_connection (const MhCallQueue *queue, MhCallPool pool)
{
  static const guint limits[MH_CALL_POOLS] = {
    [MH_CALL_POOL_LEASE] = G_MAXUINT,
    [MH_CALL_POOL_STORE] = MH_STORE_CALL_CONNECTIONS,
    [MH_CALL_POOL_USER_READS] = MH_USER_READ_CONNECTIONS,
    [MH_CALL_POOL_CLOUD] = MH_CLOUD_CONNECTIONS,
    [MH_CALL_POOL_WORKERS] = G_MAXUINT,
  };
  return mh_pending_calls_count_in_flight (queue->pending, pool) < limits[pool];
}

/* Sends the calls of a class in their order. A write that waits for tokens blocks later writes, but
   no reads: otherwise users' requests about ended jobs would not be answered as long as there is
   much to write. Returns false if no further call may be sent to the store now. */
static bool
flush_store_class (MhCallQueue *queue, MhCallClass class, bool *writes_blocked)
{
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  MhCallPool pool = get_pool (MH_TARGET_KEY_VALUE_STORE, class);
  for (GList *link = queue->store_queue[class].head, *next; link && has_connection (queue, pool);
       link = next)
    {
      MhQueuedCall *queued = link->data;
      next = link->next;
      bool limited = class != MH_CALL_LEASE;
      if (queued->deadline_us && queued->deadline_us <= now_us)
        continue; /* end_expired() ends it */
      if (limited && !store_has_token (queue))
        {
          mh_runtime_wake_at (queue->runtime,
                              MAX (now_us + STORE_TOKEN_RETRY_US, queue->store_paused_until_us));
          return false;
        }
      if (limited && queued->changes > 0)
        *writes_blocked |= !mh_token_bucket_has (&queue->write_bucket, queued->changes, now_us);
      if (limited && queued->changes > 0 && *writes_blocked)
        {
          mh_runtime_wake_at (queue->runtime, now_us + STORE_TOKEN_RETRY_US);
          continue;
        }
      mh_token_bucket_take (&queue->store_bucket, 1);
      mh_token_bucket_take (&queue->write_bucket, queued->changes);
      g_queue_delete_link (&queue->store_queue[class], link);
      send_call (queue, queued);
    }
  return true;
}

/* Calls that keep or win the leader lease wait for no tokens: they are few, and without the lease
   all other calls are useless. They still take tokens. */
static void
flush_store (MhCallQueue *queue)
{
  bool writes_blocked = false;
  for (guint class = 0; class < MH_CALL_CLASSES; class ++)
    if (!flush_store_class (queue, (MhCallClass) class, &writes_blocked))
      return;
}

static void
flush_cloud (MhCallQueue *queue)
{
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  if (!mh_runtime_is_leader (queue->runtime))
    return;
  for (guint class = 0; class < MH_CALL_CLASSES; class ++)
    while (queue->cloud_queue[class].length && has_connection (queue, MH_CALL_POOL_CLOUD))
      {
        if (now_us < queue->cloud_paused_until_us
            || !mh_token_bucket_has (&queue->cloud_bucket, 1, now_us))
          {
            mh_runtime_wake_at (queue->runtime,
                                MAX (now_us + CLOUD_TOKEN_RETRY_US, queue->cloud_paused_until_us));
            return;
          }
        mh_token_bucket_take (&queue->cloud_bucket, 1);
        send_call (queue, g_queue_pop_head (&queue->cloud_queue[class]));
      }
}

/* A call to a machine that is cut off holds its connection until the call times out. The bound on
   calls in flight keeps connections free for the renewal of the lease and for incoming requests.
   The lease is checked here, when a call leaves the queue, and not when it is queued: commands that
   waited in a queue outside the state machine were sent after the lease had ended. */
static void
flush_workers (MhCallQueue *queue)
{
  guint connections = mh_runtime_settings (queue->runtime)->max_connections;
  guint max_calls = MAX (MIN_WORKER_CALLS, connections / WORKER_CALLS_DIVISOR);
  while (queue->worker_queue.length
         && mh_pending_calls_count_in_flight (queue->pending, MH_CALL_POOL_WORKERS) < max_calls
         && mh_runtime_is_leader (queue->runtime))
    send_call (queue, g_queue_pop_head (&queue->worker_queue));
}

/* The modules that made the calls may add others meanwhile. */
static void
end_expired (MhCallQueue *queue)
{
  gint64 now_us = mh_runtime_now_us (queue->runtime);
  if (now_us < queue->next_expiry_us)
    return;
  queue->next_expiry_us = G_MAXINT64;
  g_autoptr (GArray) expired = g_array_new (FALSE, FALSE, sizeof (guint64));
  for (guint class = 0; class < MH_CALL_CLASSES; class ++)
    {
      gint64 next_us = mh_queued_calls_remove_expired (&queue->store_queue[class], now_us, expired);
      queue->next_expiry_us = MIN (queue->next_expiry_us, next_us);
    }
  const MhCallResponse response = { .status = 0 };
  for (guint i = 0; i < expired->len; i++)
    {
      mh_runtime_count (queue->runtime, MH_COUNTER_CALL_EXPIRED);
      mh_call_queue_complete (queue, g_array_index (expired, guint64, i), &response);
    }
  queue->next_expiry_us = MAX (queue->next_expiry_us, now_us + EXPIRY_INTERVAL_US);
}

void
mh_call_queue_flush (MhCallQueue *queue)
{
  g_return_if_fail (queue);
  end_expired (queue);
  flush_store (queue);
  flush_cloud (queue);
  flush_workers (queue);
  if (queue->next_expiry_us != G_MAXINT64)
    mh_runtime_wake_at (queue->runtime, queue->next_expiry_us);
}
