/* Fencing of late copies of direct starts.

   A start that was sent directly may be carried out late, as long as the worker is in the
   incarnation that the start names and has seen no higher token. Before the end of such an attempt
   is cleared at the worker, the machine's token is therefore raised. The tokens of a leadership
   begin with its epoch; each leadership has MH_EPOCHS_PER_LEADERSHIP of them, so that raising one
   needs no write to the key-value store. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * mh_fencing_token:
 * @cluster: the cluster
 * @machine: (nullable): a machine; %NULL: one that is not known
 *
 * Returns: the fencing token of commands to the machine; for %NULL, the first one of this
 * leadership
 */
guint64
mh_fencing_token (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_fencing_find_start:
 * @machine: a machine
 * @job: a job's id
 * @index: index of a task
 * @attempt: number of an attempt of the task
 *
 * Returns: (transfer none) (nullable): the direct start of the attempt, if it is not fenced yet;
 * valid until the machine's starts change
 */
MhUnfencedStart *
mh_fencing_find_start (const MhMachine *machine, const char *job, guint index, guint64 attempt);

/**
 * mh_fencing_add_start:
 * @machine: a machine
 * @command: a start that is sent directly
 * @token: the machine's token, with which it is sent
 */
void
mh_fencing_add_start (MhMachine *machine, const MhCommand *command, guint64 token);

/**
 * mh_fencing_remove_start:
 * @machine: a machine
 * @start: one of its starts; the worker will carry out no copy of it
 */
void
mh_fencing_remove_start (MhMachine *machine, const MhUnfencedStart *start);

/**
 * mh_fencing_has_lost_start:
 * @machine: a machine
 *
 * Returns: %TRUE if the request of a direct start failed, and the start is not fenced yet
 */
bool
mh_fencing_has_lost_start (const MhMachine *machine);

/**
 * mh_fencing_remove_fenced:
 * @machine: a machine from whose worker a message has just come
 *
 * Removes the starts that the worker's incarnation or token fences.
 */
void
mh_fencing_remove_fenced (MhMachine *machine);

/**
 * mh_fencing_raise_token_if_needed:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Raises its token if a direct start may be lost, if there are many unfenced ones, or if a clear
 * has been held for half of the worker's lease. The worker sends an extra heartbeat after each
 * raise; delaying the raise lets several clears share one. Steps down if this leadership has no
 * higher token.
 */
void
mh_fencing_raise_token_if_needed (MhCluster *cluster, MhMachine *machine);
