/* The soak: real controllers under random faults. tests/soak/README.md describes it. */
#include "soak/soak.h"

#include <signal.h>
#include <sys/prctl.h>

#define DEFAULT_SEED 1
#define DEFAULT_SECONDS 25
#define DEFAULT_WORKERS 40
#define MAX_SECONDS 600
#define MAX_WORKERS 1000
#define MAX_RUNS 1000

enum
{
  STATUS_PASSED,
  STATUS_FAILED,
  STATUS_INVALID
};

typedef struct
{
  int seed, runs, seconds, workers;
  char *program, *keep_dir;
} Arguments;

static bool
is_in_range (const char *name, int value, int min, int max, GError **error)
{
  if (value >= min && value <= max)
    return true;
  g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE, "--%s must be from %d to %d", name,
               min, max);
  return false;
}

static bool
read_arguments (int argc, char **argv, Arguments *arguments, GError **error)
{
  const GOptionEntry entries[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT, &arguments->seed, "first seed", "N" },
          { "runs", 0, 0, G_OPTION_ARG_INT, &arguments->runs, "number of seeds", "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &arguments->seconds, "time with faults", "N" },
          { "workers", 0, 0, G_OPTION_ARG_INT, &arguments->workers, "machines", "N" },
          { "keep", 0, 0, G_OPTION_ARG_FILENAME, &arguments->keep_dir, "directory for logs",
            "DIR" },
          { NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("PROGRAM");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, error))
    return false;
  arguments->program = argc == 2 ? argv[1] : NULL;
  if (arguments->program == NULL || !g_file_test (arguments->program, G_FILE_TEST_IS_EXECUTABLE))
    {
      g_set_error_literal (error, G_OPTION_ERROR, G_OPTION_ERROR_FAILED,
                           "expected the path of the program as the only argument");
      return false;
    }
  return is_in_range ("seed", arguments->seed, 0, G_MAXINT - MAX_RUNS, error)
         && is_in_range ("runs", arguments->runs, 1, MAX_RUNS, error)
         && is_in_range ("seconds", arguments->seconds, 1, MAX_SECONDS, error)
         && is_in_range ("workers", arguments->workers, 1, MAX_WORKERS, error);
}

/* Runs in the new process, which would go on without its parent otherwise. */
static void
kill_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* Plays one seed in a process of its own, so that nothing of it reaches the next one. Returns
   whether it passed. */
static bool
run_in_child (const char *self, const Arguments *arguments, int seed)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *seed_text = g_strdup_printf ("%d", seed);
  g_autofree char *seconds = g_strdup_printf ("%d", arguments->seconds);
  g_autofree char *workers = g_strdup_printf ("%d", arguments->workers);
  const char *const argv[] = { self,
                               "--seed",
                               seed_text,
                               "--seconds",
                               seconds,
                               "--workers",
                               workers,
                               arguments->program,
                               arguments->keep_dir ? "--keep" : NULL,
                               arguments->keep_dir,
                               NULL };
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_subprocess_launcher_set_child_setup (launcher, kill_with_parent, NULL, NULL);
  g_autoptr (GSubprocess) child = g_subprocess_launcher_spawnv (launcher, argv, &error);
  if (child && g_subprocess_wait_check (child, NULL, &error))
    return true;
  g_print ("seed=%d failed: %s\n", seed, error->message);
  return false;
}

static bool
run (const char *self, const Arguments *arguments, int seed)
{
  if (arguments->runs > 1)
    return run_in_child (self, arguments, seed);
  const SoakOptions options = { .program = arguments->program,
                                .seed = (guint32)seed,
                                .seconds = (guint)arguments->seconds,
                                .workers = (guint)arguments->workers,
                                .keep_dir = arguments->keep_dir };
  return soak_run (&options);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  Arguments arguments
      = { .seed = DEFAULT_SEED, .runs = 1, .seconds = DEFAULT_SECONDS, .workers = DEFAULT_WORKERS };
  if (!read_arguments (argc, argv, &arguments, &error))
    {
      g_printerr ("soak: %s\n", error->message);
      return STATUS_INVALID;
    }
  int failed = 0;
  for (int i = 0; i < arguments.runs; i++)
    failed += !run (argv[0], &arguments, arguments.seed + i);
  if (arguments.runs > 1)
    g_print ("%d passed, %d failed\n", arguments.runs - failed, failed);
  return failed ? STATUS_FAILED : STATUS_PASSED;
}
