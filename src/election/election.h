/* The leader election: which controller may act as leader, and under which epoch.

   A key in the key-value store, attached to a lease, names the leader. The epoch increases with
   each leadership and lets workers reject commands of earlier leaders (fencing). README.md
   describes the algorithm and its invariants. */
#pragma once

#include "election/election-types.h"
#include "election/leadership.h"
#include "runtime/call-queue.h"

/**
 * mh_election_new:
 * @runtime: (transfer none): must outlive the election
 * @calls: (transfer none): must outlive the election
 * @callbacks: (transfer none): all set; must outlive the election
 * @owner: passed to the callbacks
 *
 * The election registers with @runtime as the source of the leader lease. Its requests are sent by
 * mh_call_queue_flush ().
 *
 * Returns: (transfer full): an election in which this controller is a follower
 */
MhElection *
mh_election_new (MhRuntime *runtime, MhCallQueue *calls, const MhElectionCallbacks *callbacks,
                 gpointer owner);

/**
 * mh_election_free:
 * @election: (transfer full) (nullable): an election
 *
 * Frees it. A lease that is held is not revoked; it expires in the key-value store.
 */
void
mh_election_free (MhElection *election);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhElection, mh_election_free)

/* ---- inputs ---- */

/**
 * mh_election_step:
 * @election: an election
 *
 * Performs the actions that are due: clears a lost leadership, reads the leader key, renews the
 * lease, announces the leader to its peers. Must be called first in each step of the controller.
 */
void
mh_election_step (MhElection *election);

/**
 * mh_election_handle_announcement:
 * @election: an election
 * @node: the controller that announced itself as leader
 * @epoch: first epoch of its leadership
 *
 * Handles the announcement of another leader. This lets a controller that is cut off from the
 * key-value store learn who leads, and makes a former leader step down. An announcement is only a
 * hint: it never makes a controller leader.
 */
void
mh_election_handle_announcement (MhElection *election, const char *node, guint64 epoch);

/**
 * mh_election_handle_records_loaded:
 * @election: an election
 *
 * Handles the end of loading: all records are in memory. Has no effect unless this controller is
 * loading them.
 */
void
mh_election_handle_records_loaded (MhElection *election);

/**
 * mh_election_step_down:
 * @election: an election
 * @reason: why this controller must no longer lead
 *
 * Ends the leadership: mh_election_is_leader () is %FALSE from now on. The state of the leadership
 * is cleared at the next step, because the caller may still hold pointers into it. Has no effect
 * if this controller is not elected or is already stepping down; the first reason is kept.
 */
void
mh_election_step_down (MhElection *election, MhLossReason reason);

/**
 * mh_election_transfer_leadership:
 * @election: an election
 * @reason: why another controller should lead
 *
 * Like mh_election_step_down (), but also revokes the lease, so that the other controllers need not
 * wait until it expires, and delays the next campaign of this controller, so that another one can
 * be elected first.
 */
void
mh_election_transfer_leadership (MhElection *election, MhLossReason reason);

/**
 * mh_election_note_forward_answered:
 * @election: an election
 *
 * Records that the leader answered a user's request that was forwarded to it.
 */
void
mh_election_note_forward_answered (MhElection *election);

/**
 * mh_election_note_forward_failed:
 * @election: an election
 *
 * Records that the leader did not answer a user's request that was forwarded to it.
 */
void
mh_election_note_forward_failed (MhElection *election);

/* ---- the current leader ---- */

/**
 * mh_election_state:
 * @election: an election
 *
 * Returns: the state of this controller in the election
 */
MhLeadershipState
mh_election_state (const MhElection *election);

/**
 * mh_election_is_leader:
 * @election: an election
 *
 * Whether this controller may act as leader now: it was elected, and its lease is valid. The
 * validity counts from the time at which the last confirmed renewal was sent, less an allowance for
 * clock drift (PROTOCOL, "Delayed messages"), so the lease lapses here before it expires in the
 * key-value store.
 *
 * Returns: %TRUE while this controller may act as leader
 */
bool
mh_election_is_leader (const MhElection *election);

/**
 * mh_election_is_serving:
 * @election: an election
 *
 * Returns: %TRUE if this controller may act as leader and has all records in memory
 */
bool
mh_election_is_serving (const MhElection *election);

/**
 * mh_election_is_elected:
 * @election: an election
 *
 * Returns: %TRUE from the election until the state of the leadership is cleared, whether or not the
 * lease is valid now
 */
bool
mh_election_is_elected (const MhElection *election);

/**
 * mh_election_has_records:
 * @election: an election
 *
 * Returns: %TRUE once the records are in memory, and while this controller steps down, until they
 * are cleared; whether or not the lease is valid now
 */
bool
mh_election_has_records (const MhElection *election);

/**
 * mh_election_is_stepping_down:
 * @election: an election
 *
 * Returns: %TRUE if the leadership was lost and its state is cleared at the next step
 */
bool
mh_election_is_stepping_down (const MhElection *election);

/**
 * mh_election_leader_name:
 * @election: an election
 *
 * Returns: (transfer none) (nullable): the last known leader, which may be this controller; %NULL:
 * no leader is known
 */
const char *
mh_election_leader_name (const MhElection *election);

/**
 * mh_election_other_leader:
 * @election: an election
 *
 * Returns: (transfer none) (nullable): the other controller that this one follows; %NULL: this
 * controller is not a follower, or knows no other leader
 */
const char *
mh_election_other_leader (const MhElection *election);

/**
 * mh_election_is_ready:
 * @election: an election
 *
 * Returns: %TRUE if this controller can serve users, itself or by forwarding; see
 * mh_leader_contact_is_ready ()
 */
bool
mh_election_is_ready (const MhElection *election);

/* ---- this controller's leadership ---- */

/**
 * mh_election_epoch:
 * @election: an election
 *
 * Returns: the first of the %MH_EPOCHS_PER_LEADERSHIP epochs of this controller's leadership or
 * campaign; 0: none
 */
guint64
mh_election_epoch (const MhElection *election);

/**
 * mh_election_key_version:
 * @election: an election
 *
 * Returns: the version of the leader key that this leadership wrote; each of its writes is
 * conditional on the key still having this version
 */
guint64
mh_election_key_version (const MhElection *election);

/**
 * mh_election_elected_us:
 * @election: an election
 *
 * Returns: the monotonic time at which this controller was last elected; 0: never
 */
gint64
mh_election_elected_us (const MhElection *election);

/**
 * mh_election_lease_until_us:
 * @election: an election
 *
 * Returns: the monotonic time at which the lease lapses for this controller; 0: no lease is held
 */
gint64
mh_election_lease_until_us (const MhElection *election);

/**
 * mh_election_last_renewal_us:
 * @election: an election
 *
 * No successor can have been elected before this time. The period in which a leader that cannot
 * renew its lease may keep tasks alive starts here (docs/design.md, "Leadership").
 *
 * Returns: the monotonic time at which the last request was sent that the store confirmed, to grant
 * or to renew the lease; 0: no lease is held
 */
gint64
mh_election_last_renewal_us (const MhElection *election);
