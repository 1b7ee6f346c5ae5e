/* The start of one task: from here on it occupies its machine. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_task_start:
 * @pass: the pass
 * @job: a job
 * @index: a pending task of it
 * @attempt: the attempt's number, greater than that of any earlier attempt of the task
 * @machine: where it is to run
 * @urgency: of its record, a MhUrgency
 *
 * Creates the attempt and queues its record. The start leaves when the record is durable.
 *
 * Returns: (transfer none): the attempt
 */
MhAttempt *
mh_task_start (const MhPlacementPass *pass, MhJob *job, guint index, guint32 attempt,
               MhMachine *machine, guint urgency);
