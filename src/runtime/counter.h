/* Counters of what a controller has done, for its metrics and its periodic status line. */
#pragma once

#include <glib.h>

/**
 * MhCounter:
 * @MH_COUNTER_ANSWERED: users' requests that were answered with the state of a job, or that a job
 * is not known
 * @MH_COUNTER_NO_LEADER: users' requests answered 503 because no leader is known
 * @MH_COUNTER_LOADING: because this controller leads but is still loading the records
 * @MH_COUNTER_LEASE_LAPSED: because the leader lease of this controller has lapsed
 * @MH_COUNTER_LEADER_SILENT: because the leader did not answer the forwarded request
 * @MH_COUNTER_LOOKUP_BACKLOG: because too many reads for other users wait
 * @MH_COUNTER_LOOKUP_FAILED: because a read of the job's records failed or proved nothing
 * @MH_COUNTER_UNREADABLE: because a record of the job cannot be read
 * @MH_COUNTER_UNDECIDED: because the machine types are not known yet
 * @MH_COUNTER_REJECTED_WAITER: because the write that the user waited for cannot be made now
 * @MH_COUNTER_RESPONSE_AFTER_LEASE: because the lease ended before the response left the process
 * @MH_COUNTER_LEASE_LAPSES: how often the lease of this controller lapsed and was renewed
 * @MH_COUNTER_ELECTIONS: how often this controller was elected
 * @MH_COUNTER_PREEMPTION_SITES: machines whose tasks were examined for a preemption of arrays and
 * services; each takes time in which nothing else is done
 * @MH_COUNTER_CALL_EXPIRED: calls that were not sent because nobody waited for them any more
 * @MH_COUNTER_INVARIANT_VIOLATIONS: actions that were refused because they should not have been
 * decided
 *
 * What is counted, since the process started.
 */
typedef enum
{
  MH_COUNTER_ANSWERED,
  MH_COUNTER_NO_LEADER,
  MH_COUNTER_LOADING,
  MH_COUNTER_LEASE_LAPSED,
  MH_COUNTER_LEADER_SILENT,
  MH_COUNTER_LOOKUP_BACKLOG,
  MH_COUNTER_LOOKUP_FAILED,
  MH_COUNTER_UNREADABLE,
  MH_COUNTER_UNDECIDED,
  MH_COUNTER_REJECTED_WAITER,
  MH_COUNTER_RESPONSE_AFTER_LEASE,
  MH_COUNTER_LEASE_LAPSES,
  MH_COUNTER_ELECTIONS,
  MH_COUNTER_PREEMPTION_SITES,
  MH_COUNTER_CALL_EXPIRED,
  MH_COUNTER_INVARIANT_VIOLATIONS
} MhCounter;
/** MH_COUNTERS: number of counters */
#define MH_COUNTERS 16
/** MH_FIRST_UNAVAILABLE_COUNTER: the first counter of users' requests that were answered 503 */
#define MH_FIRST_UNAVAILABLE_COUNTER MH_COUNTER_NO_LEADER
/** MH_LAST_UNAVAILABLE_COUNTER: the last counter of users' requests that were answered 503 */
#define MH_LAST_UNAVAILABLE_COUNTER MH_COUNTER_RESPONSE_AFTER_LEASE

/**
 * mh_counter_name:
 * @counter: a counter
 *
 * Returns: (transfer none): its name in log lines and metrics
 */
const char *
mh_counter_name (MhCounter counter);
