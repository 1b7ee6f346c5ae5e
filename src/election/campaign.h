/* A campaign: obtains a lease, then writes the leader key and the epoch in one conditional
   transaction. */
#pragma once

#include "election/election-types.h"

/**
 * mh_campaign_start:
 * @election: an election in which this controller is a follower
 *
 * Starts a campaign, or postpones it while the campaign back-off lasts. To be called only if no
 * other controller is known to hold the leader key; the conditions of the transaction guarantee
 * that none does.
 */
void
mh_campaign_start (MhElection *election);
