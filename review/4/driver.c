/* A service of two replicas loses its machine and never gets its second replica again: machines are
   rented only where its zone rule does not let it go. See claim.txt. */
#include "harness-2.h"

#include <string.h>

/* The deployment "harbor-quote-grid-grown" with two teams. */
static const char settings[]
    = "[[settings.teams]]\nname = \"pricing-desk-00\"\ncpus = 150.0\ncpus_max = 350.0\n"
      "[[settings.teams]]\nname = \"pricing-desk-01\"\ncpus = 150.0\ncpus_max = 350.0\n"
      "[[settings.objectives]]\nkind = \"wait\"\nclass = \"quote-live\"\nwithin_s = 30.0\nshare = "
      "0.9\n"
      "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 20.0\nshare = 0.85\n"
      "[settings.workers]\nreport_s = 5.0\nlease_s = 24.0\ncancel_s = 54.0\n"
      "[settings.state]\nrps = 250.0\nwrite_rps = 20.0\nvalue_kb = 32.0\ntxn_ops = 16\n"
      "[settings.cloud]\nrps = 3.0\nlist_lag_s = 5.0\n"
      "[settings.resources]\ncore_share = 0.08\nram_mb = 72.0\nmax_connections = 1200\n";

#define SERVICE "j-000701"
#define REPLICAS 2
#define ARRAY_TASKS 28
#define ARRAY_RUN_S 600
#define BOOT_S 20
/* How long machines really take: the first ones, up to the one in place of the dead one; then 0.6
   times BOOT_S. */
#define QUICK_BOOT_S 2
#define REAL_BOOT_S 12
/* How long a replica may wait although a machine that fits has room. */
#define MAX_WAIT_S 90
#define MAX_SECONDS 115

static LoopbackCluster *cluster;

static void
start_array (const char *id, const char *zone)
{
  MhJobSpec *spec
      = site_new_job (id, "residual-sweep", "pricing-desk-01", MH_SHAPE_ARRAY, ARRAY_TASKS);
  spec->zone = g_strdup (zone);
  spec->spot = true;
  spec->mem_gb = 1.4;
  spec->estimated_run_us = ARRAY_RUN_S * MH_SECOND_US;
  site_submit (cluster, spec, ARRAY_RUN_S);
}

/* The machine with the service's replicas. */
static Machine *
find_host (void)
{
  const GPtrArray *machines = cluster->environment->cloud->machines;
  for (guint i = 0; i < machines->len; i++)
    if (machine_running_tasks (g_ptr_array_index (machines, i), SERVICE))
      return g_ptr_array_index (machines, i);
  harness_give_up ("the service is on no machine");
}

/* Returns a machine that is up and has room for a replica; the job allows every type and zone. */
static const Machine *
find_room (const MhJobSpec *spec)
{
  const GPtrArray *machines = cluster->environment->cloud->machines;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      if (machine->running && !machine->removed && !machine->failed
          && machine_allowed (machine, spec)
          && machine_has_room (machine, cluster->environment->workload, spec))
        return machine;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  site_cloud = (SiteCloud){ .type = "small",
                            .zones = 4,
                            .boot_s = BOOT_S,
                            .hourly = 0.26,
                            .spot_price = 0.07,
                            .capacity = 40,
                            .spot_capacity = 20 };
  cluster = site_start (argc, argv, settings, 5 * MH_SECOND_US);
  gint64 started_us = g_get_monotonic_time ();
  site_set_boot (cluster, QUICK_BOOT_S);
  site_submit (cluster,
               site_new_job (SERVICE, "quote-live", "pricing-desk-00", MH_SHAPE_SERVICE, REPLICAS),
               0);
  site_wait_running (cluster, SERVICE, REPLICAS, 15);
  start_array ("j-000801", "b");
  start_array ("j-000802", "c");
  start_array ("j-000803", "d");
  site_wait_running (cluster, "j-000801", ARRAY_TASKS, 25);
  site_wait_running (cluster, "j-000802", ARRAY_TASKS, 25);
  site_wait_running (cluster, "j-000803", ARRAY_TASKS, 25);
  /* For longer runs by hand. */
  const char *longer = g_getenv ("REVIEW_WAIT_S");
  gint64 max_wait_us = (longer ? atoi (longer) : MAX_WAIT_S) * MH_SECOND_US;
  Machine *host = find_host ();
  if (harness_has_trouble ())
    {
      machine_fail (host);
      harness_record ("%s stops with all that is on it", host->name);
    }
  const WorkloadJob *job = workload_find (cluster->environment->workload, SERVICE);
  guint rented_before = cluster->environment->cloud->machines->len;
  gint64 waits_since_us = 0, complete_since_us = 0;
  bool replaced = false;
  for (;;)
    {
      harness_wait (1);
      gint64 now_us = g_get_monotonic_time ();
      if (!replaced && cluster->environment->cloud->machines->len > rented_before)
        {
          replaced = true;
          site_set_boot (cluster, REAL_BOOT_S);
        }
      guint running = environment_running_tasks (cluster->environment, SERVICE);
      const Machine *room = find_room (job->spec);
      harness_ask (0, "GET", "/submissions/" SERVICE, NULL);
      harness_record (
          "service: %u of %u replicas on machines; room on %s (zone %s); machines "
          "(ordinary and cheap) in zone a %u and %u, b %u and %u, c %u and %u, d %u and %u",
          running, REPLICAS, room ? room->name : "none", room ? room->zone : "none",
          site_count_machines (cluster, "a", false), site_count_machines (cluster, "a", true),
          site_count_machines (cluster, "b", false), site_count_machines (cluster, "b", true),
          site_count_machines (cluster, "c", false), site_count_machines (cluster, "c", true),
          site_count_machines (cluster, "d", false), site_count_machines (cluster, "d", true));
      if (running == REPLICAS || room == NULL)
        waits_since_us = 0;
      else if (waits_since_us == 0)
        waits_since_us = now_us;
      complete_since_us = running < REPLICAS ? 0 : complete_since_us ? complete_since_us : now_us;
      if (complete_since_us && now_us - complete_since_us > 60 * MH_SECOND_US)
        harness_finish (false, "all replicas of the accepted service run");
      if (waits_since_us && now_us - waits_since_us > max_wait_us)
        {
          g_autofree char *text = g_strdup_printf (
              "the accepted service " SERVICE " had %u of %u replicas for %.0f s, though a machine "
              "that fits had room all that time, now %s, and every zone had capacity for more; %u "
              "machines were rented since its machine died",
              running, REPLICAS, (double)(now_us - waits_since_us) / MH_SECOND_US, room->name,
              cluster->environment->cloud->machines->len - rented_before);
          harness_finish (true, text);
        }
      if (now_us - started_us > max_wait_us + (MAX_SECONDS - MAX_WAIT_S) * MH_SECOND_US)
        harness_give_up ("the service was neither complete nor left waiting for long enough");
    }
}
