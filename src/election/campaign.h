/* A campaign: a lease, then the leader key and the epoch in one transaction on conditions. */
#pragma once

#include "election/election-types.h"

/**
 * mh_campaign_start:
 * @election: an election in which this controller follows
 *
 * Tries to become leader, or puts that off if others are to try first. Nobody else may hold the
 * leader key, as far as is known; the transaction makes sure of it.
 */
void
mh_campaign_start (MhElection *election);
