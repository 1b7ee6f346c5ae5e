/* Placement decides which pending task is started on which machine.

   A pass walks the job queue in its order. For each task it filters and scores the machines, and
   takes the best one. Where there is none, it may preempt tasks of jobs that are further back in
   the queue. See README.md. */
#pragma once

#include "jobs/job-queue.h"
#include "cluster/cluster-types.h"
#include "runtime/runtime.h"
#include "storage/record-writer.h"

/** MhPlacement: schedules the placement passes and runs them. */
typedef struct MhPlacement MhPlacement;

/**
 * mh_placement_new:
 * @cluster: (transfer none): the machines; must outlive the placement
 * @runtime: (transfer none): must outlive the placement
 * @record_writer: (transfer none): must outlive the placement
 * @queue: (transfer none): the jobs to place; must outlive the placement
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
 * @urgent: whether the change may let a task start that is expected to start within seconds
 *
 * Requests an earlier pass after a change that may let tasks start.
 */
void
mh_placement_request_pass (MhPlacement *placement, bool urgent);

/**
 * mh_placement_run:
 * @placement: a placement
 * @is_recovery_complete: whether every machine that is expected to report has reported to this
 * leader, or the time limit for that has passed
 *
 * Runs a pass if one is due; otherwise schedules a wake-up for the next one.
 */
void
mh_placement_run (MhPlacement *placement, bool is_recovery_complete);
