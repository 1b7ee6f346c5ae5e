/* A digest of all actions of the controllers, and of the state of the environment in the end. */
#pragma once

#include "stand-in/controller-node.h"

/** decision_log_add_action: Adds an action of a controller to the digest. Log lines are ignored. */
void
decision_log_add_action (const ControllerNode *node, const MhAction *action);
/** decision_log_add_state: Adds the state of the environment to the digest. */
void
decision_log_add_state (Simulation *simulation);
