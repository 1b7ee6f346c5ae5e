/* The clocks and the source of chance of this process, as the controller's inputs carry them. */
#pragma once

#include "controller/core.h"

/**
 * MhProcessClock:
 *
 * Reads the clocks of the operating system. The controller itself reads none, so that tests can
 * give it any time.
 */
typedef struct MhProcessClock MhProcessClock;

/**
 * mh_process_clock_new:
 *
 * Returns: (transfer full): a clock, its random numbers seeded by the operating system
 */
MhProcessClock *
mh_process_clock_new (void);

/**
 * mh_process_clock_free:
 * @clock: (nullable) (transfer full): a clock
 */
void
mh_process_clock_free (MhProcessClock *clock);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhProcessClock, mh_process_clock_free)

/**
 * mh_process_clock_read:
 * @clock: a clock
 *
 * Draws a new random number with each call.
 *
 * Returns: monotonic and wall-clock time in microseconds, and a random number in [0, 1)
 */
MhNow
mh_process_clock_read (MhProcessClock *clock);
