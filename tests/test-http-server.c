/* Connections of users and workers, with the HTTP server alone on loopback. */
#include "free-address.h"
#include "protocol/route.h"
#include "server/http-server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_CONNECTIONS 10u
#define RESPONSE_SIZE 1024u
#define OK 200u
#define NOT_FOUND 404u
#define WAIT_ITERATIONS 200u
#define ITERATION_US 5000
#define UNREAD_US 50000u
/* The shares of MAX_CONNECTIONS within which workers and users keep theirs, and which are accepted.
 */
#define WORKERS_KEPT 6u
#define ACCEPTED 9u
#define LEAVING_CLIENTS 10000u
#define CLIENTS_AT_ONCE 4u
/* Requests of this job are answered only by answer_pending(). */
#define SLOW_JOB "j-000002"
#define STATUS_REQUEST(job) "GET /submissions/" job " HTTP/1.1\r\nHost: node\r\n\r\n"
/* A worker without tasks, as CBOR: {"box":"a","endpoint":"b","rack":"c","hall":"d","tenure":1,
   "tick":1,"epoch":0}. */
#define HEARTBEAT                                                                                  \
  "\xa7\x63"                                                                                       \
  "box\x61"                                                                                        \
  "a\x68"                                                                                          \
  "endpoint\x61"                                                                                   \
  "b\x64"                                                                                          \
  "rack\x61"                                                                                       \
  "c\x64"                                                                                          \
  "hall\x61"                                                                                       \
  "d\x66"                                                                                          \
  "tenure\x01\x64"                                                                                 \
  "tick\x01\x65"                                                                                   \
  "epoch\x00"

typedef struct
{
  MhPendingRequests *requests;
  MhHttpServer *server;
  GSocketAddress *address;
  bool not_ready;
  GArray *pending; /* guint64, ids of requests for SLOW_JOB */
} Fixture;

static bool
is_ready (gpointer data)
{
  const Fixture *fixture = data;
  return !fixture->not_ready;
}

static void
on_user_request (const MhPendingRequest *request, MhJobSpec *spec, gpointer data)
{
  const Fixture *fixture = data;
  const MhUserResponse response = { .status = NOT_FOUND };
  (void)spec;
  if (g_strcmp0 (request->job, SLOW_JOB) == 0)
    {
      g_array_append_val (fixture->pending, request->id);
      return;
    }
  mh_http_server_respond_to_user (fixture->server, request, &response);
  mh_pending_requests_remove (fixture->requests, request->id);
}

static void
on_heartbeat (const MhPendingRequest *request, const MhHeartbeat *heartbeat, gpointer data)
{
  const Fixture *fixture = data;
  (void)heartbeat;
  mh_http_server_respond_to_heartbeat (fixture->server, request, OK, NULL);
  mh_pending_requests_remove (fixture->requests, request->id);
}

static void
answer_pending (Fixture *fixture)
{
  const MhUserResponse response = { .status = NOT_FOUND };
  for (guint i = 0; i < fixture->pending->len; i++)
    {
      guint64 id = g_array_index (fixture->pending, guint64, i);
      mh_http_server_respond_to_user (
          fixture->server, mh_pending_requests_lookup (fixture->requests, id), &response);
      mh_pending_requests_remove (fixture->requests, id);
    }
  g_array_set_size (fixture->pending, 0);
}

static void
set_up (Fixture *fixture, gconstpointer data)
{
  static const MhHttpServerHandlers handlers
      = { .is_ready = is_ready, .user_request = on_user_request, .heartbeat = on_heartbeat };
  g_autoptr (GError) error = NULL;
  (void)data;
  fixture->requests = mh_pending_requests_new ();
  fixture->pending = g_array_new (FALSE, FALSE, sizeof (guint64));
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
  g_array_unref (fixture->pending);
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

/* ---- the ends of connections ---- */

static void
send_text (GSocket *client, const char *text)
{
  g_assert_cmpint (g_socket_send (client, text, strlen (text), NULL, NULL), ==,
                   (gssize)strlen (text));
}

static void
assert_response (GSocket *client, const char *expected_start)
{
  g_autofree char *response = receive (client);
  g_assert_nonnull (response);
  g_assert_true (g_str_has_prefix (response, expected_start));
}

static void
wait_for_connections (const Fixture *fixture, guint expected)
{
  for (guint i = 0;
       i < WAIT_ITERATIONS && mh_http_server_count_connections (fixture->server) != expected; i++)
    iterate ();
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), ==, expected);
}

typedef enum
{
  LEAVE_BY_CLOSE,
  LEAVE_BY_HALF_CLOSE,
  LEAVE_BY_RESET,
  WAYS_TO_LEAVE
} WayToLeave;

static void
leave (GSocket *client, WayToLeave way)
{
  const struct linger reset_on_close = { .l_onoff = 1 };
  if (way == LEAVE_BY_HALF_CLOSE)
    {
      g_assert_true (g_socket_shutdown (client, FALSE, TRUE, NULL));
      return;
    }
  if (way == LEAVE_BY_RESET)
    setsockopt (g_socket_get_fd (client), SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
  g_assert_true (g_socket_close (client, NULL));
}

/* Guards against connections that stay open for ever because the end of an idle client is not
   noticed, for each way in which clients end. */
static void
test_idle_client_leaves (Fixture *fixture, gconstpointer data)
{
  (void)data;
  for (guint way = 0; way < WAYS_TO_LEAVE; way++)
    for (guint requests = 0; requests < 3; requests++)
      {
        g_autoptr (GSocket) client = connect_client (fixture);
        wait_for_connections (fixture, 1);
        for (guint i = 0; i < requests; i++)
          g_free (ask (client));
        leave (client, way);
        wait_for_connections (fixture, 0);
      }
}

/* Guards against a connection that is kept when its client ends while the request is processed. */
static void
test_client_leaves_before_response (Fixture *fixture, gconstpointer data)
{
  (void)data;
  for (guint way = 0; way < WAYS_TO_LEAVE; way++)
    {
      g_autoptr (GSocket) client = connect_client (fixture);
      send_text (client, STATUS_REQUEST (SLOW_JOB));
      for (guint i = 0; i < WAIT_ITERATIONS && fixture->pending->len == 0; i++)
        iterate ();
      g_assert_cmpuint (fixture->pending->len, ==, 1);
      leave (client, way);
      iterate ();
      answer_pending (fixture);
      wait_for_connections (fixture, 0);
    }
}

static guint
count_descriptors (void)
{
  guint count = 0;
  g_autoptr (GDir) directory = g_dir_open ("/proc/self/fd", 0, NULL);
  while (g_dir_read_name (directory))
    count++;
  return count;
}

static void
iterate_without_pause (guint iterations)
{
  for (guint i = 0; i < iterations; i++)
    g_main_context_iteration (NULL, FALSE);
}

/* Some of the clients leave before the response, some with a request that is not complete. */
static void
let_clients_come_and_leave (const Fixture *fixture, guint round)
{
  g_autoptr (GPtrArray) clients = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < CLIENTS_AT_ONCE; i++)
    {
      GSocket *client = connect_client (fixture);
      g_ptr_array_add (clients, client);
      send_text (client, (round + i) % 5 ? STATUS_REQUEST ("j-000001") : "GET /sub");
    }
  iterate_without_pause (round % 7);
  for (guint i = 0; i < CLIENTS_AT_ONCE; i++)
    leave (g_ptr_array_index (clients, i), (round + i) % WAYS_TO_LEAVE);
  wait_for_connections (fixture, 0);
}

/* Guards against sockets that are lost one by one over the life of a controller. */
static void
test_many_clients_leave (Fixture *fixture, gconstpointer data)
{
  (void)data;
  guint descriptors = count_descriptors ();
  for (guint round = 0; round < LEAVING_CLIENTS / CLIENTS_AT_ONCE; round++)
    let_clients_come_and_leave (fixture, round);
  wait_for_connections (fixture, 0);
  g_assert_cmpuint (mh_pending_requests_get_backlog (fixture->requests).waiting, ==, 0);
  g_assert_cmpuint (count_descriptors (), ==, descriptors);
}

/* Returns the server's end of the connection; both ends are in this process. */
static int
find_accepted_descriptor (GSocket *client)
{
  struct sockaddr_in local, peer;
  socklen_t size = sizeof local;
  getsockname (g_socket_get_fd (client), (struct sockaddr *)&local, &size);
  for (int descriptor = 0; descriptor < 1000; descriptor++)
    {
      size = sizeof peer;
      if (getpeername (descriptor, (struct sockaddr *)&peer, &size) == 0
          && peer.sin_port == local.sin_port)
        return descriptor;
    }
  return -1;
}

static int
get_socket_option (int descriptor, int level, int option)
{
  int value = 0;
  socklen_t size = sizeof value;
  g_assert_cmpint (getsockopt (descriptor, level, option, &value, &size), ==, 0);
  return value;
}

/* Guards against connections that stay open for ever after a partition, in which the client has
   ended without a packet: the kernel has to find that out within two minutes. */
static void
test_silent_client_is_probed (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  wait_for_connections (fixture, 1);
  int accepted = find_accepted_descriptor (client);
  g_assert_cmpint (accepted, >=, 0);
  g_assert_cmpint (get_socket_option (accepted, SOL_SOCKET, SO_KEEPALIVE), ==, 1);
  int probing_s = get_socket_option (accepted, IPPROTO_TCP, TCP_KEEPIDLE)
                  + get_socket_option (accepted, IPPROTO_TCP, TCP_KEEPINTVL)
                        * get_socket_option (accepted, IPPROTO_TCP, TCP_KEEPCNT);
  g_assert_cmpint (probing_s, <=, 120);
  int unacknowledged_ms = get_socket_option (accepted, IPPROTO_TCP, TCP_USER_TIMEOUT);
  g_assert_cmpint (unacknowledged_ms, >, 0);
  g_assert_cmpint (unacknowledged_ms, <=, 120000);
}

/* ---- which connections are closed ---- */

static char *
send_heartbeat (GSocket *client)
{
  g_autofree char *header
      = g_strdup_printf ("POST /hello HTTP/1.1\r\nHost: node\r\nContent-Length: %u\r\n\r\n",
                         (guint)(sizeof HEARTBEAT - 1));
  send_text (client, header);
  g_assert_cmpint (g_socket_send (client, HEARTBEAT, sizeof HEARTBEAT - 1, NULL, NULL), >, 0);
  return receive (client);
}

/* Guards against a response that closes the connection without saying so, and against one that says
   so and does not close. */
static void
assert_closed_as_announced (const Fixture *fixture, GSocket *client, const char *response,
                            guint remaining_connections)
{
  g_assert_nonnull (strstr (response, "\r\nConnection: close\r\n"));
  g_autofree char *end = receive (client);
  g_assert_cmpstr (end, ==, "");
  g_assert_true (g_socket_close (client, NULL));
  wait_for_connections (fixture, remaining_connections);
}

static GPtrArray *
connect_clients (const Fixture *fixture, guint count)
{
  GPtrArray *clients = g_ptr_array_new_with_free_func (g_object_unref);
  for (guint i = 0; i < count; i++)
    g_ptr_array_add (clients, connect_client (fixture));
  wait_for_connections (fixture, count);
  return clients;
}

/* Guards against workers that take the connections of users: near the limit those of workers are
   closed first, and a worker below it keeps its one. */
static void
test_workers_closed_before_users (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GPtrArray) clients = connect_clients (fixture, WORKERS_KEPT);
  GSocket *worker = g_ptr_array_index (clients, 0);
  for (guint i = 0; i < 2; i++)
    {
      g_autofree char *kept = send_heartbeat (worker);
      g_assert_true (g_str_has_prefix (kept, "HTTP/1.1 200"));
      g_assert_null (strstr (kept, "Connection: close"));
    }
  g_autoptr (GSocket) user = connect_client (fixture);
  g_autofree char *first = ask (user);
  g_assert_null (strstr (first, "Connection: close"));
  g_autofree char *response = send_heartbeat (worker);
  assert_closed_as_announced (fixture, worker, response, WORKERS_KEPT);
  g_autofree char *second = ask (user);
  g_assert_true (g_str_has_prefix (second, "HTTP/1.1 404"));
}

/* Guards against more open connections than allowed, and against a user who finds no room once
   others have been closed. */
static void
test_connection_limit (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GPtrArray) clients = connect_clients (fixture, ACCEPTED);
  g_autoptr (GSocket) waiting = connect_client (fixture);
  send_text (waiting, STATUS_REQUEST ("j-000001"));
  for (guint i = 0; i < 10; i++)
    iterate ();
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), ==, ACCEPTED);
  GSocket *user = g_ptr_array_index (clients, 0);
  g_autofree char *response = ask (user);
  g_assert_nonnull (strstr (response, "\r\nConnection: close\r\n"));
  assert_response (waiting, "HTTP/1.1 404");
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), <=, ACCEPTED);
}

/* Guards against users who stay with a controller that is no longer ready. */
static void
test_not_ready_closes_connections (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) user = connect_client (fixture);
  g_autofree char *first = ask (user);
  g_assert_null (strstr (first, "Connection: close"));
  fixture->not_ready = true;
  g_autofree char *second = ask (user);
  assert_closed_as_announced (fixture, user, second, 0);
  g_autoptr (GSocket) probe = connect_client (fixture);
  send_text (probe, "GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
  assert_response (probe, "HTTP/1.1 503");
}

/* Guards against a controller that does not know that requests wait to be read, and takes its own
   lateness for silence. */
static void
test_unread_input_is_known (Fixture *fixture, gconstpointer data)
{
  (void)data;
  iterate ();
  gint64 connected_us = g_get_monotonic_time ();
  g_autoptr (GSocket) client = connect_client (fixture);
  send_text (client, STATUS_REQUEST ("j-000001"));
  g_usleep (UNREAD_US);
  g_assert_cmpint (mh_http_server_get_input_read_us (fixture->server), <=, connected_us);
  g_assert_true (g_main_context_iteration (NULL, FALSE)); /* finds the connection waiting */
  g_assert_cmpint (mh_http_server_get_input_read_us (fixture->server), <=, connected_us);
  assert_response (client, "HTTP/1.1 404");
  gint64 answered_us = g_get_monotonic_time ();
  iterate ();
  g_assert_cmpint (mh_http_server_get_input_read_us (fixture->server), >=, answered_us);
}

/* ---- bad input ---- */

/* Guards against a request that is never completed and keeps others from being answered. */
static void
test_incomplete_request_holds_one_connection (Fixture *fixture, gconstpointer data)
{
  static const char header[]
      = "POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: 9\r\n\r\n";
  (void)data;
  g_autoptr (GSocket) slow = connect_client (fixture);
  g_autoptr (GSocket) user = connect_client (fixture);
  for (guint i = 0; i < strlen (header); i++)
    {
      g_socket_send (slow, header + i, 1, NULL, NULL);
      if (i % 20 == 0)
        g_free (ask (user));
    }
  g_autofree char *response = ask (user);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 404"));
  send_text (slow, "malformed");
  assert_response (slow, "HTTP/1.1 400");
}

static void
receive_until_closed (GSocket *client, GString *responses)
{
  for (bool open = true; open;)
    {
      g_autofree char *response = receive (client);
      g_assert_nonnull (response);
      g_string_append (responses, response);
      open = *response != '\0';
    }
}

/* Guards against the rest of a refused request that is taken for the next request. */
static void
test_refused_request_ends_connection (Fixture *fixture, gconstpointer data)
{
  static const char *const malformed[]
      = { "nonsense\r\n\r\n", "GET\r\n\r\n", "GET /ready HTTP/9.9\r\nHost: node\r\n\r\n",
          "GET /ready HTTP/1.1\r\nno colon\r\n\r\n",
          "POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: many\r\n\r\n" };
  (void)data;
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      g_autoptr (GSocket) client = connect_client (fixture);
      g_autofree char *text = g_strconcat (malformed[i], STATUS_REQUEST ("j-000001"), NULL);
      send_text (client, text);
      g_autoptr (GString) responses = g_string_new (NULL);
      receive_until_closed (client, responses);
      g_assert_null (strstr (responses->str, "HTTP/1.1 404"));
      wait_for_connections (fixture, 0);
    }
}

/* Guards against a body over the limit that is kept in memory, and against a connection that goes
   on in the middle of it. */
static void
test_too_large_request (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  g_autofree char *body = g_strnfill (MH_MAX_BODY_SIZE + 1, 'x');
  g_autofree char *header
      = g_strdup_printf ("POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: %u\r\n\r\n",
                         (guint)strlen (body));
  send_text (client, header);
  for (gsize sent = 0; sent < strlen (body);)
    {
      gssize size = g_socket_send (client, body + sent, strlen (body) - sent, NULL, NULL);
      sent += size > 0 ? (gsize)size : 0;
      iterate ();
    }
  g_autofree char *response = receive (client);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 413"));
  assert_closed_as_announced (fixture, client, response, 0);
}

/* Guards against a connection that is closed, or stuck, after a request that no route takes. */
static void
test_unknown_requests_keep_connection (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  send_text (client, "GET /nothing HTTP/1.1\r\nHost: node\r\n\r\n");
  assert_response (client, "HTTP/1.1 404");
  send_text (client, "BREW /submissions/j-000001 HTTP/1.1\r\nHost: node\r\n\r\n");
  assert_response (client, "HTTP/1.1 405");
  g_autofree char *response = ask (client);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 404"));
  g_assert_cmpuint (mh_http_server_count_connections (fixture->server), ==, 1);
}

/* Guards against responses that are mixed up when a client sends requests before it has the
   response to the first one: they are given in the order of the requests. */
static void
test_pipelined_requests (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  send_text (client, STATUS_REQUEST (SLOW_JOB) "GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
  for (guint i = 0; i < 10; i++)
    iterate ();
  char byte;
  g_assert_cmpint (g_socket_receive (client, &byte, 1, NULL, NULL), <, 0);
  answer_pending (fixture);
  g_autoptr (GString) responses = g_string_new (NULL);
  while (strstr (responses->str, "HTTP/1.1 200") == NULL)
    {
      g_autofree char *response = receive (client);
      g_assert_nonnull (response);
      g_assert_cmpstr (response, !=, "");
      g_string_append (responses, response);
    }
  g_assert_true (g_str_has_prefix (responses->str, "HTTP/1.1 404"));
}

/* Guards against a server that cannot be stopped while requests are pending. */
static void
test_stop_with_pending_request (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GSocket) client = connect_client (fixture);
  send_text (client, STATUS_REQUEST (SLOW_JOB));
  for (guint i = 0; i < WAIT_ITERATIONS && fixture->pending->len == 0; i++)
    iterate ();
  g_assert_cmpuint (fixture->pending->len, ==, 1);
}

static void
add_test (const char *path, void (*test) (Fixture *fixture, gconstpointer data))
{
  g_test_add (path, Fixture, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_test ("/http-server/connection-closed-after-response", test_connection_closed_after_response);
  add_test ("/http-server/idle-client-leaves", test_idle_client_leaves);
  add_test ("/http-server/client-leaves-before-response", test_client_leaves_before_response);
  add_test ("/http-server/many-clients-leave", test_many_clients_leave);
  add_test ("/http-server/silent-client-is-probed", test_silent_client_is_probed);
  add_test ("/http-server/workers-closed-before-users", test_workers_closed_before_users);
  add_test ("/http-server/connection-limit", test_connection_limit);
  add_test ("/http-server/not-ready-closes-connections", test_not_ready_closes_connections);
  add_test ("/http-server/unread-input-is-known", test_unread_input_is_known);
  add_test ("/http-server/incomplete-request-holds-one-connection",
            test_incomplete_request_holds_one_connection);
  add_test ("/http-server/refused-request-ends-connection", test_refused_request_ends_connection);
  add_test ("/http-server/too-large-request", test_too_large_request);
  add_test ("/http-server/unknown-requests-keep-connection", test_unknown_requests_keep_connection);
  add_test ("/http-server/pipelined-requests", test_pipelined_requests);
  add_test ("/http-server/stop-with-pending-request", test_stop_with_pending_request);
  return g_test_run ();
}
