/* Jobs, their tasks and their records in memory.

   The leader keeps a job in memory from its submission until its final record is durable. The
   acceptance, cancellation and end of a job are shown to users only when they are durable. */
#pragma once

#include "jobs/gang-state.h"
#include "jobs/job-failures.h"
#include "protocol/cloud-messages.h"
#include "protocol/job-spec.h"
#include "protocol/user-messages.h"
#include "runtime/runtime.h"

/** MhJob: a job in the leader's memory */
typedef struct MhJob MhJob;
/** MhRecord: a record of a job in the key-value store */
typedef struct MhRecord MhRecord;
/** MhAttempt: one start of a task; see src/cluster/attempt.h. Opaque to the jobs layer. */
typedef struct MhAttempt MhAttempt;

/**
 * MhTeamUse:
 * @cpus: processors
 * @gpus: accelerators
 *
 * The resources that the tasks of one team use, or are planned to use.
 */
typedef struct
{
  double cpus, gpus;
} MhTeamUse;

/** MhTaskState: the state of a task. */
typedef enum
{
  MH_TASK_PENDING, /* has to be started */
  MH_TASK_LIVE,    /* has an attempt, which may be on a machine */
  MH_TASK_DONE     /* has completed */
} MhTaskState;

/** MhTask: one task of a job. */
typedef struct
{
  MhAttempt *live; /* the live attempt, not owned; NULL unless @state is MH_TASK_LIVE */
  guint32 attempt; /* number of the last attempt; 0: none yet */
  guint8 state;    /* an MhTaskState, in one byte since a job may have 100,000 tasks */
} MhTask;

/**
 * MhUrgency:
 * @MH_URGENCY_USER: a user waits for the write, or it records the start of a service or a gang
 * @MH_URGENCY_START: the write records another start, or the end of a job
 * @MH_URGENCY_PROGRESS: any other write
 *
 * How soon a record must be written, the most urgent first.
 */
typedef enum
{
  MH_URGENCY_USER,
  MH_URGENCY_START,
  MH_URGENCY_PROGRESS
} MhUrgency;
/** MH_URGENCIES: number of urgencies */
#define MH_URGENCIES 3

/**
 * MhRecordState:
 * @MH_RECORD_CLEAN: the record needs no write
 * @MH_RECORD_QUEUED: the record is in the queue of records to be written
 * @MH_RECORD_REFUSED: the record is in the queue, but the store has refused it as malformed; it is
 * not written again until a back-off has passed
 * @MH_RECORD_WRITING: a transaction that carries the record is in flight
 * @MH_RECORD_WRITING_CHANGED: a transaction that carries the record is in flight, and the record
 * has changed in memory since the transaction was made
 * @MH_RECORD_WRITING_QUEUED: a transaction that carries the record along with the first record of
 * its job is in flight, and the record is also in the queue, so that it is written again
 * @MH_RECORD_IN_DOUBT: the write of a submission conflicted with an earlier job of the same id; a
 * read in flight determines the response to the submission
 *
 * The state of a record between memory and the key-value store; see storage/record-state.h.
 */
typedef enum
{
  MH_RECORD_CLEAN,
  MH_RECORD_QUEUED,
  MH_RECORD_REFUSED,
  MH_RECORD_WRITING,
  MH_RECORD_WRITING_CHANGED,
  MH_RECORD_WRITING_QUEUED,
  MH_RECORD_IN_DOUBT
} MhRecordState;
/** MH_RECORD_STATES: number of states */
#define MH_RECORD_STATES 7

/**
 * MhRecord:
 * @job: the job that the record belongs to, and that owns it
 * @chunk: index of the record: which part of the job's tasks it holds. Record 0 also holds the job
 * itself
 * @state: its state between memory and the store
 * @urgency: the queue that holds it, while it is in one
 * @requeue_urgency: the urgency of changes that were made while the record was being written; if it
 * has to be written again, it is queued with this urgency
 * @write_alone: a transaction with the record was refused as malformed; the next transaction that
 * carries it carries no other record
 * @version: version of its key in the store; 0: the key does not exist yet
 * @revision: revision of its last change in memory
 * @durable_revision: the last revision that is durable
 * @rechunked_revision: the last revision that is stored; 0: none. While the job is being
 * re-chunked, it becomes durable only when the new layout is in force
 * @refused_until_us: monotonic time before which the record is not written again after the store
 * has refused it, in microseconds
 * @queued_us: monotonic time at which it was added to that queue, in microseconds
 * @queue_link: its link in the queue
 *
 * A record of a job, as memory and the key-value store hold it.
 */
struct MhRecord
{
  MhJob *job;
  guint chunk;
  MhRecordState state;
  MhUrgency urgency;
  MhUrgency requeue_urgency;
  bool write_alone;
  guint64 version;
  guint64 revision;
  guint64 durable_revision;
  guint64 rechunked_revision;
  gint64 refused_until_us;
  gint64 queued_us;
  GList queue_link;
};

/** MhWaiter: a user's request that is answered when a record of the job is durable. */
typedef struct
{
  guint64 id;
  MhUserVerb verb;
} MhWaiter;

/** MhCancellation: the progress of a cancellation by the user; it is never revoked. */
typedef enum
{
  MH_CANCELLATION_NONE,
  MH_CANCELLATION_REQUESTED, /* the user has asked for it */
  MH_CANCELLATION_DURABLE    /* it is durable, and may be confirmed to the user */
} MhCancellation;

/** MhCompletion: the progress of the job's end; it is never revoked. */
typedef enum
{
  MH_COMPLETION_NONE,
  MH_COMPLETION_UNWRITTEN, /* the job has ended; its final record has to be written */
  MH_COMPLETION_DURABLE    /* the final record is durable */
} MhCompletion;

/** MhJobPlacement: what the job queue and placement compute for a job. It is not stored. */
typedef struct
{
  bool guaranteed;          /* within its team's quota, together with the team's earlier jobs */
  bool starved;             /* none of its tasks has started for a long time */
  bool objectives_missed;   /* its deadline, or all its objectives, can no longer be met */
  guint first_pending;      /* no pending task has a lower index */
  gint64 unplaced_since_us; /* monotonic time since when it has pending tasks; 0: it has none */
  gint64 latest_start_us;   /* latest start that meets its deadline or objectives */
  gint64 retry_after_us;    /* no start before then; set after failures or a worker's refusal */
  gint64 expected_run_us;   /* run time of one task; updated by the scale-out plan */
  gint64 expected_fetch_us; /* fetch time of the image alone; updated by the scale-out plan */
} MhJobPlacement;

/** MhJob: a job in the leader's memory. */
struct MhJob
{
  /* The job as submitted. */
  MhJobSpec *spec;   /* owned */
  GRefString *image; /* the spec's image, interned: compared by address */
  GRefString *zone;  /* the spec's zone, interned; NULL: any */
  gint64 submitted_wall_us, submitted_us;
  GArray *waiters; /* MhWaiter */

  /* Tasks. */
  MhTask *tasks;
  guint n_done, n_live, n_running;
  guint n_unreported; /* live attempts on machines that have sent no message to this leader */

  /* Durable state. */
  MhRecord *records;
  guint n_records;
  guint tasks_per_record;
  guint n_old_layout_records; /* stored records that re-chunking replaces; 0: none */
  bool accepted;              /* its first record is durable */
  MhCancellation cancellation;
  MhCompletion completion;
  MhJobState final_state; /* with MH_COMPLETION_DURABLE */

  MhJobPlacement placement;
  MhJobGang gang;
  MhJobFailures failures;
};

/**
 * mh_job_new:
 * @spec: (transfer full): the job as submitted
 * @tasks_per_record: tasks in one record; 0: as many as fit values of @value_bytes
 * @value_bytes: the key-value store's limit for one value
 * @submitted_wall_us: wall-clock time of the submission
 * @now: the present, by both clocks
 *
 * Returns: (transfer full): a job whose tasks are all pending; free it with mh_job_free()
 */
MhJob *
mh_job_new (MhJobSpec *spec, guint tasks_per_record, guint value_bytes, gint64 submitted_wall_us,
            const MhNow *now);

/**
 * mh_job_free:
 * @job: (transfer full): a job without live attempts
 */
void
mh_job_free (MhJob *job);

/**
 * mh_job_record:
 * @job: a job
 * @index: a task's index
 *
 * Returns: (transfer none): the record that holds the task
 */
MhRecord *
mh_job_record (MhJob *job, guint index);

/**
 * mh_job_pending_tasks:
 * @job: a job
 *
 * Returns: the number of tasks that are not done and have no live attempt
 */
guint
mh_job_pending_tasks (const MhJob *job);

/**
 * mh_job_is_gang:
 * @job: a job
 *
 * Returns: %TRUE if its tasks run all at the same time or not at all (gang scheduling)
 */
bool
mh_job_is_gang (const MhJob *job);

/**
 * mh_job_backs_off:
 * @job: a job
 *
 * Returns: %TRUE if its tasks have failed wherever they were started. One task (or, of a gang, one
 * attempt) is then tried at a time, after exponentially growing waits
 */
bool
mh_job_backs_off (const MhJob *job);

/**
 * mh_job_is_cancelled:
 * @job: a job
 *
 * Returns: %TRUE if the user has cancelled it, whether or not that is durable yet
 */
bool
mh_job_is_cancelled (const MhJob *job);

/**
 * mh_job_is_cancel_durable:
 * @job: a job
 *
 * Returns: %TRUE if its cancellation is durable, so that no later leader starts a task of it
 */
bool
mh_job_is_cancel_durable (const MhJob *job);

/**
 * mh_job_has_ended:
 * @job: a job
 *
 * Returns: %TRUE if the job has ended, whether or not that is durable yet: all its tasks are done,
 * or it is cancelled and has no attempts. At most the write of its final record remains to be done
 */
bool
mh_job_has_ended (const MhJob *job);

/**
 * mh_job_is_end_durable:
 * @job: a job
 *
 * Returns: %TRUE if its end is durable: its final record is written, so that its state never
 * changes again
 */
bool
mh_job_is_end_durable (const MhJob *job);

/**
 * mh_job_has_no_more_starts:
 * @job: a job
 *
 * Returns: %TRUE if no task of it may be started any more: it is cancelled, whether or not attempts
 * of it are still running, or it has ended, or all its tasks are done
 */
bool
mh_job_has_no_more_starts (const MhJob *job);

/**
 * mh_job_grace_us:
 * @job: a job
 *
 * Returns: the time that a task needs to save its checkpoint when it is stopped, in microseconds; 0
 * for a job without checkpoints, whose tasks are stopped at once
 */
gint64
mh_job_grace_us (const MhJob *job);

/**
 * mh_job_fill_response:
 * @job: a job whose first record is durable
 * @response: its state and counts of tasks are filled in
 *
 * Fills in the response to a user's request. A cancellation or the end of the job shows in the
 * state only when it is durable, so that no later leader contradicts the response. Otherwise the
 * state and the counts of tasks are those in memory.
 */
void
mh_job_fill_response (const MhJob *job, MhUserResponse *response);

/**
 * mh_job_tasks_per_record:
 * @spec: a job as submitted
 * @value_bytes: the key-value store's limit for one value
 *
 * Returns: how many tasks' entries fit into a value beside the job itself; 0: the job is too large
 */
guint
mh_job_tasks_per_record (const MhJobSpec *spec, guint value_bytes);

/**
 * mh_job_spec_fits_type:
 * @spec: a job as submitted
 * @type: a machine type
 *
 * Returns: %TRUE if an empty machine of @type could run one task: it has the type and zone that the
 * job asks for, and the resources
 */
bool
mh_job_spec_fits_type (const MhJobSpec *spec, const MhMachineType *type);

/**
 * mh_job_spec_fetch_us:
 * @spec: a job as submitted
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 *
 * Returns: how long the fetch of the job's image takes on the first type that fits, without
 * competing fetches, in microseconds; 0 if no type fits
 */
gint64
mh_job_spec_fetch_us (const MhJobSpec *spec, const GPtrArray *types);
