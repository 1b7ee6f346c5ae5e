/* Leadership: a key in the state service attached to a lease, and an epoch that rises with each
   leadership. */
#pragma once

#include "controller/core-types.h"

/* Each leadership takes so many epochs, of which each worker is given ever higher ones when a
   command to it has to be fenced: that costs no write, and no other worker notices. */
#define MH_EPOCHS_EACH 1000000u

typedef enum
{
  MH_PHASE_FOLLOW,
  MH_PHASE_CAMPAIGN,
  MH_PHASE_LOAD,
  MH_PHASE_LEAD
} MhPhase;

void
mh_leader_start (MhCore *core);
void
mh_leader_step (MhCore *core);
void
mh_leader_announced (MhCore *core, const char *node, guint64 epoch);
void
mh_leader_loaded (MhCore *core);
void
mh_leader_lost (MhCore *core, const char *why);
/* Gives the lease back, and leaves it to others for a while. */
void
mh_leader_hand_over (MhCore *core, const char *why);
bool
mh_leader_valid (const MhCore *core); /* may order and answer from memory */
