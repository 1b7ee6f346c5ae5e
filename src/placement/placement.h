/* Placement: which pending task is started on which machine.

   A pass walks the job queue in its order; for each task the machines are filtered, scored, and the
   best is taken; for what finds none, lesser tasks may be preempted. See README.md. */
#pragma once

#include "jobs/job-queue.h"
#include "cluster/cluster-types.h"
#include "runtime/runtime.h"
#include "storage/record-writer.h"

/** MhPlacement: when the next pass is due, and when tasks were last preempted. */
typedef struct MhPlacement MhPlacement;

/**
 * mh_placement_new:
 * @cluster: (transfer none): whose machines are used; must outlive the placement
 * @runtime: (transfer none): must outlive the placement
 * @record_writer: (transfer none): must outlive the placement
 * @queue: (transfer none): must outlive the placement
 *
 * Returns: (transfer full): free it with mh_placement_free()
 */
MhPlacement *
mh_placement_new (MhCluster *cluster, MhRuntime *runtime, MhRecordWriter *record_writer,
                  MhJobQueue *queue);

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
 * @is_rebuilt: whether every machine that should has reported to this leader, or has had the time
 *
 * Runs a pass if one is due; else asks to be woken for it.
 */
void
mh_placement_run (MhPlacement *placement, bool is_rebuilt);
