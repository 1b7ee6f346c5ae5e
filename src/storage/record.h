/* The stored form of all state that must outlive a controller.

   Different versions of the service run side by side and read each other's records. Keys, field
   names and the meaning of each field therefore never change, even if the names in the code do.
   Unknown fields are ignored. */
#pragma once

#include "jobs/job.h"
#include "protocol/value.h"

/** Prefix of the keys of jobs' first records. The records of a job are j/ID and t/ID/CHUNK until it
 * ends; its final record is f/ID. */
#define MH_RECORD_JOBS "j/"
/** MH_RECORD_CHUNKS: prefix of the keys of jobs' other records */
#define MH_RECORD_CHUNKS "t/"
/** MH_RECORD_FINALS: prefix of the keys of final records */
#define MH_RECORD_FINALS "f/"
/** Prefix of the keys of records of machines that are being released. */
#define MH_RECORD_RELEASES "r/"
/** Key of the record of the limits: the changes a second that the key-value store accepts. */
#define MH_RECORD_LIMITS "limits"

/** Stored in place of a machine for a pending task that had an attempt before. */
#define MH_RECORD_NO_MACHINE "?"

/**
 * MhStorageError:
 * @MH_STORAGE_ERROR_MISSING_FIELD: a required field is missing or has another type
 * @MH_STORAGE_ERROR_INVALID_FIELD: a field has a value that no version writes
 * @MH_STORAGE_ERROR_WRONG_JOB: the record describes another job than its key names
 *
 * Why a record cannot be read.
 */
typedef enum
{
  MH_STORAGE_ERROR_MISSING_FIELD,
  MH_STORAGE_ERROR_INVALID_FIELD,
  MH_STORAGE_ERROR_WRONG_JOB
} MhStorageError;

/** MH_STORAGE_ERROR: the #GError domain of errors in stored records */
#define MH_STORAGE_ERROR (mh_storage_error_quark ())

/**
 * mh_storage_error_quark:
 *
 * Returns: the #GError domain of MhStorageError
 */
GQuark
mh_storage_error_quark (void);

/**
 * mh_record_key:
 * @job: the id of a job
 * @chunk: the index of the record in the job; 0: the first one
 *
 * Returns: (transfer full): the key of the record
 */
char *
mh_record_key (const char *job, guint chunk);

/**
 * mh_record_final_key:
 * @job: the id of a job
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
 * @tag: the tag of the transaction that stores the record
 * @machine_name: returns the name of the machine that a live attempt is on
 *
 * Returns: (transfer full): the stored form of the record as it is in memory
 */
MhValue *
mh_record_write (const MhRecord *record, const char *tag, MhMachineNameFunc machine_name);

/**
 * mh_record_write_final:
 * @job: a job that has ended
 * @tag: the tag of the transaction that stores the record
 *
 * Returns: (transfer full): the job's final record
 */
MhValue *
mh_record_write_final (const MhJob *job, const char *tag);

/**
 * mh_record_read_final:
 * @value: a final record
 * @response: (out): the response to users' requests about the job, with status 200
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not a valid final record
 */
bool
mh_record_read_final (const MhValue *value, MhUserResponse *response, GError **error);

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
 * @spec: (owned): the job as its user submitted it
 * @submitted_wall_us: wall-clock time of the submission, in microseconds since 1970
 * @chunk: the number of tasks in each record
 * @cancelled: whether its user has cancelled it
 * @back_off_level: level of the exponential back-off; 0: no back-off
 *
 * The contents of a job's first record, without the tasks.
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
 * @stored: a stored job
 *
 * Frees what @stored owns.
 */
void
mh_stored_job_clear (MhStoredJob *stored);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (MhStoredJob, mh_stored_job_clear)

/**
 * mh_record_read_job:
 * @value: the first record of a job
 * @id: the id of the job in the record's key
 * @stored: (out): the contents of the record; empty if %FALSE is returned
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not a valid first record of job @id
 */
bool
mh_record_read_job (const MhValue *value, const char *id, MhStoredJob *stored, GError **error);

/**
 * MhRecordTaskFunc:
 * @data: the data passed to mh_record_read_tasks ()
 * @index: the index of the task in its job
 * @attempt: the number of the task's last attempt
 * @machine: (nullable): the name of the machine that the attempt is on; MH_RECORD_NO_MACHINE: the
 * task is pending; NULL: the task is done
 *
 * Called with the entry of one task in a record.
 */
typedef void (*MhRecordTaskFunc) (gpointer data, guint index, guint32 attempt, const char *machine);

/**
 * mh_record_read_tasks:
 * @value: any record of a job, except the final one
 * @func: called for each task that has had an attempt
 * @data: passed to @func
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if the tasks in @value are not valid; @func may have been called for some of them
 */
bool
mh_record_read_tasks (const MhValue *value, MhRecordTaskFunc func, gpointer data, GError **error);

/**
 * mh_record_write_release:
 * @machines: the names of machines, NULL-terminated
 *
 * Returns: (transfer full): the record of machines that are being released
 */
MhValue *
mh_record_write_release (char **machines);

/**
 * mh_record_read_release:
 * @value: a record of machines that are being released
 * @error: MH_STORAGE_ERROR
 *
 * Returns: (transfer full) (nullable): the names of the machines; NULL: @value is not valid
 */
char **
mh_record_read_release (const MhValue *value, GError **error);

/**
 * mh_record_write_limits:
 * @write_rps: the changes a second that the key-value store accepts
 *
 * Returns: (transfer full): the record of the limits
 */
MhValue *
mh_record_write_limits (double write_rps);

/**
 * mh_record_read_limits:
 * @value: the record of the limits
 * @write_rps: (out): the changes a second that the key-value store accepts
 * @error: MH_STORAGE_ERROR
 *
 * Returns: %FALSE if @value is not valid
 */
bool
mh_record_read_limits (const MhValue *value, double *write_rps, GError **error);
