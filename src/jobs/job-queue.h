/* The job queue: the jobs that have tasks to start, in the order in which they are started. */
#pragma once

#include "jobs/job.h"
#include "jobs/runtime-estimate.h"
#include "settings/settings.h"

/**
 * MhJobQueueScope:
 * @MH_JOB_QUEUE_ACCEPTED: jobs whose first record is durable, so that their tasks may be started
 * @MH_JOB_QUEUE_ALL: these, and jobs whose first record is still being written
 *
 * Which jobs a query of the queue covers.
 */
typedef enum
{
  MH_JOB_QUEUE_ACCEPTED,
  MH_JOB_QUEUE_ALL
} MhJobQueueScope;

/**
 * MhJobTier:
 * @MH_TIER_URGENT_GUARANTEED: jobs of high priority within their team's quota
 * @MH_TIER_URGENT: jobs of high priority beyond their team's quota
 * @MH_TIER_GUARANTEED: other jobs within their team's quota
 * @MH_TIER_REST: all other jobs
 *
 * Tiers of jobs. All jobs of a tier come before those of the next one.
 */
typedef enum
{
  MH_TIER_URGENT_GUARANTEED,
  MH_TIER_URGENT,
  MH_TIER_GUARANTEED,
  MH_TIER_REST
} MhJobTier;

/** MhJobQueue: the job queue. It does not own the jobs. */
typedef struct MhJobQueue MhJobQueue;

/**
 * mh_job_queue_new:
 * @settings: (transfer none): settings with quotas and objectives; must outlive the queue
 * @jobs: (element-type utf8 MhJob): all jobs by id; the queue holds a reference
 * @estimator: (transfer none): estimates run times; must outlive the queue
 *
 * Returns: (transfer full): a queue; free it with mh_job_queue_free()
 */
MhJobQueue *
mh_job_queue_new (const MhSettings *settings, GHashTable *jobs,
                  const MhRuntimeEstimator *estimator);

/**
 * mh_job_queue_free:
 * @queue: (transfer full): a queue
 */
void
mh_job_queue_free (MhJobQueue *queue);

/**
 * mh_job_queue_pending:
 * @queue: a queue
 * @scope: which jobs to return
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 * @now_us: the current time, by the monotonic clock
 *
 * Updates the members of MhJobPlacement that depend on the present, and sorts the jobs.
 *
 * Returns: (transfer container) (element-type MhJob): the jobs with pending tasks, in the order in
 * which they are to be started
 */
GPtrArray *
mh_job_queue_pending (MhJobQueue *queue, MhJobQueueScope scope, const GPtrArray *types,
                      gint64 now_us);

/**
 * mh_job_queue_tier:
 * @job: a job that mh_job_queue_pending() has updated
 *
 * Returns: the tier of the job
 */
MhJobTier
mh_job_queue_tier (const MhJob *job);

/**
 * mh_job_queue_compare:
 * @left: (type MhJob**): a job
 * @right: (type MhJob**): another one
 *
 * Compares two jobs by the order in which they are started. Starved jobs below
 * %MH_TIER_GUARANTEED count as jobs of that tier. The keys are: tier; starved jobs before others,
 * and among each other by submission; priority; the latest start that is in time; submission.
 *
 * Returns: less than, equal to, or greater than 0, if @left comes before, equals, or comes after
 * @right
 */
gint
mh_job_queue_compare (gconstpointer left, gconstpointer right);
