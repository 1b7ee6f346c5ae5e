/* Re-chunking: if a job is stored in records that are larger than the key-value store accepts now,
   or will accept from an unknown time on, it is written in smaller records before anything else of
   it is written.

   New records whose keys hold no old record are written first. They have no effect yet, because the
   first record still describes the old layout. Old records that do not fit into one transaction
   with the first one are replaced next, one by one, the last one first. Finally the first record
   and the remaining old records are replaced in one transaction, and the new layout takes effect.
   Until then no change of the job counts as durable that was not durable before: no start is sent,
   no result is cleared, and no cancellation is confirmed.

   If the leadership ends in between, records of both layouts may hold entries of the same task. A
   new leader therefore reads a task from any record of the job, and the first entry that it finds
   counts. */
#pragma once

#include "jobs/job.h"

/**
 * mh_rechunk_is_pending:
 * @job: a job
 *
 * Returns: %TRUE while the stored first record of @job describes a layout that must be replaced
 */
bool
mh_rechunk_is_pending (const MhJob *job);

/**
 * mh_rechunk_count_atomic:
 * @job: a job that is being re-chunked
 * @max_changes: the number of changes that one transaction may make
 *
 * Returns: how many records, counted from the first one, are replaced in one transaction. If there
 * are more old records, the others are replaced one by one before, the last one first.
 */
guint
mh_rechunk_count_atomic (const MhJob *job, guint max_changes);

/**
 * mh_rechunk_may_write:
 * @record: a record of a job that is being re-chunked
 * @max_changes: the number of changes that one transaction may make
 *
 * Returns: %TRUE if @record may be added to a transaction: it is not stored in the new layout yet,
 * is not written along with the first record, and all records that must be stored before it are
 */
bool
mh_rechunk_may_write (const MhRecord *record, guint max_changes);

/**
 * mh_rechunk_prepare:
 * @record: a record of a job that was just loaded in its old layout
 *
 * Marks @record as written if it would be empty and replaces no old record.
 *
 * Returns: %TRUE if @record has to be written for the new layout
 */
bool
mh_rechunk_prepare (MhRecord *record);

/**
 * mh_rechunk_finish:
 * @job: a job whose first record has been written in the new layout
 *
 * Puts the new layout into effect: all records that were written in it count as durable.
 */
void
mh_rechunk_finish (MhJob *job);
