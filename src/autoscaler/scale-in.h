/* Giving machines back to the cloud: recorded first, then asked for, then confirmed. */
#pragma once

#include "cluster/machine-registry.h"

/* A machine that is deleted costs at least this. */
#define MH_MINIMUM_BILLED_US (60 * MH_SECOND_US)
void
mh_scale_in_release_machine (MhCore *core, MhMachine *machine, const char *why);
void
mh_scale_in_load (MhCore *core, const MhEntry *entry);
void
mh_scale_in_step (MhCore *core);
void
mh_scale_in_clear (MhCore *core);
