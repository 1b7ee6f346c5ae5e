/* Reads the clocks and draws the random numbers that the inputs of the controller carry. */
#pragma once

#include "controller/core.h"

/**
 * MhProcessClock:
 *
 * The clocks of the operating system and a random number generator. The controller itself reads no
 * clock, so that tests can set its time.
 */
typedef struct MhProcessClock MhProcessClock;

/**
 * mh_process_clock_new:
 *
 * Returns: (transfer full): a clock whose random number generator is seeded by the operating system
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
 * Returns: monotonic and wall-clock time in microseconds, and a new random number in [0, 1)
 */
MhNow
mh_process_clock_read (MhProcessClock *clock);
