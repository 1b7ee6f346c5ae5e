/* Scale-in: machines are given back to the cloud. A release is recorded first, then the cloud is
   asked, then it is confirmed; see release-state.h. Releases that are found together share a record
   and a call. */
#pragma once

#include "autoscaler/context.h"
#include "autoscaler/lost-capacity.h"
#include "base/time-units.h"
#include "cluster/machine-registry.h"
#include "cluster/release-reason.h"
#include "protocol/key-value-messages.h"

/** A machine that is deleted costs at least this (PROTOCOL, "GET /machine_types"). */
#define MH_MINIMUM_BILLED_US (60 * MH_SECOND_US)

/**
 * MhScaleIn:
 *
 * Gives machines back, and knows which releases are pending or in flight.
 */
typedef struct MhScaleIn MhScaleIn;

/**
 * mh_scale_in_new:
 * @context: (not transferred): the layers below; must outlive the object
 * @lost: (not transferred): is told what released machines ran; must outlive the object
 *
 * Returns: (transfer full): an object without pending releases
 */
MhScaleIn *
mh_scale_in_new (const MhAutoscalerContext *context, MhLostCapacity *lost);

/**
 * mh_scale_in_free:
 * @self: (transfer full) (nullable): an object
 *
 * Frees it. Calls in flight must have been forgotten before.
 */
void
mh_scale_in_free (MhScaleIn *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhScaleIn, mh_scale_in_free)

/**
 * mh_scale_in_reset:
 * @self: an object
 *
 * Forgets everything of a leadership that has ended, with its calls. Records stay, and the next
 * leader goes on with them.
 */
void
mh_scale_in_reset (MhScaleIn *self);

/**
 * mh_scale_in_release_machine:
 * @self: an object
 * @machine: a machine
 * @reason: why
 *
 * Decides that the machine is given back. It takes no new work from now on, but only the cloud's
 * confirmation proves that its tasks are gone. Nothing happens if it is being released already.
 */
void
mh_scale_in_release_machine (MhScaleIn *self, MhMachine *machine, MhReleaseReason reason);

/**
 * mh_scale_in_load:
 * @self: an object
 * @entry: a record of releases of an earlier leader
 *
 * Goes on with the releases of the record: they are written and asked for once more.
 */
void
mh_scale_in_load (MhScaleIn *self, const MhKvEntry *entry);

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
 * Releases idle machines, and records pending releases as far as calls in flight allow.
 */
void
mh_scale_in_step (MhScaleIn *self);
