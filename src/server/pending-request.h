/* Requests that have not been answered yet. */
#pragma once

#include "runtime/backlog.h"
#include "protocol/user-messages.h"
#include "server/http-exchange.h"
#include "server/peer-connection.h"

/**
 * MhPendingRequests:
 *
 * A table of all pending requests, by their id. A request is removed when it is answered.
 */
typedef struct MhPendingRequests MhPendingRequests;

/**
 * MhPendingRequest:
 * @id: id of the request, unique in this process
 * @received_us: monotonic time at which the whole request had arrived, in microseconds
 * @verb: what the user requests; 0: a worker's heartbeat
 * @job: (nullable): id of the job that the user's request is about
 * @body: (nullable): body of a submission, as it was received
 * @exchange: (nullable) (transfer none): the HTTP request, which waits for its response; %NULL when
 *   another controller forwarded the request
 * @peer: (nullable): the connection on which another controller forwarded the request; %NULL after
 *   that connection is closed: a response can then no longer be sent
 * @peer_request_id: the other controller's id of the request
 * @forwarded_to: (nullable): the connection on which this controller forwarded the request
 * @forward_timeout: source of the time-out for the response from @forwarded_to; 0: none
 *
 * A request from a user or a worker; owned by its table.
 */
typedef struct
{
  guint64 id;
  gint64 received_us;
  MhUserVerb verb;
  char *job;
  GBytes *body;
  MhHttpExchange *exchange;
  MhPeerConnection *peer;
  guint64 peer_request_id;
  MhPeerConnection *forwarded_to;
  guint forward_timeout;
} MhPendingRequest;

/**
 * mh_pending_requests_new:
 *
 * Returns: (transfer full): an empty table
 */
MhPendingRequests *
mh_pending_requests_new (void);

/**
 * mh_pending_requests_free:
 * @table: (nullable) (transfer full): a table
 */
void
mh_pending_requests_free (MhPendingRequests *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhPendingRequests, mh_pending_requests_free)

/**
 * mh_pending_requests_add_exchange:
 * @table: a table
 * @exchange: (transfer none): an HTTP request that is to be answered later
 *
 * Returns: (transfer none): a new request
 */
MhPendingRequest *
mh_pending_requests_add_exchange (MhPendingRequests *table, MhHttpExchange *exchange);

/**
 * mh_pending_requests_add_forwarded:
 * @table: a table
 * @peer: (transfer none): the connection on which another controller forwarded the request
 * @peer_request_id: the other controller's id of the request
 *
 * Returns: (transfer none): a new request
 */
MhPendingRequest *
mh_pending_requests_add_forwarded (MhPendingRequests *table, MhPeerConnection *peer,
                                   guint64 peer_request_id);

/**
 * mh_pending_requests_lookup:
 * @table: a table
 * @id: id of a request
 *
 * Returns: (transfer none) (nullable): the request; %NULL when it has been answered
 */
MhPendingRequest *
mh_pending_requests_lookup (MhPendingRequests *table, guint64 id);

/**
 * mh_pending_requests_get_backlog:
 * @table: a table
 *
 * Returns: the requests in @table, and how long ago the oldest of them was received
 */
MhBacklog
mh_pending_requests_get_backlog (const MhPendingRequests *table);

/**
 * mh_pending_requests_remove:
 * @table: a table
 * @id: id of a request; an id that is not in the table is ignored
 */
void
mh_pending_requests_remove (MhPendingRequests *table, guint64 id);

/**
 * mh_pending_requests_detach_connection:
 * @table: a table
 * @connection: a connection that was closed
 *
 * Sets the peer of requests that were received over @connection to %NULL: they stay in the table,
 * but no response can be sent.
 *
 * Returns: (transfer full) (element-type guint64): ids of the requests that were forwarded over
 *   @connection; their forwarded_to still points to it
 */
GArray *
mh_pending_requests_detach_connection (MhPendingRequests *table, MhPeerConnection *connection);
