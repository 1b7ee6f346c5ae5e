/* Prints a digest of the decisions of each of a range of random days. The arguments are the first
   seed and the number of days; seeds above RANDOM_DAY_MIXED_VERSIONS_SEEDS include changes of
   version. tests/compare-decisions uses it to compare two builds. */
#include "stand-in/random-day.h"

#include <stdlib.h>

static void
print_digest (guint seed)
{
  g_autoptr (GChecksum) digest = g_checksum_new (G_CHECKSUM_SHA256);
  random_day_run (seed, digest);
  g_print ("%u %s\n", seed, g_checksum_get_string (digest));
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      g_printerr ("usage: decision-digest FIRST-SEED COUNT\n");
      return 2;
    }
  guint first = (guint)g_ascii_strtoull (argv[1], NULL, 10);
  guint count = (guint)g_ascii_strtoull (argv[2], NULL, 10);
  for (guint seed = first; seed < first + count; seed++)
    print_digest (seed);
  return EXIT_SUCCESS;
}
