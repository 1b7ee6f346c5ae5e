/* Gang scheduling: jobs whose tasks run all at the same time, or not at all. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

typedef enum
{
  MH_GANG_WAITS,
  MH_GANG_PREEMPTED, /* room is being made */
  MH_GANG_STARTED
} MhGangPlaced;

GHashTable *
mh_gang_table (void);
/* False: its tasks can never run all at once. */
bool
mh_gang_possible (const MhCore *core, const MhJobSpec *spec);
/* Forgets what a task's end has consequences for. */
void
mh_gang_clear (MhCore *core);
void
mh_gang_task_over (MhCore *core, MhJob *job, bool done);
void
mh_gang_loaded (MhCore *core, MhJob *job);
/* Whole; `grace_us` is what a task needs to save. */
void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us);
void
mh_gang_step (MhCore *core);
MhGangPlaced
mh_gang_place (MhCore *core, MhJob *job, const GPtrArray *usable, bool may_preempt);
