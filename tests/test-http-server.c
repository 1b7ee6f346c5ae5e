/* Connections of users and workers, with the HTTP server alone on loopback. */
#include "server/http-server.h"

#include <string.h>

#define MAX_CONNECTIONS 10u
#define RESPONSE_SIZE 1024u
#define NOT_FOUND 404u
#define WAIT_ITERATIONS 200u
#define ITERATION_US 5000

typedef struct
{
  MhPendingRequests *requests;
  MhHttpServer *server;
  GSocketAddress *address;
} Fixture;

static bool
is_ready (gpointer data)
{
  (void)data;
  return true;
}

static void
on_user_request (const MhPendingRequest *request, MhJobSpec *spec, gpointer data)
{
  const Fixture *fixture = data;
  const MhUserResponse response = { .status = NOT_FOUND };
  (void)spec;
  mh_http_server_respond_to_user (fixture->server, request, &response);
  mh_pending_requests_remove (fixture->requests, request->id);
}

static void
on_heartbeat (const MhPendingRequest *request, const MhHeartbeat *heartbeat, gpointer data)
{
  (void)request;
  (void)heartbeat;
  (void)data;
}

static GSocketAddress *
find_free_address (void)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_assert_true (g_socket_bind (socket, any, TRUE, NULL));
  return g_socket_get_local_address (socket, NULL);
}

static void
set_up (Fixture *fixture, gconstpointer data)
{
  static const MhHttpServerHandlers handlers
      = { .is_ready = is_ready, .user_request = on_user_request, .heartbeat = on_heartbeat };
  g_autoptr (GError) error = NULL;
  (void)data;
  fixture->requests = mh_pending_requests_new ();
  fixture->server = mh_http_server_new (fixture->requests, &handlers, fixture);
  fixture->address = find_free_address ();
  mh_http_server_listen (fixture->server, fixture->address, MAX_CONNECTIONS, &error);
  g_assert_no_error (error);
}

static void
tear_down (Fixture *fixture, gconstpointer data)
{
  (void)data;
  mh_http_server_free (fixture->server);
  mh_pending_requests_free (fixture->requests);
  g_object_unref (fixture->address);
}

static GSocket *
connect_client (const Fixture *fixture)
{
  g_autoptr (GError) error = NULL;
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_connect (socket, fixture->address, NULL, &error);
  g_assert_no_error (error);
  g_socket_set_blocking (socket, FALSE);
  return socket;
}

static void
iterate (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  g_usleep (ITERATION_US);
}

/* Returns the response of the server, "" if it has closed the connection, NULL without either. */
static char *
receive (GSocket *client)
{
  char response[RESPONSE_SIZE];
  for (guint i = 0; i < WAIT_ITERATIONS; i++)
    {
      iterate ();
      gssize size = g_socket_receive (client, response, sizeof response, NULL, NULL);
      if (size >= 0)
        return g_strndup (response, (gsize)size);
    }
  return NULL;
}

static char *
ask (GSocket *client)
{
  static const char request[] = "GET /submissions/j-000001 HTTP/1.1\r\nHost: node\r\n\r\n";
  g_socket_send (client, request, strlen (request), NULL, NULL);
  return receive (client);
}

/* Guards against a server that closes each connection after one response, without saying so. */
static void
test_connection_closed_after_response (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  for (guint i = 0; i < 3; i++)
    {
      g_autofree char *response = ask (client);
      g_assert_nonnull (response);
      g_assert_true (g_str_has_prefix (response, "HTTP/1.1 404"));
      g_assert_null (strstr (response, "Connection: close"));
    }
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), ==, 1);
  g_assert_true (g_socket_close (client, NULL));
  for (guint i = 0; i < WAIT_ITERATIONS && mh_http_server_count_connections (fixture->server) > 0;
       i++)
    iterate ();
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/http-server/connection-closed-after-response", Fixture, NULL, set_up,
              test_connection_closed_after_response, tear_down);
  return g_test_run ();
}
