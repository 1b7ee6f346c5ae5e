/* Seeded days: crashes, cuts, hangs, losses, late and repeated messages over three cores, with the
   rules checked throughout. The same seed is the same day. */
#pragma once

#include <glib.h>

/* Days in which the controllers' versions change have seeds above this. */
#define RANDOM_DAY_VERSIONS 10000u

/* Plays the day of that seed and asserts the rules. `digest`, unless NULL, takes in all that leaves
   the cores on that day, and all that is left outside at its end. */
void
random_day_run (guint seed, GChecksum *digest);
