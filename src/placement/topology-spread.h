/* Topology spread of services over zones: the constraint of a class, and the arithmetic of KEP-895
   (Pod Topology Spread Constraints). */
#pragma once

#include "settings/settings.h"

/**
 * MhZoneCount:
 * @name: the zone's name; interned where zones are compared by address
 * @count: number of matching tasks in the zone
 * @feasible: whether a machine in the zone passes all other filters
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
 * @soft: %TRUE: a zone that violates the constraint is ranked lower (ScheduleAnyway); %FALSE: it is
 * refused (DoNotSchedule)
 *
 * A topology spread constraint of KEP-895, with the zone as its topology key.
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
 * Returns: the constraint for the class, or the default if the settings have none for the class
 */
MhSpreadConstraint
mh_topology_spread_constraint (const MhSettings *settings, const char *class_name);

/**
 * mh_topology_spread_allows_zone:
 * @zones: all counted zones, feasible or not
 * @n_zones: number of zones
 * @zone: index of the zone in which a task would be placed
 * @max_skew: MaxSkew
 *
 * KEP-895, "MaxSkew": matching num - min matching num < maxSkew. Infeasible zones are included in
 * the minimum.
 *
 * Returns: whether the hard constraint allows one more task in the zone
 */
bool
mh_topology_spread_allows_zone (const MhZoneCount *zones, guint n_zones, guint zone,
                                guint max_skew);

/**
 * mh_topology_spread_score_zone:
 * @zones: all counted zones
 * @n_zones: number of zones
 * @zone: index of the zone in which a task would be placed
 * @max_skew: MaxSkew
 *
 * KEP-895, "Priority": the minimum is taken over the zones that passed the other filters.
 *
 * Returns: the zone's score for the soft constraint; the lowest score ranks first
 */
gint
mh_topology_spread_score_zone (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
