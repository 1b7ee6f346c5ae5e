#include "controller/core-private.h"

/* KEP-895, "MaxSkew": matching num - min matching num < maxSkew. An infeasible zone still enters
   the minimum of the hard rule. */
bool
mh_topology_spread_allows_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew)
{
  guint min = zones[zone].count;
  for (guint i = 0; i < n_zones; i++)
    min = MIN (min, zones[i].count);
  return zones[zone].count - min < max_skew;
}

/* KEP-895, "Priority": the minimum is taken over zones that passed the other filters. */
gint
mh_topology_spread_score_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew)
{
  guint min = zones[zone].count;
  for (guint i = 0; i < n_zones; i++)
    if (zones[i].feasible)
      min = MIN (min, zones[i].count);
  return (gint)(zones[zone].count - min) - (gint)max_skew;
}
