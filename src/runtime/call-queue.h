/* Calls to the key-value store, the cloud and the workers, and the token buckets that limit their
   rate.

   A call is a request and its response, which arrives as a later input. At the end of a leadership
   its calls are forgotten, and their responses are ignored. Calls to the cloud and to workers are
   sent only while this controller may act as leader. Those that change something carry the end of
   its leader lease.

   A call waits here, and not in the HTTP client, until its pool has a connection for it: so the
   calls that keep the leadership wait for no others, and a call whose deadline passes is not sent.
   */
#pragma once

#include "runtime/backlog.h"
#include "runtime/pending-calls.h"
#include "runtime/runtime.h"

/** MhCallQueue: the calls of this controller, and the token buckets that limit their rate */
typedef struct MhCallQueue MhCallQueue;

/**
 * MhCallClass:
 * @MH_CALL_LEASE: calls that keep or win the leadership; they wait for no token
 * @MH_CALL_SAFETY: calls that correctness depends on, such as the loading of records,
 * cancellations, releases and probes
 * @MH_CALL_WORK: starts, results, scale-out
 * @MH_CALL_BACKGROUND: reads for users' requests about jobs that are not in memory
 *
 * Classes of calls. Calls of an earlier class get tokens first. Within %MH_CALL_BACKGROUND the
 * newest call is sent first: if more are made than can be sent, those that have waited long are for
 * users who have given up.
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
 * MhCallOptions:
 * @class: class of the call
 * @changes: number of keys that it changes in the key-value store; each takes a token of the write
 * bucket
 * @timeout_us: how long to wait for a response after the request was sent, in microseconds
 * @deadline_us: monotonic time after which nobody waits for the response: the call then ends with
 * status 0, and is not sent if it has not been; 0: none
 * @func: handles the outcome
 * @owner: passed to @func
 * @data: (nullable): passed to @func
 * @free_data: (nullable): frees @data after @func was called, or when the call is forgotten
 *
 * Options of a call.
 */
typedef struct
{
  MhCallClass class;
  double changes;
  gint64 timeout_us;
  gint64 deadline_us;
  MhCallResponseFunc func;
  gpointer owner;
  gpointer data;
  GDestroyNotify free_data;
} MhCallOptions;

/**
 * mh_call_queue_new:
 * @runtime: (transfer none): must outlive the queue
 *
 * Returns: (transfer full): an empty queue; its token buckets are full and have the rates of the
 * settings
 */
MhCallQueue *
mh_call_queue_new (MhRuntime *runtime);

/**
 * mh_call_queue_free:
 * @queue: (transfer full) (nullable): a queue
 *
 * Frees the queue. Calls that are queued or in flight are forgotten.
 */
void
mh_call_queue_free (MhCallQueue *queue);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCallQueue, mh_call_queue_free)

/**
 * mh_call_queue_add:
 * @queue: a queue
 * @request: (transfer full): the request, which names the target
 * @options: options of the call
 *
 * Queues a call. mh_call_queue_flush () sends it once its buckets have the tokens and its pool has
 * a connection.
 */
void
mh_call_queue_add (MhCallQueue *queue, MhRequest *request, const MhCallOptions *options);

/**
 * mh_call_queue_flush:
 * @queue: a queue
 *
 * Ends the calls whose deadline has passed, sends those that the token buckets and the connections
 * allow, and requests a wake-up if calls wait for tokens or have a deadline.
 */
void
mh_call_queue_flush (MhCallQueue *queue);

/**
 * mh_call_queue_complete:
 * @queue: a queue
 * @id: number of the call
 * @response: the outcome
 *
 * Passes the outcome to the module that made the call. Does nothing if the call was forgotten.
 */
void
mh_call_queue_complete (MhCallQueue *queue, guint64 id, const MhCallResponse *response);

/**
 * mh_call_queue_forget_all:
 * @queue: a queue
 *
 * Forgets all calls that are queued or in flight. Responses that still arrive are ignored.
 */
void
mh_call_queue_forget_all (MhCallQueue *queue);

/**
 * mh_call_queue_get_backlog:
 * @queue: a queue
 * @target: what the calls go to
 * @class: a class of calls; calls to workers have no classes
 *
 * Returns: the calls that have not been sent yet
 */
MhBacklog
mh_call_queue_get_backlog (const MhCallQueue *queue, MhTarget target, MhCallClass class);

/**
 * mh_call_queue_get_in_flight:
 * @queue: a queue
 * @pool: a pool of connections
 *
 * Returns: the calls that have been sent and have no outcome yet, also those that were forgotten
 */
MhBacklog
mh_call_queue_get_in_flight (const MhCallQueue *queue, MhCallPool pool);

/* ---- limits of the key-value store ---- */

/**
 * mh_call_queue_store_rate:
 * @queue: a queue
 *
 * Returns: how many requests a second this controller may send to the key-value store
 */
double
mh_call_queue_store_rate (const MhCallQueue *queue);

/**
 * mh_call_queue_write_burst:
 * @queue: a queue
 *
 * Returns: the burst of the write bucket: the number of changes that may be sent at once
 */
double
mh_call_queue_write_burst (const MhCallQueue *queue);

/**
 * mh_call_queue_may_write:
 * @queue: a queue
 * @changes: number of keys to be changed
 * @tokens: (out): tokens that the write bucket holds now
 *
 * Returns: %TRUE if the write bucket has tokens for @changes, and calls to the store are not paused
 */
bool
mh_call_queue_may_write (MhCallQueue *queue, double changes, double *tokens);

/**
 * mh_call_queue_store_paused_until_us:
 * @queue: a queue
 *
 * Returns: the monotonic time until which calls to the key-value store are paused, except for those
 * of %MH_CALL_LEASE
 */
gint64
mh_call_queue_store_paused_until_us (const MhCallQueue *queue);

/**
 * mh_call_queue_pause_store:
 * @queue: a queue
 * @min_delay_us: shortest duration of the pause, in microseconds
 * @jitter_us: upper bound of the random addition to it, in microseconds
 *
 * Pauses all calls to the key-value store except for those of %MH_CALL_LEASE.
 */
void
mh_call_queue_pause_store (MhCallQueue *queue, gint64 min_delay_us, gint64 jitter_us);

/**
 * mh_call_queue_pause_cloud:
 * @queue: a queue
 * @min_delay_us: shortest duration of the pause, in microseconds
 * @jitter_us: upper bound of the random addition to it, in microseconds
 *
 * Pauses all calls to the cloud.
 */
void
mh_call_queue_pause_cloud (MhCallQueue *queue, gint64 min_delay_us, gint64 jitter_us);

/**
 * mh_call_queue_handle_store_failure:
 * @queue: a queue
 * @status: HTTP status of the response; 0: no response arrived
 *
 * Handles a call to the key-value store that got no response, or that the store could not carry
 * out at the time: logs it, and pauses further calls for a short time. After a 429 it also lowers
 * the rate of changes, see mh_call_queue_lower_write_rate ().
 */
void
mh_call_queue_handle_store_failure (MhCallQueue *queue, guint status);

/**
 * mh_call_queue_log_store_failure:
 * @queue: a queue
 * @status: HTTP status of the response; 0: no response arrived
 *
 * Logs that a call to the key-value store failed, at most once a second.
 */
void
mh_call_queue_log_store_failure (MhCallQueue *queue, guint status);

/**
 * mh_call_queue_lower_write_rate:
 * @queue: a queue
 *
 * Lowers the rate of changes to the one that the settings announce as the next limit of the store
 * (MhSettings.next_write_rps). Does nothing if they announce none.
 */
void
mh_call_queue_lower_write_rate (MhCallQueue *queue);

/**
 * mh_call_queue_write_rate_is_lowered:
 * @queue: a queue
 *
 * Returns: %TRUE if the announced next limit has been found to be in force
 */
bool
mh_call_queue_write_rate_is_lowered (const MhCallQueue *queue);
