/* How long tasks run, as far as can be told.

   Owners' estimates are often wrong, and on some days all in one direction. What the tasks of a
   class took is kept as a multiple of what their owners said: an exponential moving average that
   begins as the plain mean. */
#pragma once

#include "protocol/job-spec.h"

/** MhRuntimeEstimator: the statistics of all classes of jobs. */
typedef struct MhRuntimeEstimator MhRuntimeEstimator;

/**
 * mh_runtime_estimator_new:
 *
 * Returns: (transfer full): an estimator that has seen nothing
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
 * @ran_us: for how long a task of it has run until it was done
 *
 * Jobs whose owner said nothing, or less than a second, tell nothing of others.
 */
void
mh_runtime_estimator_observe (MhRuntimeEstimator *estimator, const MhJobSpec *spec, gint64 ran_us);

/**
 * mh_runtime_estimator_ratio:
 * @estimator: an estimator
 * @class_name: a class of jobs
 *
 * Returns: what tasks of the class take, as a multiple of their owners' estimates, within bounds; 1
 * until some have been seen
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
