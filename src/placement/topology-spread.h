/* The arithmetic of KEP-895 (Pod Topology Spread) and nothing else. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  const char *name;
  guint count;   /* matching tasks */
  bool feasible; /* some machine there could take the task */
} MhZoneCount;

bool
mh_spread_hard_fits (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
/* Lowest ranks first. */
gint
mh_spread_soft_score (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
