/* The real behaviour of the submitted jobs: run times, failures and which tasks are done. The
   controllers learn of it only through heartbeats. */
#pragma once

#include "protocol/job-spec.h"

/**
 * WorkloadJob:
 * @spec: as submitted; owned
 * @run_us: how long a task takes; 0: it never ends
 * @stagger_us: by how much each task takes longer than the one before it
 * @cancel_confirmed_us: when a response first reported the job as cancelled; 0: not yet
 * @accepted: a response has accepted the job
 * @always_fails: its tasks fail on every machine, because of a mistake in the submission
 * @fails_after_us: if @always_fails: how long its tasks run before that; 0: a moment
 * @running_attempt: of a gang: the attempt whose tasks run; 0: none
 * @saved_progress_us: of a gang: the progress that its last checkpoint holds
 * @running_since_us: of a gang: when @running_attempt began to run
 * @incomplete_since_us: of a gang: since when a task of the running attempt is missing; 0: none is
 * @stop_requested_us: of a gang: when the first of its tasks was commanded to save and stop; 0: not
 * @orderly_stops: of a gang: how often all its tasks saved a checkpoint and stopped
 * @schedulable_since_us: since when the job waits although a machine has room; 0: it does not
 * @task_done: by task: 1 when it has run to its end
 * @done_count: number of tasks with @task_done
 */
typedef struct
{
  MhJobSpec *spec;
  gint64 run_us;
  gint64 stagger_us;
  gint64 cancel_confirmed_us;
  bool accepted;
  bool always_fails;
  gint64 fails_after_us;
  guint64 running_attempt;
  gint64 saved_progress_us;
  gint64 running_since_us;
  gint64 incomplete_since_us;
  gint64 stop_requested_us;
  guint orderly_stops;
  gint64 schedulable_since_us;
  guint8 *task_done;
  guint done_count;
} WorkloadJob;

/**
 * Workload:
 * @jobs: id of the job -> WorkloadJob
 */
typedef struct
{
  GHashTable *jobs;
} Workload;

/** workload_new: Returns: (transfer full): a workload without jobs */
Workload *
workload_new (void);
/** workload_free: Frees @workload with all its jobs. */
void
workload_free (Workload *workload);
/**
 * workload_add:
 * @spec: (transfer full): with a new id
 * @run_us: how long a task takes; 0: it never ends
 *
 * Returns: the job, which the workload owns
 */
WorkloadJob *
workload_add (Workload *workload, MhJobSpec *spec, gint64 run_us);
/** workload_find: Returns: (nullable): the job with that id */
WorkloadJob *
workload_find (const Workload *workload, const char *job_id);
/** workload_job_is_gang: Returns: whether the tasks of the job run all together or not at all */
bool
workload_job_is_gang (const WorkloadJob *job);
/** workload_job_finish_task: Marks a task as done. It may be done already. */
void
workload_job_finish_task (WorkloadJob *job, guint task_index);
/** workload_describe: Appends a line for each job to @out, in the order of their ids. */
void
workload_describe (const Workload *workload, GString *out);
