/* The queue of records that differ from what is stored, and the transactions that write them.

   Every transaction is conditional on the leader's key and on the versions of the records that it
   replaces, so that a controller that leads no more writes nothing. Records are written by urgency;
   what waits gathers further changes. README.md tells the rules. */
#pragma once

#include "storage/record.h"

#include "election/election.h"
#include "runtime/call-queue.h"

/** MhRecordWriter: the queue of records that are to be written */
typedef struct MhRecordWriter MhRecordWriter;

/**
 * MhRecordWriterCallbacks:
 * @job_accepted: the first record of the job is durable, for the first time: it may be placed
 * @job_over: the final record of the job is durable, with this answer to its users. The job is
 * freed after the call
 * @attempts_recorded: attempts of the tasks from `first_task` up to, without, `end_task` may have
 * become durable: their starts may be sent
 * @job_rechunked: all records of the job have become durable in a new layout
 * @leadership_lost: this leadership cannot go on; it must end at the next step, and not before
 *
 * Told by the writer to the layers above.
 */
typedef struct
{
  void (*job_accepted) (gpointer owner, MhJob *job);
  void (*job_over) (gpointer owner, const MhJob *job, const MhUserResponse *answer);
  void (*attempts_recorded) (gpointer owner, MhJob *job, guint first_task, guint end_task);
  void (*job_rechunked) (gpointer owner, MhJob *job);
  void (*leadership_lost) (gpointer owner, MhLossReason reason);
  MhMachineNameFunc machine_name;
} MhRecordWriterCallbacks;

/**
 * mh_record_writer_new:
 * @runtime: (not transferred): must outlive the writer
 * @calls: (not transferred): must outlive the writer
 * @jobs: (not transferred) (element-type utf8 MhJob): the leader's jobs by id, which owns them; the
 * writer removes those that are over or were refused
 * @callbacks: (not transferred): static
 * @owner: passed to @callbacks
 *
 * Returns: (transfer full): a writer with nothing to write
 */
MhRecordWriter *
mh_record_writer_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                      const MhRecordWriterCallbacks *callbacks, gpointer owner);

/**
 * mh_record_writer_free:
 * @writer: (transfer full) (nullable): a writer none of whose calls is under way any more
 *
 * Frees it.
 */
void
mh_record_writer_free (MhRecordWriter *writer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRecordWriter, mh_record_writer_free)

/**
 * mh_record_writer_begin:
 * @writer: a writer
 * @epoch: of the leadership that begins: a part of the tags, which no other leadership has
 * @leader_version: of the leader's key, the condition of every transaction
 *
 * From now on this controller writes.
 */
void
mh_record_writer_begin (MhRecordWriter *writer, guint64 epoch, guint64 leader_version);

/**
 * mh_record_writer_clear:
 * @writer: a writer
 *
 * Ends the leadership: nothing waits to be written any more. The calls have been forgotten before,
 * or are just to be; the jobs are to be freed after.
 */
void
mh_record_writer_clear (MhRecordWriter *writer);

/**
 * mh_record_writer_touch:
 * @writer: a writer
 * @record: that memory was changed of
 * @urgency: how soon it must be written
 *
 * The record differs from what is stored; it is written with one of the next transactions.
 */
void
mh_record_writer_touch (MhRecordWriter *writer, MhRecord *record, MhUrgency urgency);

/**
 * mh_record_writer_delete:
 * @writer: a writer
 * @key: (not transferred): of no use any more
 *
 * The key is removed when there is time.
 */
void
mh_record_writer_delete (MhRecordWriter *writer, const char *key);

/**
 * mh_record_writer_rechunk:
 * @writer: a writer
 * @job: just loaded, in a layout that is to be replaced
 *
 * Queues the records of the new layout.
 */
void
mh_record_writer_rechunk (MhRecordWriter *writer, MhJob *job);

/**
 * mh_record_writer_remove_job:
 * @writer: a writer
 * @job: one that no transaction is under way for; freed
 *
 * Removes the job from memory.
 */
void
mh_record_writer_remove_job (MhRecordWriter *writer, MhJob *job);

/**
 * mh_record_writer_limits_loaded:
 * @writer: a writer
 *
 * It is stored already that the key-value store takes fewer changes than it did.
 */
void
mh_record_writer_limits_loaded (MhRecordWriter *writer);

/**
 * mh_record_writer_step:
 * @writer: a writer
 *
 * Sends transactions as far as the key-value store takes them, and asks for a wake-up where they
 * have to wait. Only to be called while this controller may act as leader.
 */
void
mh_record_writer_step (MhRecordWriter *writer);
