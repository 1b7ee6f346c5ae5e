/* Following: the leader key is read and then watched; when it is gone, or is this controller's own,
   the controller campaigns. */
#pragma once

#include "election/election-types.h"

/**
 * mh_follower_read_leader_key:
 * @election: an election in which this controller follows and has no request under way
 *
 * Reads the leader key, and goes on as it says.
 */
void
mh_follower_read_leader_key (MhElection *election);
