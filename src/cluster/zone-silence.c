#include "cluster/zone-silence.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"

/* A zone is partitioned when no message has come from it for MIN_PARTITION_SILENCE_US, for most of
   a heartbeat interval (all its workers may send at the same time), and for the time in which
   MISSED_HEARTBEATS should have arrived. It stays partitioned for PARTITION_HOLD_US after it was
   last found silent, also when its machines have been released. */
#define MIN_PARTITION_SILENCE_US (2 * MH_SECOND_US)
#define MISSED_HEARTBEATS 4
#define PARTITION_HOLD_US (30 * MH_SECOND_US)

static void
zone_clear (gpointer data)
{
  MhZone *zone = data;
  g_ref_string_release (zone->name);
}

GArray *
mh_zones_new (void)
{
  GArray *zones = g_array_new (FALSE, TRUE, sizeof (MhZone));
  g_array_set_clear_func (zones, zone_clear);
  return zones;
}

MhZone *
mh_zone_find (const MhCluster *cluster, const GRefString *name)
{
  for (guint i = 0; i < cluster->zones->len; i++)
    {
      MhZone *zone = &g_array_index (cluster->zones, MhZone, i);
      if (zone->name == name)
        return zone;
    }
  return NULL;
}

static MhZone *
find_or_add (MhCluster *cluster, GRefString *name)
{
  MhZone *zone = mh_zone_find (cluster, name);
  if (zone)
    return zone;
  MhZone new_zone = { .name = g_ref_string_acquire (name) };
  g_array_append_val (cluster->zones, new_zone);
  return &g_array_index (cluster->zones, MhZone, cluster->zones->len - 1);
}

void
mh_zone_note_message (MhCluster *cluster, GRefString *name, bool is_heartbeat)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  MhZone *zone = find_or_add (cluster, name);
  if (now_us < zone->partitioned_until_us)
    mh_log_info (cluster->runtime, "zone reachable again zone=%s", zone->name);
  zone->last_message_us = now_us;
  zone->partitioned_until_us = 0;
  if (!is_heartbeat)
    return;
  zone->last_heartbeat_us = now_us;
  cluster->ineffective_transfers = 0;
}

bool
mh_zone_has_any_message (const MhCluster *cluster)
{
  return cluster->zones->len > 0;
}

bool
mh_zone_is_partitioned (const MhCluster *cluster, const GRefString *name)
{
  const MhZone *zone = mh_zone_find (cluster, name);
  return zone && mh_runtime_now_us (cluster->runtime) < zone->partitioned_until_us;
}

/* The more machines a zone has, the more heartbeats arrive from it, and the sooner their absence
   shows that the zone is partitioned. */
static bool
is_silent (const MhCluster *cluster, const MhZone *zone)
{
  gint64 interval_us = cluster->settings->heartbeat_interval_us;
  gint64 expected_us
      = MAX (interval_us * 4 / 5, MISSED_HEARTBEATS * interval_us / MAX (zone->machines, 1));
  return zone->machines >= MH_MIN_PARTITION_MACHINES
         && mh_cluster_silence_us (cluster, zone->last_message_us)
                >= MAX (MIN_PARTITION_SILENCE_US, expected_us);
}

void
mh_zone_update_partitions (MhCluster *cluster)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  for (guint i = 0; i < cluster->zones->len; i++)
    {
      MhZone *zone = &g_array_index (cluster->zones, MhZone, i);
      if (!is_silent (cluster, zone))
        continue;
      if (now_us >= zone->partitioned_until_us)
        mh_log_info (
            cluster->runtime,
            "zone considered partitioned, no messages from its workers zone=%s machines=%u",
            zone->name, zone->machines);
      zone->partitioned_until_us = now_us + PARTITION_HOLD_US;
    }
}
