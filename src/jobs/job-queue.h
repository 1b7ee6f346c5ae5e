/* The order of work: which jobs have tasks to start, which of them come first. */
#pragma once

#include "jobs/job.h"

typedef enum
{
  MH_QUEUE_ACCEPTED, /* what may be started */
  MH_QUEUE_ALL       /* ... and what is still being written down */
} MhQueueScope;

/* Jobs with pending tasks, in order; the container is owned by the caller. */
GPtrArray *
mh_queue_jobs (MhCore *core, MhQueueScope scope);
/* The lower, the earlier: urgent work within a guarantee, urgent work, other work within one, the
   rest. */
guint
mh_queue_tier (const MhJob *job);
/* How long a start of the job may still take, by the aims that hold for it. */
gint64
mh_queue_patience_us (const MhCore *core, const MhJob *job);
/* Owners' estimates are often wrong, and on some days all in one direction: what the tasks of a
   class took, as a multiple of what was said. */
double
mh_queue_bias (MhCore *core, const char *class_name);
void
mh_queue_learn (MhCore *core, const MhJobSpec *spec, gint64 ran_us);
gint64
mh_queue_run_us (MhCore *core, const MhJobSpec *spec); /* as far as can be told */
gint64
mh_queue_fetch_us (const MhCore *core, const MhJobSpec *spec); /* of its image, alone */
