/* Builds the transaction that writes several records: which conditions and changes each of them
   needs, and how many records fit. The order of conditions and changes is part of the observable
   behavior of the service. */
#pragma once

#include "settings/settings.h"
#include "storage/record.h"
#include "storage/transaction.h"

/**
 * MhRecordWrite:
 * @record: the record; its job exists as long as the write is in flight
 * @revision: the revision of the record in memory that is written
 * @is_final: whether the final record of the job is written in place of @record
 * @cancelled: whether the written record says that the job is cancelled
 *
 * The write of one record in a transaction.
 */
typedef struct
{
  MhRecord *record;
  guint64 revision;
  bool is_final;
  bool cancelled;
} MhRecordWrite;

/** MhBatch: builds one transaction from several records */
typedef struct MhBatch MhBatch;

/**
 * mh_batch_new:
 * @transaction: (transfer none): an empty transaction, which outlives the batch
 * @writes: (transfer none) (element-type MhRecordWrite): one item is appended for each record
 * that is added
 * @settings: (transfer none): the settings, with the limit on changes in a transaction
 * @machine_name: returns the name of the machine that a live attempt is on
 * @max_changes: the number of changes that the transaction may make, unless its first record alone
 * needs more
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
 * Frees the batch, but neither the transaction nor the list of writes.
 */
void
mh_batch_free (MhBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhBatch, mh_batch_free)

/**
 * mh_batch_add:
 * @batch: a batch
 * @record: a record that may be written now
 *
 * Adds the record, or the final record of its job if the job has ended. If @record is the first
 * record of a job that is being re-chunked, the records that must be replaced in the same
 * transaction are added too.
 *
 * Returns: %FALSE if @record does not fit; nothing was added then
 */
bool
mh_batch_add (MhBatch *batch, MhRecord *record);

/**
 * mh_batch_is_full:
 * @batch: a batch
 *
 * Returns: %TRUE if no further change fits
 */
bool
mh_batch_is_full (const MhBatch *batch);

/**
 * mh_batch_count_deleted_with_final:
 * @job: a job that has ended
 * @settings: the settings, with the limit on changes in a transaction
 *
 * Returns: how many of the job's records, counted from the second one, the transaction that writes
 * the final record deletes
 */
guint
mh_batch_count_deleted_with_final (const MhJob *job, const MhSettings *settings);
