#include "server/loop-monitor.h"

#include "server/main-loop-priority.h"

/* Never ready: only its callbacks before and after each poll matter. */
struct MhLoopMonitor
{
  GSource source;
  gint64 started_us;
  gint64 polled_us; /* when the last poll returned; 0: none did */
  gint64 busy_us;
  gint64 longest_us;
};

static gboolean
prepare (GSource *source, gint *timeout_ms)
{
  MhLoopMonitor *monitor = (MhLoopMonitor *)source;
  *timeout_ms = -1;
  if (monitor->polled_us)
    {
      gint64 iteration_us = g_get_monotonic_time () - monitor->polled_us;
      monitor->busy_us += iteration_us;
      monitor->longest_us = MAX (monitor->longest_us, iteration_us);
    }
  monitor->polled_us = 0;
  return FALSE;
}

static gboolean
check (GSource *source)
{
  ((MhLoopMonitor *)source)->polled_us = g_source_get_time (source);
  return FALSE;
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user_data)
{
  (void)source;
  (void)callback;
  (void)user_data;
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs monitor_funcs = { .prepare = prepare, .check = check, .dispatch = dispatch };

MhLoopMonitor *
mh_loop_monitor_new (void)
{
  MhLoopMonitor *monitor = (MhLoopMonitor *)g_source_new (&monitor_funcs, sizeof (MhLoopMonitor));
  monitor->started_us = g_get_monotonic_time ();
  g_source_set_priority (&monitor->source, MH_PRIORITY_MONITOR);
  g_source_attach (&monitor->source, NULL);
  return monitor;
}

void
mh_loop_monitor_free (MhLoopMonitor *monitor)
{
  if (monitor == NULL)
    return;
  g_source_destroy (&monitor->source);
  g_source_unref (&monitor->source);
}

MhLoopStats
mh_loop_monitor_get_stats (const MhLoopMonitor *monitor)
{
  g_return_val_if_fail (monitor != NULL, (MhLoopStats){ 0 });
  gint64 elapsed_us = g_get_monotonic_time () - monitor->started_us;
  double busy_share = elapsed_us > 0 ? (double)monitor->busy_us / (double)elapsed_us : 0;
  return (MhLoopStats){ .busy_share = busy_share, .longest_iteration_us = monitor->longest_us };
}

void
mh_loop_monitor_reset (MhLoopMonitor *monitor)
{
  g_return_if_fail (monitor != NULL);
  monitor->started_us = g_get_monotonic_time ();
  monitor->busy_us = 0;
  monitor->longest_us = 0;
}
