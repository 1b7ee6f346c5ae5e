/* What the layers above register with an election, apart so that the files of this folder need not
   include its public functions. */
#pragma once

#include <glib.h>

/** MhElection: the election of the leader, as this controller sees it */
typedef struct MhElection MhElection;

/** Each leadership takes so many epochs, of which each worker is given ever higher ones when a
   command to it has to be fenced: that costs no write, and no other worker notices. */
#define MH_EPOCHS_PER_LEADERSHIP 1000000u

/**
 * MhElectionCallbacks:
 * @elected: this controller has been elected; its records are to be loaded, after which
 * mh_election_records_loaded () is to be called
 * @leading: the records are loaded, and the leadership begins its work
 * @refuse_waiting: who waits for a write is to be told to come again: nothing can be written now
 * @clear: the leadership is over; all that was known by it is to be forgotten. All calls have been
 * forgotten already
 * @renewed_after_pause: the lease was renewed after it could not be relied on for a while;
 * @last_renewal_us is the steady time at which the renewal before was sent
 *
 * What the layers above do as leadership comes and goes. None of them may call back into the
 * election, but to lose the leadership.
 */
typedef struct
{
  void (*elected) (gpointer owner);
  void (*leading) (gpointer owner);
  void (*refuse_waiting) (gpointer owner);
  void (*clear) (gpointer owner);
  void (*renewed_after_pause) (gpointer owner, gint64 last_renewal_us);
} MhElectionCallbacks;
