/* Inventory: the machine types that the cloud offers and the machines that it has created for this
   service. Both are read periodically. The list of machines lags, and may be older than the one
   read before it (PROTOCOL, "GET /machines"). An unknown machine in the list is added to the
   cluster, and one that is listed as failed is released. The absence of a machine from the list has
   no effect. */
#pragma once

#include "autoscaler/scale-in.h"

/**
 * MhInventory:
 *
 * Reads machine types and machines from the cloud, and schedules the next reads.
 */
typedef struct MhInventory MhInventory;

/**
 * mh_inventory_new:
 * @context: (transfer none): the lower layers; must outlive the object
 * @scale_in: (transfer none): releases failed machines; must outlive the object
 *
 * Returns: (transfer full): an inventory that has read nothing yet
 */
MhInventory *
mh_inventory_new (const MhAutoscalerContext *context, MhScaleIn *scale_in);

/**
 * mh_inventory_free:
 * @self: (transfer full) (nullable): an inventory
 *
 * Frees the inventory. The caller must first discard its calls that are in flight.
 */
void
mh_inventory_free (MhInventory *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhInventory, mh_inventory_free)

/**
 * mh_inventory_reset:
 * @self: an inventory
 *
 * Discards all state of a leadership that has ended, except for the machine types. The caller must
 * discard the calls in flight at the same time.
 */
void
mh_inventory_reset (MhInventory *self);

/**
 * mh_inventory_is_loaded:
 * @self: an inventory
 *
 * Returns: %TRUE if the complete list of machines has been read during this leadership
 */
bool
mh_inventory_is_loaded (const MhInventory *self);

/**
 * mh_inventory_step:
 * @self: an inventory
 *
 * Reads the machine types and the list of machines again if they are due.
 */
void
mh_inventory_step (MhInventory *self);
