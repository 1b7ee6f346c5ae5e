/* Messages of users: submissions, and the state of jobs (PROTOCOL, "Users -> controller nodes"). */
#pragma once

#include "protocol/job-spec.h"
#include "protocol/value.h"

/**
 * MhJobState:
 * @MH_JOB_PENDING: no task runs
 * @MH_JOB_RUNNING: a task runs
 * @MH_JOB_DONE: all tasks are done; it remains so
 * @MH_JOB_CANCELLED: cancelled by its user; it remains so
 *
 * What users are told of a job. The values stand in messages between controllers.
 */
typedef enum
{
  MH_JOB_PENDING,
  MH_JOB_RUNNING,
  MH_JOB_DONE,
  MH_JOB_CANCELLED
} MhJobState;

/**
 * MhUserVerb:
 * @MH_USER_SUBMIT: accept a job
 * @MH_USER_STATUS: tell its state
 * @MH_USER_CANCEL: cancel it
 *
 * What a user asks for. The values stand in messages between controllers.
 */
typedef enum
{
  MH_USER_SUBMIT = 1,
  MH_USER_STATUS = 2,
  MH_USER_CANCEL = 3
} MhUserVerb;

/**
 * MhUserAnswer:
 * @status: HTTP status
 * @retry_after_s: value of the header Retry-After, in seconds; 0: no such header
 * @state: state of the job; @status 200 and 201 only
 * @done: number of tasks that are done; @status 200 only
 * @running: number of tasks that run; @status 200 only
 *
 * The answer to a user.
 */
typedef struct
{
  guint status;
  guint retry_after_s;
  MhJobState state;
  guint done, running;
} MhUserAnswer;

/**
 * mh_submission_decode:
 * @body: (nullable): a submission; job records hold them too
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the job, or %NULL when @body is malformed
 */
MhJobSpec *
mh_submission_decode (const MhValue *body, GError **error);

/**
 * mh_submission_encode:
 * @spec: a job
 *
 * Returns: (transfer full): the submission, which mh_submission_decode() reads
 */
MhValue *
mh_submission_encode (const MhJobSpec *spec);

/**
 * mh_job_status_encode:
 * @id: id of a job
 * @answer: the answer to its user
 * @with_counts: whether the numbers of tasks are told too
 *
 * Returns: (transfer full): the body of an answer with status 200 or 201
 */
MhValue *
mh_job_status_encode (const char *id, const MhUserAnswer *answer, bool with_counts);
