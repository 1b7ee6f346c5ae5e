#include "runtime/counter.h"

const char *
mh_counter_name (MhCounter counter)
{
  static const char *const names[MH_COUNTERS] = {
    [MH_COUNTER_ANSWERED] = "answered",
    [MH_COUNTER_NO_LEADER] = "no_leader",
    [MH_COUNTER_LOADING] = "loading",
    [MH_COUNTER_LEASE_LAPSED] = "lease_lapsed",
    [MH_COUNTER_LEADER_SILENT] = "leader_silent",
    [MH_COUNTER_LOOKUP_BACKLOG] = "lookup_backlog",
    [MH_COUNTER_LOOKUP_FAILED] = "lookup_failed",
    [MH_COUNTER_UNREADABLE] = "record_unreadable",
    [MH_COUNTER_UNDECIDED] = "machine_types_unknown",
    [MH_COUNTER_REJECTED_WAITER] = "write_not_possible",
    [MH_COUNTER_RESPONSE_AFTER_LEASE] = "response_after_lease",
    [MH_COUNTER_LEASE_LAPSES] = "lease_lapses",
    [MH_COUNTER_ELECTIONS] = "elections",
    [MH_COUNTER_PREEMPTION_SITES] = "preemption_sites",
    [MH_COUNTER_CALL_EXPIRED] = "calls_expired",
    [MH_COUNTER_INVARIANT_VIOLATIONS] = "invariant_violations",
  };
  g_return_val_if_fail ((guint)counter < MH_COUNTERS, "unknown");
  return names[counter];
}
