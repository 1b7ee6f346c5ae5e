/* Tracks when messages arrive from each zone, and which zones are considered partitioned.

   When no message arrives from a zone with several machines, it is more likely that the zone is
   partitioned than that all of its machines have failed. They keep running, and none of them is
   treated as failed before its worker's lease has expired. */
#pragma once

#include "cluster/cluster-types.h"

/** Silence of fewer machines than this does not indicate a partition. */
#define MH_MIN_PARTITION_MACHINES 3u

/**
 * MhZone:
 * @name: interned, with a reference
 * @machines: number of its machines that have reported to this leader, as of the last check of all
 * machines
 * @last_message_us: when the last message of any kind came from a worker in the zone
 * @last_heartbeat_us: when the last heartbeat came from there; 0: none has come
 * @partitioned_until_us: until when the zone is considered partitioned, unless a message arrives
 *
 * A zone from which at least one message has come. Times are monotonic, in microseconds.
 */
typedef struct
{
  GRefString *name;
  guint machines;
  gint64 last_message_us, last_heartbeat_us, partitioned_until_us;
} MhZone;

/**
 * mh_zones_new:
 *
 * Returns: (transfer full) (element-type MhZone): an empty array of zones
 */
GArray *
mh_zones_new (void);

/**
 * mh_zone_find:
 * @cluster: the cluster
 * @name: (nullable): an interned name
 *
 * Returns: (transfer none) (nullable): the zone; %NULL: no message has come from it
 */
MhZone *
mh_zone_find (const MhCluster *cluster, const GRefString *name);

/**
 * mh_zone_note_message:
 * @cluster: the cluster
 * @name: an interned name
 * @is_heartbeat: the message is a heartbeat, not a response to a probe or a direct command
 *
 * Notes that a message has come from a worker in the zone, which is then not partitioned.
 */
void
mh_zone_note_message (MhCluster *cluster, GRefString *name, bool is_heartbeat);

/**
 * mh_zone_has_any_message:
 * @cluster: the cluster
 *
 * Returns: %TRUE if a message has come from any worker in this leadership
 */
bool
mh_zone_has_any_message (const MhCluster *cluster);

/**
 * mh_zone_is_partitioned:
 * @cluster: the cluster
 * @name: (nullable): an interned name
 *
 * Returns: %TRUE if the zone is considered partitioned
 */
bool
mh_zone_is_partitioned (const MhCluster *cluster, const GRefString *name);

/**
 * mh_zone_update_partitions:
 * @cluster: the cluster
 *
 * Marks the zones that are partitioned. The machine counts of the zones must be up to date.
 */
void
mh_zone_update_partitions (MhCluster *cluster);
