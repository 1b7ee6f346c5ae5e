#include "server/metrics-server.h"

#include <libsoup/soup.h>
#include <string.h>

#define METRICS_PATH "/metrics"
#define METRICS_MEDIA_TYPE "text/plain; version=0.0.4; charset=utf-8"
/* More connections at a time are closed at once: a scraper needs one. */
#define MAX_CONNECTIONS 4u
/* A connection that has not finished its request by then is closed. */
#define CONNECTION_TIMEOUT_S 5u

struct MhMetricsServer
{
  MhMetricsFunc func;
  gpointer user_data;
  SoupServer *server;
  GSocketService *service;
  guint connections;
};

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  const MhMetricsServer *self = data;
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  (void)server;
  (void)query;
  soup_message_headers_replace (headers, "Connection", "close");
  if (strcmp (path, METRICS_PATH) != 0)
    {
      soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
      return;
    }
  if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    {
      soup_message_headers_replace (headers, "Allow", "GET");
      soup_server_message_set_status (message, SOUP_STATUS_METHOD_NOT_ALLOWED, NULL);
      return;
    }
  char *text = self->func (self->user_data);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, METRICS_MEDIA_TYPE, SOUP_MEMORY_TAKE, text,
                                    strlen (text));
}

static void
on_connection_closed (gpointer data, GObject *connection)
{
  MhMetricsServer *self = data;
  (void)connection;
  self->connections--;
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  MhMetricsServer *self = data;
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  (void)service;
  (void)source;
  if (local == NULL || remote == NULL || self->connections >= MAX_CONNECTIONS)
    return TRUE;
  self->connections++;
  g_object_weak_ref (G_OBJECT (connection), on_connection_closed, self);
  g_socket_set_timeout (g_socket_connection_get_socket (connection), CONNECTION_TIMEOUT_S);
  soup_server_accept_iostream (self->server, G_IO_STREAM (connection), local, remote, NULL);
  return TRUE;
}

MhMetricsServer *
mh_metrics_server_new (GSocketAddress *address, MhMetricsFunc func, gpointer user_data,
                       GError **error)
{
  g_return_val_if_fail (address != NULL && func != NULL, NULL);
  g_autoptr (GSocketService) service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    return NULL;
  MhMetricsServer *self = g_new0 (MhMetricsServer, 1);
  self->func = func;
  self->user_data = user_data;
  self->server = soup_server_new (NULL, NULL);
  self->service = g_steal_pointer (&service);
  soup_server_add_handler (self->server, NULL, on_request, self, NULL);
  g_signal_connect (self->service, "incoming", G_CALLBACK (on_incoming), self);
  return self;
}

void
mh_metrics_server_free (MhMetricsServer *self)
{
  if (self == NULL)
    return;
  g_signal_handlers_disconnect_by_data (self->service, self);
  g_object_unref (self->service);
  soup_server_disconnect (self->server);
  g_object_unref (self->server);
  g_free (self);
}
