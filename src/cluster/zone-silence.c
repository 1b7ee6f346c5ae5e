#include "cluster/zone-silence.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"

/* A zone is partitioned when nothing has come from it for so long, for most of a report's interval
   (all may report at once), and while so many reports should have come. It stays so for a while
   when its machines have been given back. */
#define LEAST_SILENCE_US (2 * MH_SECOND_US)
#define MISSED_REPORTS 4
#define STAYS_PARTITIONED_US (30 * MH_SECOND_US)

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
  MhZone fresh = { .name = g_ref_string_acquire (name) };
  g_array_append_val (cluster->zones, fresh);
  return &g_array_index (cluster->zones, MhZone, cluster->zones->len - 1);
}

void
mh_zone_note_message (MhCluster *cluster, GRefString *name, bool is_report)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  MhZone *zone = find_or_add (cluster, name);
  if (now_us < zone->partitioned_until_us)
    mh_log_info (cluster->runtime, "zone heard from again zone=%s", zone->name);
  zone->last_message_us = now_us;
  zone->partitioned_until_us = 0;
  if (!is_report)
    return;
  zone->last_report_us = now_us;
  cluster->fruitless_transfers = 0;
}

bool
mh_zone_any_heard (const MhCluster *cluster)
{
  return cluster->zones->len > 0;
}

bool
mh_zone_is_partitioned (const MhCluster *cluster, const GRefString *name)
{
  const MhZone *zone = mh_zone_find (cluster, name);
  return zone && mh_runtime_now_us (cluster->runtime) < zone->partitioned_until_us;
}

/* Reports come from a zone as often as it has machines. When several should have come and none has,
   the zone is cut off. */
static bool
is_silent (const MhCluster *cluster, const MhZone *zone)
{
  gint64 report_us = cluster->settings->heartbeat_interval_us;
  gint64 expected_us
      = MAX (report_us * 4 / 5, MISSED_REPORTS * report_us / MAX (zone->machines, 1));
  return zone->machines >= MH_LEAST_MACHINES_OF_ZONE
         && mh_cluster_silence_us (cluster, zone->last_message_us)
                >= MAX (LEAST_SILENCE_US, expected_us);
}

void
mh_zone_check_all (MhCluster *cluster)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  for (guint i = 0; i < cluster->zones->len; i++)
    {
      MhZone *zone = &g_array_index (cluster->zones, MhZone, i);
      if (!is_silent (cluster, zone))
        continue;
      if (now_us >= zone->partitioned_until_us)
        mh_log_info (cluster->runtime, "zone silent, taken for partitioned zone=%s machines=%u",
                     zone->name, zone->machines);
      zone->partitioned_until_us = now_us + STAYS_PARTITIONED_US;
    }
}
