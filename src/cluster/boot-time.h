/* How long machines take from their rental to their first report, by type.

   What boots have taken tells a machine that is only slow from one that will never join: it is
   estimated as TCP estimates its retransmission timeout, by a smoothed mean and deviation. A
   machine that is later than that counts with its age so far, so that where all boots are slow the
   estimate follows, and not all machines on their way are rented once more. */
#pragma once

#include "controller/core-types.h"

typedef struct
{
  double mean_us, deviation_us;
  guint samples;
} MhBootStat;

/* The machine has reported for the first time. */
void
mh_boot_time_joined (MhCore *core, const MhMachine *machine);
/* At a machine that has not joined: notes that it is late, and gives it back when it is of no more
   use. One that is late is not counted on, so that another is rented in its place. */
void
mh_boot_time_check (MhCore *core, MhMachine *machine);
