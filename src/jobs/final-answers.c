#include "jobs/final-answers.h"

/* The cache may take one part in MEMORY_DIVISOR of the memory of the process. */
#define MEMORY_DIVISOR 32
/* Memory that one entry takes, in bytes. */
#define ENTRY_BYTES 200
/* The cache holds at least this many entries, however small the memory is. */
#define MIN_ENTRIES 2000u

struct MhFinalAnswers
{
  GHashTable *by_id; /* job id -> MhUserResponse */
  GQueue oldest;     /* job ids, the oldest entry first */
  guint max_entries;
};

MhFinalAnswers *
mh_final_answers_new (gint64 memory_bytes)
{
  MhFinalAnswers *answers = g_new0 (MhFinalAnswers, 1);
  answers->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  answers->max_entries = MAX (MIN_ENTRIES, (guint)(memory_bytes / MEMORY_DIVISOR / ENTRY_BYTES));
  g_queue_init (&answers->oldest);
  return answers;
}

void
mh_final_answers_free (MhFinalAnswers *answers)
{
  g_queue_clear_full (&answers->oldest, g_free);
  g_hash_table_unref (answers->by_id);
  g_free (answers);
}

const MhUserResponse *
mh_final_answers_find (const MhFinalAnswers *answers, const char *job_id)
{
  return g_hash_table_lookup (answers->by_id, job_id);
}

void
mh_final_answers_add (MhFinalAnswers *answers, const char *job_id, const MhUserResponse *answer)
{
  if (g_hash_table_contains (answers->by_id, job_id))
    return;
  g_hash_table_insert (answers->by_id, g_strdup (job_id), g_memdup2 (answer, sizeof *answer));
  g_queue_push_tail (&answers->oldest, g_strdup (job_id));
  while (answers->oldest.length > answers->max_entries)
    {
      g_autofree char *oldest = g_queue_pop_head (&answers->oldest);
      g_hash_table_remove (answers->by_id, oldest);
    }
}
