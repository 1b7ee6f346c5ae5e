/* Renting machines from the cloud, and consolidating those that are hardly used. */
#pragma once

#include "controller/core-types.h"

void
mh_scale_start (MhCore *core);
void
mh_scale_step (MhCore *core);
void
mh_scale_clear (MhCore *core);
