/* The attempts of gangs. The end of one task ends the attempt of the whole gang.

   All tasks have the same attempt number. Starts are sent only once the whole attempt is on record,
   all tasks are stopped together, and the next attempt begins when every task of the last one is
   proven gone. When one task has ended, the others are stopped or completed in the next step of the
   controller, since the caller that reports the end may be iterating over them. */
#pragma once

#include "cluster/cluster.h"
#include "runtime/runtime.h"

/** MhGangAttempts: the gangs of which a task has ended, or that are being stopped. */
typedef struct MhGangAttempts MhGangAttempts;

/**
 * mh_gang_attempts_new:
 * @cluster: (transfer none): the cluster that the attempts belong to; must outlive the object
 * @runtime: (transfer none): time, log and settings; must outlive the object
 * @jobs: (element-type utf8 MhJob): all jobs by id; the object holds a reference
 *
 * Returns: (transfer full): free it with mh_gang_attempts_free()
 */
MhGangAttempts *
mh_gang_attempts_new (MhCluster *cluster, MhRuntime *runtime, GHashTable *jobs);

/**
 * mh_gang_attempts_free:
 * @attempts: (transfer full): the gangs
 */
void
mh_gang_attempts_free (MhGangAttempts *attempts);

/**
 * mh_gang_attempts_clear:
 * @attempts: the gangs
 *
 * Forgets all gangs, when this controller is no longer the leader.
 */
void
mh_gang_attempts_clear (MhGangAttempts *attempts);

/**
 * mh_gang_attempts_reconcile:
 * @attempts: the gangs; this controller is the leader
 *
 * Stops or completes the other tasks of gangs of which a task has ended. Also stops gangs that are
 * not complete shortly before their workers give up waiting.
 */
void
mh_gang_attempts_reconcile (MhGangAttempts *attempts);

/**
 * mh_gang_attempts_restore:
 * @attempts: the gangs; this controller has become the leader
 * @job: a gang whose records have been read
 *
 * Restores the state of the attempt. If the records show a task as done, or only some of the tasks
 * as started, the attempt has ended.
 */
void
mh_gang_attempts_restore (MhGangAttempts *attempts, MhJob *job);

/**
 * mh_gang_attempts_handle_task_end:
 * @attempts: the gangs
 * @job: a gang
 * @done: whether the task is done
 *
 * Handles the end of one task. The other tasks are stopped or completed in
 * mh_gang_attempts_reconcile().
 */
void
mh_gang_attempts_handle_task_end (MhGangAttempts *attempts, MhJob *job, bool done);

/**
 * mh_gang_attempts_stop:
 * @attempts: the gangs
 * @job: a gang
 * @grace_us: time that a task needs to save its checkpoint
 *
 * Stops all tasks together. If they save a checkpoint, each one also gets the time in which all
 * tasks have to learn of the stop.
 */
void
mh_gang_attempts_stop (MhGangAttempts *attempts, MhJob *job, gint64 grace_us);
