/* Three processes of the real program against the stand-ins, over loopback. No test depends on the
   speed of the machine: each step waits for the state that it needs. */
#include "free-address.h"
#include "protocol/user-messages.h"
#include "settings/settings-loader.h"
#include "stand-in/environment.h"

#include "protocol/route.h"
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>

#define NODES 3
#define MAX_CONNECTIONS 60u
#define MAX_WAIT_US (120 * MH_SECOND_US)

static const char *program;

typedef struct
{
  Machine *machine;
  SoupServer *server;
  guint node;
  bool heartbeat_pending;
  gint64 next_us, sent_us;
  guint64 sent_incarnation;
} Worker;

static struct
{
  Environment *environment;
  MhSettings *settings;
  SoupServer *services; /* the stand-ins of the key-value store and the cloud */
  SoupSession *session;
  guint services_port, front[NODES], peer[NODES];
  char *dir, *config[NODES];
  GSubprocess *process[NODES];
  GPtrArray *workers;
  GHashTable *waiting_watches; /* paused messages; each is the token of its watch */
} cluster;

static void
respond (SoupServerMessage *message, guint status, MhValue *body)
{
  soup_server_message_set_status (message, status, NULL);
  if (body)
    {
      g_autoptr (GBytes) bytes = mh_value_serialize (body);
      gsize size;
      const char *data = g_bytes_get_data (bytes, &size);
      soup_server_message_set_response (message, "application/cbor", SOUP_MEMORY_COPY, data, size);
      mh_value_unref (body);
    }
}

static MhValue *
get_request_body (SoupServerMessage *message)
{
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  return size ? mh_value_parse (data, size, NULL) : NULL;
}

static void
advance_environment (void)
{
  g_autoptr (GArray) woken = g_array_new (FALSE, FALSE, sizeof (EndedWatch));
  environment_advance (cluster.environment, g_get_monotonic_time (), woken);
  for (guint i = 0; i < woken->len; i++)
    {
      const EndedWatch *watch = &g_array_index (woken, EndedWatch, i);
      SoupServerMessage *message = g_hash_table_lookup (cluster.waiting_watches, watch->token);
      if (message)
        {
          respond (message, watch->status, watch->body);
          soup_server_message_unpause (message);
          g_hash_table_remove (cluster.waiting_watches, watch->token);
        }
      else
        mh_value_unref (watch->body);
    }
}

static void
handle_service_request (SoupServer *server, SoupServerMessage *message, const char *path,
                        GHashTable *query, gpointer data)
{
  (void)server;
  (void)query;
  (void)data;
  advance_environment ();
  GUri *uri = soup_server_message_get_uri (message);
  const char *query_text = g_uri_get_query (uri);
  g_autofree char *path_and_query
      = query_text ? g_strconcat (path, "?", query_text, NULL) : g_strdup (path);
  MhTarget target
      = g_str_has_prefix (path, "/machine") ? MH_TARGET_CLOUD : MH_TARGET_KEY_VALUE_STORE;
  g_autoptr (MhValue) body = get_request_body (message);
  ServiceRequest request = { .method = soup_server_message_get_method (message),
                             .path = path_and_query,
                             .body = body,
                             .token = message };
  ServiceResponse response;
  if (environment_serve (cluster.environment, target, &request, &response))
    {
      respond (message, response.status, response.body);
      return;
    }
  soup_server_message_pause (message);
  g_hash_table_add (cluster.waiting_watches, g_object_ref (message));
}

static void
handle_worker_request (SoupServer *server, SoupServerMessage *message, const char *path,
                       GHashTable *query, gpointer data)
{
  Worker *worker = data;
  MhValue *response = NULL;
  (void)server;
  (void)path;
  (void)query;
  advance_environment ();
  g_autoptr (MhValue) body = get_request_body (message);
  guint status = worker->machine->running
                     ? worker_protocol_commands (worker->machine, body, &response)
                     : 503;
  respond (message, status, response);
}

/* ---- workers ---- */

static void
on_heartbeat_response (GObject *source, GAsyncResult *result, gpointer data)
{
  Worker *worker = data;
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  guint status = bytes ? soup_message_get_status (message) : 0;
  gsize size = 0;
  const void *raw = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  g_autoptr (MhValue) body = size ? mh_value_parse (raw, size, NULL) : NULL;
  g_autofree char *node = body ? mh_value_get_text (body, "dispatcher") : NULL;
  worker->heartbeat_pending = false;
  advance_environment ();
  if (status == 200)
    worker_protocol_heartbeat_response (worker->machine, worker->sent_us, worker->sent_incarnation,
                                        body);
  else if (status == 421 && node)
    worker->node = (guint)(node[strlen (node) - 1] - '0') % NODES;
  else
    worker->node = (worker->node + 1) % NODES;
  worker->next_us = g_get_monotonic_time () + (status == 200 ? 300000 : 100000);
}

static void
send_heartbeat_if_due (Worker *worker)
{
  gint64 now_us = g_get_monotonic_time ();
  if (!worker->machine->running || worker->machine->removed || worker->heartbeat_pending
      || now_us < worker->next_us)
    return;
  worker->heartbeat_pending = true;
  worker->sent_us = now_us;
  worker->sent_incarnation = worker->machine->incarnation;
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/hello", cluster.front[worker->node]);
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  g_autoptr (MhValue) heartbeat = worker_protocol_heartbeat (worker->machine);
  g_autoptr (GBytes) bytes = mh_value_serialize (heartbeat);
  soup_message_set_request_body_from_bytes (message, "application/cbor", bytes);
  soup_session_send_and_read_async (cluster.session, message, G_PRIORITY_DEFAULT, NULL,
                                    on_heartbeat_response, worker);
}

static gboolean
on_timer (gpointer data)
{
  (void)data;
  advance_environment ();
  for (guint i = cluster.workers->len; i < cluster.environment->cloud->machines->len; i++)
    {
      Worker *worker = g_new0 (Worker, 1);
      g_autoptr (GError) error = NULL;
      worker->machine = g_ptr_array_index (cluster.environment->cloud->machines, i);
      worker->server = soup_server_new (NULL, NULL);
      soup_server_add_handler (worker->server, NULL, handle_worker_request, worker, NULL);
      soup_server_listen_local (worker->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
      g_assert_no_error (error);
      GSList *uris = soup_server_get_uris (worker->server);
      g_free (worker->machine->endpoint);
      worker->machine->endpoint = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
      g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
      g_ptr_array_add (cluster.workers, worker);
    }
  for (guint i = 0; i < cluster.workers->len; i++)
    send_heartbeat_if_due (g_ptr_array_index (cluster.workers, i));
  return G_SOURCE_CONTINUE;
}

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
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", cluster.front[node], path);
  response.message = soup_message_new (method, url);
  if (body)
    soup_message_set_request_body_from_bytes (response.message, "application/cbor", body);
  soup_session_send_and_read_async (cluster.session, response.message, G_PRIORITY_DEFAULT, NULL,
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
  while (environment_running_tasks (cluster.environment, job) != tasks)
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
  g_autoptr (MhValue) body = mh_submission_encode (spec);
  workload_add (cluster.environment->workload, spec, run_us);
  return mh_value_serialize (body);
}

/* ---- set-up ---- */

/* Runs in the new process. Without it, a controller that is left running by a failed test would
   keep ctest waiting for the end of its output. */
static void
kill_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
start_controller (guint node)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_setenv (launcher, "G_DEBUG", "fatal-criticals", TRUE);
  g_subprocess_launcher_set_child_setup (launcher, kill_with_parent, NULL, NULL);
  cluster.process[node] = g_subprocess_launcher_spawn (launcher, &error, program, "--config",
                                                       cluster.config[node], NULL);
  g_assert_no_error (error);
}

static void
stop_controller (guint node)
{
  g_subprocess_force_exit (cluster.process[node]);
  g_subprocess_wait (cluster.process[node], NULL, NULL);
  g_clear_object (&cluster.process[node]);
}

static void
set_up (void)
{
  g_autoptr (GError) error = NULL;
  cluster.dir = g_dir_make_tmp ("minthill-XXXXXX", NULL);
  cluster.services_port = find_free_port ();
  for (guint i = 0; i < NODES; i++)
    {
      cluster.front[i] = find_free_port ();
      cluster.peer[i] = find_free_port ();
    }
  for (guint i = 0; i < NODES; i++)
    {
      GString *text = g_string_new (NULL);
      g_string_append_printf (text,
                              "node_name = \"node-%u\"\nzone = \"a\"\nfront = \"127.0.0.1:%u\"\n"
                              "peer_bind = \"127.0.0.1:%u\"\n",
                              i, cluster.front[i], cluster.peer[i]);
      for (guint j = 0; j < NODES; j++)
        if (j != i)
          g_string_append_printf (
              text, "[[members]]\nnode_name = \"node-%u\"\nendpoint = \"127.0.0.1:%u\"\n", j,
              cluster.peer[j]);
      g_string_append_printf (
          text,
          "[endpoints]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n"
          "[[settings.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n"
          "[settings.workers]\nreport_s = 2.0\nlease_s = 60.0\ncancel_s = 600.0\n"
          "[settings.state]\nrps = 250.0\nwrite_rps = 50.0\nvalue_kb = 32.0\n"
          "txn_ops = 16\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 0.2\n"
          "[settings.resources]\ncore_share = 1.0\nmax_connections = %u\n",
          cluster.services_port, cluster.services_port, MAX_CONNECTIONS);
      g_autofree char *name = g_strdup_printf ("node-%u.toml", i);
      cluster.config[i] = g_build_filename (cluster.dir, name, NULL);
      g_file_set_contents (cluster.config[i], text->str, -1, &error);
      g_assert_no_error (error);
      g_string_free (text, TRUE);
    }
  cluster.settings = mh_settings_load (cluster.config[0], NULL, &error);
  g_assert_no_error (error);
  cluster.environment = environment_new (cluster.settings, 0);
  cluster.environment->cloud->boot_us = MH_SECOND_US;
  cluster.workers = g_ptr_array_new ();
  cluster.waiting_watches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, g_object_unref, NULL);
  cluster.session = soup_session_new_with_options ("proxy-resolver", NULL, NULL);
  cluster.services = soup_server_new (NULL, NULL);
  soup_server_add_handler (cluster.services, NULL, handle_service_request, NULL, NULL);
  soup_server_listen_local (cluster.services, cluster.services_port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                            &error);
  g_assert_no_error (error);
  g_timeout_add (20, on_timer, NULL);
  for (guint i = 0; i < NODES; i++)
    start_controller (i);
  for (guint i = 0; i < NODES; i++)
    send_request_until (i, "GET", "/ready", NULL, 200, NULL);
}

static GSocket *
connect_to (guint node)
{
  g_autoptr (GSocketAddress) address
      = g_inet_socket_address_new_from_string ("127.0.0.1", cluster.front[node]);
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

/* Every controller must refuse a malformed or unknown request with the status for its fault. */
static void
test_refused_requests (void)
{
  g_autoptr (GBytes) text = g_bytes_new_static ("hello", 5);
  g_autoptr (GBytes) list = g_bytes_new_static ("\x80", 1);
  g_autoptr (GBytes) unknown_team = encode_submission ("j-000900", "nobody", MH_SHAPE_ARRAY, 1, 1);
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
                          cluster.front[node], (guint)size);
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
  guint starts = cluster.environment->rules->task_starts;
  for (guint i = 0; i < NODES; i++)
    {
      stop_controller (i);
      send_request_until ((i + 1) % NODES, "GET", "/submissions/j-000003", NULL, 200, "running");
      start_controller (i);
      send_request_until (i, "GET", "/ready", NULL, 200, NULL);
    }
  g_assert_cmpuint (cluster.environment->rules->task_starts, ==, starts);
  send_request_until (2, "POST", "/submissions/j-000003/withdraw", NULL, 200, "aborted");
  wait_for_running_tasks ("j-000003", 0);
  send_request_until (1, "GET", "/submissions/j-000003", NULL, 200, "aborted");
  for (guint i = 0; i < cluster.environment->rules->violations->len; i++)
    g_printerr ("rule violated: %s\n",
                (char *)g_ptr_array_index (cluster.environment->rules->violations, i));
  g_assert_cmpuint (cluster.environment->rules->violations->len, ==, 0);
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
               { { "--config", cluster.config[0], "--check" }, 0, NULL },
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
  set_up ();
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
  for (guint i = 0; i < NODES; i++)
    {
      stop_controller (i);
      g_unlink (cluster.config[i]);
    }
  g_rmdir (cluster.dir);
  return status;
}
