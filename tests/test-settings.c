/* Settings: the values of both files, the defaults, and the errors for refused values. */
#include "settings/settings-loader.h"

#include <glib/gstdio.h>
#include <math.h>
#include <string.h>

static const char *const valid_file
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

/* Writes the two files and loads them; without an operator's file if its text is NULL. */
static MhSettings *
load (const char *platform, const char *operator_file_text, GError **error)
{
  g_autofree char *dir = g_dir_make_tmp ("minthill-XXXXXX", NULL);
  g_autofree char *platform_path = g_build_filename (dir, "a.toml", NULL);
  g_autofree char *operator_path = g_build_filename (dir, "b.hcl", NULL);
  g_file_set_contents (platform_path, platform, -1, NULL);
  if (operator_file_text)
    g_file_set_contents (operator_path, operator_file_text, -1, NULL);
  MhSettings *settings
      = mh_settings_load (platform_path, operator_file_text ? operator_path : NULL, error);
  g_assert_true ((settings == NULL) == (*error != NULL));
  g_unlink (platform_path);
  g_unlink (operator_path);
  g_rmdir (dir);
  return settings;
}

/* Guards against a value that is read from the wrong field or in the wrong unit, which would cause
   no error. */
static void
test_values_of_both_files (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (MhSettings) settings = load (valid_file,
                                          "lease_s = 2.5\nmax_skew = 3\nbatch = 4\n"
                                          "spread \"quote-live\" {\n  max_skew = 2\n"
                                          "  when_unsatisfiable = \"ScheduleAnyway\"\n}\n",
                                          &error);
  g_assert_nonnull (settings);
  g_assert_cmpint (settings->heartbeat_interval_us, ==, 3 * MH_SECOND_US);
  g_assert_cmpuint (settings->value_bytes, ==, 8192);
  g_assert_cmpuint (settings->teams->len, ==, 1);
  g_assert_cmpfloat (mh_settings_find_team (settings, "desk")->cpus_max, ==, 24);
  g_assert_cmpint (settings->leader_lease_us, ==, 2500000);
  g_assert_cmpuint (settings->max_batch, ==, 4);
  g_assert_cmpuint (settings->max_skew, ==, 3);
  g_assert_cmpuint (settings->spread_rules->len, ==, 1);
  const MhSpreadRule *rule = g_ptr_array_index (settings->spread_rules, 0);
  g_assert_cmpuint (rule->max_skew, ==, 2);
  g_assert_true (rule->soft);
}

/* Guest teams have no guarantee and no limit: their amounts are 0 or missing. Guards against a
   limit of 0 that is read as nothing allowed: every job of a guest team was then refused
   permanently. */
static void
test_team_without_limit (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) refused = NULL;
  g_autofree char *guest_teams
      = g_strconcat (valid_file, "[[settings.teams]]\nname = \"guest\"\n",
                     "[[settings.teams]]\nname = \"other\"\ncpus = 0.0\ncpus_max = 0.0\n", NULL);
  g_autofree char *negative_limit
      = g_strconcat (valid_file, "[[settings.teams]]\nname = \"guest\"\ncpus_max = -1.0\n", NULL);
  g_autoptr (MhSettings) settings = load (guest_teams, NULL, &error);
  g_assert_nonnull (settings);
  g_assert_cmpfloat (mh_settings_find_team (settings, "guest")->cpus, ==, 0);
  g_assert_true (isinf (mh_settings_find_team (settings, "guest")->cpus_max));
  g_assert_true (isinf (mh_settings_find_team (settings, "other")->cpus_max));
  g_assert_cmpfloat (mh_settings_find_team (settings, "desk")->cpus_max, ==, 24);
  g_assert_null (load (negative_limit, NULL, &refused));
  g_assert_nonnull (strstr (refused->message, "guest"));
}

/* Guards against writing values that the key-value store will refuse once its next limits take
   effect: sizes keep to the lower ones of the present and the next limits. A next limit that is
   missing leaves the present one in force. */
static void
test_next_store_limits (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) refused = NULL;
  g_autofree char *all_limits = g_strconcat (valid_file,
                                             "[settings.state.next]\nwrite_rps = 15.0\n"
                                             "value_kb = 2.0\ntxn_ops = 5\n",
                                             NULL);
  g_autofree char *some_limits
      = g_strconcat (valid_file, "[settings.state.next]\nvalue_kb = 64\n", NULL);
  g_autofree char *low_txn_ops
      = g_strconcat (valid_file, "[settings.state.next]\ntxn_ops = 1\n", NULL);
  g_autoptr (MhSettings) settings = load (all_limits, NULL, &error);
  g_assert_nonnull (settings);
  g_assert_cmpuint (settings->value_bytes, ==, 2048);
  g_assert_cmpuint (settings->txn_ops, ==, 5);
  g_assert_cmpuint (settings->max_batch, ==, 5);
  g_assert_cmpfloat (settings->store_write_rps, ==, 20);
  g_assert_cmpfloat (settings->next_write_rps, ==, 15);
  g_assert_cmpint (settings->gang_wait_us, ==, 50 * MH_SECOND_US); /* the default */
  g_autoptr (MhSettings) partly_set = load (some_limits, NULL, &error);
  g_assert_nonnull (partly_set);
  g_assert_cmpuint (partly_set->value_bytes, ==, 8192);
  g_assert_cmpuint (partly_set->txn_ops, ==, 16);
  g_assert_null (load (low_txn_ops, NULL, &refused));
}

/* Settings without optional values must keep the defaults, such as that of the topology spread. */
static void
test_defaults (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (MhSettings) settings = load (valid_file, NULL, &error);
  g_assert_cmpuint (settings->max_skew, ==, 1);
  g_assert_false (settings->soft_spread);
  g_assert_cmpuint (settings->max_batch, ==, 16);
}

/* Guards against a controller that starts with settings that cannot work, and against an error
   message that does not name the setting or is more than one line. */
static void
test_refused_values (void)
{
  static const struct
  {
    const char *old_text, *new_text, *operator_file_text, *expected_text;
    int code; /* MhSettingsError */
  } rows[] = {
    { "node_name = \"w-0\"", "", NULL, "node_name", MH_SETTINGS_ERROR_MISSING },
    { "10.0.0.1:8080", "10.0.0.1", NULL, "front", MH_SETTINGS_ERROR_INVALID },
    { "10.0.0.1:8081", "10.0.0.1:99999", NULL, "peer_bind", MH_SETTINGS_ERROR_INVALID },
    { "report_s = 3.0", "", NULL, "report_s", MH_SETTINGS_ERROR_INVALID },
    { "rps = 250", "rps = -1", NULL, "state.rps", MH_SETTINGS_ERROR_INVALID },
    { "txn_ops = 16", "txn_ops = 1", NULL, "txn_ops", MH_SETTINGS_ERROR_INVALID },
    { "[settings]", "[settings", NULL, "line", MH_SETTINGS_ERROR_FILE },
    { "cpus = 8.0", "cpus = -8.0", NULL, "negative", MH_SETTINGS_ERROR_INVALID },
    { "", "", "max_skew = 0\n", "max_skew", MH_SETTINGS_ERROR_INVALID },
    { "", "", "colour = 1\n", "colour", MH_SETTINGS_ERROR_FILE },
    { "", "", "when_unsatisfiable = \"Perhaps\"\n", "when_unsatisfiable",
      MH_SETTINGS_ERROR_INVALID },
    { "", "", "lease_s = 0.1\n", "lease_s", MH_SETTINGS_ERROR_INVALID },
    { "", "", "batch = 1\n", "batch", MH_SETTINGS_ERROR_INVALID },
    { "", "", "metrics = \"9100\"\n", "metrics", MH_SETTINGS_ERROR_INVALID },
  };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GError) error = NULL;
      g_auto (GStrv) parts
          = g_strsplit (valid_file, *rows[i].old_text ? rows[i].old_text : "\001", 2);
      g_autofree char *text = parts[1] ? g_strconcat (parts[0], rows[i].new_text, parts[1], NULL)
                                       : g_strdup (parts[0]);
      g_autoptr (MhSettings) settings = load (text, rows[i].operator_file_text, &error);
      g_assert_null (settings);
      g_assert_error (error, MH_SETTINGS_ERROR, rows[i].code);
      g_assert_nonnull (strstr (error->message, rows[i].expected_text));
      g_assert_null (strchr (error->message, '\n')); /* one line */
    }
}

/* Operators search their notes for these messages; a missing file is the most common mistake. */
static void
test_error_messages (void)
{
  g_autoptr (GError) no_platform = NULL;
  g_autoptr (GError) no_operator = NULL;
  g_autoptr (GError) unknown = NULL;
  g_autofree char *path = NULL;
  int file = g_file_open_tmp ("minthill-XXXXXX", &path, NULL);
  g_assert_cmpint (file, >=, 0);
  g_close (file, NULL);
  g_file_set_contents (path, valid_file, -1, NULL);
  g_assert_null (mh_settings_load ("/nonexistent", NULL, &no_platform));
  g_assert_error (no_platform, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_FILE);
  g_assert_true (g_str_has_prefix (no_platform->message, "/nonexistent: "));
  g_assert_null (mh_settings_load (path, "/nonexistent", &no_operator));
  g_assert_error (no_operator, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_FILE);
  g_assert_cmpstr (no_operator->message, ==, "operator settings /nonexistent: cannot be read");
  g_assert_null (load (valid_file, "colour = 1\n", &unknown));
  g_assert_nonnull (strstr (unknown->message, ": line 1: "));
  g_unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/values-of-both-files", test_values_of_both_files);
  g_test_add_func ("/settings/team-without-limit", test_team_without_limit);
  g_test_add_func ("/settings/next-store-limits", test_next_store_limits);
  g_test_add_func ("/settings/defaults", test_defaults);
  g_test_add_func ("/settings/refused-values", test_refused_values);
  g_test_add_func ("/settings/error-messages", test_error_messages);
  return g_test_run ();
}
