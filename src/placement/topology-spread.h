/* The arithmetic of KEP-895 (Pod Topology Spread) and nothing else. */
#pragma once

#include "protocol/types.h"

typedef struct
{
  const char *name;
  guint count;   /* matching tasks */
  bool feasible; /* some machine there could take the task */
} MhZoneCount;

bool
mh_topology_spread_allows_zone (const MhZoneCount *zones, guint n_zones, guint zone,
                                guint max_skew);
/* Lowest ranks first. */
gint
mh_topology_spread_score_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
