#include "controller/core-private.h"

MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot)
{
  return (MhCapacityEstimate){ .type = type,
                               .zone = zone,
                               .spot = spot,
                               .cpus = type->cpus,
                               .gpus = type->gpus,
                               .mem = type->mem_gb };
}

bool
mh_capacity_estimate_suits (const MhCapacityEstimate *room, const MhJob *job, const char *zone)
{
  return (!room->spot || job->spec->spot) && (zone == NULL || zone == room->zone)
         && mh_place_type_fits (job->spec, room->type);
}

guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *room, const MhJobSpec *spec,
                                  guint tasks)
{
  tasks = mh_place_times (room->cpus, spec->cpus, tasks);
  tasks = mh_place_times (room->gpus, spec->gpus, tasks);
  return mh_place_times (room->mem, spec->mem_gb, tasks);
}

void
mh_capacity_estimate_reserve (MhCapacityEstimate *room, const MhJobSpec *spec, guint tasks)
{
  room->cpus -= spec->cpus * tasks;
  room->gpus -= spec->gpus * tasks;
  room->mem -= spec->mem_gb * tasks;
}
