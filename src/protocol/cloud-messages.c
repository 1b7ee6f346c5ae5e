#include "protocol/cloud-messages.h"
#include "protocol/field.h"

/* Upper bounds of the values of a machine type: no machine has more or costs more. */
#define MAX_CPUS_OR_GPUS 1e6
#define MAX_GB 1e9
#define MAX_PRICE 1e9
/* Limit of the cloud for one page. */
#define MAX_MACHINES_PER_PAGE 500

static const MhEnumName listed_state_names[] = { { "starting", MH_LISTED_STARTING },
                                                 { "running", MH_LISTED_RUNNING },
                                                 { "failed", MH_LISTED_FAILED },
                                                 {} };

#define MEMBER(name) .offset = offsetof (MhMachineType, name)

/* PROTOCOL, "GET /machine_types". */
static const MhField machine_type_fields[] = {
  { "sku", MH_FIELD_NAME, MEMBER (name) },
  { "cpus", MH_FIELD_AMOUNT, MEMBER (cpus), .max = MAX_CPUS_OR_GPUS },
  { "mem_gb", MH_FIELD_AMOUNT, MEMBER (mem_gb), .max = MAX_GB },
  { "hourly", MH_FIELD_AMOUNT, MEMBER (price), .max = MAX_PRICE },
  { "boot_s", MH_FIELD_DURATION, MEMBER (boot_us) },
  { "halls", MH_FIELD_STRV, MH_FIELD_OPTIONAL, MEMBER (zones) },
  { "gpus", MH_FIELD_AMOUNT, MH_FIELD_LENIENT, MEMBER (gpus), .max = MAX_CPUS_OR_GPUS },
  { "cache_gb", MH_FIELD_AMOUNT, MH_FIELD_LENIENT, MEMBER (cache_gb), .max = MAX_GB },
  { "pull_gb_per_s", MH_FIELD_AMOUNT, MH_FIELD_LENIENT, MEMBER (fetch_gb_per_s), .max = MAX_GB },
  { "spot_price", MH_FIELD_AMOUNT, MH_FIELD_LENIENT, MEMBER (spot_price), .max = MAX_PRICE },
};

#undef MEMBER
#define MEMBER(name) .offset = offsetof (MhListedMachine, name)

/* PROTOCOL, "GET /machines". */
static const MhField listed_machine_fields[] = {
  { "id", MH_FIELD_NAME, MEMBER (name) },
  { "endpoint", MH_FIELD_NAME, MH_FIELD_LENIENT, MEMBER (endpoint) },
  { "rack", MH_FIELD_NAME, MEMBER (type) },
  { "hall", MH_FIELD_NAME, MEMBER (zone) },
  { "status", MH_FIELD_ENUM, MEMBER (state), .enum_names = listed_state_names },
  { "standby", MH_FIELD_FLAG, MH_FIELD_OPTIONAL, MEMBER (spot) },
  { "held_s", MH_FIELD_DURATION, MH_FIELD_LENIENT, MEMBER (age_us) },
};

#undef MEMBER
#define MEMBER(name) .offset = offsetof (MhMachineCreateSpec, name)

/* PROTOCOL, "POST /machines". */
static const MhField machine_create_fields[] = {
  { "rental", MH_FIELD_NAME, MEMBER (name) },   { "rack", MH_FIELD_NAME, MEMBER (type) },
  { "hall", MH_FIELD_NAME, MEMBER (zone) },     { "standby", MH_FIELD_FLAG, MEMBER (spot) },
  { "number", MH_FIELD_COUNT, MEMBER (count) },
};

void
mh_machine_type_free (MhMachineType *type)
{
  if (type == NULL)
    return;
  g_free (type->name);
  g_strfreev (type->zones);
  g_free (type);
}

void
mh_listed_machine_free (MhListedMachine *machine)
{
  if (machine == NULL)
    return;
  g_free (machine->name);
  g_free (machine->endpoint);
  g_free (machine->type);
  g_free (machine->zone);
  g_free (machine);
}

static MhMachineType *
machine_type_decode (const MhValue *map, GError **error)
{
  g_autoptr (MhMachineType) type = g_new0 (MhMachineType, 1);
  type->spot_price = -1;
  if (!mh_fields_decode (map, machine_type_fields, G_N_ELEMENTS (machine_type_fields), type, error))
    return NULL;
  if (type->spot_price < 0)
    type->spot_price = type->price;
  return g_steal_pointer (&type);
}

GPtrArray *
mh_machine_types_decode (const MhValue *body, GError **error)
{
  const MhValue *list = mh_field_get_list (body, "racks", error);
  if (list == NULL)
    return NULL;
  g_autoptr (GPtrArray) types
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      MhMachineType *type = machine_type_decode (mh_value_at (list, i), error);
      if (type == NULL)
        {
          g_prefix_error (error, "racks[%" G_GSIZE_FORMAT "]: ", i);
          return NULL;
        }
      g_ptr_array_add (types, type);
    }
  return g_steal_pointer (&types);
}

static MhListedMachine *
listed_machine_decode (const MhValue *map, GError **error)
{
  g_autoptr (MhListedMachine) machine = g_new0 (MhListedMachine, 1);
  if (!mh_fields_decode (map, listed_machine_fields, G_N_ELEMENTS (listed_machine_fields), machine,
                         error))
    return NULL;
  return g_steal_pointer (&machine);
}

GPtrArray *
mh_machine_list_decode (const MhValue *body, bool *has_more, GError **error)
{
  g_return_val_if_fail (has_more != NULL, NULL);

  *has_more = false;
  const MhValue *list = mh_field_get_list (body, "boxes", error);
  if (list == NULL)
    return NULL;
  mh_value_get_bool (body, "has_next", has_more);
  g_autoptr (GPtrArray) machines
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_listed_machine_free);
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      MhListedMachine *machine = listed_machine_decode (mh_value_at (list, i), error);
      if (machine == NULL)
        {
          g_prefix_error (error, "boxes[%" G_GSIZE_FORMAT "]: ", i);
          return NULL;
        }
      g_ptr_array_add (machines, machine);
    }
  return g_steal_pointer (&machines);
}

char **
mh_created_machines_decode (const MhValue *body, GError **error)
{
  return mh_field_get_strv (body, "boxes", error);
}

MhRequest *
mh_cloud_request_machine_types (void)
{
  return mh_request_new (MH_TARGET_CLOUD, "GET", g_strdup ("/machine_types"), NULL);
}

MhRequest *
mh_cloud_request_machine_list (const char *after)
{
  char *path = after ? g_strdup_printf ("/machines?since=%s&limit=%d", after, MAX_MACHINES_PER_PAGE)
                     : g_strdup_printf ("/machines?limit=%d", MAX_MACHINES_PER_PAGE);
  return mh_request_new (MH_TARGET_CLOUD, "GET", path, NULL);
}

MhRequest *
mh_cloud_request_create_machines (const MhMachineCreateSpec *spec)
{
  g_return_val_if_fail (spec != NULL, NULL);

  MhValue *body
      = mh_fields_encode (machine_create_fields, G_N_ELEMENTS (machine_create_fields), spec);
  return mh_request_new (MH_TARGET_CLOUD, "POST", g_strdup ("/machines"), body);
}

MhRequest *
mh_cloud_request_delete_machines (char **machines)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_strv (body, "boxes", machines);
  return mh_request_new (MH_TARGET_CLOUD, "POST", g_strdup ("/machines/release"), body);
}
