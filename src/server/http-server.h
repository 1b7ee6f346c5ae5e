/* HTTP requests of users and workers: their routes, limits and answers. */
#pragma once

#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"
#include "server/pending-request.h"

/**
 * MhHttpServer:
 *
 * Listens, reads requests, and hands the valid ones on; the others it answers by itself.
 */
typedef struct MhHttpServer MhHttpServer;

/**
 * MhHttpServerHandlers:
 * @is_ready: answers the readiness probe
 * @user_request: called with a user's request and, for a submission, the job (transfer full)
 * @report: called with a worker's request and its report, borrowed for the call
 *
 * Where requests go. They wait in the table of pending requests until they are answered.
 */
typedef struct
{
  bool (*is_ready) (gpointer user_data);
  void (*user_request) (const MhPendingRequest *request, MhJobSpec *spec, gpointer user_data);
  void (*report) (const MhPendingRequest *request, const MhHeartbeat *report, gpointer user_data);
} MhHttpServerHandlers;

/**
 * mh_http_server_new:
 * @requests: where requests wait for their answers; has to outlive the server
 * @handlers: (transfer none): has to outlive the server
 * @user_data: for @handlers
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
 * @max_connections: connections that the platform allows
 * @error: return location for a #GError of GIO
 *
 * Returns: %FALSE with @error when it cannot listen
 */
bool
mh_http_server_listen (MhHttpServer *self, GSocketAddress *address, guint max_connections,
                       GError **error);

/**
 * mh_http_server_answer_user:
 * @self: a server
 * @request: a user's request that came over HTTP
 * @answer: the answer
 *
 * The request stays in its table.
 */
void
mh_http_server_answer_user (MhHttpServer *self, const MhPendingRequest *request,
                            const MhUserResponse *answer);

/**
 * mh_http_server_answer_report:
 * @self: a server
 * @request: a worker's request
 * @status: HTTP status
 * @body: (nullable): commands for the worker
 *
 * Closes the connection when too many are open. The request stays in its table.
 */
void
mh_http_server_answer_report (MhHttpServer *self, const MhPendingRequest *request, guint status,
                              const MhValue *body);
