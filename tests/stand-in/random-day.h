/* Random days: two minutes of jobs and faults on three controllers, drawn from a seed, with the
   rules checked throughout: crashes, partitions, hangs, lost, late and duplicate messages. The same
   seed gives the same day. */
#pragma once

#include <glib.h>

/** RANDOM_DAY_MIXED_VERSIONS_SEEDS: Controllers change versions on days with seeds above this. */
#define RANDOM_DAY_MIXED_VERSIONS_SEEDS 10000u

/**
 * random_day_run:
 * @seed: of the day
 * @digest: (nullable): hashes every action of the controllers on that day, and the final state of
 *   the environment
 *
 * Runs the day, and asserts that no rule is violated and that every job is settled in the end.
 */
void
random_day_run (guint seed, GChecksum *digest);
