/* Failure detection: which machines are probed, which are given back as failed, and when this side
   is rather the one that is cut off.

   It never declares a task gone: silence is no proof. That takes a confirmed release or a report.
 */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_failure_init:
 * @cluster: the cluster
 */
void
mh_failure_init (MhCluster *cluster);

/**
 * mh_failure_is_report_overdue:
 * @cluster: the cluster
 * @machine: a machine
 *
 * Returns: %TRUE if reports of its own should have come long ago, whatever it answers
 */
bool
mh_failure_is_report_overdue (const MhCluster *cluster, const MhMachine *machine);

/**
 * mh_failure_is_unreachable:
 * @machine: a machine
 *
 * Returns: %TRUE if it has been asked more than once, and has not answered
 */
bool
mh_failure_is_unreachable (const MhMachine *machine);

/**
 * mh_failure_survey:
 * @cluster: the cluster
 *
 * Looks at all machines and zones together, and sets how long a machine may be silent; then each
 * can be checked.
 */
void
mh_failure_survey (MhCluster *cluster);

/**
 * mh_failure_check:
 * @cluster: the cluster
 * @machine: a machine that is not being released
 *
 * Probes it if it has been silent for too long, and gives it back if it has failed.
 */
void
mh_failure_check (MhCluster *cluster, MhMachine *machine);

/**
 * mh_failure_check_leader_unheard:
 * @cluster: the cluster
 *
 * A leader that gets the reports of none of several workers, though the state service serves it, is
 * cut off from them: it lets another controller lead, which may not be.
 */
void
mh_failure_check_leader_unheard (MhCluster *cluster);
