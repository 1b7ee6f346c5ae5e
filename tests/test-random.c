/* Random days as tests: see stand-in/random-day.h. */
#include "stand-in/random-day.h"

#define DEFAULT_MIXED_VERSION_DAYS 24u

static void
test_day (gconstpointer data)
{
  random_day_run (GPOINTER_TO_UINT (data), NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  const char *extra = g_getenv ("MINTHILL_SEEDS");
  guint days = extra ? (guint)g_ascii_strtoull (extra, NULL, 10) : 40;
  for (guint seed = 1; seed <= days; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/random/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_day);
    }
  days = extra ? days : DEFAULT_MIXED_VERSION_DAYS;
  for (guint seed = RANDOM_DAY_MIXED_VERSIONS_SEEDS + 1;
       seed <= RANDOM_DAY_MIXED_VERSIONS_SEEDS + days; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/random/versions/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_day);
    }
  return g_test_run ();
}
