#include "election/lease.h"

/* Twice what PROTOCOL says that steady clocks drift apart at most. */
#define CLOCK_DRIFT 0.001
/* In which a decision made just before the end still leaves the process. */
#define SEND_MARGIN_US 100000

void
mh_lease_confirm (MhLease *lease, gint64 sent_us, gint64 duration_us)
{
  g_return_if_fail (lease);
  gint64 certain_us = (gint64)((double)duration_us * (1 - CLOCK_DRIFT));
  lease->valid_until_us = sent_us + certain_us - SEND_MARGIN_US;
  lease->last_renewal_us = sent_us;
}

bool
mh_lease_is_valid (const MhLease *lease, gint64 now_us)
{
  g_return_val_if_fail (lease, false);
  return now_us < lease->valid_until_us;
}
