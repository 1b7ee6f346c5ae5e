/* Field names are short because the size of values is limited. README.md has the table of keys and
   fields. */
#include "storage/record.h"

#include "protocol/user-messages.h"

#include <string.h>

/* The number of tasks in a record of the first version, which does not store that number. */
#define CHUNK_OF_FIRST_VERSION 64u

G_DEFINE_QUARK (mh - storage - error - quark, mh_storage_error)

char *
mh_record_key (const char *job, guint chunk)
{
  return chunk ? g_strdup_printf (MH_RECORD_CHUNKS "%s/%05u", job, chunk)
               : g_strconcat (MH_RECORD_JOBS, job, NULL);
}

char *
mh_record_final_key (const char *job)
{
  return g_strconcat (MH_RECORD_FINALS, job, NULL);
}

static bool
fail_missing (GError **error, const char *field, const char *expected)
{
  g_set_error (error, MH_STORAGE_ERROR, MH_STORAGE_ERROR_MISSING_FIELD,
               "field '%s' is missing or is not a %s", field, expected);
  return false;
}

static bool
fail_invalid (GError **error, const char *field, const char *problem)
{
  g_set_error (error, MH_STORAGE_ERROR, MH_STORAGE_ERROR_INVALID_FIELD, "field '%s' %s", field,
               problem);
  return false;
}

/* ---- running jobs ---- */

/* A pending task that had an attempt keeps the number of that attempt, so that the number is not
   used again. */
static MhValue *
write_task (const MhTask *task, guint index, MhMachineNameFunc machine_name)
{
  MhValue *item = mh_value_new_list ();
  mh_value_push (item, mh_value_new_uint (index));
  mh_value_push (item, mh_value_new_uint (task->attempt));
  if (task->state == MH_TASK_LIVE)
    mh_value_push (item, mh_value_new_text (machine_name (task->live)));
  else if (task->state == MH_TASK_PENDING)
    mh_value_push (item, mh_value_new_text (MH_RECORD_NO_MACHINE));
  return item;
}

static void
write_job (MhValue *map, const MhJob *job)
{
  mh_value_set (map, "s", mh_submission_encode (job->spec));
  mh_value_set_uint (map, "at", (guint64)MAX (job->submitted_wall_us, 0));
  mh_value_set_uint (map, "c", job->tasks_per_record);
  if (mh_job_is_cancelled (job))
    mh_value_set_bool (map, "x", true);
  if (mh_job_backs_off (job))
    mh_value_set_uint (map, "e", job->failures.back_off_level);
}

MhValue *
mh_record_write (const MhRecord *record, const char *tag, MhMachineNameFunc machine_name)
{
  const MhJob *job = record->job;
  MhValue *map = mh_value_new_map ();
  mh_value_set_text (map, "w", tag);
  if (record->chunk == 0)
    write_job (map, job);
  MhValue *list = mh_value_new_list ();
  guint first = record->chunk * job->tasks_per_record;
  guint end = MIN (first + job->tasks_per_record, job->spec->tasks);
  for (guint i = first; i < end; i++)
    if (job->tasks[i].attempt)
      mh_value_push (list, write_task (&job->tasks[i], i, machine_name));
  mh_value_set (map, "t", list);
  return map;
}

char *
mh_record_read_tag (const MhValue *value)
{
  return mh_value_get_text (value, "w");
}

void
mh_stored_job_clear (MhStoredJob *stored)
{
  g_clear_pointer (&stored->spec, mh_job_spec_free);
}

static bool
read_chunk (const MhValue *value, guint *chunk, GError **error)
{
  guint64 tasks = CHUNK_OF_FIRST_VERSION;
  mh_value_get_uint (value, "c", &tasks);
  if (tasks < 1 || tasks > MH_MAX_TASKS_PER_JOB)
    return fail_invalid (error, "c", "is not between 1 and the maximum number of tasks");
  *chunk = (guint)tasks;
  return true;
}

/* NULL: the submission in the record is missing, not valid, or of another job. */
static MhJobSpec *
read_spec (const MhValue *value, const char *id, GError **error)
{
  g_autoptr (GError) problem = NULL;
  const MhValue *submission = mh_value_get (value, "s");
  if (submission == NULL)
    {
      fail_missing (error, "s", "job description");
      return NULL;
    }
  g_autoptr (MhJobSpec) spec = mh_submission_decode (submission, &problem);
  if (spec == NULL)
    {
      g_set_error (error, MH_STORAGE_ERROR, MH_STORAGE_ERROR_INVALID_FIELD,
                   "field 's' is not a valid job description: %s", problem->message);
      return NULL;
    }
  if (strcmp (spec->id, id) != 0)
    {
      g_set_error (error, MH_STORAGE_ERROR, MH_STORAGE_ERROR_WRONG_JOB,
                   "field 's' describes job '%s', not the job in the record's key", spec->id);
      return NULL;
    }
  return g_steal_pointer (&spec);
}

bool
mh_record_read_job (const MhValue *value, const char *id, MhStoredJob *stored, GError **error)
{
  guint64 submitted_wall_us, level;
  *stored = (MhStoredJob){};
  g_autoptr (MhJobSpec) spec = read_spec (value, id, error);
  if (spec == NULL)
    return false;
  if (!mh_value_get_uint (value, "at", &submitted_wall_us))
    return fail_missing (error, "at", "number");
  if (!read_chunk (value, &stored->chunk, error))
    return false;
  stored->submitted_wall_us = (gint64)submitted_wall_us;
  mh_value_get_bool (value, "x", &stored->cancelled);
  if (mh_value_get_uint (value, "e", &level))
    stored->back_off_level = (guint)MIN (level, G_MAXUINT);
  stored->spec = g_steal_pointer (&spec);
  return true;
}

static bool
read_task (const MhValue *item, MhRecordTaskFunc func, gpointer data, GError **error)
{
  guint64 index, attempt;
  if (mh_value_list_length (item) < 2 || !mh_value_as_uint (mh_value_at (item, 0), &index)
      || !mh_value_as_uint (mh_value_at (item, 1), &attempt))
    return fail_invalid (error, "t",
                         "has an item that does not begin with a task index and an attempt number");
  if (index >= MH_MAX_TASKS_PER_JOB)
    return fail_invalid (error, "t",
                         "has a task index that is not below the maximum number of tasks");
  if (attempt > G_MAXUINT32)
    return fail_invalid (error, "t", "has an attempt number that does not fit 32 bits");
  g_autofree char *machine = NULL;
  if (mh_value_list_length (item) > 2)
    {
      machine = mh_value_as_text (mh_value_at (item, 2));
      if (machine == NULL)
        return fail_invalid (error, "t", "has a machine name that is not text");
    }
  func (data, (guint)index, (guint32)attempt, machine);
  return true;
}

bool
mh_record_read_tasks (const MhValue *value, MhRecordTaskFunc func, gpointer data, GError **error)
{
  const MhValue *list = mh_value_get (value, "t");
  if (list == NULL)
    return fail_missing (error, "t", "list");
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    if (!read_task (mh_value_at (list, i), func, data, error))
      return false;
  return true;
}

/* ---- final states ---- */

MhValue *
mh_record_write_final (const MhJob *job, const char *tag)
{
  MhValue *map = mh_value_new_map ();
  mh_value_set_text (map, "w", tag);
  mh_value_set_uint (map, "state", mh_job_is_cancelled (job) ? MH_JOB_CANCELLED : MH_JOB_DONE);
  mh_value_set_uint (map, "done", job->n_done);
  return map;
}

bool
mh_record_read_final (const MhValue *value, MhUserResponse *response, GError **error)
{
  guint64 state, done;
  if (!mh_value_get_uint (value, "state", &state))
    return fail_missing (error, "state", "number");
  if (!mh_value_get_uint (value, "done", &done))
    return fail_missing (error, "done", "number");
  if (state != MH_JOB_DONE && state != MH_JOB_CANCELLED)
    return fail_invalid (error, "state", "is neither the done nor the cancelled state");
  *response = (MhUserResponse){ .status = 200, .state = (MhJobState)state, .done = (guint)done };
  return true;
}

/* ---- releases of machines; limits ---- */

MhValue *
mh_record_write_release (char **machines)
{
  MhValue *map = mh_value_new_map ();
  mh_value_set_strv (map, "m", machines);
  return map;
}

char **
mh_record_read_release (const MhValue *value, GError **error)
{
  char **names = NULL;
  if (mh_value_get_strv (value, "m", &names) && names)
    return names;
  fail_missing (error, "m", "list of names");
  return NULL;
}

MhValue *
mh_record_write_limits (double write_rps)
{
  MhValue *map = mh_value_new_map ();
  mh_value_set_number (map, "write_rps", write_rps);
  return map;
}

bool
mh_record_read_limits (const MhValue *value, double *write_rps, GError **error)
{
  if (!mh_value_get_number (value, "write_rps", write_rps))
    return fail_missing (error, "write_rps", "number");
  if (!(*write_rps > 0))
    return fail_invalid (error, "write_rps", "is not greater than 0");
  return true;
}
