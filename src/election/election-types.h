/* The types that an election shares with the layers above. They have a header of their own so that
   the files of this folder need not include the public functions in election.h. */
#pragma once

#include <glib.h>

/** MhElection: the election of the leader, as this controller sees it */
typedef struct MhElection MhElection;

/** Number of epochs that each leadership reserves. They serve as fencing tokens: to fence an
   earlier command to a worker, the leader sends that worker a higher token from the range. Because
   the range is reserved, raising a token needs no write and does not affect any other worker. */
#define MH_EPOCHS_PER_LEADERSHIP 1000000u

/**
 * MhElectionCallbacks:
 * @elected: this controller was elected. The callback starts to load the records;
 * mh_election_handle_records_loaded () must be called when they are in memory
 * @leading: the records are in memory; the leader starts its work
 * @reject_waiting_users: answers the users who wait for a write that they must retry, because
 * nothing can be written now
 * @clear_state: the leadership has ended; discards everything that was learned during it. All
 * calls have been forgotten already
 * @renewed_after_lapse: the lease was renewed after it had lapsed by this controller's clock;
 * last_renewal_us is the monotonic time at which the previous confirmed renewal was sent
 *
 * What the layers above do when leadership begins or ends. A callback must not call back into the
 * election, except to end the leadership.
 */
typedef struct
{
  void (*elected) (gpointer owner);
  void (*leading) (gpointer owner);
  void (*reject_waiting_users) (gpointer owner);
  void (*clear_state) (gpointer owner);
  void (*renewed_after_lapse) (gpointer owner, gint64 last_renewal_us);
} MhElectionCallbacks;
