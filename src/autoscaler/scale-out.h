/* Rentals. One call is under way at a time, and its name is never used twice, so that a late or
   repeated one rents nothing more. A kind of machine that the cloud refused is left alone for a
   while. */
#pragma once

#include "controller/core-types.h"
#include <glib.h>
#include <stdbool.h>

bool
mh_rental_refused (MhCore *core, const MhMachineType *type, const char *zone, bool spot);
/* Rents machines for the first kind among `rooms` (MhRoom) that is wanted. */
void
mh_rental_call (MhCore *core, const GArray *rooms);
