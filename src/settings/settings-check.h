/* Validates the settings and sets values that depend on other settings. */
#pragma once

#include "settings/settings.h"

/**
 * mh_settings_check:
 * @settings: settings as they were read from the files
 * @error: return location for a #GError of #MH_SETTINGS_ERROR, MISSING or INVALID
 *
 * Refuses settings that cannot work. Sets each size to the lower one of the present and the next
 * limit, limits max_batch to txn_ops, and gives gang_wait_us, gang_peer_us and
 * silence_limit_us their defaults if they are not set.
 *
 * Returns: %FALSE with @error when the settings are refused; @settings is then unchanged
 */
bool
mh_settings_check (MhSettings *settings, GError **error);
