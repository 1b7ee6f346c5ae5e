/* Placement: filter, rank, first fit; team quotas and preemption. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

void
mh_place_step (MhCore *core);
bool
mh_place_type_fits (const MhJobSpec *spec, const MhMachineType *type);
/* How often `need` is in `have`, at most so often. */
guint
mh_place_times (double have, double need, guint most);
/* Could the team run `more` of the job's tasks besides what may be running now? */
bool
mh_place_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus);
guint
mh_place_quota_room (MhCore *core, const MhJob *job, const MhUse *also, guint n);
/* The zone that the job asks for, or that its other tasks have fixed; interned; NULL: any. */
const char *
mh_place_only_zone (const MhJob *job);
/* Room on a machine: free and not promised; with what is being stopped, and in `could` with what
   might be stopped for the job. */
typedef struct
{
  double cpus, gpus, mem;
} MhSpace;
MhSpace
mh_place_free (const MhMachine *machine);
MhSpace
mh_place_space (const MhJob *wants, const MhMachine *machine, MhSpace *could);
/* Those with the least loss whose end makes `x` enough for `n` tasks; returns what is lost. */
double
mh_place_victims (MhCore *core, const MhJob *wants, const MhMachine *machine, MhSpace x, guint n,
                  GPtrArray *victims);
/* What is lost with work of the job done for so long, by one task: higher ranks count more. */
double
mh_place_loss (const MhJobSpec *spec, double seconds);
/* Kept for `n` of these tasks in this pass. */
void
mh_place_promise (MhMachine *machine, const MhJobSpec *spec, guint n);
MhAttempt *
mh_place_start (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine,
                guint urgency);
void
mh_place_spread_rule (const MhCore *core, const MhJobSpec *spec, guint *max_skew, bool *soft);
