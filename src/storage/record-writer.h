/* The queue of records that differ from what is stored, and the transactions that write them.

   Every transaction is conditional on the leader key and on the versions of the records that it
   replaces, so that a controller that no longer leads cannot write. The most urgent records are
   written first. Changes to a queued record are combined into one write. README.md describes the
   rules. */
#pragma once

#include "storage/record.h"

#include "election/election.h"
#include "runtime/backlog.h"
#include "runtime/call-queue.h"

/** MhRecordWriter: the queue of records to be written */
typedef struct MhRecordWriter MhRecordWriter;

/** MH_REFUSED_RECORD_RETRY_S: how long a record that the store refused as malformed or too large
 * waits before it is written again, in seconds; users get the same time as Retry-After */
#define MH_REFUSED_RECORD_RETRY_S 30u

/**
 * MhRecordWriterCallbacks:
 * @job_accepted: the first record of the job is durable for the first time: its tasks may be placed
 * @job_ended: the final record of the job is durable; `response` is what its users get. The job is
 * freed after the call
 * @submission_refused: the store refuses the first record of a job that is not accepted. The
 * waiters of the job must be answered by others: it may have ended long ago, with a final record
 * @attempts_recorded: attempts of the tasks from `first_task` up to but excluding `end_task` may
 * have become durable: the starts of those that are may be sent
 * @job_rechunked: all records of the job have become durable in a new layout
 * @leadership_lost: this controller must step down, for `reason`. The leadership must be cleared in
 * the next step, not during the call
 * @machine_name: returns the name of the machine that a live attempt is on
 *
 * How the writer notifies the layers above.
 */
typedef struct
{
  void (*job_accepted) (gpointer owner, MhJob *job);
  void (*job_ended) (gpointer owner, const MhJob *job, const MhUserResponse *response);
  void (*submission_refused) (gpointer owner, const MhJob *job);
  void (*attempts_recorded) (gpointer owner, MhJob *job, guint first_task, guint end_task);
  void (*job_rechunked) (gpointer owner, MhJob *job);
  void (*leadership_lost) (gpointer owner, MhLossReason reason);
  MhMachineNameFunc machine_name;
} MhRecordWriterCallbacks;

/**
 * mh_record_writer_new:
 * @runtime: (transfer none): must outlive the writer
 * @calls: (transfer none): must outlive the writer
 * @jobs: (transfer none) (element-type utf8 MhJob): the leader's jobs by id; the table owns the
 * jobs. The writer removes jobs that have ended or were not accepted
 * @callbacks: (transfer none): static
 * @owner: passed to @callbacks
 *
 * Returns: (transfer full): a writer with nothing to write
 */
MhRecordWriter *
mh_record_writer_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                      const MhRecordWriterCallbacks *callbacks, gpointer owner);

/**
 * mh_record_writer_free:
 * @writer: (transfer full) (nullable): a writer without queued or unanswered calls
 *
 * Frees it.
 */
void
mh_record_writer_free (MhRecordWriter *writer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRecordWriter, mh_record_writer_free)

/**
 * mh_record_writer_begin:
 * @writer: a writer
 * @epoch: the epoch of the leadership that begins. It is part of each tag, so that no two
 * leaderships use the same tag
 * @leader_version: the version of the leader key, a condition of every transaction
 *
 * Prepares the writer for a leadership of this controller.
 */
void
mh_record_writer_begin (MhRecordWriter *writer, guint64 epoch, guint64 leader_version);

/**
 * mh_record_writer_clear:
 * @writer: a writer
 *
 * Empties the queues at the end of a leadership. The caller forgets all queued and unanswered
 * calls, before or right after, and frees the jobs after this call.
 */
void
mh_record_writer_clear (MhRecordWriter *writer);

/**
 * mh_record_writer_mark_changed:
 * @writer: a writer
 * @record: a record whose contents have changed in memory
 * @urgency: how soon it must be written
 *
 * Queues the record, which differs from what is stored, to be written in a later transaction.
 */
void
mh_record_writer_mark_changed (MhRecordWriter *writer, MhRecord *record, MhUrgency urgency);

/**
 * mh_record_writer_delete_key:
 * @writer: a writer
 * @key: (transfer none): a key that is no longer needed
 *
 * Queues the key to be deleted. A transaction deletes queued keys only if it has room after all
 * records that may be written.
 */
void
mh_record_writer_delete_key (MhRecordWriter *writer, const char *key);

/**
 * mh_record_writer_rechunk:
 * @writer: a writer
 * @job: a job that was just loaded in a layout that must be replaced
 *
 * Queues the records of the new layout.
 */
void
mh_record_writer_rechunk (MhRecordWriter *writer, MhJob *job);

/**
 * mh_record_writer_remove_job:
 * @writer: a writer
 * @job: a job without a transaction in flight
 *
 * Removes the job from the queues and from memory, and frees it.
 */
void
mh_record_writer_remove_job (MhRecordWriter *writer, MhJob *job);

/**
 * mh_record_writer_mark_limits_durable:
 * @writer: a writer
 *
 * Notes that the record of the limits is already stored. The writer does not write it again in this
 * leadership.
 */
void
mh_record_writer_mark_limits_durable (MhRecordWriter *writer);

/**
 * mh_record_writer_get_backlog:
 * @writer: a writer
 * @urgency: one of its queues
 *
 * Returns: the records that wait to be written with that urgency
 */
MhBacklog
mh_record_writer_get_backlog (const MhRecordWriter *writer, MhUrgency urgency);

/**
 * mh_record_writer_step:
 * @writer: a writer
 *
 * Sends as many transactions as the limits on writes and on transactions in flight allow. Requests
 * a wake-up if it has to wait for write tokens. Must be called only while this controller may act
 * as leader.
 */
void
mh_record_writer_step (MhRecordWriter *writer);
