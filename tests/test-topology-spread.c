/* The numeric examples of KEP-895, "MaxSkew", for the hard and the soft constraint. */
#include "placement/topology-spread.h"

#define ZONES 3

/* A zone is infeasible if none of its machines can take the task. The hard constraint still
   includes it in the minimum, although no task can be placed there. The soft constraint leaves it
   out. */
typedef struct
{
  const char *name;
  guint counts[ZONES];
  bool feasible[ZONES];
  guint max_skew;
  const char *allowed_zones; /* feasible zones that pass the hard constraint, of "012" */
  const char *best_zones;    /* feasible zones that rank first under the soft constraint */
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

/* If a result differed, replicas would accumulate in one zone, or would not start although the
   constraint allows it. */
static void
test_example (gconstpointer data)
{
  const Example *example = data;
  MhZoneCount zones[ZONES];
  g_autoptr (GString) allowed_zones = g_string_new (NULL);
  g_autoptr (GString) best_zones = g_string_new (NULL);
  gint best_score = G_MAXINT;
  for (guint i = 0; i < ZONES; i++)
    zones[i] = (MhZoneCount){ .name = "z",
                              .count = example->counts[i],
                              .feasible = example->feasible[i] };
  for (guint i = 0; i < ZONES; i++)
    if (example->feasible[i])
      {
        if (mh_topology_spread_allows_zone (zones, ZONES, i, example->max_skew))
          g_string_append_printf (allowed_zones, "%u", i);
        best_score
            = MIN (best_score, mh_topology_spread_score_zone (zones, ZONES, i, example->max_skew));
      }
  for (guint i = 0; i < ZONES; i++)
    if (example->feasible[i]
        && mh_topology_spread_score_zone (zones, ZONES, i, example->max_skew) == best_score)
      g_string_append_printf (best_zones, "%u", i);
  g_assert_cmpstr (allowed_zones->str, ==, example->allowed_zones);
  g_assert_cmpstr (best_zones->str, ==, example->best_zones);
}

/* The score is count - minimum - MaxSkew. The value is checked too, not only the order of zones,
   since other code may depend on it. */
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
