/* The life of one record between memory and the key-value store, as a state machine.

   MhRecord itself is declared in jobs/job.h, since a job owns its records. */
#pragma once

#include "jobs/job.h"

/**
 * MhRecordEvent:
 * @MH_RECORD_CHANGED: memory differs from what is stored
 * @MH_RECORD_REQUEUED: the record is to be written though nothing has changed since
 * @MH_RECORD_SENT: a transaction that carries the record was made, and takes it from the queue
 * @MH_RECORD_SENT_ALONG: a transaction that replaces the old layout of its job carries the record,
 *   which keeps its place in the queue
 * @MH_RECORD_WRITTEN: that transaction was applied
 * @MH_RECORD_STAGED: ... but the record counts only when the first one of its job tells of the new
 *   layout; a change that came meanwhile waits for that too
 * @MH_RECORD_NOT_WRITTEN: the transaction was not applied, and the record is to be written again
 * @MH_RECORD_REJECTED: the store called the record malformed by itself
 * @MH_RECORD_CONFLICTED: a submission met records of the same job; a read decides
 * @MH_RECORD_DISCARDED: nothing of it needs to be written any more: it leaves the queue
 *
 * What happens to a record.
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
 * @state: the present state
 * @event: what happens
 * @next: (out): the state after it; not set if the event is refused
 *
 * The only place that knows the transitions.
 *
 * Returns: %FALSE if @event cannot happen in @state
 */
bool
mh_record_state_next (MhRecordState state, MhRecordEvent event, MhRecordState *next);

/**
 * mh_record_state_is_queued:
 * @state: a state
 *
 * Returns: %TRUE if a record in @state has a place in the queue of records to be written
 */
bool
mh_record_state_is_queued (MhRecordState state);

/**
 * mh_record_state_is_writing:
 * @state: a state
 *
 * Returns: %TRUE if a transaction with the record is under way, or a read that decides about it
 */
bool
mh_record_state_is_writing (MhRecordState state);

/**
 * mh_record_is_durable:
 * @record: a record
 * @revision: of memory, as mh_record_revision () gave it
 *
 * Returns: %TRUE if what memory held at @revision is stored
 */
bool
mh_record_is_durable (const MhRecord *record, guint64 revision);

/**
 * mh_record_has_unwritten_changes:
 * @record: a record
 *
 * Returns: %TRUE if memory holds what is not stored yet
 */
bool
mh_record_has_unwritten_changes (const MhRecord *record);

/**
 * mh_record_revision:
 * @record: a record
 *
 * Returns: the number of the last change in memory; changes of all records are numbered together
 */
guint64
mh_record_revision (const MhRecord *record);
