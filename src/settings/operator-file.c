#include "settings/operator-file.h"

#include <confuse.h>
#include <string.h>

typedef cfg_t ConfigFile;

static void
config_file_free (ConfigFile *file)
{
  cfg_free (file);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ConfigFile, config_file_free)

/* The first problem that libConfuse reports, since an error message is one line. It is static
   because libConfuse passes no user data to its error function. */
static char *first_problem;

static void
on_problem (cfg_t *file, const char *format, va_list args)
{
  if (first_problem)
    return;
  g_autofree char *text = g_strdup_vprintf (format, args);
  first_problem = g_strdup_printf ("line %d: %s", file ? file->line : 0, text);
}

static bool
fail_invalid (GError **error, const char *message)
{
  g_set_error_literal (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID, message);
  return false;
}

static bool
is_set (cfg_t *section, const char *name)
{
  return cfg_size (section, name) > 0;
}

/* The following functions leave a value unchanged if the file does not set it. */
static void
read_time (cfg_t *section, const char *name, gint64 *time_us)
{
  if (is_set (section, name))
    *time_us = (gint64)(cfg_getfloat (section, name) * MH_SECOND_US);
}

static bool
read_count (cfg_t *section, const char *name, long minimum, guint *count, GError **error)
{
  if (!is_set (section, name))
    return true;
  if (cfg_getint (section, name) < minimum)
    {
      g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID, "%s must be at least %ld",
                   name, minimum);
      return false;
    }
  *count = (guint)cfg_getint (section, name);
  return true;
}

static bool
read_when_unsatisfiable (cfg_t *section, bool *soft, GError **error)
{
  const char *name = "when_unsatisfiable";
  const char *text = is_set (section, name) ? cfg_getstr (section, name) : NULL;
  if (text == NULL)
    return true;
  *soft = strcmp (text, "ScheduleAnyway") == 0;
  if (!*soft && strcmp (text, "DoNotSchedule") != 0)
    return fail_invalid (error,
                         "when_unsatisfiable must be \"DoNotSchedule\" or \"ScheduleAnyway\"");
  return true;
}

/* What a rule does not set is taken from the settings for all classes. */
static bool
read_spread_rule (cfg_t *section, MhSettings *settings, GError **error)
{
  long max_skew = cfg_getint (section, "max_skew"); /* 0: not set */
  bool soft = settings->soft_spread;
  if (!read_when_unsatisfiable (section, &soft, error))
    return false;
  if (max_skew < 0)
    return fail_invalid (error, "max_skew in a spread section must be at least 1");
  MhSpreadRule *rule = g_new0 (MhSpreadRule, 1);
  rule->class_name = g_strdup (cfg_title (section));
  rule->max_skew = max_skew ? (guint)max_skew : settings->max_skew;
  rule->soft = soft;
  g_ptr_array_add (settings->spread_rules, rule);
  return true;
}

static bool
read_values (cfg_t *file, MhSettings *settings, GError **error)
{
  read_time (file, "lease_s", &settings->leader_lease_us);
  read_time (file, "silence_s", &settings->silence_limit_us);
  read_time (file, "idle_s", &settings->idle_limit_us);
  if (is_set (file, "metrics"))
    {
      g_free (settings->metrics);
      settings->metrics = g_strdup (cfg_getstr (file, "metrics"));
    }
  if (is_set (file, "direct"))
    settings->direct_commands = cfg_getbool (file, "direct");
  if (!read_count (file, "batch", 2, &settings->max_batch, error)
      || !read_count (file, "max_skew", 1, &settings->max_skew, error))
    return false;
  if (settings->idle_limit_us < 0 || settings->silence_limit_us < 0)
    return fail_invalid (error, "idle_s and silence_s must not be negative");
  if (!read_when_unsatisfiable (file, &settings->soft_spread, error))
    return false;
  for (guint i = 0; i < cfg_size (file, "spread"); i++)
    if (!read_spread_rule (cfg_getnsec (file, "spread", i), settings, error))
      return false;
  return true;
}

static const char *
describe_problem (int parse_result)
{
  if (parse_result == CFG_FILE_ERROR)
    return "cannot be read";
  return first_problem ? first_problem : "cannot be parsed";
}

bool
mh_operator_file_read (const char *path, MhSettings *settings, GError **error)
{
  cfg_opt_t spread_options[] = { CFG_INT ("max_skew", 0, CFGF_NONE),
                                 CFG_STR ("when_unsatisfiable", NULL, CFGF_NONE), CFG_END () };
  cfg_opt_t options[] = { CFG_FLOAT ("lease_s", 0, CFGF_NODEFAULT),
                          CFG_FLOAT ("silence_s", 0, CFGF_NODEFAULT),
                          CFG_FLOAT ("idle_s", 0, CFGF_NODEFAULT),
                          CFG_INT ("batch", 0, CFGF_NODEFAULT),
                          CFG_INT ("max_skew", 0, CFGF_NODEFAULT),
                          CFG_STR ("when_unsatisfiable", NULL, CFGF_NODEFAULT),
                          CFG_STR ("metrics", NULL, CFGF_NODEFAULT),
                          CFG_BOOL ("direct", cfg_true, CFGF_NODEFAULT),
                          CFG_SEC ("spread", spread_options, CFGF_MULTI | CFGF_TITLE),
                          CFG_END () };
  g_autoptr (ConfigFile) file = cfg_init (options, CFGF_NONE);
  cfg_set_error_function (file, on_problem);
  int parse_result = cfg_parse (file, path);
  bool parsed = parse_result == CFG_SUCCESS;
  if (!parsed)
    g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_FILE, "operator settings %s: %s", path,
                 describe_problem (parse_result));
  g_clear_pointer (&first_problem, g_free);
  return parsed && read_values (file, settings, error);
}
