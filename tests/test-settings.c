#include "settings/settings.h"

#include <glib/gstdio.h>
#include <math.h>
#include <string.h>

static const char *const good
    = "node_name = \"w-0\"\nfront = \"10.0.0.1:8080\"\npeer_bind = \"10.0.0.1:8081\"\n"
      "colour = \"unknown fields are ignored\"\n"
      "[[members]]\nnode_name = \"w-1\"\nendpoint = \"10.0.0.2:8081\"\n"
      "[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n"
      "[settings]\ncount = 2\n"
      "[[settings.teams]]\nname = \"desk\"\ncpus = 8.0\ncpus_max = 24\n"
      "[[settings.objectives]]\nkind = \"finished\"\nclass = \"c\"\nwithin_s = 1.5\n"
      "[settings.workers]\nreport_s = 3.0\nlease_s = 24.0\ncancel_s = 54.0\n"
      "[settings.state]\nrps = 250\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 16\n"
      "[settings.cloud]\nrps = 3.0\nlist_lag_s = 5.0\n";

static MhSettings *
load (const char *platform, const char *operator_text, char **problem)
{
  g_autofree char *dir = g_dir_make_tmp ("minthill-XXXXXX", NULL);
  g_autofree char *a = g_build_filename (dir, "a.toml", NULL);
  g_autofree char *b = g_build_filename (dir, "b.hcl", NULL);
  g_autoptr (GError) error = NULL;
  g_file_set_contents (a, platform, -1, NULL);
  if (operator_text)
    g_file_set_contents (b, operator_text, -1, NULL);
  MhSettings *s = mh_settings_load (a, operator_text ? b : NULL, &error);
  *problem = error ? g_strdup (error->message) : NULL;
  g_assert_true ((s == NULL) == (error != NULL));
  g_unlink (a);
  g_unlink (b);
  g_rmdir (dir);
  return s;
}

static void
test_good (void)
{
  g_autofree char *problem = NULL;
  g_autoptr (MhSettings) s = load (good,
                                   "lease_s = 2.5\nmax_skew = 3\nbatch = 4\n"
                                   "spread \"quote-live\" {\n  max_skew = 2\n"
                                   "  when_unsatisfiable = \"ScheduleAnyway\"\n}\n",
                                   &problem);
  g_assert_nonnull (s);
  g_assert_cmpint (s->report_us, ==, 3 * MH_SECOND_US);
  g_assert_cmpuint (s->value_bytes, ==, 8192);
  g_assert_cmpuint (s->teams->len, ==, 1);
  g_assert_cmpfloat (mh_settings_team (s, "desk")->cpus_max, ==, 24);
  g_assert_cmpint (s->lease_us, ==, 2500000);
  g_assert_cmpuint (s->batch, ==, 4);
  g_assert_cmpuint (s->max_skew, ==, 3);
  g_assert_cmpuint (s->spread->len, ==, 1);
  const MhSpreadRule *rule = g_ptr_array_index (s->spread, 0);
  g_assert_cmpuint (rule->max_skew, ==, 2);
  g_assert_true (rule->soft);
}

/* Guest teams have no guarantee and no limit: 0, or nothing, says so. Every job of theirs was once
   refused for ever, as above a limit of nothing. */
static void
test_team_without_limit (void)
{
  g_autofree char *problem = NULL, *wrong = NULL;
  g_autofree char *guests
      = g_strconcat (good, "[[settings.teams]]\nname = \"guest\"\n",
                     "[[settings.teams]]\nname = \"other\"\ncpus = 0.0\ncpus_max = 0.0\n", NULL);
  g_autofree char *negative
      = g_strconcat (good, "[[settings.teams]]\nname = \"guest\"\ncpus_max = -1.0\n", NULL);
  g_autoptr (MhSettings) s = load (guests, NULL, &problem);
  g_assert_nonnull (s);
  g_assert_cmpfloat (mh_settings_team (s, "guest")->cpus, ==, 0);
  g_assert_true (isinf (mh_settings_team (s, "guest")->cpus_max));
  g_assert_true (isinf (mh_settings_team (s, "other")->cpus_max));
  g_assert_cmpfloat (mh_settings_team (s, "desk")->cpus_max, ==, 24);
  g_assert_null (load (negative, NULL, &wrong));
  g_assert_nonnull (strstr (wrong, "guest"));
}

/* The limits that come next: sizes keep to the lower ones from the start; none, or some of them,
   leave what there is. */
static void
test_next (void)
{
  g_autofree char *problem = NULL, *other = NULL, *wrong = NULL;
  g_autofree char *all = g_strconcat (good,
                                      "[settings.state.next]\nwrite_rps = 15.0\n"
                                      "value_kb = 2.0\ntxn_ops = 5\n",
                                      NULL);
  g_autofree char *part = g_strconcat (good, "[settings.state.next]\nvalue_kb = 64\n", NULL);
  g_autofree char *bad = g_strconcat (good, "[settings.state.next]\ntxn_ops = 1\n", NULL);
  g_autoptr (MhSettings) s = load (all, NULL, &problem);
  g_assert_nonnull (s);
  g_assert_cmpuint (s->value_bytes, ==, 2048);
  g_assert_cmpuint (s->txn_ops, ==, 5);
  g_assert_cmpuint (s->batch, ==, 5);
  g_assert_cmpfloat (s->state_write_rps, ==, 20);
  g_assert_cmpfloat (s->next_write_rps, ==, 15);
  g_assert_cmpint (s->gang_wait_us, ==, 50 * MH_SECOND_US); /* not named: as before gangs */
  g_autoptr (MhSettings) p = load (part, NULL, &other);
  g_assert_nonnull (p);
  g_assert_cmpuint (p->value_bytes, ==, 8192);
  g_assert_cmpuint (p->txn_ops, ==, 16);
  g_assert_null (load (bad, NULL, &wrong));
}

static void
test_defaults (void)
{
  g_autofree char *problem = NULL;
  g_autoptr (MhSettings) s = load (good, NULL, &problem);
  g_assert_cmpuint (s->max_skew, ==, 1);
  g_assert_false (s->soft);
  g_assert_cmpuint (s->batch, ==, 16);
}

static void
test_bad (void)
{
  static const struct
  {
    const char *cut, *put, *operator_text, *says;
  } rows[] = {
    { "node_name = \"w-0\"", "", NULL, "node_name" },
    { "10.0.0.1:8080", "10.0.0.1", NULL, "front" },
    { "10.0.0.1:8081", "10.0.0.1:99999", NULL, "peer_bind" },
    { "report_s = 3.0", "", NULL, "report_s" },
    { "rps = 250", "rps = -1", NULL, "state.rps" },
    { "txn_ops = 16", "txn_ops = 1", NULL, "txn_ops" },
    { "[settings]", "[settings", NULL, "line" },
    { "cpus = 8.0", "cpus = -8.0", NULL, "negative" },
    { "", "", "max_skew = 0\n", "max_skew" },
    { "", "", "colour = 1\n", "colour" },
    { "", "", "when_unsatisfiable = \"Perhaps\"\n", "when_unsatisfiable" },
    { "", "", "lease_s = 0.1\n", "lease_s" },
    { "", "", "batch = 1\n", "batch" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *problem = NULL;
      g_auto (GStrv) parts = g_strsplit (good, *rows[i].cut ? rows[i].cut : "\001", 2);
      g_autofree char *text
          = parts[1] ? g_strconcat (parts[0], rows[i].put, parts[1], NULL) : g_strdup (parts[0]);
      g_autoptr (MhSettings) s = load (text, rows[i].operator_text, &problem);
      g_assert_null (s);
      g_assert_nonnull (strstr (problem, rows[i].says));
      g_assert_null (strchr (problem, '\n')); /* one clear line */
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/good", test_good);
  g_test_add_func ("/settings/team-without-limit", test_team_without_limit);
  g_test_add_func ("/settings/next", test_next);
  g_test_add_func ("/settings/defaults", test_defaults);
  g_test_add_func ("/settings/bad", test_bad);
  return g_test_run ();
}
