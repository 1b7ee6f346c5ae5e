/* The stored form of everything that must outlive a controller.

   Versions of the service run side by side and read each other's records: keys, field names and the
   meaning of each field never change, whatever the code calls them. Unknown fields are ignored. */
#pragma once

#include "jobs/job.h"
#include "protocol/value.h"

/** Keys. A job's running records are j/ID and t/ID/CHUNK; its final one is f/ID. */
#define MH_RECORD_JOBS "j/"
/** MH_RECORD_CHUNKS: keys of further tasks of jobs begin with this */
#define MH_RECORD_CHUNKS "t/"
/** MH_RECORD_FINALS: keys of final records begin with this */
#define MH_RECORD_FINALS "f/"
/** Machines that are being given back. */
#define MH_RECORD_RELEASES "r/"
/** The changes a second that the key-value store was found to take at most. */
#define MH_RECORD_LIMITS "limits"

/** Stands for the machine of a pending task that ran before. */
#define MH_RECORD_NO_MACHINE "?"

/**
 * MhStorageError:
 * @MH_STORAGE_ERROR_MISSING_FIELD: a field that must be there is not, or has another type
 * @MH_STORAGE_ERROR_INVALID_FIELD: a field has a value that nobody writes
 * @MH_STORAGE_ERROR_WRONG_JOB: the record is of another job than its key says
 *
 * Why a record cannot be read.
 */
typedef enum
{
  MH_STORAGE_ERROR_MISSING_FIELD,
  MH_STORAGE_ERROR_INVALID_FIELD,
  MH_STORAGE_ERROR_WRONG_JOB
} MhStorageError;

/** MH_STORAGE_ERROR: the domain of #GError that reading records reports */
#define MH_STORAGE_ERROR (mh_storage_error_quark ())

/**
 * mh_storage_error_quark:
 *
 * Returns: the domain of MhStorageError
 */
GQuark
mh_storage_error_quark (void);

/**
 * mh_record_key:
 * @job: id of a job
 * @chunk: which of its records; 0: the first one
 *
 * Returns: (transfer full): the key of the record
 */
char *
mh_record_key (const char *job, guint chunk);

/**
 * mh_record_final_key:
 * @job: id of a job
 *
 * Returns: (transfer full): the key of the job's final record
 */
char *
mh_record_final_key (const char *job);

/**
 * MhMachineNameFunc:
 * @attempt: a live attempt
 *
 * Returns: (transfer none): the name of the machine that @attempt is on
 */
typedef const char *(*MhMachineNameFunc) (const MhAttempt *attempt);

/**
 * mh_record_write:
 * @record: a record
 * @tag: of the transaction that stores it
 * @machine_name: tells where live attempts are
 *
 * Returns: (transfer full): the stored form of what memory holds
 */
MhValue *
mh_record_write (const MhRecord *record, const char *tag, MhMachineNameFunc machine_name);

/**
 * mh_record_write_final:
 * @job: a job that has ended
 * @tag: of the transaction that stores it
 *
 * Returns: (transfer full): the job's final record
 */
MhValue *
mh_record_write_final (const MhJob *job, const char *tag);

/**
 * mh_record_read_final:
 * @value: a final record
 * @answer: (out): what users are told of the job; status 200
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not understood
 */
bool
mh_record_read_final (const MhValue *value, MhUserResponse *answer, GError **error);

/**
 * mh_record_read_tag:
 * @value: any record of a job
 *
 * Returns: (transfer full) (nullable): the tag of the transaction that stored it
 */
char *
mh_record_read_tag (const MhValue *value);

/**
 * MhStoredJob:
 * @spec: (owned): the job as its user described it
 * @submitted_wall_us: time of day of the submission, in microseconds since 1970
 * @chunk: tasks in one record
 * @cancelled: its user has cancelled it
 * @back_off_level: how often the wait between its tries was doubled; 0: it does not back off
 *
 * What the first record of a job says beside its tasks.
 */
typedef struct
{
  MhJobSpec *spec;
  gint64 submitted_wall_us;
  guint chunk;
  bool cancelled;
  guint back_off_level;
} MhStoredJob;

/**
 * mh_stored_job_clear:
 * @stored: what was read
 *
 * Frees what @stored owns.
 */
void
mh_stored_job_clear (MhStoredJob *stored);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (MhStoredJob, mh_stored_job_clear)

/**
 * mh_record_read_job:
 * @value: the first record of a job
 * @id: of the job, by its key
 * @stored: (out): what it says; empty if it is not understood
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not understood
 */
bool
mh_record_read_job (const MhValue *value, const char *id, MhStoredJob *stored, GError **error);

/**
 * MhRecordTaskFunc:
 * @data: of who reads
 * @index: of the task in its job
 * @attempt: the last one that was given out
 * @machine: (nullable): that the attempt is on; MH_RECORD_NO_MACHINE: the task is pending. NULL: it
 * is done
 *
 * Takes what a record says of one task.
 */
typedef void (*MhRecordTaskFunc) (gpointer data, guint index, guint32 attempt, const char *machine);

/**
 * mh_record_read_tasks:
 * @value: any running record of a job
 * @func: called for each task that has been tried
 * @data: passed to @func
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not understood; @func may have been called for some tasks then
 */
bool
mh_record_read_tasks (const MhValue *value, MhRecordTaskFunc func, gpointer data, GError **error);

/**
 * mh_record_write_release:
 * @machines: names, NULL-terminated
 *
 * Returns: (transfer full): the record of machines that are being given back
 */
MhValue *
mh_record_write_release (char **machines);

/**
 * mh_record_read_release:
 * @value: a record of machines that are being given back
 * @error: MH_STORAGE_ERROR
 *
 * Returns: (transfer full) (nullable): the names of the machines; NULL: @value is not understood
 */
char **
mh_record_read_release (const MhValue *value, GError **error);

/**
 * mh_record_write_limits:
 * @write_rps: the changes a second that the key-value store takes
 *
 * Returns: (transfer full): the record of the limits
 */
MhValue *
mh_record_write_limits (double write_rps);

/**
 * mh_record_read_limits:
 * @value: the record of the limits
 * @write_rps: (out): the changes a second that the key-value store takes
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not understood
 */
bool
mh_record_read_limits (const MhValue *value, double *write_rps, GError **error);
