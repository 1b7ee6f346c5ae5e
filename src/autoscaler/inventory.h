/* What the cloud has: the types of machines, and which of ours it lists. A machine that is listed
   and was not known is added to the fleet; one that is listed as failed is given back. */
#pragma once

#include "controller/core-types.h"

/* Asks again for what is out of date. */
void
mh_inventory_step (MhCore *core);
