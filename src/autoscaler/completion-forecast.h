/* A forecast of when tasks end and free their CPUs. It covers the tasks on machines and those that
   the demand plan has assigned. */
#pragma once

#include "cluster/machine-registry.h"

/**
 * MhCompletionForecast:
 *
 * The expected ends of tasks, ordered by time, and the CPUs that are reserved after these ends.
 */
typedef struct MhCompletionForecast MhCompletionForecast;

/**
 * MhForecastRequest:
 * @cpus: CPUs that one task needs
 * @tasks: number of tasks
 * @latest_us: latest monotonic time at which a task may start, in microseconds
 * @hold_us: how long a task occupies the CPUs once it has them, in microseconds
 *
 * Tasks that might wait for CPUs that other tasks free.
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
 * Returns: (transfer full): an empty forecast
 */
MhCompletionForecast *
mh_completion_forecast_new (void);

/**
 * mh_completion_forecast_free:
 * @forecast: (transfer full) (nullable): a forecast
 */
void
mh_completion_forecast_free (MhCompletionForecast *forecast);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCompletionForecast, mh_completion_forecast_free)

/**
 * mh_completion_forecast_add_running:
 * @forecast: an empty forecast
 * @machines: (element-type utf8 MhMachine): all machines
 * @now_us: current monotonic time, in microseconds
 *
 * Adds the expected ends of the attempts on machines that have reported to this leader, are not
 * being released and have no preemption notice. Attempts of services are left out, since they do
 * not end.
 */
void
mh_completion_forecast_add_running (MhCompletionForecast *forecast, GHashTable *machines,
                                    gint64 now_us);

/**
 * mh_completion_forecast_add_completion:
 * @forecast: a forecast
 * @at_us: monotonic time at which the CPUs become free, in microseconds
 * @cpus: CPUs that become free at that time
 *
 * Adds the expected end of tasks that the plan has assigned.
 */
void
mh_completion_forecast_add_completion (MhCompletionForecast *forecast, gint64 at_us, double cpus);

/**
 * mh_completion_forecast_reserve:
 * @forecast: a forecast
 * @request: tasks that might wait for other tasks to end
 *
 * Reserves CPUs that become free for as many of the tasks as can start in time, beginning with the
 * earliest ends. The CPUs become free again after @request's hold_us, when these tasks end.
 *
 * Returns: the number of tasks for which CPUs were reserved
 */
guint
mh_completion_forecast_reserve (MhCompletionForecast *forecast, const MhForecastRequest *request);
