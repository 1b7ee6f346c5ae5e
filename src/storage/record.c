/* The stored form of jobs and of machines that are being given back. Keys: j/ID (job and its first
   tasks), t/ID/CHUNK (further tasks), f/ID (the final state, kept
   for ever), r/EPOCH/N (names of machines), limits (what the state service was found to take; the
   version before this one never reads it). Short names, since values are limited. */
#include "controller/core-private.h"

#include <string.h>

/* Tasks in a record that does not say so: it is of the first version. */
#define FIRST_CHUNK 64

char *
mh_record_key (const char *job, guint chunk)
{
  return chunk ? g_strdup_printf ("t/%s/%05u", job, chunk) : g_strconcat ("j/", job, NULL);
}

MhValue *
mh_record_write (const MhRecord *r, const char *tag)
{
  MhJob *job = r->job;
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "w", tag);
  if (r->chunk == 0)
    {
      mh_value_set (m, "s", mh_wire_write_submission (job->spec));
      mh_value_set_uint (m, "at", (guint64)MAX (job->submitted_wall_us, 0));
      mh_value_set_uint (m, "c", job->chunk);
      if (mh_job_is_cancelled (job))
        mh_value_set_bool (m, "x", true);
      if (mh_job_backs_off (job))
        mh_value_set_uint (m, "e", job->failures.back_off_level);
    }
  MhValue *list = mh_value_list ();
  guint first = r->chunk * job->chunk;
  guint end = MIN (first + job->chunk, job->spec->tasks);
  for (guint i = first; i < end; i++)
    {
      const MhTask *t = &job->tasks[i];
      if (t->attempt == 0)
        continue;
      MhValue *item = mh_value_list ();
      mh_value_push (item, mh_value_uint (i));
      mh_value_push (item, mh_value_uint (t->attempt));
      /* A pending task that ran before keeps "?": its attempt number must not be used again. */
      if (t->state == MH_TASK_LIVE)
        mh_value_push (item, mh_value_text (t->live->machine->name));
      else if (t->state == MH_TASK_PENDING)
        mh_value_push (item, mh_value_text ("?"));
      mh_value_push (list, item);
    }
  mh_value_set (m, "t", list);
  return m;
}

MhValue *
mh_record_write_final (const MhJob *job, const char *tag)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "w", tag);
  mh_value_set_uint (m, "state", mh_job_is_cancelled (job) ? MH_JOB_CANCELLED : MH_JOB_DONE);
  mh_value_set_uint (m, "done", job->n_done);
  return m;
}

bool
mh_record_read_final (const MhValue *v, MhUserAnswer *a)
{
  guint64 state, done;
  if (!mh_value_get_uint (v, "state", &state) || !mh_value_get_uint (v, "done", &done)
      || (state != MH_JOB_DONE && state != MH_JOB_CANCELLED))
    return false;
  *a = (MhUserAnswer){ .status = 200, .state = (MhJobState)state, .done = (guint)done };
  return true;
}

char *
mh_record_read_tag (const MhValue *v)
{
  return mh_value_get_text (v, "w");
}

MhValue *
mh_record_write_limits (double write_rps)
{
  MhValue *m = mh_value_map ();
  mh_value_set_number (m, "write_rps", write_rps);
  return m;
}

bool
mh_record_read_limits (const MhValue *v, double *write_rps)
{
  return mh_value_get_number (v, "write_rps", write_rps) && *write_rps > 0;
}

MhValue *
mh_record_write_release (char **machines)
{
  MhValue *m = mh_value_map ();
  mh_value_set_names (m, "m", machines);
  return m;
}

char **
mh_record_read_release (const MhValue *v)
{
  char **names = NULL;
  return mh_value_get_names (v, "m", &names) ? names : NULL;
}

MhJobSpec *
mh_record_read_job (const MhValue *v, const char *id, gint64 *submitted_wall_us, guint *chunk,
                    bool *cancelled)
{
  guint64 at, tasks = FIRST_CHUNK;
  g_autoptr (MhJobSpec) spec = mh_wire_read_submission (mh_value_get (v, "s"));
  if (spec == NULL || strcmp (spec->id, id) != 0 || !mh_value_get_uint (v, "at", &at))
    return NULL;
  mh_value_get_uint (v, "c", &tasks);
  if (tasks < 1 || tasks > MH_MAX_TASKS)
    return NULL;
  *chunk = (guint)tasks;
  *submitted_wall_us = (gint64)at;
  *cancelled = false;
  mh_value_get_bool (v, "x", cancelled);
  return g_steal_pointer (&spec);
}

guint
mh_record_read_back_off (const MhValue *v)
{
  guint64 level;
  return mh_value_get_uint (v, "e", &level) ? (guint)MIN (level, G_MAXUINT) : 0;
}

bool
mh_record_read_tasks (const MhValue *v, MhRecordTaskFunc each, gpointer data)
{
  const MhValue *list = mh_value_get (v, "t");
  if (list == NULL)
    return false;
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *item = mh_value_at (list, i);
      guint64 index, attempt;
      if (mh_value_size (item) < 2 || !mh_value_as_uint (mh_value_at (item, 0), &index)
          || !mh_value_as_uint (mh_value_at (item, 1), &attempt) || index >= MH_MAX_TASKS
          || attempt > G_MAXUINT32)
        return false;
      g_autofree char *machine = NULL;
      if (mh_value_size (item) > 2 && (machine = mh_value_as_text (mh_value_at (item, 2))) == NULL)
        return false;
      each (data, (guint)index, (guint32)attempt, machine);
    }
  return true;
}
