/* Puts the transaction together that writes several records: which conditions and changes each of
   them needs, and how many fit. The order of conditions and changes is part of what the service
   does. */
#pragma once

#include "settings/settings.h"
#include "storage/record.h"
#include "storage/transaction.h"

/**
 * MhRecordWrite:
 * @record: the record; its job lives as long as the write is under way
 * @revision: of memory that is written
 * @is_final: the final record of the job is written
 * @cancelled: what is written says that the job was cancelled
 *
 * One record of a transaction.
 */
typedef struct
{
  MhRecord *record;
  guint64 revision;
  bool is_final;
  bool cancelled;
} MhRecordWrite;

/** MhBatch: what one transaction gathers */
typedef struct MhBatch MhBatch;

/**
 * mh_batch_new:
 * @transaction: (not transferred): an empty transaction, which outlives the batch
 * @writes: (not transferred) (element-type MhRecordWrite): gets one item for each record that is
 * added
 * @settings: (not transferred): tell how much a transaction takes
 * @machine_name: tells where live attempts are
 * @max_changes: that the transaction may make, unless its first record alone needs more
 *
 * Returns: (transfer full): an empty batch
 */
MhBatch *
mh_batch_new (MhTransaction *transaction, GArray *writes, const MhSettings *settings,
              MhMachineNameFunc machine_name, guint max_changes);

/**
 * mh_batch_free:
 * @batch: (transfer full): a batch
 *
 * Frees it; the transaction and the list of writes stay.
 */
void
mh_batch_free (MhBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhBatch, mh_batch_free)

/**
 * mh_batch_add:
 * @batch: a batch
 * @record: one that may be written now
 *
 * Adds the record, or the final record of its job if the job has ended; with the first record of a
 * job that is being re-chunked, those that are to be replaced together with it.
 *
 * Returns: %FALSE if it does not fit any more; then nothing was added
 */
bool
mh_batch_add (MhBatch *batch, MhRecord *record);

/**
 * mh_batch_is_full:
 * @batch: a batch
 *
 * Returns: %TRUE if nothing more fits
 */
bool
mh_batch_is_full (const MhBatch *batch);

/**
 * mh_batch_deleted_with_final:
 * @job: a job that has ended
 * @settings: tell how much a transaction takes
 *
 * Returns: how many of the job's further records, from the second on, are removed in the
 * transaction that writes the final one
 */
guint
mh_batch_deleted_with_final (const MhJob *job, const MhSettings *settings);
