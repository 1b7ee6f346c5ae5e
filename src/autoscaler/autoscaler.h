/* The autoscaler: how many machines there are. Composes the inventory of the cloud, the demand
   plan, scale-out, scale-in and consolidation. */
#pragma once

#include "autoscaler/context.h"
#include "cluster/machine-registry.h"
#include "cluster/release-reason.h"
#include "protocol/key-value-messages.h"

/**
 * MhAutoscaler:
 *
 * The autoscaler, with all its parts.
 */
typedef struct MhAutoscaler MhAutoscaler;

/**
 * mh_autoscaler_new:
 * @context: what lies below; it is copied
 *
 * Returns: (transfer full): an autoscaler that has done nothing yet
 */
MhAutoscaler *
mh_autoscaler_new (const MhAutoscalerContext *context);

/**
 * mh_autoscaler_free:
 * @self: (transfer full) (nullable): an autoscaler
 *
 * Frees it. Calls in flight must have been forgotten before.
 */
void
mh_autoscaler_free (MhAutoscaler *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhAutoscaler, mh_autoscaler_free)

/**
 * mh_autoscaler_reset:
 * @self: an autoscaler
 *
 * Leadership has ended: forgets everything of it but the types of machines. The calls in flight
 * must be forgotten at the same time.
 */
void
mh_autoscaler_reset (MhAutoscaler *self);

/**
 * mh_autoscaler_step:
 * @self: an autoscaler
 *
 * Does what is due. Only while this controller leads and the records are loaded.
 */
void
mh_autoscaler_step (MhAutoscaler *self);

/**
 * mh_autoscaler_is_listed:
 * @self: an autoscaler
 *
 * Returns: %TRUE once a whole list of the cloud's machines has been read in this leadership
 */
bool
mh_autoscaler_is_listed (const MhAutoscaler *self);

/**
 * mh_autoscaler_release_machine:
 * @self: an autoscaler
 * @machine: a machine
 * @reason: why
 *
 * Decides that the machine is given back; see mh_scale_in_release_machine ().
 */
void
mh_autoscaler_release_machine (MhAutoscaler *self, MhMachine *machine, MhReleaseReason reason);

/**
 * mh_autoscaler_load_release:
 * @self: an autoscaler
 * @entry: a record whose key begins with MH_RECORD_RELEASES
 *
 * Goes on with releases of an earlier leader; see mh_scale_in_load ().
 */
void
mh_autoscaler_load_release (MhAutoscaler *self, const MhKvEntry *entry);
