/* A controller as a process: the state machine of src/controller/ with its main loop, sockets,
   clock and log. It carries out what the controller says and decides nothing. */
#pragma once

#include "settings/settings.h"

#include <stdbool.h>

/**
 * mh_server_run:
 * @settings: (transfer none): checked settings
 * @error: return location for a #GError
 *
 * Listens for users, workers and other controllers, and runs the default main loop until the
 * process is killed.
 *
 * Returns: %FALSE with @error when it cannot listen: an error of #MH_SETTINGS_ERROR when an address
 * of the settings is no IP address, one of GIO otherwise
 */
bool
mh_server_run (const MhSettings *settings, GError **error);
