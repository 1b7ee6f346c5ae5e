#include "autoscaler/completion-forecast.h"
#include "cluster/attempt.h"
#include "placement/resources.h"

/* CPUs that are expected to become free at a time. */
typedef struct
{
  gint64 at_us;
  double cpus;
} Completion;

struct MhCompletionForecast
{
  GArray *completions; /* Completion, ordered by time */
  guint next;          /* index of the first completion whose CPUs are not in free_cpus yet */
  double free_cpus;    /* of the completions before next, not reserved */
};

MhCompletionForecast *
mh_completion_forecast_new (void)
{
  MhCompletionForecast *forecast = g_new0 (MhCompletionForecast, 1);
  forecast->completions = g_array_new (FALSE, FALSE, sizeof (Completion));
  return forecast;
}

void
mh_completion_forecast_free (MhCompletionForecast *forecast)
{
  if (forecast == NULL)
    return;
  g_array_unref (forecast->completions);
  g_free (forecast);
}

static gint
compare_end_times (gconstpointer first, gconstpointer second)
{
  gint64 first_us = ((const Completion *)first)->at_us;
  gint64 second_us = ((const Completion *)second)->at_us;
  return first_us < second_us ? -1 : first_us > second_us;
}

static gint64
get_expected_end_us (const MhAttempt *attempt, gint64 now_us)
{
  const MhJob *job = attempt->job;
  gint64 run_us = job->placement.expected_run_us;
  gint64 remaining_us = attempt->running_since_us ? run_us - (now_us - attempt->running_since_us)
                                                  : run_us + job->placement.expected_fetch_us
                                                        - (now_us - attempt->placed_us);
  /* At least a quarter of the estimated run time is expected to remain, so that an attempt that
     exceeds its estimate is not expected to end at once. */
  return now_us + MAX (remaining_us, run_us / 4);
}

static void
add_attempts (MhCompletionForecast *forecast, const MhMachine *machine, gint64 now_us)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      const MhJobSpec *spec = attempt->job->spec;
      if (spec->shape == MH_SHAPE_SERVICE)
        continue;
      Completion completion
          = { .at_us = get_expected_end_us (attempt, now_us), .cpus = spec->cpus };
      g_array_append_val (forecast->completions, completion);
    }
}

void
mh_completion_forecast_add_running (MhCompletionForecast *forecast, GHashTable *machines,
                                    gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_return_if_fail (forecast != NULL);
  g_hash_table_iter_init (&iter, machines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MhMachine *machine = value;
      if (!mh_machine_is_releasing (machine) && machine->heartbeat.reported
          && machine->notice_deadline_us < 0)
        add_attempts (forecast, machine, now_us);
    }
  g_array_sort (forecast->completions, compare_end_times);
}

void
mh_completion_forecast_add_completion (MhCompletionForecast *forecast, gint64 at_us, double cpus)
{
  g_return_if_fail (forecast != NULL);
  Completion completion = { .at_us = at_us, .cpus = cpus };
  guint from = forecast->next, until = forecast->completions->len;
  while (from < until)
    {
      guint middle = (from + until) / 2;
      if (g_array_index (forecast->completions, Completion, middle).at_us < at_us)
        from = middle + 1;
      else
        until = middle;
    }
  g_array_insert_val (forecast->completions, from, completion);
}

guint
mh_completion_forecast_reserve (MhCompletionForecast *forecast, const MhForecastRequest *request)
{
  g_return_val_if_fail (forecast != NULL, 0);
  guint reserved = 0;
  while (reserved < request->tasks)
    {
      guint fitting = mh_resources_count_slots_of_one (forecast->free_cpus, request->cpus,
                                                       request->tasks - reserved);
      if (fitting)
        {
          forecast->free_cpus -= request->cpus * fitting;
          reserved += fitting;
          continue;
        }
      if (forecast->next >= forecast->completions->len)
        break;
      const Completion next = g_array_index (forecast->completions, Completion, forecast->next);
      if (next.at_us > request->latest_us)
        break;
      forecast->free_cpus += next.cpus;
      forecast->next++;
      /* The CPUs become free again when the task that reserves them ends. */
      mh_completion_forecast_add_completion (forecast, next.at_us + request->hold_us, next.cpus);
    }
  return reserved;
}
