#include "server/shell.h"

#include "controller/core.h"
#include "server/front.h"
#include "protocol/controller-messages.h"
#include "protocol/route.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define CBOR "application/cbor"
#define CONNECTIONS_PER_HOST 16
/* A session keeps a timer for five minutes for each host that it has spoken to, and each turn of
   the main loop looks at all of them: with a thousand workers that once took half of the leader's
   time. After so many calls a session is let go, and its timers with it. */
#define CALLS_A_SESSION 32u

typedef struct Shell Shell;
typedef struct Peer Peer;

/* A user's or worker's request that waits for the core's answer. */
typedef struct
{
  Shell *shell;
  guint64 id;
  SoupServerMessage *message; /* NULL: came from a peer */
  MhFrontGroup *group;
  gulong finished;
  Peer *peer;
  guint64 peer_id;
  MhUserVerb verb; /* 0: a worker */
  char *job;
  GBytes *body;
  guint timeout; /* while forwarded */
  Peer *forwarded;
} Request;

/* A connection to or from another controller. */
struct Peer
{
  Shell *shell;
  char *node; /* NULL: it connected to us */
  GSocketConnection *connection;
  GByteArray *in, *out, *writing;
  guint8 chunk[8192];
  GCancellable *stop;
  bool reading, closed;
};

typedef struct
{
  Shell *shell;
  guint64 id;
  SoupMessage *message;
  GCancellable *cancel;
  guint timeout;
} Call;

struct Shell
{
  const MhSettings *settings;
  MhCore *core;
  GRand *random;
  SoupServer *server;
  MhFront *front;
  SoupSession *session;
  SoupSession *worker_session; /* replaced now and then */
  guint session_calls;         /* of the present one */
  GSocketService *peer_service;
  GSource *timer;
  GHashTable *requests; /* id -> Request */
  GHashTable *peers;    /* node -> Peer */
  guint64 next_id;
  bool pumping;
};

static void
pump (Shell *shell);

static MhNow
now (Shell *shell)
{
  return (MhNow){ .mono_us = g_get_monotonic_time (),
                  .wall_us = g_get_real_time (),
                  .jitter = g_rand_double (shell->random) };
}

/* ---- requests that wait ---- */

static void
request_free (gpointer data)
{
  Request *r = data;
  if (r->message)
    {
      g_signal_handler_disconnect (r->message, r->finished);
      g_object_unref (r->message);
    }
  if (r->timeout)
    g_source_remove (r->timeout);
  g_free (r->job);
  g_clear_pointer (&r->body, g_bytes_unref);
  g_free (r);
}

static Request *
request_new (Shell *shell)
{
  Request *r = g_new0 (Request, 1);
  r->shell = shell;
  r->id = ++shell->next_id;
  g_hash_table_insert (shell->requests, &r->id, r);
  return r;
}

static void
message_finished (SoupServerMessage *message, gpointer data)
{
  Request *r = data;
  (void)message;
  g_hash_table_remove (r->shell->requests, &r->id);
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
      soup_server_message_set_response (m, CBOR, SOUP_MEMORY_COPY, data, size);
    }
}

static void
respond_user (SoupServerMessage *m, MhUserVerb verb, const char *job, const MhUserAnswer *a)
{
  g_autoptr (MhValue) body = NULL;
  if (a->status == 200 || a->status == 201)
    body = mh_job_status_encode (job, a, verb == MH_USER_STATUS);
  else if (a->retry_after_s)
    {
      g_autofree char *after = g_strdup_printf ("%u", a->retry_after_s);
      soup_message_headers_replace (soup_server_message_get_response_headers (m), "Retry-After",
                                    after);
    }
  respond (m, a->status, body);
}

static Request *
pause_message (Shell *shell, SoupServerMessage *m)
{
  Request *r = request_new (shell);
  r->group = mh_front_current (shell->front);
  r->message = g_object_ref (m);
  r->finished = g_signal_connect (m, "finished", G_CALLBACK (message_finished), r);
  soup_server_message_pause (m);
  return r;
}

/* ---- peers ---- */

static void
peer_read (Peer *peer);
static void
peer_flush (Peer *peer);

static Peer *
peer_new (Shell *shell, const char *node)
{
  Peer *p = g_new0 (Peer, 1);
  p->shell = shell;
  p->node = g_strdup (node);
  p->in = g_byte_array_new ();
  p->out = g_byte_array_new ();
  p->stop = g_cancellable_new ();
  return p;
}

/* Frees the peer once nothing asynchronous holds it any more. */
static void
peer_settle (Peer *p)
{
  if (!p->closed || p->reading || p->writing)
    return;
  g_clear_object (&p->connection);
  g_clear_object (&p->stop);
  g_byte_array_unref (p->in);
  g_byte_array_unref (p->out);
  g_free (p->node);
  g_free (p);
}

static void
forward_failed (Shell *shell, guint64 id)
{
  Request *r = g_hash_table_lookup (shell->requests, &id);
  MhNow t = now (shell);
  if (r)
    r->forwarded = NULL;
  mh_core_forwarded (shell->core, &t, id, NULL);
  pump (shell);
}

static void
peer_close (Peer *p)
{
  Shell *shell = p->shell;
  GHashTableIter it;
  gpointer value;
  g_autoptr (GArray) lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  if (p->closed)
    return;
  p->closed = true;
  g_cancellable_cancel (p->stop);
  if (p->node && g_hash_table_lookup (shell->peers, p->node) == p)
    g_hash_table_remove (shell->peers, p->node);
  g_hash_table_iter_init (&it, shell->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Request *r = value;
      if (r->peer == p)
        r->peer = NULL;
      if (r->forwarded == p)
        g_array_append_val (lost, r->id);
    }
  for (guint i = 0; i < lost->len; i++)
    forward_failed (shell, g_array_index (lost, guint64, i));
  peer_settle (p);
}

static void
peer_written (GObject *source, GAsyncResult *result, gpointer data)
{
  Peer *p = data;
  g_clear_pointer (&p->writing, g_byte_array_unref);
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    {
      if (p->closed)
        peer_settle (p);
      else
        peer_close (p);
      return;
    }
  if (p->closed)
    {
      peer_settle (p);
      return;
    }
  peer_flush (p);
}

static void
peer_flush (Peer *p)
{
  if (p->connection == NULL || p->writing || p->out->len == 0 || p->closed)
    return;
  p->writing = p->out;
  p->out = g_byte_array_new ();
  g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (p->connection)),
                                   p->writing->data, p->writing->len, G_PRIORITY_DEFAULT, p->stop,
                                   peer_written, p);
}

static void
peer_send (Peer *p, GByteArray *record)
{
  if (record == NULL)
    return;
  g_byte_array_append (p->out, record->data, record->len);
  g_byte_array_unref (record);
  peer_flush (p);
}

static void
peer_message (Peer *p, MhControllerMessage *m)
{
  Shell *shell = p->shell;
  MhNow t = now (shell);
  if (m->kind == MH_CONTROLLER_RESPONSE)
    {
      Request *r = g_hash_table_lookup (shell->requests, &m->id);
      if (r && r->forwarded == p)
        {
          r->forwarded = NULL;
          mh_core_forwarded (shell->core, &t, r->id, &m->answer);
        }
    }
  else if (m->kind == MH_CONTROLLER_ANNOUNCEMENT)
    mh_core_leader_announced (shell->core, &t, m->node, m->epoch);
  else
    {
      MhJobSpec *spec = NULL;
      if (m->verb == MH_USER_SUBMIT)
        {
          gsize size;
          const void *data = g_bytes_get_data (m->body, &size);
          g_autoptr (MhValue) body = mh_value_load (data, size, NULL);
          spec = mh_submission_decode (body, NULL);
          if (spec == NULL || strcmp (spec->id, m->job) != 0)
            {
              MhUserAnswer a = { .status = 400 };
              mh_job_spec_free (spec);
              peer_send (p, mh_controller_response_encode (m->id, &a));
              return;
            }
        }
      Request *r = request_new (shell);
      r->peer = p;
      r->peer_id = m->id;
      r->verb = m->verb;
      r->job = g_strdup (m->job);
      mh_core_user (shell->core, &t, r->id, m->verb, r->job, spec, true);
    }
  pump (shell);
}

static void
peer_got (GObject *source, GAsyncResult *result, gpointer data)
{
  Peer *p = data;
  gssize n = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  p->reading = false;
  if (p->closed)
    {
      peer_settle (p);
      return;
    }
  if (n <= 0)
    {
      peer_close (p);
      return;
    }
  g_byte_array_append (p->in, p->chunk, (guint)n);
  p->reading = true; /* keeps the peer while its messages are handled */
  MhControllerMessage m;
  MhControllerReadResult read;
  while (!p->closed
         && (read = mh_controller_message_read (p->in, &m, NULL)) == MH_CONTROLLER_READ_MESSAGE)
    {
      peer_message (p, &m);
      mh_controller_message_clear (&m);
    }
  p->reading = false;
  if (p->closed)
    peer_settle (p);
  else if (read == MH_CONTROLLER_READ_MALFORMED)
    {
      g_info ("peer: malformed message; connection closed");
      peer_close (p);
    }
  else
    peer_read (p);
}

static void
peer_read (Peer *p)
{
  p->reading = true;
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (p->connection)), p->chunk,
                             sizeof p->chunk, G_PRIORITY_DEFAULT, p->stop, peer_got, p);
}

static void
peer_ready (Peer *p, GSocketConnection *connection)
{
  p->connection = connection;
  g_socket_set_option (g_socket_connection_get_socket (connection), IPPROTO_TCP, TCP_NODELAY, 1,
                       NULL);
  peer_read (p);
  peer_flush (p);
}

static gboolean
peer_incoming (GSocketService *service, GSocketConnection *connection, GObject *source,
               gpointer data)
{
  (void)service;
  (void)source;
  peer_ready (peer_new (data, NULL), g_object_ref (connection));
  return TRUE;
}

static void
peer_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  Peer *p = data;
  g_autoptr (GError) error = NULL;
  GSocketConnection *c = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), result, &error);
  p->reading = false;
  if (p->closed)
    {
      g_clear_object (&c);
      peer_settle (p);
    }
  else if (c == NULL)
    {
      g_debug ("peer %s: %s", p->node, error->message);
      peer_close (p);
    }
  else
    peer_ready (p, c);
}

static GSocketAddress *
address_of (const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return NULL;
  g_autofree char *host = g_strndup (text, (gsize)(colon - text));
  return g_inet_socket_address_new_from_string (host, (guint)port);
}

static Peer *
peer_to (Shell *shell, const char *node)
{
  Peer *p = g_hash_table_lookup (shell->peers, node);
  if (p)
    return p;
  for (guint i = 0; i < shell->settings->members->len; i++)
    {
      const MhMember *m = g_ptr_array_index (shell->settings->members, i);
      g_autoptr (GSocketAddress) address = address_of (m->endpoint);
      if (strcmp (m->name, node) != 0 || address == NULL)
        continue;
      p = peer_new (shell, node);
      g_hash_table_insert (shell->peers, p->node, p);
      g_autoptr (GSocketClient) client = g_socket_client_new ();
      g_socket_client_set_enable_proxy (client, FALSE);
      p->reading = true;
      g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (address), p->stop,
                                     peer_connected, p);
      return p;
    }
  return NULL;
}

static gboolean
forward_timeout (gpointer data)
{
  Request *r = data;
  Shell *shell = r->shell;
  Peer *p = r->forwarded;
  r->timeout = 0;
  forward_failed (shell, r->id);
  /* A peer that does not answer in time may hang: the next request tries a new connection. */
  if (p)
    peer_close (p);
  return G_SOURCE_REMOVE;
}

static void
forward (Shell *shell, const MhAction *a)
{
  Request *r = g_hash_table_lookup (shell->requests, &a->id);
  Peer *p = r ? peer_to (shell, a->node) : NULL;
  if (p == NULL)
    {
      MhNow t = now (shell);
      mh_core_forwarded (shell->core, &t, a->id, NULL);
      return;
    }
  r->forwarded = p;
  r->timeout = g_timeout_add ((guint)(a->timeout_us / 1000), forward_timeout, r);
  peer_send (p, mh_controller_request_encode (r->id, r->verb, r->job, r->body));
}

static void
tell (Shell *shell, const MhAction *a)
{
  Peer *p = peer_to (shell, a->node);
  /* What a slow or absent controller has not taken yet need not be said twice. */
  if (p && p->out->len == 0)
    peer_send (p, mh_controller_announcement_encode (shell->settings->node, a->id));
}

/* ---- calls ---- */

static gboolean
call_timeout (gpointer data)
{
  Call *call = data;
  call->timeout = 0;
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
call_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  Shell *shell = call->shell;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  guint status = bytes ? soup_message_get_status (call->message) : 0;
  g_autoptr (MhValue) body = NULL;
  if (bytes && g_bytes_get_size (bytes))
    {
      gsize size;
      const void *raw = g_bytes_get_data (bytes, &size);
      body = mh_value_load (raw, size, NULL);
      if (body == NULL)
        {
          g_info ("malformed reply of %s", soup_message_get_method (call->message));
          status = 0;
        }
    }
  if (call->timeout)
    g_source_remove (call->timeout);
  MhNow t = now (shell);
  mh_core_reply (shell->core, &t, call->id, status, body);
  g_object_unref (call->message);
  g_object_unref (call->cancel);
  g_free (call);
  pump (shell);
}

static SoupSession *
session_new (guint connections, guint per_host, guint idle_s)
{
  SoupSession *session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", (int)connections, "max-conns-per-host", (int)per_host,
      "timeout", 0, "idle-timeout", idle_s, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

static SoupSession *
session_for_worker (Shell *shell)
{
  if (shell->session_calls++ >= CALLS_A_SESSION)
    {
      g_clear_object (&shell->worker_session); /* calls under way hold it */
      shell->session_calls = 1;
    }
  if (shell->worker_session == NULL)
    shell->worker_session = session_new (CALLS_A_SESSION, 1, 1);
  return shell->worker_session;
}

static void
send_call (Shell *shell, MhAction *a)
{
  const MhRequest *r = a->request;
  bool to_worker = r->target == MH_TARGET_WORKER;
  const char *host = r->target == MH_TARGET_KEY_VALUE_STORE ? shell->settings->state
                     : r->target == MH_TARGET_CLOUD         ? shell->settings->cloud
                                                            : r->endpoint;
  g_autofree char *url = g_strconcat ("http://", host, r->path, NULL);
  Call *call = g_new0 (Call, 1);
  call->shell = shell;
  call->id = a->id;
  call->message = soup_message_new (r->method, url);
  if (call->message == NULL)
    {
      MhNow t = now (shell);
      g_info ("not an address: %s", url);
      mh_core_reply (shell->core, &t, a->id, 0, NULL);
      g_free (call);
      return;
    }
  if (r->body)
    {
      g_autoptr (GBytes) bytes = mh_value_save (r->body);
      soup_message_set_request_body_from_bytes (call->message, CBOR, bytes);
    }
  /* The next command to the same worker is seconds away, and until then the main loop would look at
     an idle connection each turn. */
  if (to_worker)
    soup_message_headers_append (soup_message_get_request_headers (call->message), "Connection",
                                 "close");
  call->cancel = g_cancellable_new ();
  call->timeout = g_timeout_add ((guint)(a->timeout_us / 1000), call_timeout, call);
  soup_session_send_and_read_async (to_worker ? session_for_worker (shell) : shell->session,
                                    call->message, G_PRIORITY_DEFAULT, call->cancel, call_done,
                                    call);
}

/* ---- the pump ---- */

static void
answer (Shell *shell, const MhAction *a)
{
  Request *r = g_hash_table_lookup (shell->requests, &a->id);
  if (r == NULL)
    return; /* who asked is gone */
  if (r->message == NULL)
    {
      if (r->peer)
        peer_send (r->peer, mh_controller_response_encode (r->peer_id, &a->answer));
    }
  else
    {
      if (a->kind == MH_ACTION_ANSWER_USER)
        respond_user (r->message, r->verb, r->job, &a->answer);
      else
        {
          respond (r->message, a->status, a->body);
          /* With more workers than connections the others once could not report at all. */
          if (mh_front_crowded (shell->front))
            soup_message_headers_replace (soup_server_message_get_response_headers (r->message),
                                          "Connection", "close");
        }
      soup_server_message_unpause (r->message);
      mh_front_wake (r->group);
    }
  g_hash_table_remove (shell->requests, &a->id);
}

static void
pump (Shell *shell)
{
  if (shell->pumping)
    return; /* the outer one goes on */
  shell->pumping = true;
  /* What is started here belongs to the main context, also while a connection's own is turned. */
  g_main_context_push_thread_default (NULL);
  for (MhAction *a; (a = mh_core_pop (shell->core, g_get_monotonic_time ()));)
    {
      switch (a->kind)
        {
        case MH_ACTION_CALL:
          send_call (shell, a);
          break;
        case MH_ACTION_FORWARD:
          forward (shell, a);
          break;
        case MH_ACTION_ANNOUNCE_LEADER:
          tell (shell, a);
          break;
        case MH_ACTION_ANSWER_USER:
        case MH_ACTION_ANSWER_REPORT:
          answer (shell, a);
          break;
        case MH_ACTION_LOG:
          g_log_structured ("minthill", a->level, "MESSAGE", "%s", a->line);
          break;
        }
      mh_action_free (a);
    }
  g_main_context_pop_thread_default (NULL);
  shell->pumping = false;
  g_source_set_ready_time (shell->timer, mh_core_next_wake (shell->core));
}

static gboolean
timer_fired (gpointer data)
{
  Shell *shell = data;
  MhNow t = now (shell);
  mh_core_tick (shell->core, &t);
  pump (shell);
  return G_SOURCE_CONTINUE;
}

static gboolean
timer_dispatch (GSource *source, GSourceFunc func, gpointer data)
{
  (void)source;
  return func (data);
}

static GSourceFuncs timer_funcs = { .dispatch = timer_dispatch };

/* ---- HTTP ---- */

typedef struct
{
  gsize size;
} Counted;

static void
got_chunk (SoupServerMessage *m, GBytes *chunk, gpointer data)
{
  Counted *c = data;
  c->size += g_bytes_get_size (chunk);
  if (c->size > MH_MAX_BODY)
    soup_message_body_set_accumulate (soup_server_message_get_request_body (m), FALSE);
}

/* Runs when the headers are there: a body over the limit is never gathered in memory. */
static void
early (SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  (void)data;
  Counted *c = g_new0 (Counted, 1);
  goffset length
      = soup_message_headers_get_content_length (soup_server_message_get_request_headers (m));
  if (length > (goffset)MH_MAX_BODY)
    c->size = (gsize)length;
  g_object_set_data_full (G_OBJECT (m), "mh-counted", c, g_free);
  g_signal_connect (m, "got-chunk", G_CALLBACK (got_chunk), c);
}

static void
handle_submit (Shell *shell, SoupServerMessage *m, GBytes *bytes, MhValue *body)
{
  MhJobSpec *spec = mh_submission_decode (body, NULL);
  if (spec == NULL)
    {
      respond (m, 400, NULL);
      return;
    }
  Request *r = pause_message (shell, m);
  r->verb = MH_USER_SUBMIT;
  r->job = g_strdup (spec->id);
  r->body = g_bytes_ref (bytes);
  MhNow t = now (shell);
  mh_core_user (shell->core, &t, r->id, MH_USER_SUBMIT, r->job, spec, false);
  pump (shell);
}

static void
handle_job (Shell *shell, SoupServerMessage *m, MhUserVerb verb, const char *job)
{
  if (!mh_job_id_is_valid (job))
    {
      respond (m, 404, NULL);
      return;
    }
  Request *r = pause_message (shell, m);
  r->verb = verb;
  r->job = g_strdup (job);
  MhNow t = now (shell);
  mh_core_user (shell->core, &t, r->id, verb, r->job, NULL, false);
  pump (shell);
}

static void
handle_report (Shell *shell, SoupServerMessage *m, MhValue *body)
{
  g_autoptr (MhHeartbeat) report = mh_heartbeat_decode (body, NULL);
  if (report == NULL)
    {
      g_info ("malformed report");
      respond (m, 400, NULL);
      return;
    }
  Request *r = pause_message (shell, m);
  MhNow t = now (shell);
  mh_core_report (shell->core, &t, r->id, report);
  pump (shell);
}

static void
handle_body (Shell *shell, SoupServerMessage *m, MhRoute route)
{
  gsize size;
  g_autoptr (GBytes) bytes = soup_message_body_flatten (soup_server_message_get_request_body (m));
  const void *raw = g_bytes_get_data (bytes, &size);
  g_autoptr (MhValue) body = mh_value_load (raw, size, NULL);
  if (route == MH_ROUTE_SUBMIT)
    handle_submit (shell, m, bytes, body);
  else
    handle_report (shell, m, body);
}

static void
handle (SoupServer *server, SoupServerMessage *m, const char *path, GHashTable *query,
        gpointer data)
{
  Shell *shell = data;
  const char *method = soup_server_message_get_method (m);
  (void)server;
  (void)query;
  Counted *c = g_object_get_data (G_OBJECT (m), "mh-counted");
  if (c && c->size > MH_MAX_BODY)
    {
      respond (m, 413, NULL);
      return;
    }
  const char *allowed = NULL;
  g_autofree char *job = NULL;
  MhRoute route = mh_route_find (path, &allowed, &job);
  if (route == MH_ROUTE_NONE)
    respond (m, 404, NULL);
  else if (strcmp (method, allowed) != 0)
    {
      soup_message_headers_replace (soup_server_message_get_response_headers (m), "Allow", allowed);
      respond (m, 405, NULL);
    }
  else if (route == MH_ROUTE_READY)
    respond (m, mh_core_ready (shell->core) ? 200 : 503, NULL);
  else if (route == MH_ROUTE_STATUS)
    handle_job (shell, m, MH_USER_STATUS, job);
  else if (route == MH_ROUTE_CANCEL)
    handle_job (shell, m, MH_USER_CANCEL, job);
  else
    handle_body (shell, m, route);
}

bool
mh_shell_run (const MhSettings *settings, GError **error)
{
  Shell shell = { .settings = settings };
  shell.random = g_rand_new ();
  shell.requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, request_free);
  shell.peers = g_hash_table_new (g_str_hash, g_str_equal);

  shell.server = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (shell.server, NULL, early, &shell, NULL);
  soup_server_add_handler (shell.server, NULL, handle, &shell, NULL);
  g_autoptr (GSocketAddress) front = address_of (settings->front);
  g_autoptr (GSocketAddress) peer = address_of (settings->peer_bind);
  if (front == NULL || peer == NULL)
    {
      g_set_error_literal (error, MH_SETTINGS_ERROR, 0, "front or peer_bind is not an IP address");
      return false;
    }
  shell.front = mh_front_new (shell.server, front, settings->max_connections, error);
  if (shell.front == NULL)
    return false;
  shell.peer_service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (shell.peer_service), peer,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                      error))
    return false;
  g_signal_connect (shell.peer_service, "incoming", G_CALLBACK (peer_incoming), &shell);

  shell.session = session_new (2 * CONNECTIONS_PER_HOST, CONNECTIONS_PER_HOST, 30);

  MhNow t = now (&shell);
  shell.core = mh_core_new (settings, &t);
  shell.timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (shell.timer, timer_fired, &shell, NULL);
  g_source_set_ready_time (shell.timer, 0);
  g_source_attach (shell.timer, NULL);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_info ("%s: users and workers on %s, controllers on %s", settings->node, settings->front,
          settings->peer_bind);
  g_main_loop_run (loop);
  return true;
}
