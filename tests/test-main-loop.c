/* What the main loop does first when it has more to do than time: the process alone, on loopback.
 */
#include "base/time-units.h"
#include "free-address.h"
#include "server/http-client.h"
#include "server/http-server.h"

#include <string.h>

#define MAX_CONNECTIONS 100u
#define BUFFER_SIZE 1024u
#define CALLS 5u
/* Processor time of a request of a user. */
#define REQUEST_US 100000u
/* The time that a leader with a lease of 1 s waits for a renewal. */
#define RENEWAL_TIMEOUT_US (MH_SECOND_US / 3)
#define NOT_FOUND 404u

/* ---- a key-value store that answers at once, in threads of its own ---- */

typedef struct
{
  GSocket *listener;
  GThread *thread;
  GPtrArray *connections; /* GThread; used by `thread` until it ends */
} Store;

static bool
receive_header (GSocket *socket)
{
  g_autoptr (GString) header = g_string_new (NULL);
  while (strstr (header->str, "\r\n\r\n") == NULL)
    {
      char buffer[BUFFER_SIZE];
      gssize size = g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL);
      if (size <= 0)
        return false;
      g_string_append_len (header, buffer, size);
    }
  return true;
}

static gpointer
serve_connection (gpointer data)
{
  static const char response[] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  g_autoptr (GSocket) socket = data;
  while (receive_header (socket))
    g_socket_send (socket, response, strlen (response), NULL, NULL);
  return NULL;
}

static gpointer
accept_connections (gpointer data)
{
  Store *store = data;
  GSocket *socket;
  while ((socket = g_socket_accept (store->listener, NULL, NULL)))
    g_ptr_array_add (store->connections, g_thread_new ("connection", serve_connection, socket));
  return NULL;
}

static void
store_start (Store *store, GSocketAddress *address)
{
  store->listener
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_assert_true (g_socket_bind (store->listener, address, TRUE, NULL));
  g_assert_true (g_socket_listen (store->listener, NULL));
  store->connections = g_ptr_array_new ();
  store->thread = g_thread_new ("store", accept_connections, store);
}

/* Its clients must have closed their connections. */
static void
store_stop (Store *store)
{
  g_socket_shutdown (store->listener, TRUE, TRUE, NULL);
  g_thread_join (store->thread);
  for (guint i = 0; i < store->connections->len; i++)
    g_thread_join (g_ptr_array_index (store->connections, i));
  g_ptr_array_unref (store->connections);
  g_object_unref (store->listener);
}

/* ---- a user who always asks, in a thread of its own ---- */

typedef struct
{
  GSocket *socket;
  GThread *thread;
  gint stopped;
} Asker;

static gpointer
ask_always (gpointer data)
{
  static const char request[] = "GET /submissions/j-000001 HTTP/1.1\r\nHost: node\r\n\r\n";
  Asker *asker = data;
  do
    g_socket_send (asker->socket, request, strlen (request), NULL, NULL);
  while (receive_header (asker->socket) && !g_atomic_int_get (&asker->stopped));
  return NULL;
}

static void
asker_start (Asker *asker, GSocketAddress *address)
{
  g_autoptr (GError) error = NULL;
  asker->socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_connect (asker->socket, address, NULL, &error);
  g_assert_no_error (error);
  asker->thread = g_thread_new ("asker", ask_always, asker);
}

static void
asker_stop (Asker *asker)
{
  g_atomic_int_set (&asker->stopped, true);
  g_socket_shutdown (asker->socket, TRUE, TRUE, NULL);
  g_thread_join (asker->thread);
  g_object_unref (asker->socket);
}

/* ---- the process ---- */

typedef struct
{
  MhPendingRequests *requests;
  MhHttpServer *server;
  MhHttpClient *client;
  char *endpoint; /* of the store */
  Store store;
  Asker asker;
  guint questions, responses, last_status;
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
  Fixture *fixture = data;
  const MhUserResponse response = { .status = NOT_FOUND };
  (void)spec;
  g_usleep (REQUEST_US);
  fixture->questions++;
  mh_http_server_respond_to_user (fixture->server, request, &response);
  mh_pending_requests_remove (fixture->requests, request->id);
}

static void
on_response (guint64 id, guint status, const MhValue *body, gpointer data)
{
  Fixture *fixture = data;
  (void)id;
  (void)body;
  fixture->responses++;
  fixture->last_status = status;
}

static void
set_up (Fixture *fixture, gconstpointer data)
{
  static const MhHttpServerHandlers handlers
      = { .is_ready = is_ready, .user_request = on_user_request };
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) front = find_free_address ();
  g_autoptr (GSocketAddress) store = find_free_address ();
  (void)data;
  fixture->requests = mh_pending_requests_new ();
  fixture->server = mh_http_server_new (fixture->requests, &handlers, fixture);
  mh_http_server_listen (fixture->server, front, MAX_CONNECTIONS, &error);
  g_assert_no_error (error);
  store_start (&fixture->store, store);
  fixture->endpoint = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (store));
  const MhHttpEndpoints endpoints = { fixture->endpoint, fixture->endpoint };
  fixture->client = mh_http_client_new (&endpoints, on_response, fixture);
  asker_start (&fixture->asker, front);
}

static void
tear_down (Fixture *fixture, gconstpointer data)
{
  (void)data;
  asker_stop (&fixture->asker);
  mh_http_client_free (fixture->client);
  store_stop (&fixture->store);
  mh_http_server_free (fixture->server);
  mh_pending_requests_free (fixture->requests);
  g_free (fixture->endpoint);
}

/* The user asks on: the next question waits when this returns. */
static void
wait_for_question (Fixture *fixture)
{
  guint questions = fixture->questions;
  while (fixture->questions == questions)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against a leader that loses its lease because the response to each renewal waits for
   users' requests several times: between the steps of the HTTP client. */
static void
test_requests_delay_renewal (Fixture *fixture, gconstpointer data)
{
  static const MhRequest renewal = { .target = MH_TARGET_KEY_VALUE_STORE,
                                     .method = (char *)"POST",
                                     .path = (char *)"/grants/7" };
  (void)data;
  for (guint i = 1; i <= CALLS; i++)
    {
      wait_for_question (fixture);
      mh_http_client_send (fixture->client, i, &renewal, RENEWAL_TIMEOUT_US);
      while (fixture->responses < i)
        g_main_context_iteration (NULL, TRUE);
      g_assert_cmpuint (fixture->last_status, ==, NOT_FOUND);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/main-loop/requests-delay-renewal", Fixture, NULL, set_up,
              test_requests_delay_renewal, tear_down);
  return g_test_run ();
}
