/* What the submitted jobs really do: how long a task runs, whether it fails, and what is done. The
   controllers know nothing of this but what workers report. */
#pragma once

#include "protocol/job-spec.h"

/**
 * WorkloadJob:
 * @spec: as submitted; owned
 * @run_us: what a task really takes; 0: it runs for ever
 * @stagger_us: each task takes so much longer than the one before it
 * @cancelled_us: when the user was told of the cancellation; 0: not
 * @accepted: a user was told that the job is accepted
 * @fails: on every machine: it was submitted with a mistake
 * @running_attempt: of a gang: the attempt whose tasks run; 0: none
 * @saved_progress_us: of a gang: the progress of its last checkpoint
 * @running_since_us: of a gang: when @running_attempt began to run
 * @incomplete_since_us: of a gang: since when it lacks a task; 0: it does not
 * @stop_requested_us: of a gang: when the first of its tasks was told to save and stop; 0: none
 * @orderly_stops: of a gang: how often all of it saved and stopped
 * @schedulable_since_us: since when it waits although there is room for a task of it; 0: it does
 * not
 * @task_done: by task: 1 when it has run to its end
 * @done_count: how many of @task_done are 1
 */
typedef struct
{
  MhJobSpec *spec;
  gint64 run_us;
  gint64 stagger_us;
  gint64 cancel_confirmed_us;
  bool accepted;
  bool always_fails;
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
 * @jobs: job's id -> WorkloadJob
 */
typedef struct
{
  GHashTable *jobs;
} Workload;

/** workload_new: Returns: (transfer full): without jobs */
Workload *
workload_new (void);
/** workload_free: @workload: with all its jobs */
void
workload_free (Workload *workload);
/**
 * workload_add:
 * @spec: (transfer full): its id must be new
 * @run_us: what a task takes; 0: it runs for ever
 *
 * Returns: the job, which the workload owns
 */
WorkloadJob *
workload_add (Workload *workload, MhJobSpec *spec, gint64 run_us);
/** workload_find: Returns: (nullable): the job of that id */
WorkloadJob *
workload_find (const Workload *workload, const char *job_id);
/** workload_job_is_gang: Returns: whether its tasks run together or not at all */
bool
workload_job_is_gang (const WorkloadJob *job);
/** workload_job_finish_task: A task has run to its end, be it for the first time or again. */
void
workload_job_finish_task (WorkloadJob *job, guint task_index);
/** workload_describe: Appends a line a job to @out, in the order of their ids. */
void
workload_describe (const Workload *workload, GString *out);
