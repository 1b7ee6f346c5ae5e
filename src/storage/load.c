#include "storage/load.h"

#include "storage/rechunk.h"

#include <string.h>

#define CALL_TIMEOUT_US (2 * MH_SECOND_US)
/* The largest number of records that one request reads. */
#define PAGE_ENTRIES 400u
/* How long calls to the store pause after a page could not be read, and the upper bound of the
   random addition to it, in microseconds. */
#define PAGE_RETRY_PAUSE_US 50000
#define PAGE_RETRY_JITTER_US 50000

struct MhRecordLoader
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  GHashTable *jobs; /* id -> MhJob; not owned */
  MhRecordWriter *writer;
  const MhRecordLoaderCallbacks *callbacks;
  gpointer owner;
  GHashTable *unreadable; /* set of job ids */
  gint64 started_us;
  guint pages, failed_pages, records;
  guint64 revision; /* of the store, at the last page */
};

/* Prefixes of the keys that are read, in this order: a job's first record before its others. */
static const char *const prefixes[]
    = { MH_RECORD_JOBS, MH_RECORD_CHUNKS, MH_RECORD_RELEASES, MH_RECORD_LIMITS };

typedef struct
{
  guint prefix; /* index in prefixes */
  char *after;  /* last key of the page before; NULL: the first page */
} Page;

MhRecordLoader *
mh_record_loader_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                      MhRecordWriter *writer, const MhRecordLoaderCallbacks *callbacks,
                      gpointer owner)
{
  g_return_val_if_fail (runtime && calls && jobs && writer && callbacks, NULL);
  MhRecordLoader *loader = g_new0 (MhRecordLoader, 1);
  loader->runtime = runtime;
  loader->calls = calls;
  loader->jobs = jobs;
  loader->writer = writer;
  loader->callbacks = callbacks;
  loader->owner = owner;
  loader->unreadable = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return loader;
}

void
mh_record_loader_free (MhRecordLoader *loader)
{
  if (loader == NULL)
    return;
  g_hash_table_unref (loader->unreadable);
  g_free (loader);
}

void
mh_record_loader_clear (MhRecordLoader *loader)
{
  g_return_if_fail (loader);
  g_hash_table_remove_all (loader->unreadable);
}

bool
mh_record_loader_is_unreadable (const MhRecordLoader *loader, const char *job)
{
  g_return_val_if_fail (loader && job, false);
  return g_hash_table_contains (loader->unreadable, job);
}

/* ---- one record ---- */

static void
mark_job_unreadable (MhRecordLoader *loader, const char *key, const char *id, const GError *error)
{
  mh_runtime_log (
      loader->runtime, G_LOG_LEVEL_CRITICAL,
      "record cannot be read, its job is neither scheduled nor stopped key=%s job=%s reason=\"%s\"",
      key, id, error->message);
  g_hash_table_add (loader->unreadable, g_strdup (id));
  MhJob *job = g_hash_table_lookup (loader->jobs, id);
  if (job == NULL)
    return;
  loader->callbacks->job_unreadable (loader->owner, job);
  mh_record_writer_remove_job (loader->writer, job);
}

typedef struct
{
  MhRecordLoader *loader;
  MhJob *job;
} TaskReader;

/* While a job is being re-chunked, several of its records may contain the same task. The first
   entry that is read counts; see rechunk.h. */
static void
load_task (gpointer data, guint index, guint32 attempt, const char *machine)
{
  const TaskReader *reader = data;
  MhJob *job = reader->job;
  if (index >= job->spec->tasks || job->tasks[index].attempt)
    return;
  MhTask *task = &job->tasks[index];
  task->attempt = attempt;
  if (machine == NULL)
    {
      task->state = MH_TASK_DONE;
      job->n_done++;
    }
  else if (strcmp (machine, MH_RECORD_NO_MACHINE) != 0)
    reader->loader->callbacks->attempt_found (reader->loader->owner, job, index, attempt, machine);
}

static void
load_tasks (MhRecordLoader *loader, MhJob *job, guint chunk, const MhKvEntry *entry)
{
  g_autoptr (GError) error = NULL;
  TaskReader reader = { .loader = loader, .job = job };
  job->records[chunk].version = entry->version;
  if (!mh_record_read_tasks (entry->value, load_task, &reader, &error))
    {
      g_autofree char *id = g_strdup (job->spec->id);
      mark_job_unreadable (loader, entry->key, id, error);
    }
}

static MhJob *
add_job (MhRecordLoader *loader, MhStoredJob *stored)
{
  guint value_bytes = mh_runtime_settings (loader->runtime)->value_bytes;
  guint max_chunk = mh_job_tasks_per_record (stored->spec, value_bytes);
  bool too_large = max_chunk && stored->chunk > max_chunk;
  guint old_records = (stored->spec->tasks + stored->chunk - 1) / stored->chunk;
  MhJob *job
      = mh_job_new (g_steal_pointer (&stored->spec), too_large ? max_chunk : stored->chunk,
                    value_bytes, stored->submitted_wall_us, mh_runtime_now (loader->runtime));
  job->n_old_layout_records = too_large ? old_records : 0;
  job->accepted = true;
  loader->callbacks->back_off_found (loader->owner, job, stored->back_off_level);
  job->cancellation = stored->cancelled ? MH_CANCELLATION_DURABLE : MH_CANCELLATION_NONE;
  g_hash_table_insert (loader->jobs, job->spec->id, job);
  return job;
}

static void
load_job (MhRecordLoader *loader, const MhKvEntry *entry)
{
  g_autoptr (GError) error = NULL;
  g_auto (MhStoredJob) stored = {};
  const char *id = entry->key + strlen (MH_RECORD_JOBS);
  if (mh_record_read_job (entry->value, id, &stored, &error))
    load_tasks (loader, add_job (loader, &stored), 0, entry);
  else
    mark_job_unreadable (loader, entry->key, id, error);
}

/* A record whose job has ended, or that the job's current layout no longer has, is not needed any
   more: its key is deleted. */
static void
load_chunk (MhRecordLoader *loader, const MhKvEntry *entry)
{
  g_auto (GStrv) parts = g_strsplit (entry->key, "/", 3);
  if (parts[0] && parts[1] && mh_record_loader_is_unreadable (loader, parts[1]))
    return;
  MhJob *job = g_strv_length (parts) == 3 ? g_hash_table_lookup (loader->jobs, parts[1]) : NULL;
  guint64 chunk = job ? g_ascii_strtoull (parts[2], NULL, 10) : 0;
  if (job == NULL || chunk == 0 || chunk >= job->n_records)
    mh_record_writer_delete_key (loader->writer, entry->key);
  else
    load_tasks (loader, job, (guint)chunk, entry);
}

/* An earlier leader recorded that the store enforces the write rate that the settings announced as
   the next one. If the settings now announce a rate below the recorded one, it is not known whether
   the store enforces that rate. */
static void
load_limits (MhRecordLoader *loader, const MhKvEntry *entry)
{
  g_autoptr (GError) error = NULL;
  double write_rps;
  if (!mh_record_read_limits (entry->value, &write_rps, &error))
    mh_runtime_log (loader->runtime, G_LOG_LEVEL_CRITICAL,
                    "record cannot be read key=%s reason=\"%s\"", entry->key, error->message);
  else if (write_rps <= mh_runtime_settings (loader->runtime)->next_write_rps)
    {
      mh_record_writer_mark_limits_durable (loader->writer);
      mh_call_queue_lower_write_rate (loader->calls);
    }
}

static void
load_entry (MhRecordLoader *loader, const MhKvEntry *entry)
{
  if (g_str_has_prefix (entry->key, MH_RECORD_RELEASES))
    loader->callbacks->release_found (loader->owner, entry);
  else if (strcmp (entry->key, MH_RECORD_LIMITS) == 0)
    load_limits (loader, entry);
  else if (g_str_has_prefix (entry->key, MH_RECORD_JOBS))
    load_job (loader, entry);
  else
    load_chunk (loader, entry);
}

/* ---- pages ---- */

static void
page_free (gpointer data)
{
  g_free (((Page *)data)->after);
  g_free (data);
}

static void
on_page (gpointer owner, gpointer data, const MhCallResponse *response);

static void
read_page (MhRecordLoader *loader, guint prefix, const char *after)
{
  Page *page = g_new0 (Page, 1);
  page->prefix = prefix;
  page->after = g_strdup (after);
  const MhCallOptions options = { .class = MH_CALL_SAFETY,
                                  .timeout_us = CALL_TIMEOUT_US,
                                  .func = on_page,
                                  .owner = loader,
                                  .data = page,
                                  .free_data = page_free };
  mh_call_queue_add (loader->calls, mh_kv_request_list (prefixes[prefix], after, PAGE_ENTRIES),
                     &options);
}

static void
finish_loading (MhRecordLoader *loader)
{
  gint64 elapsed_us = mh_runtime_now_us (loader->runtime) - loader->started_us;
  mh_log_info (loader->runtime,
               "records read records=%u pages=%u failed_pages=%u revision=%" G_GUINT64_FORMAT
               " elapsed_ms=%d",
               loader->records, loader->pages, loader->failed_pages, loader->revision,
               (int)(elapsed_us / MH_MILLISECOND_US));
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, loader->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (mh_rechunk_is_pending (job))
      mh_record_writer_rechunk (loader->writer, job);
  loader->callbacks->loaded (loader->owner);
}

static void
on_page (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhRecordLoader *loader = owner;
  const Page *page = data;
  bool has_more;
  g_autoptr (GPtrArray) entries
      = response->status == 200
            ? mh_kv_list_decode (response->body, &has_more, &loader->revision, NULL)
            : NULL;
  if (entries == NULL)
    {
      loader->failed_pages++;
      mh_call_queue_pause_store (loader->calls, PAGE_RETRY_PAUSE_US, PAGE_RETRY_JITTER_US);
      read_page (loader, page->prefix, page->after);
      return;
    }
  loader->pages++;
  loader->records += entries->len;
  for (guint i = 0; i < entries->len; i++)
    load_entry (loader, g_ptr_array_index (entries, i));
  if (has_more && entries->len)
    {
      const MhKvEntry *last = g_ptr_array_index (entries, entries->len - 1);
      read_page (loader, page->prefix, last->key);
    }
  else if (page->prefix + 1 < G_N_ELEMENTS (prefixes))
    read_page (loader, page->prefix + 1, NULL);
  else
    finish_loading (loader);
}

void
mh_record_loader_start (MhRecordLoader *loader)
{
  g_return_if_fail (loader);
  loader->started_us = mh_runtime_now_us (loader->runtime);
  loader->pages = loader->failed_pages = loader->records = 0;
  read_page (loader, 0, NULL);
}
