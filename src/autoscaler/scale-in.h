/* Giving machines back to the cloud: recorded first, then asked for, then confirmed. */
#pragma once

#include "cluster/machine-registry.h"
#include "protocol/key-value-messages.h"

/* A machine that is deleted costs at least this. */
#define MH_LEAST_PAID_US (60 * MH_SECOND_US)
void
mh_release_machine (MhCore *core, MhMachine *machine, const char *why);
void
mh_release_load (MhCore *core, const MhKvEntry *entry);
void
mh_release_step (MhCore *core);
void
mh_release_clear (MhCore *core);
