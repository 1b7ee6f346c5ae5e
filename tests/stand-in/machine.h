/* A machine of the cloud and the tasks on it. This is the state alone: worker-runtime.h runs the
   tasks, worker-protocol.h talks to controllers, cloud.h creates and releases machines. */
#pragma once

#include "stand-in/workload.h"
#include "protocol/worker-messages.h"

struct WorkerRuntime;

/**
 * MachineType:
 * @name: as the cloud lists it
 * @cpus: available to tasks
 * @mem_gb: available to tasks
 * @price: per hour
 * @spot_price: per hour, as a spot machine
 */
typedef struct
{
  const char *name;
  double cpus, mem_gb, price, spot_price;
} MachineType;

/**
 * MachineTask:
 * @workload_job: (nullable): cached at the first advance, because tasks are advanced often
 * @task_id: "JOB/INDEX"
 * @job_id: id of the job
 * @index: of the task in its job
 * @attempt: number that the controllers gave the attempt
 * @phase: as heartbeats report it
 * @end_cause: (nullable): why an ended task has ended, as the protocol spells it
 * @ready_us: when its image is fetched
 * @end_us: when it has run to its end; 0: never
 * @stop_requested_us: when a task of a gang was commanded to save and stop; 0: not yet
 */
typedef struct
{
  WorkloadJob *workload_job;
  char *task_id;
  char *job_id;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  const char *end_cause;
  gint64 ready_us, end_us;
  gint64 stop_requested_us;
} MachineTask;

/**
 * Machine:
 * @name: given by the cloud
 * @endpoint: "address:port" of its worker
 * @type: name of its MachineType
 * @zone: in which it is
 * @spot: the cloud may preempt it
 * @running: it has booted, and has neither failed nor been removed
 * @removed: it was released or preempted
 * @failed: it has failed, with all tasks on it; the cloud still lists it
 * @fails_all_tasks: every task on it fails
 * @created_us: when it was created
 * @boot_done_us: when it has booted
 * @removed_us: when @removed was set
 * @hung_until_us: executes nothing until then
 * @preempted_at_us: when it is preempted, as heartbeats announce in advance; 0: never
 * @incarnation: of its worker; rises when the lease has expired
 * @heartbeat_sequence: number of the last heartbeat in this incarnation
 * @fencing_token: highest fencing token seen
 * @lease_start_us: when its lease began: when the heartbeat was sent that last renewed it
 * @tasks: (element-type MachineTask):
 * @cached_images: set of the images that it has fetched
 * @runtime: runs its tasks; not owned
 */
typedef struct
{
  char *name, *endpoint, *type, *zone;
  bool spot, running, removed, failed, fails_all_tasks;
  gint64 created_us, boot_done_us, removed_us, hung_until_us;
  gint64 preempted_at_us;
  guint64 incarnation, heartbeat_sequence, fencing_token;
  gint64 lease_start_us;
  GArray *tasks;
  GHashTable *cached_images;
  struct WorkerRuntime *runtime;
} Machine;

/** machine_types: @count: (out): number of types. Returns: all types */
const MachineType *
machine_types (guint *count);
/** machine_new: Returns: (transfer full): machine number @number, which has not booted yet */
Machine *
machine_new (guint number, const char *type, const char *zone, struct WorkerRuntime *runtime);
/** machine_free: Frees @machine, a Machine. */
void
machine_free (gpointer machine);
/** machine_fail: Makes the machine fail, with all tasks on it. */
void
machine_fail (Machine *machine);
/** machine_remove: Removes the machine as released or preempted at @now_us. */
void
machine_remove (Machine *machine, gint64 now_us);
/** machine_task: Returns: the task at that position in @tasks */
MachineTask *
machine_task (const Machine *machine, guint position);
/** machine_running_tasks: Returns: how many tasks of the job are on the machine and have not ended
 */
guint
machine_running_tasks (const Machine *machine, const char *job_id);
/**
 * machine_add_use:
 * @team: (nullable): whose tasks are counted; %NULL: all tasks
 * @cpus: increased by what tasks that have not ended use
 * @mem_gb: increased by what tasks that have not ended use
 */
void
machine_add_use (const Machine *machine, const Workload *workload, const char *team, double *cpus,
                 double *mem_gb);
/** machine_has_room: Returns: whether the machine has free capacity for a task of the job */
bool
machine_has_room (const Machine *machine, const Workload *workload, const MhJobSpec *spec);
/** machine_allowed: Returns: whether the job's constraints on spot machines, zone and type allow
 * the machine */
bool
machine_allowed (const Machine *machine, const MhJobSpec *spec);
/** machine_describe: Appends a line with the state of the machine to @out. */
void
machine_describe (const Machine *machine, GString *out);
