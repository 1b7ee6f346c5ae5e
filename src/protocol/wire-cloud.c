/* Messages of the cloud. */
#include "protocol/wire-private.h"

static const MhWireWord listed[] = { { "starting", MH_LISTED_STARTING },
                                     { "running", MH_LISTED_RUNNING },
                                     { "failed", MH_LISTED_FAILED },
                                     {} };

static void
listed_free (gpointer data)
{
  MhListedMachine *m = data;
  if (m == NULL)
    return;
  g_free (m->name);
  g_free (m->endpoint);
  g_free (m->type);
  g_free (m->zone);
  g_free (m);
}

GPtrArray *
mh_machine_types_decode (const MhValue *b)
{
  MhValue *list = mh_value_get (b, "racks");
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  g_autoptr (GPtrArray) types
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *m = mh_value_at (list, i);
      MhMachineType *t = g_new0 (MhMachineType, 1);
      g_ptr_array_add (types, t);
      t->name = mh_wire_read_name (m, "sku");
      if (!t->name || !mh_wire_read_amount (m, "cpus", 1e6, &t->cpus)
          || !mh_wire_read_amount (m, "mem_gb", 1e9, &t->mem_gb)
          || !mh_wire_read_amount (m, "hourly", 1e9, &t->price)
          || !mh_wire_read_duration (m, "boot_s", &t->boot_us)
          || !mh_value_get_names (m, "halls", &t->zones))
        return NULL;
      if (!mh_wire_read_amount (m, "gpus", 1e6, &t->gpus))
        t->gpus = 0;
      if (!mh_wire_read_amount (m, "cache_gb", 1e9, &t->cache_gb))
        t->cache_gb = 0;
      if (!mh_wire_read_amount (m, "pull_gb_per_s", 1e9, &t->fetch_gb_per_s))
        t->fetch_gb_per_s = 0;
      if (!mh_wire_read_amount (m, "spot_price", 1e9, &t->spot_price))
        t->spot_price = t->price;
    }
  return g_steal_pointer (&types);
}

GPtrArray *
mh_machine_list_decode (const MhValue *b, bool *more)
{
  MhValue *list = mh_value_get (b, "boxes");
  *more = false;
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  mh_value_get_bool (b, "has_next", more);
  g_autoptr (GPtrArray) machines = g_ptr_array_new_with_free_func (listed_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *m = mh_value_at (list, i);
      MhListedMachine *l = g_new0 (MhListedMachine, 1);
      int state;
      g_ptr_array_add (machines, l);
      l->name = mh_wire_read_name (m, "id");
      l->endpoint = mh_wire_read_name (m, "endpoint");
      l->type = mh_wire_read_name (m, "rack");
      l->zone = mh_wire_read_name (m, "hall");
      if (!l->name || !l->type || !l->zone || !mh_wire_read_word (m, "status", listed, &state)
          || !mh_wire_read_flag (m, "standby", &l->spot))
        return NULL;
      l->state = (MhListedState)state;
      if (!mh_wire_read_duration (m, "held_s", &l->age_us))
        l->age_us = 0;
    }
  return g_steal_pointer (&machines);
}

char **
mh_created_machines_decode (const MhValue *b)
{
  char **names = NULL;
  return mh_value_get_names (b, "boxes", &names) ? names : NULL;
}

static MhValue *
write_rental (const char *name, const char *type, const char *zone, bool spot, guint count)
{
  MhValue *m = mh_value_map ();
  mh_value_set_text (m, "rental", name);
  mh_value_set_text (m, "rack", type);
  mh_value_set_text (m, "hall", zone);
  mh_value_set_bool (m, "standby", spot);
  mh_value_set_uint (m, "number", count);
  return m;
}

static MhValue *
write_release (char **machines)
{
  MhValue *m = mh_value_map ();
  mh_value_set_names (m, "boxes", machines);
  return m;
}

MhRequest *
mh_cloud_request_machine_types (void)
{
  return mh_request_new (MH_TARGET_CLOUD, "GET", g_strdup ("/machine_types"), NULL);
}

MhRequest *
mh_cloud_request_machine_list (const char *after)
{
  return mh_request_new (MH_TARGET_CLOUD, "GET",
                         after ? g_strdup_printf ("/machines?since=%s&limit=500", after)
                               : g_strdup ("/machines?limit=500"),
                         NULL);
}

MhRequest *
mh_cloud_request_create_machines (const char *name, const char *type, const char *zone, bool spot,
                                  guint count)
{
  return mh_request_new (MH_TARGET_CLOUD, "POST", g_strdup ("/machines"),
                         write_rental (name, type, zone, spot, count));
}

MhRequest *
mh_cloud_request_delete_machines (char **machines)
{
  return mh_request_new (MH_TARGET_CLOUD, "POST", g_strdup ("/machines/release"),
                         write_release (machines));
}
