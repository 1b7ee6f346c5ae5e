/* Validates the settings and sets values that depend on other settings. */
#pragma once

#include "settings/settings.h"

/**
 * mh_settings_check:
 * @settings: settings as they were read from the files
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, MISSING or INVALID
 *
 * Refuses settings that cannot work. Sets sizes to the lower ones of the present and the next
 * limits, and times that are not set to their defaults.
 *
 * Returns: %FALSE with @error when the settings are refused; @settings is then unchanged
 */
bool
mh_settings_check (MhSettings *settings, GError **error);
