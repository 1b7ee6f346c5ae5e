/* The commands to a worker: starts, stops and clears. They are sent in the response to its
   heartbeat, and starts and stops also as direct commands.

   A start is sent only when the record of its attempt is durable. A clear, which makes the worker
   forget a result, is sent only when the result is durable too, and when no late copy of the start
   can run the attempt again (fencing.h). */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * MhUnsentUrgency:
 * @MH_UNSENT_NONE: there are no unsent commands
 * @MH_UNSENT_DEFERRABLE: nothing waits for them: the response to the next heartbeat can carry them
 * @MH_UNSENT_URGENT: they start a replica or a gang, or stop an attempt of a job that is not over,
 * for example to make room for another task
 *
 * How urgent the commands are that have not been sent to a machine yet.
 */
typedef enum
{
  MH_UNSENT_NONE,
  MH_UNSENT_DEFERRABLE,
  MH_UNSENT_URGENT
} MhUnsentUrgency;

/**
 * mh_worker_command_unsent_urgency:
 * @machine: a machine
 *
 * Returns: the highest urgency of its starts and stops that have not been sent
 */
MhUnsentUrgency
mh_worker_command_unsent_urgency (const MhMachine *machine);

/**
 * mh_worker_command_collect:
 * @cluster: the cluster
 * @machine: a machine to whose heartbeat a response is being written
 * @commands: (element-type MhCommand): the response's commands
 *
 * Adds all commands that apply now, including those that were sent before.
 */
void
mh_worker_command_collect (MhCluster *cluster, MhMachine *machine, GArray *commands);

/**
 * mh_worker_command_collect_unsent:
 * @cluster: the cluster
 * @machine: a machine to which a direct command is being written
 * @commands: (element-type MhCommand): the commands in it
 *
 * Adds the starts and stops that have not been sent yet.
 */
void
mh_worker_command_collect_unsent (MhCluster *cluster, MhMachine *machine, GArray *commands);

/**
 * mh_worker_command_collect_cancellations:
 * @machine: a machine
 * @commands: (element-type MhCommand): commands to its worker
 *
 * Adds stops for the tasks of jobs whose cancellation is durable. No later leader revokes a
 * cancellation, so that these stops are right even if this controller no longer leads.
 */
void
mh_worker_command_collect_cancellations (const MhMachine *machine, GArray *commands);
