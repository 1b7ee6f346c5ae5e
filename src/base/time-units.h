/* Units of time. A time is a whole number of microseconds in a gint64 whose name ends in _us. */
#pragma once

#include <glib.h>

/**
 * MH_SECOND_US:
 *
 * One second, in microseconds.
 */
#define MH_SECOND_US ((gint64)1000000)

/**
 * MH_MILLISECOND_US:
 *
 * One millisecond, in microseconds.
 */
#define MH_MILLISECOND_US ((gint64)1000)
