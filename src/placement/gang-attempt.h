/* The attempts of gangs: whatever ends one task of an attempt ends the attempt.

   All tasks carry one attempt number. A start leaves only when the whole attempt is on record;
   tasks are told together to stop; and the next attempt begins when every task of the last is
   proven gone. What follows from a task's end for the others is done in the next step, since the
   caller may be walking over them. */
#pragma once

#include "cluster/cluster.h"
#include "runtime/runtime.h"

/** MhGangAttempts: the gangs that a task's end has consequences for. */
typedef struct MhGangAttempts MhGangAttempts;

/**
 * mh_gang_attempts_new:
 * @cluster: (transfer none): whose attempts are told to stop; must outlive the gangs
 * @runtime: (transfer none): must outlive the gangs
 * @jobs: (element-type utf8 MhJob): all jobs by id; a reference is held
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
 * Forgets them all: this controller no longer leads.
 */
void
mh_gang_attempts_clear (MhGangAttempts *attempts);

/**
 * mh_gang_attempts_reconcile:
 * @attempts: the gangs; this controller leads
 *
 * Carries on what the end of tasks means for their gangs; and takes back gangs that have not become
 * complete when their workers are about to give up.
 */
void
mh_gang_attempts_reconcile (MhGangAttempts *attempts);

/**
 * mh_gang_attempts_restore:
 * @attempts: the gangs; this controller has begun to lead
 * @job: a gang whose records have been read
 *
 * A task that is done, or missing, on record: so is the attempt.
 */
void
mh_gang_attempts_restore (MhGangAttempts *attempts, MhJob *job);

/**
 * mh_gang_attempts_task_ended:
 * @attempts: the gangs
 * @job: a gang
 * @done: whether the task is done
 *
 * A task is over; what that means for the others follows in mh_gang_attempts_reconcile().
 */
void
mh_gang_attempts_task_ended (MhGangAttempts *attempts, MhJob *job, bool done);

/**
 * mh_gang_attempts_stop:
 * @attempts: the gangs
 * @job: a gang
 * @grace_us: what a task needs to save its checkpoint
 *
 * All tasks are told together, with the time to save and to wait for each other.
 */
void
mh_gang_attempts_stop (MhGangAttempts *attempts, MhJob *job, gint64 grace_us);
