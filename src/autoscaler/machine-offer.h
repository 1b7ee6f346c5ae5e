/* Offers: the kinds of machine that can be created at present. There is one for each machine type,
   each zone in which the cloud offers it, and spot or not. Kinds that the cloud refused recently
   and kinds in partitioned zones are left out. */
#pragma once

#include "autoscaler/scale-out.h"
#include "jobs/job.h"
#include "protocol/cloud-messages.h"

/**
 * MhMachineOffer:
 * @type: the machine type
 * @zone: (owned): the zone, interned
 * @spot: whether it is a spot machine
 * @machines_in_zone: how many machines the zone has, including booting and planned ones; shared by
 * the offers of the zone
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
 * All kinds of machine that can be created at present, for one step.
 */
typedef struct MhMachineOffers MhMachineOffers;

/**
 * mh_machine_offers_new:
 * @context: the lower layers
 * @scale_out: provides the kinds that the cloud refused recently
 * @booting: (element-type MhCapacityEstimate): booting machines, which count as machines of their
 * zones
 *
 * Returns: (transfer full): the kinds of machine that can be created at present
 */
MhMachineOffers *
mh_machine_offers_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                       const GArray *booting);

/**
 * mh_machine_offers_free:
 * @offers: (transfer full) (nullable): offers
 */
void
mh_machine_offers_free (MhMachineOffers *offers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhMachineOffers, mh_machine_offers_free)

/**
 * mh_machine_offers_find_cheapest:
 * @offers: offers
 * @job: a job
 * @zone: (nullable): the only zone in which its tasks may run, interned; %NULL: any zone
 * @tasks: how many of its tasks need a machine
 *
 * Chooses the offer with the lowest price per task; among offers of equal price, the one whose zone
 * has the fewest machines.
 *
 * Returns: (transfer none) (nullable): the offer; %NULL if none suits the job
 */
const MhMachineOffer *
mh_machine_offers_find_cheapest (const MhMachineOffers *offers, const MhJob *job, const char *zone,
                                 guint tasks);
