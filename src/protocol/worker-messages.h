/* Messages of workers: heartbeats, and commands to them (PROTOCOL, "Workers -> controller nodes"
   and "Controller nodes -> workers"). */
#pragma once

#include "protocol/request.h"

/**
 * MhTaskPhase:
 * @MH_TASK_PHASE_FETCHING_IMAGE: waits for its image
 * @MH_TASK_PHASE_WAITING_FOR_GANG: has its image, and waits for the other tasks of its gang
 * @MH_TASK_PHASE_RUNNING: runs
 * @MH_TASK_PHASE_CHECKPOINTING: was told to stop, and saves a checkpoint
 * @MH_TASK_PHASE_ENDED: ended, see #MhTaskEndReason
 *
 * What a task does on its machine, in the order in which the phases follow one another.
 */
typedef enum
{
  MH_TASK_PHASE_FETCHING_IMAGE,
  MH_TASK_PHASE_WAITING_FOR_GANG,
  MH_TASK_PHASE_RUNNING,
  MH_TASK_PHASE_CHECKPOINTING,
  MH_TASK_PHASE_ENDED
} MhTaskPhase;

/**
 * MhTaskEndReason:
 * @MH_TASK_END_NONE: it has not ended
 * @MH_TASK_END_COMPLETED: it ran to completion; its result is kept
 * @MH_TASK_END_STOPPED: stopped by command
 * @MH_TASK_END_FAILED: it failed, mostly because the machine is faulty
 * @MH_TASK_END_INSUFFICIENT_RESOURCES: start refused: not enough of the machine is free
 * @MH_TASK_END_OTHER_ATTEMPT: start refused: another attempt of the task is on the machine
 * @MH_TASK_END_UNKNOWN_TASK: start refused: the worker finds no description of the job
 * @MH_TASK_END_GANG_MEMBER_LOST: another task of its gang is gone
 * @MH_TASK_END_GANG_INCOMPLETE: the other tasks of its gang did not come in time
 *
 * Why a task ended.
 */
typedef enum
{
  MH_TASK_END_NONE,
  MH_TASK_END_COMPLETED,
  MH_TASK_END_STOPPED,
  MH_TASK_END_FAILED,
  MH_TASK_END_INSUFFICIENT_RESOURCES,
  MH_TASK_END_OTHER_ATTEMPT,
  MH_TASK_END_UNKNOWN_TASK,
  MH_TASK_END_GANG_MEMBER_LOST,
  MH_TASK_END_GANG_INCOMPLETE
} MhTaskEndReason;

/**
 * MhTaskStatus:
 * @job: id of its job; owned
 * @index: its number in the job, from 0
 * @attempt: which attempt at the task it is
 * @phase: what it does
 * @end_reason: why it ended
 *
 * One task in a heartbeat.
 */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  MhTaskEndReason end_reason;
} MhTaskStatus;

/**
 * MhHeartbeat:
 * @machine: name of the machine
 * @endpoint: address and port of the worker
 * @type: machine type
 * @zone: zone
 * @spot: whether it is a spot machine
 * @incarnation: from 1; one more each time that the worker's lease expired and its tasks with it
 * @sequence: grows with each message of the worker; of two messages the one with the larger
 *   (@incarnation, @sequence) is the newer one
 * @fencing_token: the highest one that the worker has seen
 * @notice_us: time until the cloud takes the machine away; 0: it has come; -1: no notice
 * @tasks: all tasks on the machine, as #MhTaskStatus; ended ones until they are cleared
 *
 * A worker's heartbeat with its status; also its answer to commands and to a status request.
 */
typedef struct
{
  char *machine, *endpoint, *type, *zone;
  bool spot;
  guint64 incarnation, sequence, fencing_token;
  gint64 notice_us;
  GArray *tasks;
} MhHeartbeat;

/**
 * mh_heartbeat_new:
 *
 * Returns: (transfer full): a heartbeat without notice and tasks
 */
MhHeartbeat *
mh_heartbeat_new (void);

/**
 * mh_heartbeat_free:
 * @heartbeat: (nullable) (transfer full): a heartbeat
 */
void
mh_heartbeat_free (MhHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHeartbeat, mh_heartbeat_free)

/**
 * mh_heartbeat_decode:
 * @body: (nullable): a heartbeat
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL when @body is malformed
 */
MhHeartbeat *
mh_heartbeat_decode (const MhValue *body, GError **error);

/**
 * MhCommandKind:
 * @MH_COMMAND_START: start an attempt
 * @MH_COMMAND_STOP: stop it
 * @MH_COMMAND_CLEAR: forget one that has ended
 *
 * What a worker is told to do.
 */
typedef enum
{
  MH_COMMAND_START,
  MH_COMMAND_STOP,
  MH_COMMAND_CLEAR
} MhCommandKind;

/**
 * MhCommand:
 * @kind: what to do
 * @job: id of the job; owned
 * @index: number of the task in the job
 * @attempt: which attempt at the task
 * @grace_us: time that a task may take for a checkpoint; %MH_COMMAND_STOP only
 *
 * A command to a worker.
 */
typedef struct
{
  MhCommandKind kind;
  char *job;
  guint index;
  guint64 attempt;
  gint64 grace_us;
} MhCommand;

/**
 * mh_commands_new:
 *
 * Returns: (transfer full): an empty array of #MhCommand, which frees what they own
 */
GArray *
mh_commands_new (void);

/**
 * mh_commands_encode:
 * @fencing_token: token of the leader; the worker drops what has a lower one than it has seen
 * @incarnation: (nullable): the only one in which the worker may carry them out; direct commands
 *   only
 * @commands: (nullable): array of #MhCommand, in the order in which they are carried out
 *
 * Returns: (transfer full): the answer to a heartbeat, or the body of direct commands
 */
MhValue *
mh_commands_encode (guint64 fencing_token, const guint64 *incarnation, GArray *commands);

/**
 * mh_redirect_encode:
 * @node: (nullable): the node to report to; %NULL: not known
 *
 * Returns: (transfer full): the body of the answer 421 to a heartbeat
 */
MhValue *
mh_redirect_encode (const char *node);

/**
 * mh_worker_request_commands:
 * @endpoint: address and port of the worker
 * @fencing_token: see mh_commands_encode()
 * @incarnation: see mh_commands_encode()
 * @commands: see mh_commands_encode()
 *
 * Such commands may be carried out late, but only while token and incarnation still match
 * (PROTOCOL, "Delayed messages"). They do not renew the worker's lease.
 *
 * Returns: (transfer full): a request whose answer is a heartbeat
 */
MhRequest *
mh_worker_request_commands (const char *endpoint, guint64 fencing_token, guint64 incarnation,
                            GArray *commands);

/**
 * mh_worker_request_status:
 * @endpoint: address and port of the worker
 *
 * Returns: (transfer full): a request whose answer is a heartbeat
 */
MhRequest *
mh_worker_request_status (const char *endpoint);
