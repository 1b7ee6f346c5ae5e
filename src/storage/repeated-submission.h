/* Submissions that come again after their job has ended. The leader does not know the job any more
   and writes its first record, on the condition that it has no final record. That condition fails,
   and the user gets the final state. */
#pragma once

#include "storage/record-writer.h"

/**
 * mh_repeated_submission_is_proven:
 * @writer: a writer
 * @failed_keys: (nullable): the keys on which a transaction has failed
 *
 * Returns: whether a submission in the transaction conflicts with a final record of the same job.
 * Final records are never removed, so that no request of the transaction was or will be applied
 */
bool
mh_repeated_submission_is_proven (const MhRecordWriter *writer, char **failed_keys);

/**
 * mh_repeated_submission_handle_conflict:
 * @writer: a writer
 * @key: a key on which a transaction has failed
 *
 * Reads the final record of the job that @key belongs to, and responds to its waiters with the
 * final state. The submission is not written again before that. Ends the leadership if there is no
 * final record: this leader cannot tell what the submission conflicted with.
 *
 * Returns: %FALSE if @key is not of a submission in flight; nothing is done then
 */
bool
mh_repeated_submission_handle_conflict (MhRecordWriter *writer, const char *key);
