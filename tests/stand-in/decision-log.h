/* A digest of everything that controllers decide, and of what is left outside them at the end. */
#pragma once

#include "stand-in/controller-node.h"

/** decision_log_action: Takes in what leaves a controller; log lines are left out. */
void
decision_log_add_action (const ControllerNode *node, const MhAction *action);
/** decision_log_state: Takes in all that is left outside the controllers. */
void
decision_log_add_state (Simulation *simulation);
