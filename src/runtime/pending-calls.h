/* The calls of this controller that have no outcome yet: queued, or in flight.

   A call in flight occupies a connection of its pool until its outcome arrives, also after the
   module that made it has forgotten it. */
#pragma once

#include "protocol/value.h"
#include "runtime/backlog.h"

/**
 * MhCallPool:
 * @MH_CALL_POOL_LEASE: calls to the key-value store that keep or win the leadership
 * @MH_CALL_POOL_STORE: all other calls to the key-value store but those of the next pool
 * @MH_CALL_POOL_USER_READS: reads of the key-value store for users' requests
 * @MH_CALL_POOL_CLOUD: calls to the cloud
 * @MH_CALL_POOL_WORKERS: calls to workers
 *
 * Pools of connections. Calls of one pool do not wait for those of another.
 */
typedef enum
{
  MH_CALL_POOL_LEASE,
  MH_CALL_POOL_STORE,
  MH_CALL_POOL_USER_READS,
  MH_CALL_POOL_CLOUD,
  MH_CALL_POOL_WORKERS
} MhCallPool;
/** MH_LEASE_CONNECTIONS: connections to the key-value store for %MH_CALL_POOL_LEASE: a watch, a
 * renewal, and the calls of an election */
#define MH_LEASE_CONNECTIONS 4u
/** MH_STORE_CALL_CONNECTIONS: likewise for %MH_CALL_POOL_STORE */
#define MH_STORE_CALL_CONNECTIONS 16u
/** MH_USER_READ_CONNECTIONS: likewise for %MH_CALL_POOL_USER_READS */
#define MH_USER_READ_CONNECTIONS 12u
/** MH_STORE_CONNECTIONS: limit of open connections to the key-value store */
#define MH_STORE_CONNECTIONS                                                                       \
  (MH_LEASE_CONNECTIONS + MH_STORE_CALL_CONNECTIONS + MH_USER_READ_CONNECTIONS)
/** MH_CLOUD_CONNECTIONS: limit of open connections to the cloud */
#define MH_CLOUD_CONNECTIONS 16u
/** MH_CALL_POOLS: number of pools */
#define MH_CALL_POOLS 5

/**
 * MhCallResponse:
 * @status: HTTP status; 0: no response arrived, so that it is unknown whether the request was
 * carried out
 * @body: (nullable): body of the response; valid only while the MhCallResponseFunc runs
 *
 * The outcome of a call.
 */
typedef struct
{
  guint status;
  const MhValue *body;
} MhCallResponse;

/**
 * MhCallResponseFunc:
 * @owner: the module that made the call
 * @data: (nullable): data of the call
 * @response: the outcome
 *
 * Handles the outcome. It is not called for calls that were forgotten.
 */
typedef void (*MhCallResponseFunc) (gpointer owner, gpointer data, const MhCallResponse *response);

/**
 * MhPendingCall:
 * @pool: whose connection it uses
 * @func: (nullable): handles the outcome; %NULL: the call was forgotten
 * @owner: passed to @func
 * @data: (nullable): passed to @func
 * @free_data: (nullable): frees @data after @func was called, or when the call is forgotten
 *
 * What to do with the outcome of a call.
 */
typedef struct
{
  MhCallPool pool;
  MhCallResponseFunc func;
  gpointer owner;
  gpointer data;
  GDestroyNotify free_data;
} MhPendingCall;

/** MhPendingCalls: calls without an outcome */
typedef struct MhPendingCalls MhPendingCalls;

/**
 * mh_pending_calls_new:
 *
 * Returns: (transfer full): an empty table
 */
MhPendingCalls *
mh_pending_calls_new (void);

/**
 * mh_pending_calls_free:
 * @calls: (transfer full) (nullable): a table
 *
 * Frees the table and the data of all calls.
 */
void
mh_pending_calls_free (MhPendingCalls *calls);

/**
 * mh_pending_calls_add:
 * @calls: a table
 * @id: number of the call
 * @call: (transfer none): copied; the table owns its data from now on
 *
 * Adds a call that is not in flight yet.
 */
void
mh_pending_calls_add (MhPendingCalls *calls, guint64 id, const MhPendingCall *call);

/**
 * mh_pending_calls_note_sent:
 * @calls: a table
 * @id: number of a call
 * @now_us: the monotonic time
 *
 * The call is in flight from now on.
 */
void
mh_pending_calls_note_sent (MhPendingCalls *calls, guint64 id, gint64 now_us);

/**
 * mh_pending_calls_complete:
 * @calls: a table
 * @id: number of a call
 * @response: the outcome
 *
 * Removes the call and passes the outcome to the module that made it, unless that has forgotten it.
 * Does nothing if there is no such call.
 */
void
mh_pending_calls_complete (MhPendingCalls *calls, guint64 id, const MhCallResponse *response);

/**
 * mh_pending_calls_forget_all:
 * @calls: a table
 *
 * No outcome of the present calls is passed on. Calls in flight still occupy their connections.
 */
void
mh_pending_calls_forget_all (MhPendingCalls *calls);

/**
 * mh_pending_calls_count_in_flight:
 * @calls: a table
 * @pool: a pool of connections
 *
 * Returns: the number of calls in flight
 */
guint
mh_pending_calls_count_in_flight (const MhPendingCalls *calls, MhCallPool pool);

/**
 * mh_pending_calls_get_in_flight:
 * @calls: a table
 * @pool: a pool of connections
 * @now_us: the monotonic time
 *
 * Returns: the calls in flight, and for how long the oldest has been
 */
MhBacklog
mh_pending_calls_get_in_flight (const MhPendingCalls *calls, MhCallPool pool, gint64 now_us);
