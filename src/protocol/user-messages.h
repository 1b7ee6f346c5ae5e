/* Messages exchanged with users: submissions and the state of jobs (PROTOCOL, "Users -> controller
   nodes"). */
#pragma once

#include "protocol/job-spec.h"
#include "protocol/value.h"

/**
 * MhJobState:
 * @MH_JOB_PENDING: no task is running
 * @MH_JOB_RUNNING: at least one task is running
 * @MH_JOB_DONE: all tasks have completed; final
 * @MH_JOB_CANCELLED: cancelled by the user; final
 *
 * The state of a job, as users see it. Messages between controllers contain the numbers, which must
 * therefore not change.
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
 * @MH_USER_SUBMIT: submit a job
 * @MH_USER_STATUS: get the state of a job
 * @MH_USER_CANCEL: cancel a job
 *
 * The operation that a user requests. Messages between controllers contain the numbers, which must
 * therefore not change.
 */
typedef enum
{
  MH_USER_SUBMIT = 1,
  MH_USER_STATUS = 2,
  MH_USER_CANCEL = 3
} MhUserVerb;

/**
 * MhUserResponse:
 * @status: HTTP status
 * @retry_after_s: value of the Retry-After header; 0: no header
 * @state: state of the job; @status 200 and 201 only
 * @done: number of completed tasks; @status 200 only
 * @running: number of running tasks; @status 200 only
 *
 * The response to a user's request.
 */
typedef struct
{
  guint status;
  guint retry_after_s;
  MhJobState state;
  guint done, running;
} MhUserResponse;

/**
 * mh_submission_decode:
 * @body: (nullable): a submission, from a user or from the record of a job
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the description of the job, or %NULL when @body is
 * malformed. Its member is_incomplete tells whether a new job of that kind must be refused as
 * malformed
 */
MhJobSpec *
mh_submission_decode (const MhValue *body, GError **error);

/**
 * mh_submission_encode:
 * @spec: the description of a job
 *
 * Returns: (transfer full): the submission, which mh_submission_decode() can decode
 */
MhValue *
mh_submission_encode (const MhJobSpec *spec);

/**
 * mh_job_status_encode:
 * @id: job id
 * @response: the response to the user
 * @include_task_counts: whether to include the numbers of completed and running tasks
 *
 * Returns: (transfer full): the body of a response with status 200 or 201
 */
MhValue *
mh_job_status_encode (const char *id, const MhUserResponse *response, bool include_task_counts);
