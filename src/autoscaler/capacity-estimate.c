#include "controller/core-private.h"

MhRoom
mh_room_new (const MhMachineType *type, const GRefString *zone, bool spot)
{
  return (MhRoom){ .type = type,
                   .zone = zone,
                   .spot = spot,
                   .cpus = type->cpus,
                   .gpus = type->gpus,
                   .mem = type->mem_gb };
}

bool
mh_room_of_kind (const MhRoom *room, const MhJob *job, const char *zone)
{
  return (!room->spot || job->spec->spot) && (zone == NULL || zone == room->zone)
         && mh_job_spec_fits_type (job->spec, room->type);
}

guint
mh_room_for (const MhRoom *room, const MhJobSpec *spec, guint tasks)
{
  tasks = mh_resource_slots (room->cpus, spec->cpus, tasks);
  tasks = mh_resource_slots (room->gpus, spec->gpus, tasks);
  return mh_resource_slots (room->mem, spec->mem_gb, tasks);
}

void
mh_room_take (MhRoom *room, const MhJobSpec *spec, guint tasks)
{
  room->cpus -= spec->cpus * tasks;
  room->gpus -= spec->gpus * tasks;
  room->mem -= spec->mem_gb * tasks;
}
