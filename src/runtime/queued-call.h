/* A call that waits to be sent. */
#pragma once

#include "protocol/request.h"

/**
 * MhQueuedCall:
 * @id: number of the call
 * @request: (owned) (nullable): taken when the call is sent
 * @queued_us: monotonic time at which it was queued
 * @timeout_us: how long to wait for its response
 * @deadline_us: monotonic time after which nobody waits for the response; 0: none
 * @changes: number of keys that it changes
 *
 * A call that waits to be sent.
 */
typedef struct
{
  guint64 id;
  MhRequest *request;
  gint64 queued_us;
  gint64 timeout_us;
  gint64 deadline_us;
  double changes;
} MhQueuedCall;

/**
 * mh_queued_call_new:
 * @id: number of the call
 * @request: (transfer full): the request
 * @now_us: the monotonic time
 *
 * Returns: (transfer full): a call that is queued now, without changes, time limit and deadline
 */
MhQueuedCall *
mh_queued_call_new (guint64 id, MhRequest *request, gint64 now_us);

/**
 * mh_queued_call_free:
 * @data: (transfer full): an MhQueuedCall
 *
 * Frees the call and its request.
 */
void
mh_queued_call_free (gpointer data);

/**
 * mh_queued_calls_remove_expired:
 * @calls: (element-type MhQueuedCall): calls that wait
 * @now_us: the monotonic time
 * @expired: (element-type guint64): the numbers of the removed calls are appended
 *
 * Removes and frees the calls whose deadline has passed.
 *
 * Returns: the earliest deadline of those that remain; %G_MAXINT64: none has one
 */
gint64
mh_queued_calls_remove_expired (GQueue *calls, gint64 now_us, GArray *expired);
