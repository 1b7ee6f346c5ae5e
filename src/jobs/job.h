/* Jobs, their tasks and their records in memory.

   A job belongs to the leader's memory from its submission until its final record is durable. What
   users are told of it (mh_job_fill_answer) rests on durable records alone. */
#pragma once

#include "runtime/runtime.h"
#include "jobs/gang-state.h"
#include "jobs/job-failures.h"
#include "protocol/cloud-messages.h"
#include "protocol/job-spec.h"
#include "protocol/user-messages.h"
#include "runtime/runtime.h"

/** MhJob: a job in memory */
typedef struct MhJob MhJob;
/** MhRecord: a record of a job in the key-value store */
typedef struct MhRecord MhRecord;
/** MhAttempt: one go at running a task; see src/cluster/attempt.h. Opaque to the jobs layer. */
typedef struct MhAttempt MhAttempt;

/**
 * MhTeamUse:
 * @cpus: processors
 * @gpus: accelerators
 *
 * What tasks of one team occupy, or are planned to.
 */
typedef struct
{
  double cpus, gpus;
} MhTeamUse;

/** MhTaskState: whether a task has still to be started, and whether it is done. */
typedef enum
{
  MH_TASK_PENDING,
  MH_TASK_LIVE, /* an attempt may be on a machine */
  MH_TASK_DONE
} MhTaskState;

/** MhTask: one task of a job. */
typedef struct
{
  MhAttempt *live; /* not owned; NULL unless @state is MH_TASK_LIVE */
  guint32 attempt; /* number of the last attempt; 0: none yet */
  guint8 state;    /* MhTaskState, in a byte: a job may have 100,000 tasks */
} MhTask;

/**
 * MhUrgency:
 * @MH_URGENCY_USER: a user or a service waits
 * @MH_URGENCY_START: a start, or the end of a job
 * @MH_URGENCY_PROGRESS: anything else
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
 * @MH_RECORD_CLEAN: nothing of it waits to be written
 * @MH_RECORD_QUEUED: waits to be written
 * @MH_RECORD_REFUSED: the store refused it as malformed; waits, and is not written again for a
 * while
 * @MH_RECORD_WRITING: a transaction with it is under way
 * @MH_RECORD_REWRITTEN: ... and memory has changed since
 * @MH_RECORD_WRITING_QUEUED: ... and it waits to be written once more
 * @MH_RECORD_IN_DOUBT: a submission met an earlier job with the same id; a read under way decides
 *
 * Between memory and the store; see storage/record-state.h.
 */
typedef enum
{
  MH_RECORD_CLEAN,
  MH_RECORD_QUEUED,
  MH_RECORD_REFUSED,
  MH_RECORD_WRITING,
  MH_RECORD_REWRITTEN,
  MH_RECORD_WRITING_QUEUED,
  MH_RECORD_IN_DOUBT
} MhRecordState;
/** MH_RECORD_STATES: number of states */
#define MH_RECORD_STATES 7

/**
 * MhRecord:
 * @job: that it belongs to, and that owns it
 * @chunk: which part of the job's tasks it tells of; 0 carries the job itself, too
 * @state: between memory and the store
 * @urgency: in which queue it waits, while it does
 * @requeue_urgency: how soon what changed while it was being written must be written
 * @write_alone: was refused as malformed with others; is to be written by itself
 * @version: of its key in the store; 0: does not exist yet
 * @revision: of the last change in memory
 * @durable_revision: what memory held then is stored
 * @rechunked_revision: what memory held then is stored, but while the job is being re-chunked it
 * counts only after that; 0: nothing is
 * @refused_until_us: not written before that steady time, in microseconds
 * @queue_link: its place in the queue
 *
 * A record of a job in the key-value store.
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
  GList queue_link;
};

/** MhWaiter: a user's request that is answered when the job's record is durable. */
typedef struct
{
  guint64 id;
  MhUserVerb verb;
} MhWaiter;

/** MhCancellation: how far the cancellation by the user has come; it is never taken back. */
typedef enum
{
  MH_CANCELLATION_NONE,
  MH_CANCELLATION_REQUESTED, /* the user asked */
  MH_CANCELLATION_DURABLE    /* ... and may be told so */
} MhCancellation;

/** MhCompletion: how far the end of the job has come; it is never taken back. */
typedef enum
{
  MH_COMPLETION_NONE,
  MH_COMPLETION_UNWRITTEN, /* nothing left to do: the final record is wanted */
  MH_COMPLETION_DURABLE    /* the final record is durable */
} MhCompletion;

/** MhJobPlacement: what the job queue and placement work out for a job; not on record. */
typedef struct
{
  bool guaranteed;          /* within its team's quota, together with the team's earlier jobs */
  bool starved;             /* nothing of it has begun for long */
  bool objectives_missed;   /* no service-level objective can be met any more */
  guint first_pending;      /* no pending task has a lower index */
  gint64 unplaced_since_us; /* has pending tasks since; 0: has none */
  gint64 latest_start_us;   /* the latest start that is in time */
  gint64 retry_after_us;    /* no start before; after failures or a worker's refusal */
  gint64 expected_run_us;   /* of one task; kept by the scale-out plan */
  gint64 expected_fetch_us; /* of the image, alone on a machine; kept by the scale-out plan */
} MhJobPlacement;

/** MhJob: a job in the leader's memory. */
struct MhJob
{
  /* as submitted */
  MhJobSpec *spec;   /* owned */
  GRefString *image; /* the spec's, interned: compared by address */
  GRefString *zone;  /* the spec's, interned; NULL: any */
  gint64 submitted_wall_us, submitted_us;
  GArray *waiters; /* MhWaiter */

  /* tasks */
  MhTask *tasks;
  guint n_done, n_live, n_running;
  guint n_unreported; /* live attempts on machines that have not reported to this leader */

  /* durable state */
  MhRecord *records;
  guint n_records;
  guint chunk;             /* tasks in one record */
  guint unchunked_records; /* that are being replaced by smaller ones; 0: none are */
  bool accepted;           /* its first record is durable */
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
 * @chunk: tasks in one record; 0: as many as values of @value_bytes take
 * @value_bytes: the state service's limit for one value
 * @submitted_wall_us: wall-clock time of the submission
 * @now: the present, by both clocks
 *
 * Returns: (transfer full): a job whose tasks are all pending; free it with mh_job_free()
 */
MhJob *
mh_job_new (MhJobSpec *spec, guint chunk, guint value_bytes, gint64 submitted_wall_us,
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
 * Returns: how many tasks are neither done nor have a live attempt
 */
guint
mh_job_pending_tasks (const MhJob *job);

/**
 * mh_job_is_gang:
 * @job: a job
 *
 * Returns: whether its tasks run all at the same time, or none does (gang scheduling)
 */
bool
mh_job_is_gang (const MhJob *job);

/**
 * mh_job_backs_off:
 * @job: a job
 *
 * Returns: %TRUE if its tasks have failed wherever they were started: one is tried at a time, after
 * exponentially growing waits
 */
bool
mh_job_backs_off (const MhJob *job);

/**
 * mh_job_is_cancelled:
 * @job: a job
 *
 * Returns: whether the user asked for its end, durably or not
 */
bool
mh_job_is_cancelled (const MhJob *job);

/**
 * mh_job_is_cancel_durable:
 * @job: a job
 *
 * Returns: whether its cancellation is on record, so that no later leader starts a task of it
 */
bool
mh_job_is_cancel_durable (const MhJob *job);

/**
 * mh_job_is_finished:
 * @job: a job
 *
 * Returns: whether nothing is left to do but to write its final record, if that is not written yet
 */
bool
mh_job_is_finished (const MhJob *job);

/**
 * mh_job_is_final:
 * @job: a job
 *
 * Returns: whether its final record is durable
 */
bool
mh_job_is_final (const MhJob *job);

/**
 * mh_job_is_over:
 * @job: a job
 *
 * Returns: whether it takes no more starts: cancelled, finished, or all tasks done
 */
bool
mh_job_is_over (const MhJob *job);

/**
 * mh_job_grace_us:
 * @job: a job
 *
 * Returns: the time that a task needs to save its checkpoint when it is stopped; 0 for a job
 * without checkpoints, whose tasks end at once
 */
gint64
mh_job_grace_us (const MhJob *job);

/**
 * mh_job_fill_answer:
 * @job: a job whose first record is durable
 * @answer: its state and counts of tasks are filled in
 *
 * What a user may be told. Only what is durable counts: an answer that a successor would take back
 * is never given.
 */
void
mh_job_fill_answer (const MhJob *job, MhUserResponse *answer);

/**
 * mh_job_tasks_per_record:
 * @spec: a job as submitted
 * @value_bytes: the state service's limit for one value
 *
 * Returns: how many tasks' entries fit a value beside the job itself; 0: the job alone is too large
 */
guint
mh_job_tasks_per_record (const MhJobSpec *spec, guint value_bytes);

/**
 * mh_job_spec_fits_type:
 * @spec: a job as submitted
 * @type: a machine type
 *
 * Returns: whether an empty machine of @type could take one task: the type and zone that the job
 * asks for, and its resources
 */
bool
mh_job_spec_fits_type (const MhJobSpec *spec, const MhMachineType *type);

/**
 * mh_job_spec_fetch_us:
 * @spec: a job as submitted
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 *
 * Returns: how long the fetch of the job's image takes alone, on the first type that fits; 0 if
 * none does
 */
gint64
mh_job_spec_fetch_us (const MhJobSpec *spec, const GPtrArray *types);
