/* Consolidation: replicas on machines that hold little else are moved to where their image is, and
   the machines are given back when they are empty. No replica is moved for its zone. */
#pragma once

#include "controller/core-types.h"

/* `waiting`: tasks wait for room, so that nothing is emptied. */
void
mh_consolidation_step (MhCore *core, bool waiting);
