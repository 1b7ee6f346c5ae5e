/* A bounded cache of the final states of ended jobs, from which users' requests are answered.

   The state of a job that is not in the cache is read from the key-value store. When the cache is
   full, the oldest entry is evicted. */
#pragma once

#include "protocol/user-messages.h"

/** MhFinalStateCache: the cache. */
typedef struct MhFinalStateCache MhFinalStateCache;

/**
 * mh_final_state_cache_new:
 * @memory_bytes: memory of the process, in bytes; bounds the size of the cache
 *
 * Returns: (transfer full): an empty cache; free it with mh_final_state_cache_free()
 */
MhFinalStateCache *
mh_final_state_cache_new (gint64 memory_bytes);

/**
 * mh_final_state_cache_free:
 * @cache: (transfer full): a cache
 */
void
mh_final_state_cache_free (MhFinalStateCache *cache);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhFinalStateCache, mh_final_state_cache_free)

/**
 * mh_final_state_cache_find:
 * @cache: a cache
 * @job_id: a job's id
 *
 * Returns: (nullable) (transfer none): the job's final state; %NULL if it is not in the cache
 */
const MhUserResponse *
mh_final_state_cache_find (const MhFinalStateCache *cache, const char *job_id);

/**
 * mh_final_state_cache_add:
 * @cache: a cache
 * @job_id: a job's id
 * @response: the job's final state, whose record is durable
 *
 * Adds an entry. Final states never change: an entry that exists is kept as it is.
 */
void
mh_final_state_cache_add (MhFinalStateCache *cache, const char *job_id,
                          const MhUserResponse *response);
