/* Reads for users who ask about jobs that are not in the leader's memory, or while there is no
   leader.

   A job is never called unknown unless its records are absent and nobody else can be writing them.
   Questions about one job that come together share their reads, and where more wait than the
   key-value store serves in a second, further ones are answered 503 at once. */
#pragma once

#include "jobs/job.h"
#include "runtime/call-queue.h"

/** MhJobLookup: reads for users about jobs that are not in memory */
typedef struct MhJobLookup MhJobLookup;

/**
 * MhJobLookupFinalFunc:
 * @owner: what was registered with the function
 * @job: id of a job
 * @answer: what users are told of it from now on
 *
 * Takes a final state that was read, to be remembered.
 */
typedef void (*MhJobLookupFinalFunc) (gpointer owner, const char *job,
                                      const MhUserResponse *answer);

/**
 * mh_job_lookup_new:
 * @runtime: (not transferred): must outlive the object
 * @calls: (not transferred): must outlive the object
 * @jobs: (not transferred) (element-type utf8 MhJob): the leader's jobs by id
 * @final_func: takes final states that were read
 * @owner: passed to @final_func
 *
 * Returns: (transfer full): an object without questions
 */
MhJobLookup *
mh_job_lookup_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                   MhJobLookupFinalFunc final_func, gpointer owner);

/**
 * mh_job_lookup_free:
 * @lookup: (transfer full) (nullable): one none of whose calls is under way any more
 *
 * Frees it.
 */
void
mh_job_lookup_free (MhJobLookup *lookup);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobLookup, mh_job_lookup_free)

/**
 * MhLookupScope:
 * @MH_LOOKUP_LEADERLESS: nobody is known to lead: the running record, the final one and the
 * leader's key are read
 * @MH_LOOKUP_LEADER: this controller leads, with a valid lease, and has looked in its memory: only
 * the final record is left to read
 *
 * What an answer rests on. A leader whose lease had run out once said that it never heard of
 * unfinished jobs, since it was asked for its phase alone.
 */
typedef enum
{
  MH_LOOKUP_LEADERLESS,
  MH_LOOKUP_LEADER
} MhLookupScope;

/**
 * mh_job_lookup_ask:
 * @lookup: an object
 * @request_id: of the user's request, which is answered some time later, or at once
 * @job: id of the job that is asked about
 * @verb: what the user wants
 * @scope: what the answer rests on
 *
 * Reads what is stored of the job, and answers the user.
 */
void
mh_job_lookup_ask (MhJobLookup *lookup, guint64 request_id, const char *job, MhUserVerb verb,
                   MhLookupScope scope);
