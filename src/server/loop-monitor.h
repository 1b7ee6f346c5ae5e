/* Measures how busy the main loop is. */
#pragma once

#include <glib.h>

/** MhLoopMonitor: measures the time that the main loop spends outside of its poll */
typedef struct MhLoopMonitor MhLoopMonitor;

/**
 * mh_loop_monitor_new:
 *
 * Returns: (transfer full): a monitor of the default main context
 */
MhLoopMonitor *
mh_loop_monitor_new (void);

/**
 * mh_loop_monitor_free:
 * @monitor: (transfer full) (nullable): a monitor
 */
void
mh_loop_monitor_free (MhLoopMonitor *monitor);

/**
 * MhLoopStats:
 * @busy_share: part of the time that the main loop spent outside of its poll, from 0 to 1
 * @longest_iteration_us: the longest time between two polls, in microseconds
 *
 * Measurements since the last mh_loop_monitor_reset ().
 */
typedef struct
{
  double busy_share;
  gint64 longest_iteration_us;
} MhLoopStats;

/**
 * mh_loop_monitor_get_stats:
 * @monitor: a monitor
 *
 * Returns: the measurements
 */
MhLoopStats
mh_loop_monitor_get_stats (const MhLoopMonitor *monitor);

/**
 * mh_loop_monitor_reset:
 * @monitor: a monitor
 *
 * Begins the measurements anew.
 */
void
mh_loop_monitor_reset (MhLoopMonitor *monitor);
