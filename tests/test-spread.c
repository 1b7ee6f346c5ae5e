/* The numeric examples of KEP-895, "MaxSkew". */
#include "controller/core-private.h"

typedef struct
{
  const char *name;
  guint counts[3];
  bool feasible[3];
  guint max_skew;
  const char *hard; /* zones that pass, of "012" */
  const char *soft; /* feasible zones that rank first */
} Row;

/* "infeasible" zones are those whose machines cannot take the task; under the hard rule they still
   enter the minimum, and placing there fails for want of a machine. */
static const Row rows[] = {
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

static void
test_row (gconstpointer data)
{
  const Row *row = data;
  MhZoneCount zones[3];
  GString *hard = g_string_new (NULL), *soft = g_string_new (NULL);
  gint best = G_MAXINT;
  for (guint i = 0; i < 3; i++)
    zones[i] = (MhZoneCount){ .name = "z", .count = row->counts[i], .feasible = row->feasible[i] };
  for (guint i = 0; i < 3; i++)
    if (row->feasible[i])
      {
        if (mh_topology_spread_allows_zone (zones, 3, i, row->max_skew))
          g_string_append_printf (hard, "%u", i);
        best = MIN (best, mh_topology_spread_score_zone (zones, 3, i, row->max_skew));
      }
  for (guint i = 0; i < 3; i++)
    if (row->feasible[i] && mh_topology_spread_score_zone (zones, 3, i, row->max_skew) == best)
      g_string_append_printf (soft, "%u", i);
  g_assert_cmpstr (hard->str, ==, row->hard);
  g_assert_cmpstr (soft->str, ==, row->soft);
  g_string_free (hard, TRUE);
  g_string_free (soft, TRUE);
}

static void
test_score (void)
{
  /* count - minimum - MaxSkew */
  const MhZoneCount zones[] = { { "a", 5, true }, { "b", 2, true }, { "c", 0, false } };
  g_assert_cmpint (mh_topology_spread_score_zone (zones, 3, 0, 2), ==, 1);
  g_assert_cmpint (mh_topology_spread_score_zone (zones, 3, 1, 2), ==, -2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *path = g_strdup_printf ("/spread/%u", i);
      g_test_add_data_func (path, &rows[i], test_row);
    }
  g_test_add_func ("/spread/score", test_score);
  return g_test_run ();
}
