/* Calls to the key-value store, the cloud and the workers, and the token buckets that they wait
   for.

   Replies come back as inputs; a call whose leadership has ended is forgotten, and its reply is
   ignored. Calls to the cloud and to workers leave only while this controller may act as leader,
   and carry the end of its lease. */
#pragma once

#include "runtime/runtime.h"

/** MhCallQueue: the calls of this controller, and the token buckets that they wait for */
typedef struct MhCallQueue MhCallQueue;

/**
 * MhCallClass:
 * @MH_CALL_LEASE: keeps or wins leadership; waits for no token
 * @MH_CALL_SAFETY: what the rules rest on: reloads, cancellations, releases
 * @MH_CALL_WORK: starts, results, scale-out
 * @MH_CALL_BACKGROUND: reads for users about jobs that are not in memory
 *
 * The order in which calls get the tokens of their bucket.
 */
typedef enum
{
  MH_CALL_LEASE,
  MH_CALL_SAFETY,
  MH_CALL_WORK,
  MH_CALL_BACKGROUND
} MhCallClass;
/** MH_CALL_CLASSES: number of classes */
#define MH_CALL_CLASSES 4

/**
 * MhReply:
 * @status: HTTP status; 0: no answer came, so that whether the request was carried out is unknown
 * @body: (nullable): valid during the call of the function
 *
 * The end of a call.
 */
typedef struct
{
  guint status;
  const MhValue *body;
} MhReply;

/**
 * MhReplyFunc:
 * @owner: the module that made the call
 * @data: (nullable): what the call is about
 * @reply: how it ended
 *
 * Takes a reply. It is not called for calls that were forgotten.
 */
typedef void (*MhReplyFunc) (gpointer owner, gpointer data, const MhReply *reply);

/**
 * MhCallOptions:
 * @class: the order in which it gets its tokens
 * @changes: keys that it changes in the key-value store; each takes a token of the write bucket
 * @timeout_us: how long to wait for a reply once it has left, in microseconds
 * @func: takes the reply
 * @owner: passed to @func
 * @data: (nullable): passed to @func
 * @free_data: (nullable): frees @data after the reply, or when the call is forgotten
 *
 * How a call is made.
 */
typedef struct
{
  MhCallClass class;
  double changes;
  gint64 timeout_us;
  MhReplyFunc func;
  gpointer owner;
  gpointer data;
  GDestroyNotify free_data;
} MhCallOptions;

/**
 * mh_call_queue_new:
 * @runtime: (not transferred): must outlive the queue
 *
 * Returns: (transfer full): a queue with full buckets, by the rates of the settings
 */
MhCallQueue *
mh_call_queue_new (MhRuntime *runtime);

/**
 * mh_call_queue_free:
 * @queue: (transfer full) (nullable): a queue
 *
 * Frees it; calls under way are forgotten.
 */
void
mh_call_queue_free (MhCallQueue *queue);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCallQueue, mh_call_queue_free)

/**
 * mh_call_queue_add:
 * @queue: a queue
 * @request: (transfer full): what is asked, and of whom
 * @options: how
 *
 * Queues a call. It leaves with mh_call_queue_flush (), once its bucket has the tokens.
 */
void
mh_call_queue_add (MhCallQueue *queue, MhRequest *request, const MhCallOptions *options);

/**
 * mh_call_queue_flush:
 * @queue: a queue
 *
 * Sends what the buckets allow, and asks for a wake-up where something has to wait for tokens.
 */
void
mh_call_queue_flush (MhCallQueue *queue);

/**
 * mh_call_queue_complete:
 * @queue: a queue
 * @id: of the call
 * @reply: how it ended
 *
 * Hands the reply to who made the call. Nothing happens if the call was forgotten.
 */
void
mh_call_queue_complete (MhCallQueue *queue, guint64 id, const MhReply *reply);

/**
 * mh_call_queue_forget_all:
 * @queue: a queue
 *
 * Forgets all calls, queued or under way; replies that still come are ignored.
 */
void
mh_call_queue_forget_all (MhCallQueue *queue);

/**
 * mh_call_queue_waiting:
 * @queue: a queue
 * @class: a class of calls
 *
 * Returns: how many calls of @class to the key-value store wait for tokens
 */
guint
mh_call_queue_waiting (const MhCallQueue *queue, MhCallClass class);

/* ---- the key-value store's limits ---- */

/**
 * mh_call_queue_store_rate:
 * @queue: a queue
 *
 * Returns: the requests a second that this controller makes to the key-value store at most
 */
double
mh_call_queue_store_rate (const MhCallQueue *queue);

/**
 * mh_call_queue_write_burst:
 * @queue: a queue
 *
 * Returns: the most changes that may leave at once
 */
double
mh_call_queue_write_burst (const MhCallQueue *queue);

/**
 * mh_call_queue_may_write:
 * @queue: a queue
 * @changes: keys to be changed
 * @tokens: (out): what the write bucket holds now
 *
 * Returns: %TRUE if the write bucket has tokens for so many changes and the store is not left alone
 * for now
 */
bool
mh_call_queue_may_write (MhCallQueue *queue, double changes, double *tokens);

/**
 * mh_call_queue_store_paused_until_us:
 * @queue: a queue
 *
 * Returns: the steady time until which no call to the store leaves, but for the lease
 */
gint64
mh_call_queue_store_paused_until_us (const MhCallQueue *queue);

/**
 * mh_call_queue_pause_store:
 * @queue: a queue
 * @least_us: for so long, in microseconds
 * @spread_us: and a random part of this more
 *
 * Leaves the key-value store alone for a while, but for the lease.
 */
void
mh_call_queue_pause_store (MhCallQueue *queue, gint64 least_us, gint64 spread_us);

/**
 * mh_call_queue_pause_cloud:
 * @queue: a queue
 * @least_us: for so long, in microseconds
 * @spread_us: and a random part of this more
 *
 * Leaves the cloud alone for a while.
 */
void
mh_call_queue_pause_cloud (MhCallQueue *queue, gint64 least_us, gint64 spread_us);

/**
 * mh_call_queue_store_failed:
 * @queue: a queue
 * @status: of the reply; 0: none came
 *
 * A call to the key-value store was not answered, or not carried out for now: it is logged, and
 * further calls wait. After a 429 the rate of changes that the settings announce as the next one
 * holds.
 */
void
mh_call_queue_store_failed (MhCallQueue *queue, guint status);

/**
 * mh_call_queue_log_store_failure:
 * @queue: a queue
 * @status: of the reply; 0: none came
 *
 * Logs that a call to the key-value store failed, once a second at the most.
 */
void
mh_call_queue_log_store_failure (MhCallQueue *queue, guint status);

/**
 * mh_call_queue_lower_write_rate:
 * @queue: a queue
 *
 * From now on the rate of changes holds that the settings announce as the next one, if they do.
 */
void
mh_call_queue_lower_write_rate (MhCallQueue *queue);

/**
 * mh_call_queue_write_rate_is_lowered:
 * @queue: a queue
 *
 * Returns: %TRUE once the store was found to hold to the announced next rate
 */
bool
mh_call_queue_write_rate_is_lowered (const MhCallQueue *queue);
