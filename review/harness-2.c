/* The harness of the first review with another cloud: its requests for types and for machines are
   answered as the site of the case says. */
#include "harness-2.h"

static bool
serve_site (Environment *environment, MhTarget target, const ServiceRequest *request,
            ServiceResponse *response);

#define environment_serve serve_site
#include "harness.c"
#undef environment_serve

#define REPORT_INTERVAL_CHANGE_MS 7

SiteCloud site_cloud;

static MhValue *
encode_site_types (void)
{
  bool small = strcmp (site_cloud.type, "small") == 0;
  MhValue *zones = mh_value_new_list ();
  for (guint i = 0; i < site_cloud.zones; i++)
    {
      const char name[] = { (char)('a' + i), '\0' };
      mh_value_push (zones, mh_value_new_text (name));
    }
  MhValue *item = mh_value_new_map ();
  mh_value_set_text (item, "sku", site_cloud.type);
  mh_value_set_number (item, "cpus", small ? 4 : 16);
  mh_value_set_number (item, "gpus", 0);
  mh_value_set_number (item, "mem_gb", small ? 8 : 64);
  mh_value_set_number (item, "cache_gb", 70);
  mh_value_set_number (item, "pull_gb_per_s", 1);
  mh_value_set_number (item, "hourly", site_cloud.hourly);
  mh_value_set_number (item, "spot_price", site_cloud.spot_price);
  mh_value_set_number (item, "boot_s", site_cloud.boot_s);
  mh_value_set (item, "halls", zones);
  MhValue *list = mh_value_new_list (), *body = mh_value_new_map ();
  mh_value_push (list, item);
  mh_value_set (body, "racks", list);
  return body;
}

static guint
count_machines (const Environment *environment, const char *zone, bool spot)
{
  const GPtrArray *machines = environment->cloud->machines;
  guint count = 0;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      count += !machine->removed && machine->spot == spot && strcmp (machine->zone, zone) == 0;
    }
  return count;
}

/* Lets the cloud create as many machines as its capacity for this kind allows. */
static void
limit_to_capacity (const Environment *environment, const MhValue *body)
{
  const GPtrArray *machines = environment->cloud->machines;
  g_autofree char *zone = mh_value_get_text (body, "hall");
  bool spot = false;
  guint64 number = 0;
  mh_value_get_bool (body, "standby", &spot);
  mh_value_get_uint (body, "number", &number);
  guint capacity = spot ? site_cloud.spot_capacity : site_cloud.capacity;
  if (site_cloud.only_first_zone && strcmp (zone, "a") != 0)
    capacity = 0;
  guint used = count_machines (environment, zone, spot), existing = 0;
  for (guint i = 0; i < machines->len; i++)
    existing += !((const Machine *)g_ptr_array_index (machines, i))->removed;
  environment->cloud->max_machines = existing + (used < capacity ? capacity - used : 0);
  harness_record ("cloud: asked for %u machines, zone %s, %s; has capacity for %u", (guint)number,
                  zone, spot ? "cheap" : "ordinary", used < capacity ? capacity - used : 0);
}

static bool
serve_site (Environment *environment, MhTarget target, const ServiceRequest *request,
            ServiceResponse *response)
{
  if (target == MH_TARGET_CLOUD && strcmp (request->path, "/machine_types") == 0)
    {
      *response = (ServiceResponse){ .status = 200, .body = encode_site_types () };
      return true;
    }
  if (target == MH_TARGET_CLOUD && strcmp (request->path, "/machines") == 0 && request->body)
    limit_to_capacity (environment, request->body);
  return environment_serve (environment, target, request, response);
}

/* PROTOCOL: "Reports go out every `report_s` [...], give or take a quarter". */
static gboolean
vary_report_interval (gpointer data)
{
  const gint64 *interval_us = data;
  cluster->options.heartbeat_interval_us
      = (gint64)((double)*interval_us * g_random_double_range (0.75, 1.25));
  return G_SOURCE_CONTINUE;
}

LoopbackCluster *
site_start (int argc, char **argv, const char *settings, gint64 report_us)
{
  static gint64 interval_us;
  interval_us = report_us;
  LoopbackCluster *started = harness_start (argc, argv, settings, report_us);
  g_timeout_add (REPORT_INTERVAL_CHANGE_MS, vary_report_interval, &interval_us);
  return started;
}

guint
site_count_machines (LoopbackCluster *of, const char *zone, bool spot)
{
  return count_machines (of->environment, zone, spot);
}

void
site_set_boot (LoopbackCluster *of, double seconds)
{
  of->environment->cloud->boot_us = (gint64)(seconds * MH_SECOND_US);
  harness_record ("cloud: machines that are rented from now on boot in %.0f s", seconds);
}

MhJobSpec *
site_new_job (const char *id, const char *class_name, const char *team, MhShape shape, guint tasks)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup (id);
  spec->class_name = g_strdup (class_name);
  spec->team = g_strdup (team);
  spec->image = g_strdup_printf ("img-%s", class_name);
  spec->image_gb = 0.2;
  spec->shape = shape;
  spec->priority = shape == MH_SHAPE_SERVICE ? MH_PRIORITY_HIGH : MH_PRIORITY_NORMAL;
  spec->tasks = tasks;
  spec->cpus = 1;
  spec->mem_gb = 1.1;
  spec->deadline_us = -1;
  return spec;
}

void
site_submit (LoopbackCluster *to, MhJobSpec *spec, double run_s)
{
  g_autofree char *id = g_strdup (spec->id);
  harness_record ("job %s: class %s, team %s, %u tasks of %.2f cpus, zone %s, %s machines", id,
                  spec->class_name, spec->team, spec->tasks, spec->cpus,
                  spec->zone ? spec->zone : "any", spec->spot ? "cheap or ordinary" : "ordinary");
  g_autoptr (GBytes) body
      = loopback_cluster_encode_submission (to, spec, (gint64)(run_s * MH_SECOND_US));
  for (guint i = 0; i < 5; i++)
    {
      guint status = harness_ask (i % LOOPBACK_NODES, "POST", "/submissions", body).status;
      if (status == 200 || status == 201)
        return;
      harness_wait (1);
    }
  harness_give_up ("a job was not accepted");
}

void
site_wait_running (LoopbackCluster *of, const char *job, guint tasks, double max_s)
{
  gint64 until_us = g_get_monotonic_time () + (gint64)(max_s * MH_SECOND_US);
  while (environment_running_tasks (of->environment, job) < tasks)
    {
      if (g_get_monotonic_time () > until_us)
        harness_give_up ("a job that the case begins with does not run");
      harness_wait (0.1);
    }
}
