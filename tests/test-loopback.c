/* Three processes of the real program against the stand-ins, over loopback. No test depends on the
   speed of the machine: each step waits for the state that it needs. */
#include "loopback-cluster.h"
#include "protocol/user-messages.h"

#include "protocol/route.h"
#include <libsoup/soup.h>
#include <string.h>
#include <sys/socket.h>

#define NODES LOOPBACK_NODES
#define MAX_CONNECTIONS 60
#define MAX_WAIT_US (120 * MH_SECOND_US)

static const char *program;
static LoopbackCluster *cluster;

/* ---- requests to controllers ---- */

typedef struct
{
  bool done;
  guint status;
  MhValue *body;
  SoupMessage *message;
} Response;

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  Response *response = data;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  gsize size = 0;
  const void *raw = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  response->status = bytes ? soup_message_get_status (response->message) : 0;
  response->body = size ? mh_value_parse (raw, size, NULL) : NULL;
  response->done = true;
}

static guint
send_request (guint node, const char *method, const char *path, GBytes *body, char **state)
{
  Response response = { 0 };
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", cluster->nodes[node].front, path);
  response.message = soup_message_new (method, url);
  if (body)
    soup_message_set_request_body_from_bytes (response.message, "application/cbor", body);
  soup_session_send_and_read_async (cluster->session, response.message, G_PRIORITY_DEFAULT, NULL,
                                    on_response, &response);
  while (!response.done)
    g_main_context_iteration (NULL, TRUE);
  if (state)
    *state = response.body ? mh_value_get_text (response.body, "status") : NULL;
  mh_value_unref (response.body);
  g_object_unref (response.message);
  return response.status;
}

/* Repeats the request until the response has `status` and, unless `state` is NULL, that state. */
static void
send_request_until (guint node, const char *method, const char *path, GBytes *body, guint status,
                    const char *state)
{
  gint64 end_us = g_get_monotonic_time () + MAX_WAIT_US;
  for (;;)
    {
      g_autofree char *got_state = NULL;
      guint got = send_request (node, method, path, body, &got_state);
      if (got == status && (state == NULL || g_strcmp0 (got_state, state) == 0))
        return;
      if (g_get_monotonic_time () > end_us)
        g_error ("%s %s on node %u: got %u %s, expected %u %s", method, path, node, got, got_state,
                 status, state);
      gint64 pause_until_us = g_get_monotonic_time () + 100000;
      while (g_get_monotonic_time () < pause_until_us)
        g_main_context_iteration (NULL, TRUE);
    }
}

static void
wait_for_running_tasks (const char *job, guint tasks)
{
  gint64 end_us = g_get_monotonic_time () + MAX_WAIT_US;
  while (environment_running_tasks (cluster->environment, job) != tasks)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, end_us);
      g_main_context_iteration (NULL, TRUE);
    }
}

static GBytes *
encode_submission (const char *id, const char *team, MhShape shape, guint tasks, gint64 run_us)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup (id);
  spec->class_name = g_strdup ("c");
  spec->team = g_strdup (team);
  spec->image = g_strdup ("img");
  spec->image_gb = 0.1;
  spec->shape = shape;
  spec->priority = MH_PRIORITY_NORMAL;
  spec->tasks = tasks;
  spec->cpus = 1;
  spec->mem_gb = 1;
  spec->estimated_run_us = run_us;
  spec->deadline_us = -1;
  return loopback_cluster_encode_submission (cluster, spec, run_us);
}

/* ---- set-up ---- */

static void
set_up (const char *program)
{
  static const LoopbackOptions options
      = { .settings = "[[settings.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n"
                      "[settings.workers]\nreport_s = 2.0\nlease_s = 60.0\ncancel_s = 600.0\n"
                      "[settings.state]\nrps = 250.0\nwrite_rps = 50.0\nvalue_kb = 32.0\n"
                      "txn_ops = 16\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 0.2\n"
                      "[settings.resources]\ncore_share = 1.0\nmax_connections = " G_STRINGIFY (
                          MAX_CONNECTIONS) "\n",
          .heartbeat_interval_us = 300 * MH_MILLISECOND_US,
          .crash_on_critical = true };
  LoopbackOptions with_program = options;
  with_program.program = program;
  cluster = loopback_cluster_new (&with_program);
  for (guint i = 0; i < NODES; i++)
    loopback_cluster_start (cluster, i);
  for (guint i = 0; i < NODES; i++)
    send_request_until (i, "GET", "/ready", NULL, 200, NULL);
}

static GSocket *
connect_to (guint node)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", cluster->nodes[node].front);
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_assert_true (g_socket_connect (socket, address, NULL, NULL));
  return socket;
}

/* Connections that are reset before they are accepted must not cause a critical log message, which
   ends the process here. */
static void
test_connections_reset_before_accept (void)
{
  for (guint i = 0; i < 100 * NODES; i++)
    {
      g_autoptr (GSocket) socket = connect_to (i % NODES);
      const struct linger reset_on_close = { .l_onoff = 1 };
      g_assert_cmpint (setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &reset_on_close,
                                   sizeof reset_on_close),
                       ==, 0);
      g_socket_close (socket, NULL);
    }
  for (guint i = 0; i < NODES; i++)
    send_request_until (i, "GET", "/ready", NULL, 200, NULL);
}

/* Returns the body of the submission `complete` without the field `name`. */
static GBytes *
encode_without_field (GBytes *complete, const char *name)
{
  gsize size;
  const void *data = g_bytes_get_data (complete, &size);
  g_autoptr (MhValue) body = mh_value_parse (data, size, NULL);
  g_autoptr (MhValue) incomplete = mh_value_new_map ();
  struct cbor_pair *pairs = cbor_map_handle (body);
  for (gsize i = 0; i < cbor_map_size (body); i++)
    {
      g_autofree char *key = mh_value_as_text (pairs[i].key);
      if (strcmp (key, name) != 0)
        mh_value_set (incomplete, key, cbor_incref (pairs[i].value));
    }
  return mh_value_serialize (incomplete);
}

/* Every controller must refuse a malformed or unknown request with the status for its fault. */
static void
test_refused_requests (void)
{
  g_autoptr (GBytes) text = g_bytes_new_static ("hello", 5);
  g_autoptr (GBytes) list = g_bytes_new_static ("\x80", 1);
  g_autoptr (GBytes) unknown_team = encode_submission ("j-000900", "nobody", MH_SHAPE_ARRAY, 1, 1);
  g_autoptr (GBytes) complete = encode_submission ("j-000902", "red", MH_SHAPE_ARRAY, 1, 1);
  g_autoptr (GBytes) incomplete = encode_without_field (complete, "standby");
  g_autofree char *large = g_malloc0 (MH_MAX_BODY_SIZE + 1);
  g_autoptr (GBytes) too_large = g_bytes_new_static (large, MH_MAX_BODY_SIZE + 1);
  for (guint i = 0; i < NODES; i++)
    {
      g_assert_cmpuint (send_request (i, "POST", "/submissions", text, NULL), ==, 400);
      g_assert_cmpuint (send_request (i, "POST", "/submissions", list, NULL), ==, 400);
      g_assert_cmpuint (send_request (i, "POST", "/submissions", NULL, NULL), ==, 400);
      g_assert_cmpuint (send_request (i, "POST", "/submissions", too_large, NULL), ==, 413);
      g_assert_cmpuint (send_request (i, "POST", "/hello", list, NULL), ==, 400);
      g_assert_cmpuint (send_request (i, "GET", "/nothing", NULL, NULL), ==, 404);
      g_assert_cmpuint (send_request (i, "GET", "/submissions/x/y/z", NULL, NULL), ==, 404);
      g_assert_cmpuint (send_request (i, "DELETE", "/submissions/j-000001", NULL, NULL), ==, 405);
      g_assert_cmpuint (send_request (i, "GET", "/submissions", NULL, NULL), ==, 405);
      g_assert_cmpuint (send_request (i, "GET", "/submissions/nonsense", NULL, NULL), ==, 404);
      send_request_until (i, "POST", "/submissions", unknown_team, 422, NULL);
      send_request_until (i, "POST", "/submissions", incomplete, 400, NULL);
      send_request_until (i, "GET", "/submissions/j-000901", NULL, 404, NULL);
    }
}

/* Guards against a job that only the controller that accepted it knows, and against a job that runs
   again when it is submitted a second time. */
static void
test_job_array_known_to_all_controllers (void)
{
  g_autoptr (GBytes) body = encode_submission ("j-000001", "red", MH_SHAPE_ARRAY, 6, 300000);
  send_request_until (0, "POST", "/submissions", body, 201, NULL);
  send_request_until (1, "GET", "/submissions/j-000001", NULL, 200, "done");
  send_request_until (2, "GET", "/submissions/j-000001", NULL, 200, "done");
  send_request_until (0, "POST", "/submissions", body, 200, "done");
  /* As when an earlier version accepted it so. */
  g_autoptr (GBytes) incomplete = encode_without_field (body, "standby");
  for (guint i = 0; i < NODES; i++)
    send_request_until (i, "POST", "/submissions", incomplete, 200, "done");
}

/* The heartbeat of a worker that has seen no leader yet: it proves nothing about its tasks. */
static GBytes *
encode_first_heartbeat (void)
{
  g_autoptr (MhValue) heartbeat = mh_value_new_map ();
  mh_value_set_text (heartbeat, "box", "vm-999999");
  mh_value_set_text (heartbeat, "endpoint", "127.0.0.1:9");
  mh_value_set_text (heartbeat, "rack", "small");
  mh_value_set_text (heartbeat, "hall", "a");
  mh_value_set_bool (heartbeat, "standby", false);
  mh_value_set_uint (heartbeat, "tenure", 1);
  mh_value_set_uint (heartbeat, "tick", 1);
  mh_value_set_uint (heartbeat, "epoch", 0);
  mh_value_set (heartbeat, "legs", mh_value_new_list ());
  return mh_value_serialize (heartbeat);
}

/* Receives one byte, and lets the stand-ins run until it has come. */
static char
receive_byte (GSocket *socket)
{
  gint64 end_us = g_get_monotonic_time () + MAX_WAIT_US;
  char byte;
  for (;;)
    {
      g_autoptr (GError) error = NULL;
      gssize size = g_socket_receive (socket, &byte, 1, NULL, &error);
      if (size == 1)
        return byte;
      g_assert_cmpint (size, !=, 0); /* closed */
      g_assert_error (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_assert_cmpint (g_get_monotonic_time (), <, end_us);
      g_main_context_iteration (NULL, TRUE);
    }
}

/* Sends a request over an open connection, reads the whole response and returns its header. */
static char *
send_over (GSocket *socket, const char *method, const char *path, GBytes *body)
{
  static const char length_name[] = "\r\nContent-Length: ";
  gsize size = 0;
  const char *data = body ? g_bytes_get_data (body, &size) : NULL;
  g_autoptr (GString) request = g_string_new (NULL);
  g_autoptr (GString) header = g_string_new (NULL);
  g_string_printf (request, "%s %s HTTP/1.1\r\nHost: node\r\nContent-Length: %u\r\n\r\n", method,
                   path, (guint)size);
  g_string_append_len (request, data, (gssize)size);
  g_assert_cmpint (g_socket_send (socket, request->str, request->len, NULL, NULL), ==,
                   (gssize)request->len);
  g_socket_set_blocking (socket, FALSE);
  while (strstr (header->str, "\r\n\r\n") == NULL)
    g_string_append_c (header, receive_byte (socket));
  const char *length = strstr (header->str, length_name);
  g_assert_nonnull (length);
  for (guint64 rest = g_ascii_strtoull (length + strlen (length_name), NULL, 10); rest > 0; rest--)
    receive_byte (socket);
  return g_string_free (g_steal_pointer (&header), FALSE);
}

/* Guards against a submission or a question that is lost because the connection, which the client
   uses again, was closed after an earlier response; at the leader and at those that forward to it.
 */
static void
test_requests_over_one_connection (void)
{
  for (guint node = 0; node < NODES; node++)
    {
      g_autofree char *id = g_strdup_printf ("j-00010%u", node);
      g_autofree char *path = g_strdup_printf ("/submissions/%s", id);
      g_autofree char *cancellation_path = g_strdup_printf ("%s/withdraw", path);
      g_autoptr (GBytes) body = encode_submission (id, "red", MH_SHAPE_SERVICE, 1, 0);
      g_autoptr (GSocket) socket = connect_to (node);
      const struct
      {
        const char *method, *path;
        GBytes *body;
        const char *status;
      } steps[] = { { "GET", path, NULL, "HTTP/1.1 404" },
                    { "POST", "/submissions", body, "HTTP/1.1 201" },
                    { "GET", path, NULL, "HTTP/1.1 200" },
                    { "POST", "/submissions", body, "HTTP/1.1 200" },
                    { "POST", cancellation_path, NULL, "HTTP/1.1 200" },
                    { "GET", path, NULL, "HTTP/1.1 200" } };
      for (guint i = 0; i < G_N_ELEMENTS (steps); i++)
        {
          g_autofree char *header
              = send_over (socket, steps[i].method, steps[i].path, steps[i].body);
          g_assert_true (g_str_has_prefix (header, steps[i].status));
          g_assert_null (strstr (header, "Connection: close"));
        }
    }
}

/* Sends a heartbeat over a new connection and returns the headers of the response. libsoup's client
   cannot be used: after a response 421 it sends the message again, without the body, and then ends
   with an error, so that this test failed whenever node 0 was not the leader. */
static char *
send_heartbeat (guint node, GBytes *body)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocket) socket = connect_to (node);
  g_autoptr (GString) request = g_string_new (NULL);
  g_autoptr (GString) response = g_string_new (NULL);
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  g_string_append_printf (request,
                          "POST /hello HTTP/1.1\r\nHost: 127.0.0.1:%u\r\n"
                          "Content-Type: application/cbor\r\nContent-Length: %u\r\n\r\n",
                          cluster->nodes[node].front, (guint)size);
  g_string_append_len (request, data, (gssize)size);
  g_assert_cmpint (g_socket_send (socket, request->str, request->len, NULL, &error), ==,
                   (gssize)request->len);
  g_socket_set_blocking (socket, FALSE);
  while (strstr (response->str, "\r\n\r\n") == NULL)
    {
      char byte;
      gssize got = g_socket_receive (socket, &byte, 1, NULL, &error);
      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_clear_error (&error);
          g_main_context_iteration (NULL, TRUE); /* lets the stand-ins run */
          continue;
        }
      g_assert_no_error (error);
      g_assert_cmpint (got, ==, 1); /* 0: closed without a response */
      g_string_append_c (response, byte);
    }
  return g_string_free (g_steal_pointer (&response), FALSE);
}

static bool
heartbeat_closes_connection (void)
{
  g_autoptr (GBytes) body = encode_first_heartbeat ();
  g_autofree char *response = send_heartbeat (0, body);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 "));
  guint64 status = g_ascii_strtoull (response + strlen ("HTTP/1.1 "), NULL, 10);
  g_assert_true (status == 200 || status == 421 || status == 503);
  return strstr (response, "\r\nConnection: close\r\n") != NULL;
}

/* When more connections are open than the share within which workers may keep theirs, a heartbeat
   must still be answered, and its connection must then be closed to make room for others. */
static void
test_heartbeats_near_connection_limit (void)
{
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  g_assert_false (heartbeat_closes_connection ());
  for (guint i = 0; i < MAX_CONNECTIONS * 2 / 3; i++)
    g_ptr_array_add (sockets, connect_to (0));
  gint64 end_us = g_get_monotonic_time () + MAX_WAIT_US;
  while (!heartbeat_closes_connection ())
    g_assert_cmpint (g_get_monotonic_time (), <, end_us);
  g_ptr_array_set_size (sockets, 0);
  while (heartbeat_closes_connection ())
    g_assert_cmpint (g_get_monotonic_time (), <, end_us);
}

/* A service must keep running, without a new start of a task, while each controller is killed and
   started again. */
static void
test_restart_each_controller (void)
{
  g_autoptr (GBytes) body = encode_submission ("j-000003", "red", MH_SHAPE_SERVICE, 2, 0);
  send_request_until (0, "POST", "/submissions", body, 201, NULL);
  wait_for_running_tasks ("j-000003", 2);
  guint starts = cluster->environment->rules->task_starts;
  for (guint i = 0; i < NODES; i++)
    {
      loopback_cluster_stop (cluster, i);
      send_request_until ((i + 1) % NODES, "GET", "/submissions/j-000003", NULL, 200, "running");
      loopback_cluster_start (cluster, i);
      send_request_until (i, "GET", "/ready", NULL, 200, NULL);
    }
  g_assert_cmpuint (cluster->environment->rules->task_starts, ==, starts);
  send_request_until (2, "POST", "/submissions/j-000003/withdraw", NULL, 200, "aborted");
  wait_for_running_tasks ("j-000003", 0);
  send_request_until (1, "GET", "/submissions/j-000003", NULL, 200, "aborted");
  for (guint i = 0; i < cluster->environment->rules->violations->len; i++)
    g_printerr ("rule violated: %s\n",
                (char *)g_ptr_array_index (cluster->environment->rules->violations, i));
  g_assert_cmpuint (cluster->environment->rules->violations->len, ==, 0);
}

/* Scripts recognize invalid settings by the exit status and print the error message, which must be
   one line. */
static void
test_command_line (void)
{
  const struct
  {
    const char *args[3];
    int exit;
    const char *expected_text;
  } rows[] = { { { "--version" }, 0, NULL },
               { { "--config", cluster->nodes[0].config, "--check" }, 0, NULL },
               { { "--config", "/nonexistent", "--check" }, 2, "/nonexistent" },
               { { "--check" }, 2, "--config" },
               { { "--colour" }, 2, "colour" } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *error_output = NULL, *output = NULL;
      g_autoptr (GSubprocess) process = g_subprocess_new (
          G_SUBPROCESS_FLAGS_STDERR_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error, program,
          rows[i].args[0], rows[i].args[1], rows[i].args[2], NULL);
      g_assert_no_error (error);
      g_assert_true (
          g_subprocess_communicate_utf8 (process, NULL, NULL, &output, &error_output, &error));
      g_assert_cmpint (g_subprocess_get_exit_status (process), ==, rows[i].exit);
      if (rows[i].expected_text)
        {
          g_assert_nonnull (strstr (error_output, rows[i].expected_text));
          g_assert_true (strchr (error_output, '\n') == error_output + strlen (error_output) - 1);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_cmpint (argc, ==, 2);
  program = argv[1];
  set_up (program);
  g_test_add_func ("/loopback/connections-reset-before-accept",
                   test_connections_reset_before_accept);
  g_test_add_func ("/loopback/refused-requests", test_refused_requests);
  g_test_add_func ("/loopback/job-array-known-to-all-controllers",
                   test_job_array_known_to_all_controllers);
  g_test_add_func ("/loopback/requests-over-one-connection", test_requests_over_one_connection);
  g_test_add_func ("/loopback/heartbeats-near-connection-limit",
                   test_heartbeats_near_connection_limit);
  g_test_add_func ("/loopback/restart-each-controller", test_restart_each_controller);
  g_test_add_func ("/loopback/command-line", test_command_line);
  int status = g_test_run ();
  loopback_cluster_free (cluster);
  return status;
}
