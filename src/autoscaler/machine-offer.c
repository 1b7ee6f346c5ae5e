#include "autoscaler/machine-offer.h"
#include "autoscaler/capacity-estimate.h"
#include "cluster/zone-silence.h"

/* The cloud preempts spot machines from time to time, which interrupts their tasks. Their price is
   multiplied by this factor when offers are compared. */
#define SPOT_PRICE_FACTOR 1.3
/* Prices that differ by less than this count as equal. */
#define PRICE_TOLERANCE 1e-9
/* Added to a computed number of tasks before it is rounded down, so that rounding errors do not
   cost a task. */
#define SLOT_TOLERANCE 1e-6

struct MhMachineOffers
{
  GArray *offers;               /* MhMachineOffer */
  GHashTable *machines_by_zone; /* zone -> guint */
};

static void
offer_clear (gpointer data)
{
  g_ref_string_release (((MhMachineOffer *)data)->zone);
}

static guint *
get_zone_machine_count (MhMachineOffers *offers, const char *zone)
{
  guint *count = g_hash_table_lookup (offers->machines_by_zone, zone);
  if (count == NULL)
    {
      count = g_new0 (guint, 1);
      g_hash_table_insert (offers->machines_by_zone, g_strdup (zone), count);
    }
  return count;
}

static void
count_machines (MhMachineOffers *offers, GHashTable *machines, const GArray *booting)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, machines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MhMachine *machine = value;
      if (!mh_machine_is_releasing (machine) && machine->heartbeat.reported && machine->zone)
        (*get_zone_machine_count (offers, machine->zone))++;
    }
  for (guint i = 0; i < booting->len; i++)
    (*get_zone_machine_count (offers, g_array_index (booting, MhCapacityEstimate, i).zone))++;
}

static void
add_type_offers (MhMachineOffers *offers, const MhAutoscalerContext *context,
                 const MhScaleOut *scale_out, const MhMachineType *type)
{
  for (char **zone = type->zones; zone && *zone; zone++)
    for (int spot = 0; spot < 2; spot++)
      {
        g_autoptr (GRefString) name = g_ref_string_new_intern (*zone);
        /* A machine created in a partitioned zone is of no use until the partition ends. */
        if (mh_scale_out_is_kind_refused (scale_out, type, *zone, spot)
            || mh_zone_is_partitioned (context->cluster, name))
          continue;
        MhMachineOffer offer = { .type = type,
                                 .zone = g_ref_string_acquire (name),
                                 .spot = spot,
                                 .machines_in_zone = get_zone_machine_count (offers, *zone) };
        g_array_append_val (offers->offers, offer);
      }
}

MhMachineOffers *
mh_machine_offers_new (const MhAutoscalerContext *context, const MhScaleOut *scale_out,
                       const GArray *booting)
{
  const GPtrArray *types = mh_cluster_types (context->cluster);
  MhMachineOffers *offers = g_new0 (MhMachineOffers, 1);
  offers->offers = g_array_new (FALSE, FALSE, sizeof (MhMachineOffer));
  g_array_set_clear_func (offers->offers, offer_clear);
  offers->machines_by_zone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  count_machines (offers, mh_cluster_machines (context->cluster), booting);
  for (guint i = 0; i < types->len; i++)
    add_type_offers (offers, context, scale_out, g_ptr_array_index (types, i));
  return offers;
}

void
mh_machine_offers_free (MhMachineOffers *offers)
{
  if (offers == NULL)
    return;
  g_array_unref (offers->offers);
  g_hash_table_unref (offers->machines_by_zone);
  g_free (offers);
}

/* Returns the hourly price per task of a machine that runs @tasks of these tasks, or as many of
   them as fit. The machine counts as at least half full, because more tasks of this kind are
   expected. */
static double
get_price_per_task (const MhMachineOffer *offer, const MhJobSpec *spec, guint tasks)
{
  const MhMachineType *type = offer->type;
  double by_cpus = spec->cpus > 0 ? type->cpus / spec->cpus : tasks;
  double by_memory = spec->mem_gb > 0 ? type->mem_gb / spec->mem_gb : tasks;
  double slots = (double)(guint)(MIN (by_cpus, by_memory) + SLOT_TOLERANCE);
  slots = MAX (1, MIN (slots, MAX (tasks, slots / 2)));
  return (offer->spot ? type->spot_price * SPOT_PRICE_FACTOR : type->price) / slots;
}

const MhMachineOffer *
mh_machine_offers_find_cheapest (const MhMachineOffers *offers, const MhJob *job, const char *zone,
                                 guint tasks)
{
  g_return_val_if_fail (offers != NULL, NULL);
  double best_price = G_MAXDOUBLE;
  const MhMachineOffer *best = NULL;
  for (guint i = 0; i < offers->offers->len; i++)
    {
      const MhMachineOffer *offer = &g_array_index (offers->offers, MhMachineOffer, i);
      MhCapacityEstimate machine
          = mh_capacity_estimate_for_type (offer->type, offer->zone, offer->spot);
      if (!mh_capacity_estimate_suits_job (&machine, job, zone))
        continue;
      double price = get_price_per_task (offer, job->spec, tasks);
      bool cheaper = price < best_price - PRICE_TOLERANCE;
      bool equal = price < best_price + PRICE_TOLERANCE;
      if (best == NULL || cheaper || (equal && *offer->machines_in_zone < *best->machines_in_zone))
        {
          best_price = price;
          best = offer;
        }
    }
  return best;
}
