/* The state of the writer, for record-writer.c (what is to be written) and write-outcome.c (what
   has been). */
#pragma once

#include "storage/batch.h"
#include "storage/record-state.h"
#include "storage/record-writer.h"

/** MhRecordWriter: the state of the writer, for the files of this folder alone. */
struct MhRecordWriter
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  GHashTable *jobs; /* id -> MhJob; not owned */
  const MhRecordWriterCallbacks *callbacks;
  gpointer owner;

  guint64 epoch;
  guint64 leader_version;
  guint64 last_revision; /* of all records and tags; never given twice in the life of the process */

  GQueue queues[MH_URGENCIES]; /* MhRecord, by their queue_link */
  GQueue keys_to_delete;       /* char * */
  guint in_flight;             /* transactions */

  /* That the store takes fewer changes is stored, so that no later leader has to find out. */
  bool limits_durable;
  bool limits_in_flight;
};

/**
 * MhWrittenBatch:
 * @writer: that wrote it
 * @writes: (owned) (element-type MhRecordWrite): what is in it
 * @has_limits: the record of the limits is in it
 *
 * What a transaction of the writer is about.
 */
typedef struct
{
  MhRecordWriter *writer;
  GArray *writes;
  bool has_limits;
} MhWrittenBatch;

/**
 * mh_written_batch_callbacks:
 *
 * Returns: what the writer's transactions tell; their data is a MhWrittenBatch
 */
const MhTransactionCallbacks *
mh_written_batch_callbacks (void);

/**
 * mh_record_writer_apply:
 * @writer: a writer
 * @record: a record
 * @event: that happens to it
 * @urgency: how soon it must be written, if it is or gets queued
 *
 * Carries out the transition, and gives the record its place in the queues.
 */
void
mh_record_writer_apply (MhRecordWriter *writer, MhRecord *record, MhRecordEvent event,
                        MhUrgency urgency);
