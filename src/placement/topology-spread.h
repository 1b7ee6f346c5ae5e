/* Topology spread of services over zones: the arithmetic of KEP-895 (Pod Topology Spread
   Constraints) and nothing else. */
#pragma once

#include "settings/settings.h"

/**
 * MhZoneCount:
 * @name: the zone's name; interned where zones are compared by address
 * @count: matching tasks there
 * @feasible: some machine there passes all other filters
 *
 * A topology domain of KEP-895.
 */
typedef struct
{
  const char *name;
  guint count;
  bool feasible;
} MhZoneCount;

/**
 * MhSpreadConstraint:
 * @max_skew: MaxSkew of KEP-895
 * @soft: whether a zone that violates it is only ranked lower (ScheduleAnyway) or refused
 * (DoNotSchedule)
 */
typedef struct
{
  guint max_skew;
  bool soft;
} MhSpreadConstraint;

/**
 * mh_topology_spread_constraint:
 * @settings: the settings
 * @class_name: a job's class
 *
 * Returns: the constraint for the class; where it has none of its own, that for all
 */
MhSpreadConstraint
mh_topology_spread_constraint (const MhSettings *settings, const char *class_name);

/**
 * mh_topology_spread_allows_zone:
 * @zones: all zones that count, feasible or not
 * @n_zones: how many
 * @zone: index of the zone in which a task would be placed
 * @max_skew: MaxSkew
 *
 * KEP-895, "MaxSkew": matching num - min matching num < maxSkew. An infeasible zone still enters
 * the minimum.
 *
 * Returns: whether the hard constraint allows one more task in the zone
 */
bool
mh_topology_spread_allows_zone (const MhZoneCount *zones, guint n_zones, guint zone,
                                guint max_skew);

/**
 * mh_topology_spread_score_zone:
 * @zones: all zones that count
 * @n_zones: how many
 * @zone: index of the zone in which a task would be placed
 * @max_skew: MaxSkew
 *
 * KEP-895, "Priority": the minimum is taken over the zones that passed the other filters.
 *
 * Returns: the score of the soft constraint; lowest scores rank first
 */
gint
mh_topology_spread_score_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
