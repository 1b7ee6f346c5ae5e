/* Seeded days: crashes, cuts, hangs, losses, late and repeated messages over three controllers,
   with the rules checked throughout. The same seed is the same day. */
#pragma once

#include <glib.h>

/** RANDOM_DAY_VERSIONS: Days in which the controllers' versions change have seeds above this. */
#define RANDOM_DAY_MIXED_VERSIONS_SEEDS 10000u

/**
 * random_day_run:
 * @seed: of the day
 * @digest: (nullable): takes in all that leaves the controllers on that day, and all that is left
 *   outside at its end
 *
 * Plays the day and asserts the rules.
 */
void
random_day_run (guint seed, GChecksum *digest);
