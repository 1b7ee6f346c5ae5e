/* The job queue: which jobs have tasks to start, and which of them come first. */
#pragma once

#include "jobs/job.h"
#include "jobs/runtime-estimate.h"
#include "settings/settings.h"

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

/** MhJobQueue: the queue; it owns no jobs. */
typedef struct MhJobQueue MhJobQueue;

/**
 * mh_job_queue_new:
 * @settings: (transfer none): with quotas and objectives; must outlive the queue
 * @jobs: (element-type utf8 MhJob): all jobs by id; a reference is held
 * @estimator: (transfer none): must outlive the queue
 *
 * Returns: (transfer full): free it with mh_job_queue_free()
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
 * @scope: which jobs
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 * @now_us: the present, by the steady clock
 *
 * Works out for each job what depends on the present (MhJobPlacement), and sorts.
 *
 * Returns: (transfer container) (element-type MhJob): jobs with pending tasks, in the order in
 * which they are to be started
 */
GPtrArray *
mh_job_queue_pending (MhJobQueue *queue, MhJobQueueScope scope, const GPtrArray *types,
                      gint64 now_us);

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
