#include "settings/settings-check.h"

#include <math.h>
#include <string.h>

#define MIN_LEADER_LEASE_US (MH_SECOND_US / 2)
#define MAX_LEADER_LEASE_US (60 * MH_SECOND_US)
/* Smallest limit of changes in one transaction: a new leader writes its leader and epoch records in
   one. */
#define MIN_TXN_OPS 2u
#define DEFAULT_GANG_WAIT_US (50 * MH_SECOND_US)
#define DEFAULT_GANG_PEER_US (5 * MH_SECOND_US)

static bool
is_empty (const char *text)
{
  return text == NULL || *text == '\0';
}

static bool
fail_missing (GError **error, const char *name)
{
  g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_MISSING, "%s is missing or empty", name);
  return false;
}

static bool
fail_invalid (GError **error, const char *message)
{
  g_set_error_literal (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID, message);
  return false;
}

static bool
check_address (const char *name, const char *text, GError **error)
{
  if (is_empty (text))
    return fail_missing (error, name);
  const char *colon = strrchr (text, ':');
  guint64 port = 0;
  if (colon && g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
    return true;
  g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID,
               "%s = \"%s\" is not an address; expected ADDRESS:PORT with a port from 1 to 65535",
               name, text);
  return false;
}

static bool
check_members (const MhSettings *settings, GError **error)
{
  for (guint i = 0; i < settings->members->len; i++)
    {
      const MhMember *member = g_ptr_array_index (settings->members, i);
      if (is_empty (member->name))
        {
          g_autofree char *name = g_strdup_printf ("members[%u].node_name", i);
          return fail_missing (error, name);
        }
      if (!check_address ("members.endpoint", member->endpoint, error))
        return false;
    }
  return true;
}

static bool
check_identity (const MhSettings *settings, GError **error)
{
  if (is_empty (settings->node_name))
    return fail_missing (error, "node_name");
  return check_address ("front", settings->front, error)
         && check_address ("peer_bind", settings->peer_bind, error)
         && check_address ("endpoints.cloud", settings->cloud, error)
         && check_address ("endpoints.state", settings->key_value_store, error)
         && (settings->metrics == NULL || check_address ("metrics", settings->metrics, error))
         && check_members (settings, error);
}

/* False for NaN too. */
static bool
is_not_negative (double amount)
{
  return amount >= 0;
}

static bool
check_teams (const MhSettings *settings, GError **error)
{
  for (guint i = 0; i < settings->teams->len; i++)
    {
      const MhTeam *team = g_ptr_array_index (settings->teams, i);
      if (is_empty (team->name))
        {
          g_autofree char *name = g_strdup_printf ("settings.teams[%u].name", i);
          return fail_missing (error, name);
        }
      if (is_not_negative (team->cpus) && is_not_negative (team->cpus_max)
          && is_not_negative (team->gpus) && is_not_negative (team->gpus_max))
        continue;
      g_set_error (
          error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID,
          "settings.teams: cpus, cpus_max, gpus and gpus_max of team %s must not be negative",
          team->name);
      return false;
    }
  return true;
}

static bool
check_positive_amounts (const MhSettings *settings, GError **error)
{
  const struct
  {
    const char *name;
    double value;
  } amounts[] = { { "settings.workers.report_s", (double)settings->heartbeat_interval_us },
                  { "settings.workers.lease_s", (double)settings->worker_lease_us },
                  { "settings.workers.cancel_s", (double)settings->cancel_limit_us },
                  { "settings.state.rps", settings->store_rps },
                  { "settings.state.write_rps", settings->store_write_rps },
                  { "settings.state.value_kb", settings->value_bytes },
                  { "settings.state.txn_ops", settings->txn_ops },
                  { "settings.cloud.rps", settings->cloud_rps } };
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++)
    {
      if (amounts[i].value > 0 && isfinite (amounts[i].value))
        continue;
      /* A number that is missing, of another type or not finite, and a time that is too large, is
         read as 0, so one message covers all of these. */
      g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_INVALID,
                   "%s is missing or out of range; expected a number greater than 0",
                   amounts[i].name);
      return false;
    }
  return true;
}

static bool
check_ranges (const MhSettings *settings, GError **error)
{
  bool next_is_set = settings->next_txn_ops != 0;
  if (settings->txn_ops < MIN_TXN_OPS || (next_is_set && settings->next_txn_ops < MIN_TXN_OPS))
    return fail_invalid (
        error, "settings.state.txn_ops and settings.state.next.txn_ops must be at least 2");
  if (settings->leader_lease_us < MIN_LEADER_LEASE_US
      || settings->leader_lease_us > MAX_LEADER_LEASE_US)
    return fail_invalid (error, "lease_s must be between 0.5 and 60");
  if (settings->max_skew == 0)
    return fail_invalid (error, "max_skew must be at least 1");
  return true;
}

/* The store does not announce when its next limits take effect, and a new leader cannot know
   whether they have. Records and transactions therefore always keep to the smaller sizes. */
static void
apply_next_limits (MhSettings *settings)
{
  if (settings->next_value_bytes)
    settings->value_bytes = MIN (settings->value_bytes, settings->next_value_bytes);
  if (settings->next_txn_ops)
    settings->txn_ops = MIN (settings->txn_ops, settings->next_txn_ops);
  settings->max_batch = CLAMP (settings->max_batch, MIN_TXN_OPS, settings->txn_ops);
}

static void
set_default_times (MhSettings *settings)
{
  /* Platform settings older than gang scheduling have neither gang_wait_s nor gang_peer_s. */
  if (settings->gang_wait_us == 0)
    settings->gang_wait_us = DEFAULT_GANG_WAIT_US;
  if (settings->gang_peer_us == 0)
    settings->gang_peer_us = DEFAULT_GANG_PEER_US;
  if (settings->silence_limit_us == 0)
    settings->silence_limit_us
        = MAX (3 * settings->heartbeat_interval_us + MH_SECOND_US, settings->worker_lease_us / 2);
}

bool
mh_settings_check (MhSettings *settings, GError **error)
{
  g_return_val_if_fail (settings != NULL, false);
  if (!check_identity (settings, error) || !check_teams (settings, error)
      || !check_positive_amounts (settings, error) || !check_ranges (settings, error))
    return false;
  apply_next_limits (settings);
  set_default_times (settings);
  return true;
}
