/* A follower reads the leader key and then watches it. If the key does not exist, or names this
   controller, the controller campaigns. */
#pragma once

#include "election/election-types.h"

/**
 * mh_follower_read_leader_key:
 * @election: an election in which this controller is a follower and has no request pending
 *
 * Reads the leader key. Depending on the response, this controller watches the key, campaigns, or
 * schedules another read.
 */
void
mh_follower_read_leader_key (MhElection *election);
