/* The modules of the server layer, each tested separately on loopback. */
#include "base/time-units.h"
#include "server/http-client.h"
#include "server/log-output.h"
#include "server/peer-connection.h"
#include "server/request-forwarder.h"
#include "server/socket-address.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Guards against an address that is parsed wrongly: the controller would listen on another one or
   on none. */
static void
test_socket_address (void)
{
  static const char *const invalid_addresses[]
      = { "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:", "node-0:80", ":80" };
  g_autoptr (GSocketAddress) address = mh_socket_address_parse ("10.0.0.1:8080");
  g_assert_cmpuint (g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)), ==, 8080);
  for (guint i = 0; i < G_N_ELEMENTS (invalid_addresses); i++)
    g_assert_null (mh_socket_address_parse (invalid_addresses[i]));
}

/* ---- HTTP client ---- */

typedef struct
{
  SoupServer *server;
  char *endpoint;
  MhHttpClient *client;
  guint responses;
  guint64 id;
  guint status;
  bool has_body;
} ClientFixture;

static void
on_response (guint64 id, guint status, const MhValue *body, gpointer data)
{
  ClientFixture *fixture = data;
  fixture->responses++;
  fixture->id = id;
  fixture->status = status;
  fixture->has_body = body != NULL;
}

static void
handle_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
                gpointer data)
{
  (void)server;
  (void)query;
  (void)data;
  if (strcmp (path, "/silent") == 0)
    {
      soup_server_message_pause (message);
      return;
    }
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  if (strcmp (path, "/number") == 0)
    soup_server_message_set_response (message, "application/cbor", SOUP_MEMORY_STATIC, "\x01", 1);
  else if (strcmp (path, "/malformed") == 0)
    soup_server_message_set_response (message, "application/cbor", SOUP_MEMORY_STATIC, "\x81", 1);
}

static void
client_set_up (ClientFixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GError) error = NULL;
  fixture->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (fixture->server, NULL, handle_request, NULL, NULL);
  soup_server_listen_local (fixture->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
  g_assert_no_error (error);
  GSList *uris = soup_server_get_uris (fixture->server);
  fixture->endpoint = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  const MhHttpEndpoints endpoints = { fixture->endpoint, fixture->endpoint };
  fixture->client = mh_http_client_new (&endpoints, on_response, fixture);
}

static void
client_tear_down (ClientFixture *fixture, gconstpointer data)
{
  (void)data;
  mh_http_client_free (fixture->client);
  soup_server_disconnect (fixture->server);
  g_object_unref (fixture->server);
  g_free (fixture->endpoint);
}

/* Sends one request to a worker and waits for its response. */
static void
send_and_wait (ClientFixture *fixture, guint64 id, const char *endpoint, const char *path,
               gint64 timeout_us)
{
  MhRequest request = {
    .target = MH_TARGET_WORKER, .method = "GET", .endpoint = (char *)endpoint, .path = (char *)path
  };
  guint responses = fixture->responses;
  mh_http_client_send (fixture->client, id, &request, timeout_us);
  while (fixture->responses == responses)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (fixture->responses, ==, responses + 1);
  g_assert_cmpuint (fixture->id, ==, id);
}

/* Guards against a lost response, which would leave its call pending for ever, and against a
   malformed response that is handled as an empty one. */
static void
test_client_responses (ClientFixture *fixture, gconstpointer data)
{
  (void)data;
  send_and_wait (fixture, 1, fixture->endpoint, "/empty", 10 * MH_SECOND_US);
  g_assert_cmpuint (fixture->status, ==, 200);
  g_assert_false (fixture->has_body);
  send_and_wait (fixture, 2, fixture->endpoint, "/number", 10 * MH_SECOND_US);
  g_assert_cmpuint (fixture->status, ==, 200);
  g_assert_true (fixture->has_body);
  send_and_wait (fixture, 3, fixture->endpoint, "/malformed", 10 * MH_SECOND_US);
  g_assert_cmpuint (fixture->status, ==, 0);
  g_assert_false (fixture->has_body);
}

/* Without a response with status 0 the controller would wait for a worker that no longer exists. */
static void
test_client_without_response (ClientFixture *fixture, gconstpointer data)
{
  (void)data;
  send_and_wait (fixture, 1, fixture->endpoint, "/silent", MH_SECOND_US / 10);
  g_assert_cmpuint (fixture->status, ==, 0);
  send_and_wait (fixture, 2, "127.0.0.1:1", "/number", 10 * MH_SECOND_US);
  g_assert_cmpuint (fixture->status, ==, 0);
  send_and_wait (fixture, 3, "not an address", "/number", 10 * MH_SECOND_US);
  g_assert_cmpuint (fixture->status, ==, 0);
}

/* The session for workers is replaced after a number of calls; no call may be lost with it. */
static void
test_client_worker_session_replacement (ClientFixture *fixture, gconstpointer data)
{
  (void)data;
  for (guint i = 1; i <= 70; i++)
    {
      send_and_wait (fixture, i, fixture->endpoint, "/number", 10 * MH_SECOND_US);
      g_assert_cmpuint (fixture->status, ==, 200);
    }
}

/* ---- connections between controllers ---- */

typedef struct
{
  GSocketListener *listener;
  MhPeerConnection *connected, *accepted; /* NULL: closed */
  GSocketConnection *socket;              /* of `accepted` */
  guint announcements, closed;
  guint64 epoch;
  bool close_on_message;
  MhRequestForwarder *forwarder; /* NULL: responses are not expected */
} PeerFixture;

static void
on_message (MhPeerConnection *connection, const MhControllerMessage *message, gpointer data)
{
  PeerFixture *fixture = data;
  if (fixture->forwarder && message->kind == MH_CONTROLLER_RESPONSE)
    {
      mh_request_forwarder_handle_response (fixture->forwarder, connection, message);
      return;
    }
  if (fixture->forwarder && message->kind == MH_CONTROLLER_REQUEST)
    return;
  g_assert_cmpint (message->kind, ==, MH_CONTROLLER_ANNOUNCEMENT);
  g_assert_cmpstr (message->node, ==, "node-1");
  fixture->announcements++;
  fixture->epoch = message->epoch;
  if (fixture->close_on_message)
    mh_peer_connection_close (connection);
}

static void
on_closed (MhPeerConnection *connection, gpointer data)
{
  PeerFixture *fixture = data;
  g_assert_true (connection == fixture->connected || connection == fixture->accepted);
  if (connection == fixture->connected)
    fixture->connected = NULL;
  else
    fixture->accepted = NULL;
  fixture->closed++;
}

static const MhPeerHandlers handlers = { .message = on_message, .closed = on_closed };

static void
iterate_until_closed (PeerFixture *fixture, guint closed)
{
  while (fixture->closed < closed)
    g_main_context_iteration (NULL, TRUE);
}

static void
peer_set_up (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GError) error = NULL;
  fixture->listener = g_socket_listener_new ();
  guint16 port = g_socket_listener_add_any_inet_port (fixture->listener, NULL, &error);
  g_assert_no_error (error);
  g_autofree char *text = g_strdup_printf ("127.0.0.1:%u", port);
  g_autoptr (GSocketAddress) address = mh_socket_address_parse (text);
  fixture->connected = mh_peer_connection_connect ("node-0", address, &handlers, fixture);
  g_assert_cmpstr (mh_peer_connection_get_node (fixture->connected), ==, "node-0");
}

static void
on_accepted (GObject *source, GAsyncResult *result, gpointer data)
{
  PeerFixture *fixture = data;
  g_autoptr (GError) error = NULL;
  fixture->socket
      = g_socket_listener_accept_finish (G_SOCKET_LISTENER (source), result, NULL, &error);
  g_assert_no_error (error);
}

static void
accept_peer (PeerFixture *fixture)
{
  g_socket_listener_accept_async (fixture->listener, NULL, on_accepted, fixture);
  while (fixture->socket == NULL)
    g_main_context_iteration (NULL, TRUE);
  fixture->accepted = mh_peer_connection_accept (fixture->socket, &handlers, fixture);
  g_assert_null (mh_peer_connection_get_node (fixture->accepted));
}

static void
peer_tear_down (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  if (fixture->connected)
    mh_peer_connection_close (fixture->connected);
  if (fixture->accepted)
    mh_peer_connection_close (fixture->accepted);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_clear_object (&fixture->socket);
  g_object_unref (fixture->listener);
}

/* Guards against messages that are lost or reordered when they are sent before the connection is
   established. */
static void
test_peer_messages_before_connected (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  for (guint64 epoch = 1; epoch <= 3; epoch++)
    mh_peer_connection_send (fixture->connected,
                             mh_controller_announcement_encode ("node-1", epoch));
  g_assert_true (mh_peer_connection_has_queued_output (fixture->connected));
  accept_peer (fixture);
  while (fixture->announcements < 3)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (fixture->epoch, ==, 3);
  g_assert_false (mh_peer_connection_has_queued_output (fixture->connected));
  g_assert_cmpuint (fixture->closed, ==, 0);
}

/* A handler that closes its connection must not be called with messages that were received after
   the one that it handles. */
static void
test_peer_closed_by_handler (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->close_on_message = true;
  mh_peer_connection_send (fixture->connected, mh_controller_announcement_encode ("node-1", 1));
  mh_peer_connection_send (fixture->connected, mh_controller_announcement_encode ("node-1", 2));
  accept_peer (fixture);
  iterate_until_closed (fixture, 1);
  g_assert_null (fixture->accepted);
  g_assert_cmpuint (fixture->announcements, ==, 1);
}

/* A malformed record must close the connection, since the start of the next record cannot be found
   in the stream. */
static void
test_peer_malformed_record (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GError) error = NULL;
  accept_peer (fixture);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (fixture->socket));
  guint8 record[64];
  memset (record, 0xff, sizeof record);
  g_assert_true (g_output_stream_write_all (output, record, sizeof record, NULL, NULL, &error));
  iterate_until_closed (fixture, 1);
  g_assert_null (fixture->connected);
  g_assert_cmpuint (fixture->announcements, ==, 0);
}

/* If the closing of a connection were not detected, users' requests that were forwarded over it
   would wait until their time-out. */
static void
test_peer_closed_by_other_side (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  accept_peer (fixture);
  mh_peer_connection_close (fixture->accepted);
  g_clear_object (&fixture->socket);
  iterate_until_closed (fixture, 2);
  g_assert_null (fixture->connected);
}

static int
get_socket_option (GSocket *socket, int level, int option)
{
  int value = 0;
  g_assert_true (g_socket_get_option (socket, level, option, &value, NULL));
  return value;
}

/* Guards against connections of a controller that has ended without a packet, which would stay open
   for ever: the kernel has to find that out within two minutes. */
static void
test_peer_silent_is_probed (PeerFixture *fixture, gconstpointer data)
{
  (void)data;
  accept_peer (fixture);
  GSocket *socket = g_socket_connection_get_socket (fixture->socket);
  g_assert_cmpint (get_socket_option (socket, SOL_SOCKET, SO_KEEPALIVE), ==, 1);
  g_assert_cmpint (get_socket_option (socket, IPPROTO_TCP, TCP_KEEPIDLE)
                       + get_socket_option (socket, IPPROTO_TCP, TCP_KEEPINTVL)
                             * get_socket_option (socket, IPPROTO_TCP, TCP_KEEPCNT),
                   <=, 120);
}

/* ---- requests between controllers ---- */

/* A user's request that is forwarded over the fixture's outgoing connection. */
typedef struct
{
  PeerFixture peer; /* the peer handlers get the address of this member */
  MhPendingRequests *requests;
  MhRequestForwarder *forwarder;
  MhPendingRequest *request;
  guint outcomes;
  guint status; /* of the last outcome; 0: no response */
} ForwardFixture;

static void
on_outcome (guint64 id, const MhUserResponse *response, gpointer data)
{
  ForwardFixture *fixture = data;
  g_assert_cmpuint (id, ==, fixture->request->id);
  fixture->outcomes++;
  fixture->status = response ? response->status : 0;
}

static void
forward_set_up (ForwardFixture *fixture, gconstpointer data)
{
  peer_set_up (&fixture->peer, data);
  fixture->requests = mh_pending_requests_new ();
  fixture->forwarder = mh_request_forwarder_new (fixture->requests, on_outcome, fixture);
  fixture->request = mh_pending_requests_add_forwarded (fixture->requests, NULL, 0);
  fixture->request->verb = MH_USER_STATUS;
  fixture->request->job = g_strdup ("j-000001");
}

static void
forward_tear_down (ForwardFixture *fixture, gconstpointer data)
{
  mh_request_forwarder_free (fixture->forwarder);
  mh_pending_requests_free (fixture->requests);
  peer_tear_down (&fixture->peer, data);
}

/* A response must be ignored if it arrives on another connection than the one that its request was
   forwarded over: it may answer a request that was sent under the same id before a restart. */
static void
test_forward_response (ForwardFixture *fixture, gconstpointer data)
{
  (void)data;
  MhPeerConnection *connection = fixture->peer.connected;
  MhControllerMessage response = { .kind = MH_CONTROLLER_RESPONSE,
                                   .id = fixture->request->id,
                                   .response = { .status = 200 } };
  mh_request_forwarder_send (fixture->forwarder, fixture->request, connection, 60 * MH_SECOND_US);
  accept_peer (&fixture->peer);
  mh_request_forwarder_handle_response (fixture->forwarder, fixture->peer.accepted, &response);
  g_assert_cmpuint (fixture->outcomes, ==, 0);
  mh_request_forwarder_handle_response (fixture->forwarder, connection, &response);
  g_assert_cmpuint (fixture->outcomes, ==, 1);
  g_assert_cmpuint (fixture->status, ==, 200);
  mh_request_forwarder_handle_response (fixture->forwarder, connection, &response);
  g_assert_cmpuint (fixture->outcomes, ==, 1);
}

/* Guards against a user's request that waits for ever for a controller that hangs; the connection
   must close too, or the next request would wait as well. */
static void
test_forward_timeout (ForwardFixture *fixture, gconstpointer data)
{
  (void)data;
  mh_request_forwarder_send (fixture->forwarder, fixture->request, fixture->peer.connected,
                             MH_SECOND_US / 20);
  iterate_until_closed (&fixture->peer, 1);
  g_assert_null (fixture->peer.connected);
  g_assert_cmpuint (fixture->outcomes, ==, 1);
  g_assert_cmpuint (fixture->status, ==, 0);
}

/* Guards against a busy main loop that takes a leader for silent whose response waits in the
   socket, and closes the connection under all other forwarded requests. */
static void
test_forward_times_out_despite_response (ForwardFixture *fixture, gconstpointer data)
{
  (void)data;
  const MhUserResponse response = { .status = 200 };
  fixture->peer.forwarder = fixture->forwarder;
  accept_peer (&fixture->peer);
  mh_request_forwarder_send (fixture->forwarder, fixture->request, fixture->peer.connected,
                             MH_SECOND_US / 20);
  mh_peer_connection_send (fixture->peer.accepted,
                           mh_controller_response_encode (fixture->request->id, &response));
  g_usleep (MH_SECOND_US / 10);
  while (fixture->outcomes == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (fixture->status, ==, 200);
  g_assert_nonnull (fixture->peer.connected);
}

/* Guards against requests that stay pending on either side of a connection that was closed. */
static void
test_forward_closed (ForwardFixture *fixture, gconstpointer data)
{
  (void)data;
  MhPeerConnection *connection = fixture->peer.connected;
  const MhControllerMessage message = {
    .kind = MH_CONTROLLER_REQUEST, .id = 7, .verb = MH_USER_CANCEL, .job = (char *)"j-000002"
  };
  MhJobSpec *spec = NULL;
  MhPendingRequest *received
      = mh_request_forwarder_receive (fixture->forwarder, connection, &message, &spec);
  g_assert_null (spec);
  g_assert_cmpstr (received->job, ==, "j-000002");
  g_assert_cmpuint (received->peer_request_id, ==, 7);
  mh_request_forwarder_send (fixture->forwarder, fixture->request, connection, 60 * MH_SECOND_US);
  mh_request_forwarder_handle_closed (fixture->forwarder, connection);
  g_assert_cmpuint (fixture->outcomes, ==, 1);
  g_assert_cmpuint (fixture->status, ==, 0);
  g_assert_null (received->peer);
}

/* A malformed submission must be answered at once and not be passed to the controller. */
static void
test_forward_malformed_submission (ForwardFixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (GBytes) body = g_bytes_new_static ("\x80", 1);
  const MhControllerMessage message = { .kind = MH_CONTROLLER_REQUEST,
                                        .id = 7,
                                        .verb = MH_USER_SUBMIT,
                                        .job = (char *)"j-000002",
                                        .body = body };
  MhJobSpec *spec = NULL;
  g_assert_null (
      mh_request_forwarder_receive (fixture->forwarder, fixture->peer.connected, &message, &spec));
  g_assert_null (spec);
  g_assert_true (mh_peer_connection_has_queued_output (fixture->peer.connected));
}

/* ---- log ---- */

/* The log lines are written in a subprocess, whose standard error is compared. */
static void
test_log_lines (void)
{
  if (g_test_subprocess ())
    {
      mh_log_output_install ();
      mh_log_output_write (G_LOG_LEVEL_WARNING, "node-0", "first 100%");
      mh_log_output_write (G_LOG_LEVEL_INFO, "node-0", "second");
      mh_log_output_write (G_LOG_LEVEL_DEBUG, "node-0", "third");
      g_log_structured ("other", G_LOG_LEVEL_DEBUG, "MESSAGE", "fourth");
      exit (0);
    }
  static const struct
  {
    const char *level, *lines;
  } rows[] = { { "", "error: first 100%\n" },
               { "info", "error: first 100%\ninfo: second\n" },
               { "debug", "error: first 100%\ninfo: second\ndebug: third\n" } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_setenv ("LOG_LEVEL", rows[i].level, TRUE);
      g_test_trap_subprocess (NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
      g_test_trap_assert_passed ();
      g_test_trap_assert_stderr (rows[i].lines);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/server/socket-address", test_socket_address);
  g_test_add ("/server/http-client/responses", ClientFixture, NULL, client_set_up,
              test_client_responses, client_tear_down);
  g_test_add ("/server/http-client/without-response", ClientFixture, NULL, client_set_up,
              test_client_without_response, client_tear_down);
  g_test_add ("/server/http-client/worker-session-replacement", ClientFixture, NULL, client_set_up,
              test_client_worker_session_replacement, client_tear_down);
  g_test_add ("/server/peer-connection/messages-before-connected", PeerFixture, NULL, peer_set_up,
              test_peer_messages_before_connected, peer_tear_down);
  g_test_add ("/server/peer-connection/closed-by-handler", PeerFixture, NULL, peer_set_up,
              test_peer_closed_by_handler, peer_tear_down);
  g_test_add ("/server/peer-connection/malformed-record", PeerFixture, NULL, peer_set_up,
              test_peer_malformed_record, peer_tear_down);
  g_test_add ("/server/peer-connection/silent-peer-is-probed", PeerFixture, NULL, peer_set_up,
              test_peer_silent_is_probed, peer_tear_down);
  g_test_add ("/server/peer-connection/closed-by-other-side", PeerFixture, NULL, peer_set_up,
              test_peer_closed_by_other_side, peer_tear_down);
  g_test_add ("/server/request-forwarder/response", ForwardFixture, NULL, forward_set_up,
              test_forward_response, forward_tear_down);
  g_test_add ("/server/request-forwarder/timeout", ForwardFixture, NULL, forward_set_up,
              test_forward_timeout, forward_tear_down);
  g_test_add ("/server/request-forwarder/time-out-despite-response", ForwardFixture, NULL,
              forward_set_up, test_forward_times_out_despite_response, forward_tear_down);
  g_test_add ("/server/request-forwarder/closed", ForwardFixture, NULL, forward_set_up,
              test_forward_closed, forward_tear_down);
  g_test_add ("/server/request-forwarder/malformed-submission", ForwardFixture, NULL,
              forward_set_up, test_forward_malformed_submission, forward_tear_down);
  g_test_add_func ("/server/log-lines", test_log_lines);
  return g_test_run ();
}
