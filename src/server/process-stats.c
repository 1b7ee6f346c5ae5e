#include "server/process-stats.h"

void
mh_process_stats_note_lag (MhProcessStats *stats, gint64 lag_us)
{
  g_return_if_fail (stats != NULL);
  stats->recent_max_lag_us = MAX (stats->recent_max_lag_us, lag_us);
}

void
mh_process_stats_note_unread (MhProcessStats *stats, gint64 unread_us)
{
  g_return_if_fail (stats != NULL);
  stats->recent_max_unread_us = MAX (stats->recent_max_unread_us, unread_us);
}

void
mh_process_stats_note_response (MhProcessStats *stats, MhResponseKind kind, gint64 elapsed_us)
{
  g_return_if_fail (stats != NULL && (guint)kind < MH_RESPONSE_KINDS);
  MhResponseStats *responses = &stats->responses[kind];
  responses->count++;
  responses->sum_us += elapsed_us;
  responses->recent_max_us = MAX (responses->recent_max_us, elapsed_us);
}

void
mh_process_stats_reset_recent (MhProcessStats *stats)
{
  g_return_if_fail (stats != NULL);
  stats->recent_max_lag_us = 0;
  stats->recent_max_unread_us = 0;
  for (guint i = 0; i < MH_RESPONSE_KINDS; i++)
    stats->responses[i].recent_max_us = 0;
}

const char *
mh_response_kind_name (MhResponseKind kind)
{
  static const char *const names[MH_RESPONSE_KINDS] = {
    [MH_RESPONSE_USER] = "user",
    [MH_RESPONSE_FORWARDED] = "forwarded",
    [MH_RESPONSE_HEARTBEAT] = "heartbeat",
  };
  g_return_val_if_fail ((guint)kind < MH_RESPONSE_KINDS, "unknown");
  return names[kind];
}
