/* Kinds of machine that can be created: each type in each zone where the cloud has it, as spot
   machine or not, without those that were refused a moment ago. */
#pragma once

#include "autoscaler/scale-out.h"
#include "jobs/job.h"
#include "protocol/cloud-messages.h"

/**
 * MhMachineOffer:
 * @type: the type of machine
 * @zone: (owned): its zone, interned
 * @spot: whether it is a spot machine
 * @machines_in_zone: how many machines the zone has or is to get; shared by the offers of the zone
 *
 * A kind of machine that can be created.
 */
typedef struct
{
  const MhMachineType *type;
  GRefString *zone;
  bool spot;
  guint *machines_in_zone;
} MhMachineOffer;

/**
 * MhMachineOffers:
 *
 * All kinds of machine that can be created now, for one step.
 */
typedef struct MhMachineOffers MhMachineOffers;

/**
 * mh_machine_offers_new:
 * @context: the layers below
 * @scale_out: knows which kinds were refused
 * @coming: (element-type MhCapacityEstimate): machines that are coming; they count for their zones
 *
 * Returns: (transfer full): what can be created now
 */
MhMachineOffers *
mh_machine_offers_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                       const GArray *coming);

/**
 * mh_machine_offers_free:
 * @offers: (transfer full) (nullable): offers
 *
 * Frees them.
 */
void
mh_machine_offers_free (MhMachineOffers *offers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhMachineOffers, mh_machine_offers_free)

/**
 * mh_machine_offers_cheapest:
 * @offers: offers
 * @job: a job
 * @zone: (nullable): the only zone that its tasks may go to, interned; %NULL: any
 * @tasks: how many of its tasks look for a machine
 *
 * Chooses the offer whose machines cost least for each task; among equals the one whose zone has
 * the fewest machines.
 *
 * Returns: (transfer none) (nullable): the offer; %NULL: none suits the job
 */
const MhMachineOffer *
mh_machine_offers_cheapest (const MhMachineOffers *offers, const MhJob *job, const char *zone,
                            guint tasks);
