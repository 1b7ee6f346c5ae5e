/* A machine of the cloud, and the tasks that its worker program holds. This is its state alone:
   worker-runtime.h runs the tasks, worker-protocol.h speaks to controllers, cloud.h rents it out.
 */
#pragma once

#include "stand-in/workload.h"
#include "protocol/worker-messages.h"

struct WorkerRuntime;

/**
 * MachineType:
 * @name: as the cloud lists it
 * @cpus: that tasks may use
 * @mem_gb: that tasks may use
 * @price: an hour
 * @spot_price: an hour, as a spot machine
 */
typedef struct
{
  const char *name;
  double cpus, mem_gb, price, spot_price;
} MachineType;

/**
 * MachineTask:
 * @workload_job: (nullable): looked up when the task is first advanced, as that is done often
 * @task_id: "JOB/INDEX"
 * @job_id: the job's id
 * @index: of the task in its job
 * @attempt: number that the controllers gave
 * @phase: as it is reported
 * @cause: (nullable): of an ended task: why, in the protocol's words
 * @ready_us: when its image is there
 * @end_us: when its run ends by itself; 0: never
 * @stop_requested_us: of a gang's task: when it was told to save and stop; 0: it was not
 */
typedef struct
{
  WorkloadJob *workload_job;
  char *task_id;
  char *job_id;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  const char *cause;
  gint64 ready_us, end_us;
  gint64 stop_requested_us;
} MachineTask;

/**
 * Machine:
 * @name: given by the cloud
 * @endpoint: "address:port" of its worker
 * @type: name of its MachineType
 * @zone: where it stands
 * @spot: the cloud may take it back
 * @up: it has started, and its worker runs
 * @gone: released, or taken back by the cloud
 * @failed: stopped by itself, with all that was on it; still in the cloud's list
 * @faulty: every task on it fails
 * @rented_us: when the cloud gave it
 * @up_us: when it has started
 * @gone_us: when @gone was set
 * @hung_until_us: it stands still until then
 * @preempted_at_us: when the cloud takes it back, as its reports warn; 0: never
 * @session: incarnation of its worker, which rises whenever the lease has expired
 * @sequence: number of its last report
 * @token: highest fencing token that it has seen
 * @lease_from_us: when its last answered report was sent
 * @tasks: (element-type MachineTask):
 * @images: set of the images that it has
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

/** machine_types: @count: (out): how many there are; Returns: all types */
const MachineType *
machine_types (guint *count);
/** machine_new: Returns: (transfer full): the machine of that number, which is not up yet */
Machine *
machine_new (guint number, const char *type, const char *zone, struct WorkerRuntime *runtime);
/** machine_free: @machine: a Machine */
void
machine_free (gpointer machine);
/** machine_fail: It stops by itself, with all that is on it. */
void
machine_fail (Machine *machine);
/** machine_take_away: The cloud has it again, as of @now_us. */
void
machine_remove (Machine *machine, gint64 now_us);
/** machine_task: Returns: the task at that place of the machine's list */
MachineTask *
machine_task (const Machine *machine, guint position);
/** machine_running_tasks: Returns: how many tasks of a job have not ended on the machine */
guint
machine_running_tasks (const Machine *machine, const char *job_id);
/**
 * machine_add_use:
 * @team: (nullable): whose tasks are counted; %NULL: all
 * @cpus: increased by what running tasks use
 * @mem_gb: increased by what running tasks use
 */
void
machine_add_use (const Machine *machine, const Workload *workload, const char *team, double *cpus,
                 double *mem_gb);
/** machine_has_room: Returns: whether a task of the job fits beside what runs there */
bool
machine_has_room (const Machine *machine, const Workload *workload, const MhJobSpec *spec);
/** machine_allowed: Returns: whether the job's wishes for spot, zone and type allow the machine */
bool
machine_allowed (const Machine *machine, const MhJobSpec *spec);
/** machine_describe: Appends a line to @out. */
void
machine_describe (const Machine *machine, GString *out);
