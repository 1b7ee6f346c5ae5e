/* The HTTP server for users and workers: routes, size limits and responses. */
#pragma once

#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"
#include "server/http-daemon.h"
#include "server/pending-request.h"

/**
 * MhHttpServer:
 *
 * Reads requests and passes the valid ones to its handlers. It answers all others, and the
 * readiness probe, directly.
 */
typedef struct MhHttpServer MhHttpServer;

/**
 * MhHttpServerHandlers:
 * @is_ready: called for the readiness probe; returns whether the controller is ready
 * @user_request: called with a user's request and, for a submission, the job (transfer full)
 * @heartbeat: called with a worker's request and its heartbeat, which is valid during the call only
 *
 * Handlers of requests. A request stays in the table of pending requests until it is answered.
 */
typedef struct
{
  bool (*is_ready) (gpointer user_data);
  void (*user_request) (const MhPendingRequest *request, MhJobSpec *spec, gpointer user_data);
  void (*heartbeat) (const MhPendingRequest *request, const MhHeartbeat *heartbeat,
                     gpointer user_data);
} MhHttpServerHandlers;

/**
 * mh_http_server_new:
 * @requests: the table of pending requests; has to outlive the server
 * @handlers: (transfer none): has to outlive the server
 * @user_data: passed to @handlers
 *
 * Returns: (transfer full): a server that does not listen yet
 */
MhHttpServer *
mh_http_server_new (MhPendingRequests *requests, const MhHttpServerHandlers *handlers,
                    gpointer user_data);

/**
 * mh_http_server_free:
 * @self: (nullable) (transfer full): a server
 *
 * Closes all connections.
 */
void
mh_http_server_free (MhHttpServer *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpServer, mh_http_server_free)

/**
 * mh_http_server_listen:
 * @self: a server that does not listen yet
 * @address: (transfer none): where to listen
 * @max_connections: number of connections that the platform allows
 * @error: return location for a #GError of GIO
 *
 * Returns: %FALSE with @error when it cannot listen
 */
bool
mh_http_server_listen (MhHttpServer *self, GSocketAddress *address, guint max_connections,
                       GError **error);

/**
 * mh_http_server_count_connections:
 * @self: a server that listens
 *
 * Returns: the number of open connections of users and workers
 */
guint
mh_http_server_count_connections (const MhHttpServer *self);

/**
 * mh_http_server_get_input_read_us:
 * @self: a server that listens
 *
 * Returns: a monotonic time in microseconds, by which all requests that had arrived had also been
 *   read
 */
gint64
mh_http_server_get_input_read_us (const MhHttpServer *self);

/**
 * mh_http_server_respond_to_user:
 * @self: a server
 * @request: a user's request that was received over HTTP
 * @response: the response
 *
 * Closes the connection after the response when this controller is not ready, so that the client's
 * next request reaches another one, and when too many connections are open. Does not remove
 * @request from its table.
 */
void
mh_http_server_respond_to_user (MhHttpServer *self, const MhPendingRequest *request,
                                const MhUserResponse *response);

/**
 * mh_http_server_respond_to_heartbeat:
 * @self: a server
 * @request: a worker's request
 * @status: HTTP status
 * @body: (nullable): commands for the worker, or the node to send heartbeats to instead
 *
 * Closes the connection after the response when too many are open: there may be more workers than
 * allowed connections, and users need some of them. Does not remove @request from its table.
 */
void
mh_http_server_respond_to_heartbeat (MhHttpServer *self, const MhPendingRequest *request,
                                     guint status, const MhValue *body);
