/* The metrics endpoint and the status lines, by which an operator tells apart why users are not
   answered. */
#include "free-address.h"
#include "server/metrics-server.h"
#include "server/metrics-text.h"
#include "steps.h"

#include <libsoup/soup.h>
#include <string.h>

/* The endpoint serves this many connections at a time. */
#define IDLE_CLIENTS 4u

#define STATUS_INTERVAL_S 10

/* ---- the endpoint ---- */

static MhMetrics
example_metrics (void)
{
  MhMetrics metrics = { .node = "node-0",
                        .status = { .role = "leading",
                                    .is_ready = true,
                                    .epoch = 7,
                                    .lease_left_us = 250 * MH_MILLISECOND_US,
                                    .jobs = 3 },
                        .connections = 5 };
  metrics.status.queues[MH_STATUS_QUEUE_STORE_BACKGROUND]
      = (MhBacklog){ .waiting = 4, .oldest_age_us = 1500 * MH_MILLISECOND_US };
  metrics.counts[MH_COUNTER_LOOKUP_BACKLOG] = 9;
  mh_process_stats_note_lag (&metrics.process, 40 * MH_MILLISECOND_US);
  mh_process_stats_note_unread (&metrics.process, 3 * MH_SECOND_US);
  mh_process_stats_note_response (&metrics.process, MH_RESPONSE_USER, 2 * MH_SECOND_US);
  return metrics;
}

/* Guards against values in the wrong unit or under the wrong name. */
static void
test_exposition_format (void)
{
  static const char *const expected_lines[]
      = { "minthill_node_info{node=\"node-0\"} 1\n",
          "minthill_leading 1\n",
          "minthill_leader_epoch 7\n",
          "minthill_lease_left_seconds 0.25\n",
          "minthill_queue_depth{queue=\"store_background\"} 4\n",
          "minthill_queue_oldest_age_seconds{queue=\"store_background\"} 1.5\n",
          "minthill_events_total{event=\"lookup_backlog\"} 9\n",
          "minthill_main_loop_lag_seconds 0.040000000000000001\n",
          "minthill_unread_input_seconds 3\n",
          "minthill_connections 5\n",
          "minthill_response_seconds_sum{kind=\"user\"} 2\n",
          "minthill_response_seconds_count{kind=\"user\"} 1\n" };
  MhMetrics metrics = example_metrics ();
  g_autofree char *text = mh_metrics_format (&metrics);
  for (guint i = 0; i < G_N_ELEMENTS (expected_lines); i++)
    g_assert_nonnull (strstr (text, expected_lines[i]));
  metrics.status.role = "lapsed";
  g_autofree char *lapsed = mh_metrics_format (&metrics);
  g_assert_nonnull (strstr (lapsed, "minthill_leading 0\n"));
}

static char *
format_example (gpointer data)
{
  (void)data;
  const MhMetrics metrics = example_metrics ();
  return mh_metrics_format (&metrics);
}

static void
on_response (GObject *source, GAsyncResult *result, gpointer data)
{
  GBytes **body = data;
  *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  if (*body == NULL)
    *body = g_bytes_new_static ("", 0);
}

static guint
request (GSocketAddress *address, const char *method, const char *path, char **allowed)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s",
                         g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)), path);
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  g_autoptr (GBytes) body = NULL;
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, on_response, &body);
  while (body == NULL)
    g_main_context_iteration (NULL, TRUE);
  *allowed = g_strdup (
      soup_message_headers_get_one (soup_message_get_response_headers (message), "Allow"));
  return soup_message_get_status (message);
}

/* Guards against an endpoint that takes any method for a request for metrics. */
static void
test_endpoint_methods (void)
{
  static const struct
  {
    const char *method, *path;
    guint status;
  } rows[] = { { "GET", "/metrics", 200 },
               { "POST", "/metrics", 405 },
               { "DELETE", "/metrics", 405 },
               { "GET", "/submissions/j-000001", 404 } };
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) address = find_free_address ();
  g_autoptr (MhMetricsServer) server
      = mh_metrics_server_new (address, format_example, NULL, &error);
  g_assert_no_error (error);
  g_assert_nonnull (server);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *allowed = NULL;
      g_assert_cmpuint (request (address, rows[i].method, rows[i].path, &allowed), ==,
                        rows[i].status);
      g_assert_cmpstr (allowed, ==, rows[i].status == 405 ? "GET" : NULL);
    }
}

/* Guards against clients that connect, stay idle and so keep the scraper out for ever. */
static void
test_idle_clients_make_room (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) address = find_free_address ();
  g_autoptr (MhMetricsServer) server
      = mh_metrics_server_new (address, format_example, NULL, &error);
  g_autoptr (GPtrArray) idle = g_ptr_array_new_with_free_func (g_object_unref);
  g_autofree char *allowed = NULL;
  g_assert_no_error (error);
  g_assert_nonnull (server);
  for (guint i = 0; i < IDLE_CLIENTS; i++)
    {
      GSocket *client
          = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
      g_ptr_array_add (idle, client);
      g_assert_true (g_socket_connect (client, address, NULL, NULL));
    }
  g_assert_cmpuint (request (address, "GET", "/metrics", &allowed), ==, 200);
}

/* ---- the status line ---- */

static bool
has_status_line (const Simulation *simulation, const char *text)
{
  for (guint i = 0; i < simulation->log_lines->len; i++)
    {
      const char *line = g_ptr_array_index (simulation->log_lines, i);
      if (strstr (line, "controller status") && strstr (line, text))
        return true;
    }
  return false;
}

/* Guards against a status line that does not tell why users got 503. */
static void
test_unavailable_reasons (Simulation *simulation)
{
  WAIT (simulation, 10, has_leader, NULL);
  guint leader = simulation_leader (simulation)->index;
  guint follower = (leader + 1) % SIMULATION_NODES;
  MhUserResponse response;
  simulation->nodes[leader].peers_cut_until_us = simulation->clock->now_us + 5 * MH_SECOND_US;
  g_assert_cmpuint (simulation_request_and_wait (simulation, follower, MH_USER_STATUS, "j-000001",
                                                 NULL, &response),
                    ==, 503);
  simulation->store->outage_until_us = simulation->clock->now_us + 5 * MH_SECOND_US;
  simulation_run (simulation, 3);
  g_assert_cmpuint (
      simulation_request_and_wait (simulation, leader, MH_USER_STATUS, "j-000001", NULL, &response),
      ==, 503);
  simulation_run (simulation, 2 * STATUS_INTERVAL_S);
  g_assert_true (has_status_line (simulation, " leader_silent=1"));
  g_assert_true (has_status_line (simulation, " lease_lapsed=1"));
  g_assert_true (has_status_line (simulation, "role=leading ready=true epoch=1 "));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metrics/exposition-format", test_exposition_format);
  g_test_add_func ("/metrics/endpoint-methods", test_endpoint_methods);
  g_test_add_func ("/metrics/idle-clients-make-room", test_idle_clients_make_room);
  simulation_test_add ("/status/unavailable-reasons", 81, test_unavailable_reasons);
  return g_test_run ();
}
