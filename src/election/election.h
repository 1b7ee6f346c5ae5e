/* Leadership: a key in the key-value store attached to a lease, and an epoch that rises with each
   leadership. */
#pragma once

#include "controller/core-types.h"

typedef struct MhElection MhElection;

/* Each leadership takes so many epochs, of which each worker is given ever higher ones when a
   command to it has to be fenced: that costs no write, and no other worker notices. */
#define MH_EPOCHS_PER_LEADERSHIP 1000000u

typedef enum
{
  MH_LEADERSHIP_FOLLOWING,
  MH_LEADERSHIP_CAMPAIGNING,
  MH_LEADERSHIP_LOADING,
  MH_LEADERSHIP_LEADING,
  MH_LEADERSHIP_STEPPING_DOWN
} MhLeadership;

/* Why a leadership ended. */
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

MhElection *
mh_election_new (MhCore *core);
void
mh_election_free (MhElection *election);
void
mh_election_step (MhElection *election);
void
mh_election_leader_announced (MhElection *election, const char *node, guint64 epoch);
void
mh_election_records_loaded (MhElection *election);
/* Takes effect at the next step. */
void
mh_election_step_down (MhElection *election, MhLossReason reason);
/* The same; the lease is given back, and left to others for a while. */
void
mh_election_transfer_leadership (MhElection *election, MhLossReason reason);

MhLeadership
mh_election_state (const MhElection *election);
/* May act as leader: its lease is valid. */
bool
mh_election_is_leader (const MhElection *election);
/* ... and has loaded the records. */
bool
mh_election_is_serving (const MhElection *election);
/* From the election to the end of the leadership, whatever the lease. */
bool
mh_election_is_elected (const MhElection *election);
/* The same from the moment when all records were loaded. */
bool
mh_election_has_loaded (const MhElection *election);
bool
mh_election_is_stepping_down (const MhElection *election);
/* Who leads, as far as known; NULL: nobody. */
const char *
mh_election_leader_name (const MhElection *election);
/* Who leads, if it is another controller. */
const char *
mh_election_other_leader (const MhElection *election);
/* The first of MH_EPOCHS_PER_LEADERSHIP of this leadership. */
guint64
mh_election_epoch (const MhElection *election);
/* Version of the own leader key: the condition of each write. */
guint64
mh_election_key_version (const MhElection *election);
gint64
mh_election_elected_us (const MhElection *election);
gint64
mh_election_lease_until_us (const MhElection *election);
/* When the last renewal that succeeded was sent. */
gint64
mh_election_last_renewal_us (const MhElection *election);
/* Whether users' requests that were passed on to the leader are answered. */
void
mh_election_note_forward_answered (MhElection *election);
void
mh_election_note_forward_failed (MhElection *election);
/* A usable leader is known, or was until a moment ago. */
bool
mh_election_is_ready (const MhElection *election);
