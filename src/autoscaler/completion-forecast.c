#include "autoscaler/completion-forecast.h"
#include "cluster/attempt.h"
#include "placement/resources.h"

/* Cpus that are expected to be free from a time on. */
typedef struct
{
  gint64 at_us;
  double cpus;
} Completion;

struct MhCompletionForecast
{
  GArray *completions; /* Completion, by time */
  guint next;          /* earlier ones have been given away, or are in free_cpus */
  double free_cpus;    /* of earlier ones, and not given away */
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
compare_times (gconstpointer first, gconstpointer second)
{
  gint64 first_us = ((const Completion *)first)->at_us;
  gint64 second_us = ((const Completion *)second)->at_us;
  return first_us < second_us ? -1 : first_us > second_us;
}

static gint64
expected_end_us (const MhAttempt *attempt, gint64 now_us)
{
  const MhJob *job = attempt->job;
  gint64 run_us = job->placement.expected_run_us;
  gint64 left_us = attempt->running_since_us
                       ? run_us - (now_us - attempt->running_since_us)
                       : run_us + job->placement.expected_fetch_us - (now_us - attempt->placed_us);
  /* One that has outrun its estimate goes on for a part of it. */
  return now_us + MAX (left_us, run_us / 4);
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
      Completion completion = { .at_us = expected_end_us (attempt, now_us), .cpus = spec->cpus };
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
  g_array_sort (forecast->completions, compare_times);
}

void
mh_completion_forecast_add (MhCompletionForecast *forecast, gint64 at_us, double cpus)
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
      /* The task that takes the cpus leaves them again. */
      mh_completion_forecast_add (forecast, next.at_us + request->hold_us, next.cpus);
    }
  return reserved;
}
