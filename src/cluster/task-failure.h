/* Attribution of task failures to jobs or machines: a faulty job fails on every machine, a faulty
   machine fails every job.

   A job that has failed several times, on different machines or after a while, and has not
   succeeded, backs off: one of its tasks is started at a time, after exponentially growing waits,
   and its failures count against no machine, unless they all happened on a single one. For each
   task that then runs for a few seconds another one may be started, and the back-off ends when a
   task has completed, or has run for half a minute: replicas of a service never complete. A machine
   that keeps failing tasks of other jobs is released. The back-off level is part of the job's first
   record, so that a new leader continues with it. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_task_failure_record_failure:
 * @cluster: the cluster
 * @machine: the machine on which the task failed
 * @job: its job
 *
 * Counts a task that failed without having been stopped. May release the machine. May make the job
 * back off, which stops those of its tasks that still fetch their image.
 */
void
mh_task_failure_record_failure (MhCluster *cluster, MhMachine *machine, MhJob *job);

/**
 * mh_task_failure_record_success:
 * @cluster: the cluster
 * @machine: the machine on which the task completed
 * @job: its job
 *
 * Neither machine nor job is faulty. The job's earlier failures now count against the machines on
 * which they happened, which may be released for it.
 */
void
mh_task_failure_record_success (MhCluster *cluster, MhMachine *machine, MhJob *job);

/**
 * mh_task_failure_note_running:
 * @cluster: the cluster
 * @attempt: an attempt that its worker reports as running
 *
 * To be called for each such report. Ends the back-off of the job, or allows more of its tasks to
 * be started, when the attempt has run for long enough. May release machines on which the job
 * failed.
 */
void
mh_task_failure_note_running (MhCluster *cluster, const MhAttempt *attempt);

/**
 * mh_task_failure_load_back_off:
 * @cluster: the cluster
 * @job: a job that is being loaded
 * @level: back-off level in its record; 0: it does not back off
 */
void
mh_task_failure_load_back_off (MhCluster *cluster, MhJob *job, guint level);

/**
 * mh_task_failure_count_startable:
 * @cluster: the cluster
 * @job: a job
 *
 * Returns: how many of its pending tasks may be started now
 */
guint
mh_task_failure_count_startable (const MhCluster *cluster, const MhJob *job);

/**
 * mh_task_failure_count_scale_out:
 * @cluster: the cluster
 * @job: a job
 *
 * Returns: for how many of its pending tasks machines may be created now
 */
guint
mh_task_failure_count_scale_out (const MhCluster *cluster, const MhJob *job);
