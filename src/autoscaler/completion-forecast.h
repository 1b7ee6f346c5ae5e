/* When running tasks, and those that the demand plan has placed, are expected to end and leave
   their cpus to others. */
#pragma once

#include "cluster/machine-registry.h"

/**
 * MhCompletionForecast:
 *
 * Ends of tasks in the order of time, and which of their cpus are given away.
 */
typedef struct MhCompletionForecast MhCompletionForecast;

/**
 * MhForecastRequest:
 * @cpus: that one task needs
 * @tasks: how many tasks there are
 * @latest_us: steady time at which a task has to start at the latest
 * @hold_us: for how long a task that starts on such cpus keeps them, in microseconds
 *
 * Tasks that might wait for cpus that others leave.
 */
typedef struct
{
  double cpus;
  guint tasks;
  gint64 latest_us;
  gint64 hold_us;
} MhForecastRequest;

/**
 * mh_completion_forecast_new:
 *
 * Returns: (transfer full): a forecast in which nothing ends
 */
MhCompletionForecast *
mh_completion_forecast_new (void);

/**
 * mh_completion_forecast_free:
 * @forecast: (transfer full) (nullable): a forecast
 *
 * Frees it.
 */
void
mh_completion_forecast_free (MhCompletionForecast *forecast);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCompletionForecast, mh_completion_forecast_free)

/**
 * mh_completion_forecast_add_running:
 * @forecast: a forecast in which nothing ends yet
 * @machines: (element-type utf8 MhMachine): all machines
 * @now_us: steady time
 *
 * Adds the ends of all attempts on machines that stay. Services do not end.
 */
void
mh_completion_forecast_add_running (MhCompletionForecast *forecast, GHashTable *machines,
                                    gint64 now_us);

/**
 * mh_completion_forecast_add:
 * @forecast: a forecast
 * @at_us: steady time at which they are free
 * @cpus: that are free then
 *
 * Adds the end of tasks that the plan has placed.
 */
void
mh_completion_forecast_add (MhCompletionForecast *forecast, gint64 at_us, double cpus);

/**
 * mh_completion_forecast_reserve:
 * @forecast: a forecast
 * @request: tasks
 *
 * Gives cpus that others leave to as many of the tasks as can start in time, earliest ends first.
 * These tasks end in turn, after @request's hold_us, and leave the cpus again.
 *
 * Returns: how many tasks got cpus
 */
guint
mh_completion_forecast_reserve (MhCompletionForecast *forecast, const MhForecastRequest *request);
