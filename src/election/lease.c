#include "election/lease.h"

/* Allowance for the drift between two monotonic clocks, as a fraction of the elapsed time: twice
   the limit in PROTOCOL. */
#define CLOCK_DRIFT_ALLOWANCE 0.001
/* Time for a decision that is made just before the lease lapses to leave the process. */
#define SEND_MARGIN_US 100000

void
mh_lease_confirm (MhLease *lease, gint64 sent_us, gint64 duration_us)
{
  g_return_if_fail (lease);
  gint64 safe_duration_us = (gint64)((double)duration_us * (1 - CLOCK_DRIFT_ALLOWANCE));
  lease->valid_until_us = sent_us + safe_duration_us - SEND_MARGIN_US;
  lease->last_renewal_us = sent_us;
}

bool
mh_lease_is_valid (const MhLease *lease, gint64 now_us)
{
  g_return_val_if_fail (lease, false);
  return now_us < lease->valid_until_us;
}
