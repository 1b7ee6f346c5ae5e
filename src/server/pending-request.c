#include "server/pending-request.h"

struct MhPendingRequests
{
  GHashTable *requests; /* id -> MhPendingRequest, which contains the key */
  guint64 last_id;
};

static void
request_free (gpointer data)
{
  MhPendingRequest *request = data;
  if (request->forward_timeout)
    g_source_remove (request->forward_timeout);
  g_free (request->job);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_free (request);
}

MhPendingRequests *
mh_pending_requests_new (void)
{
  MhPendingRequests *table = g_new0 (MhPendingRequests, 1);
  table->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, request_free);
  return table;
}

void
mh_pending_requests_free (MhPendingRequests *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->requests);
  g_free (table);
}

static MhPendingRequest *
add_request (MhPendingRequests *table)
{
  MhPendingRequest *request = g_new0 (MhPendingRequest, 1);
  request->id = ++table->last_id;
  request->received_us = g_get_monotonic_time ();
  g_hash_table_insert (table->requests, &request->id, request);
  return request;
}

MhPendingRequest *
mh_pending_requests_add_exchange (MhPendingRequests *table, MhHttpExchange *exchange)
{
  MhPendingRequest *request = add_request (table);
  request->exchange = exchange;
  return request;
}

MhPendingRequest *
mh_pending_requests_add_forwarded (MhPendingRequests *table, MhPeerConnection *peer,
                                   guint64 peer_request_id)
{
  MhPendingRequest *request = add_request (table);
  request->peer = peer;
  request->peer_request_id = peer_request_id;
  return request;
}

MhPendingRequest *
mh_pending_requests_lookup (MhPendingRequests *table, guint64 id)
{
  return g_hash_table_lookup (table->requests, &id);
}

MhBacklog
mh_pending_requests_get_backlog (const MhPendingRequests *table)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 oldest_us = now_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    oldest_us = MIN (oldest_us, ((const MhPendingRequest *)value)->received_us);
  return (MhBacklog){ .waiting = g_hash_table_size (table->requests),
                      .oldest_age_us = now_us - oldest_us };
}

void
mh_pending_requests_remove (MhPendingRequests *table, guint64 id)
{
  g_hash_table_remove (table->requests, &id);
}

GArray *
mh_pending_requests_detach_connection (MhPendingRequests *table, MhPeerConnection *connection)
{
  GArray *forwarded = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->requests);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhPendingRequest *request = value;
      if (request->peer == connection)
        request->peer = NULL;
      if (request->forwarded_to == connection)
        g_array_append_val (forwarded, request->id);
    }
  return forwarded;
}
