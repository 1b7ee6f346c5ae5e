/* A service whose replicas failed on a faulty machine gets one replica for ever, though the machine is
   well again and has room. See claim.txt. */
#include "harness.h"

#include <string.h>

/* The deployment "harbor-quote-grid-grown" with two teams. */
static const char settings[]
    = "[[settings.teams]]\nname = \"pricing-desk-00\"\ncpus = 150.0\ncpus_max = 350.0\n"
      "[[settings.teams]]\nname = \"pricing-desk-01\"\ncpus = 150.0\ncpus_max = 350.0\n"
      "[[settings.objectives]]\nkind = \"wait\"\nclass = \"quote-live\"\nwithin_s = 30.0\nshare = 0.9\n"
      "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 20.0\nshare = 0.85\n"
      "[settings.workers]\nreport_s = 5.0\nlease_s = 24.0\ncancel_s = 54.0\n"
      "[settings.state]\nrps = 250.0\nwrite_rps = 20.0\nvalue_kb = 32.0\ntxn_ops = 16\n"
      "[settings.cloud]\nrps = 3.0\nlist_lag_s = 5.0\n"
      "[settings.resources]\ncore_share = 0.08\nram_mb = 72.0\nmax_connections = 1200\n";

#define JOB "j-000701"
#define REPLICAS 4
#define SICK_S 15.5
#define BOOT_US (20 * MH_SECOND_US)
/* How long a replica may wait although there is room, once the trouble is over. */
#define MAX_WAIT_S 90
#define MAX_SECONDS 113

static LoopbackCluster *cluster;

static GBytes *
describe (void)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup (JOB);
  spec->class_name = g_strdup ("quote-live");
  spec->team = g_strdup ("pricing-desk-00");
  spec->image = g_strdup ("img-07");
  spec->image_gb = 0.2;
  spec->shape = MH_SHAPE_SERVICE;
  spec->priority = MH_PRIORITY_HIGH;
  spec->tasks = REPLICAS;
  spec->cpus = 1;
  spec->mem_gb = 1.1;
  spec->deadline_us = -1;
  return loopback_cluster_encode_submission (cluster, spec, 0);
}

static void
submit (guint node, GBytes *submission)
{
  for (guint i = 0; i < 5; i++)
    {
      guint status = harness_ask (node, "POST", "/submissions", submission).status;
      if (status == 200 || status == 201)
        return;
      harness_wait (1);
    }
  harness_give_up ("the job was not accepted");
}

static bool
is_up (const Machine *machine)
{
  return machine->running && !machine->removed && !machine->failed;
}

static guint
count_replicas_in_zone (const char *zone)
{
  const GPtrArray *machines = cluster->environment->cloud->machines;
  guint count = 0;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      if (is_up (machine) && strcmp (machine->zone, zone) == 0)
        count += machine_running_tasks (machine, JOB);
    }
  return count;
}

/* Returns a machine that is up and well, has room for a replica, and is in one of the zones with
   the fewest replicas, so that the rule of DESIGN about zones allows it too. */
static const Machine *
find_room (const MhJobSpec *spec)
{
  const GPtrArray *machines = cluster->environment->cloud->machines;
  guint fewest = G_MAXUINT;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      if (is_up (machine))
        fewest = MIN (fewest, count_replicas_in_zone (machine->zone));
    }
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      if (is_up (machine) && !machine->fails_all_tasks && machine_allowed (machine, spec)
          && count_replicas_in_zone (machine->zone) == fewest
          && machine_has_room (machine, cluster->environment->workload, spec))
        return machine;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  cluster = harness_start (argc, argv, settings, 5 * MH_SECOND_US);
  gint64 started_us = g_get_monotonic_time ();
  Machine *machine = cloud_add_machine (cluster->environment->cloud, "small", "a", false);
  harness_wait (2);
  cluster->environment->cloud->boot_us = BOOT_US;
  g_autoptr (GBytes) submission = describe ();
  if (harness_has_trouble ())
    {
      machine->fails_all_tasks = true;
      harness_record ("%s fails every task that it starts", machine->name);
    }
  submit (0, submission);
  harness_wait (SICK_S);
  machine->fails_all_tasks = false;
  if (harness_has_trouble ())
    harness_record ("%s is well again", machine->name);

  const WorkloadJob *job = workload_find (cluster->environment->workload, JOB);
  gint64 waits_since_us = 0;
  gint64 complete_since_us = 0;
  for (;;)
    {
      harness_wait (1);
      gint64 now_us = g_get_monotonic_time ();
      harness_ask (0, "GET", "/submissions/" JOB, NULL);
      guint running = environment_running_tasks (cluster->environment, JOB);
      const Machine *room = find_room (job->spec);
      harness_record ("service: %u of %u replicas on machines; room on %s", running, REPLICAS,
                      room ? room->name : "none");
      complete_since_us = running < REPLICAS ? 0 : complete_since_us ? complete_since_us : now_us;
      if (complete_since_us && now_us - complete_since_us > 10 * MH_SECOND_US)
        harness_finish (false, "all replicas of the accepted service run");
      if (running == REPLICAS || room == NULL)
        waits_since_us = 0;
      else if (waits_since_us == 0)
        waits_since_us = now_us;
      if (waits_since_us && now_us - waits_since_us > MAX_WAIT_S * MH_SECOND_US)
        {
          g_autofree char *text = g_strdup_printf (
              "the accepted service " JOB " has %u of %u replicas, %.0f s after all machines were well, "
              "though there was room for more all that time, now on %s",
              running, REPLICAS, (double)(now_us - waits_since_us) / MH_SECOND_US, room->name);
          harness_finish (true, text);
        }
      if (now_us - started_us > MAX_SECONDS * MH_SECOND_US)
        harness_give_up ("the service was neither complete nor waiting for long enough");
    }
}
