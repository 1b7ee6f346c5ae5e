/* Estimates of how long tasks run.

   Users' estimates are often wrong, and on some days all in the same direction. For each class of
   jobs, the estimator keeps the ratio of the actual run time to the user's estimate, as an
   exponential moving average that begins as the plain mean. */
#pragma once

#include "protocol/job-spec.h"

/** MhRuntimeEstimator: run-time statistics of all classes of jobs. */
typedef struct MhRuntimeEstimator MhRuntimeEstimator;

/**
 * mh_runtime_estimator_new:
 *
 * Returns: (transfer full): an estimator without samples
 */
MhRuntimeEstimator *
mh_runtime_estimator_new (void);

/**
 * mh_runtime_estimator_free:
 * @estimator: (transfer full): an estimator
 */
void
mh_runtime_estimator_free (MhRuntimeEstimator *estimator);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRuntimeEstimator, mh_runtime_estimator_free)

/**
 * mh_runtime_estimator_observe:
 * @estimator: an estimator
 * @spec: a job
 * @ran_us: how long a task of the job has run until it was done
 *
 * Adds a sample. Jobs whose estimate is missing or less than a second are ignored: their ratio says
 * nothing about other jobs of the class.
 */
void
mh_runtime_estimator_observe (MhRuntimeEstimator *estimator, const MhJobSpec *spec, gint64 ran_us);

/**
 * mh_runtime_estimator_ratio:
 * @estimator: an estimator
 * @class_name: a class of jobs
 *
 * Returns: the ratio of the run time of tasks of the class to their users' estimates, within fixed
 * bounds; 1 while there are too few samples
 */
double
mh_runtime_estimator_ratio (const MhRuntimeEstimator *estimator, const char *class_name);

/**
 * mh_runtime_estimator_run_us:
 * @estimator: an estimator
 * @spec: a job
 *
 * Returns: how long a task of the job is expected to run
 */
gint64
mh_runtime_estimator_run_us (const MhRuntimeEstimator *estimator, const MhJobSpec *spec);
