/* The settings of simulated nodes. */
#pragma once

#include "settings/settings.h"

/** simulation_settings_new: Returns: (transfer full): the settings of the node with that index */
MhSettings *
simulation_settings_new (guint index);
