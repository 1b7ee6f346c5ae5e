/* The attempts of gangs: whatever ends one task of an attempt ends the attempt.

   All tasks carry one attempt number. A start leaves only when the whole attempt is on record;
   tasks are told together to stop; and the next attempt begins when every task of the last is
   proven gone. What follows from a task's end for the others is done in the next step, since the
   caller may be walking over them. */
#pragma once

#include "jobs/job.h"

/** MhGangAttempts: the gangs that a task's end has consequences for. */
typedef struct MhGangAttempts MhGangAttempts;

/**
 * mh_gang_attempts_new:
 *
 * Returns: (transfer full): free it with mh_gang_attempts_free()
 */
MhGangAttempts *
mh_gang_attempts_new (void);

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
 * mh_gang_reconcile:
 * @core: the controller, which leads
 *
 * Carries on what the end of tasks means for their gangs; and takes back gangs that have not become
 * complete when their workers are about to give up.
 */
void
mh_gang_reconcile (MhCore *core);

/**
 * mh_gang_is_durable:
 * @attempt: of a gang
 *
 * A successor must not take a part of an attempt for the whole.
 *
 * Returns: whether every place of the attempt is on record, so that its starts may leave
 */
bool
mh_gang_is_durable (const MhAttempt *attempt);

/**
 * mh_gang_restore:
 * @core: the controller, which has begun to lead
 * @job: a gang whose records have been read
 *
 * A task that is done, or missing, on record: so is the attempt.
 */
void
mh_gang_restore (MhCore *core, MhJob *job);

/**
 * mh_gang_task_gathering:
 * @job: a gang
 * @now_us: the present, by the steady clock
 *
 * A task reports that it has its image and waits for the others.
 */
void
mh_gang_task_gathering (MhJob *job, gint64 now_us);

/**
 * mh_gang_task_ended:
 * @core: the controller
 * @job: a gang
 * @done: whether the task is done
 *
 * A task is over; what that means for the others follows in mh_gang_reconcile().
 */
void
mh_gang_task_ended (MhCore *core, MhJob *job, bool done);

/**
 * mh_gang_placed:
 * @job: a gang without live attempts
 *
 * A new attempt begins.
 */
void
mh_gang_placed (MhJob *job);

/**
 * mh_gang_stop:
 * @core: the controller
 * @job: a gang
 * @grace_us: what a task needs to save its checkpoint
 *
 * All tasks are told together, with the time to save and to wait for each other.
 */
void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us);
