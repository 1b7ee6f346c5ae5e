#include "jobs/objective.h"

/* A job that can no longer meet its deadline or any objective counts as due this long after its
   last due time, so that it goes behind jobs that can, but does not wait for ever. */
#define MISSED_OBJECTIVE_DELAY_US (180 * MH_SECOND_US)
/* A job without a deadline and without an objective for its end is due this long after its
   submission. */
#define DEFAULT_DUE_US (600 * MH_SECOND_US)
/* Slack of a start to which no objective applies, and the largest slack of any start. */
#define DEFAULT_SLACK_US (60 * MH_SECOND_US)
/* Slack of a start within the team's quota, if the settings have no objective for quotas. */
#define QUOTA_SLACK_US (3 * MH_SECOND_US)

/* Returns the time by which the job must be done to meet the objective; 0 if the objective sets
   none. For a gang, an objective for the start counts too, as an end one run later: with
   objectives for the end alone, gangs waited behind arrays whose ends were due earlier. */
static gint64
due_us (const MhJob *job, const MhObjective *objective, gint64 run_us)
{
  const MhJobSpec *spec = job->spec;
  gint64 due_at_us = job->submitted_us + objective->within_us;
  if (g_strcmp0 (objective->class_name, spec->class_name) != 0)
    return 0;
  if (objective->kind == MH_OBJECTIVE_FINISHED)
    return due_at_us;
  if (objective->kind == MH_OBJECTIVE_WAIT && spec->shape == MH_SHAPE_GANG)
    return due_at_us + run_us;
  return 0;
}

/* The range of times at which a job is due. */
typedef struct
{
  gint64 first_us; /* by the earliest objective that can still be met; G_MAXINT64: none */
  gint64 last_us;  /* by the latest objective; 0: the job has none */
} DueTimes;

static DueTimes
due_by_objectives (const MhSettings *settings, const MhJob *job, gint64 run_us,
                   gint64 earliest_end_us)
{
  DueTimes due = { .first_us = G_MAXINT64 };
  for (guint i = 0; i < settings->objectives->len; i++)
    {
      gint64 due_at_us = due_us (job, g_ptr_array_index (settings->objectives, i), run_us);
      if (due_at_us == 0)
        continue;
      due.last_us = MAX (due.last_us, due_at_us);
      if (due_at_us >= earliest_end_us)
        due.first_us = MIN (due.first_us, due_at_us);
    }
  return due;
}

MhStartTarget
mh_objective_latest_start (const MhSettings *settings, const MhJob *job, gint64 expected_us,
                           gint64 run_us, gint64 now_us)
{
  DueTimes due;
  if (job->spec->deadline_us >= 0)
    due.first_us = due.last_us = job->submitted_us + job->spec->deadline_us;
  else
    due = due_by_objectives (settings, job, run_us, now_us + expected_us);
  if (due.last_us == 0)
    due.first_us = job->submitted_us + DEFAULT_DUE_US;
  bool missed
      = due.last_us != 0 && (due.first_us == G_MAXINT64 || due.first_us - expected_us < now_us);
  if (missed)
    due.first_us = MIN (due.first_us, due.last_us) + MISSED_OBJECTIVE_DELAY_US;
  return (MhStartTarget){ .at_us = due.first_us - expected_us, .missed = missed };
}

static bool
applies_to (const MhObjective *objective, const MhJob *job)
{
  if (objective->kind == MH_OBJECTIVE_WAIT)
    return g_strcmp0 (objective->class_name, job->spec->class_name) == 0;
  return objective->kind == MH_OBJECTIVE_GUARANTEE && job->placement.guaranteed;
}

gint64
mh_objective_slack_us (const MhSettings *settings, const MhJob *job, gint64 now_us)
{
  gint64 waited_us = now_us - job->submitted_us, slack_us = DEFAULT_SLACK_US;
  bool quota_has_objective = false;
  for (guint i = 0; i < settings->objectives->len; i++)
    {
      const MhObjective *objective = g_ptr_array_index (settings->objectives, i);
      quota_has_objective |= objective->kind == MH_OBJECTIVE_GUARANTEE;
      if (applies_to (objective, job) && waited_us < objective->within_us)
        slack_us = MIN (slack_us, objective->within_us - waited_us);
    }
  if (job->placement.guaranteed && !quota_has_objective)
    slack_us = MIN (slack_us, QUOTA_SLACK_US);
  return slack_us;
}
