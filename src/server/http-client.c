#include "server/http-client.h"

#include "base/time-units.h"
#include "runtime/pending-calls.h"
#include "server/main-loop-priority.h"

#include <libsoup/soup.h>

#define CBOR_MEDIA_TYPE "application/cbor"
#define IDLE_TIMEOUT_S 30u
/* Calls to workers after which their session is replaced. A session keeps a timer for five minutes
   for each host that it has called, and each iteration of the main loop checks all timers: with a
   thousand workers this took half of the leader's processor time. The timers are freed with their
   session. */
#define CALLS_PER_WORKER_SESSION 32u
/* Connections to workers are closed after each response; this closes any that remain open. */
#define WORKER_IDLE_TIMEOUT_S 1u

struct MhHttpClient
{
  MhHttpEndpoints endpoints;
  MhHttpResponseFunc response_func;
  gpointer user_data;
  SoupSession *session;        /* to the key-value store and the cloud */
  SoupSession *worker_session; /* NULL before the first call to a worker */
  guint worker_session_calls;  /* calls that worker_session has started */
};

/* A call without a response yet. */
typedef struct
{
  MhHttpClient *client;
  guint64 id;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timeout_source; /* 0: it has fired */
} HttpCall;

static void
http_call_free (HttpCall *call)
{
  g_clear_handle_id (&call->timeout_source, g_source_remove);
  g_clear_object (&call->message);
  g_clear_object (&call->cancellable);
  g_free (call);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HttpCall, http_call_free)

static SoupSession *
session_new (guint max_connections, guint max_connections_per_host, guint idle_timeout_s)
{
  SoupSession *session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", (int)max_connections, "max-conns-per-host",
      (int)max_connections_per_host, "timeout", 0, "idle-timeout", idle_timeout_s, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

MhHttpClient *
mh_http_client_new (const MhHttpEndpoints *endpoints, MhHttpResponseFunc response_func,
                    gpointer user_data)
{
  MhHttpClient *client = g_new0 (MhHttpClient, 1);
  client->endpoints = *endpoints;
  client->response_func = response_func;
  client->user_data = user_data;
  client->session = session_new (MH_STORE_CONNECTIONS + MH_CLOUD_CONNECTIONS, MH_STORE_CONNECTIONS,
                                 IDLE_TIMEOUT_S);
  return client;
}

void
mh_http_client_free (MhHttpClient *client)
{
  if (client == NULL)
    return;
  g_clear_object (&client->session);
  g_clear_object (&client->worker_session);
  g_free (client);
}

static SoupSession *
get_worker_session (MhHttpClient *client)
{
  if (client->worker_session_calls == CALLS_PER_WORKER_SESSION)
    {
      g_clear_object (&client->worker_session); /* pending calls hold references to it */
      client->worker_session_calls = 0;
    }
  if (client->worker_session == NULL)
    client->worker_session = session_new (CALLS_PER_WORKER_SESSION, 1, WORKER_IDLE_TIMEOUT_S);
  client->worker_session_calls++;
  return client->worker_session;
}

static const char *
get_host (const MhHttpClient *client, const MhRequest *request)
{
  switch (request->target)
    {
    case MH_TARGET_KEY_VALUE_STORE:
      return client->endpoints.key_value_store;
    case MH_TARGET_CLOUD:
      return client->endpoints.cloud;
    case MH_TARGET_WORKER:
      break;
    }
  return request->endpoint;
}

static gboolean
on_timeout (gpointer data)
{
  HttpCall *call = data;
  call->timeout_source = 0;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

/* Returns the HTTP status of a response and sets `body` if it has one. Returns 0 without a response
   and for a body that cannot be decoded. */
static guint
read_response (SoupMessage *message, GBytes *bytes, MhValue **body)
{
  gsize size;
  if (bytes == NULL)
    return 0;
  const void *data = g_bytes_get_data (bytes, &size);
  if (size == 0)
    return soup_message_get_status (message);
  *body = mh_value_parse (data, size, NULL);
  if (*body == NULL)
    {
      g_info ("malformed reply body method=%s", soup_message_get_method (message));
      return 0;
    }
  return soup_message_get_status (message);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (HttpCall) call = data;
  MhHttpClient *client = call->client;
  guint64 id = call->id;
  g_autoptr (MhValue) body = NULL;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  guint status = read_response (call->message, bytes, &body);
  g_clear_pointer (&call, http_call_free);
  client->response_func (id, status, body, client->user_data);
}

/* Returns NULL when the request's endpoint is not a valid address. */
static SoupMessage *
message_new (const MhHttpClient *client, const MhRequest *request)
{
  g_autofree char *url = g_strconcat ("http://", get_host (client, request), request->path, NULL);
  SoupMessage *message = soup_message_new (request->method, url);
  if (message == NULL)
    {
      g_info ("request has an invalid address url=%s", url);
      return NULL;
    }
  if (request->body)
    {
      g_autoptr (GBytes) bytes = mh_value_serialize (request->body);
      soup_message_set_request_body_from_bytes (message, CBOR_MEDIA_TYPE, bytes);
    }
  /* Seconds pass before the next command to the same worker, and each iteration of the main loop
     would check the idle connection until then. */
  if (request->target == MH_TARGET_WORKER)
    soup_message_headers_append (soup_message_get_request_headers (message), "Connection", "close");
  return message;
}

void
mh_http_client_send (MhHttpClient *client, guint64 id, const MhRequest *request, gint64 timeout_us)
{
  g_return_if_fail (client != NULL && request != NULL);
  SoupMessage *message = message_new (client, request);
  if (message == NULL)
    {
      client->response_func (id, 0, NULL, client->user_data);
      return;
    }
  HttpCall *call = g_new0 (HttpCall, 1);
  call->client = client;
  call->id = id;
  call->message = message;
  call->cancellable = g_cancellable_new ();
  call->timeout_source = g_timeout_add_full (
      MH_PRIORITY_CALL_TIMEOUT, (guint)(timeout_us / MH_MILLISECOND_US), on_timeout, call, NULL);
  SoupSession *session
      = request->target == MH_TARGET_WORKER ? get_worker_session (client) : client->session;
  soup_session_send_and_read_async (session, message, MH_PRIORITY_CALL, call->cancellable,
                                    on_response, call);
}
