/* Fencing of late copies of direct starts.

   A start that was sent directly may be carried out late, as long as the worker is in the
   incarnation that it names and has seen no higher token. Before the end of such an attempt is
   cleared at the worker, the machine's token is raised. The tokens of a leadership begin with its
   epoch; each leadership has MH_EPOCHS_PER_LEADERSHIP of them, so that raising one costs no write.
 */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * mh_fencing_token:
 * @cluster: the cluster
 * @machine: (nullable): a machine; %NULL: one that is not known
 *
 * Returns: the fencing token that goes with what the machine is told
 */
guint64
mh_fencing_token (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_fencing_find_start:
 * @machine: a machine
 * @job: a job's id
 * @index: of a task
 * @attempt: of the task
 *
 * Returns: (transfer none) (nullable): the direct start of the attempt, if it is not fenced yet;
 * valid until the next change of the machine's starts
 */
MhUnfencedStart *
mh_fencing_find_start (const MhMachine *machine, const char *job, guint index, guint64 attempt);

/**
 * mh_fencing_add_start:
 * @machine: a machine
 * @command: a start that leaves directly, under the machine's token
 * @token: that token
 */
void
mh_fencing_add_start (MhMachine *machine, const MhCommand *command, guint64 token);

/**
 * mh_fencing_remove_start:
 * @machine: a machine
 * @start: one of its starts, of which no copy will be carried out
 */
void
mh_fencing_remove_start (MhMachine *machine, const MhUnfencedStart *start);

/**
 * mh_fencing_has_lost_start:
 * @machine: a machine
 *
 * Returns: %TRUE if a direct start has no answer, and is not fenced yet
 */
bool
mh_fencing_has_lost_start (const MhMachine *machine);

/**
 * mh_fencing_forget_fenced:
 * @machine: a machine whose worker was just heard
 *
 * Forgets the starts that its incarnation and token fence.
 */
void
mh_fencing_forget_fenced (MhMachine *machine);

/**
 * mh_fencing_raise_token:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Raises its token if a direct start may have been lost, or if a clear has waited for long: the
 * worker answers a raise by one more report, so that clears are gathered.
 */
void
mh_fencing_raise_token (MhCluster *cluster, MhMachine *machine);
