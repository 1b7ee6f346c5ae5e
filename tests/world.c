#include "world.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  MhValue *value;
  guint64 version, lease_id;
} Key;

typedef struct
{
  char *key;
  MhValue *value;
  guint64 version;
} Change;

typedef struct
{
  gpointer token;
  guint64 since;
  char *prefix;
  gint64 until_us;
} Watch;

static void
key_free (gpointer data)
{
  mh_value_unref (((Key *)data)->value);
  g_free (data);
}

static void
change_clear (gpointer data)
{
  g_free (((Change *)data)->key);
  mh_value_unref (((Change *)data)->value);
}

static void
watch_clear (gpointer data)
{
  g_free (((Watch *)data)->prefix);
}

static void
task_clear (gpointer data)
{
  g_free (((WorldTask *)data)->leg);
  g_free (((WorldTask *)data)->job);
}

static void
machine_free (gpointer data)
{
  WorldMachine *m = data;
  g_free (m->name);
  g_free (m->endpoint);
  g_free (m->type);
  g_free (m->zone);
  g_array_unref (m->tasks);
  g_hash_table_unref (m->images);
  g_free (m);
}

static void
job_free (gpointer data)
{
  WorldJob *j = data;
  mh_job_spec_free (j->spec);
  g_free (j->done);
  g_free (j);
}

static gint
by_text (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

World *
world_new (const MhSettings *settings)
{
  World *w = g_new0 (World, 1);
  w->settings = settings;
  w->boot_us = 4 * MH_SECOND_US;
  w->list_lag_us = settings->list_lag_us;
  w->keys = g_tree_new_full (by_text, NULL, g_free, key_free);
  w->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  w->lease_lengths = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  w->history = g_array_new (FALSE, FALSE, sizeof (Change));
  g_array_set_clear_func (w->history, change_clear);
  w->watches = g_array_new (FALSE, FALSE, sizeof (Watch));
  g_array_set_clear_func (w->watches, watch_clear);
  w->machines = g_ptr_array_new_with_free_func (machine_free);
  w->rentals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->capacity = 12;
  w->zones = 2;
  w->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  w->broken = g_ptr_array_new_with_free_func (g_free);
  return w;
}

void
world_free (World *w)
{
  g_tree_unref (w->keys);
  g_hash_table_unref (w->leases);
  g_hash_table_unref (w->lease_lengths);
  g_array_unref (w->history);
  g_array_unref (w->watches);
  g_ptr_array_unref (w->machines);
  g_hash_table_unref (w->rentals);
  g_hash_table_unref (w->jobs);
  g_ptr_array_unref (w->broken);
  g_free (w);
}

static void G_GNUC_PRINTF (2, 3) broken (World *w, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (w->broken, g_strdup_printf ("%.3f %s", (double)w->now_us / 1e6, text));
}

/* ---- state service ---- */

static void
change (World *w, const char *key, MhValue *value, guint64 lease_id)
{
  Change c = { .key = g_strdup (key),
               .value = value ? cbor_incref (value) : NULL,
               .version = w->revision };
  if (value)
    {
      Key *k = g_new0 (Key, 1);
      k->value = cbor_incref (value);
      k->version = w->revision;
      k->lease_id = lease_id;
      g_tree_replace (w->keys, g_strdup (key), k);
    }
  else
    g_tree_remove (w->keys, key);
  g_array_append_val (w->history, c);
}

void
world_spoil (World *w, const char *key)
{
  g_autoptr (MhValue) value = mh_value_map ();
  mh_value_set_text (value, "s", "?");
  w->revision++;
  change (w, key, value, 0);
}

typedef struct
{
  guint64 lease_id;
  GPtrArray *keys;
} Attached;

static gboolean
collect_attached (gpointer key, gpointer value, gpointer data)
{
  Attached *a = data;
  if (((Key *)value)->lease_id == a->lease_id)
    g_ptr_array_add (a->keys, g_strdup (key));
  return FALSE;
}

static void
end_lease (World *w, guint64 lease_id)
{
  Attached a = { .lease_id = lease_id, .keys = g_ptr_array_new_with_free_func (g_free) };
  g_tree_foreach (w->keys, collect_attached, &a);
  if (a.keys->len)
    w->revision++;
  for (guint i = 0; i < a.keys->len; i++)
    change (w, g_ptr_array_index (a.keys, i), NULL, 0);
  g_ptr_array_unref (a.keys);
  g_hash_table_remove (w->leases, &lease_id);
}

static MhValue *
key_body (const char *name, const Key *k)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "key", name);
  mh_value_set (m, "v", cbor_incref (k->value));
  mh_value_set_uint (m, "stamp", k->version);
  return m;
}

static MhValue *
revision_body (const World *w)
{
  MhValue *m = mh_value_map ();
  mh_value_set_uint (m, "ledger", w->revision);
  return m;
}

static char *
query (const char *path, const char *name)
{
  g_autofree char *mark = g_strconcat (name, "=", NULL);
  const char *q = strchr (path, '?');
  const char *at = q ? strstr (q, mark) : NULL;
  if (at == NULL)
    return NULL;
  at += strlen (mark);
  return g_strndup (at, strcspn (at, "&"));
}

typedef struct
{
  const char *prefix, *after;
  guint limit;
  MhValue *list;
  bool more;
} Listing;

static gboolean
collect_listing (gpointer key, gpointer value, gpointer data)
{
  Listing *l = data;
  if (!g_str_has_prefix (key, l->prefix) || (l->after && strcmp (key, l->after) <= 0))
    return FALSE;
  if (mh_value_size (l->list) >= l->limit)
    {
      l->more = true;
      return TRUE;
    }
  mh_value_push (l->list, key_body (key, value));
  return FALSE;
}

static MhValue *
list_keys (World *w, const char *path)
{
  g_autofree char *prefix = query (path, "starts"), *after = query (path, "since"),
                  *limit = query (path, "limit");
  Listing l = { .prefix = prefix ? prefix : "",
                .after = after,
                .limit = limit ? (guint)g_ascii_strtoull (limit, NULL, 10) : 1000,
                .list = mh_value_list () };
  g_tree_foreach (w->keys, collect_listing, &l);
  MhValue *m = revision_body (w);
  mh_value_set (m, "entries", l.list);
  mh_value_set_bool (m, "has_next", l.more);
  return m;
}

/* Transactions whose conditions fail count as well. */
static bool
within_write_rate (World *w, gsize changes)
{
  if (w->write_rps <= 0)
    return true;
  double gained = w->write_rps * (double)(w->now_us - w->write_tokens_us) / MH_SECOND_US;
  w->write_tokens = MIN (w->write_rps, w->write_tokens + gained);
  w->write_tokens_us = w->now_us;
  if (w->write_tokens < (double)changes)
    {
      w->writes_refused++;
      return false;
    }
  w->write_tokens -= (double)changes;
  return true;
}

static guint
transact (World *w, const MhValue *body, MhValue **reply)
{
  const MhValue *conditions = mh_value_get (body, "if"), *changes = mh_value_get (body, "apply");
  MhValue *failed = mh_value_list ();
  if (mh_value_size (changes) > w->settings->txn_ops
      || mh_value_size (conditions) > (gsize)4 * w->settings->txn_ops
      || mh_value_json_size (body) > 65536)
    {
      mh_value_unref (failed);
      w->writes_malformed++;
      return 400;
    }
  if (!within_write_rate (w, mh_value_size (changes)))
    {
      mh_value_unref (failed);
      return 429;
    }
  bool fenced = false;
  for (gsize i = 0; i < mh_value_size (conditions); i++)
    {
      const MhValue *c = mh_value_at (conditions, i);
      g_autofree char *name = mh_value_get_text (c, "key");
      fenced |= strcmp (name, "leader") == 0;
      guint64 version = 0;
      mh_value_get_uint (c, "stamp", &version);
      const Key *k = g_tree_lookup (w->keys, name);
      if ((k ? k->version : 0) != version)
        mh_value_push (failed, mh_value_text (name));
    }
  /* Not a rule of the protocol but ours: a late transaction of an earlier leader must fail. */
  if (!fenced)
    broken (w, "a transaction without a condition on the leader's key");
  for (gsize i = 0; i < mh_value_size (changes); i++)
    {
      guint64 lease_id;
      const MhValue *c = mh_value_at (changes, i);
      if ((mh_value_get_uint (c, "claim", &lease_id)
           && !g_hash_table_contains (w->leases, &lease_id))
          || (mh_value_get (c, "v")
              && mh_value_json_size (mh_value_get (c, "v")) > w->settings->value_bytes))
        {
          mh_value_unref (failed);
          w->writes_malformed++;
          return 400;
        }
    }
  if (mh_value_size (failed))
    {
      *reply = revision_body (w);
      mh_value_set (*reply, "failed", failed);
      return 409;
    }
  mh_value_unref (failed);
  w->revision++;
  for (gsize i = 0; i < mh_value_size (changes); i++)
    {
      const MhValue *c = mh_value_at (changes, i);
      g_autofree char *put = mh_value_get_text (c, "put"), *drop = mh_value_get_text (c, "drop");
      guint64 lease_id = 0;
      mh_value_get_uint (c, "claim", &lease_id);
      change (w, put ? put : drop, put ? mh_value_get (c, "v") : NULL, lease_id);
    }
  *reply = revision_body (w);
  return 200;
}

static MhValue *
watch_news (World *w, const Watch *watch)
{
  MhValue *list = NULL;
  for (guint i = 0; i < w->history->len; i++)
    {
      const Change *c = &g_array_index (w->history, Change, i);
      if (c->version <= watch->since || !g_str_has_prefix (c->key, watch->prefix))
        continue;
      MhValue *item = mh_value_map ();
      mh_value_set_text (item, c->value ? "put" : "drop", c->key);
      if (c->value)
        mh_value_set (item, "v", cbor_incref (c->value));
      mh_value_set_uint (item, "stamp", c->version);
      if (list == NULL)
        list = mh_value_list ();
      mh_value_push (list, item);
    }
  if (list == NULL && w->now_us < watch->until_us)
    return NULL;
  MhValue *m = revision_body (w);
  mh_value_set (m, "news", list ? list : mh_value_list ());
  return m;
}

static bool
serve_state (World *w, const char *method, const char *path, const MhValue *body, gpointer token,
             guint *status, MhValue **reply)
{
  *status = 200;
  if (w->now_us < w->outage_until_us)
    *status = 503;
  else if (g_str_has_prefix (path, "/kv/"))
    {
      const Key *k = g_tree_lookup (w->keys, path + 4);
      *status = k ? 200 : 404;
      *reply = k ? key_body (path + 4, k) : revision_body (w);
    }
  else if (g_str_has_prefix (path, "/kv?"))
    *reply = list_keys (w, path);
  else if (strcmp (path, "/multi") == 0)
    *status = transact (w, body, reply);
  else if (strcmp (path, "/grants") == 0)
    {
      guint64 life = 0, id = ++w->next_lease;
      mh_value_get_uint (body, "life_ms", &life);
      gint64 us = (gint64)life * 1000, end = w->now_us + us;
      g_hash_table_insert (w->lease_lengths, g_memdup2 (&id, sizeof id),
                           g_memdup2 (&us, sizeof us));
      g_hash_table_insert (w->leases, g_memdup2 (&id, sizeof id), g_memdup2 (&end, sizeof end));
      *reply = mh_value_map ();
      mh_value_set_uint (*reply, "claim", id);
    }
  else if (g_str_has_prefix (path, "/grants/"))
    {
      guint64 id = g_ascii_strtoull (path + 8, NULL, 10);
      gint64 *end = g_hash_table_lookup (w->leases, &id);
      if (end == NULL)
        *status = 404;
      else if (strcmp (method, "DELETE") == 0)
        end_lease (w, id);
      else
        *end = w->now_us + *(gint64 *)g_hash_table_lookup (w->lease_lengths, &id);
    }
  else if (g_str_has_prefix (path, "/watch?"))
    {
      g_autofree char *since = query (path, "since"), *hold = query (path, "hold_ms");
      Watch watch = { .token = token,
                      .since = g_ascii_strtoull (since, NULL, 10),
                      .prefix = query (path, "starts"),
                      .until_us = w->now_us + g_ascii_strtoll (hold, NULL, 10) * 1000 };
      g_array_append_val (w->watches, watch);
      return false;
    }
  else
    *status = 400;
  return true;
}

gpointer
world_watch_token (const World *w, guint index)
{
  return g_array_index (w->watches, Watch, index).token;
}

/* ---- cloud ---- */

static MhValue *
machine_types (const World *w)
{
  static const struct
  {
    const char *name;
    double cpus, mem, price, spot;
  } types[] = { { "small", 4, 8, 0.3, 0.1 }, { "large", 16, 64, 1.0, 0.3 } };
  MhValue *list = mh_value_list ();
  for (guint i = 0; i < G_N_ELEMENTS (types); i++)
    {
      MhValue *m = mh_value_map (), *zones = mh_value_list ();
      mh_value_set_text (m, "sku", types[i].name);
      mh_value_set_number (m, "cpus", types[i].cpus);
      mh_value_set_number (m, "mem_gb", types[i].mem);
      mh_value_set_number (m, "cache_gb", 50);
      mh_value_set_number (m, "pull_gb_per_s", 1);
      mh_value_set_number (m, "hourly", types[i].price);
      mh_value_set_number (m, "spot_price", types[i].spot);
      mh_value_set_number (m, "boot_s", 4);
      for (guint z = 0; z < w->zones; z++)
        {
          const char name[] = { (char)('a' + z), '\0' };
          mh_value_push (zones, mh_value_text (name));
        }
      mh_value_set (m, "halls", zones);
      mh_value_push (list, m);
    }
  MhValue *body = mh_value_map ();
  mh_value_set (body, "racks", list);
  return body;
}

static double
type_cpus (const char *type)
{
  return strcmp (type, "small") == 0 ? 4 : 16;
}

static double
type_mem (const char *type)
{
  return strcmp (type, "small") == 0 ? 8 : 64;
}

WorldMachine *
world_add_machine (World *w, const char *type, const char *zone, bool spot)
{
  WorldMachine *m = g_new0 (WorldMachine, 1);
  guint n = (guint)++w->n_rented;
  m->name = g_strdup_printf ("vm-%06u", n);
  m->endpoint = g_strdup_printf ("10.1.%u.%u:9000", n / 250, n % 250 + 1);
  m->type = g_strdup (type);
  m->zone = g_strdup (zone);
  m->spot = spot;
  m->rented_us = w->now_us;
  m->up_us = w->now_us + w->boot_us;
  m->session = 1;
  m->tasks = g_array_new (FALSE, FALSE, sizeof (WorldTask));
  g_array_set_clear_func (m->tasks, task_clear);
  m->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (w->machines, m);
  return m;
}

WorldMachine *
world_machine (World *w, const char *name)
{
  for (guint i = 0; i < w->machines->len; i++)
    {
      WorldMachine *m = g_ptr_array_index (w->machines, i);
      if (strcmp (m->name, name) == 0)
        return m;
    }
  return NULL;
}

static guint
rent (World *w, const MhValue *body, MhValue **reply)
{
  g_autofree char *name = mh_value_get_text (body, "rental"),
                  *type = mh_value_get_text (body, "rack"),
                  *zone = mh_value_get_text (body, "hall");
  guint64 count = 0;
  bool spot = false;
  mh_value_get_uint (body, "number", &count);
  mh_value_get_bool (body, "standby", &spot);
  const char *before = g_hash_table_lookup (w->rentals, name);
  g_autofree char *names = g_strdup (before);
  if (before == NULL)
    {
      guint live = 0;
      for (guint i = 0; i < w->machines->len; i++)
        live += !((WorldMachine *)g_ptr_array_index (w->machines, i))->gone;
      GString *s = g_string_new (NULL);
      for (; count > 0 && live < w->capacity; count--, live++)
        g_string_append_printf (s, "%s%s", s->len ? "," : "",
                                world_add_machine (w, type, zone, spot)->name);
      names = g_string_free (s, FALSE);
      if (*names == '\0')
        {
          *reply = mh_value_map ();
          mh_value_set_text (*reply, "error", "no capacity");
          return 503;
        }
      g_hash_table_insert (w->rentals, g_strdup (name), g_strdup (names));
    }
  g_auto (GStrv) each = g_strsplit (names, ",", -1);
  MhValue *list = mh_value_list ();
  for (char **n = each; *n; n++)
    mh_value_push (list, mh_value_text (*n));
  *reply = mh_value_map ();
  mh_value_set (*reply, "boxes", list);
  return 200;
}

void
world_fail (WorldMachine *m)
{
  m->failed = true;
  m->up = false;
  g_array_set_size (m->tasks, 0);
}

static void
take_away (World *w, WorldMachine *m)
{
  m->gone = true;
  m->up = false;
  m->gone_us = w->now_us;
  g_array_set_size (m->tasks, 0);
}

static void
release (World *w, const MhValue *body)
{
  const MhValue *list = mh_value_get (body, "boxes");
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      g_autofree char *name = mh_value_as_text (mh_value_at (list, i));
      WorldMachine *m = world_machine (w, name);
      if (m == NULL || m->gone)
        continue;
      take_away (w, m);
    }
}

/* A page, in the order of the names. */
static MhValue *
list_machines (World *w, const char *path)
{
  MhValue *list = mh_value_list ();
  const char *limit_at = strstr (path, "limit="), *since_at = strstr (path, "since=");
  guint64 limit = limit_at ? g_ascii_strtoull (limit_at + strlen ("limit="), NULL, 10) : 500;
  g_autofree char *since = NULL;
  bool more = false;
  if (since_at)
    since = g_strndup (since_at + strlen ("since="), strcspn (since_at + strlen ("since="), "&"));
  for (guint i = 0; i < w->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (w->machines, i);
      gint64 as_of = w->now_us - w->list_lag_us;
      if (m->rented_us > as_of || (m->gone && m->gone_us <= as_of)
          || (since && strcmp (m->name, since) <= 0))
        continue;
      more = mh_value_size (list) >= limit;
      if (more)
        break;
      MhValue *item = mh_value_map ();
      mh_value_set_text (item, "id", m->name);
      mh_value_set_text (item, "endpoint", m->endpoint);
      mh_value_set_text (item, "rack", m->type);
      mh_value_set_text (item, "hall", m->zone);
      mh_value_set_bool (item, "standby", m->spot);
      mh_value_set_text (item, "status",
                         m->failed          ? "failed"
                         : m->up_us > as_of ? "starting"
                                            : "running");
      mh_value_set_number (item, "held_s", (double)(as_of - m->rented_us) / 1e6);
      mh_value_push (list, item);
    }
  MhValue *body = mh_value_map ();
  mh_value_set (body, "boxes", list);
  mh_value_set_bool (body, "has_next", more);
  return body;
}

bool
world_serve (World *w, MhTarget target, const char *method, const char *path, const MhValue *body,
             gpointer token, guint *status, MhValue **reply)
{
  *reply = NULL;
  w->finals_read += target == MH_TARGET_KEY_VALUE_STORE && g_str_has_prefix (path, "/kv/f/");
  if (target == MH_TARGET_KEY_VALUE_STORE)
    return serve_state (w, method, path, body, token, status, reply);
  *status = 200;
  if (w->now_us < w->cloud_outage_until_us)
    *status = 503;
  else if (strcmp (path, "/machine_types") == 0)
    *reply = machine_types (w);
  else if (strcmp (path, "/machines") == 0)
    *status = rent (w, body, reply);
  else if (strcmp (path, "/machines/release") == 0)
    release (w, body);
  else if (g_str_has_prefix (path, "/machines?"))
    {
      w->lists++;
      *reply = list_machines (w, path);
    }
  else
    *status = 400;
  return true;
}

/* ---- workers and rules ---- */

WorldJob *
world_job (World *w, MhJobSpec *spec, gint64 run_us)
{
  WorldJob *j = g_new0 (WorldJob, 1);
  j->spec = spec;
  j->run_us = run_us;
  j->done = g_new0 (guint8, spec->tasks);
  g_hash_table_insert (w->jobs, spec->id, j);
  return j;
}

guint
world_running (World *w, const char *job)
{
  guint n = 0;
  for (guint i = 0; i < w->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (w->machines, i);
      for (guint k = 0; k < m->tasks->len; k++)
        {
          const WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
          n += t->phase != MH_TASK_PHASE_ENDED && strcmp (t->job, job) == 0;
        }
    }
  return n;
}

/* What is in use on the machine, of one team (NULL: of any). */
static void
in_use (World *w, const WorldMachine *m, const char *team, double *cpus, double *mem)
{
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const WorldTask *t = &g_array_index (m->tasks, WorldTask, i);
      const WorldJob *j = g_hash_table_lookup (w->jobs, t->job);
      if (t->phase == MH_TASK_PHASE_ENDED || (team && strcmp (j->spec->team, team) != 0))
        continue;
      *cpus += j->spec->cpus;
      *mem += j->spec->mem_gb;
    }
}

/* A task of the job could start now, whatever its other tasks do. Jobs whose zones depend on those,
   and services, which are spread, are left out. */
static bool
could_start (World *w, const WorldJob *j)
{
  const MhJobSpec *s = j->spec;
  double team_cpus = 0, unused = 0;
  guint on = 0;
  for (guint i = 0; i < w->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (w->machines, i);
      in_use (w, m, s->team, &team_cpus, &unused);
      for (guint k = 0; k < m->tasks->len; k++)
        {
          const WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
          on += strcmp (t->job, s->id) == 0
                && (t->phase != MH_TASK_PHASE_ENDED || !j->done[t->index]);
        }
    }
  if (on + j->n_done >= s->tasks
      || team_cpus + s->cpus > mh_settings_team (w->settings, s->team)->cpus_max + 1e-6)
    return false;
  for (guint i = 0; i < w->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (w->machines, i);
      double cpus = 0, mem = 0;
      if (!m->up || m->gone || m->failed || m->sick || w->now_us < m->hung_until_us
          || (m->spot && !s->spot) || (s->zone && strcmp (s->zone, m->zone) != 0)
          || (s->types && !g_strv_contains ((const char *const *)s->types, m->type)))
        continue;
      in_use (w, m, NULL, &cpus, &mem);
      if (cpus + s->cpus <= type_cpus (m->type) + 1e-6
          && mem + s->mem_gb <= type_mem (m->type) + 1e-6)
        return true;
    }
  return false;
}

void
world_check_waiting (World *w)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, w->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      WorldJob *j = value;
      const MhJobSpec *s = j->spec;
      if (s->shape != MH_SHAPE_ARRAY || s->single_zone || s->spread_over_zones || !j->accepted
          || j->cancelled_us || !could_start (w, j))
        j->waits_us = 0;
      else if (j->waits_us == 0)
        j->waits_us = w->now_us;
      else if (w->now_us - j->waits_us > 90 * MH_SECOND_US)
        {
          broken (w, "left waiting: %s, though there is room", s->id);
          j->waits_us = w->now_us;
        }
    }
}

/* Checks the rules at the moment at which a task gets onto a machine. */
static void
check_start (World *w, WorldMachine *m, const WorldTask *t, const WorldJob *j)
{
  double cpus = 0;
  guint elsewhere_zone = 0, same_zone = 0;
  for (guint i = 0; i < w->machines->len; i++)
    {
      WorldMachine *other = g_ptr_array_index (w->machines, i);
      for (guint k = 0; k < other->tasks->len; k++)
        {
          WorldTask *o = &g_array_index (other->tasks, WorldTask, k);
          const WorldJob *oj = g_hash_table_lookup (w->jobs, o->job);
          if (o->phase == MH_TASK_PHASE_ENDED)
            continue;
          if (strcmp (oj->spec->team, j->spec->team) == 0)
            cpus += oj->spec->cpus;
          if (o == t || strcmp (o->job, t->job) != 0)
            continue;
          /* Not a rule of the protocol but ours. */
          if (j->spec->shape == MH_SHAPE_GANG && o->attempt != t->attempt)
            broken (w, "two attempts of gang %s at once", t->job);
          if (o->index == t->index)
            broken (w, "ran_twice: %s starts on %s while on %s", t->leg, m->name, other->name);
          *(strcmp (other->zone, m->zone) == 0 ? &same_zone : &elsewhere_zone) += 1;
        }
    }
  const MhTeam *team = mh_settings_team (w->settings, j->spec->team);
  if (cpus > team->cpus_max + 1e-6)
    broken (w, "quota: %s uses %.1f", team->name, cpus);
  if ((m->spot && !j->spec->spot) || (j->spec->zone && strcmp (j->spec->zone, m->zone) != 0)
      || (j->spec->types && !g_strv_contains ((const char *const *)j->spec->types, m->type))
      || (j->spec->single_zone && elsewhere_zone)
      || (j->spec->spread_over_zones && same_zone + 1 > (j->spec->tasks + 1) / 2))
    broken (w, "wrong_place: %s on %s", t->leg, m->name);
  if (j->cancelled_us && w->now_us > j->cancelled_us + w->settings->cancel_us)
    broken (w, "ran_cancelled: %s starts", t->leg);
  w->starts++;
}

static void
run (World *w, WorldMachine *m, const char *leg, guint64 attempt)
{
  g_auto (GStrv) parts = g_strsplit (leg, "/", 2);
  WorldJob *j = g_hash_table_lookup (w->jobs, parts[0]);
  /* An earlier attempt that has ended stays listed beside a later one until it is cleared. */
  bool used = false;
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const WorldTask *o = &g_array_index (m->tasks, WorldTask, i);
      if (strcmp (o->leg, leg) != 0)
        continue;
      if (o->attempt == attempt)
        return;
      used |= o->phase != MH_TASK_PHASE_ENDED;
    }
  WorldTask t = { .leg = g_strdup (leg),
                  .job = g_strdup (parts[0]),
                  .index = (guint)g_ascii_strtoull (parts[1], NULL, 10),
                  .attempt = attempt,
                  .phase = MH_TASK_PHASE_ENDED };
  double cpus = 0, mem = 0;
  in_use (w, m, NULL, &cpus, &mem);
  if (j == NULL)
    t.cause = "no_such";
  else if (used)
    t.cause = "in_use";
  else if (cpus + j->spec->cpus > type_cpus (m->type) + 1e-6
           || mem + j->spec->mem_gb > type_mem (m->type) + 1e-6)
    t.cause = "full";
  else
    {
      bool cached = g_hash_table_contains (m->images, j->spec->image);
      t.phase = !cached                           ? MH_TASK_PHASE_FETCHING_IMAGE
                : j->spec->shape == MH_SHAPE_GANG ? MH_TASK_PHASE_WAITING_FOR_GANG
                                                  : MH_TASK_PHASE_RUNNING;
      t.ready_us = w->now_us + (cached ? 0 : (gint64)(j->spec->image_gb * 1e6));
      t.end_us = j->run_us ? t.ready_us + j->run_us + j->apart_us * t.index : 0;
    }
  g_array_append_val (m->tasks, t);
  if (t.phase != MH_TASK_PHASE_ENDED)
    check_start (w, m, &g_array_index (m->tasks, WorldTask, m->tasks->len - 1), j);
}

/* A running task of a gang that has checkpoints saves, when it is given the time. */
static bool
gang_saves (World *w, WorldTask *t, double grace_s)
{
  WorldJob *j = g_hash_table_lookup (w->jobs, t->job);
  if (t->phase == MH_TASK_PHASE_CHECKPOINTING)
    return grace_s > 0;
  if (j == NULL || j->spec->shape != MH_SHAPE_GANG || t->phase != MH_TASK_PHASE_RUNNING
      || j->spec->checkpoint_interval_us == 0
      || grace_s * 1e6 < (double)j->spec->checkpoint_save_us)
    return false;
  t->phase = MH_TASK_PHASE_CHECKPOINTING;
  t->told_us = w->now_us;
  if (j->told_us == 0)
    j->told_us = w->now_us;
  return true;
}

static void
obey (World *w, WorldMachine *m, const MhValue *commands)
{
  for (gsize i = 0; i < mh_value_size (commands); i++)
    {
      const MhValue *o = mh_value_at (commands, i);
      g_autofree char *verb = mh_value_get_text (o, "verb"), *leg = mh_value_get_text (o, "leg");
      guint64 attempt = 0;
      mh_value_get_uint (o, "try", &attempt);
      if (strcmp (verb, "run") == 0)
        {
          run (w, m, leg, attempt);
          continue;
        }
      for (guint k = 0; k < m->tasks->len; k++)
        {
          WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
          if (strcmp (t->leg, leg) != 0 || t->attempt != attempt)
            continue;
          double grace = 0;
          mh_value_get_number (o, "wind_down_s", &grace);
          if (strcmp (verb, "kill") == 0 && gang_saves (w, t, grace))
            ;
          else if (strcmp (verb, "kill") == 0 && t->phase != MH_TASK_PHASE_ENDED)
            {
              t->phase = MH_TASK_PHASE_ENDED;
              t->cause = "stopped";
            }
          else if (strcmp (verb, "clear") == 0 && t->phase == MH_TASK_PHASE_ENDED)
            g_array_remove_index (m->tasks, k);
          break;
        }
    }
}

MhValue *
world_report (World *w, WorldMachine *m)
{
  static const char *const phases[] = { "pulling", "gathering", "running", "saving", "ended" };
  MhValue *b = mh_value_map (), *legs = mh_value_list ();
  m->sequence++;
  mh_value_set_text (b, "box", m->name);
  mh_value_set_text (b, "endpoint", m->endpoint);
  mh_value_set_text (b, "rack", m->type);
  mh_value_set_text (b, "hall", m->zone);
  mh_value_set_bool (b, "standby", m->spot);
  mh_value_set_uint (b, "tenure", m->session);
  mh_value_set_uint (b, "tick", m->sequence);
  mh_value_set_uint (b, "epoch", m->token);
  if (m->taken_us)
    mh_value_set_number (b, "warning_s", (double)(m->taken_us - w->now_us) / 1e6);
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const WorldTask *t = &g_array_index (m->tasks, WorldTask, i);
      MhValue *leg = mh_value_map ();
      mh_value_set_text (leg, "leg", t->leg);
      mh_value_set_uint (leg, "try", t->attempt);
      mh_value_set_text (leg, "status", phases[t->phase]);
      if (t->phase == MH_TASK_PHASE_ENDED)
        mh_value_set_text (leg, "cause", t->cause);
      mh_value_push (legs, leg);
    }
  mh_value_set (b, "legs", legs);
  return b;
}

void
world_response (World *w, WorldMachine *m, gint64 sent_us, guint64 session, const MhValue *body)
{
  guint64 token;
  if (!m->up || session != m->session || !mh_value_get_uint (body, "epoch", &token)
      || token < m->token)
    return;
  m->token = token;
  m->lease_from_us = MAX (m->lease_from_us, sent_us);
  obey (w, m, mh_value_get (body, "orders"));
}

guint
world_commands (World *w, WorldMachine *m, const MhValue *body, MhValue **reply)
{
  guint64 token, session;
  *reply = NULL;
  if (!mh_value_get_uint (body, "epoch", &token) || !mh_value_get_uint (body, "tenure", &session))
    return 400;
  bool ok = token >= m->token && session == m->session;
  if (ok)
    {
      m->token = token;
      obey (w, m, mh_value_get (body, "orders"));
    }
  *reply = world_report (w, m);
  return ok ? 200 : 409;
}

static void
advance_machine (World *w, WorldMachine *m)
{
  if (m->gone || m->failed)
    return;
  if (m->taken_us && w->now_us >= m->taken_us)
    {
      take_away (w, m);
      return;
    }
  if (!m->up)
    {
      if (w->now_us < m->up_us)
        return;
      m->up = true;
      m->lease_from_us = w->now_us;
    }
  if (w->now_us < m->hung_until_us)
    return;
  if (w->now_us > m->lease_from_us + w->settings->worker_lease_us)
    {
      g_array_set_size (m->tasks, 0);
      m->session++;
      m->sequence = 0;
      m->lease_from_us = w->now_us;
    }
  for (guint i = 0; i < m->tasks->len; i++)
    {
      WorldTask *t = &g_array_index (m->tasks, WorldTask, i);
      if (t->owner == NULL)
        t->owner = g_hash_table_lookup (w->jobs, t->job);
      WorldJob *j = t->owner;
      bool gang = j && j->spec->shape == MH_SHAPE_GANG;
      if (t->phase == MH_TASK_PHASE_FETCHING_IMAGE && w->now_us >= t->ready_us)
        {
          t->phase = gang ? MH_TASK_PHASE_WAITING_FOR_GANG : MH_TASK_PHASE_RUNNING;
          g_hash_table_add (m->images, g_strdup (j->spec->image));
        }
      if (t->phase == MH_TASK_PHASE_RUNNING && (m->sick || (j && j->fails))
          && w->now_us >= t->ready_us + MH_SECOND_US)
        {
          t->phase = MH_TASK_PHASE_ENDED;
          t->cause = "error";
        }
      if (t->phase == MH_TASK_PHASE_WAITING_FOR_GANG
          && w->now_us > t->ready_us + w->settings->gang_wait_us)
        {
          t->phase = MH_TASK_PHASE_ENDED;
          t->cause = "incomplete";
        }
      if (t->phase == MH_TASK_PHASE_RUNNING && !gang && t->end_us && w->now_us >= t->end_us)
        {
          t->phase = MH_TASK_PHASE_ENDED;
          t->cause = "done";
          j->n_done += !j->done[t->index];
          j->done[t->index] = 1;
        }
      if (t->phase != MH_TASK_PHASE_ENDED && j->cancelled_us
          && w->now_us > j->cancelled_us + w->settings->cancel_us)
        {
          broken (w, "ran_cancelled: %s is still on %s", t->leg, m->name);
          j->cancelled_us = G_MAXINT64 / 2; /* once is enough */
        }
    }
}

static void
end_gang (WorldJob *j, GPtrArray *tasks, const char *cause)
{
  for (guint i = 0; i < tasks->len; i++)
    {
      WorldTask *t = g_ptr_array_index (tasks, i);
      t->phase = MH_TASK_PHASE_ENDED;
      t->cause = cause;
    }
  j->running_attempt = 0;
  j->lacks_us = j->told_us = 0;
}

/* The tasks of a gang start, save, complete and notice a loss together. */
static void
advance_gang (World *w, WorldJob *j)
{
  g_autoptr (GPtrArray) tasks = g_ptr_array_new ();
  const MhJobSpec *s = j->spec;
  guint ready = 0, saving = 0;
  guint64 attempt = 0;
  for (guint i = 0; i < w->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (w->machines, i);
      for (guint k = 0; k < m->tasks->len && m->up; k++)
        {
          WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
          if (strcmp (t->job, s->id) != 0 || t->phase == MH_TASK_PHASE_ENDED
              || w->now_us < m->hung_until_us)
            continue;
          attempt = t->attempt;
          ready += t->phase == MH_TASK_PHASE_WAITING_FOR_GANG;
          saving += t->phase == MH_TASK_PHASE_CHECKPOINTING
                    && w->now_us >= t->told_us + s->checkpoint_save_us;
          if (t->phase >= MH_TASK_PHASE_RUNNING)
            g_ptr_array_add (tasks, t);
        }
    }
  if (ready == s->tasks)
    {
      j->running_attempt = attempt;
      j->since_us = w->now_us;
      j->told_us = j->lacks_us = 0;
      for (guint i = 0; i < w->machines->len; i++)
        {
          const WorldMachine *m = g_ptr_array_index (w->machines, i);
          for (guint k = 0; k < m->tasks->len; k++)
            {
              WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
              if (strcmp (t->job, s->id) == 0 && t->phase == MH_TASK_PHASE_WAITING_FOR_GANG)
                t->phase = MH_TASK_PHASE_RUNNING;
            }
        }
      return;
    }
  if (j->running_attempt == 0 || tasks->len == 0)
    return;
  gint64 progress = j->saved_us + (j->told_us ? j->told_us : w->now_us) - j->since_us;
  if (tasks->len < s->tasks && j->lacks_us == 0)
    j->lacks_us = w->now_us;
  if (saving == s->tasks)
    {
      j->saved_us = progress;
      j->saves++;
      end_gang (j, tasks, "stopped");
    }
  else if ((j->lacks_us && w->now_us > j->lacks_us + w->settings->gang_peer_us)
           || (j->told_us
               && w->now_us > j->told_us + s->checkpoint_save_us + w->settings->gang_peer_us))
    {
      if (s->checkpoint_interval_us)
        j->saved_us = progress / s->checkpoint_interval_us * s->checkpoint_interval_us;
      end_gang (j, tasks, "peers");
    }
  else if (j->run_us && progress >= j->run_us && j->told_us == 0 && j->lacks_us == 0)
    {
      end_gang (j, tasks, "done");
      memset (j->done, 1, s->tasks);
      j->n_done = s->tasks;
    }
}

void
world_advance (World *w, gint64 now_us, GArray *woken)
{
  bool was_out = w->now_us < w->outage_until_us;
  w->now_us = now_us;
  bool out = now_us < w->outage_until_us;
  GHashTableIter it;
  gpointer id, end;
  if (was_out && !out)
    {
      /* After an outage every lease has its full time again. */
      g_hash_table_iter_init (&it, w->leases);
      while (g_hash_table_iter_next (&it, &id, &end))
        *(gint64 *)end = now_us + *(gint64 *)g_hash_table_lookup (w->lease_lengths, id);
    }
  if (!out)
    {
      g_autoptr (GArray) ended = g_array_new (FALSE, FALSE, sizeof (guint64));
      g_hash_table_iter_init (&it, w->leases);
      while (g_hash_table_iter_next (&it, &id, &end))
        if (*(gint64 *)end <= now_us)
          g_array_append_val (ended, *(guint64 *)id);
      for (guint i = 0; i < ended->len; i++)
        end_lease (w, g_array_index (ended, guint64, i));
      for (guint i = 0; i < w->watches->len;)
        {
          const Watch *watch = &g_array_index (w->watches, Watch, i);
          MhValue *news = watch_news (w, watch);
          if (news == NULL)
            {
              i++;
              continue;
            }
          WorldWoken done = { .token = watch->token, .status = 200, .body = news };
          g_array_append_val (woken, done);
          g_array_remove_index (w->watches, i);
        }
    }
  for (guint i = 0; i < w->machines->len; i++)
    advance_machine (w, g_ptr_array_index (w->machines, i));
  gpointer job;
  g_hash_table_iter_init (&it, w->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (((WorldJob *)job)->spec->shape == MH_SHAPE_GANG)
      advance_gang (w, job);
}

/* ---- description of all that is left ---- */

static void
describe_value (GString *out, const MhValue *value)
{
  if (value == NULL)
    return;
  g_autoptr (GBytes) bytes = mh_value_save (value);
  g_autofree char *sum = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, bytes);
  g_string_append (out, sum);
}

static gboolean
describe_key (gpointer key, gpointer value, gpointer data)
{
  const Key *k = value;
  GString *out = data;
  g_string_append_printf (out, "key %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " ",
                          (const char *)key, k->version, k->lease_id);
  describe_value (out, k->value);
  g_string_append_c (out, '\n');
  return FALSE;
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static void
describe_machine (const WorldMachine *m, GString *out)
{
  g_string_append_printf (out, "machine %s %s %s %d%d%d%d%d %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                          m->name, m->type, m->zone, m->spot, m->up, m->gone, m->failed, m->sick,
                          m->rented_us, m->gone_us);
  g_string_append_printf (out, " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
                          m->session, m->sequence, m->token);
  for (guint i = 0; i < m->tasks->len; i++)
    {
      const WorldTask *t = &g_array_index (m->tasks, WorldTask, i);
      g_string_append_printf (out, " %s:%" G_GUINT64_FORMAT ":%d", t->leg, t->attempt,
                              (int)t->phase);
    }
  g_string_append_c (out, '\n');
}

static void
describe_job (const WorldJob *job, GString *out)
{
  g_string_append_printf (out, "job %s %d %" G_GINT64_FORMAT " %u %u ", job->spec->id,
                          job->accepted, job->cancelled_us, job->n_done, job->saves);
  for (guint i = 0; i < job->spec->tasks; i++)
    g_string_append_c (out, job->done[i] ? '1' : '0');
  g_string_append_c (out, '\n');
}

void
world_describe (const World *w, GString *out)
{
  g_string_append_printf (out, "revision %" G_GUINT64_FORMAT " starts %u rented %" G_GUINT64_FORMAT,
                          w->revision, w->starts, w->n_rented);
  g_string_append_printf (out, " leases %u lists %u finals %u malformed %u refused %u\n",
                          g_hash_table_size (w->leases), w->lists, w->finals_read,
                          w->writes_malformed, w->writes_refused);
  g_tree_foreach (w->keys, describe_key, out);
  for (guint i = 0; i < w->machines->len; i++)
    describe_machine (g_ptr_array_index (w->machines, i), out);
  g_autoptr (GList) rentals = g_list_sort (g_hash_table_get_keys (w->rentals), by_name);
  for (const GList *l = rentals; l; l = l->next)
    g_string_append_printf (out, "rental %s %s\n", (const char *)l->data,
                            (const char *)g_hash_table_lookup (w->rentals, l->data));
  g_autoptr (GList) jobs = g_list_sort (g_hash_table_get_keys (w->jobs), by_name);
  for (const GList *l = jobs; l; l = l->next)
    describe_job (g_hash_table_lookup (w->jobs, l->data), out);
  for (guint i = 0; i < w->broken->len; i++)
    g_string_append_printf (out, "broken %s\n", (const char *)g_ptr_array_index (w->broken, i));
}
