/* The state machine of one record: whether it is queued to be written or being written.

   MhRecord itself is declared in jobs/job.h, because a job owns its records. */
#pragma once

#include "jobs/job.h"

/**
 * MhRecordEvent:
 * @MH_RECORD_CHANGED: the record was changed in memory
 * @MH_RECORD_REQUEUED: the record has to be written because of an earlier change
 * @MH_RECORD_SENT: the record is written in a transaction, and leaves the queue
 * @MH_RECORD_SENT_ALONG: the record is written in a transaction that replaces the old layout of its
 *   job; if it is queued, it stays in the queue
 * @MH_RECORD_WRITTEN: the transaction was applied
 * @MH_RECORD_STAGED: the transaction was applied, but the record takes effect only when the job's
 *   first record is stored with the new layout. A change made during the write is not queued before
 *   that either
 * @MH_RECORD_NOT_WRITTEN: the transaction was not applied, and the record has to be written again
 * @MH_RECORD_REJECTED: the store refused the record as malformed or too large in a transaction of
 *   this record alone
 * @MH_RECORD_CONFLICTED: a submission conflicted with a stored record of the same job; a read of
 * the final record determines whether that job has ended
 * @MH_RECORD_DISCARDED: the record need not be written any more, and leaves the queue
 *
 * Events of the state machine.
 */
typedef enum
{
  MH_RECORD_CHANGED,
  MH_RECORD_REQUEUED,
  MH_RECORD_SENT,
  MH_RECORD_SENT_ALONG,
  MH_RECORD_WRITTEN,
  MH_RECORD_STAGED,
  MH_RECORD_NOT_WRITTEN,
  MH_RECORD_REJECTED,
  MH_RECORD_CONFLICTED,
  MH_RECORD_DISCARDED
} MhRecordEvent;
/** MH_RECORD_EVENTS: number of events */
#define MH_RECORD_EVENTS 10

/**
 * mh_record_state_next:
 * @state: the current state
 * @event: an event
 * @next: (out): the state after @event; not set if %FALSE is returned
 *
 * Looks up a transition. No other function defines transitions.
 *
 * Returns: %FALSE if @event is not possible in @state
 */
bool
mh_record_state_next (MhRecordState state, MhRecordEvent event, MhRecordState *next);

/**
 * mh_record_state_is_queued:
 * @state: a state
 *
 * Returns: %TRUE if a record in @state is in the queue of records to be written
 */
bool
mh_record_state_is_queued (MhRecordState state);

/**
 * mh_record_state_is_writing:
 * @state: a state
 *
 * Returns: %TRUE if a transaction that writes the record is in flight, or a read after its conflict
 */
bool
mh_record_state_is_writing (MhRecordState state);

/**
 * mh_record_is_durable:
 * @record: a record
 * @revision: a revision of @record that mh_record_revision () returned
 *
 * Returns: %TRUE if the contents of @record as of @revision are durable
 */
bool
mh_record_is_durable (const MhRecord *record, guint64 revision);

/**
 * mh_record_has_unwritten_changes:
 * @record: a record
 *
 * Returns: %TRUE if @record has changes in memory that are not durable
 */
bool
mh_record_has_unwritten_changes (const MhRecord *record);

/**
 * mh_record_revision:
 * @record: a record
 *
 * Returns: the revision of the last change of @record in memory. All records share one sequence of
 * revisions
 */
guint64
mh_record_revision (const MhRecord *record);
