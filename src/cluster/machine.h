/* A machine: its identity and state, and what the leader knows of its boot, heartbeats, probes,
   load and failures. */
#pragma once

#include "cluster/machine-state.h"
#include "jobs/job.h"
#include "protocol/cloud-messages.h"

/** MhMachine: a machine as the leader knows it. */
typedef struct MhMachine MhMachine;

/** After this many consecutive heartbeat responses without a visible effect in the next heartbeat,
   the machine is considered to receive nothing. */
#define MH_MAX_IGNORED_RESPONSES 2u

/**
 * MhMachineBoot:
 * @created_here: this leader created the machine
 * @created_us: monotonic time of its creation, in microseconds; of its discovery if the creation
 * time is not known
 * @late_age_us: the machine's age when it was found to be late to join, in microseconds; 0: it is
 * not late
 *
 * The time from a machine's creation to its first heartbeat.
 */
typedef struct
{
  bool created_here;
  gint64 created_us;
  gint64 late_age_us;
} MhMachineBoot;

/**
 * MhMachineHeartbeat:
 * @reported: a message has come from its worker that certainly belongs to this leadership: a
 * heartbeat with one of its tokens, or a response to a probe or a direct command of this leader
 * @last_message_us: when the last message of any kind came from its worker
 * @last_heartbeat_us: when the last heartbeat came, or the first message if that is later
 * @last_unverified_us: when the last heartbeat came that may have been sent before this leadership;
 * 0: none has come
 * @incarnation: the worker's incarnation, in its newest message
 * @sequence: the newest message's number in that incarnation
 * @token: the highest fencing token that the worker has seen, as of its newest message
 * @unreadable_tasks: tasks in the newest message whose jobs have records that this version cannot
 * read
 * @effect_pending: the next heartbeat is to be checked for the effect of the last response to a
 * heartbeat
 * @response_token: the token in that response
 * @response_sequence: the sequence number of the heartbeat that it responds to
 * @ignored_responses: consecutive responses without a visible effect in the next heartbeat
 *
 * The messages of a worker and the responses to its heartbeats (PROTOCOL, "Workers"). Times are
 * monotonic, in microseconds.
 */
typedef struct
{
  bool reported;
  gint64 last_message_us, last_heartbeat_us, last_unverified_us;
  guint64 incarnation, sequence, token;
  guint unreadable_tasks;
  bool effect_pending;
  guint64 response_token, response_sequence;
  guint ignored_responses;
} MhMachineHeartbeat;

/**
 * MhMachineProbe:
 * @in_flight: a probe of its worker is in flight
 * @failures: consecutive failed probes
 * @first_sent_us: when the first of the current series of probes was sent
 * @incarnation: the worker's incarnation in the newest message that was known when the last probe
 * was sent; 0: none was
 * @sequence: the sequence number of that message
 *
 * The probes of a silent machine.
 */
typedef struct
{
  bool in_flight;
  guint failures;
  gint64 first_sent_us;
  guint64 incarnation, sequence;
} MhMachineProbe;

/**
 * MhUnfencedStart:
 * @job: (transfer full): the job's id
 * @index: index of the task
 * @attempt: number of the task's attempt
 * @token: the fencing token of the command
 * @incarnation: the worker's incarnation that the command is for
 * @acknowledged: the worker has carried it out
 * @lost: the call failed, and whether the worker has carried out the start is unknown
 *
 * A start command that was sent directly to the worker and is not fenced yet. It, or a delayed copy
 * of it, may be carried out at any later time, as long as the worker has that incarnation and has
 * seen no higher token.
 */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt, token, incarnation;
  bool acknowledged, lost;
} MhUnfencedStart;

/**
 * MhMachineFencing:
 * @token_raises: how often the machine's token was raised in this leadership
 * @clear_held_since_us: since when the clear command for an ended attempt has been held back,
 * because a delayed copy of the attempt's start could arrive after it; 0: none is held back
 * @unfenced_starts: (element-type MhUnfencedStart): direct starts that are not fenced yet
 *
 * Fencing of direct starts; see fencing.h.
 */
typedef struct
{
  guint token_raises;
  gint64 clear_held_since_us;
  GArray *unfenced_starts;
} MhMachineFencing;

/**
 * MhMachineUsage:
 * @cpus: processors that its attempts occupy
 * @gpus: accelerators that they occupy
 * @mem_gb: memory that they occupy, in gigabytes
 * @reserved_cpus: processors that this placement pass reserves for tasks that wait for preempted
 * ones to end
 * @reserved_mem_gb: memory that it reserves for them, in gigabytes
 * @replicas: number of its attempts that are service replicas
 * @stopping: number of its attempts that are being stopped
 *
 * The resources of a machine that are in use.
 */
typedef struct
{
  double cpus, gpus, mem_gb;
  double reserved_cpus, reserved_mem_gb;
  guint replicas;
  guint stopping;
} MhMachineUsage;

/**
 * MhMachineFailures:
 * @consecutive: failed tasks of jobs that are known to run, since a task last completed here
 * @jobs: (element-type utf8): ids of jobs that failed here and have not run anywhere yet
 *
 * Task failures that the machine may have caused; see task-failure.h.
 */
typedef struct
{
  guint consecutive;
  GPtrArray *jobs;
} MhMachineFailures;

/**
 * MhOrphan:
 * @job: (transfer full): the job's id
 * @index: index of the task
 * @attempt: number of the task's attempt
 * @ended: it no longer runs, but its worker still lists it
 *
 * An orphaned attempt: one that the worker lists and that is not a live attempt on this machine
 * according to the leader.
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
 *
 * An image in a machine's cache.
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
 * @type_name: (nullable): the name of its type; %NULL: only the machine's name is known
 * @zone: (nullable): its zone, interned; %NULL: not known yet
 * @type: (nullable): its type; %NULL: not known, or no longer offered
 * @type_index: index of @type in mh_cluster_types()
 * @zone_index: index of its zone in this placement pass
 * @spot: it is a spot machine, which the cloud may reclaim after a preemption notice
 * @listed_running: the cloud's list shows it as running
 * @state: its state; changed by mh_machine_change_state() only
 * @commands_due: unsent commands are sent to it in the next step
 * @direct_commands_in_flight: number of direct commands that are in flight
 * @discovered_us: monotonic time at which this leader learned of it, in microseconds
 * @idle_since_us: since when it has held no attempt
 * @notice_deadline_us: when the cloud reclaims it, according to its preemption notice; -1: no
 * notice
 * @no_start_before_us: nothing is placed on it before this time, because it failed or refused a
 * task or did not fetch the image of a gang's task in time
 * @attempts: (element-type MhAttempt): its attempts, not owned
 * @orphans: (element-type MhOrphan): orphaned attempts in the newest message
 * @images: (element-type MhMachineImage): cached images, the least recently used one first
 * @boot: its boot
 * @heartbeat: messages from its worker
 * @probe: probes of its worker
 * @fencing: fencing of direct starts
 * @usage: resources that its attempts occupy
 * @failures: task failures on it
 *
 * Times are monotonic, in microseconds.
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
  gint64 discovered_us, idle_since_us, notice_deadline_us, no_start_before_us;
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
 * Returns: (transfer full): a machine of which only the name is known; free with mh_machine_free()
 */
MhMachine *
mh_machine_new (const char *name, gint64 now_us);

/**
 * mh_machine_free:
 * @machine: (transfer full): an #MhMachine; its attempts are not freed
 */
void
mh_machine_free (gpointer machine);

/**
 * mh_machine_change_state:
 * @machine: a machine
 * @event: an event that is valid in its state
 *
 * Applies the event to the machine's state.
 */
void
mh_machine_change_state (MhMachine *machine, MhMachineEvent event);

/**
 * mh_machine_is_draining:
 * @machine: a machine
 *
 * Returns: %TRUE if nothing new is placed on it and its tasks are moved elsewhere
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
 * Returns: %TRUE if it is being released; its attempts count as live until the release is confirmed
 */
static inline bool
mh_machine_is_releasing (const MhMachine *machine)
{
  return machine->state == MH_MACHINE_RELEASING;
}

/**
 * mh_machine_attempt:
 * @machine: a machine
 * @index: less than the number of its attempts
 *
 * Returns: (transfer none): the attempt at @index; the order has no meaning
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
 * Returns: its price per hour
 */
double
mh_machine_hourly_price (const MhMachine *machine);

/**
 * mh_machine_hourly_cpu_price:
 * @machine: a machine whose type is known
 *
 * Returns: the price of one of its processors per hour
 */
double
mh_machine_hourly_cpu_price (const MhMachine *machine);

/**
 * mh_machine_has_image:
 * @machine: a machine
 * @image: an interned name
 *
 * Returns: %TRUE if the image is expected to be in the machine's cache
 */
bool
mh_machine_has_image (const MhMachine *machine, const GRefString *image);

/**
 * mh_machine_add_image:
 * @machine: a machine
 * @image: (transfer none): an interned name
 * @gb: the image's size in gigabytes
 *
 * Marks the image as the most recently used one in the machine's cache. Workers evict the least
 * recently used images when the cache is full and do not report which, so the leader keeps its own
 * model of the cache.
 */
void
mh_machine_add_image (MhMachine *machine, GRefString *image, double gb);
