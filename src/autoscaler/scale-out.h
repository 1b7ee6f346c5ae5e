/* Scale-out: requests for machines. One request is in flight at a time, and its name is never used
   for another, so that a late or repeated copy of it creates nothing more (PROTOCOL,
   "POST /machines"). A kind of machine that the cloud refused is left alone for a while. */
#pragma once

#include "autoscaler/context.h"
#include "autoscaler/lost-capacity.h"
#include "protocol/cloud-messages.h"
#include <glib.h>
#include <stdbool.h>

/**
 * MhScaleOut:
 *
 * Makes requests for machines, one at a time.
 */
typedef struct MhScaleOut MhScaleOut;

/**
 * MhScaleOutDoneFunc:
 * @owner: what was registered with the function
 *
 * A request has ended: the next one may be made.
 */
typedef void (*MhScaleOutDoneFunc) (gpointer owner);

/**
 * mh_scale_out_new:
 * @context: (not transferred): the layers below; must outlive the object
 * @lost: (not transferred): is told what new machines make up for; must outlive the object
 *
 * Returns: (transfer full): an object without a request in flight
 */
MhScaleOut *
mh_scale_out_new (const MhAutoscalerContext *context, MhLostCapacity *lost);

/**
 * mh_scale_out_free:
 * @self: (transfer full) (nullable): an object
 *
 * Frees it. Calls in flight must have been forgotten before.
 */
void
mh_scale_out_free (MhScaleOut *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhScaleOut, mh_scale_out_free)

/**
 * mh_scale_out_set_done_func:
 * @self: an object
 * @func: is called when a request has ended
 * @owner: passed to @func
 *
 * Registers who waits for the end of a request.
 */
void
mh_scale_out_set_done_func (MhScaleOut *self, MhScaleOutDoneFunc func, gpointer owner);

/**
 * mh_scale_out_reset:
 * @self: an object
 *
 * Forgets everything of a leadership that has ended, with its calls.
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
 * mh_scale_out_is_refused:
 * @self: an object
 * @type: a type of machine
 * @zone: a zone
 * @spot: whether spot machines are meant
 *
 * Returns: %TRUE if the cloud refused such machines a moment ago
 */
bool
mh_scale_out_is_refused (const MhScaleOut *self, const MhMachineType *type, const char *zone,
                         bool spot);

/**
 * mh_scale_out_request:
 * @self: an object without a request in flight
 * @estimates: (element-type MhCapacityEstimate): machines of a demand plan
 *
 * Requests machines of the first kind among @estimates that has to be created, as many as the plan
 * has, up to what one request may ask for. Nothing happens if none has to be created.
 */
void
mh_scale_out_request (MhScaleOut *self, const GArray *estimates);
