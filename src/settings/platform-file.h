/* Reads the platform's settings, a TOML file. */
#pragma once

#include "settings/settings.h"

/**
 * mh_platform_file_read:
 * @path: name of the file
 * @settings: new settings, whose values are set
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, code FILE
 *
 * Unknown fields are ignored, since the platform may provide fields that this version does not
 * know. A field that is missing or of another type gets its default, or 0 or %NULL if it has none;
 * mh_settings_check() refuses settings that cannot work.
 *
 * Returns: %FALSE with @error when the file cannot be read or is not valid TOML
 */
bool
mh_platform_file_read (const char *path, MhSettings *settings, GError **error);
