/* Reads the two settings files and checks the settings. */
#pragma once

#include "settings/settings.h"

/**
 * mh_settings_load:
 * @platform_path: name of the platform's file (TOML)
 * @operator_path: (nullable): name of the operator's file
 * @error: return location for a #GError of #MH_SETTINGS_ERROR
 *
 * Returns: (transfer full) (nullable): checked settings, or %NULL with @error
 */
MhSettings *
mh_settings_load (const char *platform_path, const char *operator_path, GError **error);
