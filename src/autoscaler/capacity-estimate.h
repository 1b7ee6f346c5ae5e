/* Room for tasks: on a machine that stays, on one that is coming, or on one that would have to be
   rented. What consolidation and the plan of rentals reckon with. */
#pragma once

#include "jobs/job.h"
#include "protocol/cloud-messages.h"

/* MhRoom on a machine: one that stays, one that is coming, or one that would have to be rented. */
typedef struct
{
  const MhMachine *machine; /* NULL: not there yet */
  const MhMachineType *type;
  const GRefString *zone;
  bool spot, wanted;
  double cpus, gpus, mem; /* free */
} MhRoom;

/* All of a machine of the type. */
MhRoom
mh_room_new (const MhMachineType *type, const GRefString *zone, bool spot);
/* Whether type, zone and kind suit the job. `zone`: the only one, or NULL. */
bool
mh_room_of_kind (const MhRoom *room, const MhJob *job, const char *zone);
/* How many of `tasks` fit. */
guint
mh_room_for (const MhRoom *room, const MhJobSpec *spec, guint tasks);
void
mh_room_take (MhRoom *room, const MhJobSpec *spec, guint tasks);
