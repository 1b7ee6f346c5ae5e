/* Recovery after failover: which tasks run is known again once the machines have reported to the
   new leader. Until then nothing is decided by counts that may be too low. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/** MhRecovery: whether the machines have reported to a new leader */
typedef struct MhRecovery MhRecovery;

/**
 * mh_recovery_new:
 *
 * Returns: (transfer full): a recovery that has not begun
 */
MhRecovery *
mh_recovery_new (void);

/**
 * mh_recovery_free:
 * @recovery: (transfer full) (nullable): a recovery
 */
void
mh_recovery_free (MhRecovery *recovery);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRecovery, mh_recovery_free)

/**
 * mh_recovery_begin:
 * @recovery: a recovery
 * @now_us: steady time, in microseconds
 * @report_us: how often a worker sends a heartbeat, in microseconds
 *
 * A new leader has loaded the records: machines are waited for.
 */
void
mh_recovery_begin (MhRecovery *recovery, gint64 now_us, gint64 report_us);

/**
 * mh_recovery_update:
 * @recovery: a recovery
 * @now_us: steady time, in microseconds
 * @all_reported: every machine that a record or the cloud's list knows as running has reported
 *
 * Completes the recovery if @all_reported, or if the machines have had their time.
 *
 * Returns: %TRUE if it is complete by this call
 */
bool
mh_recovery_update (MhRecovery *recovery, gint64 now_us, bool all_reported);

/**
 * mh_recovery_is_complete:
 * @recovery: a recovery
 *
 * Returns: %TRUE if the recovery that began last is complete
 */
bool
mh_recovery_is_complete (const MhRecovery *recovery);
