/* Recovery after a failover. A new leader knows which tasks run only when the machines have
   reported to it. Until then it takes no decision that rests on counts that may be too low. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/** MhRecovery: whether the machines have reported to a new leader */
typedef struct MhRecovery MhRecovery;

/**
 * mh_recovery_new:
 *
 * Returns: (transfer full): a recovery that has not begun; free with mh_recovery_free()
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
 * @now_us: monotonic time, in microseconds
 * @heartbeat_interval_us: time between two heartbeats of a worker, in microseconds
 *
 * Begins to wait for the machines to report. To be called when a new leader has loaded the records.
 */
void
mh_recovery_begin (MhRecovery *recovery, gint64 now_us, gint64 heartbeat_interval_us);

/**
 * mh_recovery_update:
 * @recovery: a recovery
 * @now_us: monotonic time, in microseconds
 * @all_reported: every machine that a record names, or that the cloud lists as running, has
 * reported to the new leader or is unreachable
 *
 * Completes the recovery if @all_reported is %TRUE, or if the deadline has passed.
 *
 * Returns: %TRUE if this call has completed it
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
