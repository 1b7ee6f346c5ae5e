/* What is known of a job's task failures. */
#pragma once

#include <glib.h>

/**
 * MhJobFailures:
 * @machines: (nullable): names of the machines on which a task of the job has failed; %NULL: none
 * @tries: how many tries have failed, each on another machine or after a while
 * @failed_us: monotonic time of the last one, in microseconds
 * @back_off_level: of the exponential back-off; 0: the job does not back off
 *
 * What is known of a job's failures since it last succeeded. Kept by src/cluster/task-failure.c.
 */
typedef struct
{
  GPtrArray *machines;
  guint tries;
  gint64 failed_us;
  guint back_off_level;
} MhJobFailures;

/**
 * mh_job_failures_clear:
 * @failures: failures of a job
 *
 * Forgets them: the job runs, or goes away.
 */
void
mh_job_failures_clear (MhJobFailures *failures);
