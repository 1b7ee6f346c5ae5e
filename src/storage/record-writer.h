/* Durable records: batched conditional writes.

   Every transaction is conditional on the leader's key and on the versions of the records that it
   replaces. One without an answer is sent again, the same; a tag in the record then tells whether
   the first copy was carried out. */
#pragma once

#include "jobs/job.h"

/* The record differs from what is stored. */
void
mh_store_touch (MhCore *core, MhRecord *record, MhUrgency urgency);
/* The record is to be written, whether or not it has changed. */
void
mh_store_enqueue (MhCore *core, MhRecord *record, guint urgency);
/* The key is of no use any more. */
void
mh_store_drop (MhCore *core, const char *key);
void
mh_store_step (MhCore *core);
void
mh_store_clear (MhCore *core);
