/* Service-level objectives: until when a job should start, and how long its start may still take.
 */
#pragma once

#include "jobs/job.h"
#include "jobs/runtime-estimate.h"
#include "settings/settings.h"

/**
 * MhStartTarget:
 * @at_us: the latest start that is in time, by the steady clock
 * @missed: no objective of the job can be met any more
 */
typedef struct
{
  gint64 at_us;
  bool missed;
} MhStartTarget;

/**
 * mh_objective_latest_start:
 * @settings: with the objectives
 * @job: a job
 * @expected_us: what a task of it takes, with the fetch of its image
 * @run_us: ... of which it runs
 * @now_us: the present, by the steady clock
 *
 * When the job's tasks should start at the latest, by its deadline or its class's objectives, of
 * which those count that can still be met. A job that can meet none is due later: it goes behind
 * those that can, but not for ever.
 *
 * Returns: the target
 */
MhStartTarget
mh_objective_latest_start (const MhSettings *settings, const MhJob *job, gint64 expected_us,
                           gint64 run_us, gint64 now_us);

/**
 * mh_objective_slack_us:
 * @settings: with the objectives
 * @job: a job
 * @now_us: the present, by the steady clock
 *
 * How long a start of the job may still take, by the objectives that hold for it. Once it is late
 * there is no hurry. A quota without an objective of its own means soon.
 *
 * Returns: the time, in microseconds
 */
gint64
mh_objective_slack_us (const MhSettings *settings, const MhJob *job, gint64 now_us);
