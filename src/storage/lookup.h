/* Reads for users who ask about jobs that are not in the leader's memory, or while there is no
   leader.

   A job is never called unknown unless its records are absent and nobody else can be writing
   them. Questions about one job that come together share their reads, and where more wait than the
   state service serves in a second, further ones are answered 503 at once. */
#pragma once

#include "controller/core-types.h"

/* `in_charge`: a leader with a valid lease has looked in memory, and only the final record is left
   to read. A leader whose lease had lapsed once said "never heard of it" of unfinished jobs,
   because the phase alone was asked. */
void
mh_lookup_job (MhCore *core, guint64 request_id, const char *job, MhUserVerb verb, bool in_charge);
