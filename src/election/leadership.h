/* State machine of a controller in the leader election, and the reasons why a leadership ends. It
   reads no clock and does no I/O. */
#pragma once

#include <stdbool.h>

/**
 * MhLeadershipState:
 * @MH_LEADERSHIP_FOLLOWING: another controller leads, or no leader is known
 * @MH_LEADERSHIP_CAMPAIGNING: tries to write its own name into the leader key
 * @MH_LEADERSHIP_LOADING: elected; reads the records of earlier leaders
 * @MH_LEADERSHIP_LEADING: elected, with all records in memory
 * @MH_LEADERSHIP_STEPPING_DOWN: no longer leader; its state is cleared at the next step
 *
 * The states of a controller, in the order in which a leadership passes through them.
 */
typedef enum
{
  MH_LEADERSHIP_FOLLOWING,
  MH_LEADERSHIP_CAMPAIGNING,
  MH_LEADERSHIP_LOADING,
  MH_LEADERSHIP_LEADING,
  MH_LEADERSHIP_STEPPING_DOWN
} MhLeadershipState;
/** MH_LEADERSHIP_STATES: number of states */
#define MH_LEADERSHIP_STATES 5

/**
 * MhLeadershipEvent:
 * @MH_LEADERSHIP_EVENT_CAMPAIGN: no other controller leads, and this one starts to campaign
 * @MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED: another controller was elected first, the lease lapsed, or
 * the store did not respond or reported an error
 * @MH_LEADERSHIP_EVENT_ELECTED: the leader key names this controller and its lease
 * @MH_LEADERSHIP_EVENT_RECORDS_LOADED: all records are in memory
 * @MH_LEADERSHIP_EVENT_LOST: this controller must no longer lead
 * @MH_LEADERSHIP_EVENT_CLEARED: the state of the leadership was cleared
 *
 * The events that move a controller from one state to another.
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
 * @MH_LOSS_LEASE_EXPIRED: the lease no longer exists in the store
 * @MH_LOSS_ANOTHER_LEADER: a write was rejected because another controller holds the leader key
 * @MH_LOSS_ANOTHER_ANNOUNCED: another controller announced itself as leader with a higher epoch
 * @MH_LOSS_RECORD_REFUSED: the store rejected the record of a machine release as malformed
 * @MH_LOSS_RECORD_DIFFERS: a final record that a write conflicted with is missing or malformed
 * @MH_LOSS_RECORD_CHANGED: another writer changed a record
 * @MH_LOSS_WRITE_OUTCOME_UNKNOWN: it cannot be determined whether an unanswered write took effect
 * @MH_LOSS_UNKNOWN_ATTEMPT: a worker runs a later attempt of a task than is on record here
 * @MH_LOSS_HIGHER_TOKEN: a worker has seen a higher fencing token
 * @MH_LOSS_TOKENS_EXHAUSTED: the fencing tokens of the leadership are used up
 * @MH_LOSS_NO_HEARTBEATS: no worker's heartbeat arrives any more
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
 * mh_leadership_state_apply:
 * @state: (inout): the current state
 * @event: what happened
 *
 * The only function that changes the state of a controller. An event that is not allowed in the
 * current state is rejected and changes nothing. Therefore the first reason for a loss is kept, and
 * late events of an earlier leadership have no effect.
 *
 * Returns: %TRUE if @event was allowed and @state is now the next state
 */
bool
mh_leadership_state_apply (MhLeadershipState *state, MhLeadershipEvent event);

/**
 * mh_loss_reason_text:
 * @reason: why a leadership ended
 *
 * Returns: (transfer none): the value of reason= in log lines for @reason, for example
 * "lease_expired"
 */
const char *
mh_loss_reason_text (MhLossReason reason);
