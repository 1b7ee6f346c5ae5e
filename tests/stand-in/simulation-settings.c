#include "stand-in/simulation-settings.h"

#include "settings/settings-check.h"
#include "stand-in/simulation.h"

static void
add_members (MhSettings *settings, guint index)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != index)
      {
        MhMember *member = g_new0 (MhMember, 1);
        member->name = g_strdup_printf ("node-%u", i);
        member->endpoint = g_strdup ("127.0.0.1:2");
        g_ptr_array_add (settings->members, member);
      }
}

static void
add_teams (MhSettings *settings)
{
  static const char *const names[] = { "red", "blue" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      MhTeam *team = g_new0 (MhTeam, 1);
      team->name = g_strdup (names[i]);
      team->cpus = 8;
      team->cpus_max = 16;
      g_ptr_array_add (settings->teams, team);
    }
}

static void
set_limits (MhSettings *settings)
{
  settings->heartbeat_interval_us = 3 * MH_SECOND_US;
  settings->worker_lease_us = 16 * MH_SECOND_US;
  settings->cancel_limit_us = 41 * MH_SECOND_US;
  settings->list_lag_us = 2 * MH_SECOND_US;
  settings->store_rps = 200;
  settings->store_write_rps = 50;
  settings->cloud_rps = 3;
  settings->value_bytes = 8192;
  settings->txn_ops = 16;
}

MhSettings *
simulation_settings_new (guint index)
{
  g_autoptr (GError) error = NULL;
  MhSettings *settings = mh_settings_new ();
  settings->node_name = g_strdup_printf ("node-%u", index);
  settings->zone = g_strdup ("a");
  settings->front = g_strdup ("127.0.0.1:1");
  settings->peer_bind = g_strdup ("127.0.0.1:2");
  settings->cloud = g_strdup ("127.0.0.1:3");
  settings->key_value_store = g_strdup ("127.0.0.1:4");
  add_members (settings, index);
  add_teams (settings);
  set_limits (settings);
  bool valid = mh_settings_check (settings, &error);
  g_assert_no_error (error);
  g_assert_true (valid);
  return settings;
}
