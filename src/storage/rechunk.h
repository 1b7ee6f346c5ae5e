/* Re-chunking: a job that was written in larger records than are taken now, or will be from some
   unknown moment, is written in smaller ones before anything else of it is.

   The new records that replace no old one are written first. Nobody looks at those: the first
   record still tells of the old layout. Then the first one and those in the place of old ones go in
   one transaction, and from then on the new layout holds. Until then nothing of the job counts as
   durable that was not before: no start is sent, no result cleared, no cancellation confirmed. What
   is known of a task is read wherever it stands, first found first taken, so that a leader that
   ends in between leaves nothing that misleads. */
#pragma once

#include "jobs/job.h"

/**
 * mh_rechunk_is_pending:
 * @job: a job
 *
 * Returns: %TRUE while the stored first record of @job tells of a layout that is to be replaced
 */
bool
mh_rechunk_is_pending (const MhJob *job);

/**
 * mh_rechunk_together:
 * @job: a job that is being re-chunked
 * @max_changes: that one transaction may make
 *
 * Returns: how many records are replaced in one transaction, the first one among them. Where there
 * are more old ones than that, the others are replaced one by one, from the last.
 */
guint
mh_rechunk_together (const MhJob *job, guint max_changes);

/**
 * mh_rechunk_may_write:
 * @record: of a job that is being re-chunked
 * @max_changes: that one transaction may make
 *
 * Returns: %TRUE if all that has to be stored before @record is
 */
bool
mh_rechunk_may_write (const MhRecord *record, guint max_changes);

/**
 * mh_rechunk_prepare:
 * @record: of a job that was just loaded in its old layout
 *
 * Returns: %TRUE if @record has to be written for the new layout; one that would be empty and
 * replaces nothing is taken as written
 */
bool
mh_rechunk_prepare (MhRecord *record);

/**
 * mh_rechunk_finish:
 * @job: a job whose first record has been written in the new layout
 *
 * From now on the new layout holds, and all that was written of it counts as durable.
 */
void
mh_rechunk_finish (MhJob *job);
