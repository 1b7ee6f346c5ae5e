#include "wire.h"

#include <math.h>
#include <string.h>

/* Deeper nesting than any message has is refused before libcbor builds it. */
#define MAX_DEPTH 16

/* ---- types.h ---- */

void
mh_job_spec_free (MhJobSpec *s)
{
  if (s == NULL)
    return;
  g_free (s->id);
  g_free (s->class_name);
  g_free (s->team);
  g_free (s->image);
  g_free (s->zone);
  g_strfreev (s->types);
  g_free (s);
}

static void
report_task_clear (gpointer data)
{
  g_free (((MhReportTask *)data)->job);
}

void
mh_report_free (MhReport *r)
{
  if (r == NULL)
    return;
  g_free (r->machine);
  g_free (r->endpoint);
  g_free (r->type);
  g_free (r->zone);
  g_array_unref (r->tasks);
  g_free (r);
}

static void
command_clear (gpointer data)
{
  g_free (((MhCommand *)data)->job);
}

GArray *
mh_commands_new (void)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (MhCommand));
  g_array_set_clear_func (a, command_clear);
  return a;
}

void
mh_machine_type_free (MhMachineType *t)
{
  if (t == NULL)
    return;
  g_free (t->name);
  g_strfreev (t->zones);
  g_free (t);
}

static void
listed_free (gpointer data)
{
  MhListedMachine *m = data;
  if (m == NULL)
    return;
  g_free (m->name);
  g_free (m->endpoint);
  g_free (m->type);
  g_free (m->zone);
  g_free (m);
}

/* ---- values ---- */

void
mh_value_unref (MhValue *v)
{
  if (v)
    cbor_decref (&v);
}

/* Scans the head bytes only, so that a hostile body cannot make the library recurse or reserve
   memory for a length that it does not carry. */
static bool
well_formed (const guint8 *p, gsize size, gsize *at, guint depth)
{
  if (depth > MAX_DEPTH || *at >= size)
    return false;
  guint8 head = p[(*at)++];
  guint major = head >> 5, info = head & 31;
  guint64 n = info;
  bool open = false;
  if (info >= 24 && info <= 27)
    {
      guint len = 1u << (info - 24);
      if (size - *at < len)
        return false;
      n = 0;
      for (guint i = 0; i < len; i++)
        n = n << 8 | p[(*at)++];
    }
  else if (info == 31)
    open = true;
  else if (info > 27)
    return false;
  switch (major)
    {
    case 0:
    case 1:
      return !open;
    case 2:
    case 3:
      if (open)
        {
          while (*at < size && p[*at] != 0xff)
            if (p[*at] >> 5 != major || (p[*at] & 31) == 31
                || !well_formed (p, size, at, depth + 1))
              return false;
          return *at < size && p[(*at)++] == 0xff;
        }
      if (size - *at < n)
        return false;
      *at += n;
      return true;
    case 4:
    case 5:
      if (open)
        {
          guint items = 0;
          while (*at < size && p[*at] != 0xff)
            {
              if (!well_formed (p, size, at, depth + 1))
                return false;
              items++;
            }
          return *at < size && p[(*at)++] == 0xff && (major == 4 || items % 2 == 0);
        }
      if (n > size)
        return false;
      for (guint64 i = 0; i < n * (major == 5 ? 2 : 1); i++)
        if (!well_formed (p, size, at, depth + 1))
          return false;
      return true;
    case 6:
      return !open && well_formed (p, size, at, depth + 1);
    default:
      return !open;
    }
}

MhValue *
mh_value_load (const void *data, gsize size)
{
  gsize at = 0;
  if (data == NULL || !well_formed (data, size, &at, 0) || at != size)
    return NULL;
  struct cbor_load_result result;
  cbor_item_t *item = cbor_load (data, size, &result);
  if (item && (result.error.code != CBOR_ERR_NONE || result.read != size))
    g_clear_pointer (&item, mh_value_unref);
  return item;
}

GBytes *
mh_value_save (const MhValue *v)
{
  unsigned char *data = NULL;
  size_t room = 0;
  size_t size = cbor_serialize_alloc (v, &data, &room);
  g_assert (size > 0);
  return g_bytes_new_with_free_func (data, size, free, data);
}

gsize
mh_value_json_size (const MhValue *v)
{
  switch (cbor_typeof (v))
    {
    case CBOR_TYPE_STRING:
      {
        /* Anything but plain ASCII may need an escape of six characters. */
        gsize n = 2;
        const guint8 *p = cbor_string_handle (v);
        for (gsize i = 0; i < cbor_string_length (v); i++)
          n += p[i] < 0x20 || p[i] > 0x7e || p[i] == '"' || p[i] == '\\' ? 6 : 1;
        return n;
      }
    case CBOR_TYPE_ARRAY:
      {
        gsize n = 2;
        for (gsize i = 0; i < cbor_array_size (v); i++)
          n += 2 + mh_value_json_size (cbor_array_handle (v)[i]);
        return n;
      }
    case CBOR_TYPE_MAP:
      {
        gsize n = 2;
        for (gsize i = 0; i < cbor_map_size (v); i++)
          n += 4 + mh_value_json_size (cbor_map_handle (v)[i].key)
               + mh_value_json_size (cbor_map_handle (v)[i].value);
        return n;
      }
    case CBOR_TYPE_UINT:
      {
        gsize n = 1;
        for (guint64 x = cbor_get_int (v); x >= 10; x /= 10)
          n++;
        return n;
      }
    default:
      return 24;
    }
}

MhValue *
mh_value_map (void)
{
  return cbor_new_indefinite_map ();
}

MhValue *
mh_value_list (void)
{
  return cbor_new_indefinite_array ();
}

void
mh_value_set (MhValue *map, const char *key, MhValue *owned)
{
  bool ok = cbor_map_add (map, (struct cbor_pair){ .key = cbor_move (cbor_build_string (key)),
                                                   .value = cbor_move (owned) });
  g_assert (ok);
}

MhValue *
mh_value_uint (guint64 n)
{
  return n <= G_MAXUINT8    ? cbor_build_uint8 ((guint8)n)
         : n <= G_MAXUINT16 ? cbor_build_uint16 ((guint16)n)
         : n <= G_MAXUINT32 ? cbor_build_uint32 ((guint32)n)
                            : cbor_build_uint64 (n);
}

MhValue *
mh_value_text (const char *text)
{
  return cbor_build_string (text);
}

void
mh_value_set_text (MhValue *map, const char *key, const char *text)
{
  if (text)
    mh_value_set (map, key, mh_value_text (text));
}

void
mh_value_set_uint (MhValue *map, const char *key, guint64 n)
{
  mh_value_set (map, key, mh_value_uint (n));
}

void
mh_value_set_number (MhValue *map, const char *key, double d)
{
  mh_value_set (map, key, cbor_build_float8 (d));
}

void
mh_value_set_bool (MhValue *map, const char *key, bool b)
{
  mh_value_set (map, key, cbor_build_bool (b));
}

void
mh_value_push (MhValue *list, MhValue *owned)
{
  bool ok = cbor_array_push (list, cbor_move (owned));
  g_assert (ok);
}

static bool
text_is (const MhValue *item, const char *text)
{
  return cbor_isa_string (item) && cbor_string_is_definite (item)
         && cbor_string_length (item) == strlen (text)
         && memcmp (cbor_string_handle (item), text, strlen (text)) == 0;
}

MhValue *
mh_value_get (const MhValue *map, const char *key)
{
  if (map == NULL || !cbor_isa_map (map))
    return NULL;
  struct cbor_pair *pairs = cbor_map_handle (map);
  for (gsize i = 0; i < cbor_map_size (map); i++)
    if (text_is (pairs[i].key, key))
      {
        MhValue *v = pairs[i].value;
        if (cbor_isa_float_ctrl (v) && cbor_float_ctrl_is_ctrl (v)
            && (cbor_ctrl_value (v) == CBOR_CTRL_NULL || cbor_ctrl_value (v) == CBOR_CTRL_UNDEF))
          return NULL;
        return v;
      }
  return NULL;
}

/* Encoders may write a whole number as a float; both are numbers. */
static bool
as_number (const MhValue *v, double *out)
{
  double d;
  if (v == NULL)
    return false;
  if (cbor_isa_uint (v))
    d = (double)cbor_get_int (v);
  else if (cbor_isa_negint (v))
    d = -1.0 - (double)cbor_get_int (v);
  else if (cbor_isa_float_ctrl (v) && !cbor_float_ctrl_is_ctrl (v))
    d = cbor_float_get_float (v);
  else
    return false;
  if (!isfinite (d))
    return false;
  *out = d;
  return true;
}

bool
mh_value_as_uint (const MhValue *v, guint64 *out)
{
  double d;
  if (v && cbor_isa_uint (v))
    {
      *out = cbor_get_int (v);
      return true;
    }
  if (!as_number (v, &d) || d < 0 || d > 9007199254740992.0 || d != floor (d))
    return false;
  *out = (guint64)d;
  return true;
}

char *
mh_value_as_text (const MhValue *v)
{
  if (v == NULL || !cbor_isa_string (v))
    return NULL;
  GString *s = g_string_new (NULL);
  if (cbor_string_is_definite (v))
    g_string_append_len (s, (const char *)cbor_string_handle (v), cbor_string_length (v));
  else
    for (gsize i = 0; i < cbor_string_chunk_count (v); i++)
      {
        cbor_item_t *chunk = cbor_string_chunks_handle (v)[i];
        g_string_append_len (s, (const char *)cbor_string_handle (chunk),
                             cbor_string_length (chunk));
      }
  /* Text with a NUL inside would be cut short by C strings and mean something else. */
  if (strlen (s->str) != s->len || !g_utf8_validate (s->str, s->len, NULL))
    {
      g_string_free (s, TRUE);
      return NULL;
    }
  return g_string_free (s, FALSE);
}

bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out)
{
  return mh_value_as_uint (mh_value_get (map, key), out);
}

bool
mh_value_get_number (const MhValue *map, const char *key, double *out)
{
  return as_number (mh_value_get (map, key), out);
}

bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out)
{
  MhValue *v = mh_value_get (map, key);
  if (v == NULL || !cbor_is_bool (v))
    return false;
  *out = cbor_get_bool (v);
  return true;
}

char *
mh_value_get_text (const MhValue *map, const char *key)
{
  return mh_value_as_text (mh_value_get (map, key));
}

gsize
mh_value_size (const MhValue *list)
{
  return list && cbor_isa_array (list) ? cbor_array_size (list) : 0;
}

MhValue *
mh_value_at (const MhValue *list, gsize i)
{
  return cbor_array_handle (list)[i];
}

/* ---- words ---- */

typedef struct
{
  const char *word;
  int value;
} Word;

static const Word shapes[] = {
  { "sweep", MH_SHAPE_ARRAY }, { "service", MH_SHAPE_SERVICE }, { "group", MH_SHAPE_GANG }, {}
};
static const Word ranks[] = { { "best_effort", MH_PRIORITY_LOW },
                              { "normal", MH_PRIORITY_NORMAL },
                              { "urgent", MH_PRIORITY_HIGH },
                              { "critical", MH_PRIORITY_CRITICAL },
                              {} };
static const Word phases[] = { { "pulling", MH_TASK_FETCHING }, { "gathering", MH_TASK_GATHERING },
                               { "running", MH_TASK_RUNNING },  { "saving", MH_TASK_SAVING },
                               { "ended", MH_TASK_ENDED },      {} };
static const Word causes[] = { { "done", MH_CAUSE_DONE },
                               { "stopped", MH_CAUSE_STOPPED },
                               { "error", MH_CAUSE_ERROR },
                               { "full", MH_CAUSE_NO_ROOM },
                               { "in_use", MH_CAUSE_BUSY },
                               { "no_such", MH_CAUSE_UNKNOWN },
                               { "peers", MH_CAUSE_PEERS },
                               { "incomplete", MH_CAUSE_INCOMPLETE },
                               {} };
static const Word listed[] = { { "starting", MH_LISTED_STARTING },
                               { "running", MH_LISTED_RUNNING },
                               { "failed", MH_LISTED_FAILED },
                               {} };
static const char *const job_states[] = { "pending", "running", "done", "aborted" };
static const char *const verbs[] = { "run", "kill", "clear" };

static bool
read_word (const MhValue *map, const char *key, const Word *words, int *out)
{
  g_autofree char *text = mh_value_get_text (map, key);
  for (; text && words->word; words++)
    if (strcmp (words->word, text) == 0)
      {
        *out = words->value;
        return true;
      }
  return false;
}

static const char *
word_of (const Word *words, int value)
{
  while (words->value != value)
    words++;
  return words->word;
}

/* A name of bounded length that can stand in a key of the state service. */
static char *
read_name (const MhValue *map, const char *key)
{
  g_autofree char *text = mh_value_get_text (map, key);
  if (text == NULL || *text == '\0' || strlen (text) > 200)
    return NULL;
  return g_steal_pointer (&text);
}

static bool
read_amount (const MhValue *map, const char *key, double most, double *out)
{
  return mh_value_get_number (map, key, out) && *out >= 0 && *out <= most;
}

static bool
read_duration (const MhValue *map, const char *key, gint64 *out)
{
  double d;
  if (!read_amount (map, key, 1e9, &d))
    return false;
  *out = (gint64)(d * MH_SECOND_US);
  return true;
}

bool
mh_value_get_names (const MhValue *map, const char *key, char ***out)
{
  MhValue *list = mh_value_get (map, key);
  *out = NULL;
  if (list == NULL)
    return true;
  if (!cbor_isa_array (list))
    return false;
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      char *name = mh_value_as_text (mh_value_at (list, i));
      if (name == NULL)
        return false;
      g_ptr_array_add (names, name);
    }
  g_ptr_array_add (names, NULL);
  *out = (char **)g_ptr_array_free (g_steal_pointer (&names), FALSE);
  return true;
}

void
mh_value_set_names (MhValue *map, const char *key, char **names)
{
  MhValue *list = mh_value_list ();
  for (; names && *names; names++)
    mh_value_push (list, mh_value_text (*names));
  mh_value_set (map, key, list);
}

/* ---- users ---- */

bool
mh_wire_job_id_valid (const char *id)
{
  if (strncmp (id, "j-", 2) != 0)
    return false;
  gsize digits = strspn (id + 2, "0123456789");
  return digits >= 6 && digits <= 18 && id[2 + digits] == '\0';
}

/* Optional flag: absent counts as false, a wrong type as malformed. */
static bool
read_flag (const MhValue *map, const char *key, bool *out)
{
  *out = false;
  return mh_value_get (map, key) == NULL || mh_value_get_bool (map, key, out);
}

MhJobSpec *
mh_wire_read_submission (const MhValue *b)
{
  g_autoptr (MhJobSpec) s = g_new0 (MhJobSpec, 1);
  guint64 tasks;
  int shape, rank;
  if (b == NULL || !cbor_isa_map (b))
    return NULL;
  s->id = mh_value_get_text (b, "id");
  s->class_name = read_name (b, "workload");
  s->team = read_name (b, "desk");
  s->image = read_name (b, "build");
  if (!s->id || !mh_wire_job_id_valid (s->id) || !s->class_name || !s->team || !s->image)
    return NULL;
  if (!read_word (b, "shape", shapes, &shape) || !read_word (b, "rank", ranks, &rank)
      || !mh_value_get_uint (b, "legs", &tasks) || tasks < 1 || tasks > MH_MAX_TASKS)
    return NULL;
  s->shape = (MhShape)shape;
  s->priority = (MhPriority)rank;
  s->tasks = (guint)tasks;
  if (!read_amount (b, "cpus", 1e6, &s->cpus) || !read_amount (b, "gpus", 1e6, &s->gpus)
      || !read_amount (b, "mem_gb", 1e9, &s->mem_gb)
      || !read_amount (b, "size_gb", 1e9, &s->image_gb))
    return NULL;
  if (!mh_value_get_names (b, "racks", &s->types))
    return NULL;
  if (mh_value_get (b, "hall") && !(s->zone = read_name (b, "hall")))
    return NULL;
  if (!read_flag (b, "same_place", &s->one_zone) || !read_flag (b, "scatter", &s->scatter)
      || !read_flag (b, "standby", &s->spot))
    return NULL;
  if (!read_duration (b, "runtime_s", &s->estimate_us)
      || !read_duration (b, "snapshot_s", &s->checkpoint_us)
      || !read_duration (b, "flush_s", &s->save_us))
    return NULL;
  s->deadline_us = -1;
  if (mh_value_get (b, "due_s") && !read_duration (b, "due_s", &s->deadline_us))
    return NULL;
  return g_steal_pointer (&s);
}

MhValue *
mh_wire_write_submission (const MhJobSpec *s)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "id", s->id);
  mh_value_set_text (m, "workload", s->class_name);
  mh_value_set_text (m, "desk", s->team);
  mh_value_set_text (m, "shape", word_of (shapes, s->shape));
  mh_value_set_text (m, "rank", word_of (ranks, s->priority));
  mh_value_set_uint (m, "legs", s->tasks);
  mh_value_set_number (m, "cpus", s->cpus);
  mh_value_set_number (m, "gpus", s->gpus);
  mh_value_set_number (m, "mem_gb", s->mem_gb);
  mh_value_set_text (m, "build", s->image);
  mh_value_set_number (m, "size_gb", s->image_gb);
  if (s->types)
    mh_value_set_names (m, "racks", s->types);
  mh_value_set_text (m, "hall", s->zone);
  mh_value_set_bool (m, "same_place", s->one_zone);
  mh_value_set_bool (m, "scatter", s->scatter);
  mh_value_set_bool (m, "standby", s->spot);
  mh_value_set_number (m, "runtime_s", (double)s->estimate_us / MH_SECOND_US);
  mh_value_set_number (m, "snapshot_s", (double)s->checkpoint_us / MH_SECOND_US);
  mh_value_set_number (m, "flush_s", (double)s->save_us / MH_SECOND_US);
  if (s->deadline_us >= 0)
    mh_value_set_number (m, "due_s", (double)s->deadline_us / MH_SECOND_US);
  return m;
}

MhValue *
mh_wire_write_status (const char *id, const MhUserAnswer *a, bool counts)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "id", id);
  mh_value_set_text (m, "status", job_states[a->state]);
  if (counts)
    {
      mh_value_set_uint (m, "done", a->done);
      mh_value_set_uint (m, "running", a->running);
    }
  return m;
}

/* ---- workers ---- */

/* "j-000412/3" */
static bool
read_leg (const MhValue *map, char **job, guint *index)
{
  g_autofree char *text = mh_value_get_text (map, "leg");
  char *slash = text ? strrchr (text, '/') : NULL;
  guint64 n;
  if (slash == NULL || !g_ascii_string_to_unsigned (slash + 1, 10, 0, MH_MAX_TASKS - 1, &n, NULL))
    return false;
  *slash = '\0';
  if (!mh_wire_job_id_valid (text))
    return false;
  *job = g_steal_pointer (&text);
  *index = (guint)n;
  return true;
}

MhReport *
mh_wire_read_report (const MhValue *b)
{
  g_autoptr (MhReport) r = g_new0 (MhReport, 1);
  r->tasks = g_array_new (FALSE, FALSE, sizeof (MhReportTask));
  g_array_set_clear_func (r->tasks, report_task_clear);
  if (b == NULL || !cbor_isa_map (b))
    return NULL;
  r->machine = read_name (b, "box");
  r->endpoint = read_name (b, "endpoint");
  r->type = read_name (b, "rack");
  r->zone = read_name (b, "hall");
  if (!r->machine || !r->endpoint || !r->type || !r->zone || !read_flag (b, "standby", &r->spot)
      || !mh_value_get_uint (b, "tenure", &r->session)
      || !mh_value_get_uint (b, "tick", &r->sequence) || !mh_value_get_uint (b, "epoch", &r->token))
    return NULL;
  r->notice_us = -1;
  if (mh_value_get (b, "warning_s") && !read_duration (b, "warning_s", &r->notice_us))
    {
      double past;
      if (!mh_value_get_number (b, "warning_s", &past))
        return NULL;
      r->notice_us = 0; /* the moment has passed */
    }
  MhValue *legs = mh_value_get (b, "legs");
  if (legs && !cbor_isa_array (legs))
    return NULL;
  for (gsize i = 0; i < mh_value_size (legs); i++)
    {
      const MhValue *leg = mh_value_at (legs, i);
      MhReportTask t = {};
      int phase, cause = MH_CAUSE_NONE;
      if (!mh_value_get_uint (leg, "try", &t.attempt) || !read_word (leg, "status", phases, &phase)
          || (phase == MH_TASK_ENDED && !read_word (leg, "cause", causes, &cause))
          || !read_leg (leg, &t.job, &t.index))
        return NULL;
      t.phase = (MhTaskPhase)phase;
      t.cause = (MhCause)cause;
      g_array_append_val (r->tasks, t);
    }
  return g_steal_pointer (&r);
}

MhValue *
mh_wire_write_commands (guint64 token, const guint64 *session, GArray *commands)
{
  MhValue *m = mh_value_map ();
  mh_value_set_uint (m, "epoch", token);
  if (session)
    mh_value_set_uint (m, "tenure", *session);
  MhValue *list = mh_value_list ();
  for (guint i = 0; commands && i < commands->len; i++)
    {
      const MhCommand *o = &g_array_index (commands, MhCommand, i);
      MhValue *item = mh_value_map ();
      mh_value_set_text (item, "verb", verbs[o->kind]);
      g_autofree char *leg = g_strdup_printf ("%s/%u", o->job, o->index);
      mh_value_set_text (item, "leg", leg);
      mh_value_set_uint (item, "try", o->attempt);
      if (o->kind == MH_COMMAND_STOP)
        mh_value_set_number (item, "wind_down_s", (double)o->grace_us / MH_SECOND_US);
      mh_value_push (list, item);
    }
  mh_value_set (m, "orders", list);
  return m;
}

MhValue *
mh_wire_write_redirect (const char *node)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "dispatcher", node);
  return m;
}

/* ---- cloud ---- */

GPtrArray *
mh_wire_read_machine_types (const MhValue *b)
{
  MhValue *list = mh_value_get (b, "racks");
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  g_autoptr (GPtrArray) types
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *m = mh_value_at (list, i);
      MhMachineType *t = g_new0 (MhMachineType, 1);
      g_ptr_array_add (types, t);
      t->name = read_name (m, "sku");
      if (!t->name || !read_amount (m, "cpus", 1e6, &t->cpus)
          || !read_amount (m, "mem_gb", 1e9, &t->mem_gb)
          || !read_amount (m, "hourly", 1e9, &t->price) || !read_duration (m, "boot_s", &t->boot_us)
          || !mh_value_get_names (m, "halls", &t->zones))
        return NULL;
      if (!read_amount (m, "gpus", 1e6, &t->gpus))
        t->gpus = 0;
      if (!read_amount (m, "cache_gb", 1e9, &t->cache_gb))
        t->cache_gb = 0;
      if (!read_amount (m, "pull_gb_per_s", 1e9, &t->fetch_gb_per_s))
        t->fetch_gb_per_s = 0;
      if (!read_amount (m, "spot_price", 1e9, &t->spot_price))
        t->spot_price = t->price;
    }
  return g_steal_pointer (&types);
}

GPtrArray *
mh_wire_read_machine_list (const MhValue *b, bool *more)
{
  MhValue *list = mh_value_get (b, "boxes");
  *more = false;
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  mh_value_get_bool (b, "has_next", more);
  g_autoptr (GPtrArray) machines = g_ptr_array_new_with_free_func (listed_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *m = mh_value_at (list, i);
      MhListedMachine *l = g_new0 (MhListedMachine, 1);
      int state;
      g_ptr_array_add (machines, l);
      l->name = read_name (m, "id");
      l->endpoint = read_name (m, "endpoint");
      l->type = read_name (m, "rack");
      l->zone = read_name (m, "hall");
      if (!l->name || !l->type || !l->zone || !read_word (m, "status", listed, &state)
          || !read_flag (m, "standby", &l->spot))
        return NULL;
      l->state = (MhListedState)state;
      if (!read_duration (m, "held_s", &l->age_us))
        l->age_us = 0;
    }
  return g_steal_pointer (&machines);
}

char **
mh_wire_read_rented (const MhValue *b)
{
  char **names = NULL;
  return mh_value_get_names (b, "boxes", &names) ? names : NULL;
}

static MhValue *
write_rental (const char *name, const char *type, const char *zone, bool spot, guint count)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "rental", name);
  mh_value_set_text (m, "rack", type);
  mh_value_set_text (m, "hall", zone);
  mh_value_set_bool (m, "standby", spot);
  mh_value_set_uint (m, "number", count);
  return m;
}

static MhValue *
write_release (char **machines)
{
  MhValue *m = mh_value_map ();
  mh_value_set_names (m, "boxes", machines);
  return m;
}

/* ---- state service ---- */

void
mh_entry_free (MhEntry *e)
{
  if (e == NULL)
    return;
  g_free (e->key);
  mh_value_unref (e->value);
  g_free (e);
}

static GPtrArray *
entries_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)mh_entry_free);
}

MhEntry *
mh_wire_read_entry (const MhValue *b)
{
  MhEntry *e = g_new0 (MhEntry, 1);
  MhValue *value = mh_value_get (b, "v");
  e->key = mh_value_get_text (b, "key");
  if (e->key == NULL || value == NULL || !mh_value_get_uint (b, "stamp", &e->version))
    {
      mh_entry_free (e);
      return NULL;
    }
  e->value = cbor_incref (value);
  return e;
}

GPtrArray *
mh_wire_read_entries (const MhValue *b, bool *more, guint64 *revision)
{
  MhValue *list = mh_value_get (b, "entries");
  *more = false;
  *revision = 0;
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  mh_value_get_bool (b, "has_next", more);
  mh_value_get_uint (b, "ledger", revision);
  g_autoptr (GPtrArray) entries = entries_new ();
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      MhEntry *e = mh_wire_read_entry (mh_value_at (list, i));
      if (e == NULL)
        return NULL;
      g_ptr_array_add (entries, e);
    }
  return g_steal_pointer (&entries);
}

GPtrArray *
mh_wire_read_events (const MhValue *b, guint64 *revision)
{
  MhValue *list = mh_value_get (b, "news");
  if (list == NULL || !cbor_isa_array (list) || !mh_value_get_uint (b, "ledger", revision))
    return NULL;
  g_autoptr (GPtrArray) entries = entries_new ();
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *n = mh_value_at (list, i);
      MhEntry *e = g_new0 (MhEntry, 1);
      g_ptr_array_add (entries, e);
      MhValue *value = mh_value_get (n, "v");
      e->key = mh_value_get_text (n, "put");
      if (e->key && value)
        e->value = cbor_incref (value);
      else if (e->key == NULL)
        e->key = mh_value_get_text (n, "drop");
      if (e->key == NULL || !mh_value_get_uint (n, "stamp", &e->version))
        return NULL;
    }
  return g_steal_pointer (&entries);
}

bool
mh_wire_read_revision (const MhValue *b, guint64 *revision)
{
  return mh_value_get_uint (b, "ledger", revision);
}

char **
mh_wire_read_failed (const MhValue *b)
{
  char **names = NULL;
  return mh_value_get_names (b, "failed", &names) ? names : NULL;
}

bool
mh_wire_read_lease (const MhValue *b, guint64 *lease_id)
{
  return mh_value_get_uint (b, "claim", lease_id);
}

static MhValue *
write_grant (gint64 life_us)
{
  MhValue *m = mh_value_map ();
  mh_value_set_uint (m, "life_ms", (guint64)(life_us / 1000));
  return m;
}

static MhValue *
write_txn (const MhCondition *conditions, guint n_conditions, const MhChange *changes,
           guint n_changes)
{
  MhValue *m = mh_value_map ();
  MhValue *list = mh_value_list ();
  for (guint i = 0; i < n_conditions; i++)
    {
      MhValue *c = mh_value_map ();
      mh_value_set_text (c, "key", conditions[i].key);
      mh_value_set_uint (c, "stamp", conditions[i].version);
      mh_value_push (list, c);
    }
  mh_value_set (m, "if", list);
  list = mh_value_list ();
  for (guint i = 0; i < n_changes; i++)
    {
      MhValue *c = mh_value_map ();
      if (changes[i].value)
        {
          mh_value_set_text (c, "put", changes[i].key);
          mh_value_set (c, "v", cbor_incref (changes[i].value));
          if (changes[i].lease_id)
            mh_value_set_uint (c, "claim", changes[i].lease_id);
        }
      else
        mh_value_set_text (c, "drop", changes[i].key);
      mh_value_push (list, c);
    }
  mh_value_set (m, "apply", list);
  return m;
}

/* ---- requests ---- */

void
mh_request_free (MhRequest *r)
{
  if (r == NULL)
    return;
  g_free (r->endpoint);
  g_free (r->path);
  mh_value_unref (r->body);
  g_free (r);
}

MhRequest *
mh_request_copy (const MhRequest *r)
{
  MhRequest *copy = g_new0 (MhRequest, 1);
  *copy = *r;
  copy->endpoint = g_strdup (r->endpoint);
  copy->path = g_strdup (r->path);
  if (r->body)
    cbor_incref (r->body);
  return copy;
}

static MhRequest *
request (MhTarget target, const char *method, char *path, MhValue *body)
{
  MhRequest *r = g_new0 (MhRequest, 1);
  r->target = target;
  r->method = method;
  r->path = path;
  r->body = body;
  return r;
}

MhRequest *
mh_wire_get (const char *key)
{
  return request (MH_TARGET_STATE, "GET", g_strconcat ("/kv/", key, NULL), NULL);
}

MhRequest *
mh_wire_list (const char *prefix, const char *after, guint limit)
{
  return request (MH_TARGET_STATE, "GET",
                  after ? g_strdup_printf ("/kv?starts=%s&since=%s&limit=%u", prefix, after, limit)
                        : g_strdup_printf ("/kv?starts=%s&limit=%u", prefix, limit),
                  NULL);
}

MhRequest *
mh_wire_txn (const MhCondition *conditions, guint n_conditions, const MhChange *changes,
             guint n_changes)
{
  return request (MH_TARGET_STATE, "POST", g_strdup ("/multi"),
                  write_txn (conditions, n_conditions, changes, n_changes));
}

MhRequest *
mh_wire_lease_grant (gint64 life_us)
{
  return request (MH_TARGET_STATE, "POST", g_strdup ("/grants"), write_grant (life_us));
}

MhRequest *
mh_wire_lease_renew (guint64 lease_id)
{
  return request (MH_TARGET_STATE, "POST",
                  g_strdup_printf ("/grants/%" G_GUINT64_FORMAT "/extend", lease_id), NULL);
}

MhRequest *
mh_wire_lease_revoke (guint64 lease_id)
{
  return request (MH_TARGET_STATE, "DELETE",
                  g_strdup_printf ("/grants/%" G_GUINT64_FORMAT, lease_id), NULL);
}

MhRequest *
mh_wire_watch (const char *prefix, guint64 since, gint64 hold_us)
{
  return request (MH_TARGET_STATE, "GET",
                  g_strdup_printf ("/watch?starts=%s&since=%" G_GUINT64_FORMAT
                                   "&hold_ms=%" G_GINT64_FORMAT,
                                   prefix, since, hold_us / 1000),
                  NULL);
}

MhRequest *
mh_wire_machine_types (void)
{
  return request (MH_TARGET_CLOUD, "GET", g_strdup ("/machine_types"), NULL);
}

MhRequest *
mh_wire_machines (const char *after)
{
  return request (MH_TARGET_CLOUD, "GET",
                  after ? g_strdup_printf ("/machines?since=%s&limit=500", after)
                        : g_strdup ("/machines?limit=500"),
                  NULL);
}

MhRequest *
mh_wire_rent (const char *name, const char *type, const char *zone, bool spot, guint count)
{
  return request (MH_TARGET_CLOUD, "POST", g_strdup ("/machines"),
                  write_rental (name, type, zone, spot, count));
}

MhRequest *
mh_wire_release (char **machines)
{
  return request (MH_TARGET_CLOUD, "POST", g_strdup ("/machines/release"),
                  write_release (machines));
}

MhRequest *
mh_wire_commands (const char *endpoint, guint64 token, guint64 session, GArray *commands)
{
  MhRequest *r = request (MH_TARGET_WORKER, "POST", g_strdup ("/commands"),
                          mh_wire_write_commands (token, &session, commands));
  r->endpoint = g_strdup (endpoint);
  return r;
}

MhRequest *
mh_wire_show (const char *endpoint)
{
  MhRequest *r = request (MH_TARGET_WORKER, "GET", g_strdup ("/show"), NULL);
  r->endpoint = g_strdup (endpoint);
  return r;
}
