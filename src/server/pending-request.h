/* Requests that wait for the controller's answer. */
#pragma once

#include "protocol/user-messages.h"
#include "server/http-listener.h"
#include "server/peer-connection.h"

#include <libsoup/soup.h>

/**
 * MhPendingRequests:
 *
 * The table of all requests that wait, by their number. A request leaves it when it is answered, or
 * when its HTTP connection ends.
 */
typedef struct MhPendingRequests MhPendingRequests;

/**
 * MhPendingRequest:
 * @id: number of the request, unique in this process
 * @verb: what a user asks for; 0: a worker's report
 * @job: (nullable): the job a user asks about
 * @body: (nullable): a submission as it was received
 * @message: (nullable): the HTTP message, paused; %NULL when another controller passed the request
 * on
 * @group: (nullable): whose HTTP message it is
 * @peer: (nullable): the connection on which another controller passed the request on; %NULL also
 * when that is closed, so that nobody waits for the answer any more
 * @peer_request_id: the other controller's number of the request
 * @forwarded_to: (nullable): the connection on which this controller passed the request on
 * @forward_timeout: source that ends the waiting for @forwarded_to; 0: none
 *
 * A request of a user or a worker, owned by its table.
 */
typedef struct
{
  guint64 id;
  MhUserVerb verb;
  char *job;
  GBytes *body;
  SoupServerMessage *message;
  MhConnectionGroup *group;
  MhPeerConnection *peer;
  guint64 peer_request_id;
  MhPeerConnection *forwarded_to;
  guint forward_timeout;
  /*< private >*/
  MhPendingRequests *table;
  gulong finished_handler;
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
 * mh_pending_requests_add_message:
 * @table: a table
 * @message: (transfer none): an HTTP message; it is paused, and its request leaves the table when
 * it is finished
 * @group: (transfer none): the group of its connection
 *
 * Returns: (transfer none): a new request
 */
MhPendingRequest *
mh_pending_requests_add_message (MhPendingRequests *table, SoupServerMessage *message,
                                 MhConnectionGroup *group);

/**
 * mh_pending_requests_add_forwarded:
 * @table: a table
 * @peer: (transfer none): the connection on which another controller passed the request on
 * @peer_request_id: its number there
 *
 * Returns: (transfer none): a new request
 */
MhPendingRequest *
mh_pending_requests_add_forwarded (MhPendingRequests *table, MhPeerConnection *peer,
                                   guint64 peer_request_id);

/**
 * mh_pending_requests_lookup:
 * @table: a table
 * @id: number of a request
 *
 * Returns: (transfer none) (nullable): the request; %NULL when who asked is gone
 */
MhPendingRequest *
mh_pending_requests_lookup (MhPendingRequests *table, guint64 id);

/**
 * mh_pending_requests_remove:
 * @table: a table
 * @id: number of a request; one that is not there is ignored
 */
void
mh_pending_requests_remove (MhPendingRequests *table, guint64 id);

/**
 * mh_pending_requests_drop_connection:
 * @table: a table
 * @connection: a connection that was closed
 *
 * Requests that came over @connection stay, but need no answer any more.
 *
 * Returns: (transfer full) (element-type guint64): the numbers of the requests that were passed on
 * over
 *   @connection, which still refer to it
 */
GArray *
mh_pending_requests_drop_connection (MhPendingRequests *table, MhPeerConnection *connection);
