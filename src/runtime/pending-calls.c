#include "runtime/pending-calls.h"

typedef struct
{
  MhPendingCall call;
  bool in_flight;
  gint64 sent_us; /* if in_flight */
} Entry;

struct MhPendingCalls
{
  GHashTable *entries; /* guint64 id -> Entry */
  guint in_flight[MH_CALL_POOLS];
};

static void
free_data (MhPendingCall *call)
{
  if (call->free_data)
    call->free_data (call->data);
  call->func = NULL;
  call->data = NULL;
  call->free_data = NULL;
}

static void
entry_free (gpointer data)
{
  Entry *entry = data;
  free_data (&entry->call);
  g_free (entry);
}

MhPendingCalls *
mh_pending_calls_new (void)
{
  MhPendingCalls *calls = g_new0 (MhPendingCalls, 1);
  calls->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, entry_free);
  return calls;
}

void
mh_pending_calls_free (MhPendingCalls *calls)
{
  if (calls == NULL)
    return;
  g_hash_table_unref (calls->entries);
  g_free (calls);
}

void
mh_pending_calls_add (MhPendingCalls *calls, guint64 id, const MhPendingCall *call)
{
  g_return_if_fail (calls && call && call->func);
  Entry *entry = g_new0 (Entry, 1);
  entry->call = *call;
  g_hash_table_insert (calls->entries, g_memdup2 (&id, sizeof id), entry);
}

void
mh_pending_calls_note_sent (MhPendingCalls *calls, guint64 id, gint64 now_us)
{
  g_return_if_fail (calls);
  Entry *entry = g_hash_table_lookup (calls->entries, &id);
  g_return_if_fail (entry && !entry->in_flight);
  entry->in_flight = true;
  entry->sent_us = now_us;
  calls->in_flight[entry->call.pool]++;
}

void
mh_pending_calls_complete (MhPendingCalls *calls, guint64 id, const MhCallResponse *response)
{
  g_return_if_fail (calls && response);
  gpointer key;
  gpointer value;
  if (!g_hash_table_steal_extended (calls->entries, &id, &key, &value))
    return;
  Entry *entry = value;
  calls->in_flight[entry->call.pool] -= entry->in_flight;
  if (entry->call.func)
    entry->call.func (entry->call.owner, entry->call.data, response);
  g_free (key);
  entry_free (entry);
}

static gboolean
forget (gpointer key, gpointer value, gpointer unused)
{
  Entry *entry = value;
  (void)key;
  (void)unused;
  free_data (&entry->call);
  return !entry->in_flight;
}

void
mh_pending_calls_forget_all (MhPendingCalls *calls)
{
  g_return_if_fail (calls);
  g_hash_table_foreach_remove (calls->entries, forget, NULL);
}

guint
mh_pending_calls_count_in_flight (const MhPendingCalls *calls, MhCallPool pool)
{
  g_return_val_if_fail (calls && (guint)pool < MH_CALL_POOLS, 0);
  return calls->in_flight[pool];
}

MhBacklog
mh_pending_calls_get_in_flight (const MhPendingCalls *calls, MhCallPool pool, gint64 now_us)
{
  g_return_val_if_fail (calls && (guint)pool < MH_CALL_POOLS, (MhBacklog){ 0 });
  gint64 oldest_us = now_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, calls->entries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const Entry *entry = value;
      if (entry->in_flight && entry->call.pool == pool)
        oldest_us = MIN (oldest_us, entry->sent_us);
    }
  return (MhBacklog){ .waiting = calls->in_flight[pool], .oldest_age_us = now_us - oldest_us };
}
