/* Answers users' requests from the key-value store: requests about jobs that are not in the
   leader's memory, and requests while there is no leader.

   A user gets the response that a job is unknown only if its records are absent and no controller
   can be writing them. Status queries about the same job share their reads. If more reads are
   queued than this controller may send in a second, further status queries are answered 503 at
   once, and so are submissions that would get 503 if their job had no record. */
#pragma once

#include "jobs/job.h"
#include "runtime/call-queue.h"

/** MhJobLookup: responds to requests about jobs from the key-value store */
typedef struct MhJobLookup MhJobLookup;

/**
 * MhJobLookupFinalFunc:
 * @owner: the owner passed to mh_job_lookup_new ()
 * @job: the id of a job
 * @response: the response to all later requests about the job
 *
 * Called with a final state that was read, so that it can be cached.
 */
typedef void (*MhJobLookupFinalFunc) (gpointer owner, const char *job,
                                      const MhUserResponse *response);

/**
 * mh_job_lookup_new:
 * @runtime: (transfer none): must outlive the object
 * @calls: (transfer none): must outlive the object
 * @jobs: (transfer none) (element-type utf8 MhJob): the leader's jobs by id
 * @final_func: called with each final state that is read
 * @owner: passed to @final_func
 *
 * Returns: (transfer full): a lookup without requests
 */
MhJobLookup *
mh_job_lookup_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                   MhJobLookupFinalFunc final_func, gpointer owner);

/**
 * mh_job_lookup_free:
 * @lookup: (transfer full) (nullable): a lookup without queued or unanswered calls
 *
 * Frees it.
 */
void
mh_job_lookup_free (MhJobLookup *lookup);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobLookup, mh_job_lookup_free)

/**
 * MhLookupScope:
 * @MH_LOOKUP_LEADERLESS: no leader is known: the first record, the final record and the leader's
 * key are read
 * @MH_LOOKUP_LEADER: this controller leads with a valid lease, and did not find the job accepted in
 * its memory: only the final record is read
 *
 * Which records a response requires. The caller must check the lease as well as the state of the
 * election before it passes MH_LOOKUP_LEADER: a leader whose lease has expired would otherwise
 * respond that unfinished jobs are unknown.
 */
typedef enum
{
  MH_LOOKUP_LEADERLESS,
  MH_LOOKUP_LEADER
} MhLookupScope;

/**
 * MhLookupAbsence:
 * @MH_LOOKUP_UNKNOWN_JOB: 404: the job is not known
 * @MH_LOOKUP_IMPOSSIBLE: 422: a submission of a job that can never run
 * @MH_LOOKUP_INCOMPLETE: 400: a submission that lacks a field
 * @MH_LOOKUP_TOO_LARGE: 400: a submission whose record would be too large
 * @MH_LOOKUP_UNDECIDED: 503: a submission that can be neither accepted nor refused yet
 * @MH_LOOKUP_REFUSED_BY_STORE: 503: a submission whose record the store refuses
 *
 * What the user gets if the job has no record, so that it was never accepted.
 */
typedef enum
{
  MH_LOOKUP_UNKNOWN_JOB,
  MH_LOOKUP_IMPOSSIBLE,
  MH_LOOKUP_INCOMPLETE,
  MH_LOOKUP_TOO_LARGE,
  MH_LOOKUP_UNDECIDED,
  MH_LOOKUP_REFUSED_BY_STORE
} MhLookupAbsence;

/**
 * MhLookupRequest:
 * @id: the id of the user's request
 * @job: the id of the job that the request is about
 * @verb: what the user requests
 * @scope: which records the response requires
 * @absence: the response if there are none
 *
 * A user's request that is answered from the records.
 */
typedef struct
{
  guint64 id;
  const char *job;
  MhUserVerb verb;
  MhLookupScope scope;
  MhLookupAbsence absence;
} MhLookupRequest;

/**
 * mh_job_lookup_ask:
 * @lookup: a lookup
 * @request: the request
 *
 * Reads the records of the job, and responds to the request when they are read. Responds at once if
 * too many reads are queued.
 */
void
mh_job_lookup_ask (MhJobLookup *lookup, const MhLookupRequest *request);
