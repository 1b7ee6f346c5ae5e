/* The operator's own settings: an HCL-like file, read by libConfuse (docs/operations.md,
 * "Settings"). */
#pragma once

#include "settings/settings.h"

/**
 * mh_operator_file_read:
 * @path: name of the file
 * @settings: settings; what the file names replaces what they hold
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, FILE or INVALID
 *
 * Unknown names are refused. Not to be called by several threads at a time: libConfuse reports
 * problems without a context.
 *
 * Returns: %FALSE with @error when the file cannot be read or is refused
 */
bool
mh_operator_file_read (const char *path, MhSettings *settings, GError **error);
