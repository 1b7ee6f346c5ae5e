/* The leader's lease in the key-value store, judged by this controller's own steady clock. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhLease:
 * @id: the store's number for it; 0: none is held
 * @valid_until_us: steady time after which it is not relied on
 * @last_renewal_us: steady time at which the last request was sent that the store granted or
 * renewed it by
 *
 * A lease. All fields 0: none is held.
 */
typedef struct
{
  guint64 id;
  gint64 valid_until_us;
  gint64 last_renewal_us;
} MhLease;

/**
 * mh_lease_confirm:
 * @lease: a lease
 * @sent_us: steady time at which the request was sent that is answered now
 * @duration_us: for how long the store grants it, in microseconds
 *
 * The store has granted or renewed the lease. It counts from @sent_us, not from the answer, whose
 * way may have taken long, and ends here before it ends in the store: by the most that two steady
 * clocks drift apart (PROTOCOL: 0.05%), and by the time in which a decision made just before the
 * end still leaves the process.
 */
void
mh_lease_confirm (MhLease *lease, gint64 sent_us, gint64 duration_us);

/**
 * mh_lease_is_valid:
 * @lease: a lease
 * @now_us: steady time, in microseconds
 *
 * Returns: %TRUE if the lease is relied on at @now_us
 */
bool
mh_lease_is_valid (const MhLease *lease, gint64 now_us);
