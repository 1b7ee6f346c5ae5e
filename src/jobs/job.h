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

/* A record in the state service: chunk 0 carries the job itself. */
struct MhRecord
{
  MhJob *job;
  guint chunk;
  guint64 version;       /* 0: does not exist yet */
  guint64 rev;           /* of memory */
  guint64 durable;       /* of the state service */
  guint64 rechunked_rev; /* ... while the job is being re-chunked, and counts only after that */
  guint urgency;         /* in which queue, while queued */
  guint again;           /* ... once it is written */
  bool queued, writing;
  bool alone;              /* was refused with others: is to be written by itself */
  gint64 refused_until_us; /* was refused by itself; not written before */
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
  /* re-chunked in smaller records: see store.c */
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
