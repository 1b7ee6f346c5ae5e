#include "server/metrics-text.h"

#include <string.h>

#define SECONDS(time_us) ((double)(time_us) / MH_SECOND_US)

static void
append_header (GString *text, const char *name, const char *type, const char *help)
{
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

/* The decimal point must not depend on the locale. */
static void
append_value (GString *text, double value)
{
  char buffer[G_ASCII_DTOSTR_BUF_SIZE];
  g_string_append_printf (text, " %s\n", g_ascii_formatd (buffer, sizeof buffer, "%.17g", value));
}

static void
append_gauge (GString *text, const char *name, const char *help, double value)
{
  append_header (text, name, "gauge", help);
  g_string_append (text, name);
  append_value (text, value);
}

static void
append_labelled (GString *text, const char *name, const char *label, const char *label_value,
                 double value)
{
  g_string_append_printf (text, "%s{%s=\"%s\"}", name, label, label_value);
  append_value (text, value);
}

static void
append_node_name (GString *text, const char *node)
{
  append_header (text, "minthill_node_info", "gauge", "Name of this controller.");
  g_autofree char *escaped = g_strescape (node, NULL);
  append_labelled (text, "minthill_node_info", "node", escaped, 1);
}

static void
append_leadership (GString *text, const MhStatus *status)
{
  append_gauge (text, "minthill_leading", "1 while this controller leads and its lease is valid.",
                strcmp (status->role, "leading") == 0);
  append_gauge (text, "minthill_ready", "1 while GET /ready is answered with 200.",
                status->is_ready);
  append_gauge (text, "minthill_leader_epoch", "Epoch of this controller's leadership, or 0.",
                (double)status->epoch);
  append_gauge (text, "minthill_lease_left_seconds", "How long the leader lease is still valid.",
                SECONDS (status->lease_left_us));
  append_gauge (text, "minthill_jobs", "Jobs in memory.", status->jobs);
}

static void
append_queues (GString *text, const MhStatus *status)
{
  append_header (text, "minthill_queue_depth", "gauge", "Entries that wait in a queue.");
  for (guint i = 0; i < MH_STATUS_QUEUES; i++)
    append_labelled (text, "minthill_queue_depth", "queue", mh_status_queue_name ((MhStatusQueue)i),
                     status->queues[i].waiting);
  append_header (text, "minthill_queue_oldest_age_seconds", "gauge",
                 "How long the oldest entry of a queue has waited.");
  for (guint i = 0; i < MH_STATUS_QUEUES; i++)
    append_labelled (text, "minthill_queue_oldest_age_seconds", "queue",
                     mh_status_queue_name ((MhStatusQueue)i),
                     SECONDS (status->queues[i].oldest_age_us));
}

static void
append_calls (GString *text, const MhStatus *status)
{
  append_header (text, "minthill_calls_in_flight", "gauge",
                 "Calls that have been sent and have no outcome yet.");
  for (guint i = 0; i < MH_CALL_POOLS; i++)
    append_labelled (text, "minthill_calls_in_flight", "pool",
                     mh_status_call_pool_name ((MhCallPool)i), status->in_flight[i].waiting);
  append_header (text, "minthill_call_oldest_age_seconds", "gauge",
                 "How long the oldest call in flight has had no outcome.");
  for (guint i = 0; i < MH_CALL_POOLS; i++)
    append_labelled (text, "minthill_call_oldest_age_seconds", "pool",
                     mh_status_call_pool_name ((MhCallPool)i),
                     SECONDS (status->in_flight[i].oldest_age_us));
}

static void
append_counters (GString *text, const guint64 *counts)
{
  append_header (text, "minthill_events_total", "counter",
                 "What this controller has done; docs/operations.md lists the events.");
  for (guint i = 0; i < MH_COUNTERS; i++)
    append_labelled (text, "minthill_events_total", "event", mh_counter_name ((MhCounter)i),
                     (double)counts[i]);
}

static void
append_process (GString *text, const MhMetrics *metrics)
{
  const MhResponseStats *responses = metrics->process.responses;
  append_gauge (text, "minthill_main_loop_lag_seconds",
                "Longest delay of a wake-up since the last status line.",
                SECONDS (metrics->process.recent_max_lag_us));
  append_gauge (text, "minthill_unread_input_seconds",
                "Longest time since the last status line for which requests waited to be read.",
                SECONDS (metrics->process.recent_max_unread_us));
  append_gauge (text, "minthill_connections", "Open connections of users and workers.",
                metrics->connections);
  append_gauge (text, "minthill_pending_requests", "Requests without a response yet.",
                metrics->pending_requests.waiting);
  append_gauge (text, "minthill_pending_request_oldest_age_seconds",
                "How long the oldest request has had no response.",
                SECONDS (metrics->pending_requests.oldest_age_us));
  append_gauge (text, "minthill_main_loop_busy_ratio",
                "Part of the time since the last status line that the main loop was not idle.",
                metrics->loop.busy_share);
  append_gauge (text, "minthill_main_loop_iteration_seconds",
                "Longest iteration of the main loop since the last status line.",
                SECONDS (metrics->loop.longest_iteration_us));
  append_header (text, "minthill_response_seconds", "summary",
                 "Time from the arrival of a request to its response.");
  for (guint i = 0; i < MH_RESPONSE_KINDS; i++)
    {
      const char *kind = mh_response_kind_name ((MhResponseKind)i);
      append_labelled (text, "minthill_response_seconds_sum", "kind", kind,
                       SECONDS (responses[i].sum_us));
      append_labelled (text, "minthill_response_seconds_count", "kind", kind,
                       (double)responses[i].count);
    }
}

char *
mh_metrics_format (const MhMetrics *metrics)
{
  g_return_val_if_fail (metrics != NULL, NULL);
  GString *text = g_string_new (NULL);
  append_node_name (text, metrics->node);
  append_leadership (text, &metrics->status);
  append_queues (text, &metrics->status);
  append_calls (text, &metrics->status);
  append_counters (text, metrics->counts);
  append_process (text, metrics);
  return g_string_free (text, FALSE);
}
