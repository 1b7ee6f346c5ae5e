/* What settings have to fulfil, and values that follow from others. */
#pragma once

#include "settings/settings.h"

/**
 * mh_settings_check:
 * @settings: settings as they were read
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, MISSING or INVALID
 *
 * Refuses what cannot work, and fills in what other settings imply: sizes keep to the lower ones of
 * the limits now and next, and times that were not said get their defaults.
 *
 * Returns: %FALSE with @error when the settings are refused; @settings is then unchanged
 */
bool
mh_settings_check (MhSettings *settings, GError **error);
