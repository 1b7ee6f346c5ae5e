#include "server/log-output.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

static GLogLevelFlags enabled_levels;

static GLogLevelFlags
parse_log_level (const char *name)
{
  GLogLevelFlags levels = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;
  bool debug = g_strcmp0 (name, "debug") == 0;
  if (debug || g_strcmp0 (name, "info") == 0)
    levels |= G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO;
  if (debug)
    levels |= G_LOG_LEVEL_DEBUG;
  return levels;
}

static const char *
get_level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE))
    return "info";
  return level & G_LOG_LEVEL_DEBUG ? "debug" : "error";
}

static bool
is_from_other_domain (const GLogField *field)
{
  return strcmp (field->key, "GLIB_DOMAIN") == 0 && strcmp (field->value, G_LOG_DOMAIN) != 0;
}

static GLogWriterOutput
write_to_stderr (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer user_data)
{
  (void)user_data;
  if ((level & enabled_levels) == 0)
    return G_LOG_WRITER_HANDLED;
  /* Debug messages of other domains are dropped: GIO logs several for each connection. */
  if (level & G_LOG_LEVEL_DEBUG)
    for (gsize i = 0; i < n_fields; i++)
      if (is_from_other_domain (&fields[i]))
        return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      (void)fprintf (stderr, "%s: %s\n", get_level_name (level), (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

void
mh_log_output_install (void)
{
  enabled_levels = parse_log_level (g_getenv ("LOG_LEVEL"));
  g_log_set_writer_func (write_to_stderr, NULL, NULL);
}

void
mh_log_output_write (GLogLevelFlags level, const char *node, const char *message)
{
  g_log_structured (G_LOG_DOMAIN, level, MH_LOG_FIELD_NODE, node, "MESSAGE", "%s", message);
}
