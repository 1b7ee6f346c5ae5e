/* The leader election: which controller may act as leader, and under which epoch.

   A key in the key-value store, attached to a lease, names the leader; an epoch rises with each
   leadership and fences workers against earlier leaders. README.md has the algorithm and its
   invariants. */
#pragma once

#include "election/election-types.h"
#include "election/leadership.h"
#include "runtime/call-queue.h"

/**
 * mh_election_new:
 * @runtime: (not transferred): must outlive the election
 * @calls: (not transferred): must outlive the election
 * @callbacks: (not transferred): all set; must outlive the election
 * @owner: passed to the callbacks
 *
 * Registers itself as the source of the leader's lease at @runtime. Its requests leave with
 * mh_call_queue_flush ().
 *
 * Returns: (transfer full): an election in which this controller follows
 */
MhElection *
mh_election_new (MhRuntime *runtime, MhCallQueue *calls, const MhElectionCallbacks *callbacks,
                 gpointer owner);

/**
 * mh_election_free:
 * @election: (transfer full) (nullable): an election
 *
 * Frees it. The lease is not given back: it ends by itself.
 */
void
mh_election_free (MhElection *election);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhElection, mh_election_free)

/* ---- inputs ---- */

/**
 * mh_election_step:
 * @election: an election
 *
 * Does what is due: clears a leadership that was lost, reads the leader key, renews the lease,
 * announces the leader. To be called first in each step of the controller.
 */
void
mh_election_step (MhElection *election);

/**
 * mh_election_leader_announced:
 * @election: an election
 * @node: the controller that says that it leads
 * @epoch: first epoch of its leadership
 *
 * A hint, for a controller that is cut off from the key-value store: it learns who leads, and a
 * former leader steps down. It never makes anybody leader.
 */
void
mh_election_leader_announced (MhElection *election, const char *node, guint64 epoch);

/**
 * mh_election_records_loaded:
 * @election: an election
 *
 * All records are in memory. Nothing happens unless they were being loaded.
 */
void
mh_election_records_loaded (MhElection *election);

/**
 * mh_election_step_down:
 * @election: an election
 * @reason: why this controller must not lead any longer
 *
 * Ends the leadership: from now on mh_election_is_leader () is %FALSE. What it knew is cleared at
 * the next step, since the caller may still hold what would be freed. The first reason holds.
 */
void
mh_election_step_down (MhElection *election, MhLossReason reason);

/**
 * mh_election_transfer_leadership:
 * @election: an election
 * @reason: why another controller shall lead
 *
 * Like mh_election_step_down (); besides the lease is given back, so that the others need not wait
 * for its end, and this controller lets them try first for a while.
 */
void
mh_election_transfer_leadership (MhElection *election, MhLossReason reason);

/**
 * mh_election_note_forward_answered:
 * @election: an election
 *
 * The leader has answered a user's request that was passed on to it.
 */
void
mh_election_note_forward_answered (MhElection *election);

/**
 * mh_election_note_forward_failed:
 * @election: an election
 *
 * The leader has not answered a user's request that was passed on to it.
 */
void
mh_election_note_forward_failed (MhElection *election);

/* ---- who leads ---- */

/**
 * mh_election_state:
 * @election: an election
 *
 * Returns: the state of this controller
 */
MhLeadership
mh_election_state (const MhElection *election);

/**
 * mh_election_is_leader:
 * @election: an election
 *
 * Whether this controller may act as leader now: it was elected, and its lease is valid. The lease
 * is judged by the sending time of the last confirmed renewal, less clock drift (PROTOCOL, "Delayed
 * messages"), so it ends here before it ends in the key-value store.
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
 * Returns: %TRUE from the election to the end of the leadership, whether or not the lease is valid
 * at the moment
 */
bool
mh_election_is_elected (const MhElection *election);

/**
 * mh_election_has_loaded:
 * @election: an election
 *
 * Returns: %TRUE from the moment when the records are in memory until they are cleared, whether or
 * not the lease is valid at the moment
 */
bool
mh_election_has_loaded (const MhElection *election);

/**
 * mh_election_is_stepping_down:
 * @election: an election
 *
 * Returns: %TRUE if the leadership was lost and its memory is cleared at the next step
 */
bool
mh_election_is_stepping_down (const MhElection *election);

/**
 * mh_election_leader_name:
 * @election: an election
 *
 * Returns: (transfer none) (nullable): the controller that leads, as far as is known here; it may
 * be this one. %NULL: nobody
 */
const char *
mh_election_leader_name (const MhElection *election);

/**
 * mh_election_other_leader:
 * @election: an election
 *
 * Returns: (transfer none) (nullable): the other controller that this one follows; %NULL: none
 */
const char *
mh_election_other_leader (const MhElection *election);

/**
 * mh_election_is_ready:
 * @election: an election
 *
 * Returns: %TRUE if users are served here, by this controller or through it; see
 * mh_leader_contact_is_ready ()
 */
bool
mh_election_is_ready (const MhElection *election);

/* ---- of one's own leadership ---- */

/**
 * mh_election_epoch:
 * @election: an election
 *
 * Returns: the first of the %MH_EPOCHS_PER_LEADERSHIP epochs of this leadership; 0 when it is over
 */
guint64
mh_election_epoch (const MhElection *election);

/**
 * mh_election_key_version:
 * @election: an election
 *
 * Returns: the version of the leader key that this leadership wrote; each of its writes is on the
 * condition that the key still has it
 */
guint64
mh_election_key_version (const MhElection *election);

/**
 * mh_election_elected_us:
 * @election: an election
 *
 * Returns: the steady time at which this controller was last elected; 0: never
 */
gint64
mh_election_elected_us (const MhElection *election);

/**
 * mh_election_lease_until_us:
 * @election: an election
 *
 * Returns: the steady time after which the lease is not relied on; 0: none is held
 */
gint64
mh_election_lease_until_us (const MhElection *election);

/**
 * mh_election_last_renewal_us:
 * @election: an election
 *
 * No successor can have been elected before this moment. For how long a leader that cannot renew
 * may keep tasks alive counts from here (docs/design.md, "Leadership").
 *
 * Returns: the steady time at which the last renewal was sent that the store confirmed
 */
gint64
mh_election_last_renewal_us (const MhElection *election);
