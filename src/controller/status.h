/* The state of a controller as its operator sees it: in the periodic status line, and in the
   metrics of src/server. */
#pragma once

#include "controller/core.h"

#include "runtime/backlog.h"
#include "runtime/pending-calls.h"

/**
 * MhStatusQueue:
 * @MH_STATUS_QUEUE_STORE_SAFETY: calls to the key-value store of %MH_CALL_SAFETY
 * @MH_STATUS_QUEUE_STORE_WORK: of %MH_CALL_WORK
 * @MH_STATUS_QUEUE_STORE_BACKGROUND: of %MH_CALL_BACKGROUND
 * @MH_STATUS_QUEUE_CLOUD: calls to the cloud of %MH_CALL_WORK
 * @MH_STATUS_QUEUE_WORKERS: calls to workers
 * @MH_STATUS_QUEUE_USER_RECORDS: records to be written that users wait for
 * @MH_STATUS_QUEUE_START_RECORDS: records of starts and of ends of jobs
 * @MH_STATUS_QUEUE_PROGRESS_RECORDS: other records
 *
 * Queues of a controller.
 */
typedef enum
{
  MH_STATUS_QUEUE_STORE_SAFETY,
  MH_STATUS_QUEUE_STORE_WORK,
  MH_STATUS_QUEUE_STORE_BACKGROUND,
  MH_STATUS_QUEUE_CLOUD,
  MH_STATUS_QUEUE_WORKERS,
  MH_STATUS_QUEUE_USER_RECORDS,
  MH_STATUS_QUEUE_START_RECORDS,
  MH_STATUS_QUEUE_PROGRESS_RECORDS
} MhStatusQueue;
/** MH_STATUS_QUEUES: number of queues */
#define MH_STATUS_QUEUES 8

/**
 * MhStatus:
 * @role: (transfer none): "following", "campaigning", "loading", "leading", "lapsed" or
 * "stepping_down"; "lapsed": it leads, but its lease has to be renewed before it may act
 * @is_ready: whether GET /ready is answered with 200
 * @epoch: epoch of its leadership; 0: it is not the leader
 * @lease_left_us: how long its leader lease is still valid, in microseconds; 0: not at all
 * @jobs: jobs in memory
 * @queues: what waits in each queue
 * @in_flight: calls that have been sent and have no outcome yet, by pool of connections
 *
 * The state of a controller at its last input.
 */
typedef struct
{
  const char *role;
  bool is_ready;
  guint64 epoch;
  gint64 lease_left_us;
  guint jobs;
  MhBacklog queues[MH_STATUS_QUEUES];
  MhBacklog in_flight[MH_CALL_POOLS];
} MhStatus;

/**
 * mh_core_get_status:
 * @core: a controller
 * @status: (out caller-allocates): its state
 */
void
mh_core_get_status (const MhCore *core, MhStatus *status);

/**
 * mh_core_get_count:
 * @core: a controller
 * @counter: a counter
 *
 * Returns: the value of the counter
 */
guint64
mh_core_get_count (const MhCore *core, MhCounter counter);

/**
 * mh_status_queue_name:
 * @queue: a queue
 *
 * Returns: (transfer none): its name in log lines and metrics
 */
const char *
mh_status_queue_name (MhStatusQueue queue);

/**
 * mh_status_call_pool_name:
 * @pool: a pool of connections
 *
 * Returns: (transfer none): its name in log lines and metrics
 */
const char *
mh_status_call_pool_name (MhCallPool pool);
