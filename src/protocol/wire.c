/* Messages of users and workers. */
#include "protocol/wire-private.h"

#include <string.h>

bool
mh_wire_read_word (const MhValue *map, const char *key, const MhWireWord *words, int *out)
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

/* A name of bounded length that can stand in a key of the state service. */
char *
mh_wire_read_name (const MhValue *map, const char *key)
{
  g_autofree char *text = mh_value_get_text (map, key);
  if (text == NULL || *text == '\0' || strlen (text) > 200)
    return NULL;
  return g_steal_pointer (&text);
}

bool
mh_wire_read_amount (const MhValue *map, const char *key, double most, double *out)
{
  return mh_value_get_number (map, key, out) && *out >= 0 && *out <= most;
}

bool
mh_wire_read_duration (const MhValue *map, const char *key, gint64 *out)
{
  double d;
  if (!mh_wire_read_amount (map, key, 1e9, &d))
    return false;
  *out = (gint64)(d * MH_SECOND_US);
  return true;
}

/* Optional flag: absent counts as false, a wrong type as malformed. */
bool
mh_wire_read_flag (const MhValue *map, const char *key, bool *out)
{
  *out = false;
  return mh_value_get (map, key) == NULL || mh_value_get_bool (map, key, out);
}

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

MhRequest *
mh_request_new (MhTarget target, const char *method, char *path, MhValue *body)
{
  MhRequest *r = g_new0 (MhRequest, 1);
  r->target = target;
  r->method = method;
  r->path = path;
  r->body = body;
  return r;
}

/* ---- words ---- */

static const MhWireWord shapes[] = {
  { "sweep", MH_SHAPE_ARRAY }, { "service", MH_SHAPE_SERVICE }, { "group", MH_SHAPE_GANG }, {}
};
static const MhWireWord ranks[] = { { "best_effort", MH_PRIORITY_LOW },
                                    { "normal", MH_PRIORITY_NORMAL },
                                    { "urgent", MH_PRIORITY_HIGH },
                                    { "critical", MH_PRIORITY_CRITICAL },
                                    {} };
static const MhWireWord phases[] = { { "pulling", MH_TASK_PHASE_FETCHING_IMAGE },
                                     { "gathering", MH_TASK_PHASE_WAITING_FOR_GANG },
                                     { "running", MH_TASK_PHASE_RUNNING },
                                     { "saving", MH_TASK_PHASE_CHECKPOINTING },
                                     { "ended", MH_TASK_PHASE_ENDED },
                                     {} };
static const MhWireWord causes[] = { { "done", MH_TASK_END_COMPLETED },
                                     { "stopped", MH_TASK_END_STOPPED },
                                     { "error", MH_TASK_END_FAILED },
                                     { "full", MH_TASK_END_INSUFFICIENT_RESOURCES },
                                     { "in_use", MH_TASK_END_OTHER_ATTEMPT },
                                     { "no_such", MH_TASK_END_UNKNOWN_TASK },
                                     { "peers", MH_TASK_END_GANG_MEMBER_LOST },
                                     { "incomplete", MH_TASK_END_GANG_INCOMPLETE },
                                     {} };
static const char *const job_states[] = { "pending", "running", "done", "aborted" };
static const char *const verbs[] = { "run", "kill", "clear" };

static const char *
word_of (const MhWireWord *words, int value)
{
  while (words->value != value)
    words++;
  return words->word;
}

/* ---- routes ---- */

typedef struct
{
  MhRoute route;
  const char *method, *first, *last; /* of the path; NULL: no such part */
  guint parts;
} RouteRule;

static const RouteRule routes[] = {
  { MH_ROUTE_READY, "GET", "ready", NULL, 1 },
  { MH_ROUTE_HEARTBEAT, "POST", "hello", NULL, 1 },
  { MH_ROUTE_SUBMIT, "POST", "submissions", NULL, 1 },
  { MH_ROUTE_STATUS, "GET", "submissions", NULL, 2 },
  { MH_ROUTE_CANCEL, "POST", "submissions", "withdraw", 3 },
};

MhRoute
mh_route_find (const char *path, const char **method, char **job)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", 5);
  guint n = g_strv_length (parts);
  for (gsize i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const RouteRule *rule = &routes[i];
      if (n != rule->parts + 1 || strcmp (parts[1], rule->first) != 0
          || (rule->last && strcmp (parts[n - 1], rule->last) != 0))
        continue;
      *method = rule->method;
      if (rule->parts > 1)
        *job = g_strdup (parts[2]);
      return rule->route;
    }
  return MH_ROUTE_NONE;
}

/* ---- users ---- */

bool
mh_job_id_is_valid (const char *id)
{
  if (strncmp (id, "j-", 2) != 0)
    return false;
  gsize digits = strspn (id + 2, "0123456789");
  return digits >= 6 && digits <= 18 && id[2 + digits] == '\0';
}

MhJobSpec *
mh_submission_decode (const MhValue *b)
{
  g_autoptr (MhJobSpec) s = g_new0 (MhJobSpec, 1);
  guint64 tasks;
  int shape, rank;
  if (b == NULL || !cbor_isa_map (b))
    return NULL;
  s->id = mh_value_get_text (b, "id");
  s->class_name = mh_wire_read_name (b, "workload");
  s->team = mh_wire_read_name (b, "desk");
  s->image = mh_wire_read_name (b, "build");
  if (!s->id || !mh_job_id_is_valid (s->id) || !s->class_name || !s->team || !s->image)
    return NULL;
  if (!mh_wire_read_word (b, "shape", shapes, &shape)
      || !mh_wire_read_word (b, "rank", ranks, &rank) || !mh_value_get_uint (b, "legs", &tasks)
      || tasks < 1 || tasks > MH_MAX_TASKS)
    return NULL;
  s->shape = (MhShape)shape;
  s->priority = (MhPriority)rank;
  s->tasks = (guint)tasks;
  if (!mh_wire_read_amount (b, "cpus", 1e6, &s->cpus)
      || !mh_wire_read_amount (b, "gpus", 1e6, &s->gpus)
      || !mh_wire_read_amount (b, "mem_gb", 1e9, &s->mem_gb)
      || !mh_wire_read_amount (b, "size_gb", 1e9, &s->image_gb))
    return NULL;
  if (!mh_value_get_names (b, "racks", &s->types))
    return NULL;
  if (mh_value_get (b, "hall") && !(s->zone = mh_wire_read_name (b, "hall")))
    return NULL;
  if (!mh_wire_read_flag (b, "same_place", &s->single_zone)
      || !mh_wire_read_flag (b, "scatter", &s->spread_over_zones)
      || !mh_wire_read_flag (b, "standby", &s->spot))
    return NULL;
  if (!mh_wire_read_duration (b, "runtime_s", &s->estimated_run_us)
      || !mh_wire_read_duration (b, "snapshot_s", &s->checkpoint_interval_us)
      || !mh_wire_read_duration (b, "flush_s", &s->checkpoint_save_us))
    return NULL;
  s->deadline_us = -1;
  if (mh_value_get (b, "due_s") && !mh_wire_read_duration (b, "due_s", &s->deadline_us))
    return NULL;
  return g_steal_pointer (&s);
}

MhValue *
mh_submission_encode (const MhJobSpec *s)
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
  mh_value_set_bool (m, "same_place", s->single_zone);
  mh_value_set_bool (m, "scatter", s->spread_over_zones);
  mh_value_set_bool (m, "standby", s->spot);
  mh_value_set_number (m, "runtime_s", (double)s->estimated_run_us / MH_SECOND_US);
  mh_value_set_number (m, "snapshot_s", (double)s->checkpoint_interval_us / MH_SECOND_US);
  mh_value_set_number (m, "flush_s", (double)s->checkpoint_save_us / MH_SECOND_US);
  if (s->deadline_us >= 0)
    mh_value_set_number (m, "due_s", (double)s->deadline_us / MH_SECOND_US);
  return m;
}

MhValue *
mh_job_status_encode (const char *id, const MhUserAnswer *a, bool counts)
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
  if (!mh_job_id_is_valid (text))
    return false;
  *job = g_steal_pointer (&text);
  *index = (guint)n;
  return true;
}

MhHeartbeat *
mh_heartbeat_decode (const MhValue *b)
{
  g_autoptr (MhHeartbeat) r = mh_heartbeat_new ();
  if (b == NULL || !cbor_isa_map (b))
    return NULL;
  r->machine = mh_wire_read_name (b, "box");
  r->endpoint = mh_wire_read_name (b, "endpoint");
  r->type = mh_wire_read_name (b, "rack");
  r->zone = mh_wire_read_name (b, "hall");
  if (!r->machine || !r->endpoint || !r->type || !r->zone
      || !mh_wire_read_flag (b, "standby", &r->spot)
      || !mh_value_get_uint (b, "tenure", &r->incarnation)
      || !mh_value_get_uint (b, "tick", &r->sequence)
      || !mh_value_get_uint (b, "epoch", &r->fencing_token))
    return NULL;
  if (mh_value_get (b, "warning_s") && !mh_wire_read_duration (b, "warning_s", &r->notice_us))
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
      MhTaskStatus t = {};
      int phase, cause = MH_TASK_END_NONE;
      if (!mh_value_get_uint (leg, "try", &t.attempt)
          || !mh_wire_read_word (leg, "status", phases, &phase)
          || (phase == MH_TASK_PHASE_ENDED && !mh_wire_read_word (leg, "cause", causes, &cause))
          || !read_leg (leg, &t.job, &t.index))
        return NULL;
      t.phase = (MhTaskPhase)phase;
      t.end_reason = (MhTaskEndReason)cause;
      g_array_append_val (r->tasks, t);
    }
  return g_steal_pointer (&r);
}

MhValue *
mh_commands_encode (guint64 token, const guint64 *session, GArray *commands)
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
mh_redirect_encode (const char *node)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "dispatcher", node);
  return m;
}

MhRequest *
mh_worker_request_commands (const char *endpoint, guint64 token, guint64 session, GArray *commands)
{
  MhRequest *r = mh_request_new (MH_TARGET_WORKER, "POST", g_strdup ("/commands"),
                                 mh_commands_encode (token, &session, commands));
  r->endpoint = g_strdup (endpoint);
  return r;
}

MhRequest *
mh_worker_request_status (const char *endpoint)
{
  MhRequest *r = mh_request_new (MH_TARGET_WORKER, "GET", g_strdup ("/show"), NULL);
  r->endpoint = g_strdup (endpoint);
  return r;
}
