/* Scale-in releases machines to the cloud. A release is first recorded in the key-value store, then
   requested from the cloud, then confirmed by the cloud; see release-state.h. Several releases
   share one record and one call. */
#pragma once

#include "autoscaler/context.h"
#include "autoscaler/lost-capacity.h"
#include "base/time-units.h"
#include "cluster/machine-registry.h"
#include "cluster/release-reason.h"
#include "protocol/key-value-messages.h"

/** Minimum time that the cloud bills for a machine (PROTOCOL, "GET /machine_types"). */
#define MH_MINIMUM_BILLED_US (60 * MH_SECOND_US)

/**
 * MhScaleIn:
 *
 * Releases machines, and keeps track of the releases that are pending or in flight.
 */
typedef struct MhScaleIn MhScaleIn;

/**
 * mh_scale_in_new:
 * @context: (transfer none): the lower layers; must outlive the object
 * @lost_capacity: (transfer none): receives the CPUs in use on released machines; must outlive
 * the object
 *
 * Returns: (transfer full): an object without pending releases
 */
MhScaleIn *
mh_scale_in_new (const MhAutoscalerContext *context, MhLostCapacity *lost_capacity);

/**
 * mh_scale_in_free:
 * @self: (transfer full) (nullable): an object
 *
 * Frees the object. The caller must first discard its calls that are in flight.
 */
void
mh_scale_in_free (MhScaleIn *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhScaleIn, mh_scale_in_free)

/**
 * mh_scale_in_reset:
 * @self: an object
 *
 * Discards all state of a leadership that has ended. The caller must discard the calls in flight at
 * the same time. The records stay in the key-value store, and the next leader continues the
 * releases.
 */
void
mh_scale_in_reset (MhScaleIn *self);

/**
 * mh_scale_in_release_machine:
 * @self: an object
 * @machine: a machine
 * @reason: why it is released
 *
 * Starts the release of the machine. It gets no new tasks from now on, but only the cloud's
 * confirmation proves that its tasks are gone. Does nothing if it is being released already.
 */
void
mh_scale_in_release_machine (MhScaleIn *self, MhMachine *machine, MhReleaseReason reason);

/**
 * mh_scale_in_load_release:
 * @self: an object
 * @entry: a release record of an earlier leader
 *
 * Continues the releases of the record: writes them to a new record, which replaces this one, and
 * requests them from the cloud again.
 */
void
mh_scale_in_load_release (MhScaleIn *self, const MhKvEntry *entry);

/**
 * mh_scale_in_is_idle:
 * @self: an object
 *
 * Returns: %TRUE if no release is pending or in flight
 */
bool
mh_scale_in_is_idle (const MhScaleIn *self);

/**
 * mh_scale_in_step:
 * @self: an object
 *
 * Releases idle machines, and sends the next batch of pending releases unless too many batches are
 * in flight.
 */
void
mh_scale_in_step (MhScaleIn *self);
