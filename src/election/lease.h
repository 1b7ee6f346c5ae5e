/* The leader lease in the key-value store, and how long it is valid by this controller's monotonic
   clock. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhLease:
 * @id: the id that the store gave it; 0: no lease is held
 * @valid_until_us: monotonic time at which it lapses for this controller
 * @last_renewal_us: monotonic time at which the last request was sent that the store confirmed, to
 * grant or to renew it
 *
 * A lease. All fields are 0 if none is held.
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
 * @sent_us: monotonic time at which the confirmed request was sent
 * @duration_us: how long the store grants the lease, in microseconds
 *
 * Records that the store granted or renewed the lease. The lease counts from @sent_us, because the
 * response may have been delayed. It lapses here before it expires in the store, by an allowance
 * for the drift between two monotonic clocks (at most 0.05% according to PROTOCOL, doubled here)
 * and by the time that a decision made just before the end needs to leave the process.
 */
void
mh_lease_confirm (MhLease *lease, gint64 sent_us, gint64 duration_us);

/**
 * mh_lease_is_valid:
 * @lease: a lease
 * @now_us: monotonic time, in microseconds
 *
 * Returns: %TRUE if the lease has not lapsed at @now_us
 */
bool
mh_lease_is_valid (const MhLease *lease, gint64 now_us);
