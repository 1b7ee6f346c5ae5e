/* Runs a controller as a process: adds a main loop, sockets, clocks and a log to the state machine
   in src/controller/. This layer carries out the controller's actions and takes no decisions. */
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
 * Returns: %FALSE with @error when it cannot listen: an error of #MH_SETTINGS_ERROR when front or
 *   peer_bind is not an IP address, an error of GIO otherwise
 */
bool
mh_server_run (const MhSettings *settings, GError **error);
