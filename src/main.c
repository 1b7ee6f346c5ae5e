#include "settings/settings.h"
#include "server/shell.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define EXIT_SETTINGS 2

static GLogLevelFlags log_mask;

/* LOG_LEVEL error|info|debug; each includes those before it. */
static void
read_log_level (void)
{
  const char *level = g_getenv ("LOG_LEVEL");
  log_mask = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;
  if (g_strcmp0 (level, "info") == 0 || g_strcmp0 (level, "debug") == 0)
    log_mask |= G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO;
  if (g_strcmp0 (level, "debug") == 0)
    log_mask |= G_LOG_LEVEL_DEBUG;
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  (void)data;
  if ((level & log_mask) == 0)
    return G_LOG_WRITER_HANDLED;
  /* GIO tells at length of every connection that it makes. */
  if (level & G_LOG_LEVEL_DEBUG)
    for (gsize i = 0; i < n; i++)
      if (strcmp (fields[i].key, "GLIB_DOMAIN") == 0 && strcmp (fields[i].value, "minthill") != 0)
        return G_LOG_WRITER_HANDLED;
  const char *word = level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE) ? "info"
                     : level & G_LOG_LEVEL_DEBUG                      ? "debug"
                                                                      : "error";
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      (void)fprintf (stderr, "%s: %s\n", word, (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

/* GIO looks for modules, D-Bus, netlink and proxies when it starts. None of it exists on a
   controller, and looking costs time. */
static void
quiet_gio (void)
{
  g_setenv ("GIO_MODULE_DIR", "/nonexistent", TRUE);
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_NETWORK_MONITOR", "base", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GSETTINGS_BACKEND", "memory", TRUE);
}

/* A connection takes a file, and some take a second one for what waits beside them. Where fewer are
   allowed, so many connections are refused. */
static void
allow_files (guint connections)
{
  struct rlimit limit;
  rlim_t wanted = (rlim_t)connections * 3 / 2 + 64;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
    return;
  limit.rlim_cur = MIN (wanted, limit.rlim_max);
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_info ("%u connections want %" G_GUINT64_FORMAT " open files: %s", connections,
            (guint64)wanted, g_strerror (errno));
}

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL, *operator_file = NULL;
  gboolean check = FALSE, version = FALSE;
  const GOptionEntry entries[]
      = { { "config", 0, 0, G_OPTION_ARG_FILENAME, &config, "The platform's settings (TOML)",
            "FILE" },
          { "operator", 0, 0, G_OPTION_ARG_FILENAME, &operator_file, "The operator's own settings",
            "FILE" },
          { "check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Show the version and exit", NULL },
          G_OPTION_ENTRY_NULL };
  g_autoptr (GError) error = NULL;
  quiet_gio ();
  read_log_level ();
  g_log_set_writer_func (write_log, NULL, NULL);

  g_autoptr (GOptionContext) context = g_option_context_new ("- a cluster scheduler");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      g_printerr ("minthill: %s\n", error->message);
      return EXIT_SETTINGS;
    }
  if (version)
    {
      g_print ("minthill " MINTHILL_VERSION "\n");
      return 0;
    }
  if (argc > 1)
    {
      g_printerr ("minthill: unexpected argument %s\n", argv[1]);
      return EXIT_SETTINGS;
    }
  if (config == NULL)
    {
      g_printerr ("minthill: --config FILE is missing\n");
      return EXIT_SETTINGS;
    }
  g_autoptr (MhSettings) settings = mh_settings_load (config, operator_file, &error);
  if (settings == NULL)
    {
      g_printerr ("minthill: %s\n", error->message);
      return EXIT_SETTINGS;
    }
  if (check)
    {
      g_print ("%s: settings are good\n", config);
      return 0;
    }
  allow_files (settings->max_connections);
  if (!mh_shell_run (settings, &error))
    {
      g_printerr ("minthill: %s\n", error->message);
      return 1;
    }
  return 0;
}
