/* How many machines of which kind the waiting tasks want beyond those that are there or coming. */
#pragma once

#include "controller/core-types.h"

/* Rooms (MhCapacityEstimate) on machines that are coming, and, marked as wanted, on those to be
 * rented. */
GArray *
mh_demand_plan (MhCore *core);
