/* Gang scheduling: jobs whose tasks run all at the same time, or not at all. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

typedef enum
{
  MH_GANG_PENDING,
  MH_GANG_PREEMPTING, /* room is being made */
  MH_GANG_STARTED
} MhGangPlacement;

GHashTable *
mh_gang_set_new (void);
/* False: its tasks can never run all at once. */
bool
mh_gang_is_feasible (const MhCore *core, const MhJobSpec *spec);
bool
mh_gang_is_durable (const MhAttempt *attempt);
void
mh_gang_task_ended (MhCore *core, MhJob *job, bool done);
void
mh_gang_restore (MhCore *core, MhJob *job);
/* Whole; `grace_us` is what a task needs to save. */
void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us);
void
mh_gang_reconcile (MhCore *core);
MhGangPlacement
mh_gang_place (MhCore *core, MhJob *job, const GPtrArray *usable, bool may_preempt);
