/* The real program, three times over, against the stand-ins on loopback. Nothing here depends on
   how fast things happen: each step waits for what it needs. */
#include "settings/settings-loader.h"
#include "stand-in/environment.h"

#include "protocol/route.h"
#include "protocol/user-messages.h"
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <string.h>
#include <sys/socket.h>

#define NODES 3
#define MOST_CONNECTIONS 60u
#define PATIENCE_US (120 * MH_SECOND_US)

static const char *program;

typedef struct
{
  Machine *machine;
  SoupServer *server;
  guint node;
  bool flying;
  gint64 next_us, sent_us;
  guint64 session;
} Worker;

static struct
{
  Environment *environment;
  MhSettings *settings;
  SoupServer *outside; /* state service and cloud */
  SoupSession *session;
  guint outside_port, front[NODES], peer[NODES];
  char *dir, *config[NODES];
  GSubprocess *process[NODES];
  GPtrArray *workers;
  GHashTable *waiting; /* paused messages, each the token of its watch */
} t;

static guint
free_port (void)
{
  g_autoptr (GSocket) s
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_assert_true (g_socket_bind (s, any, FALSE, NULL));
  g_autoptr (GSocketAddress) got = g_socket_get_local_address (s, NULL);
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (got));
}

static void
respond (SoupServerMessage *m, guint status, MhValue *body)
{
  soup_server_message_set_status (m, status, NULL);
  if (body)
    {
      g_autoptr (GBytes) bytes = mh_value_save (body);
      gsize size;
      const char *data = g_bytes_get_data (bytes, &size);
      soup_server_message_set_response (m, "application/cbor", SOUP_MEMORY_COPY, data, size);
      mh_value_unref (body);
    }
}

static MhValue *
body_of (SoupServerMessage *m)
{
  g_autoptr (GBytes) bytes = soup_message_body_flatten (soup_server_message_get_request_body (m));
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  return size ? mh_value_load (data, size, NULL) : NULL;
}

static void
advance (void)
{
  g_autoptr (GArray) woken = g_array_new (FALSE, FALSE, sizeof (EndedWatch));
  environment_advance (t.environment, g_get_monotonic_time (), woken);
  for (guint i = 0; i < woken->len; i++)
    {
      const EndedWatch *w = &g_array_index (woken, EndedWatch, i);
      SoupServerMessage *m = g_hash_table_lookup (t.waiting, w->token);
      if (m)
        {
          respond (m, w->status, w->body);
          soup_server_message_unpause (m);
          g_hash_table_remove (t.waiting, w->token);
        }
      else
        mh_value_unref (w->body);
    }
}

static void
serve_outside (SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
               gpointer data)
{
  (void)server;
  (void)query;
  (void)data;
  advance ();
  GUri *uri = soup_server_message_get_uri (m);
  const char *q = g_uri_get_query (uri);
  g_autofree char *whole = q ? g_strconcat (path, "?", q, NULL) : g_strdup (path);
  MhTarget target
      = g_str_has_prefix (path, "/machine") ? MH_TARGET_CLOUD : MH_TARGET_KEY_VALUE_STORE;
  g_autoptr (MhValue) body = body_of (m);
  ServiceRequest request
      = { .method = soup_server_message_get_method (m), .path = whole, .body = body, .token = m };
  ServiceReply reply;
  if (environment_serve (t.environment, target, &request, &reply))
    {
      respond (m, reply.status, reply.body);
      return;
    }
  soup_server_message_pause (m);
  g_hash_table_add (t.waiting, g_object_ref (m));
}

static void
serve_worker (SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
              gpointer data)
{
  Worker *w = data;
  MhValue *reply = NULL;
  (void)server;
  (void)path;
  (void)query;
  advance ();
  g_autoptr (MhValue) body = body_of (m);
  guint status = w->machine->up ? worker_protocol_commands (w->machine, body, &reply) : 503;
  respond (m, status, reply);
}

/* ---- workers ---- */

static void
hello_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Worker *w = data;
  SoupMessage *m = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  guint status = bytes ? soup_message_get_status (m) : 0;
  gsize size = 0;
  const void *raw = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  g_autoptr (MhValue) body = size ? mh_value_load (raw, size, NULL) : NULL;
  g_autofree char *node = body ? mh_value_get_text (body, "dispatcher") : NULL;
  w->flying = false;
  advance ();
  if (status == 200)
    worker_protocol_response (w->machine, w->sent_us, w->session, body);
  else if (status == 421 && node)
    w->node = (guint)(node[strlen (node) - 1] - '0') % NODES;
  else
    w->node = (w->node + 1) % NODES;
  w->next_us = g_get_monotonic_time () + (status == 200 ? 300000 : 100000);
}

static void
worker_turn (Worker *w)
{
  gint64 now = g_get_monotonic_time ();
  if (!w->machine->up || w->machine->gone || w->flying || now < w->next_us)
    return;
  w->flying = true;
  w->sent_us = now;
  w->session = w->machine->session;
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/hello", t.front[w->node]);
  g_autoptr (SoupMessage) m = soup_message_new ("POST", url);
  g_autoptr (MhValue) report = worker_protocol_report (w->machine);
  g_autoptr (GBytes) bytes = mh_value_save (report);
  soup_message_set_request_body_from_bytes (m, "application/cbor", bytes);
  soup_session_send_and_read_async (t.session, m, G_PRIORITY_DEFAULT, NULL, hello_done, w);
}

static gboolean
turn (gpointer data)
{
  (void)data;
  advance ();
  for (guint i = t.workers->len; i < t.environment->cloud->machines->len; i++)
    {
      Worker *w = g_new0 (Worker, 1);
      g_autoptr (GError) error = NULL;
      w->machine = g_ptr_array_index (t.environment->cloud->machines, i);
      w->server = soup_server_new (NULL, NULL);
      soup_server_add_handler (w->server, NULL, serve_worker, w, NULL);
      soup_server_listen_local (w->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
      g_assert_no_error (error);
      GSList *uris = soup_server_get_uris (w->server);
      g_free (w->machine->endpoint);
      w->machine->endpoint = g_strdup_printf ("127.0.0.1:%d", g_uri_get_port (uris->data));
      g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
      g_ptr_array_add (t.workers, w);
    }
  for (guint i = 0; i < t.workers->len; i++)
    worker_turn (g_ptr_array_index (t.workers, i));
  return G_SOURCE_CONTINUE;
}

/* ---- asking ---- */

typedef struct
{
  bool done;
  guint status;
  MhValue *body;
  SoupMessage *message;
} Reply;

static void
asked (GObject *source, GAsyncResult *result, gpointer data)
{
  Reply *r = data;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  gsize size = 0;
  const void *raw = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  r->status = bytes ? soup_message_get_status (r->message) : 0;
  r->body = size ? mh_value_load (raw, size, NULL) : NULL;
  r->done = true;
}

static guint
ask (guint node, const char *method, const char *path, GBytes *body, char **state)
{
  Reply r = { 0 };
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", t.front[node], path);
  r.message = soup_message_new (method, url);
  if (body)
    soup_message_set_request_body_from_bytes (r.message, "application/cbor", body);
  soup_session_send_and_read_async (t.session, r.message, G_PRIORITY_DEFAULT, NULL, asked, &r);
  while (!r.done)
    g_main_context_iteration (NULL, TRUE);
  if (state)
    *state = r.body ? mh_value_get_text (r.body, "status") : NULL;
  mh_value_unref (r.body);
  g_object_unref (r.message);
  return r.status;
}

/* Asks until the status is the one wanted, and the state too where one is given. */
static void
ask_until (guint node, const char *method, const char *path, GBytes *body, guint status,
           const char *state)
{
  gint64 end = g_get_monotonic_time () + PATIENCE_US;
  for (;;)
    {
      g_autofree char *got_state = NULL;
      guint got = ask (node, method, path, body, &got_state);
      if (got == status && (state == NULL || g_strcmp0 (got_state, state) == 0))
        return;
      if (g_get_monotonic_time () > end)
        g_error ("%s %s on node %u: %u %s, waited for %u %s", method, path, node, got, got_state,
                 status, state);
      gint64 pause = g_get_monotonic_time () + 100000;
      while (g_get_monotonic_time () < pause)
        g_main_context_iteration (NULL, TRUE);
    }
}

static void
wait_running (const char *job, guint n)
{
  gint64 end = g_get_monotonic_time () + PATIENCE_US;
  while (environment_running_tasks (t.environment, job) != n)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, end);
      g_main_context_iteration (NULL, TRUE);
    }
}

static GBytes *
submission (const char *id, const char *team, MhShape shape, guint tasks, gint64 run_us)
{
  MhJobSpec *s = g_new0 (MhJobSpec, 1);
  s->id = g_strdup (id);
  s->class_name = g_strdup ("c");
  s->team = g_strdup (team);
  s->image = g_strdup ("img");
  s->image_gb = 0.1;
  s->shape = shape;
  s->priority = MH_PRIORITY_NORMAL;
  s->tasks = tasks;
  s->cpus = 1;
  s->mem_gb = 1;
  s->estimated_run_us = run_us;
  s->deadline_us = -1;
  g_autoptr (MhValue) v = mh_submission_encode (s);
  workload_add (t.environment->workload, s, run_us);
  return mh_value_save (v);
}

/* ---- set-up ---- */

static void
start (guint node)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_setenv (launcher, "G_DEBUG", "fatal-criticals", TRUE);
  t.process[node]
      = g_subprocess_launcher_spawn (launcher, &error, program, "--config", t.config[node], NULL);
  g_assert_no_error (error);
}

static void
stop (guint node)
{
  g_subprocess_force_exit (t.process[node]);
  g_subprocess_wait (t.process[node], NULL, NULL);
  g_clear_object (&t.process[node]);
}

static void
set_up (void)
{
  g_autoptr (GError) error = NULL;
  t.dir = g_dir_make_tmp ("minthill-XXXXXX", NULL);
  t.outside_port = free_port ();
  for (guint i = 0; i < NODES; i++)
    {
      t.front[i] = free_port ();
      t.peer[i] = free_port ();
    }
  for (guint i = 0; i < NODES; i++)
    {
      GString *s = g_string_new (NULL);
      g_string_append_printf (s,
                              "node_name = \"node-%u\"\nzone = \"a\"\nfront = \"127.0.0.1:%u\"\n"
                              "peer_bind = \"127.0.0.1:%u\"\n",
                              i, t.front[i], t.peer[i]);
      for (guint k = 0; k < NODES; k++)
        if (k != i)
          g_string_append_printf (
              s, "[[members]]\nnode_name = \"node-%u\"\nendpoint = \"127.0.0.1:%u\"\n", k,
              t.peer[k]);
      g_string_append_printf (
          s,
          "[endpoints]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n"
          "[[settings.teams]]\nname = \"red\"\ncpus = 8.0\ncpus_max = 16.0\n"
          "[settings.workers]\nreport_s = 2.0\nlease_s = 60.0\ncancel_s = 600.0\n"
          "[settings.state]\nrps = 250.0\nwrite_rps = 50.0\nvalue_kb = 32.0\n"
          "txn_ops = 16\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 0.2\n"
          "[settings.resources]\ncore_share = 1.0\nmax_connections = %u\n",
          t.outside_port, t.outside_port, MOST_CONNECTIONS);
      g_autofree char *name = g_strdup_printf ("node-%u.toml", i);
      t.config[i] = g_build_filename (t.dir, name, NULL);
      g_file_set_contents (t.config[i], s->str, -1, &error);
      g_assert_no_error (error);
      g_string_free (s, TRUE);
    }
  t.settings = mh_settings_load (t.config[0], NULL, &error);
  g_assert_no_error (error);
  t.environment = environment_new (t.settings, 0);
  t.environment->cloud->boot_us = MH_SECOND_US;
  t.workers = g_ptr_array_new ();
  t.waiting = g_hash_table_new_full (g_direct_hash, g_direct_equal, g_object_unref, NULL);
  t.session = soup_session_new_with_options ("proxy-resolver", NULL, NULL);
  t.outside = soup_server_new (NULL, NULL);
  soup_server_add_handler (t.outside, NULL, serve_outside, NULL, NULL);
  soup_server_listen_local (t.outside, t.outside_port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
  g_assert_no_error (error);
  g_timeout_add (20, turn, NULL);
  for (guint i = 0; i < NODES; i++)
    start (i);
  for (guint i = 0; i < NODES; i++)
    ask_until (i, "GET", "/ready", NULL, 200, NULL);
}

static GSocket *
connect_to (guint node)
{
  g_autoptr (GSocketAddress) to
      = g_inet_socket_address_new_from_string ("127.0.0.1", t.front[node]);
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_assert_true (g_socket_connect (socket, to, NULL, NULL));
  return socket;
}

/* Connections that are reset before they are taken; a complaint ends the process here. */
static void
test_resets (void)
{
  for (guint i = 0; i < 100 * NODES; i++)
    {
      g_autoptr (GSocket) s = connect_to (i % NODES);
      const struct linger at_once = { .l_onoff = 1 };
      g_assert_cmpint (
          setsockopt (g_socket_get_fd (s), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once), ==, 0);
      g_socket_close (s, NULL);
    }
  for (guint i = 0; i < NODES; i++)
    ask_until (i, "GET", "/ready", NULL, 200, NULL);
}

static void
test_bad_input (void)
{
  g_autoptr (GBytes) text = g_bytes_new_static ("hello", 5);
  g_autoptr (GBytes) list = g_bytes_new_static ("\x80", 1);
  g_autoptr (GBytes) stranger = submission ("j-000900", "nobody", MH_SHAPE_ARRAY, 1, 1);
  g_autofree char *large = g_malloc0 (MH_MAX_BODY + 1);
  g_autoptr (GBytes) too_large = g_bytes_new_static (large, MH_MAX_BODY + 1);
  for (guint i = 0; i < NODES; i++)
    {
      g_assert_cmpuint (ask (i, "POST", "/submissions", text, NULL), ==, 400);
      g_assert_cmpuint (ask (i, "POST", "/submissions", list, NULL), ==, 400);
      g_assert_cmpuint (ask (i, "POST", "/submissions", NULL, NULL), ==, 400);
      g_assert_cmpuint (ask (i, "POST", "/submissions", too_large, NULL), ==, 413);
      g_assert_cmpuint (ask (i, "POST", "/hello", list, NULL), ==, 400);
      g_assert_cmpuint (ask (i, "GET", "/nothing", NULL, NULL), ==, 404);
      g_assert_cmpuint (ask (i, "GET", "/submissions/x/y/z", NULL, NULL), ==, 404);
      g_assert_cmpuint (ask (i, "DELETE", "/submissions/j-000001", NULL, NULL), ==, 405);
      g_assert_cmpuint (ask (i, "GET", "/submissions", NULL, NULL), ==, 405);
      g_assert_cmpuint (ask (i, "GET", "/submissions/nonsense", NULL, NULL), ==, 404);
      ask_until (i, "POST", "/submissions", stranger, 422, NULL);
      ask_until (i, "GET", "/submissions/j-000901", NULL, 404, NULL);
    }
}

static void
test_array (void)
{
  g_autoptr (GBytes) body = submission ("j-000001", "red", MH_SHAPE_ARRAY, 6, 300000);
  ask_until (0, "POST", "/submissions", body, 201, NULL);
  ask_until (1, "GET", "/submissions/j-000001", NULL, 200, "done");
  ask_until (2, "GET", "/submissions/j-000001", NULL, 200, "done");
  ask_until (0, "POST", "/submissions", body, 200, "done");
}

/* A report that proves nothing: its worker has seen no leader yet. */
static GBytes *
first_report (void)
{
  g_autoptr (MhValue) report = mh_value_map ();
  mh_value_set_text (report, "box", "vm-999999");
  mh_value_set_text (report, "endpoint", "127.0.0.1:9");
  mh_value_set_text (report, "rack", "small");
  mh_value_set_text (report, "hall", "a");
  mh_value_set_bool (report, "standby", false);
  mh_value_set_uint (report, "tenure", 1);
  mh_value_set_uint (report, "tick", 1);
  mh_value_set_uint (report, "epoch", 0);
  mh_value_set (report, "legs", mh_value_list ());
  return mh_value_save (report);
}

/* The headers of the answer to a report, on a connection of its own. libsoup's client does not do
   here: a message that is answered with 421 it sends a second time, without the body, and then ends
   with an error, so that this test failed whenever node 0 was not the leader. */
static char *
send_report (guint node, GBytes *body)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocket) socket = connect_to (node);
  g_autoptr (GString) request = g_string_new (NULL);
  g_autoptr (GString) answer = g_string_new (NULL);
  gsize size;
  const char *data = g_bytes_get_data (body, &size);
  g_string_append_printf (request,
                          "POST /hello HTTP/1.1\r\nHost: 127.0.0.1:%u\r\n"
                          "Content-Type: application/cbor\r\nContent-Length: %u\r\n\r\n",
                          t.front[node], (guint)size);
  g_string_append_len (request, data, (gssize)size);
  g_assert_cmpint (g_socket_send (socket, request->str, request->len, NULL, &error), ==,
                   (gssize)request->len);
  g_socket_set_blocking (socket, FALSE);
  while (strstr (answer->str, "\r\n\r\n") == NULL)
    {
      char byte;
      gssize got = g_socket_receive (socket, &byte, 1, NULL, &error);
      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_clear_error (&error);
          g_main_context_iteration (NULL, TRUE); /* the stand-ins go on */
          continue;
        }
      g_assert_no_error (error);
      g_assert_cmpint (got, ==, 1); /* 0: closed without an answer */
      g_string_append_c (answer, byte);
    }
  return g_string_free (g_steal_pointer (&answer), FALSE);
}

static bool
report_closes (void)
{
  g_autoptr (GBytes) body = first_report ();
  g_autofree char *answer = send_report (0, body);
  g_assert_true (g_str_has_prefix (answer, "HTTP/1.1 "));
  guint64 status = g_ascii_strtoull (answer + strlen ("HTTP/1.1 "), NULL, 10);
  g_assert_true (status == 200 || status == 421 || status == 503);
  return strstr (answer, "\r\nConnection: close\r\n") != NULL;
}

/* More than the share of connections that workers may keep are open: a report is still answered,
   and its connection is closed for others to come. */
static void
test_crowded (void)
{
  g_autoptr (GPtrArray) sockets = g_ptr_array_new_with_free_func (g_object_unref);
  g_assert_false (report_closes ());
  for (guint i = 0; i < MOST_CONNECTIONS * 2 / 3; i++)
    g_ptr_array_add (sockets, connect_to (0));
  gint64 end = g_get_monotonic_time () + PATIENCE_US;
  while (!report_closes ())
    g_assert_cmpint (g_get_monotonic_time (), <, end);
  g_ptr_array_set_size (sockets, 0);
  while (report_closes ())
    g_assert_cmpint (g_get_monotonic_time (), <, end);
}

/* Each controller is killed and started again while a service runs: it goes on undisturbed. */
static void
test_restarts (void)
{
  g_autoptr (GBytes) body = submission ("j-000003", "red", MH_SHAPE_SERVICE, 2, 0);
  ask_until (0, "POST", "/submissions", body, 201, NULL);
  wait_running ("j-000003", 2);
  guint starts = t.environment->rules->task_starts;
  for (guint i = 0; i < NODES; i++)
    {
      stop (i);
      ask_until ((i + 1) % NODES, "GET", "/submissions/j-000003", NULL, 200, "running");
      start (i);
      ask_until (i, "GET", "/ready", NULL, 200, NULL);
    }
  g_assert_cmpuint (t.environment->rules->task_starts, ==, starts);
  ask_until (2, "POST", "/submissions/j-000003/withdraw", NULL, 200, "aborted");
  wait_running ("j-000003", 0);
  ask_until (1, "GET", "/submissions/j-000003", NULL, 200, "aborted");
  for (guint i = 0; i < t.environment->rules->violations->len; i++)
    g_printerr ("rule: %s\n", (char *)g_ptr_array_index (t.environment->rules->violations, i));
  g_assert_cmpuint (t.environment->rules->violations->len, ==, 0);
}

static void
test_command_line (void)
{
  const struct
  {
    const char *args[3];
    int exit;
    const char *says;
  } rows[] = { { { "--version" }, 0, NULL },
               { { "--config", t.config[0], "--check" }, 0, NULL },
               { { "--config", "/nonexistent", "--check" }, 2, "/nonexistent" },
               { { "--check" }, 2, "--config" },
               { { "--colour" }, 2, "colour" } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *err = NULL, *out = NULL;
      g_autoptr (GSubprocess) p = g_subprocess_new (
          G_SUBPROCESS_FLAGS_STDERR_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error, program,
          rows[i].args[0], rows[i].args[1], rows[i].args[2], NULL);
      g_assert_no_error (error);
      g_assert_true (g_subprocess_communicate_utf8 (p, NULL, NULL, &out, &err, &error));
      g_assert_cmpint (g_subprocess_get_exit_status (p), ==, rows[i].exit);
      if (rows[i].says)
        {
          g_assert_nonnull (strstr (err, rows[i].says));
          g_assert_true (strchr (err, '\n') == err + strlen (err) - 1);
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
  g_test_add_func ("/loopback/resets", test_resets);
  g_test_add_func ("/loopback/bad-input", test_bad_input);
  g_test_add_func ("/loopback/array", test_array);
  g_test_add_func ("/loopback/crowded", test_crowded);
  g_test_add_func ("/loopback/restarts", test_restarts);
  g_test_add_func ("/loopback/command-line", test_command_line);
  int status = g_test_run ();
  for (guint i = 0; i < NODES; i++)
    {
      stop (i);
      g_unlink (t.config[i]);
    }
  g_rmdir (t.dir);
  return status;
}
