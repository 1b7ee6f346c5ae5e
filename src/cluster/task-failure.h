/* Attribution of task failures: a job with a mistake fails on every machine, a faulty machine fails
   every job.

   A job that has failed on several machines, and has succeeded on none, backs off: one task of it
   is tried at a time, after exponentially growing waits, and no machine is blamed for it. A machine
   is given back when it keeps failing tasks of jobs that are not to blame. The back-off is part of
   the job's first record, so that a new leader goes on with it. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_task_failure_record_failure:
 * @cluster: the cluster
 * @machine: where the task failed
 * @job: its job
 *
 * A task failed by itself. May give the machine back, and may make the job back off, which stops
 * those of its tasks that still fetch their image.
 */
void
mh_task_failure_record_failure (MhCluster *cluster, MhMachine *machine, MhJob *job);

/**
 * mh_task_failure_record_success:
 * @cluster: the cluster
 * @machine: where the task completed
 * @job: its job
 *
 * Neither machine nor job is at fault. What the job failed on before is: those machines are blamed,
 * and may be given back.
 */
void
mh_task_failure_record_success (MhCluster *cluster, MhMachine *machine, MhJob *job);

/**
 * mh_task_failure_load_back_off:
 * @cluster: the cluster
 * @job: a job that is being loaded
 * @level: of the back-off in its record; 0: it does not back off
 */
void
mh_task_failure_load_back_off (MhCluster *cluster, MhJob *job, guint level);

/**
 * mh_task_failure_startable:
 * @cluster: the cluster
 * @job: a job
 *
 * Returns: how many of its pending tasks may be started now
 */
guint
mh_task_failure_startable (const MhCluster *cluster, const MhJob *job);

/**
 * mh_task_failure_rentable:
 * @cluster: the cluster
 * @job: a job
 *
 * Returns: for how many of its pending tasks machines may be rented now
 */
guint
mh_task_failure_rentable (const MhCluster *cluster, const MhJob *job);
