/* Starts one task on a machine, which the task occupies from then on. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_task_start:
 * @pass: the pass
 * @job: a job
 * @index: index of a pending task of @job
 * @attempt: number of the attempt, greater than that of any earlier attempt of the task
 * @machine: the machine to run it on
 * @urgency: the MhUrgency with which its record is written
 *
 * Creates the attempt and queues its record. The start is sent once the record is durable.
 *
 * Returns: (transfer none): the attempt
 */
MhAttempt *
mh_task_start (const MhPlacementPass *pass, MhJob *job, guint index, guint32 attempt,
               MhMachine *machine, guint urgency);
