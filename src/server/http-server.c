#include "server/http-server.h"

#include <string.h>

#define CBOR_MEDIA_TYPE "application/cbor"
/* Shares of the allowed connections. Connections of workers are kept open up to the first, those of
   users up to the second, and none is accepted beyond the third: the rest is for connections that
   this controller opens itself. */
#define WORKER_KEEP_ALIVE_SHARE 0.6
#define USER_KEEP_ALIVE_SHARE 0.8
#define ACCEPTED_SHARE 0.95

struct MhHttpServer
{
  MhPendingRequests *requests;
  const MhHttpServerHandlers *handlers;
  gpointer user_data;
  MhHttpDaemon *daemon; /* NULL before mh_http_server_listen() */
  guint max_connections;
};

/* ---- responses ---- */

static bool
has_more_connections_than (const MhHttpServer *self, double share)
{
  return mh_http_server_count_connections (self) > share * self->max_connections;
}

static void
respond_with_status (MhHttpExchange *exchange, guint status)
{
  const MhHttpResponse response = { .status = status };
  mh_http_exchange_respond (exchange, &response);
}

void
mh_http_server_respond_to_user (MhHttpServer *self, const MhPendingRequest *request,
                                const MhUserResponse *response)
{
  g_autoptr (GBytes) bytes = NULL;
  g_return_if_fail (self != NULL);
  g_return_if_fail (request->exchange != NULL);
  if (response->status == MHD_HTTP_OK || response->status == MHD_HTTP_CREATED)
    {
      g_autoptr (MhValue) body
          = mh_job_status_encode (request->job, response, request->verb == MH_USER_STATUS);
      bytes = mh_value_serialize (body);
    }
  const MhHttpResponse http_response
      = { .status = response->status,
          .body = bytes,
          .media_type = bytes ? CBOR_MEDIA_TYPE : NULL,
          .retry_after_s = bytes ? 0 : response->retry_after_s,
          .close = !self->handlers->is_ready (self->user_data)
                   || has_more_connections_than (self, USER_KEEP_ALIVE_SHARE) };
  mh_http_exchange_respond (request->exchange, &http_response);
}

void
mh_http_server_respond_to_heartbeat (MhHttpServer *self, const MhPendingRequest *request,
                                     guint status, const MhValue *body)
{
  g_return_if_fail (self != NULL);
  g_return_if_fail (request->exchange != NULL);
  g_autoptr (GBytes) bytes = body ? mh_value_serialize (body) : NULL;
  const MhHttpResponse response
      = { .status = status,
          .body = bytes,
          .media_type = bytes ? CBOR_MEDIA_TYPE : NULL,
          .close = has_more_connections_than (self, WORKER_KEEP_ALIVE_SHARE) };
  mh_http_exchange_respond (request->exchange, &response);
}

/* ---- requests ---- */

static MhValue *
decode_body (GBytes *bytes, GError **error)
{
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  return mh_value_parse (data, size, error);
}

static void
handle_submission (MhHttpServer *self, MhHttpExchange *exchange)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = mh_http_exchange_get_body (exchange);
  g_autoptr (MhValue) body = decode_body (bytes, &error);
  MhJobSpec *spec = body ? mh_submission_decode (body, &error) : NULL;
  if (spec == NULL)
    {
      g_debug ("malformed submission reason=%s", error->message);
      respond_with_status (exchange, MHD_HTTP_BAD_REQUEST);
      return;
    }
  MhPendingRequest *request = mh_pending_requests_add_exchange (self->requests, exchange);
  request->verb = MH_USER_SUBMIT;
  request->job = g_strdup (spec->id);
  request->body = g_steal_pointer (&bytes);
  self->handlers->user_request (request, spec, self->user_data);
}

static void
handle_heartbeat (MhHttpServer *self, MhHttpExchange *exchange)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = mh_http_exchange_get_body (exchange);
  g_autoptr (MhValue) body = decode_body (bytes, &error);
  g_autoptr (MhHeartbeat) heartbeat = body ? mh_heartbeat_decode (body, &error) : NULL;
  if (heartbeat == NULL)
    {
      g_info ("malformed heartbeat reason=%s", error->message);
      respond_with_status (exchange, MHD_HTTP_BAD_REQUEST);
      return;
    }
  self->handlers->heartbeat (mh_pending_requests_add_exchange (self->requests, exchange), heartbeat,
                             self->user_data);
}

static void
handle_job_request (MhHttpServer *self, MhHttpExchange *exchange, MhUserVerb verb, const char *job)
{
  if (!mh_job_id_is_valid (job))
    {
      respond_with_status (exchange, MHD_HTTP_NOT_FOUND);
      return;
    }
  MhPendingRequest *request = mh_pending_requests_add_exchange (self->requests, exchange);
  request->verb = verb;
  request->job = g_strdup (job);
  self->handlers->user_request (request, NULL, self->user_data);
}

static void
handle_readiness (MhHttpServer *self, MhHttpExchange *exchange)
{
  bool ready = self->handlers->is_ready (self->user_data);
  const MhHttpResponse response
      = { .status = ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, .close = !ready };
  mh_http_exchange_respond (exchange, &response);
}

static void
handle_route (MhHttpServer *self, MhHttpExchange *exchange, MhRoute route, const char *job)
{
  switch (route)
    {
    case MH_ROUTE_NONE:
      respond_with_status (exchange, MHD_HTTP_NOT_FOUND);
      break;
    case MH_ROUTE_READY:
      handle_readiness (self, exchange);
      break;
    case MH_ROUTE_HEARTBEAT:
      handle_heartbeat (self, exchange);
      break;
    case MH_ROUTE_SUBMIT:
      handle_submission (self, exchange);
      break;
    case MH_ROUTE_STATUS:
      handle_job_request (self, exchange, MH_USER_STATUS, job);
      break;
    case MH_ROUTE_CANCEL:
      handle_job_request (self, exchange, MH_USER_CANCEL, job);
      break;
    }
}

static void
on_request (MhHttpExchange *exchange, gpointer data)
{
  MhHttpServer *self = data;
  const char *allowed = NULL;
  g_autofree char *job = NULL;
  if (mh_http_exchange_is_too_large (exchange))
    {
      const MhHttpResponse too_large = { .status = MHD_HTTP_CONTENT_TOO_LARGE, .close = true };
      mh_http_exchange_respond (exchange, &too_large);
      return;
    }
  MhRoute route = mh_route_find (mh_http_exchange_get_path (exchange), &allowed, &job);
  if (route != MH_ROUTE_NONE && strcmp (mh_http_exchange_get_method (exchange), allowed) != 0)
    {
      const MhHttpResponse not_allowed
          = { .status = MHD_HTTP_METHOD_NOT_ALLOWED, .allow = allowed };
      mh_http_exchange_respond (exchange, &not_allowed);
      return;
    }
  handle_route (self, exchange, route, job);
}

MhHttpServer *
mh_http_server_new (MhPendingRequests *requests, const MhHttpServerHandlers *handlers,
                    gpointer user_data)
{
  MhHttpServer *self = g_new0 (MhHttpServer, 1);
  self->requests = requests;
  self->handlers = handlers;
  self->user_data = user_data;
  return self;
}

guint
mh_http_server_count_connections (const MhHttpServer *self)
{
  return mh_http_daemon_count_connections (self->daemon);
}

gint64
mh_http_server_get_input_read_us (const MhHttpServer *self)
{
  return mh_http_daemon_get_input_read_us (self->daemon);
}

void
mh_http_server_free (MhHttpServer *self)
{
  if (self == NULL)
    return;
  mh_http_daemon_free (self->daemon);
  g_free (self);
}

bool
mh_http_server_listen (MhHttpServer *self, GSocketAddress *address, guint max_connections,
                       GError **error)
{
  g_return_val_if_fail (self != NULL && self->daemon == NULL, false);
  const MhHttpLimits limits = { .max_connections = (guint)(ACCEPTED_SHARE * max_connections) };
  self->max_connections = max_connections;
  self->daemon = mh_http_daemon_new (address, &limits, on_request, self, error);
  return self->daemon != NULL;
}
