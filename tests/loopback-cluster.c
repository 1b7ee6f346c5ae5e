#include "loopback-cluster.h"

#include "protocol/user-messages.h"
#include "settings/settings-loader.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>

#define CBOR "application/cbor"
#define TIMER_INTERVAL_MS 20
#define LOG_MODE 0644
#define MAX_CONNECTIONS 300
#define MAX_CONNECTIONS_PER_NODE 100
#define HEARTBEAT_RETRY_US 100000
#define HEARTBEAT_TIMEOUT_US (4 * MH_SECOND_US)

typedef struct
{
  LoopbackCluster *cluster;
  Machine *machine;
  SoupServer *server;
  guint node;
  bool heartbeat_pending;
  gint64 next_us, sent_us;
  guint64 sent_incarnation;
} LoopbackWorker;

/* ---- stand-ins as servers ---- */

static void
respond (SoupServerMessage *message, guint status, MhValue *body)
{
  soup_server_message_set_status (message, status, NULL);
  if (body)
    {
      g_autoptr (GBytes) bytes = mh_value_serialize (body);
      gsize size;
      const char *data = g_bytes_get_data (bytes, &size);
      soup_server_message_set_response (message, CBOR, SOUP_MEMORY_COPY, data, size);
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
advance_environment (LoopbackCluster *cluster)
{
  g_autoptr (GArray) woken = g_array_new (FALSE, FALSE, sizeof (EndedWatch));
  environment_advance (cluster->environment, g_get_monotonic_time (), woken);
  for (guint i = 0; i < woken->len; i++)
    {
      const EndedWatch *watch = &g_array_index (woken, EndedWatch, i);
      SoupServerMessage *message = g_hash_table_lookup (cluster->waiting_watches, watch->token);
      if (message)
        {
          respond (message, watch->status, watch->body);
          soup_server_message_unpause (message);
          g_hash_table_remove (cluster->waiting_watches, watch->token);
        }
      else
        mh_value_unref (watch->body);
    }
}

static gboolean
on_delay_over (gpointer data)
{
  soup_server_message_unpause (data);
  return G_SOURCE_REMOVE;
}

static void
delay_response (const LoopbackCluster *cluster, SoupServerMessage *message, MhTarget target)
{
  if (target != MH_TARGET_KEY_VALUE_STORE || cluster->service_delay_us == 0)
    return;
  soup_server_message_pause (message);
  g_timeout_add_full (G_PRIORITY_DEFAULT, (guint)(cluster->service_delay_us / MH_MILLISECOND_US),
                      on_delay_over, g_object_ref (message), g_object_unref);
}

static void
handle_service_request (SoupServer *server, SoupServerMessage *message, const char *path,
                        GHashTable *query, gpointer data)
{
  LoopbackCluster *cluster = data;
  (void)server;
  (void)query;
  advance_environment (cluster);
  const char *query_text = g_uri_get_query (soup_server_message_get_uri (message));
  g_autofree char *path_and_query
      = query_text ? g_strconcat (path, "?", query_text, NULL) : g_strdup (path);
  MhTarget target
      = g_str_has_prefix (path, "/machine") ? MH_TARGET_CLOUD : MH_TARGET_KEY_VALUE_STORE;
  guint refused = cluster->service_func
                      ? cluster->service_func (target, path_and_query, cluster->service_data)
                      : 0;
  if (refused)
    {
      respond (message, refused, NULL);
      return;
    }
  g_autoptr (MhValue) body = get_request_body (message);
  ServiceRequest request = { .method = soup_server_message_get_method (message),
                             .path = path_and_query,
                             .body = body,
                             .token = message };
  ServiceResponse response;
  if (environment_serve (cluster->environment, target, &request, &response))
    {
      respond (message, response.status, response.body);
      delay_response (cluster, message, target);
      return;
    }
  soup_server_message_pause (message);
  g_hash_table_add (cluster->waiting_watches, g_object_ref (message));
}

static void
handle_worker_request (SoupServer *server, SoupServerMessage *message, const char *path,
                       GHashTable *query, gpointer data)
{
  LoopbackWorker *worker = data;
  MhValue *response = NULL;
  (void)server;
  (void)query;
  advance_environment (worker->cluster);
  guint status = 200;
  g_autoptr (MhValue) body = get_request_body (message);
  if (!worker->machine->running)
    status = 503;
  else if (g_strcmp0 (path, "/show") == 0)
    response = worker_protocol_heartbeat (worker->machine);
  else
    status = worker_protocol_commands (worker->machine, body, &response);
  respond (message, status, response);
}

/* ---- requests with a time limit ---- */

typedef struct
{
  LoopbackResponseFunc func;
  gpointer data;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timeout;
} PendingCall;

static gboolean
on_call_timeout (gpointer data)
{
  PendingCall *call = data;
  call->timeout = 0;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static void
on_call_response (GObject *source, GAsyncResult *result, gpointer data)
{
  PendingCall *call = data;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  gsize size = 0;
  const void *raw = bytes ? g_bytes_get_data (bytes, &size) : NULL;
  g_autoptr (MhValue) body = size ? mh_value_parse (raw, size, NULL) : NULL;
  g_clear_handle_id (&call->timeout, g_source_remove);
  call->func (bytes ? soup_message_get_status (call->message) : 0, body, call->data);
  g_object_unref (call->message);
  g_object_unref (call->cancellable);
  g_free (call);
}

static void
send_to_port (SoupSession *session, guint port, const char *method, const char *path, GBytes *body,
              gint64 timeout_us, LoopbackResponseFunc func, gpointer data)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, path);
  PendingCall *call = g_new0 (PendingCall, 1);
  call->func = func;
  call->data = data;
  call->message = soup_message_new (method, url);
  call->cancellable = g_cancellable_new ();
  call->timeout = g_timeout_add ((guint)(timeout_us / MH_MILLISECOND_US), on_call_timeout, call);
  if (body)
    soup_message_set_request_body_from_bytes (call->message, CBOR, body);
  soup_session_send_and_read_async (session, call->message, G_PRIORITY_DEFAULT, call->cancellable,
                                    on_call_response, call);
}

void
loopback_cluster_send (LoopbackCluster *cluster, guint node, const char *method, const char *path,
                       GBytes *body, gint64 timeout_us, LoopbackResponseFunc func, gpointer data)
{
  send_to_port (cluster->session, cluster->nodes[node].front, method, path, body, timeout_us, func,
                data);
}

GBytes *
loopback_cluster_encode_submission (LoopbackCluster *cluster, MhJobSpec *spec, gint64 run_us)
{
  g_autoptr (MhValue) body = mh_submission_encode (spec);
  workload_add (cluster->environment->workload, spec, run_us);
  return mh_value_serialize (body);
}

/* ---- workers ---- */

static void
on_heartbeat_response (guint status, const MhValue *body, gpointer data)
{
  LoopbackWorker *worker = data;
  g_autofree char *node = body ? mh_value_get_text (body, "dispatcher") : NULL;
  worker->heartbeat_pending = false;
  advance_environment (worker->cluster);
  if (status == 200)
    worker_protocol_heartbeat_response (worker->machine, worker->sent_us, worker->sent_incarnation,
                                        body);
  else if (status == 421 && node)
    worker->node = (guint)(node[strlen (node) - 1] - '0') % LOOPBACK_NODES;
  else
    worker->node = (worker->node + 1) % LOOPBACK_NODES;
  worker->next_us
      = g_get_monotonic_time ()
        + (status == 200 ? worker->cluster->options.heartbeat_interval_us : HEARTBEAT_RETRY_US);
}

static void
send_heartbeat_if_due (LoopbackWorker *worker)
{
  gint64 now_us = g_get_monotonic_time ();
  Machine *machine = worker->machine;
  if (!machine->running || machine->removed || worker->heartbeat_pending
      || now_us < MAX (worker->next_us, machine->hung_until_us))
    return;
  worker->heartbeat_pending = true;
  worker->sent_us = now_us;
  worker->sent_incarnation = machine->incarnation;
  g_autoptr (MhValue) heartbeat = worker_protocol_heartbeat (machine);
  g_autoptr (GBytes) bytes = mh_value_serialize (heartbeat);
  send_to_port (worker->cluster->worker_session, worker->cluster->nodes[worker->node].front, "POST",
                "/hello", bytes, HEARTBEAT_TIMEOUT_US, on_heartbeat_response, worker);
}

/* Starts a server on a port that the kernel chooses, and returns the port. */
static guint
listen_on_any_port (SoupServer *server)
{
  g_autoptr (GError) error = NULL;
  soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error);
  g_assert_no_error (error);
  GSList *uris = soup_server_get_uris (server);
  guint port = (guint)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  return port;
}

static LoopbackWorker *
worker_new (LoopbackCluster *cluster, Machine *machine)
{
  LoopbackWorker *worker = g_new0 (LoopbackWorker, 1);
  worker->cluster = cluster;
  worker->machine = machine;
  worker->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (worker->server, NULL, handle_worker_request, worker, NULL);
  g_free (machine->endpoint);
  machine->endpoint = g_strdup_printf ("127.0.0.1:%u", listen_on_any_port (worker->server));
  return worker;
}

static gboolean
on_timer (gpointer data)
{
  LoopbackCluster *cluster = data;
  const GPtrArray *machines = cluster->environment->cloud->machines;
  advance_environment (cluster);
  for (guint i = cluster->workers->len; i < machines->len; i++)
    g_ptr_array_add (cluster->workers, worker_new (cluster, g_ptr_array_index (machines, i)));
  for (guint i = 0; i < cluster->workers->len; i++)
    send_heartbeat_if_due (g_ptr_array_index (cluster->workers, i));
  return G_SOURCE_CONTINUE;
}

/* ---- controllers ---- */

/* Runs in the new process. Without it, a controller that is left running by a failed test would
   keep ctest waiting for the end of its output. */
static void
kill_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static int
open_log (const LoopbackCluster *cluster, guint node)
{
  g_autofree char *name = g_strdup_printf ("node-%u.log", node);
  g_autofree char *path = g_build_filename (cluster->options.log_dir, name, NULL);
  int descriptor = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
  g_assert_cmpint (descriptor, >=, 0);
  return descriptor;
}

void
loopback_cluster_start (LoopbackCluster *cluster, guint node)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  if (cluster->options.crash_on_critical)
    g_subprocess_launcher_setenv (launcher, "G_DEBUG", "fatal-criticals", TRUE);
  if (cluster->options.log_dir)
    {
      g_subprocess_launcher_setenv (launcher, "LOG_LEVEL", "info", TRUE);
      g_subprocess_launcher_take_stderr_fd (launcher, open_log (cluster, node));
    }
  g_subprocess_launcher_set_child_setup (launcher, kill_with_parent, NULL, NULL);
  cluster->nodes[node].process = g_subprocess_launcher_spawn (
      launcher, &error, cluster->options.program, "--config", cluster->nodes[node].config, NULL);
  g_assert_no_error (error);
}

void
loopback_cluster_stop (LoopbackCluster *cluster, guint node)
{
  GSubprocess **process = &cluster->nodes[node].process;
  if (*process == NULL)
    return;
  g_subprocess_force_exit (*process);
  g_subprocess_wait (*process, NULL, NULL);
  g_clear_object (process);
}

void
loopback_cluster_signal (LoopbackCluster *cluster, guint node, int signal)
{
  if (cluster->nodes[node].process)
    g_subprocess_send_signal (cluster->nodes[node].process, signal);
}

static char *
format_settings (const LoopbackCluster *cluster, guint node)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "node_name = \"node-%u\"\nzone = \"a\"\nfront = \"127.0.0.1:%u\"\n"
                          "peer_bind = \"127.0.0.1:%u\"\n",
                          node, cluster->nodes[node].front, cluster->nodes[node].peer);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    if (i != node)
      g_string_append_printf (text,
                              "[[members]]\nnode_name = \"node-%u\"\nendpoint = \"127.0.0.1:%u\"\n",
                              i, cluster->nodes[i].peer_seen_by[node]);
  g_string_append_printf (
      text, "[endpoints]\ncloud = \"127.0.0.1:%u\"\nstate = \"127.0.0.1:%u\"\n%s",
      cluster->services_port, cluster->nodes[node].store, cluster->options.settings);
  return g_string_free (text, FALSE);
}

void
loopback_cluster_write_settings (LoopbackCluster *cluster)
{
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *text = format_settings (cluster, i);
      g_file_set_contents (cluster->nodes[i].config, text, -1, &error);
      g_assert_no_error (error);
    }
}

/* Returns a port that no other process gets until the cluster is freed. The reservation is bound
   and does not listen, so that the controller may bind the port as well. */
static guint
reserve_port (LoopbackCluster *cluster)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  g_assert_no_error (error);
  g_socket_bind (socket, any, TRUE, &error);
  g_assert_no_error (error);
  g_ptr_array_add (cluster->reservations, socket);
  g_autoptr (GSocketAddress) address = g_socket_get_local_address (socket, &error);
  g_assert_no_error (error);
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}

static void
choose_ports (LoopbackCluster *cluster)
{
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    {
      LoopbackNode *node = &cluster->nodes[i];
      g_autofree char *name = g_strdup_printf ("node-%u.toml", i);
      node->front = reserve_port (cluster);
      node->peer = reserve_port (cluster);
      node->store = cluster->services_port;
      node->config = g_build_filename (cluster->dir, name, NULL);
      for (guint j = 0; j < LOOPBACK_NODES; j++)
        node->peer_seen_by[j] = node->peer;
    }
}

static SoupSession *
session_new (void)
{
  return soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", MAX_CONNECTIONS,
                                        "max-conns-per-host", MAX_CONNECTIONS_PER_NODE, NULL);
}

LoopbackCluster *
loopback_cluster_new (const LoopbackOptions *options)
{
  g_autoptr (GError) error = NULL;
  LoopbackCluster *cluster = g_new0 (LoopbackCluster, 1);
  cluster->options = *options;
  cluster->dir = g_dir_make_tmp ("minthill-XXXXXX", NULL);
  cluster->reservations = g_ptr_array_new_with_free_func (g_object_unref);
  cluster->services = soup_server_new (NULL, NULL);
  soup_server_add_handler (cluster->services, NULL, handle_service_request, cluster, NULL);
  cluster->services_port = listen_on_any_port (cluster->services);
  choose_ports (cluster);
  loopback_cluster_write_settings (cluster);
  cluster->settings = mh_settings_load (cluster->nodes[0].config, NULL, &error);
  g_assert_no_error (error);
  cluster->environment = environment_new (cluster->settings, 0);
  cluster->environment->cloud->boot_us = MH_SECOND_US;
  cluster->workers = g_ptr_array_new ();
  cluster->waiting_watches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, g_object_unref, NULL);
  cluster->session = session_new ();
  cluster->worker_session = session_new ();
  cluster->timer = g_timeout_add (TIMER_INTERVAL_MS, on_timer, cluster);
  return cluster;
}

void
loopback_cluster_free (LoopbackCluster *cluster)
{
  g_source_remove (cluster->timer);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    {
      loopback_cluster_stop (cluster, i);
      g_unlink (cluster->nodes[i].config);
      g_free (cluster->nodes[i].config);
    }
  g_rmdir (cluster->dir);
  g_ptr_array_unref (cluster->reservations);
}
