// The platform's settings file. toml++ is the nearest kept TOML library that Debian has; this file
// alone is C++, so that the rest can stay C.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <cmath>
#include <sstream>

extern "C"
{
#include "settings/settings.h"
}

namespace
{
char *
text (toml::node_view<toml::node> v)
{
  auto s = v.value<std::string> ();
  return s ? g_strdup (s->c_str ()) : nullptr;
}

double
number (toml::node_view<toml::node> v)
{
  auto d = v.value<double> ();
  return d && std::isfinite (*d) ? *d : 0.0;
}

// A limit of 0, or none given, is no limit. Read as "nothing at all", every job of a guest team was
// refused for ever (422).
double
limit (toml::node_view<toml::node> v)
{
  double d = number (v);
  return d == 0.0 ? HUGE_VAL : d;
}

gint64
micros (toml::node_view<toml::node> v)
{
  double d = number (v);
  return d > 0 && d < 1e9 ? (gint64)(d * 1e6) : 0;
}

template <typename Each>
void
each_table (toml::node_view<toml::node> v, Each each)
{
  if (auto *list = v.as_array ())
    for (auto &node : *list)
      if (auto *table = node.as_table ())
        each (*table);
}
}

extern "C" bool
mh_toml_read (const char *path, MhSettings *s, char **problem)
{
  auto result = toml::parse_file (path);
  if (!result)
    {
      std::ostringstream out;
      out << result.error ().description () << " (line " << result.error ().source ().begin.line
          << ")";
      *problem = g_strdup (out.str ().c_str ());
      return false;
    }
  toml::table &t = result.table ();
  toml::node_view<toml::node> root (t);
  s->node = text (root["node_name"]);
  s->zone = text (root["zone"]);
  s->front = text (root["front"]);
  s->peer_bind = text (root["peer_bind"]);
  s->cloud = text (root["endpoints"]["cloud"]);
  s->state = text (root["endpoints"]["state"]);
  each_table (root["members"], [s] (toml::table &m) {
    toml::node_view<toml::node> v (m);
    MhMember *member = g_new0 (MhMember, 1);
    member->name = text (v["node_name"]);
    member->zone = text (v["zone"]);
    member->endpoint = text (v["endpoint"]);
    g_ptr_array_add (s->members, member);
  });

  auto p = root["settings"];
  each_table (p["teams"], [s] (toml::table &m) {
    toml::node_view<toml::node> v (m);
    MhTeam *team = g_new0 (MhTeam, 1);
    team->name = text (v["name"]);
    team->cpus = number (v["cpus"]);
    team->cpus_max = limit (v["cpus_max"]);
    team->gpus = number (v["gpus"]);
    team->gpus_max = limit (v["gpus_max"]);
    g_ptr_array_add (s->teams, team);
  });
  each_table (p["objectives"], [s] (toml::table &m) {
    toml::node_view<toml::node> v (m);
    auto kind = v["kind"].value<std::string> ().value_or ("");
    MhObjectiveKind k;
    if (kind == "wait")
      k = MH_OBJECTIVE_WAIT;
    else if (kind == "finished")
      k = MH_OBJECTIVE_FINISHED;
    else if (kind == "deadline")
      k = MH_OBJECTIVE_DEADLINE;
    else if (kind == "guarantee")
      k = MH_OBJECTIVE_GUARANTEE;
    else
      return;
    MhObjective *o = g_new0 (MhObjective, 1);
    o->kind = k;
    o->class_name = text (v["class"]);
    o->within_us = micros (v["within_s"]);
    g_ptr_array_add (s->objectives, o);
  });
  s->report_us = micros (p["workers"]["report_s"]);
  s->worker_lease_us = micros (p["workers"]["lease_s"]);
  s->cancel_us = micros (p["workers"]["cancel_s"]);
  s->state_rps = number (p["state"]["rps"]);
  s->state_write_rps = number (p["state"]["write_rps"]);
  s->value_bytes = (guint)(CLAMP (number (p["state"]["value_kb"]), 0.0, 65536.0) * 1024);
  s->txn_ops = (guint)CLAMP (number (p["state"]["txn_ops"]), 0.0, 1000.0);
  auto next = p["state"]["next"];
  s->next_write_rps = MAX (number (next["write_rps"]), 0.0);
  s->next_value_bytes = (guint)(CLAMP (number (next["value_kb"]), 0.0, 65536.0) * 1024);
  s->next_txn_ops = (guint)CLAMP (number (next["txn_ops"]), 0.0, 1000.0);
  s->gang_wait_us = micros (p["workers"]["gang_wait_s"]);
  s->gang_peer_us = micros (p["workers"]["gang_peer_s"]);
  s->cloud_rps = number (p["cloud"]["rps"]);
  s->list_lag_us = micros (p["cloud"]["list_lag_s"]);
  double share = number (p["resources"]["core_share"]);
  if (share > 0)
    s->core_share = share;
  s->memory_bytes = (gint64)(CLAMP (number (p["resources"]["ram_mb"]), 0.0, 1e9) * 1024 * 1024);
  double connections = number (p["resources"]["max_connections"]);
  if (connections >= 1)
    s->max_connections = (guint)MIN (connections, 1e6);
  return true;
}
