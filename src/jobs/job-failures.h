/* The failures of a job's tasks. */
#pragma once

#include <glib.h>

/**
 * MhJobFailures:
 * @machines: (nullable): names of the machines on which a task of the job has failed; %NULL: none
 * @count: number of failures. Another failure on the same machine shortly after the last one is not
 * counted: tasks that start together on one machine fail together
 * @failed_us: monotonic time of the last failure that was counted, in microseconds
 * @back_off_level: level of the exponential back-off; 0: the job does not back off
 * @max_live_tasks: how many tasks may be live while the job backs off; 0: one
 *
 * The failures of a job's tasks since a task of the job last completed or ran well for long enough.
 * src/cluster/task-failure.c updates them.
 */
typedef struct
{
  GPtrArray *machines;
  guint count;
  gint64 failed_us;
  guint back_off_level;
  guint max_live_tasks;
} MhJobFailures;

/**
 * mh_job_failures_clear:
 * @failures: failures of a job
 *
 * Resets the failures, when the job has recovered or is freed.
 */
void
mh_job_failures_clear (MhJobFailures *failures);
