/* The state of an election, shared by the files of this folder. Private: no other folder includes
   this header. */
#pragma once

#include "election/election-types.h"
#include "election/leader-contact.h"
#include "election/leadership.h"
#include "election/lease.h"
#include "runtime/call-queue.h"

/** Time-out of a request to the key-value store. */
#define MH_ELECTION_CALL_TIMEOUT_US (MH_SECOND_US)

/**
 * MhElection:
 * @runtime: (not owned): time, actions, log
 * @calls: (not owned): calls to the key-value store
 * @callbacks: (not owned): the layers above
 * @owner: passed to @callbacks
 * @state: changed only by mh_election_apply_event ()
 * @loss_reason: STEPPING_DOWN: why the leadership was lost
 * @transferring_leadership: STEPPING_DOWN: the lease is to be revoked, so that another controller
 * can lead
 * @clearing: STEPPING_DOWN: the state of the leadership is being cleared. The responses that reject
 * waiting users carry the end of the lease, like every response of a leader
 * @lease: the lease of the current leadership or campaign
 * @lease_request_sent_us: when the last request to grant or renew the lease was sent; at most one
 * is in flight
 * @contact: whether the leader is known and reachable
 * @leader_name: (owned) (nullable): the last known leader
 * @leader_epoch: first epoch of that leadership
 * @leader_key_version: version of the leader key when it was last read; 0: the key does not exist
 * @request_pending: FOLLOWING, CAMPAIGNING: a request is in flight whose response triggers the
 * next step
 * @next_leader_read_us: FOLLOWING, if no request is pending: when to read the leader key again
 * @campaign_backoff_until_us: this controller does not campaign before this time, so that others
 * can be elected first
 * @own_epoch: first epoch of this controller's leadership or campaign; 0: none
 * @own_key_version: version of the leader key that this leadership wrote
 * @elected_us: when this controller was last elected; 0: never
 * @renewal_pending: a renewal of the lease is in flight
 * @next_renewal_us: if no renewal is in flight: when to send the next one
 * @last_announcement_us: when this controller last announced itself as leader to its peers
 *
 * All times are monotonic times in microseconds.
 */
struct MhElection
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  const MhElectionCallbacks *callbacks;
  gpointer owner;

  MhLeadershipState state;
  MhLossReason loss_reason;
  bool transferring_leadership;
  bool clearing;
  MhLease lease;
  gint64 lease_request_sent_us;
  MhLeaderContact contact;

  char *leader_name;
  guint64 leader_epoch;
  guint64 leader_key_version;
  bool request_pending;
  gint64 next_leader_read_us;
  gint64 campaign_backoff_until_us;

  guint64 own_epoch;
  guint64 own_key_version;
  gint64 elected_us;
  bool renewal_pending;
  gint64 next_renewal_us;
  gint64 last_announcement_us;
};

/**
 * mh_election_apply_event:
 * @election: an election
 * @event: what happened
 *
 * Returns: %FALSE if @event is not allowed in the current state; nothing has changed then
 */
bool
mh_election_apply_event (MhElection *election, MhLeadershipEvent event);

/**
 * mh_election_call_store:
 * @election: an election
 * @request: (transfer full): a request to the key-value store
 * @options: how the call is made; its owner is set by this function
 *
 * Queues a request. Its class is %MH_CALL_LEASE, which waits for no rate-limit token, unless
 * @options names another class.
 */
void
mh_election_call_store (MhElection *election, MhRequest *request, MhCallOptions options);

/**
 * mh_election_revoke_lease:
 * @election: an election
 *
 * Revokes the lease in the key-value store. The response is ignored.
 */
void
mh_election_revoke_lease (MhElection *election);

/**
 * mh_election_schedule_leader_read:
 * @election: an election
 * @delay_us: the shortest delay, in microseconds
 *
 * Schedules the next read of the leader key after a random delay between @delay_us and twice that.
 */
void
mh_election_schedule_leader_read (MhElection *election, gint64 delay_us);

/**
 * mh_election_is_own_key:
 * @election: an election
 *
 * Returns: %TRUE if this controller is the last known leader; it need not hold a lease, because an
 * earlier process of this controller may have written the leader key
 */
bool
mh_election_is_own_key (const MhElection *election);

/**
 * mh_election_set_leader:
 * @election: an election
 * @node: (nullable): the leader; %NULL: no leader is known
 *
 * Sets the last known leader.
 *
 * Returns: %TRUE if it differs from the previous one
 */
bool
mh_election_set_leader (MhElection *election, const char *node);
