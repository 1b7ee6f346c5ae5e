/* Room for tasks: on a machine that stays, on one that is coming, or on one that would have to be
   rented. What consolidation and the plan of rentals reckon with. */
#pragma once

#include "jobs/job.h"

/* MhCapacityEstimate on a machine: one that stays, one that is coming, or one that would have to be
 * rented. */
typedef struct
{
  const MhMachine *machine; /* NULL: not there yet */
  const MhMachineType *type;
  const GRefString *zone;
  bool spot, wanted;
  double cpus, gpus, mem; /* free */
} MhCapacityEstimate;

/* All of a machine of the type. */
MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot);
/* Whether type, zone and kind suit the job. `zone`: the only one, or NULL. */
bool
mh_capacity_estimate_suits (const MhCapacityEstimate *room, const MhJob *job, const char *zone);
/* How many of `tasks` fit. */
guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *room, const MhJobSpec *spec,
                                  guint tasks);
void
mh_capacity_estimate_reserve (MhCapacityEstimate *room, const MhJobSpec *spec, guint tasks);
