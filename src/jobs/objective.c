#include "jobs/objective.h"

/* Jobs that can meet no objective any more count as due this much later: behind those that can, but
   not for ever. */
#define MISSED_DELAY_US (180 * MH_SECOND_US)
/* Of a job without any objective. */
#define DEFAULT_DUE_US (600 * MH_SECOND_US)
#define DEFAULT_SLACK_US (60 * MH_SECOND_US)
/* Where the quota promises a start, and no objective says when. */
#define QUOTA_SLACK_US (3 * MH_SECOND_US)

/* When the job has to be done so that it meets the objective; 0: it says nothing of that. A gang
   whose tasks begin in time counts as one that is done a run later: by the objective for its end
   alone, gangs waited behind arrays whose deadlines were nearer. */
static gint64
due_us (const MhJob *job, const MhObjective *objective, gint64 run_us)
{
  const MhJobSpec *spec = job->spec;
  gint64 by_us = job->submitted_us + objective->within_us;
  if (g_strcmp0 (objective->class_name, spec->class_name) != 0)
    return 0;
  if (objective->kind == MH_OBJECTIVE_FINISHED)
    return by_us;
  if (objective->kind == MH_OBJECTIVE_WAIT && spec->shape == MH_SHAPE_GANG)
    return by_us + run_us;
  return 0;
}

/* When a job is due. */
typedef struct
{
  gint64 first_us; /* by the first objective that can still be met; G_MAXINT64: none can */
  gint64 last_us;  /* by the last one; 0: it has none */
} DueTimes;

static DueTimes
due_by_objectives (const MhSettings *settings, const MhJob *job, gint64 run_us, gint64 met_from_us)
{
  DueTimes due = { .first_us = G_MAXINT64 };
  for (guint i = 0; i < settings->objectives->len; i++)
    {
      gint64 by_us = due_us (job, g_ptr_array_index (settings->objectives, i), run_us);
      if (by_us == 0)
        continue;
      due.last_us = MAX (due.last_us, by_us);
      if (by_us >= met_from_us)
        due.first_us = MIN (due.first_us, by_us);
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
    due.first_us = MIN (due.first_us, due.last_us) + MISSED_DELAY_US;
  return (MhStartTarget){ .at_us = due.first_us - expected_us, .missed = missed };
}

static bool
holds_for (const MhObjective *objective, const MhJob *job)
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
      if (holds_for (objective, job) && waited_us < objective->within_us)
        slack_us = MIN (slack_us, objective->within_us - waited_us);
    }
  if (job->placement.guaranteed && !quota_has_objective)
    slack_us = MIN (slack_us, QUOTA_SLACK_US);
  return slack_us;
}
