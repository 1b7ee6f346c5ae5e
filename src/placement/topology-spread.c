#include "placement/topology-spread.h"

#include <string.h>

MhSpreadConstraint
mh_topology_spread_constraint (const MhSettings *settings, const char *class_name)
{
  MhSpreadConstraint constraint = { .max_skew = settings->max_skew, .soft = settings->soft_spread };
  for (guint i = 0; i < settings->spread_rules->len; i++)
    {
      const MhSpreadRule *rule = g_ptr_array_index (settings->spread_rules, i);
      if (strcmp (rule->class_name, class_name) == 0)
        {
          constraint.max_skew = rule->max_skew;
          constraint.soft = rule->soft;
        }
    }
  return constraint;
}

bool
mh_topology_spread_allows_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew)
{
  guint min = zones[zone].count;
  for (guint i = 0; i < n_zones; i++)
    min = MIN (min, zones[i].count);
  return zones[zone].count - min < max_skew;
}

gint
mh_topology_spread_score_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew)
{
  guint min = zones[zone].count;
  for (guint i = 0; i < n_zones; i++)
    if (zones[i].feasible)
      min = MIN (min, zones[i].count);
  return (gint)(zones[zone].count - min) - (gint)max_skew;
}
