#include "cluster/recovery.h"

#include "base/time-units.h"

/* The deadline gives the machines this many heartbeat intervals to report, and this much more time
   to find the new leader: a worker of a failed leader waits 4 s for a response, and then tries the
   next controllers. */
#define HEARTBEATS_AWAITED 2
#define RECONNECT_GRACE_US (2 * MH_SECOND_US)

struct MhRecovery
{
  bool complete;
  gint64 deadline_us; /* monotonic; from then on no machine is waited for */
};

MhRecovery *
mh_recovery_new (void)
{
  return g_new0 (MhRecovery, 1);
}

void
mh_recovery_free (MhRecovery *recovery)
{
  g_free (recovery);
}

void
mh_recovery_begin (MhRecovery *recovery, gint64 now_us, gint64 heartbeat_interval_us)
{
  g_return_if_fail (recovery);
  recovery->complete = false;
  recovery->deadline_us = now_us + HEARTBEATS_AWAITED * heartbeat_interval_us + RECONNECT_GRACE_US;
}

bool
mh_recovery_update (MhRecovery *recovery, gint64 now_us, bool all_reported)
{
  g_return_val_if_fail (recovery, false);
  if (recovery->complete || (!all_reported && now_us < recovery->deadline_us))
    return false;
  recovery->complete = true;
  return true;
}

bool
mh_recovery_is_complete (const MhRecovery *recovery)
{
  g_return_val_if_fail (recovery, false);
  return recovery->complete;
}
