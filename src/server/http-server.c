#include "server/http-server.h"
#include "protocol/route.h"

#include <string.h>

#define CBOR_MEDIA_TYPE "application/cbor"
#define BODY_SIZE_KEY "mh-body-size"

struct MhHttpServer
{
  MhPendingRequests *requests;
  const MhHttpServerHandlers *handlers;
  gpointer user_data;
  SoupServer *server;
  MhHttpListener *listener; /* NULL before mh_http_server_listen() */
};

/* The size of a request's body: the Content-Length if that is over the limit, plus what has been
   received. */
typedef struct
{
  gsize size;
} BodySize;

static void
respond (SoupServerMessage *message, guint status, const MhValue *body)
{
  soup_server_message_set_status (message, status, NULL);
  if (body == NULL)
    return;
  gsize size;
  g_autoptr (GBytes) bytes = mh_value_serialize (body);
  const char *data = g_bytes_get_data (bytes, &size);
  soup_server_message_set_response (message, CBOR_MEDIA_TYPE, SOUP_MEMORY_COPY, data, size);
}

static void
set_response_header (SoupServerMessage *message, const char *name, const char *value)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (message), name, value);
}

/* ---- responses ---- */

static void
resume (const MhPendingRequest *request)
{
  soup_server_message_unpause (request->message);
  mh_connection_group_wake (request->group);
}

void
mh_http_server_respond_to_user (MhHttpServer *self, const MhPendingRequest *request,
                                const MhUserResponse *response)
{
  g_autoptr (MhValue) body = NULL;
  g_return_if_fail (self != NULL);
  g_return_if_fail (request->message != NULL);
  if (response->status == SOUP_STATUS_OK || response->status == SOUP_STATUS_CREATED)
    body = mh_job_status_encode (request->job, response, request->verb == MH_USER_STATUS);
  else if (response->retry_after_s)
    {
      g_autofree char *retry_after = g_strdup_printf ("%u", response->retry_after_s);
      set_response_header (request->message, "Retry-After", retry_after);
    }
  respond (request->message, response->status, body);
  resume (request);
}

void
mh_http_server_respond_to_heartbeat (MhHttpServer *self, const MhPendingRequest *request,
                                     guint status, const MhValue *body)
{
  g_return_if_fail (self != NULL);
  g_return_if_fail (request->message != NULL);
  respond (request->message, status, body);
  if (mh_http_listener_is_near_connection_limit (self->listener))
    set_response_header (request->message, "Connection", "close");
  resume (request);
}

/* ---- size of bodies ---- */

static void
on_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  BodySize *body = data;
  body->size += g_bytes_get_size (chunk);
  if (body->size > MH_MAX_BODY_SIZE)
    soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
}

/* Runs when the headers have been received. Connects on_chunk(), which stops libsoup from
   accumulating a body over the limit in memory. */
static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  (void)data;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  goffset length = soup_message_headers_get_content_length (headers);
  BodySize *body = g_new0 (BodySize, 1);
  if (length > (goffset)MH_MAX_BODY_SIZE)
    body->size = (gsize)length;
  g_object_set_data_full (G_OBJECT (message), BODY_SIZE_KEY, body, g_free);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_chunk), body);
}

static bool
is_too_large (SoupServerMessage *message)
{
  const BodySize *body = g_object_get_data (G_OBJECT (message), BODY_SIZE_KEY);
  return body && body->size > MH_MAX_BODY_SIZE;
}

/* ---- requests ---- */

static MhPendingRequest *
pause_message (MhHttpServer *self, SoupServerMessage *message)
{
  return mh_pending_requests_add_message (self->requests, message,
                                          mh_http_listener_get_current_group (self->listener));
}

static GBytes *
get_body (SoupServerMessage *message)
{
  return soup_message_body_flatten (soup_server_message_get_request_body (message));
}

static MhValue *
decode_body (GBytes *bytes, GError **error)
{
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  return mh_value_parse (data, size, error);
}

static void
handle_submission (MhHttpServer *self, SoupServerMessage *message)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = get_body (message);
  g_autoptr (MhValue) body = decode_body (bytes, &error);
  MhJobSpec *spec = body ? mh_submission_decode (body, &error) : NULL;
  if (spec == NULL)
    {
      g_debug ("malformed submission reason=%s", error->message);
      respond (message, SOUP_STATUS_BAD_REQUEST, NULL);
      return;
    }
  MhPendingRequest *request = pause_message (self, message);
  request->verb = MH_USER_SUBMIT;
  request->job = g_strdup (spec->id);
  request->body = g_steal_pointer (&bytes);
  self->handlers->user_request (request, spec, self->user_data);
}

static void
handle_heartbeat (MhHttpServer *self, SoupServerMessage *message)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = get_body (message);
  g_autoptr (MhValue) body = decode_body (bytes, &error);
  g_autoptr (MhHeartbeat) heartbeat = body ? mh_heartbeat_decode (body, &error) : NULL;
  if (heartbeat == NULL)
    {
      g_info ("malformed heartbeat reason=%s", error->message);
      respond (message, SOUP_STATUS_BAD_REQUEST, NULL);
      return;
    }
  self->handlers->heartbeat (pause_message (self, message), heartbeat, self->user_data);
}

static void
handle_job_request (MhHttpServer *self, SoupServerMessage *message, MhUserVerb verb,
                    const char *job)
{
  if (!mh_job_id_is_valid (job))
    {
      respond (message, SOUP_STATUS_NOT_FOUND, NULL);
      return;
    }
  MhPendingRequest *request = pause_message (self, message);
  request->verb = verb;
  request->job = g_strdup (job);
  self->handlers->user_request (request, NULL, self->user_data);
}

static void
handle_readiness (MhHttpServer *self, SoupServerMessage *message)
{
  bool ready = self->handlers->is_ready (self->user_data);
  respond (message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
}

static void
handle_route (MhHttpServer *self, SoupServerMessage *message, MhRoute route, const char *job)
{
  switch (route)
    {
    case MH_ROUTE_NONE:
      respond (message, SOUP_STATUS_NOT_FOUND, NULL);
      break;
    case MH_ROUTE_READY:
      handle_readiness (self, message);
      break;
    case MH_ROUTE_HEARTBEAT:
      handle_heartbeat (self, message);
      break;
    case MH_ROUTE_SUBMIT:
      handle_submission (self, message);
      break;
    case MH_ROUTE_STATUS:
      handle_job_request (self, message, MH_USER_STATUS, job);
      break;
    case MH_ROUTE_CANCEL:
      handle_job_request (self, message, MH_USER_CANCEL, job);
      break;
    }
}

/* Runs when the whole request has been received. */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  MhHttpServer *self = data;
  const char *allowed = NULL;
  g_autofree char *job = NULL;
  (void)server;
  (void)query;
  if (is_too_large (message))
    {
      respond (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, NULL);
      return;
    }
  MhRoute route = mh_route_find (path, &allowed, &job);
  if (route != MH_ROUTE_NONE && strcmp (soup_server_message_get_method (message), allowed) != 0)
    {
      set_response_header (message, "Allow", allowed);
      respond (message, SOUP_STATUS_METHOD_NOT_ALLOWED, NULL);
      return;
    }
  handle_route (self, message, route, job);
}

MhHttpServer *
mh_http_server_new (MhPendingRequests *requests, const MhHttpServerHandlers *handlers,
                    gpointer user_data)
{
  MhHttpServer *self = g_new0 (MhHttpServer, 1);
  self->requests = requests;
  self->handlers = handlers;
  self->user_data = user_data;
  self->server = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (self->server, NULL, on_headers, self, NULL);
  soup_server_add_handler (self->server, NULL, on_request, self, NULL);
  return self;
}

guint
mh_http_server_count_connections (const MhHttpServer *self)
{
  return mh_http_listener_count_connections (self->listener);
}

void
mh_http_server_free (MhHttpServer *self)
{
  if (self == NULL)
    return;
  soup_server_disconnect (self->server);
  mh_http_listener_free (self->listener);
  g_object_unref (self->server);
  g_free (self);
}

bool
mh_http_server_listen (MhHttpServer *self, GSocketAddress *address, guint max_connections,
                       GError **error)
{
  g_return_val_if_fail (self != NULL && self->listener == NULL, false);
  self->listener = mh_http_listener_new (self->server, address, max_connections, error);
  return self->listener != NULL;
}
