/* Placement: which pending task is started on which machine.

   A pass walks the job queue in its order; for each task the machines are filtered, scored, and the
   best is taken; for what finds none, lesser tasks may be preempted. See README.md. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

/** MhPlacement: when the next pass is due, and when tasks were last preempted. */
typedef struct MhPlacement MhPlacement;

/**
 * mh_placement_new:
 *
 * Returns: (transfer full): free it with mh_placement_free()
 */
MhPlacement *
mh_placement_new (void);

/**
 * mh_placement_free:
 * @placement: (transfer full): a placement
 */
void
mh_placement_free (MhPlacement *placement);

/**
 * mh_placement_request_pass:
 * @placement: a placement
 * @urgent: whether what has changed lets something start that is expected within seconds
 *
 * Something has changed that a pass should look at: the next one comes earlier.
 */
void
mh_placement_request_pass (MhPlacement *placement, bool urgent);

/**
 * mh_placement_run:
 * @placement: a placement
 * @core: the controller, which leads
 *
 * Runs a pass if one is due; else asks to be woken for it.
 */
void
mh_placement_run (MhPlacement *placement, MhCore *core);

/**
 * mh_placement_start_task:
 * @core: the controller
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
mh_placement_start_task (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine,
                         guint urgency);
