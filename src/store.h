/* Durable records: batched conditional writes, reload by a new leader, look-ups for users. */
#pragma once

#include "job.h"

/* Written in this order: a user or a service waits; a start or the end of a job; progress. */
typedef enum
{
  MH_URGENCY_USER,
  MH_URGENCY_START,
  MH_URGENCY_PROGRESS
} MhUrgency;
#define MH_URGENCIES 3
void
mh_store_touch (MhCore *core, MhRecord *record, MhUrgency urgency);
/* The key is of no use any more. */
void
mh_store_drop (MhCore *core, const char *key);
void
mh_store_step (MhCore *core);
void
mh_store_load (MhCore *core); /* ends in mh_leader_loaded */
void
mh_store_clear (MhCore *core);
/* `in_charge`: a leader with a valid lease has looked in memory, and only the final record is left
   to read. A leader whose lease had lapsed once said "never heard of it" of unfinished jobs,
   because the phase alone was asked. */
void
mh_store_lookup (MhCore *core, guint64 request_id, const char *job, MhUserVerb verb,
                 bool in_charge);
