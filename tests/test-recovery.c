/* Recovery after failover: when the machines count as known again. */
#include "cluster/recovery.h"

#include "base/time-units.h"

#define START_US (100 * MH_SECOND_US)
#define REPORT_US (5 * MH_SECOND_US)
/* Two heartbeats, and the time in which a worker finds the new leader. */
#define DEADLINE_US (START_US + 2 * REPORT_US + 2 * MH_SECOND_US)

/* Decided by counts that are too low, a new leader would preempt, or create machines, for nothing.
 */
static void
test_waits_for_reports (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, REPORT_US);
  g_assert_false (mh_recovery_is_complete (recovery));
  g_assert_false (mh_recovery_update (recovery, DEADLINE_US - 1, false));
  g_assert_false (mh_recovery_is_complete (recovery));
  g_assert_true (mh_recovery_update (recovery, DEADLINE_US - 1, true));
  g_assert_true (mh_recovery_is_complete (recovery));
  g_assert_false (mh_recovery_update (recovery, DEADLINE_US, true)); /* said once */
}

/* A machine that never reports would hold up the cluster for ever. */
static void
test_ends_at_deadline (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, REPORT_US);
  g_assert_true (mh_recovery_update (recovery, DEADLINE_US, false));
  g_assert_true (mh_recovery_is_complete (recovery));
}

/* A leader that is elected once more knows no more than any other new one. */
static void
test_begins_with_each_leadership (void)
{
  g_autoptr (MhRecovery) recovery = mh_recovery_new ();
  mh_recovery_begin (recovery, START_US, REPORT_US);
  g_assert_true (mh_recovery_update (recovery, START_US, true));
  mh_recovery_begin (recovery, START_US, REPORT_US);
  g_assert_false (mh_recovery_is_complete (recovery));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/recovery/waits-for-reports", test_waits_for_reports);
  g_test_add_func ("/recovery/ends-at-deadline", test_ends_at_deadline);
  g_test_add_func ("/recovery/begins-with-each-leadership", test_begins_with_each_leadership);
  return g_test_run ();
}
