/* Responses to users who wait until what they asked for is durable in the records of a job. */
#pragma once

#include "jobs/job.h"
#include "runtime/runtime.h"

/**
 * mh_waiter_response_send_durable:
 * @runtime: a runtime
 * @job: a job whose records have just been written
 *
 * Responds to those of its waiters whose request is durable now. The others go on waiting.
 */
void
mh_waiter_response_send_durable (MhRuntime *runtime, const MhJob *job);

/**
 * mh_waiter_response_send_all:
 * @runtime: a runtime
 * @job: a job
 * @response: what all its waiters get
 *
 * Responds to all its waiters.
 */
void
mh_waiter_response_send_all (MhRuntime *runtime, const MhJob *job, const MhUserResponse *response);
