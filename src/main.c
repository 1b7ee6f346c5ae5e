/* The program: parses its arguments, loads the settings and runs the server. */
#include "server/log-output.h"
#include "server/server.h"
#include "settings/settings-loader.h"

#include <errno.h>
#include <stdbool.h>
#include <sys/resource.h>

#define EXIT_CANNOT_LISTEN 1
#define EXIT_BAD_SETTINGS 2
/* Descriptors other than those of accepted connections: listening sockets, epoll, log, and calls to
   other services. */
#define NON_CONNECTION_DESCRIPTORS 64

typedef struct
{
  char *platform_file; /* NULL: not given */
  char *operator_file; /* NULL: none */
  gboolean check_only;
  gboolean show_version;
} Arguments;

static void
arguments_clear (Arguments *arguments)
{
  g_free (arguments->platform_file);
  g_free (arguments->operator_file);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Arguments, arguments_clear)

/* GIO searches for modules, D-Bus, netlink and proxies when it starts. A controller needs none of
   them, and the search takes time. */
static void
restrict_gio (void)
{
  g_setenv ("GIO_MODULE_DIR", "/nonexistent", TRUE);
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_NETWORK_MONITOR", "base", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GSETTINGS_BACKEND", "memory", TRUE);
}

/* Each connection takes a descriptor. Half as many are added for descriptors that connections
   share, such as the wake-up descriptor of a connection group's main context. If the system allows
   fewer, further connections cannot be accepted. */
static void
raise_descriptor_limit (guint max_connections)
{
  struct rlimit limit;
  rlim_t wanted = (rlim_t)max_connections * 3 / 2 + NON_CONNECTION_DESCRIPTORS;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
    return;
  limit.rlim_cur = MIN (wanted, limit.rlim_max);
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    g_info ("cannot raise the limit of open files connections=%u wanted=%" G_GUINT64_FORMAT
            " error=%s",
            max_connections, (guint64)wanted, g_strerror (errno));
}

static bool
parse_arguments (int *argc, char ***argv, Arguments *arguments, GError **error)
{
  const GOptionEntry entries[]
      = { { "config", 0, 0, G_OPTION_ARG_FILENAME, &arguments->platform_file,
            "The platform's settings (TOML)", "FILE" },
          { "operator", 0, 0, G_OPTION_ARG_FILENAME, &arguments->operator_file,
            "The operator's own settings", "FILE" },
          { "check", 0, 0, G_OPTION_ARG_NONE, &arguments->check_only, "Check the settings and exit",
            NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &arguments->show_version,
            "Show the version and exit", NULL },
          G_OPTION_ENTRY_NULL };
  g_autoptr (GOptionContext) context = g_option_context_new ("- a cluster scheduler");
  g_option_context_add_main_entries (context, entries, NULL);
  return g_option_context_parse (context, argc, argv, error);
}

static int
fail (int status, const char *problem)
{
  g_printerr ("minthill: %s\n", problem);
  return status;
}

static int
run (const Arguments *arguments)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (MhSettings) settings
      = mh_settings_load (arguments->platform_file, arguments->operator_file, &error);
  if (settings == NULL)
    return fail (EXIT_BAD_SETTINGS, error->message);
  if (arguments->check_only)
    {
      g_print ("%s: settings are good\n", arguments->platform_file);
      return 0;
    }
  raise_descriptor_limit (settings->max_connections);
  if (!mh_server_run (settings, &error))
    return fail (EXIT_CANNOT_LISTEN, error->message);
  return 0;
}

int
main (int argc, char **argv)
{
  g_auto (Arguments) arguments = { 0 };
  g_autoptr (GError) error = NULL;
  restrict_gio ();
  mh_log_output_install ();
  if (!parse_arguments (&argc, &argv, &arguments, &error))
    return fail (EXIT_BAD_SETTINGS, error->message);
  if (arguments.show_version)
    {
      g_print ("minthill " MINTHILL_VERSION "\n");
      return 0;
    }
  if (argc > 1)
    {
      g_autofree char *problem = g_strdup_printf ("unexpected argument %s", argv[1]);
      return fail (EXIT_BAD_SETTINGS, problem);
    }
  if (arguments.platform_file == NULL)
    return fail (EXIT_BAD_SETTINGS, "missing option --config FILE");
  return run (&arguments);
}
