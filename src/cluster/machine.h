/* A machine: what it is, and what is known of its boot, its heartbeats and its failures. */
#pragma once

#include "cluster/machine-state.h"
#include "jobs/job.h"
#include "protocol/cloud-messages.h"

/** MhMachine: a machine, as the leader knows it. */
typedef struct MhMachine MhMachine;

/** Answers in a row of which the next report shows nothing, after which nothing is taken to reach
   the machine. */
#define MH_MAX_IGNORED_ANSWERS 2u

/**
 * MhMachineBoot:
 * @rented_here: this leader rented it
 * @rented_us: monotonic time of the rental, in microseconds; where that is not known, of its
 * discovery
 * @late_age_us: its age when it was found late in joining, in microseconds; 0: it is not late
 *
 * From the rental to the first report.
 */
typedef struct
{
  bool rented_here;
  gint64 rented_us;
  gint64 late_age_us;
} MhMachineBoot;

/**
 * MhMachineHeartbeat:
 * @reported: its worker has reported to this leader for certain: with its token, or asked by it
 * @last_message_us: when its worker was last heard in any way
 * @last_report_us: when the last report came that it sent by itself, or the first message
 * @unverified_us: when a report of unknown age came; 0: none did
 * @incarnation: the worker's incarnation, in its newest message
 * @sequence: the report's number in the incarnation
 * @token: the highest fencing token that the worker has seen
 * @unreadable_tasks: tasks in the newest message whose jobs have records that are not understood
 * @answer_pending: the last answer must show in the next report
 * @answered_token: the token in that answer
 * @answered_sequence: the number of the report that was answered
 * @ignored_answers: answers in a row that the next report shows nothing of
 *
 * What a worker has said, and what it was answered (PROTOCOL, "Workers"). Times are monotonic, in
 * microseconds.
 */
typedef struct
{
  bool reported;
  gint64 last_message_us, last_report_us, unverified_us;
  guint64 incarnation, sequence, token;
  guint unreadable_tasks;
  bool answer_pending;
  guint64 answered_token, answered_sequence;
  guint ignored_answers;
} MhMachineHeartbeat;

/**
 * MhMachineProbe:
 * @in_flight: a question to its worker has no answer yet
 * @failures: questions in a row without an answer
 * @first_sent_us: when it was first asked since it was last heard
 * @incarnation: of the newest message that was known when it was last asked
 * @sequence: of that message
 *
 * Questions to a silent machine's worker whether it is alive.
 */
typedef struct
{
  bool in_flight;
  guint failures;
  gint64 first_sent_us;
  guint64 incarnation, sequence;
} MhMachineProbe;

/**
 * MhUnacknowledgedStart:
 * @job: (transfer full): the job's id
 * @index: of the task
 * @attempt: of the task
 * @token: the fencing token of the command
 * @incarnation: the worker's incarnation that the command is for
 * @answered: it was carried out
 * @lost: no answer will come
 *
 * A start that was sent straight to the worker: it, or a late copy of it, may be carried out at any
 * later time, as long as incarnation and token still match.
 */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt, token, incarnation;
  bool answered, lost;
} MhUnacknowledgedStart;

/**
 * MhMachineFencing:
 * @raises: how often its token was raised in this leadership
 * @clear_held_since_us: since when a clear waits until no late copy of a start can follow it; 0:
 * none does
 * @unacknowledged: (element-type MhUnacknowledgedStart): direct starts that are not fenced yet
 */
typedef struct
{
  guint raises;
  gint64 clear_held_since_us;
  GArray *unacknowledged;
} MhMachineFencing;

/**
 * MhMachineUsage:
 * @cpus: what its attempts occupy, in processors
 * @gpus: in accelerators
 * @mem_gb: in gigabytes of memory
 * @reserved_cpus: what this placement pass keeps for tasks that wait for preempted ones
 * @reserved_mem_gb: of memory
 * @replicas: how many of its attempts are of services
 */
typedef struct
{
  double cpus, gpus, mem_gb;
  double reserved_cpus, reserved_mem_gb;
  guint replicas;
} MhMachineUsage;

/**
 * MhMachineFailures:
 * @consecutive: failed tasks since one last completed here, of jobs that run elsewhere
 * @jobs: (element-type utf8): ids of jobs that failed here and have run nowhere yet
 *
 * Task failures that may be the machine's fault; see task-failure.h.
 */
typedef struct
{
  guint consecutive;
  GPtrArray *jobs;
} MhMachineFailures;

/**
 * MhOrphan:
 * @job: (transfer full): the job's id
 * @index: of the task
 * @attempt: of the task
 * @ended: it runs no more, and its worker remembers it
 *
 * A task that a worker shows and that is no live attempt of ours on its machine.
 */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt;
  bool ended;
} MhOrphan;

/**
 * MhMachineImage:
 * @name: interned, with a reference
 * @gb: its size in gigabytes
 */
typedef struct
{
  GRefString *name;
  double gb;
} MhMachineImage;

/**
 * MhMachine:
 * @name: its name in the cloud
 * @endpoint: (nullable): its worker's address; %NULL: not known yet
 * @type_name: (nullable): of its type; %NULL: known by its name alone
 * @zone: (nullable): interned
 * @type: (nullable): %NULL: not known, or not offered any more
 * @type_index: of @type, in mh_cluster_types()
 * @zone_index: of its zone, in this placement pass
 * @spot: it may be taken back by the cloud after a notice
 * @listed_running: the cloud's list shows it as running
 * @state: changes in mh_machine_change_state() alone
 * @commands_due: it is looked at for commands in this step
 * @direct_commands_in_flight: direct commands without an answer yet
 * @discovered_us: monotonic time since which it is known, in microseconds
 * @idle_since_us: since when it has held no attempt
 * @notice_until_us: when the cloud takes it back; -1: no notice
 * @no_start_before_us: it failed or refused a task, or the image came late
 * @attempts: (element-type MhAttempt): not owned
 * @orphans: (element-type MhOrphan): in the newest message
 * @images: (element-type MhMachineImage): cached ones, the last one used stands last
 * @boot: until its first report
 * @heartbeat: what its worker has said
 * @probe: whether it is being asked
 * @fencing: of late commands
 * @usage: what its attempts occupy
 * @failures: of tasks
 */
struct MhMachine
{
  char *name, *endpoint, *type_name;
  GRefString *zone;
  const MhMachineType *type;
  guint type_index, zone_index;
  bool spot, listed_running;
  MhMachineState state;
  bool commands_due;
  guint direct_commands_in_flight;
  gint64 discovered_us, idle_since_us, notice_until_us, no_start_before_us;
  GPtrArray *attempts;
  GArray *orphans;
  GPtrArray *images;
  MhMachineBoot boot;
  MhMachineHeartbeat heartbeat;
  MhMachineProbe probe;
  MhMachineFencing fencing;
  MhMachineUsage usage;
  MhMachineFailures failures;
};

/**
 * mh_machine_new:
 * @name: its name in the cloud
 * @now_us: monotonic time, in microseconds
 *
 * Returns: (transfer full): a machine of which nothing else is known; free with mh_machine_free()
 */
MhMachine *
mh_machine_new (const char *name, gint64 now_us);

/**
 * mh_machine_free:
 * @machine: (transfer full): an #MhMachine; its attempts are left alone
 */
void
mh_machine_free (gpointer machine);

/**
 * mh_machine_change_state:
 * @machine: a machine
 * @event: something that can happen to it in its state
 */
void
mh_machine_change_state (MhMachine *machine, MhMachineEvent event);

/**
 * mh_machine_is_draining:
 * @machine: a machine
 *
 * Returns: %TRUE if it takes nothing new, and what it holds is moved
 */
static inline bool
mh_machine_is_draining (const MhMachine *machine)
{
  return machine->state == MH_MACHINE_DRAINING;
}

/**
 * mh_machine_is_releasing:
 * @machine: a machine
 *
 * Returns: %TRUE if it is being given back; what it holds counts until that is confirmed
 */
static inline bool
mh_machine_is_releasing (const MhMachine *machine)
{
  return machine->state == MH_MACHINE_RELEASING;
}

/**
 * mh_machine_attempt:
 * @machine: a machine
 * @index: below the number of its attempts
 *
 * Returns: (transfer none): one of its attempts, in no particular order
 */
static inline MhAttempt *
mh_machine_attempt (const MhMachine *machine, guint index)
{
  return g_ptr_array_index (machine->attempts, index);
}

/**
 * mh_machine_hourly_price:
 * @machine: a machine whose type is known
 *
 * Returns: what it costs an hour
 */
double
mh_machine_hourly_price (const MhMachine *machine);

/**
 * mh_machine_hourly_cpu_price:
 * @machine: a machine whose type is known
 *
 * Returns: what one of its processors costs an hour
 */
double
mh_machine_hourly_cpu_price (const MhMachine *machine);

/**
 * mh_machine_has_image:
 * @machine: a machine
 * @image: an interned name
 *
 * Returns: %TRUE if the image is taken to be cached there
 */
bool
mh_machine_has_image (const MhMachine *machine, const GRefString *image);

/**
 * mh_machine_add_image:
 * @machine: a machine
 * @image: (transfer none): an interned name
 * @gb: the image's size in gigabytes
 *
 * Notes that a task there has its image. Workers drop the least recently used images when the cache
 * is full, and do not tell which: this is an account of its own.
 */
void
mh_machine_add_image (MhMachine *machine, GRefString *image, double gb);
