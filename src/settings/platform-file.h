/* The platform's settings: a TOML file. */
#pragma once

#include "settings/settings.h"

/**
 * mh_platform_file_read:
 * @path: name of the file
 * @settings: new settings, which are filled in
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, code FILE
 *
 * Unknown fields are ignored, since the platform may hand over more than this version knows. A
 * field that is missing or of another type stays at its default, 0 or %NULL; mh_settings_check()
 * refuses what cannot work.
 *
 * Returns: %FALSE with @error when the file cannot be read or is not TOML
 */
bool
mh_platform_file_read (const char *path, MhSettings *settings, GError **error);
