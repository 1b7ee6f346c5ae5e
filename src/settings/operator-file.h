/* Reads the operator's settings, an HCL-like file, with libConfuse (docs/operations.md,
 * "Settings"). */
#pragma once

#include "settings/settings.h"

/**
 * mh_operator_file_read:
 * @path: name of the file
 * @settings: settings; a value that the file sets replaces the present one
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, FILE or INVALID
 *
 * Unknown settings are refused. Not thread-safe, since libConfuse passes no user data to its error
 * function.
 *
 * Returns: %FALSE with @error when the file cannot be read or a setting is refused
 */
bool
mh_operator_file_read (const char *path, MhSettings *settings, GError **error);
