/* Units of time. All times are whole microseconds, in a gint64 whose name ends in _us. */
#pragma once

#include <glib.h>

/**
 * MH_SECOND_US:
 *
 * A second, in microseconds.
 */
#define MH_SECOND_US ((gint64)1000000)
