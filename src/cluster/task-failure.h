/* Attribution of task failures: a job with a mistake fails on every machine, a faulty machine fails
   every job.

   A job that has failed on several machines, and has succeeded on none, backs off: one task of it
   is tried at a time, after exponentially growing waits, and no machine is blamed for it. A machine
   is given back when it keeps failing tasks of jobs that are not to blame. The back-off is part of
   the job's first record, so that a new leader goes on with it. */
#pragma once

#include "controller/core-types.h"

/* What is known of a job's failures since it last succeeded. */
typedef struct
{
  GPtrArray *machines; /* names of those on which it failed; NULL: none */
  guint tries;         /* that failed, each on another machine or after a while */
  gint64 failed_us;    /* the last one */
  guint level;         /* of the back-off; 0: it does not back off */
} MhJobFailures;

void
mh_job_failures_clear (MhJobFailures *faults);
/* A task of the job failed by itself on the machine. */
void
mh_task_failure_record_failure (MhCore *core, MhMachine *machine, MhJob *job);
/* A task of the job completed there: neither is at fault. */
void
mh_task_failure_record_success (MhCore *core, MhMachine *machine, MhJob *job);
/* A record tells of a back-off under an earlier leader. */
void
mh_task_failure_load_back_off (MhCore *core, MhJob *job, guint level);
bool
mh_task_failure_backs_off (const MhJob *job);
/* How many of the job's pending tasks may be started now. */
guint
mh_task_failure_startable (const MhCore *core, const MhJob *job);
/* ... and for how many machines may be rented. */
guint
mh_task_failure_rentable (const MhCore *core, const MhJob *job);
