/* Jobs, their tasks and their records in memory.

   A job belongs to the leader's memory from its submission until its final record is durable. What
   users are told of it (mh_job_answer) rests on durable records alone. */
#pragma once

#include "controller/core-types.h"
#include "jobs/job-failures.h"

typedef enum
{
  MH_TASK_PENDING,
  MH_TASK_LIVE, /* an attempt may be on a machine */
  MH_TASK_DONE
} MhTaskState;

typedef struct
{
  MhAttempt *live;
  guint32 attempt; /* the last one given out */
  guint8 state;
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

typedef struct
{
  guint64 id;
  MhUserVerb verb;
} MhWaiter;

struct MhJob
{
  MhJobSpec *spec;
  GRefString *image, *zone; /* the spec's, interned: compared by address; zone NULL: any */
  gint64 submitted_wall_us, submitted_us;
  MhTask *tasks;
  MhRecord *records;
  guint n_records, chunk; /* tasks in one record */
  guint n_done, n_live, n_running;
  guint n_unheard;     /* live attempts on machines that have not reported to this leader */
  guint cursor;        /* no pending task below it */
  bool accepted;       /* its first record is durable */
  bool cancelled;      /* the user asked */
  bool cancel_durable; /* and may be told so */
  bool finished;       /* nothing left to do: the final record is wanted */
  bool final;          /* ... and durable */
  MhJobState final_state;
  GArray *waiters; /* MhWaiter */
  /* placement */
  bool guaranteed;
  MhJobFailures failures;
  gint64 retry_us;         /* no start before */
  gint64 wanted_us;        /* pending and unplaced since; 0: not */
  gint64 start_by_us;      /* the latest start that is in time */
  gint64 run_us, fetch_us; /* expected, of a task; kept by the plan of rentals */
  bool hopeless;           /* no aim can be met any more */
  /* of a gang */
  bool ending;           /* a task of the attempt is over, or all are told to stop */
  gint64 gathering_us;   /* a task waits for the others since; 0: none was seen to */
  guint held;            /* tasks for which room is held, in this pass, */
  const char *held_zone; /* in the only zone that it may come to; interned, NULL: any */
  /* re-chunked in smaller records: see storage/rechunk.h */
  guint unchunked_records; /* that are being replaced; 0: none are */
  bool starved;            /* nothing of it has begun for long */
};

/* `chunk` 0: as large as values of `value_bytes` take. */
MhJob *
mh_job_new (MhJobSpec *spec, guint chunk, guint value_bytes, gint64 submitted_wall_us,
            const MhNow *now);
void
mh_job_free (MhJob *job);
MhRecord *
mh_job_record (MhJob *job, guint index); /* that holds task `index` */
bool
mh_job_is_gang (const MhJob *job); /* its tasks run all at the same time, or not at all */
bool
mh_job_backs_off (const MhJob *job); /* it fails wherever it starts */
guint
mh_job_pending (const MhJob *job);
bool
mh_job_over (const MhJob *job); /* takes no more starts */
gint64
mh_job_grace_us (const MhJob *job);
void
mh_job_answer (const MhJob *job, MhUserAnswer *answer);
/* How many tasks' entries fit a value beside the job itself; 0: the job alone is too large. */
guint
mh_job_chunk (const MhJobSpec *spec, guint value_bytes);
