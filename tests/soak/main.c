/* The soak: real controllers under random faults. tests/soak/README.md describes it. */
#include "soak/soak.h"

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
    {
      const SoakOptions options = { .program = arguments.program,
                                    .seed = (guint32)(arguments.seed + i),
                                    .seconds = (guint)arguments.seconds,
                                    .workers = (guint)arguments.workers,
                                    .keep_dir = arguments.keep_dir };
      failed += !soak_run (&options);
    }
  g_print ("%d passed, %d failed\n", arguments.runs - failed, failed);
  return failed ? STATUS_FAILED : STATUS_PASSED;
}
