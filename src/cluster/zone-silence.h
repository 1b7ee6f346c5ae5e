/* What is heard from each zone as a whole, and which zones are taken for partitioned.

   When nothing comes from a zone with several machines, they will rather be cut off together than
   have failed one by one: they go on, and none is to be taken for failed. */
#pragma once

#include "cluster/cluster-types.h"

/** A zone of fewer machines says nothing as a whole. */
#define MH_LEAST_MACHINES_OF_ZONE 3u

/**
 * MhZone:
 * @name: interned, with a reference
 * @machines: that have reported to this leader, as of the last check of all machines
 * @last_message_us: when a worker there was last heard in any way
 * @last_report_us: when one last reported by itself; 0: none has
 * @partitioned_until_us: until when the zone is taken for partitioned, unless it is heard from
 *
 * Times are monotonic, in microseconds.
 */
typedef struct
{
  GRefString *name;
  guint machines;
  gint64 last_message_us, last_report_us, partitioned_until_us;
} MhZone;

/**
 * mh_zones_new:
 *
 * Returns: (transfer full) (element-type MhZone): no zones
 */
GArray *
mh_zones_new (void);

/**
 * mh_zone_find:
 * @cluster: the cluster
 * @name: (nullable): an interned name
 *
 * Returns: (transfer none) (nullable): the zone; %NULL: nothing has been heard from it
 */
MhZone *
mh_zone_find (const MhCluster *cluster, const GRefString *name);

/**
 * mh_zone_note_message:
 * @cluster: the cluster
 * @name: an interned name
 * @is_report: the worker sent it by itself
 *
 * A worker in the zone was heard.
 */
void
mh_zone_note_message (MhCluster *cluster, GRefString *name, bool is_report);

/**
 * mh_zone_any_heard:
 * @cluster: the cluster
 *
 * Returns: %TRUE if any worker has been heard in this leadership
 */
bool
mh_zone_any_heard (const MhCluster *cluster);

/**
 * mh_zone_is_partitioned:
 * @cluster: the cluster
 * @name: (nullable): an interned name
 *
 * Returns: %TRUE if the zone is taken for cut off
 */
bool
mh_zone_is_partitioned (const MhCluster *cluster, const GRefString *name);

/**
 * mh_zone_check_all:
 * @cluster: the cluster
 *
 * Finds the zones that are partitioned; their numbers of machines must be up to date.
 */
void
mh_zone_check_all (MhCluster *cluster);
