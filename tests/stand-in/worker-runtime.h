/* The worker programs: they fetch images, run, save and end tasks, and let their lease expire as
   time passes. worker-protocol.h passes them the commands. */
#pragma once

#include "stand-in/machine.h"
#include "stand-in/rule-checks.h"

/**
 * WorkerRuntime:
 * @settings: of the workers; not owned, and read at each step
 * @workload: run times and failures of the jobs; not owned
 * @rules: checked at each start and while tasks run; not owned
 * @now_us: present time; set by the owner
 */
typedef struct WorkerRuntime
{
  const MhSettings *settings;
  Workload *workload;
  RuleChecks *rules;
  gint64 now_us;
} WorkerRuntime;

/** worker_runtime_new: Returns: (transfer full): a runtime at time 0 */
WorkerRuntime *
worker_runtime_new (const MhSettings *settings, Workload *workload, RuleChecks *rules);
/** worker_runtime_free: Frees @runtime. */
void
worker_runtime_free (WorkerRuntime *runtime);
/**
 * worker_runtime_start_task:
 * @task_id: "JOB/INDEX"
 *
 * Starts an attempt. Does nothing if the machine lists the attempt already. If the start is
 * refused, the machine lists an ended task with the cause.
 */
void
worker_runtime_start_task (WorkerRuntime *runtime, Machine *machine, const char *task_id,
                           guint64 attempt);
/**
 * worker_runtime_stop_task:
 * @grace_s: time for a checkpoint before the task ends, in seconds
 */
void
worker_runtime_stop_task (WorkerRuntime *runtime, MachineTask *task, double grace_s);
/** worker_runtime_advance: Advances one machine and its tasks to the present time. */
void
worker_runtime_advance (WorkerRuntime *runtime, Machine *machine);
/** worker_runtime_advance_gang: Advances what the tasks of a gang do together: start, save, run to
 * their end, and end after a loss. */
void
worker_runtime_advance_gang (WorkerRuntime *runtime, const GPtrArray *machines, WorkloadJob *job);
