/* The autoscaler decides how many machines of which kind the cluster has. It combines the inventory
   of the cloud, the demand plan, scale-out, scale-in and consolidation. */
#pragma once

#include "autoscaler/context.h"
#include "cluster/machine-registry.h"
#include "cluster/release-reason.h"
#include "protocol/key-value-messages.h"

/**
 * MhAutoscaler:
 *
 * The autoscaler and its parts.
 */
typedef struct MhAutoscaler MhAutoscaler;

/**
 * mh_autoscaler_new:
 * @context: the lower layers; copied
 *
 * Returns: (transfer full): a new autoscaler
 */
MhAutoscaler *
mh_autoscaler_new (const MhAutoscalerContext *context);

/**
 * mh_autoscaler_free:
 * @self: (transfer full) (nullable): an autoscaler
 *
 * Frees the autoscaler. The caller must first discard its calls that are in flight.
 */
void
mh_autoscaler_free (MhAutoscaler *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhAutoscaler, mh_autoscaler_free)

/**
 * mh_autoscaler_reset:
 * @self: an autoscaler
 *
 * Discards all state of a leadership that has ended, except for the machine types. The caller must
 * discard the calls in flight at the same time.
 */
void
mh_autoscaler_reset (MhAutoscaler *self);

/**
 * mh_autoscaler_step:
 * @self: an autoscaler
 *
 * Runs all autoscaler work that is due. Must only be called while this controller is the leader and
 * has loaded the records.
 */
void
mh_autoscaler_step (MhAutoscaler *self);

/**
 * mh_autoscaler_is_inventory_loaded:
 * @self: an autoscaler
 *
 * Returns: %TRUE if the complete list of the cloud's machines has been read during this leadership
 */
bool
mh_autoscaler_is_inventory_loaded (const MhAutoscaler *self);

/**
 * mh_autoscaler_release_machine:
 * @self: an autoscaler
 * @machine: a machine
 * @reason: why it is released
 *
 * Starts the release of the machine; see mh_scale_in_release_machine().
 */
void
mh_autoscaler_release_machine (MhAutoscaler *self, MhMachine *machine, MhReleaseReason reason);

/**
 * mh_autoscaler_load_release:
 * @self: an autoscaler
 * @entry: a record whose key begins with MH_RECORD_RELEASES
 *
 * Continues the releases that an earlier leader recorded; see mh_scale_in_load_release().
 */
void
mh_autoscaler_load_release (MhAutoscaler *self, const MhKvEntry *entry);
