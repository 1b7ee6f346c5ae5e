/* Service-level objectives: the latest start of a job that meets them, and the remaining time
   for its start. */
#pragma once

#include "jobs/job.h"
#include "jobs/runtime-estimate.h"
#include "settings/settings.h"

/**
 * MhStartTarget:
 * @at_us: the latest start that is in time, by the monotonic clock
 * @missed: the job has a deadline or objectives, and none of them can be met any more
 *
 * By when a job should start.
 */
typedef struct
{
  gint64 at_us;
  bool missed;
} MhStartTarget;

/**
 * mh_objective_latest_start:
 * @settings: settings with the objectives
 * @job: a job
 * @expected_us: the time that a task of the job is expected to take, including the fetch of its
 * image
 * @run_us: the time that it is expected to run, without the fetch
 * @now_us: the current time, by the monotonic clock
 *
 * Computes the latest start of the job's tasks that meets its deadline. For a job without a
 * deadline, the earliest of the objectives of its class that can still be met counts. A job that
 * can meet none counts as due later, so that it goes behind jobs that can, but does not wait for
 * ever.
 *
 * Returns: the latest start
 */
MhStartTarget
mh_objective_latest_start (const MhSettings *settings, const MhJob *job, gint64 expected_us,
                           gint64 run_us, gint64 now_us);

/**
 * mh_objective_slack_us:
 * @settings: settings with the objectives
 * @job: a job
 * @now_us: the current time, by the monotonic clock
 *
 * Computes how long a start of the job may still take by the objectives for waiting times and
 * quotas that apply to it. An objective that the job has already missed no longer counts. For a job
 * within its team's quota, the time is short if the settings have no objective for quotas.
 *
 * Returns: the remaining time, in microseconds
 */
gint64
mh_objective_slack_us (const MhSettings *settings, const MhJob *job, gint64 now_us);
