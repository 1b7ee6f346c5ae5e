/* Capacity that was in use on machines that are being released, and that no machine created since
   has replaced. Demand reckons with it: what those machines ran has to run again beside all that
   keeps coming. */
#pragma once

#include <glib.h>

/**
 * MhLostCapacity:
 *
 * An account of cpus.
 */
typedef struct MhLostCapacity MhLostCapacity;

/**
 * mh_lost_capacity_new:
 *
 * Returns: (transfer full): an account that begins at nothing
 */
MhLostCapacity *
mh_lost_capacity_new (void);

/**
 * mh_lost_capacity_free:
 * @lost: (transfer full) (nullable): lost capacity
 *
 * Frees it.
 */
void
mh_lost_capacity_free (MhLostCapacity *lost);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhLostCapacity, mh_lost_capacity_free)

/**
 * mh_lost_capacity_add:
 * @lost: lost capacity
 * @cpus: in use on a machine that is being released
 *
 * Adds what a machine ran.
 */
void
mh_lost_capacity_add (MhLostCapacity *lost, double cpus);

/**
 * mh_lost_capacity_replace:
 * @lost: lost capacity
 * @cpus: of machines that were created
 *
 * Takes off what new machines make up for; never below nothing.
 */
void
mh_lost_capacity_replace (MhLostCapacity *lost, double cpus);

/**
 * mh_lost_capacity_clear:
 * @lost: lost capacity
 *
 * Begins at nothing again.
 */
void
mh_lost_capacity_clear (MhLostCapacity *lost);

/**
 * mh_lost_capacity_cpus:
 * @lost: lost capacity
 *
 * Returns: cpus that were lost and not replaced
 */
double
mh_lost_capacity_cpus (const MhLostCapacity *lost);
