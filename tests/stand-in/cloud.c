#include "stand-in/cloud.h"

#include <string.h>

#define DEFAULT_BOOT_US (4 * MH_SECOND_US)
#define DEFAULT_MAX_MACHINES 12
#define DEFAULT_ZONE_COUNT 2
#define DEFAULT_PAGE_SIZE 500

Cloud *
cloud_new (GPtrArray *machines, gint64 list_lag_us, struct WorkerRuntime *runtime)
{
  Cloud *cloud = g_new0 (Cloud, 1);
  cloud->boot_us = DEFAULT_BOOT_US;
  cloud->list_lag_us = list_lag_us;
  cloud->max_machines = DEFAULT_MAX_MACHINES;
  cloud->zone_count = DEFAULT_ZONE_COUNT;
  cloud->machines = g_ptr_array_ref (machines);
  cloud->create_requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cloud->runtime = runtime;
  return cloud;
}

void
cloud_free (Cloud *cloud)
{
  g_ptr_array_unref (cloud->machines);
  g_hash_table_unref (cloud->create_requests);
  g_free (cloud);
}

Machine *
cloud_add_machine (Cloud *cloud, const char *type, const char *zone, bool spot)
{
  Machine *machine = machine_new ((guint)++cloud->machines_created, type, zone, cloud->runtime);
  machine->spot = spot;
  machine->created_us = cloud->now_us;
  machine->boot_done_us = cloud->now_us + cloud->boot_us;
  g_ptr_array_add (cloud->machines, machine);
  return machine;
}

static Machine *
find_machine (const Cloud *cloud, const char *name)
{
  for (guint i = 0; i < cloud->machines->len; i++)
    {
      Machine *machine = g_ptr_array_index (cloud->machines, i);
      if (strcmp (machine->name, name) == 0)
        return machine;
    }
  return NULL;
}

/* ---- types ---- */

static MhValue *
encode_zones (const Cloud *cloud)
{
  MhValue *zones = mh_value_new_list ();
  for (guint i = 0; i < cloud->zone_count; i++)
    {
      const char name[] = { (char)('a' + i), '\0' };
      mh_value_push (zones, mh_value_new_text (name));
    }
  return zones;
}

static MhValue *
encode_types (const Cloud *cloud)
{
  guint count;
  const MachineType *types = machine_types (&count);
  MhValue *list = mh_value_new_list ();
  for (guint i = 0; i < count; i++)
    {
      MhValue *item = mh_value_new_map ();
      mh_value_set_text (item, "sku", types[i].name);
      mh_value_set_number (item, "cpus", types[i].cpus);
      mh_value_set_number (item, "mem_gb", types[i].mem_gb);
      mh_value_set_number (item, "cache_gb", 50);
      mh_value_set_number (item, "pull_gb_per_s", 1);
      mh_value_set_number (item, "hourly", types[i].price);
      mh_value_set_number (item, "spot_price", types[i].spot_price);
      mh_value_set_number (item, "boot_s", 4);
      mh_value_set (item, "halls", encode_zones (cloud));
      mh_value_push (list, item);
    }
  MhValue *body = mh_value_new_map ();
  mh_value_set (body, "racks", list);
  return body;
}

/* ---- create requests ---- */

static guint
count_existing (const Cloud *cloud)
{
  guint existing = 0;
  for (guint i = 0; i < cloud->machines->len; i++)
    existing += !((const Machine *)g_ptr_array_index (cloud->machines, i))->removed;
  return existing;
}

/* Creates the requested machines, but not beyond the limit. Returns their names, separated by
   commas. */
static char *
create_machines (Cloud *cloud, const MhValue *body)
{
  g_autofree char *type = mh_value_get_text (body, "rack");
  g_autofree char *zone = mh_value_get_text (body, "hall");
  guint64 count = 0;
  bool spot = false;
  mh_value_get_uint (body, "number", &count);
  mh_value_get_bool (body, "standby", &spot);
  GString *names = g_string_new (NULL);
  for (guint existing = count_existing (cloud); count > 0 && existing < cloud->max_machines;
       count--, existing++)
    g_string_append_printf (names, "%s%s", names->len ? "," : "",
                            cloud_add_machine (cloud, type, zone, spot)->name);
  return g_string_free (names, FALSE);
}

static MhValue *
encode_names (const char *names)
{
  g_auto (GStrv) each = g_strsplit (names, ",", -1);
  MhValue *list = mh_value_new_list (), *body = mh_value_new_map ();
  for (guint i = 0; each[i]; i++)
    mh_value_push (list, mh_value_new_text (each[i]));
  mh_value_set (body, "boxes", list);
  return body;
}

/* A repeated request returns the machines of the first one. */
static void
serve_create (Cloud *cloud, const MhValue *body, ServiceResponse *response)
{
  g_autofree char *request_id = mh_value_get_text (body, "rental");
  const char *known_names = g_hash_table_lookup (cloud->create_requests, request_id);
  g_autofree char *names = known_names ? g_strdup (known_names) : create_machines (cloud, body);
  if (*names == '\0')
    {
      response->status = 503;
      response->body = mh_value_new_map ();
      mh_value_set_text (response->body, "error", "no capacity");
      return;
    }
  if (known_names == NULL)
    g_hash_table_insert (cloud->create_requests, g_strdup (request_id), g_strdup (names));
  response->body = encode_names (names);
}

static void
serve_release (Cloud *cloud, const MhValue *body)
{
  const MhValue *list = mh_value_get (body, "boxes");
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      g_autofree char *name = mh_value_as_text (mh_value_at (list, i));
      Machine *machine = find_machine (cloud, name);
      if (machine && !machine->removed)
        machine_remove (machine, cloud->now_us);
    }
}

/* ---- list of machines ---- */

static MhValue *
encode_machine (const Machine *machine, gint64 as_of_us)
{
  const char *status = machine->boot_done_us > as_of_us ? "starting" : "running";
  MhValue *item = mh_value_new_map ();
  mh_value_set_text (item, "id", machine->name);
  mh_value_set_text (item, "endpoint", machine->endpoint);
  mh_value_set_text (item, "rack", machine->type);
  mh_value_set_text (item, "hall", machine->zone);
  mh_value_set_bool (item, "standby", machine->spot);
  mh_value_set_text (item, "status", machine->failed ? "failed" : status);
  mh_value_set_number (item, "held_s", (double)(as_of_us - machine->created_us) / 1e6);
  return item;
}

static bool
is_listed (const Machine *machine, gint64 as_of_us, const char *after)
{
  if (machine->created_us > as_of_us || (machine->removed && machine->removed_us <= as_of_us))
    return false;
  return after == NULL || strcmp (machine->name, after) > 0;
}

static char *
query_parameter (const char *path, const char *name)
{
  const char *start = strstr (path, name);
  if (start == NULL)
    return NULL;
  start += strlen (name);
  return g_strndup (start, strcspn (start, "&"));
}

/* Returns a page, in the order of the names. */
static MhValue *
list_machines (const Cloud *cloud, const char *path)
{
  g_autofree char *limit_text = query_parameter (path, "limit="),
                  *after = query_parameter (path, "since=");
  guint64 limit = limit_text ? g_ascii_strtoull (limit_text, NULL, 10) : DEFAULT_PAGE_SIZE;
  gint64 as_of_us = cloud->now_us - cloud->list_lag_us;
  MhValue *list = mh_value_new_list (), *body = mh_value_new_map ();
  bool has_next = false;
  for (guint i = 0; i < cloud->machines->len && !has_next; i++)
    {
      const Machine *machine = g_ptr_array_index (cloud->machines, i);
      if (!is_listed (machine, as_of_us, after))
        continue;
      has_next = mh_value_list_length (list) >= limit;
      if (!has_next)
        mh_value_push (list, encode_machine (machine, as_of_us));
    }
  mh_value_set (body, "boxes", list);
  mh_value_set_bool (body, "has_next", has_next);
  return body;
}

void
cloud_serve (Cloud *cloud, const ServiceRequest *request, ServiceResponse *response)
{
  const char *path = request->path;
  *response = (ServiceResponse){ .status = 200 };
  if (cloud->now_us < cloud->outage_until_us)
    response->status = 503;
  else if (strcmp (path, "/machine_types") == 0)
    response->body = encode_types (cloud);
  else if (strcmp (path, "/machines") == 0)
    serve_create (cloud, request->body, response);
  else if (strcmp (path, "/machines/release") == 0)
    serve_release (cloud, request->body);
  else if (g_str_has_prefix (path, "/machines?"))
    {
      cloud->list_requests++;
      response->body = list_machines (cloud, path);
    }
  else
    response->status = 400;
}

static gint
compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (left, right);
}

void
cloud_describe_create_requests (const Cloud *cloud, GString *out)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (cloud->create_requests), compare_names);
  for (const GList *link = names; link; link = link->next)
    g_string_append_printf (out, "rental %s %s\n", (const char *)link->data,
                            (const char *)g_hash_table_lookup (cloud->create_requests, link->data));
}
