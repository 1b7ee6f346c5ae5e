/* What cases 4 to 8 share beside harness.h: a cloud with one type of machine, whose boot time,
   prices and capacity are those of a site. */
#pragma once

#include "harness.h"

/**
 * SiteCloud:
 * @type: name of the only type of machine; "small" (4 CPUs, 8 GB) or "large" (16 CPUs, 64 GB)
 * @zones: number of zones, which are named a, b, ...
 * @boot_s: boot time, as the cloud states it
 * @hourly: price of an ordinary machine
 * @spot_price: price of a cheap one
 * @capacity: machines of a kind that may exist in each zone
 * @spot_capacity: the same, of cheap ones
 * @only_first_zone: there is capacity in zone a only
 */
typedef struct
{
  const char *type;
  guint zones;
  double boot_s, hourly, spot_price;
  guint capacity, spot_capacity;
  bool only_first_zone;
} SiteCloud;

/** site_cloud: of this case; set before site_start () */
extern SiteCloud site_cloud;

/** site_start: As harness_start (), with workers that report every @report_us, give or take a
 * quarter. */
LoopbackCluster *
site_start (int argc, char **argv, const char *settings, gint64 report_us);
/** site_count_machines: Returns: how many machines of that kind exist in the zone */
guint
site_count_machines (LoopbackCluster *cluster, const char *zone, bool spot);
/** site_set_boot: How long machines that are rented from now on take to boot, in seconds. */
void
site_set_boot (LoopbackCluster *cluster, double seconds);
/** site_new_job: Returns: (transfer full): a job of the site's kind, to be changed and submitted */
MhJobSpec *
site_new_job (const char *id, const char *class_name, const char *team, MhShape shape, guint tasks);
/** site_submit: Submits a job until it is accepted; gives up after five tries. @run_s: how long its
 * tasks really run; 0: until they are stopped */
void
site_submit (LoopbackCluster *cluster, MhJobSpec *spec, double run_s);
/** site_wait_running: Waits until that many tasks of the job run, or gives up. */
void
site_wait_running (LoopbackCluster *cluster, const char *job, guint tasks, double max_s);
