/* What a machine is told with the answer to its report: starts, stops and clears.

   A start leaves only when its attempt is durable. A result is cleared at the worker only when it
   is durable too, and when no late copy of the start can run the attempt again (fencing.h). */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * MhUnsentCommands:
 * @MH_UNSENT_NONE: nothing has to be said
 * @MH_UNSENT_PATIENT: nobody waits: it can go with the answer to the next report
 * @MH_UNSENT_URGENT: a replica or a gang starts, or room is made
 *
 * What has not been said to a machine yet.
 */
typedef enum
{
  MH_UNSENT_NONE,
  MH_UNSENT_PATIENT,
  MH_UNSENT_URGENT
} MhUnsentCommands;

/**
 * mh_worker_command_unsent:
 * @machine: a machine
 *
 * Returns: whether there are starts or stops that have not been said, and how urgent they are
 */
MhUnsentCommands
mh_worker_command_unsent (const MhMachine *machine);

/**
 * mh_worker_command_collect:
 * @cluster: the cluster
 * @machine: a machine whose report is being answered
 * @commands: (element-type MhCommand): the answer's commands, to which all that hold are added
 */
void
mh_worker_command_collect (MhCluster *cluster, MhMachine *machine, GArray *commands);

/**
 * mh_worker_command_collect_unsent:
 * @cluster: the cluster
 * @machine: a machine that is told directly
 * @commands: (element-type MhCommand): to which the starts and stops are added that were not said
 * yet
 */
void
mh_worker_command_collect_unsent (MhCluster *cluster, MhMachine *machine, GArray *commands);

/**
 * mh_worker_command_collect_cancelled:
 * @machine: a machine
 * @commands: (element-type MhCommand): to which stops for the tasks of cancelled jobs are added
 *
 * A confirmed cancellation stands under every leader: telling of it is no command of this one's,
 * and right whatever has happened since.
 */
void
mh_worker_command_collect_cancelled (const MhMachine *machine, GArray *commands);
