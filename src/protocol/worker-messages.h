/* Messages exchanged with workers: heartbeats and commands (PROTOCOL, "Workers -> controller nodes"
   and "Controller nodes -> workers"). */
#pragma once

#include "protocol/request.h"

/**
 * MhTaskPhase:
 * @MH_TASK_PHASE_FETCHING_IMAGE: waiting for the image
 * @MH_TASK_PHASE_WAITING_FOR_GANG: the image is available; waiting for the other tasks of the gang
 * @MH_TASK_PHASE_RUNNING: running
 * @MH_TASK_PHASE_CHECKPOINTING: saving a checkpoint after a stop command
 * @MH_TASK_PHASE_ENDED: ended, see #MhTaskEndReason
 *
 * The phase of an attempt on its machine, in chronological order.
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
 * @MH_TASK_END_NONE: the attempt has not ended
 * @MH_TASK_END_COMPLETED: the task ran to completion, and its result is kept
 * @MH_TASK_END_STOPPED: stopped by a command
 * @MH_TASK_END_FAILED: the task failed, usually because of a faulty machine
 * @MH_TASK_END_INSUFFICIENT_RESOURCES: start rejected: not enough free resources on the machine
 * @MH_TASK_END_OTHER_ATTEMPT: start rejected: the machine has another attempt of the task
 * @MH_TASK_END_UNKNOWN_TASK: start rejected: the worker finds no description of the job
 * @MH_TASK_END_GANG_MEMBER_LOST: another task of the gang is gone
 * @MH_TASK_END_GANG_INCOMPLETE: the other tasks of the gang did not arrive in time
 *
 * Why an attempt ended.
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
 * @job: job id; owned
 * @index: index of the task in the job, from 0
 * @attempt: number of the attempt
 * @phase: phase
 * @end_reason: why the attempt ended; %MH_TASK_END_NONE if it has not
 *
 * The status of one attempt in a heartbeat.
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
 * @incarnation: incarnation of the worker, from 1. It increases by one each time the worker's lease
 *   expires, which ends all its tasks
 * @sequence: sequence number, which increases with each message of the worker. Of two messages, the
 *   one with the larger (@incarnation, @sequence) is newer
 * @fencing_token: the highest fencing token that the worker has seen
 * @notice_us: preemption notice: time until the cloud removes the machine; 0: the time has passed;
 *   -1: no notice
 * @tasks: (element-type MhTaskStatus): all attempts on the machine, including ended ones that are
 * not cleared yet
 *
 * A heartbeat with the status of a worker. Also the response to direct commands and to a probe.
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
 * Returns: (transfer full): a heartbeat without a preemption notice and without tasks
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
 * @MH_COMMAND_STOP: stop an attempt
 * @MH_COMMAND_CLEAR: forget an attempt that has ended
 *
 * The kind of a command to a worker.
 */
typedef enum
{
  MH_COMMAND_START,
  MH_COMMAND_STOP,
  MH_COMMAND_CLEAR
} MhCommandKind;

/**
 * MhCommand:
 * @kind: kind of the command
 * @job: job id; owned
 * @index: index of the task in the job
 * @attempt: number of the attempt
 * @grace_us: grace period in which the task may save a checkpoint; %MH_COMMAND_STOP only
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
 * Returns: (transfer full) (element-type MhCommand): an empty array, which frees the contents of
 *   its commands
 */
GArray *
mh_commands_new (void);

/**
 * mh_commands_encode:
 * @fencing_token: fencing token of the leader; the worker ignores commands with a lower token than
 *   the highest that it has seen
 * @incarnation: (nullable): the incarnation in which the worker may execute the commands; direct
 *   commands only
 * @commands: (nullable) (element-type MhCommand): commands, in the order in which the worker
 *   executes them
 *
 * Returns: (transfer full): the body of the response to a heartbeat, or of direct commands
 */
MhValue *
mh_commands_encode (guint64 fencing_token, const guint64 *incarnation, GArray *commands);

/**
 * mh_commands_include_start:
 * @body: a body made by mh_commands_encode ()
 *
 * Returns: whether one of the commands starts a task
 */
bool
mh_commands_include_start (const MhValue *body);

/**
 * mh_redirect_encode:
 * @node: (nullable): the node that the worker has to send heartbeats to; %NULL: unknown
 *
 * Returns: (transfer full): the body of a response with status 421 to a heartbeat
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
 * For commands that are sent directly, instead of in the response to a heartbeat. The worker may
 * execute them late, but only as long as the token and the incarnation still match (PROTOCOL,
 * "Delayed messages"). They do not renew the worker's lease.
 *
 * Returns: (transfer full): a request, whose response is a heartbeat
 */
MhRequest *
mh_worker_request_commands (const char *endpoint, guint64 fencing_token, guint64 incarnation,
                            GArray *commands);

/**
 * mh_worker_request_status:
 * @endpoint: address and port of the worker
 *
 * Returns: (transfer full): a status request that probes the worker; its response is a heartbeat
 */
MhRequest *
mh_worker_request_status (const char *endpoint);
