/* What worker programs do with the tasks on their machines as time passes: fetch images, run, save
   and end tasks, and let their lease expire. worker-protocol.h carries the commands to it. */
#pragma once

#include "stand-in/machine.h"
#include "stand-in/rule-checks.h"

/**
 * WorkerRuntime:
 * @settings: of the workers; not owned, and read at each step
 * @workload: what the jobs really do; not owned
 * @rules: told of each start; not owned
 * @now_us: present time; the owner moves it
 */
typedef struct WorkerRuntime
{
  const MhSettings *settings;
  Workload *workload;
  RuleChecks *rules;
  gint64 now_us;
} WorkerRuntime;

/** worker_runtime_new: Returns: (transfer full): at time 0 */
WorkerRuntime *
worker_runtime_new (const MhSettings *settings, Workload *workload, RuleChecks *rules);
/** worker_runtime_free: @runtime: a runtime */
void
worker_runtime_free (WorkerRuntime *runtime);
/**
 * worker_runtime_start_task:
 * @task_id: "JOB/INDEX"
 *
 * A start that is repeated changes nothing; one that cannot be carried out leaves an ended task
 * with the cause.
 */
void
worker_runtime_start_task (WorkerRuntime *runtime, Machine *machine, const char *task_id,
                           guint64 attempt);
/**
 * worker_runtime_stop_task:
 * @grace_s: time to save before it ends, in seconds
 */
void
worker_runtime_stop_task (WorkerRuntime *runtime, MachineTask *task, double grace_s);
/** worker_runtime_advance: What has happened on one machine up to now. */
void
worker_runtime_advance (WorkerRuntime *runtime, Machine *machine);
/** worker_runtime_advance_gang: The tasks of a gang start, save, complete and notice a loss
 * together. */
void
worker_runtime_advance_gang (WorkerRuntime *runtime, const GPtrArray *machines, WorkloadJob *job);
