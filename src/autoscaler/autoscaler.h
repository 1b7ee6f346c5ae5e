/* Renting machines from the cloud, and consolidating those that are hardly used. */
#pragma once

#include "controller/core-types.h"

void
mh_autoscaler_step (MhCore *core);
void
mh_autoscaler_clear (MhCore *core);
