// Reads the platform's settings file with toml++, a C++ library: Debian has no maintained TOML
// library that is closer to C. This is the only C++ file, so that the rest can stay C.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <cmath>
#include <string>

extern "C"
{
#include "settings/platform-file.h"
}

namespace
{
using Node = toml::node_view<toml::node>;

// Limits that no platform comes near. A time at or above its limit is read as 0, other
// values are lowered to their limit.
constexpr double max_seconds = 1e9;
constexpr double max_value_kb = 65536.0;
constexpr double max_txn_ops = 1000.0;
constexpr double max_ram_mb = 1e9;
constexpr double max_connections = 1e6;
constexpr double bytes_per_kb = 1024.0;
constexpr double bytes_per_mb = 1024.0 * 1024.0;

char *
read_text (Node node)
{
  auto text = node.value<std::string> ();
  return text ? g_strdup (text->c_str ()) : nullptr;
}

double
read_number (Node node)
{
  auto number = node.value<double> ();
  return number && std::isfinite (*number) ? *number : 0.0;
}

// A limit that is 0 or missing means no limit. When it was read as a limit of 0, every job of a
// guest team was refused permanently (status 422).
double
read_limit (Node node)
{
  double number = read_number (node);
  return number == 0.0 ? HUGE_VAL : number;
}

gint64
read_time (Node node)
{
  double seconds = read_number (node);
  return seconds > 0 && seconds < max_seconds ? (gint64)(seconds * 1e6) : 0;
}

guint
read_value_bytes (Node node)
{
  return (guint)(CLAMP (read_number (node), 0.0, max_value_kb) * bytes_per_kb);
}

guint
read_txn_ops (Node node)
{
  return (guint)CLAMP (read_number (node), 0.0, max_txn_ops);
}

template <typename Function>
void
for_each_table (Node node, Function function)
{
  if (auto *list = node.as_array ())
    for (auto &item : *list)
      if (auto *table = item.as_table ())
        function (Node (*table));
}

void
read_identity (Node root, MhSettings *settings)
{
  settings->node_name = read_text (root["node_name"]);
  settings->zone = read_text (root["zone"]);
  settings->front = read_text (root["front"]);
  settings->peer_bind = read_text (root["peer_bind"]);
  settings->cloud = read_text (root["endpoints"]["cloud"]);
  settings->key_value_store = read_text (root["endpoints"]["state"]);
}

void
read_member (Node node, MhSettings *settings)
{
  MhMember *member = g_new0 (MhMember, 1);
  member->name = read_text (node["node_name"]);
  member->zone = read_text (node["zone"]);
  member->endpoint = read_text (node["endpoint"]);
  g_ptr_array_add (settings->members, member);
}

void
read_team (Node node, MhSettings *settings)
{
  MhTeam *team = g_new0 (MhTeam, 1);
  team->name = read_text (node["name"]);
  team->cpus = read_number (node["cpus"]);
  team->cpus_max = read_limit (node["cpus_max"]);
  team->gpus = read_number (node["gpus"]);
  team->gpus_max = read_limit (node["gpus_max"]);
  g_ptr_array_add (settings->teams, team);
}

bool
parse_objective_kind (const std::string &name, MhObjectiveKind *kind)
{
  if (name == "wait")
    *kind = MH_OBJECTIVE_WAIT;
  else if (name == "finished")
    *kind = MH_OBJECTIVE_FINISHED;
  else if (name == "deadline")
    *kind = MH_OBJECTIVE_DEADLINE;
  else if (name == "guarantee")
    *kind = MH_OBJECTIVE_GUARANTEE;
  else
    return false;
  return true;
}

void
read_objective (Node node, MhSettings *settings)
{
  MhObjectiveKind kind;
  if (!parse_objective_kind (node["kind"].value<std::string> ().value_or (""), &kind))
    return;
  MhObjective *objective = g_new0 (MhObjective, 1);
  objective->kind = kind;
  objective->class_name = read_text (node["class"]);
  objective->within_us = read_time (node["within_s"]);
  g_ptr_array_add (settings->objectives, objective);
}

void
read_workers (Node workers, MhSettings *settings)
{
  settings->heartbeat_interval_us = read_time (workers["report_s"]);
  settings->worker_lease_us = read_time (workers["lease_s"]);
  settings->cancel_limit_us = read_time (workers["cancel_s"]);
  settings->gang_wait_us = read_time (workers["gang_wait_s"]);
  settings->gang_peer_us = read_time (workers["gang_peer_s"]);
}

void
read_key_value_store (Node state, MhSettings *settings)
{
  settings->store_rps = read_number (state["rps"]);
  settings->store_write_rps = read_number (state["write_rps"]);
  settings->value_bytes = read_value_bytes (state["value_kb"]);
  settings->txn_ops = read_txn_ops (state["txn_ops"]);
  Node next = state["next"];
  settings->next_write_rps = MAX (read_number (next["write_rps"]), 0.0);
  settings->next_value_bytes = read_value_bytes (next["value_kb"]);
  settings->next_txn_ops = read_txn_ops (next["txn_ops"]);
}

void
read_resources (Node resources, MhSettings *settings)
{
  double core_share = read_number (resources["core_share"]);
  if (core_share > 0)
    settings->core_share = core_share;
  settings->memory_bytes
      = (gint64)(CLAMP (read_number (resources["ram_mb"]), 0.0, max_ram_mb) * bytes_per_mb);
  double connections = read_number (resources["max_connections"]);
  if (connections >= 1)
    settings->max_connections = (guint)MIN (connections, max_connections);
}
}

extern "C" bool
mh_platform_file_read (const char *path, MhSettings *settings, GError **error)
{
  auto result = toml::parse_file (path);
  if (!result)
    {
      std::string problem (result.error ().description ());
      g_set_error (error, MH_SETTINGS_ERROR, MH_SETTINGS_ERROR_FILE, "%s: %s (line %u)", path,
                   problem.c_str (), (guint)result.error ().source ().begin.line);
      return false;
    }
  Node root (result.table ());
  read_identity (root, settings);
  for_each_table (root["members"], [=] (Node node) { read_member (node, settings); });
  Node platform = root["settings"];
  for_each_table (platform["teams"], [=] (Node node) { read_team (node, settings); });
  for_each_table (platform["objectives"], [=] (Node node) { read_objective (node, settings); });
  read_workers (platform["workers"], settings);
  read_key_value_store (platform["state"], settings);
  settings->cloud_rps = read_number (platform["cloud"]["rps"]);
  settings->list_lag_us = read_time (platform["cloud"]["list_lag_s"]);
  read_resources (platform["resources"], settings);
  return true;
}
