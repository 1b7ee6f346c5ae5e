/* Reload: a new leader reads every unfinished job, and which machines are being given back. */
#include "controller/core-private.h"

#include <string.h>

#define CALL_TIMEOUT_US (2 * MH_SECOND_US)
#define PAGE_ENTRIES 400u

typedef struct
{
  const char *prefix;
  char *after;
} Page;

static void
page_free (gpointer data)
{
  g_free (((Page *)data)->after);
  g_free (data);
}

static void
load_task (gpointer data, guint index, guint32 attempt, const char *machine)
{
  gpointer *pair = data;
  MhCore *core = pair[0];
  MhJob *job = pair[1];
  if (index >= job->spec->tasks || job->tasks[index].attempt)
    return;
  MhTask *t = &job->tasks[index];
  t->attempt = attempt;
  if (machine == NULL)
    {
      t->state = MH_TASK_DONE;
      job->n_done++;
    }
  else if (strcmp (machine, "?") != 0)
    {
      MhMachine *m = mh_cluster_find_machine (core, machine);
      if (m == NULL)
        m = mh_cluster_add_machine (core, machine, NULL, NULL, false);
      mh_attempt_new_from_record (core, job, index, attempt, m);
    }
}

/* A job whose record is not understood is neither unknown nor without tasks: its users are told to
   come again, and what runs of it is left alone. */
static void
not_understood (MhCore *core, const char *key, const char *id)
{
  mh_core_log (core, G_LOG_LEVEL_CRITICAL, "record %s cannot be read; its job is left alone", key);
  g_hash_table_add (core->unreadable, g_strdup (id));
  MhJob *job = g_hash_table_lookup (core->jobs, id);
  for (guint i = 0; job && i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_discard (core, job->tasks[i].live);
  g_hash_table_remove (core->jobs, id);
}

/* An earlier leader found that the limits announced as next hold. Those of settings that were
   changed since are not known to. */
static void
load_limits (MhCore *core, const MhEntry *e)
{
  double write_rps;
  if (!mh_record_read_limits (e->value, &write_rps))
    mh_core_log (core, G_LOG_LEVEL_CRITICAL, "record %s cannot be read", e->key);
  else if (write_rps <= core->settings->next_write_rps)
    {
      core->limits.durable = true;
      mh_call_queue_lower_write_rate (core->calls);
    }
}

static void
load_entry (MhCore *core, const MhEntry *e)
{
  MhJob *job;
  guint chunk = 0;
  if (g_str_has_prefix (e->key, MH_RECORD_RELEASES))
    {
      mh_autoscaler_load_release (core->autoscaler, e);
      return;
    }
  if (strcmp (e->key, MH_RECORD_LIMITS) == 0)
    {
      load_limits (core, e);
      return;
    }
  if (g_str_has_prefix (e->key, "j/"))
    {
      gint64 at;
      guint per_record;
      bool cancelled;
      MhJobSpec *spec = mh_record_read_job (e->value, e->key + 2, &at, &per_record, &cancelled);
      if (spec == NULL)
        {
          not_understood (core, e->key, e->key + 2);
          return;
        }
      guint fits = mh_job_tasks_per_record (spec, core->settings->value_bytes);
      guint old = per_record > fits && fits ? (spec->tasks + per_record - 1) / per_record : 0;
      job = mh_job_new (spec, old ? fits : per_record, core->settings->value_bytes, at, &core->now);
      job->unchunked_records = old;
      job->accepted = true;
      mh_task_failure_load_back_off (core, job, mh_record_read_back_off (e->value));
      job->cancellation = cancelled ? MH_CANCELLATION_DURABLE : MH_CANCELLATION_NONE;
      g_hash_table_insert (core->jobs, job->spec->id, job);
    }
  else
    {
      g_auto (GStrv) parts = g_strsplit (e->key, "/", 3);
      if (parts[0] && parts[1] && g_hash_table_contains (core->unreadable, parts[1]))
        return;
      job = g_strv_length (parts) == 3 ? g_hash_table_lookup (core->jobs, parts[1]) : NULL;
      guint64 n = job ? g_ascii_strtoull (parts[2], NULL, 10) : 0;
      if (job == NULL || n == 0 || n >= job->n_records)
        {
          mh_store_drop (core, e->key);
          return;
        }
      chunk = (guint)n;
    }
  job->records[chunk].version = e->version;
  gpointer pair[] = { core, job };
  if (!mh_record_read_tasks (e->value, load_task, pair))
    not_understood (core, e->key, job->spec->id);
}

static void
load_page (MhCore *core, const char *prefix, char *after);

/* What is read, in this order: a job before its further records. */
static const char *const prefixes[] = { "j/", "t/", MH_RECORD_RELEASES, MH_RECORD_LIMITS, NULL };

static const char *
prefix_after (const char *prefix)
{
  guint i = 0;
  while (strcmp (prefixes[i], prefix) != 0)
    i++;
  return prefixes[i + 1];
}

static void
load_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Page *page = data;
  const char *prefix;
  bool more;
  guint64 revision;
  g_autoptr (GPtrArray) entries
      = status == 200 ? mh_wire_read_entries (body, &more, &revision) : NULL;
  if (entries == NULL)
    {
      mh_call_queue_pause_store (core->calls, 50000, 50000);
      load_page (core, page->prefix, g_strdup (page->after));
      return;
    }
  for (guint i = 0; i < entries->len; i++)
    load_entry (core, g_ptr_array_index (entries, i));
  if (more && entries->len)
    {
      MhEntry *last = g_ptr_array_index (entries, entries->len - 1);
      load_page (core, page->prefix, g_strdup (last->key));
    }
  else if ((prefix = prefix_after (page->prefix)))
    load_page (core, prefix, NULL);
  else
    {
      GHashTableIter it;
      gpointer job;
      g_hash_table_iter_init (&it, core->jobs);
      while (g_hash_table_iter_next (&it, NULL, &job))
        if (((MhJob *)job)->unchunked_records)
          mh_rechunk_begin (core, job);
      mh_election_records_loaded (core->election);
    }
}

static void
load_page (MhCore *core, const char *prefix, char *after)
{
  Page *page = g_new0 (Page, 1);
  page->prefix = prefix;
  page->after = after;
  mh_core_call (core, MH_CALL_SAFETY, mh_wire_list (prefix, after, PAGE_ENTRIES), 0,
                CALL_TIMEOUT_US, load_reply, page, page_free);
}

void
mh_load_records (MhCore *core)
{
  load_page (core, prefixes[0], NULL);
}
