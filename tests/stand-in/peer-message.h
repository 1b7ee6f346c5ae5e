/* Messages between controllers: announcements of a leader, and requests of users that a follower
   forwards to the leader, with their responses. */
#pragma once

#include "stand-in/controller-node.h"

/** peer_message_announce: Sends a leader announcement to the node that @action names. */
void
peer_message_announce (ControllerNode *from, const MhAction *action);
/** peer_message_forward: Forwards a user's request to the node that @action names. */
void
peer_message_forward (ControllerNode *from, const MhAction *action, const PendingRequest *request);
