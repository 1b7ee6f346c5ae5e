/* The job queue: which jobs have tasks to start, and which of them come first. */
#pragma once

#include "jobs/job.h"

/**
 * MhJobQueueScope:
 * @MH_JOB_QUEUE_ACCEPTED: jobs that may be started
 * @MH_JOB_QUEUE_ALL: ... and those whose first record is still being written
 */
typedef enum
{
  MH_JOB_QUEUE_ACCEPTED,
  MH_JOB_QUEUE_ALL
} MhJobQueueScope;

/**
 * MhJobTier:
 * @MH_TIER_URGENT_GUARANTEED: urgent work within its team's quota
 * @MH_TIER_URGENT: urgent work beyond it
 * @MH_TIER_GUARANTEED: other work within a quota
 * @MH_TIER_REST: the rest
 *
 * Classes of work: whatever stands in an earlier one comes first.
 */
typedef enum
{
  MH_TIER_URGENT_GUARANTEED,
  MH_TIER_URGENT,
  MH_TIER_GUARANTEED,
  MH_TIER_REST
} MhJobTier;

/**
 * mh_job_queue_pending:
 * @core: the controller
 * @scope: which jobs
 *
 * Works out for each job what depends on the present (MhJobPlacement), and sorts.
 *
 * Returns: (transfer container) (element-type MhJob): jobs with pending tasks, in the order in
 * which they are to be started
 */
GPtrArray *
mh_job_queue_pending (MhCore *core, MhJobQueueScope scope);

/**
 * mh_job_queue_tier:
 * @job: a job that has been in the queue
 *
 * Returns: its class of work
 */
MhJobTier
mh_job_queue_tier (const MhJob *job);

/**
 * mh_job_queue_compare:
 * @left: (type MhJob**): a job
 * @right: (type MhJob**): another one
 *
 * The documented order: tier; starved jobs within theirs, by submission; priority; the latest start
 * that is in time; submission.
 *
 * Returns: less than, equal to, or greater than 0, as @left comes first, or not
 */
gint
mh_job_queue_compare (gconstpointer left, gconstpointer right);
