#include "settings/settings.h"

#include <string.h>

#define DEFAULT_LEADER_LEASE_US MH_SECOND_US
#define DEFAULT_IDLE_LIMIT_US (8 * MH_SECOND_US)
#define DEFAULT_CORE_SHARE 0.1
#define DEFAULT_MAX_CONNECTIONS 1000u

G_DEFINE_QUARK (mh - settings - error - quark, mh_settings_error)

static void
member_free (gpointer data)
{
  MhMember *member = data;
  g_free (member->name);
  g_free (member->zone);
  g_free (member->endpoint);
  g_free (member);
}

static void
team_free (gpointer data)
{
  MhTeam *team = data;
  g_free (team->name);
  g_free (team);
}

static void
objective_free (gpointer data)
{
  MhObjective *objective = data;
  g_free (objective->class_name);
  g_free (objective);
}

static void
spread_rule_free (gpointer data)
{
  MhSpreadRule *rule = data;
  g_free (rule->class_name);
  g_free (rule);
}

MhSettings *
mh_settings_new (void)
{
  MhSettings *settings = g_new0 (MhSettings, 1);
  settings->members = g_ptr_array_new_with_free_func (member_free);
  settings->teams = g_ptr_array_new_with_free_func (team_free);
  settings->objectives = g_ptr_array_new_with_free_func (objective_free);
  settings->spread_rules = g_ptr_array_new_with_free_func (spread_rule_free);
  settings->leader_lease_us = DEFAULT_LEADER_LEASE_US;
  settings->idle_limit_us = DEFAULT_IDLE_LIMIT_US;
  settings->max_batch = G_MAXUINT; /* mh_settings_check() lowers it to txn_ops */
  settings->max_skew = 1;
  settings->direct_commands = true;
  settings->core_share = DEFAULT_CORE_SHARE;
  settings->max_connections = DEFAULT_MAX_CONNECTIONS;
  return settings;
}

void
mh_settings_free (MhSettings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->node_name);
  g_free (settings->zone);
  g_free (settings->front);
  g_free (settings->peer_bind);
  g_free (settings->cloud);
  g_free (settings->key_value_store);
  g_free (settings->metrics);
  g_ptr_array_unref (settings->members);
  g_ptr_array_unref (settings->teams);
  g_ptr_array_unref (settings->objectives);
  g_ptr_array_unref (settings->spread_rules);
  g_free (settings);
}

MhTeam *
mh_settings_find_team (const MhSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->teams->len; i++)
    {
      MhTeam *team = g_ptr_array_index (settings->teams, i);
      if (strcmp (team->name, name) == 0)
        return team;
    }
  return NULL;
}
