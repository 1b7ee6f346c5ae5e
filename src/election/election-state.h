/* The state of an election, which the files of this folder share; nobody else includes this. */
#pragma once

#include "election/election-types.h"
#include "election/leader-contact.h"
#include "election/leadership.h"
#include "election/lease.h"
#include "runtime/call-queue.h"

/** How long a request to the key-value store may take. */
#define MH_ELECTION_CALL_TIMEOUT_US (MH_SECOND_US)

/**
 * MhElection:
 * @runtime: (not owned): time, actions, log
 * @calls: (not owned): calls to the key-value store
 * @callbacks: (not owned): the layers above
 * @owner: passed to @callbacks
 * @state: set by mh_election_apply () alone
 * @loss_reason: STEPPING_DOWN: why
 * @transferring_leadership: STEPPING_DOWN: the lease is given back, and others are to lead
 * @clearing: STEPPING_DOWN: who waits is being refused; these answers carry the end of the lease,
 * as all answers of a leader do
 * @lease: the lease that is held or being won
 * @lease_request_sent_us: when the request for the lease was sent that is under way; there is never
 * more than one
 * @contact: the way to the leader
 * @leader_name: (owned) (nullable): who leads, as far as is known
 * @leader_epoch: first epoch of that leadership
 * @leader_key_version: version of the leader key that was last read; 0: there is none
 * @request_pending: FOLLOWING, CAMPAIGNING: a request is under way whose reply goes on
 * @retry_us: FOLLOWING: otherwise the leader key is read again at this time
 * @campaign_backoff_until_us: others are let campaign first until then
 * @own_epoch: first epoch of the leadership that is held or being won; 0: none
 * @own_key_version: version of the leader key that this leadership wrote
 * @elected_us: when this controller was last elected
 * @renewal_pending: a renewal of the lease is under way
 * @next_renewal_us: otherwise the lease is renewed at this time
 * @last_announcement_us: when this controller last told the others that it leads
 *
 * All times are steady times in microseconds.
 */
struct MhElection
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  const MhElectionCallbacks *callbacks;
  gpointer owner;

  MhLeadership state;
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
  gint64 retry_us;
  gint64 campaign_backoff_until_us;

  guint64 own_epoch;
  guint64 own_key_version;
  gint64 elected_us;
  bool renewal_pending;
  gint64 next_renewal_us;
  gint64 last_announcement_us;
};

/**
 * mh_election_apply:
 * @election: an election
 * @event: what happened
 *
 * Returns: %FALSE if the state does not allow @event, which then changes nothing
 */
bool
mh_election_apply (MhElection *election, MhLeadershipEvent event);

/**
 * mh_election_call:
 * @election: an election
 * @request: (transfer full): a request to the key-value store
 * @options: how it is made; its owner is set here
 *
 * Queues a request in the class that waits for no token, unless @options has another.
 */
void
mh_election_call (MhElection *election, MhRequest *request, MhCallOptions options);

/**
 * mh_election_revoke_lease:
 * @election: an election
 * @class: the order in which the request leaves
 *
 * Gives the lease back, if there is one; nothing depends on the reply.
 */
void
mh_election_revoke_lease (MhElection *election, MhCallClass class);

/**
 * mh_election_retry_after:
 * @election: an election
 * @delay_us: the shortest delay, in microseconds; up to twice as long by chance
 *
 * The leader key is read again after a while.
 */
void
mh_election_retry_after (MhElection *election, gint64 delay_us);

/**
 * mh_election_is_own_key:
 * @election: an election
 *
 * Returns: %TRUE if the leader key is known to name this controller
 */
bool
mh_election_is_own_key (const MhElection *election);

/**
 * mh_election_set_leader:
 * @election: an election
 * @node: (nullable): who leads; %NULL: nobody
 *
 * Notes who leads.
 *
 * Returns: %TRUE if it was not known already
 */
bool
mh_election_set_leader (MhElection *election, const char *node);
