/* Recovery after failover completes when all machines have sent a heartbeat, or at a deadline. */
#include "cluster/recovery.h"

#include "base/time-units.h"

#define START_US (100 * MH_SECOND_US)
#define HEARTBEAT_INTERVAL_US (5 * MH_SECOND_US)
/* Two heartbeat intervals, plus the time that a worker needs to find the new leader. */
#define DEADLINE_US (START_US + 2 * HEARTBEAT_INTERVAL_US + 2 * MH_SECOND_US)

/* A new leader waits for heartbeats: with counts of running tasks that are still too low it would
   preempt tasks or create machines without need. */
static void
test_waits_for_heartbeats (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, HEARTBEAT_INTERVAL_US);
  g_assert_false (mh_recovery_is_complete (recovery));
  g_assert_false (mh_recovery_update (recovery, DEADLINE_US - 1, false));
  g_assert_false (mh_recovery_is_complete (recovery));
  g_assert_true (mh_recovery_update (recovery, DEADLINE_US - 1, true));
  g_assert_true (mh_recovery_is_complete (recovery));
  g_assert_false (mh_recovery_update (recovery, DEADLINE_US, true)); /* it completes only once */
}

/* A machine that never sends a heartbeat must not delay the recovery for ever. */
static void
test_ends_at_deadline (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, HEARTBEAT_INTERVAL_US);
  g_assert_true (mh_recovery_update (recovery, DEADLINE_US, false));
  g_assert_true (mh_recovery_is_complete (recovery));
}

/* A controller that is elected again must recover again: its earlier state has been cleared. */
static void
test_restarts_with_each_leadership (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, HEARTBEAT_INTERVAL_US);
  g_assert_true (mh_recovery_update (recovery, START_US, true));
  mh_recovery_begin (recovery, START_US, HEARTBEAT_INTERVAL_US);
  g_assert_false (mh_recovery_is_complete (recovery));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/recovery/waits-for-heartbeats", test_waits_for_heartbeats);
  g_test_add_func ("/recovery/ends-at-deadline", test_ends_at_deadline);
  g_test_add_func ("/recovery/restarts-with-each-leadership", test_restarts_with_each_leadership);
  return g_test_run ();
}
