/* Re-chunking: a job that was stored in larger records than the state service takes now, or will
   take from some unknown moment, is written in smaller ones before anything else of it is. */
#pragma once

#include "jobs/job.h"

void
mh_rechunk_begin (MhCore *core, MhJob *job);
/* Whether the record's turn has come. */
bool
mh_rechunk_may_write (const MhCore *core, const MhRecord *record);
/* How many records, the first one among them, are replaced in one transaction. */
guint
mh_rechunk_companions (const MhCore *core, const MhJob *job);
/* The first record is written: from now on the new layout holds. */
void
mh_rechunk_finished (MhCore *core, MhJob *job);
