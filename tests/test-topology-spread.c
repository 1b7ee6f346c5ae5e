/* The numeric examples of KEP-895, "MaxSkew". */
#include "placement/topology-spread.h"

#define ZONES 3

/* "infeasible" zones are those whose machines cannot take the task; under the hard rule they still
   enter the minimum, and placing there fails for want of a machine. */
typedef struct
{
  const char *name;
  guint counts[ZONES];
  bool feasible[ZONES];
  guint max_skew;
  const char *hard; /* zones that pass, of "012" */
  const char *soft; /* feasible zones that rank first */
} Example;

static const Example examples[] = {
  { "1/1/0, MaxSkew 1", { 1, 1, 0 }, { true, true, true }, 1, "2", "2" },
  { "1/1/0, MaxSkew 2", { 1, 1, 0 }, { true, true, true }, 2, "012", "2" },
  { "3/2/1", { 3, 2, 1 }, { true, true, true }, 1, "2", "2" },
  { "3/3/0 infeasible", { 3, 3, 0 }, { true, true, false }, 1, "", "01" },
  { "1/1/0 infeasible", { 1, 1, 0 }, { true, true, false }, 1, "", "01" },
  { "2/1/0 infeasible", { 2, 1, 0 }, { true, true, false }, 1, "", "1" },
  { "1/1/1 infeasible", { 1, 1, 1 }, { true, true, false }, 1, "01", "01" },
  { "2/1/1 infeasible", { 2, 1, 1 }, { true, true, false }, 1, "1", "1" },
  { "0/0/0", { 0, 0, 0 }, { true, true, true }, 1, "012", "012" },
};

/* Replicas would pile up in one zone, or not start though the constraint allows it. */
static void
test_example (gconstpointer data)
{
  const Example *example = data;
  MhZoneCount zones[ZONES];
  g_autoptr (GString) hard = g_string_new (NULL);
  g_autoptr (GString) soft = g_string_new (NULL);
  gint best = G_MAXINT;
  for (guint i = 0; i < ZONES; i++)
    zones[i] = (MhZoneCount){ .name = "z",
                              .count = example->counts[i],
                              .feasible = example->feasible[i] };
  for (guint i = 0; i < ZONES; i++)
    if (example->feasible[i])
      {
        if (mh_topology_spread_allows_zone (zones, ZONES, i, example->max_skew))
          g_string_append_printf (hard, "%u", i);
        best = MIN (best, mh_topology_spread_score_zone (zones, ZONES, i, example->max_skew));
      }
  for (guint i = 0; i < ZONES; i++)
    if (example->feasible[i]
        && mh_topology_spread_score_zone (zones, ZONES, i, example->max_skew) == best)
      g_string_append_printf (soft, "%u", i);
  g_assert_cmpstr (hard->str, ==, example->hard);
  g_assert_cmpstr (soft->str, ==, example->soft);
}

/* The score is count - minimum - MaxSkew, of which others than the order may depend. */
static void
test_score (void)
{
  const MhZoneCount zones[] = { { "a", 5, true }, { "b", 2, true }, { "c", 0, false } };
  g_assert_cmpint (mh_topology_spread_score_zone (zones, ZONES, 0, 2), ==, 1);
  g_assert_cmpint (mh_topology_spread_score_zone (zones, ZONES, 1, 2), ==, -2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (examples); i++)
    {
      g_autofree char *path = g_strdup_printf ("/topology-spread/kep-895/%u", i);
      g_test_add_data_func (path, &examples[i], test_example);
    }
  g_test_add_func ("/topology-spread/score", test_score);
  return g_test_run ();
}
