/* The private state of the writer, shared by record-writer.c, which sends transactions, and
   write-outcome.c, which handles their outcomes. */
#pragma once

#include "storage/batch.h"
#include "storage/record-state.h"
#include "storage/record-writer.h"

/** MhRecordWriter: the state of the writer, private to this folder. */
struct MhRecordWriter
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  GHashTable *jobs; /* id -> MhJob; not owned */
  const MhRecordWriterCallbacks *callbacks;
  gpointer owner;

  guint64 epoch;
  guint64 leader_version;
  guint64 last_revision; /* of records and tags; never used twice in a process */

  GQueue queues[MH_URGENCIES]; /* MhRecord, by their queue_link */
  GQueue keys_to_delete;       /* char * */
  guint in_flight;             /* transactions without an outcome */

  /* Whether the record of the limits is stored or being written. A later leader that reads it need
     not be throttled first to learn the lower write rate. */
  bool limits_durable;
  bool limits_in_flight;
};

/**
 * MhSentBatch:
 * @writer: the writer that sent it
 * @writes: (owned) (element-type MhRecordWrite): the records that it writes
 * @has_limits: whether it also writes the record of the limits
 *
 * The contents of a transaction of the writer, kept until its outcome is known.
 */
typedef struct
{
  MhRecordWriter *writer;
  GArray *writes;
  bool has_limits;
} MhSentBatch;

/**
 * mh_sent_batch_callbacks:
 *
 * Returns: the handlers of the outcomes of the writer's transactions; their data is a MhSentBatch
 */
const MhTransactionCallbacks *
mh_sent_batch_callbacks (void);

/**
 * mh_record_writer_apply_event:
 * @writer: a writer
 * @record: a record
 * @event: an event that is possible in the record's state
 * @urgency: how soon the record must be written, if it is queued after the event
 *
 * Changes the state of the record, and adds it to the queues, moves it to a more urgent one or
 * removes it.
 */
void
mh_record_writer_apply_event (MhRecordWriter *writer, MhRecord *record, MhRecordEvent event,
                              MhUrgency urgency);
