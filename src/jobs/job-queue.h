/* The order of work: which jobs have tasks to start, which of them come first. */
#pragma once

#include "jobs/job.h"

typedef enum
{
  MH_JOB_QUEUE_ACCEPTED, /* what may be started */
  MH_JOB_QUEUE_ALL       /* ... and what is still being written down */
} MhJobQueueScope;

/* Jobs with pending tasks, in order; the container is owned by the caller. */
GPtrArray *
mh_job_queue_pending (MhCore *core, MhJobQueueScope scope);
/* The lower, the earlier: urgent work within a guarantee, urgent work, other work within one, the
   rest. */
guint
mh_job_queue_tier (const MhJob *job);
/* How long a start of the job may still take, by the aims that hold for it. */
gint64
mh_objective_start_slack_us (const MhCore *core, const MhJob *job);
/* Owners' estimates are often wrong, and on some days all in one direction: what the tasks of a
   class took, as a multiple of what was said. */
double
mh_runtime_estimate_ratio (MhCore *core, const char *class_name);
void
mh_runtime_estimate_observe (MhCore *core, const MhJobSpec *spec, gint64 ran_us);
gint64
mh_runtime_estimate_us (MhCore *core, const MhJobSpec *spec); /* as far as can be told */
