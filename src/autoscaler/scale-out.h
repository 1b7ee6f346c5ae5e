/* Scale-out requests machines from the cloud. One request is in flight at a time. Its name is never
   used for another request, so that a delayed or repeated copy of it creates no further machines
   (PROTOCOL, "POST /machines"). After the cloud has refused a kind of machine (type, zone, spot or
   not), that kind is not requested again for a while. */
#pragma once

#include "autoscaler/context.h"
#include "autoscaler/lost-capacity.h"
#include "protocol/cloud-messages.h"
#include <glib.h>
#include <stdbool.h>

/**
 * MhScaleOut:
 *
 * Requests machines, one request at a time.
 */
typedef struct MhScaleOut MhScaleOut;

/**
 * MhScaleOutDoneFunc:
 * @owner: the pointer that was registered with the function
 *
 * Called when a request has ended, so that the next one may be made.
 */
typedef void (*MhScaleOutDoneFunc) (gpointer owner);

/**
 * mh_scale_out_new:
 * @context: (transfer none): the lower layers; must outlive the object
 * @lost_capacity: (transfer none): reduced by the CPUs of new machines; must outlive the
 * object
 *
 * Returns: (transfer full): an object without a request in flight
 */
MhScaleOut *
mh_scale_out_new (const MhAutoscalerContext *context, MhLostCapacity *lost_capacity);

/**
 * mh_scale_out_free:
 * @self: (transfer full) (nullable): an object
 *
 * Frees the object. The caller must first discard its calls that are in flight.
 */
void
mh_scale_out_free (MhScaleOut *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhScaleOut, mh_scale_out_free)

/**
 * mh_scale_out_set_done_func:
 * @self: an object
 * @func: called when a request has ended
 * @owner: passed to @func
 *
 * Sets the function that is called at the end of each request.
 */
void
mh_scale_out_set_done_func (MhScaleOut *self, MhScaleOutDoneFunc func, gpointer owner);

/**
 * mh_scale_out_reset:
 * @self: an object
 *
 * Discards all state of a leadership that has ended. The caller must discard the calls in flight at
 * the same time.
 */
void
mh_scale_out_reset (MhScaleOut *self);

/**
 * mh_scale_out_is_busy:
 * @self: an object
 *
 * Returns: %TRUE while a request is in flight
 */
bool
mh_scale_out_is_busy (const MhScaleOut *self);

/**
 * mh_scale_out_is_kind_refused:
 * @self: an object
 * @type: a machine type
 * @zone: a zone
 * @spot: whether the kind is a spot machine
 *
 * Returns: %TRUE if the cloud refused this kind of machine recently, so that it must not be
 * requested yet
 */
bool
mh_scale_out_is_kind_refused (const MhScaleOut *self, const MhMachineType *type, const char *zone,
                              bool spot);

/**
 * mh_scale_out_request:
 * @self: an object without a request in flight
 * @estimates: (element-type MhCapacityEstimate): the machines of a demand plan
 *
 * Finds the first machine in @estimates that has to be created, and requests all machines of its
 * kind, up to the limit of one request. Does nothing if no machine has to be created.
 */
void
mh_scale_out_request (MhScaleOut *self, const GArray *estimates);
