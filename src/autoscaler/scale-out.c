/* Calls that rent machines, and kinds that were refused. */
#include "controller/core-private.h"

#define CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
/* A kind of which there was none, or that was refused for another reason, is asked for again then.
 */
#define NO_CAPACITY_US (15 * MH_SECOND_US)
#define REFUSED_US (2 * MH_SECOND_US)
/* In one call, by the protocol. */
#define RENT_MOST 50u

static char *
kind_key (const char *type, const char *zone, bool spot)
{
  return g_strdup_printf ("%s/%s/%d", type, zone, spot);
}

bool
mh_rental_refused (MhCore *core, const MhMachineType *t, const char *zone, bool spot)
{
  g_autofree char *key = kind_key (t->name, zone, spot);
  gint64 *until = g_hash_table_lookup (core->scale.refused, key);
  return until && core->now.mono_us < *until;
}

typedef struct
{
  char *name, *type, *zone;
  bool spot;
  guint count;
  double cpus; /* of each */
} Rental;

static void
rental_free (gpointer data)
{
  Rental *r = data;
  g_free (r->name);
  g_free (r->type);
  g_free (r->zone);
  g_free (r);
}

static void
rent (MhCore *core, Rental *r);

/* Not all that was asked for: the kind is not asked for again for a while. */
static void
rental_refused (MhCore *core, const Rental *r, guint missing, bool no_capacity)
{
  gint64 *until = g_new (gint64, 1);
  *until = core->now.mono_us + (no_capacity ? NO_CAPACITY_US : REFUSED_US);
  g_hash_table_insert (core->scale.refused, kind_key (r->type, r->zone, r->spot), until);
  mh_info (core, "renting %u %s%s in %s: %s", missing, r->spot ? "spot " : "", r->type, r->zone,
           no_capacity ? "no capacity" : "refused");
}

static void
rental_carried_out (MhCore *core, const Rental *r, char **names)
{
  guint got = g_strv_length (names);
  mh_info (core, "rented %u of %u %s%s in %s", got, r->count, r->spot ? "spot " : "", r->type,
           r->zone);
  core->scale.lost_cpus = MAX (0, core->scale.lost_cpus - r->cpus * got);
  for (guint i = 0; i < got; i++)
    if (mh_cluster_find_machine (core, names[i]) == NULL
        && !mh_cluster_was_released (core, names[i]))
      mh_cluster_add_machine (core, names[i], r->type, r->zone, r->spot)->boot.rented_here = true;
  if (got < r->count)
    rental_refused (core, r, r->count - got, true);
}

/* Not known, or not now: the same name again, so that nothing is rented twice. */
static void
rent_again (MhCore *core, const Rental *r)
{
  mh_call_queue_pause_cloud (core->calls, 300000, 300000);
  Rental *again = g_new0 (Rental, 1);
  *again = *r;
  again->name = g_strdup (r->name);
  again->type = g_strdup (r->type);
  again->zone = g_strdup (r->zone);
  rent (core, again);
}

static void
rent_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  const Rental *r = data;
  g_auto (GStrv) names = status == 200 ? mh_wire_read_rented (body) : NULL;
  if (names)
    rental_carried_out (core, r, names);
  else if (status == 503 || status == 400)
    {
      g_autofree char *reason = status == 503 ? mh_value_get_text (body, "error") : NULL;
      rental_refused (core, r, r->count, g_strcmp0 (reason, "no capacity") == 0);
    }
  else
    {
      rent_again (core, r);
      return;
    }
  core->scale.renting = false;
  core->scale.step_us = core->now.mono_us;
}

static void
rent (MhCore *core, Rental *r)
{
  core->scale.renting = true;
  mh_core_call (core, MH_CALL_WORK, mh_wire_rent (r->name, r->type, r->zone, r->spot, r->count), 0,
                CLOUD_TIMEOUT_US, rent_reply, r, rental_free);
}

void
mh_rental_call (MhCore *core, const GArray *rooms)
{
  const MhRoom *first = NULL;
  guint count = 0;
  for (guint i = 0; i < rooms->len; i++)
    {
      const MhRoom *r = &g_array_index (rooms, MhRoom, i);
      if (!r->wanted)
        continue;
      if (first == NULL)
        first = r;
      count += r->type == first->type && r->spot == first->spot && r->zone == first->zone;
    }
  if (first == NULL)
    return;
  Rental *r = g_new0 (Rental, 1);
  /* The epoch is this leadership's alone, so the name was never used before. */
  r->name = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                             mh_election_epoch (core->election), ++core->scale.rentals);
  r->type = g_strdup (first->type->name);
  r->zone = g_strdup (first->zone);
  r->spot = first->spot;
  r->count = MIN (count, RENT_MOST);
  r->cpus = first->type->cpus;
  rent (core, r);
}
