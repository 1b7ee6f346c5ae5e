/* Placement: filter, rank, first fit; team quotas and preemption. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

void
mh_placement_run (MhCore *core);
/* How often `need` is in `have`, at most so often. */
guint
mh_resource_slots (double have, double need, guint most);
/* Could the team run `more` of the job's tasks besides what may be running now? */
bool
mh_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus);
guint
mh_quota_allowed_tasks (MhCore *core, const MhJob *job, const MhUse *also, guint n);
/* The zone that the job asks for, or that its other tasks have fixed; interned; NULL: any. */
const char *
mh_filter_required_zone (const MhJob *job);
/* Room on a machine: free and not promised; with what is being stopped, and in `could` with what
   might be stopped for the job. */
typedef struct
{
  double cpus, gpus, mem;
} MhResources;
MhResources
mh_resources_available (const MhMachine *machine);
MhResources
mh_preemption_capacity (const MhJob *wants, const MhMachine *machine, MhResources *could);
/* Those with the least loss whose end makes `x` enough for `n` tasks; returns what is lost. */
double
mh_preemption_select_victims (MhCore *core, const MhJob *wants, const MhMachine *machine,
                              MhResources x, guint n, GPtrArray *victims);
/* What is lost with work of the job done for so long, by one task: higher ranks count more. */
double
mh_preemption_loss (const MhJobSpec *spec, double seconds);
/* Kept for `n` of these tasks in this pass. */
void
mh_resources_reserve (MhMachine *machine, const MhJobSpec *spec, guint n);
MhAttempt *
mh_placement_start_task (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine,
                         guint urgency);
void
mh_topology_spread_rule (const MhCore *core, const MhJobSpec *spec, guint *max_skew, bool *soft);
