#include "server/http-daemon.h"

#include "base/time-units.h"
#include "server/main-loop-priority.h"
#include "server/socket-keepalive.h"

/* Memory of a connection for the header of a request and of its response. */
#define CONNECTION_MEMORY_BYTES ((size_t)8192)

struct MhHttpDaemon
{
  GSource source;
  GSocket *socket;
  struct MHD_Daemon *daemon;
  MhHttpRequestFunc func;
  gpointer user_data;
  GHashTable *exchanges; /* MhHttpExchange; all that exist */
  guint connections;     /* open ones */
  guint max_connections;
  gpointer epoll_tag;   /* of the descriptor that is readable while input waits */
  gint64 input_read_us; /* when the main loop last found no input waiting */
};

guint
mh_http_daemon_count_connections (const MhHttpDaemon *self)
{
  return self->connections;
}

gint64
mh_http_daemon_get_input_read_us (const MhHttpDaemon *self)
{
  return self->input_read_us;
}

/* ---- callbacks of libmicrohttpd ---- */

/* libmicrohttpd prescribes the parameters. */
static enum MHD_Result
/* NOLINTNEXTLINE(readability-function-size) */
on_access (void *data, struct MHD_Connection *connection, const char *path, const char *method,
           const char *version, const char *upload_data, size_t *upload_data_size,
           void **connection_data)
{
  MhHttpDaemon *self = data;
  MhHttpExchange *exchange = *connection_data;
  (void)version;
  if (exchange == NULL) /* the header has been received */
    {
      exchange = mh_http_exchange_new (connection, &self->source, method, path);
      g_hash_table_add (self->exchanges, exchange);
      *connection_data = exchange;
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      size_t size = *upload_data_size;
      *upload_data_size = 0;
      return mh_http_exchange_append_body (exchange, upload_data, size) ? MHD_YES : MHD_NO;
    }
  if (!mh_http_exchange_has_response (exchange))
    self->func (exchange, self->user_data);
  return mh_http_exchange_send_or_suspend (exchange) ? MHD_YES : MHD_NO;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **connection_data,
              enum MHD_RequestTerminationCode reason)
{
  MhHttpDaemon *self = data;
  (void)connection;
  (void)reason;
  if (*connection_data)
    g_hash_table_remove (self->exchanges, *connection_data);
  *connection_data = NULL;
}

static void
on_connection (void *data, struct MHD_Connection *connection, void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  MhHttpDaemon *self = data;
  (void)socket_context;
  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      self->connections--;
      return;
    }
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  mh_socket_enable_keepalive (info->connect_fd);
  self->connections++;
}

/* ---- main loop ---- */

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user_data)
{
  MhHttpDaemon *self = (MhHttpDaemon *)source;
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  (void)callback;
  (void)user_data;
  gint64 due_us = -1;
  bool was_full = self->connections == self->max_connections;
  MHD_run (self->daemon);
  if (MHD_get_timeout (self->daemon, &timeout_ms) == MHD_YES)
    due_us = g_get_monotonic_time () + (gint64)timeout_ms * MH_MILLISECOND_US;
  /* At the limit libmicrohttpd stops to listen, and it begins again when it is run after a
     connection was closed. */
  if (was_full && self->connections < self->max_connections)
    due_us = 0;
  g_source_set_ready_time (source, due_us);
  return G_SOURCE_CONTINUE;
}

/* Runs after each poll of the main loop. GLib itself dispatches the source if its descriptor is
   ready. */
static gboolean
check (GSource *source)
{
  MhHttpDaemon *self = (MhHttpDaemon *)source;
  bool is_due = g_source_get_ready_time (source) == 0;
  if (!is_due && g_source_query_unix_fd (source, self->epoll_tag) == 0)
    self->input_read_us = g_source_get_time (source);
  return FALSE;
}

static GSourceFuncs daemon_funcs = { .check = check, .dispatch = dispatch };

static GSocket *
listen_on (GSocketAddress *address, guint backlog, GError **error)
{
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (address),
                                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (socket == NULL)
    return NULL;
  g_socket_set_listen_backlog (socket, (int)backlog);
  if (!g_socket_bind (socket, address, TRUE, error) || !g_socket_listen (socket, error))
    return NULL;
  return g_steal_pointer (&socket);
}

static void
attach_to_main_loop (MhHttpDaemon *self)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (self->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  self->epoll_tag = g_source_add_unix_fd (&self->source, info->epoll_fd, G_IO_IN);
  g_source_set_priority (&self->source, MH_PRIORITY_REQUEST);
  g_source_attach (&self->source, NULL);
}

MhHttpDaemon *
mh_http_daemon_new (GSocketAddress *address, const MhHttpLimits *limits, MhHttpRequestFunc func,
                    gpointer user_data, GError **error)
{
  g_return_val_if_fail (address != NULL && func != NULL, NULL);
  g_autoptr (GSocket) socket = listen_on (address, limits->max_connections, error);
  if (socket == NULL)
    return NULL;
  MhHttpDaemon *self = (MhHttpDaemon *)g_source_new (&daemon_funcs, sizeof (MhHttpDaemon));
  self->socket = g_steal_pointer (&socket);
  self->max_connections = limits->max_connections;
  self->input_read_us = g_get_monotonic_time ();
  self->func = func;
  self->user_data = user_data;
  self->exchanges = g_hash_table_new_full (NULL, NULL, (GDestroyNotify)mh_http_exchange_free, NULL);
  /* Without MHD_USE_TURBO, a client that closes right after its request is not noticed: the end of
     the stream causes no further event when it arrives together with data. */
  self->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_TURBO | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, self,
      MHD_OPTION_LISTEN_SOCKET, g_socket_get_fd (self->socket), MHD_OPTION_CONNECTION_LIMIT,
      limits->max_connections, MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, self, MHD_OPTION_NOTIFY_CONNECTION, on_connection, self, MHD_OPTION_END);
  if (self->daemon == NULL)
    {
      g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_FAILED, "cannot start the HTTP daemon");
      mh_http_daemon_free (self);
      return NULL;
    }
  attach_to_main_loop (self);
  return self;
}

/* libmicrohttpd cannot be stopped while a connection is suspended. */
static void
resume_all (MhHttpDaemon *self)
{
  const MhHttpResponse response = { .status = MHD_HTTP_SERVICE_UNAVAILABLE, .close = true };
  GHashTableIter it;
  gpointer exchange;
  g_hash_table_iter_init (&it, self->exchanges);
  while (g_hash_table_iter_next (&it, &exchange, NULL))
    if (mh_http_exchange_is_suspended (exchange))
      mh_http_exchange_respond (exchange, &response);
}

void
mh_http_daemon_free (MhHttpDaemon *self)
{
  if (self == NULL)
    return;
  g_source_destroy (&self->source);
  if (self->daemon)
    {
      MHD_quiesce_daemon (self->daemon); /* the listening socket belongs to `socket` */
      resume_all (self);
      MHD_stop_daemon (self->daemon);
    }
  g_clear_object (&self->socket);
  g_hash_table_unref (self->exchanges);
  g_source_unref (&self->source);
}
