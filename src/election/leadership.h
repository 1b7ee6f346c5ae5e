/* The states of a controller in the leader election, and why a leadership ends. Pure: no time, no
   I/O. */
#pragma once

#include <stdbool.h>

/**
 * MhLeadership:
 * @MH_LEADERSHIP_FOLLOWING: another controller leads, or nobody does as far as is known
 * @MH_LEADERSHIP_CAMPAIGNING: tries to write its own name into the leader key
 * @MH_LEADERSHIP_LOADING: elected; reads the records of earlier leaders
 * @MH_LEADERSHIP_LEADING: elected, with all records in memory
 * @MH_LEADERSHIP_STEPPING_DOWN: no longer leader; its memory is cleared at the next step
 *
 * The states, in the order in which a leadership goes through them.
 */
typedef enum
{
  MH_LEADERSHIP_FOLLOWING,
  MH_LEADERSHIP_CAMPAIGNING,
  MH_LEADERSHIP_LOADING,
  MH_LEADERSHIP_LEADING,
  MH_LEADERSHIP_STEPPING_DOWN
} MhLeadership;
/** MH_LEADERSHIP_STATES: number of states */
#define MH_LEADERSHIP_STATES 5

/**
 * MhLeadershipEvent:
 * @MH_LEADERSHIP_EVENT_CAMPAIGN: nobody leads: the controller begins to campaign
 * @MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED: somebody else was faster, or the store did not answer
 * @MH_LEADERSHIP_EVENT_ELECTED: the leader key holds its name and lease
 * @MH_LEADERSHIP_EVENT_RECORDS_LOADED: all records are in memory
 * @MH_LEADERSHIP_EVENT_LOST: it must not lead any longer
 * @MH_LEADERSHIP_EVENT_CLEARED: its memory was cleared
 *
 * What moves a controller from one state to another.
 */
typedef enum
{
  MH_LEADERSHIP_EVENT_CAMPAIGN,
  MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED,
  MH_LEADERSHIP_EVENT_ELECTED,
  MH_LEADERSHIP_EVENT_RECORDS_LOADED,
  MH_LEADERSHIP_EVENT_LOST,
  MH_LEADERSHIP_EVENT_CLEARED
} MhLeadershipEvent;
/** MH_LEADERSHIP_EVENTS: number of events */
#define MH_LEADERSHIP_EVENTS 6

/**
 * MhLossReason:
 * @MH_LOSS_NONE: the leadership was not lost
 * @MH_LOSS_LEASE_EXPIRED: the store does not know the lease any more
 * @MH_LOSS_ANOTHER_LEADER: a write was refused since another controller holds the leader key
 * @MH_LOSS_ANOTHER_ANNOUNCED: another controller announced a higher epoch
 * @MH_LOSS_RECORD_REFUSED: the store calls a record malformed
 * @MH_LOSS_RECORD_DIFFERS: a record is not what it was written as
 * @MH_LOSS_RECORD_CHANGED: a record was changed by somebody else
 * @MH_LOSS_WRITE_OUTCOME_UNKNOWN: whether an unanswered write was carried out cannot be found out
 * @MH_LOSS_UNKNOWN_ATTEMPT: a worker runs an attempt that is not on record here
 * @MH_LOSS_HIGHER_TOKEN: a worker has seen a higher fencing token
 * @MH_LOSS_TOKENS_EXHAUSTED: the fencing tokens of the leadership are used up
 * @MH_LOSS_NO_HEARTBEATS: no worker is heard any more
 *
 * Why a leadership ended.
 */
typedef enum
{
  MH_LOSS_NONE,
  MH_LOSS_LEASE_EXPIRED,
  MH_LOSS_ANOTHER_LEADER,
  MH_LOSS_ANOTHER_ANNOUNCED,
  MH_LOSS_RECORD_REFUSED,
  MH_LOSS_RECORD_DIFFERS,
  MH_LOSS_RECORD_CHANGED,
  MH_LOSS_WRITE_OUTCOME_UNKNOWN,
  MH_LOSS_UNKNOWN_ATTEMPT,
  MH_LOSS_HIGHER_TOKEN,
  MH_LOSS_TOKENS_EXHAUSTED,
  MH_LOSS_NO_HEARTBEATS
} MhLossReason;

/**
 * mh_leadership_apply:
 * @state: (inout): the present state
 * @event: what happened
 *
 * The only place where a controller goes from one state to another. An event that the state does
 * not allow is refused, and changes nothing: so the first reason of a loss holds, and what comes
 * late from an earlier leadership has no effect.
 *
 * Returns: %TRUE if @event was allowed and @state is the next one
 */
bool
mh_leadership_apply (MhLeadership *state, MhLeadershipEvent event);

/**
 * mh_loss_reason_text:
 * @reason: why a leadership ended
 *
 * Returns: (transfer none): the word for @reason in log lines, such as "lease-expired"
 */
const char *
mh_loss_reason_text (MhLossReason reason);
