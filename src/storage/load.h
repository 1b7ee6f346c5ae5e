/* Reload: a new leader reads the records of its predecessors, of either version. */
#pragma once

#include "controller/core-types.h"

/* Ends in mh_election_records_loaded. */
void
mh_load_records (MhCore *core);
