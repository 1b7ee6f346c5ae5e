/* Lost capacity: CPUs that were in use on machines when their release began, and that no machine
   created since then replaces. The demand plan takes it into account, because the tasks of those
   machines have to run again in addition to new work. */
#pragma once

#include <glib.h>

/**
 * MhLostCapacity:
 *
 * A counter of lost CPUs.
 */
typedef struct MhLostCapacity MhLostCapacity;

/**
 * mh_lost_capacity_new:
 *
 * Returns: (transfer full): a counter that is 0
 */
MhLostCapacity *
mh_lost_capacity_new (void);

/**
 * mh_lost_capacity_free:
 * @lost_capacity: (transfer full) (nullable): lost capacity
 */
void
mh_lost_capacity_free (MhLostCapacity *lost_capacity);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhLostCapacity, mh_lost_capacity_free)

/**
 * mh_lost_capacity_add:
 * @lost_capacity: lost capacity
 * @cpus: CPUs in use on a machine that is being released
 *
 * Adds the CPUs that were in use on the machine.
 */
void
mh_lost_capacity_add (MhLostCapacity *lost_capacity, double cpus);

/**
 * mh_lost_capacity_replace:
 * @lost_capacity: lost capacity
 * @cpus: CPUs of machines that were created
 *
 * Subtracts the CPUs that new machines replace. The counter does not fall below 0.
 */
void
mh_lost_capacity_replace (MhLostCapacity *lost_capacity, double cpus);

/**
 * mh_lost_capacity_clear:
 * @lost_capacity: lost capacity
 *
 * Resets the counter to 0.
 */
void
mh_lost_capacity_clear (MhLostCapacity *lost_capacity);

/**
 * mh_lost_capacity_cpus:
 * @lost_capacity: lost capacity
 *
 * Returns: CPUs that were lost and have not been replaced
 */
double
mh_lost_capacity_cpus (const MhLostCapacity *lost_capacity);
