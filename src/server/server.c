#include "server/server.h"

#include "controller/core.h"
#include "server/http-client.h"
#include "server/http-server.h"
#include "server/log-output.h"
#include "server/loop-monitor.h"
#include "server/metrics-server.h"
#include "server/metrics-text.h"
#include "server/peer-network.h"
#include "server/pending-request.h"
#include "server/process-clock.h"
#include "server/process-stats.h"
#include "server/request-forwarder.h"
#include "server/socket-address.h"

/* Interval between two status lines of the process. */
#define STATUS_INTERVAL_S 10u

typedef struct
{
  const MhSettings *settings;
  MhCore *core; /* NULL until all sockets listen */
  MhProcessClock *clock;
  MhPendingRequests *requests;
  MhHttpServer *http_server;
  MhHttpClient *http_client;
  MhPeerNetwork *peers;
  MhRequestForwarder *forwarder;
  MhMetricsServer *metrics_server; /* NULL: not set up */
  MhProcessStats stats;
  MhLoopMonitor *loop_monitor;
  guint status_timer;
  GSource *timer;   /* ready at the controller's next wake-up */
  bool dispatching; /* dispatch_actions() runs */
} Server;

static MhNow
read_clock (const Server *server)
{
  MhNow now = mh_process_clock_read (server->clock);
  now.input_read_us = mh_http_server_get_input_read_us (server->http_server);
  return now;
}

/* ---- actions of the controller ---- */

static void
forward_request (Server *server, const MhAction *action)
{
  MhPendingRequest *request = mh_pending_requests_lookup (server->requests, action->id);
  MhPeerConnection *connection
      = request ? mh_peer_network_get_connection (server->peers, action->node) : NULL;
  if (connection == NULL)
    {
      MhNow now = read_clock (server);
      mh_core_receive_forward_response (server->core, &now, action->id, NULL);
      return;
    }
  mh_request_forwarder_send (server->forwarder, request, connection, action->timeout_us);
}

static void
announce_leader (Server *server, const MhAction *action)
{
  MhPeerConnection *connection = mh_peer_network_get_connection (server->peers, action->node);
  /* While an earlier announcement is still queued for a slow or unreachable controller, another one
     is of no use. */
  if (connection && !mh_peer_connection_has_queued_output (connection))
    mh_peer_connection_send (
        connection, mh_controller_announcement_encode (server->settings->node_name, action->id));
}

static void
note_response (Server *server, const MhPendingRequest *request, const MhAction *action)
{
  MhResponseKind kind = request->exchange == NULL                   ? MH_RESPONSE_FORWARDED
                        : action->kind == MH_ACTION_RESPOND_TO_USER ? MH_RESPONSE_USER
                                                                    : MH_RESPONSE_HEARTBEAT;
  mh_process_stats_note_response (&server->stats, kind,
                                  g_get_monotonic_time () - request->received_us);
}

static void
respond_to_request (Server *server, const MhAction *action)
{
  const MhPendingRequest *request = mh_pending_requests_lookup (server->requests, action->id);
  if (request == NULL)
    return;
  note_response (server, request, action);
  if (request->exchange == NULL)
    {
      if (request->peer)
        mh_peer_connection_send (request->peer, mh_controller_response_encode (
                                                    request->peer_request_id, &action->response));
    }
  else if (action->kind == MH_ACTION_RESPOND_TO_USER)
    mh_http_server_respond_to_user (server->http_server, request, &action->response);
  else
    mh_http_server_respond_to_heartbeat (server->http_server, request, action->status,
                                         action->body);
  mh_pending_requests_remove (server->requests, action->id);
}

static void
dispatch_action (Server *server, const MhAction *action)
{
  switch (action->kind)
    {
    case MH_ACTION_SEND_REQUEST:
      mh_http_client_send (server->http_client, action->id, action->request, action->timeout_us);
      break;
    case MH_ACTION_FORWARD_USER_REQUEST:
      forward_request (server, action);
      break;
    case MH_ACTION_ANNOUNCE_LEADER:
      announce_leader (server, action);
      break;
    case MH_ACTION_RESPOND_TO_USER:
    case MH_ACTION_RESPOND_TO_HEARTBEAT:
      respond_to_request (server, action);
      break;
    case MH_ACTION_LOG:
      mh_log_output_write (action->level, server->settings->node_name, action->line);
      break;
    }
}

static MhAction *
pop_action (Server *server)
{
  return mh_core_pop_action (server->core, g_get_monotonic_time ());
}

/* Carries out the controller's actions after an input. An action may cause another input and so
   call this function again: the nested call returns at once, and the outer call carries out its
   actions too. */
static void
dispatch_actions (Server *server)
{
  if (server->dispatching)
    return;
  server->dispatching = true;
  /* Sources that are created here belong to the default main context, even while the context of a
     connection group is iterated. */
  g_main_context_push_thread_default (NULL);
  for (MhAction *action = pop_action (server); action; action = pop_action (server))
    {
      dispatch_action (server, action);
      mh_action_free (action);
    }
  g_main_context_pop_thread_default (NULL);
  server->dispatching = false;
  g_source_set_ready_time (server->timer, mh_core_next_wake_up_us (server->core));
}

/* ---- inputs of the controller ---- */

static bool
on_readiness_probe (gpointer data)
{
  const Server *server = data;
  return mh_core_is_ready (server->core);
}

static void
on_user_request (const MhPendingRequest *request, MhJobSpec *spec, gpointer data)
{
  Server *server = data;
  MhNow now = read_clock (server);
  const MhUserRequest user_request = { .id = request->id,
                                       .verb = request->verb,
                                       .job_id = request->job,
                                       .spec = spec,
                                       .forwarded = false };
  mh_core_receive_user_request (server->core, &now, &user_request);
  dispatch_actions (server);
}

static void
on_heartbeat (const MhPendingRequest *request, const MhHeartbeat *heartbeat, gpointer data)
{
  Server *server = data;
  MhNow now = read_clock (server);
  mh_core_receive_heartbeat (server->core, &now, request->id, heartbeat);
  dispatch_actions (server);
}

static void
on_response (guint64 id, guint status, const MhValue *body, gpointer data)
{
  Server *server = data;
  MhNow now = read_clock (server);
  mh_core_receive_response (server->core, &now, id, status, body);
  dispatch_actions (server);
}

static void
on_forward_outcome (guint64 id, const MhUserResponse *response, gpointer data)
{
  Server *server = data;
  MhNow now = read_clock (server);
  mh_core_receive_forward_response (server->core, &now, id, response);
  dispatch_actions (server);
}

static void
on_forwarded_request (Server *server, MhPeerConnection *connection,
                      const MhControllerMessage *message)
{
  MhJobSpec *spec;
  MhNow now = read_clock (server);
  const MhPendingRequest *request
      = mh_request_forwarder_receive (server->forwarder, connection, message, &spec);
  if (request == NULL)
    return;
  const MhUserRequest user_request = { .id = request->id,
                                       .verb = request->verb,
                                       .job_id = request->job,
                                       .spec = spec,
                                       .forwarded = true };
  mh_core_receive_user_request (server->core, &now, &user_request);
  dispatch_actions (server);
}

static void
on_announcement (Server *server, const MhControllerMessage *announcement)
{
  MhNow now = read_clock (server);
  mh_core_receive_announcement (server->core, &now, announcement->node, announcement->epoch);
  dispatch_actions (server);
}

static void
on_peer_message (MhPeerConnection *connection, const MhControllerMessage *message, gpointer data)
{
  Server *server = data;
  switch (message->kind)
    {
    case MH_CONTROLLER_REQUEST:
      on_forwarded_request (server, connection, message);
      break;
    case MH_CONTROLLER_RESPONSE:
      mh_request_forwarder_handle_response (server->forwarder, connection, message);
      break;
    case MH_CONTROLLER_ANNOUNCEMENT:
      on_announcement (server, message);
      break;
    }
}

static void
on_peer_closed (MhPeerConnection *connection, gpointer data)
{
  Server *server = data;
  mh_request_forwarder_handle_closed (server->forwarder, connection);
}

static gboolean
on_wake_up (gpointer data)
{
  Server *server = data;
  MhNow now = read_clock (server);
  gint64 due_us = mh_core_next_wake_up_us (server->core);
  if (due_us > 0) /* not the first wake-up */
    mh_process_stats_note_lag (&server->stats, now.mono_us - due_us);
  mh_process_stats_note_unread (&server->stats, now.mono_us - now.input_read_us);
  mh_core_tick (server->core, &now);
  dispatch_actions (server);
  return G_SOURCE_CONTINUE;
}

/* ---- for the operator ---- */

static gboolean
log_process_status (gpointer data)
{
  Server *server = data;
  const MhProcessStats *stats = &server->stats;
  const MhResponseStats *responses = stats->responses;
  MhLoopStats loop = mh_loop_monitor_get_stats (server->loop_monitor);
  MhBacklog pending = mh_pending_requests_get_backlog (server->requests);
  g_info ("process status main_loop_busy_percent=%d main_loop_iteration_ms=%d main_loop_lag_ms=%d "
          "unread_input_ms=%d user_response_ms=%d forwarded_response_ms=%d "
          "heartbeat_response_ms=%d connections=%u pending_requests=%u "
          "pending_requests_oldest_ms=%d",
          (int)(100 * loop.busy_share), (int)(loop.longest_iteration_us / MH_MILLISECOND_US),
          (int)(stats->recent_max_lag_us / MH_MILLISECOND_US),
          (int)(stats->recent_max_unread_us / MH_MILLISECOND_US),
          (int)(responses[MH_RESPONSE_USER].recent_max_us / MH_MILLISECOND_US),
          (int)(responses[MH_RESPONSE_FORWARDED].recent_max_us / MH_MILLISECOND_US),
          (int)(responses[MH_RESPONSE_HEARTBEAT].recent_max_us / MH_MILLISECOND_US),
          mh_http_server_count_connections (server->http_server), pending.waiting,
          (int)(pending.oldest_age_us / MH_MILLISECOND_US));
  mh_process_stats_reset_recent (&server->stats);
  mh_loop_monitor_reset (server->loop_monitor);
  return G_SOURCE_CONTINUE;
}

static char *
format_metrics (gpointer data)
{
  const Server *server = data;
  MhMetrics metrics = { .node = server->settings->node_name,
                        .process = server->stats,
                        .connections = mh_http_server_count_connections (server->http_server),
                        .pending_requests = mh_pending_requests_get_backlog (server->requests),
                        .loop = mh_loop_monitor_get_stats (server->loop_monitor) };
  mh_core_get_status (server->core, &metrics.status);
  for (guint i = 0; i < MH_COUNTERS; i++)
    metrics.counts[i] = mh_core_get_count (server->core, (MhCounter)i);
  return mh_metrics_format (&metrics);
}

/* ---- start ---- */

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer user_data)
{
  (void)source;
  return callback (user_data);
}

static GSourceFuncs timer_funcs = { .dispatch = dispatch_timer };

static const MhHttpServerHandlers http_handlers = { .is_ready = on_readiness_probe,
                                                    .user_request = on_user_request,
                                                    .heartbeat = on_heartbeat };

static const MhPeerHandlers peer_handlers
    = { .message = on_peer_message, .closed = on_peer_closed };

static void
server_clear (Server *server)
{
  if (server->timer)
    g_source_destroy (server->timer);
  g_clear_pointer (&server->timer, g_source_unref);
  g_clear_handle_id (&server->status_timer, g_source_remove);
  mh_loop_monitor_free (server->loop_monitor);
  mh_metrics_server_free (server->metrics_server);
  mh_http_server_free (server->http_server);
  mh_peer_network_free (server->peers);
  mh_http_client_free (server->http_client);
  mh_request_forwarder_free (server->forwarder);
  mh_pending_requests_free (server->requests);
  mh_core_free (server->core);
  mh_process_clock_free (server->clock);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Server, server_clear)

static bool
listen_for_metrics (Server *server, GError **error)
{
  if (server->settings->metrics == NULL)
    return true;
  g_autoptr (GSocketAddress) address = mh_socket_address_parse (server->settings->metrics);
  if (address == NULL)
    {
      g_set_error_literal (
          error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID,
          "metrics is not an IP address; expected ADDRESS:PORT without a host name");
      return false;
    }
  server->metrics_server = mh_metrics_server_new (address, format_metrics, server, error);
  return server->metrics_server != NULL;
}

static bool
listen_on_all (Server *server, GError **error)
{
  const MhSettings *settings = server->settings;
  g_autoptr (GSocketAddress) front = mh_socket_address_parse (settings->front);
  g_autoptr (GSocketAddress) peer_bind = mh_socket_address_parse (settings->peer_bind);
  if (front == NULL || peer_bind == NULL)
    {
      g_set_error_literal (
          error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID,
          "front or peer_bind is not an IP address; expected ADDRESS:PORT without a host name");
      return false;
    }
  if (!mh_http_server_listen (server->http_server, front, settings->max_connections, error)
      || !listen_for_metrics (server, error))
    return false;
  server->peers = mh_peer_network_new (settings->members, peer_bind, &peer_handlers, server, error);
  return server->peers != NULL;
}

static void
start_controller (Server *server)
{
  MhNow now = read_clock (server);
  server->core = mh_core_new (server->settings, &now);
  server->timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (server->timer, on_wake_up, server, NULL);
  g_source_set_ready_time (server->timer, 0);
  g_source_attach (server->timer, NULL);
  server->loop_monitor = mh_loop_monitor_new ();
  server->status_timer = g_timeout_add_seconds (STATUS_INTERVAL_S, log_process_status, server);
}

bool
mh_server_run (const MhSettings *settings, GError **error)
{
  g_return_val_if_fail (settings != NULL, false);
  const MhHttpEndpoints endpoints
      = { .key_value_store = settings->key_value_store, .cloud = settings->cloud };
  g_auto (Server) server = { .settings = settings };
  server.clock = mh_process_clock_new ();
  server.requests = mh_pending_requests_new ();
  server.forwarder = mh_request_forwarder_new (server.requests, on_forward_outcome, &server);
  server.http_client = mh_http_client_new (&endpoints, on_response, &server);
  server.http_server = mh_http_server_new (server.requests, &http_handlers, &server);
  if (!listen_on_all (&server, error))
    return false;
  start_controller (&server);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_info ("listening node=%s front=%s peer_bind=%s", settings->node_name, settings->front,
          settings->peer_bind);
  g_main_loop_run (loop);
  return true;
}
