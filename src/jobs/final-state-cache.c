#include "jobs/final-state-cache.h"

/* The cache may take one part in MEMORY_DIVISOR of the memory of the process. */
#define MEMORY_DIVISOR 32
/* Memory that one entry takes, in bytes. */
#define ENTRY_BYTES 200
/* The cache holds at least this many entries, however small the memory is. */
#define MIN_ENTRIES 2000u

struct MhFinalStateCache
{
  GHashTable *by_id; /* job id -> MhUserResponse */
  GQueue oldest;     /* job ids, the oldest entry first */
  guint max_entries;
};

MhFinalStateCache *
mh_final_state_cache_new (gint64 memory_bytes)
{
  MhFinalStateCache *cache = g_new0 (MhFinalStateCache, 1);
  cache->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cache->max_entries = MAX (MIN_ENTRIES, (guint)(memory_bytes / MEMORY_DIVISOR / ENTRY_BYTES));
  g_queue_init (&cache->oldest);
  return cache;
}

void
mh_final_state_cache_free (MhFinalStateCache *cache)
{
  g_queue_clear_full (&cache->oldest, g_free);
  g_hash_table_unref (cache->by_id);
  g_free (cache);
}

const MhUserResponse *
mh_final_state_cache_find (const MhFinalStateCache *cache, const char *job_id)
{
  return g_hash_table_lookup (cache->by_id, job_id);
}

void
mh_final_state_cache_add (MhFinalStateCache *cache, const char *job_id,
                          const MhUserResponse *response)
{
  if (g_hash_table_contains (cache->by_id, job_id))
    return;
  g_hash_table_insert (cache->by_id, g_strdup (job_id), g_memdup2 (response, sizeof *response));
  g_queue_push_tail (&cache->oldest, g_strdup (job_id));
  while (cache->oldest.length > cache->max_entries)
    {
      g_autofree char *oldest = g_queue_pop_head (&cache->oldest);
      g_hash_table_remove (cache->by_id, oldest);
    }
}
