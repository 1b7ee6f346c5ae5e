#include "settings/settings.h"

#include <confuse.h>
#include <math.h>
#include <string.h>

G_DEFINE_QUARK (mh - settings - error - quark, mh_settings_error)

static void
member_free (gpointer data)
{
  MhMember *m = data;
  g_free (m->name);
  g_free (m->zone);
  g_free (m->endpoint);
  g_free (m);
}

static void
team_free (gpointer data)
{
  MhTeam *t = data;
  g_free (t->name);
  g_free (t);
}

static void
objective_free (gpointer data)
{
  MhObjective *o = data;
  g_free (o->class_name);
  g_free (o);
}

static void
spread_rule_free (gpointer data)
{
  MhSpreadRule *r = data;
  g_free (r->class_name);
  g_free (r);
}

MhSettings *
mh_settings_new (void)
{
  MhSettings *s = g_new0 (MhSettings, 1);
  s->members = g_ptr_array_new_with_free_func (member_free);
  s->teams = g_ptr_array_new_with_free_func (team_free);
  s->objectives = g_ptr_array_new_with_free_func (objective_free);
  s->spread = g_ptr_array_new_with_free_func (spread_rule_free);
  s->lease_us = 1000000;
  s->idle_us = 8 * MH_SECOND_US;
  s->batch = G_MAXUINT;
  s->max_skew = 1;
  s->direct = true;
  s->core_share = 0.1;
  s->max_connections = 1000;
  return s;
}

void
mh_settings_free (MhSettings *s)
{
  if (s == NULL)
    return;
  g_free (s->node);
  g_free (s->zone);
  g_free (s->front);
  g_free (s->peer_bind);
  g_free (s->cloud);
  g_free (s->state);
  g_ptr_array_unref (s->members);
  g_ptr_array_unref (s->teams);
  g_ptr_array_unref (s->objectives);
  g_ptr_array_unref (s->spread);
  g_free (s);
}

MhTeam *
mh_settings_team (const MhSettings *s, const char *name)
{
  for (guint i = 0; i < s->teams->len; i++)
    {
      MhTeam *t = g_ptr_array_index (s->teams, i);
      if (strcmp (t->name, name) == 0)
        return t;
    }
  return NULL;
}

static bool
fail (GError **error, const char *format, ...) G_GNUC_PRINTF (2, 3);

static bool
fail (GError **error, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error_literal (error, MH_SETTINGS_ERROR, 0, text);
  return false;
}

static bool
check_address (const char *what, const char *text, GError **error)
{
  if (text == NULL || *text == '\0')
    return fail (error, "%s is missing", what);
  const char *colon = strrchr (text, ':');
  guint64 port = 0;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return fail (error, "%s = \"%s\" is not an address with a port", what, text);
  return true;
}

static bool
check_names (const MhSettings *s, GError **error)
{
  if (s->node == NULL || *s->node == '\0')
    return fail (error, "node_name is missing");
  if (!check_address ("front", s->front, error) || !check_address ("peer_bind", s->peer_bind, error)
      || !check_address ("endpoints.cloud", s->cloud, error)
      || !check_address ("endpoints.state", s->state, error))
    return false;
  for (guint i = 0; i < s->members->len; i++)
    {
      const MhMember *m = g_ptr_array_index (s->members, i);
      if (m->name == NULL || *m->name == '\0')
        return fail (error, "members[%u].node_name is missing", i);
      if (!check_address ("members.endpoint", m->endpoint, error))
        return false;
    }
  return true;
}

static bool
check_teams (const MhSettings *s, GError **error)
{
  for (guint i = 0; i < s->teams->len; i++)
    {
      const MhTeam *t = g_ptr_array_index (s->teams, i);
      if (t->name == NULL || *t->name == '\0')
        return fail (error, "settings.teams[%u].name is missing", i);
      if (!(t->cpus >= 0) || !(t->cpus_max >= 0) || !(t->gpus >= 0) || !(t->gpus_max >= 0))
        return fail (error, "team %s has a negative amount", t->name);
    }
  return true;
}

static bool
check_amounts (const MhSettings *s, GError **error)
{
  const struct
  {
    const char *name;
    double value;
  } positive[] = { { "settings.workers.report_s", (double)s->report_us },
                   { "settings.workers.lease_s", (double)s->worker_lease_us },
                   { "settings.workers.cancel_s", (double)s->cancel_us },
                   { "settings.state.rps", s->state_rps },
                   { "settings.state.write_rps", s->state_write_rps },
                   { "settings.state.value_kb", s->value_bytes },
                   { "settings.state.txn_ops", s->txn_ops },
                   { "settings.cloud.rps", s->cloud_rps } };
  for (guint i = 0; i < G_N_ELEMENTS (positive); i++)
    if (!(positive[i].value > 0) || !isfinite (positive[i].value))
      return fail (error, "%s is missing or not positive", positive[i].name);
  /* Two puts in one transaction are the least with which leadership can be taken. */
  if (s->txn_ops < 2 || s->next_txn_ops == 1)
    return fail (error, "settings.state.txn_ops must be at least 2");
  if (s->lease_us < 500000 || s->lease_us > 60 * MH_SECOND_US)
    return fail (error, "lease_s must be between 0.5 and 60");
  if (s->max_skew == 0)
    return fail (error, "max_skew must be at least 1");
  return true;
}

/* Nobody is told when the next limits hold, and a new leader cannot know: what is written keeps to
   the smaller sizes from the start. */
static void
apply_next_limits (MhSettings *s)
{
  if (s->next_value_bytes)
    s->value_bytes = MIN (s->value_bytes, s->next_value_bytes);
  if (s->next_txn_ops)
    s->txn_ops = MIN (s->txn_ops, s->next_txn_ops);
  s->batch = CLAMP (s->batch, 2, s->txn_ops);
}

bool
mh_settings_check (MhSettings *s, GError **error)
{
  if (!check_names (s, error) || !check_teams (s, error) || !check_amounts (s, error))
    return false;
  apply_next_limits (s);
  /* Settings of before there were gangs name neither. */
  if (s->gang_wait_us == 0)
    s->gang_wait_us = 50 * MH_SECOND_US;
  if (s->gang_peer_us == 0)
    s->gang_peer_us = 5 * MH_SECOND_US;
  if (s->silence_us == 0)
    s->silence_us = MAX (3 * s->report_us + MH_SECOND_US, s->worker_lease_us / 2);
  return true;
}

static char *operator_problem;

static void
confuse_error (cfg_t *cfg, const char *format, va_list args)
{
  /* libConfuse hands its words to a callback without a context; keep the first for the one clear
     line that the caller prints. */
  if (operator_problem == NULL)
    {
      g_autofree char *text = g_strdup_vprintf (format, args);
      operator_problem = g_strdup_printf ("line %d: %s", cfg ? cfg->line : 0, text);
    }
}

static gint64
get_time_us (cfg_t *cfg, const char *name)
{
  return (gint64)(cfg_getfloat (cfg, name) * MH_SECOND_US);
}

static bool
is_set (cfg_t *cfg, const char *name)
{
  return cfg_size (cfg, name) > 0;
}

static bool
get_count (cfg_t *cfg, const char *name, long least, guint *count, GError **error)
{
  if (!is_set (cfg, name))
    return true;
  if (cfg_getint (cfg, name) < least)
    return fail (error, "%s must be at least %ld", name, least);
  *count = (guint)cfg_getint (cfg, name);
  return true;
}

/* Whether services are spread softly; unchanged where that is not said. */
static bool
get_soft (cfg_t *cfg, bool *soft, GError **error)
{
  const char *name = "when_unsatisfiable";
  const char *when = is_set (cfg, name) ? cfg_getstr (cfg, name) : NULL;
  if (when == NULL)
    return true;
  *soft = strcmp (when, "ScheduleAnyway") == 0;
  if (!*soft && strcmp (when, "DoNotSchedule") != 0)
    return fail (error, "when_unsatisfiable must be DoNotSchedule or ScheduleAnyway");
  return true;
}

static bool
read_spread (cfg_t *section, MhSettings *s, GError **error)
{
  long skew = cfg_getint (section, "max_skew");
  bool soft = s->soft;
  if (!get_soft (section, &soft, error))
    return false;
  if (skew < 0)
    return fail (error, "max_skew must be at least 1");
  MhSpreadRule *rule = g_new0 (MhSpreadRule, 1);
  rule->class_name = g_strdup (cfg_title (section));
  rule->max_skew = skew ? (guint)skew : s->max_skew;
  rule->soft = soft;
  g_ptr_array_add (s->spread, rule);
  return true;
}

static bool
read_values (cfg_t *cfg, MhSettings *s, GError **error)
{
  if (is_set (cfg, "lease_s"))
    s->lease_us = get_time_us (cfg, "lease_s");
  if (is_set (cfg, "silence_s"))
    s->silence_us = get_time_us (cfg, "silence_s");
  if (is_set (cfg, "idle_s"))
    s->idle_us = get_time_us (cfg, "idle_s");
  if (is_set (cfg, "direct"))
    s->direct = cfg_getbool (cfg, "direct");
  if (!get_count (cfg, "batch", 2, &s->batch, error)
      || !get_count (cfg, "max_skew", 1, &s->max_skew, error))
    return false;
  if (s->idle_us < 0 || s->silence_us < 0)
    return fail (error, "idle_s and silence_s must not be negative");
  if (!get_soft (cfg, &s->soft, error))
    return false;
  for (guint i = 0; i < cfg_size (cfg, "spread"); i++)
    if (!read_spread (cfg_getnsec (cfg, "spread", i), s, error))
      return false;
  return true;
}

static bool
read_operator (const char *path, MhSettings *s, GError **error)
{
  cfg_opt_t spread_opts[] = { CFG_INT ("max_skew", 0, CFGF_NONE),
                              CFG_STR ("when_unsatisfiable", NULL, CFGF_NONE), CFG_END () };
  cfg_opt_t opts[] = { CFG_FLOAT ("lease_s", 0, CFGF_NODEFAULT),
                       CFG_FLOAT ("silence_s", 0, CFGF_NODEFAULT),
                       CFG_FLOAT ("idle_s", 0, CFGF_NODEFAULT),
                       CFG_INT ("batch", 0, CFGF_NODEFAULT),
                       CFG_INT ("max_skew", 0, CFGF_NODEFAULT),
                       CFG_STR ("when_unsatisfiable", NULL, CFGF_NODEFAULT),
                       CFG_BOOL ("direct", cfg_true, CFGF_NODEFAULT),
                       CFG_SEC ("spread", spread_opts, CFGF_MULTI | CFGF_TITLE),
                       CFG_END () };
  cfg_t *cfg = cfg_init (opts, CFGF_NONE);
  cfg_set_error_function (cfg, confuse_error);
  int rc = cfg_parse (cfg, path);
  bool ok = rc == CFG_SUCCESS && read_values (cfg, s, error);
  if (rc != CFG_SUCCESS)
    fail (error, "operator settings %s: %s", path,
          rc == CFG_FILE_ERROR ? "cannot be read"
          : operator_problem   ? operator_problem
                               : "not understood");
  g_clear_pointer (&operator_problem, g_free);
  cfg_free (cfg);
  return ok;
}

MhSettings *
mh_settings_load (const char *path, const char *operator_path, GError **error)
{
  g_autoptr (MhSettings) s = mh_settings_new ();
  g_autofree char *problem = NULL;
  if (!mh_toml_read (path, s, &problem))
    {
      fail (error, "%s: %s", path, problem);
      return NULL;
    }
  if (operator_path && !read_operator (operator_path, s, error))
    return NULL;
  if (!mh_settings_check (s, error))
    return NULL;
  return g_steal_pointer (&s);
}
