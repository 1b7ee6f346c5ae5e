/* Inventory: what the cloud has. Reads the types of machines, and the list of those that were
   created for this service; the list lags, and may be older than the one before it (PROTOCOL,
   "GET /machines"). A machine that is listed and was not known is added to the cluster, and one
   that is listed as failed is released. Nothing is concluded from a machine's absence in a list. */
#pragma once

#include "autoscaler/scale-in.h"

/**
 * MhInventory:
 *
 * Reads what the cloud has, and knows when it is to be read again.
 */
typedef struct MhInventory MhInventory;

/**
 * mh_inventory_new:
 * @context: (not transferred): the layers below; must outlive the object
 * @scale_in: (not transferred): releases failed machines; must outlive the object
 *
 * Returns: (transfer full): an inventory of which nothing was read yet
 */
MhInventory *
mh_inventory_new (const MhAutoscalerContext *context, MhScaleIn *scale_in);

/**
 * mh_inventory_free:
 * @self: (transfer full) (nullable): an inventory
 *
 * Frees it. Calls in flight must have been forgotten before.
 */
void
mh_inventory_free (MhInventory *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhInventory, mh_inventory_free)

/**
 * mh_inventory_reset:
 * @self: an inventory
 *
 * Forgets everything of a leadership that has ended, with its calls, but for the types of machines.
 */
void
mh_inventory_reset (MhInventory *self);

/**
 * mh_inventory_is_listed:
 * @self: an inventory
 *
 * Returns: %TRUE once a whole list of machines has been read in this leadership
 */
bool
mh_inventory_is_listed (const MhInventory *self);

/**
 * mh_inventory_step:
 * @self: an inventory
 *
 * Reads again what is out of date.
 */
void
mh_inventory_step (MhInventory *self);
