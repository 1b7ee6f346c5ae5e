/* Compares what a placement pass chooses on a random cluster with an exhaustive search, which
   examines all machines for every task. The lists and optimizations of src/placement must not
   change the result of first fit, topology spread and the documented order of candidates. */
#include "controller/core-private.h"
#include "cluster/attempt.h"
#include "cluster/image-wait.h"
#include "cluster/machine-registry.h"
#include "storage/record.h"

#include <math.h>
#include <string.h>

#define MACHINES 80
#define JOBS 60
#define ZONES 4
#define TYPES 3
/* Keys by which candidates are compared, the most significant first. */
#define KEYS 5
#define KEY_COST 0
#define KEY_ABOVE_PRICE_CAP 1
#define KEY_REPLICAS 2
#define KEY_CPU_PRICE 3
#define KEY_UNUSED_CPUS 4

typedef struct
{
  GRand *random;
  MhSettings *settings;
  MhCore *core;
  guint jobs;
  MhMachine *machines[MACHINES];
  GArray *live_zones; /* zones of the live tasks of the current job, one entry a task */
} Fixture;

/* State of the exhaustive search for one job. */
typedef struct
{
  MhJob *job;
  bool is_admitted[MACHINES]; /* by all that does not change during the search: type, spot, zone */
  double keys[MACHINES][KEYS];
  double lowest_price;
} ExhaustiveSearch;

static const char *const zones[ZONES] = { "a", "b", "c", "d" };
static const double type_cpus[TYPES] = { 4, 16, 32 }, type_mem_gb[TYPES] = { 8, 128, 64 };

/* ---- a random cluster ---- */

static guint
draw_below (Fixture *fixture, guint limit)
{
  return (guint)g_rand_int_range (fixture->random, 0, (gint)limit);
}

static MhJobSpec *
draw_spec (Fixture *fixture)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  bool service = draw_below (fixture, 2);
  spec->id = g_strdup_printf ("j-%06u", ++fixture->jobs);
  spec->class_name = g_strdup (service ? "live" : "batch");
  spec->team = g_strdup ("red");
  spec->image = g_strdup_printf ("img-%u", draw_below (fixture, 6));
  spec->image_gb = 1 + draw_below (fixture, 4);
  spec->shape = service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY;
  spec->priority = service ? MH_PRIORITY_HIGH : MH_PRIORITY_NORMAL;
  spec->tasks = 1 + draw_below (fixture, service ? 5 : 16); /* few enough for one pass */
  spec->cpus = 1 + draw_below (fixture, 3);
  spec->mem_gb = 1 + draw_below (fixture, 5);
  spec->spot = !service;
  spec->zone = draw_below (fixture, 5) ? NULL : g_strdup (zones[draw_below (fixture, ZONES)]);
  spec->single_zone = !service && draw_below (fixture, 6) == 0;
  spec->spread_over_zones = draw_below (fixture, 6) == 0;
  spec->estimated_run_us = service ? 0 : (gint64)(5 + draw_below (fixture, 60)) * MH_SECOND_US;
  spec->deadline_us = -1;
  return spec;
}

static MhJob *
add_job (Fixture *fixture)
{
  const MhNow *now = mh_runtime_now (fixture->core->runtime);
  MhJobSpec *spec = draw_spec (fixture);
  gint64 age_us = (gint64)draw_below (fixture, 9) * MH_SECOND_US;
  MhJob *job = mh_job_new (spec, 0, 32768, now->wall_us - age_us, now);
  job->accepted = true;
  g_hash_table_insert (fixture->core->jobs, spec->id, job);
  return job;
}

static MhSettings *
settings_new (void)
{
  MhSettings *settings = mh_settings_new ();
  settings->heartbeat_interval_us = 3 * MH_SECOND_US;
  settings->value_bytes = 32768;
  settings->store_rps = settings->store_write_rps = settings->cloud_rps = 100;
  MhTeam *team = g_new0 (MhTeam, 1);
  *team = (MhTeam){ .name = g_strdup ("red"), .cpus = 1e6, .cpus_max = 1e6 };
  g_ptr_array_add (settings->teams, team);
  return settings;
}

static void
add_types (MhCore *core)
{
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  for (guint i = 0; i < TYPES; i++)
    {
      MhMachineType *type = g_new0 (MhMachineType, 1);
      type->name = g_strdup_printf ("type-%u", i);
      type->cpus = type_cpus[i];
      type->mem_gb = type_mem_gb[i];
      type->cache_gb = 50;
      type->fetch_gb_per_s = 0.5;
      type->price = 0.3 * (i + 1) * (i + 1);
      type->spot_price = type->price / 3;
      type->zones = g_strdupv ((char **)(const char *[]){ "a", "b", "c", "d", NULL });
      g_ptr_array_add (types, type);
    }
  mh_cluster_set_types (core->cluster, types);
}

static MhMachine *
add_machine (Fixture *fixture, guint index)
{
  g_autofree char *name = g_strdup_printf ("vm-%03u", index);
  g_autofree char *type = g_strdup_printf ("type-%u", draw_below (fixture, TYPES));
  const char *zone = zones[draw_below (fixture, ZONES)];
  MhMachine *machine = mh_cluster_add_machine (fixture->core->cluster, name, type, zone,
                                               draw_below (fixture, 3) == 0);
  machine->heartbeat.reported = draw_below (fixture, 10) > 0;
  if (machine->heartbeat.reported)
    mh_machine_change_state (machine, MH_MACHINE_EVENT_REPORTED);
  machine->boot.created_us = 0; /* so long ago that no task waits for its boot */
  if (draw_below (fixture, 12) == 0 && machine->heartbeat.reported)
    mh_machine_change_state (machine, MH_MACHINE_EVENT_DRAIN_STARTED);
  if (draw_below (fixture, 12) == 0)
    machine->notice_deadline_us = mh_runtime_now_us (fixture->core->runtime) + MH_SECOND_US;
  for (guint i = draw_below (fixture, 4); i > 0; i--)
    {
      g_autofree char *image = g_strdup_printf ("img-%u", draw_below (fixture, 6));
      g_autoptr (GRefString) interned = g_ref_string_new_intern (image);
      mh_machine_add_image (machine, interned, 2);
    }
  return machine;
}

static bool
has_room (const MhMachine *machine, const MhJobSpec *spec)
{
  return machine->usage.cpus + spec->cpus <= machine->type->cpus
         && machine->usage.mem_gb + spec->mem_gb <= machine->type->mem_gb;
}

/* Marks some tasks of the job as running, on random machines. */
static void
add_running_tasks (Fixture *fixture, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      MhMachine *machine = fixture->machines[draw_below (fixture, MACHINES)];
      if (has_room (machine, job->spec) && draw_below (fixture, 3))
        mh_attempt_new (fixture->core->cluster, job, i, 1, machine)->phase = MH_TASK_PHASE_RUNNING;
    }
}

static void
set_up (Fixture *fixture, guint32 seed)
{
  MhNow now = { .mono_us = 1000 * MH_SECOND_US, .wall_us = 2000 * MH_SECOND_US };
  *fixture = (Fixture){ .random = g_rand_new_with_seed (seed),
                        .settings = settings_new (),
                        .live_zones = g_array_new (FALSE, FALSE, sizeof (char *)) };
  fixture->core = mh_core_new (fixture->settings, &now);
  add_types (fixture->core);
  for (guint i = 0; i < MACHINES; i++)
    fixture->machines[i] = add_machine (fixture, i);
  for (guint i = 0; i < JOBS / 3; i++)
    add_running_tasks (fixture, add_job (fixture));
  while (fixture->jobs < JOBS)
    add_job (fixture);
}

static void
tear_down (Fixture *fixture)
{
  mh_core_free (fixture->core);
  mh_settings_free (fixture->settings);
  g_rand_free (fixture->random);
  g_array_unref (fixture->live_zones);
}

/* ---- exhaustive search ---- */

static double
compute_cost (const MhJobSpec *spec, double wait_us, double cpu_price)
{
  /* Slack of a start within its team's quota, without an objective for quotas in the settings. */
  double slack_us = 3e6;
  if (spec->shape != MH_SHAPE_SERVICE)
    return cpu_price * (wait_us + (double)spec->estimated_run_us + 1e6)
           * (wait_us > slack_us ? 1000 : 1);
  if (wait_us <= 0)
    return 0;
  return wait_us <= slack_us ? 1 : 2 + floor (wait_us / 10000000);
}

/* Computes the keys of the documented order from the present state of the machine. */
static void
compute_keys (const Fixture *fixture, ExhaustiveSearch *search, guint index)
{
  const MhMachine *machine = fixture->machines[index];
  const MhJobSpec *spec = search->job->spec;
  double *keys = search->keys[index];
  double wait_us = (double)mh_machine_image_wait_us (fixture->core->cluster, machine,
                                                     search->job->image, spec->image_gb);
  double cpu_price = mh_machine_hourly_price (machine) / machine->type->cpus;
  memset (keys, 0, KEYS * sizeof *keys);
  keys[KEY_COST] = compute_cost (spec, wait_us, cpu_price);
  if (spec->shape == MH_SHAPE_SERVICE)
    {
      guint max_replicas = MAX (1, mh_cluster_service_replicas (fixture->core->cluster) / 24);
      guint replicas = machine->usage.replicas;
      keys[KEY_ABOVE_PRICE_CAP] = mh_machine_hourly_price (machine) > 2 * search->lowest_price;
      keys[KEY_REPLICAS] = replicas < max_replicas ? max_replicas - replicas : replicas + 1;
    }
  keys[KEY_CPU_PRICE] = cpu_price;
  keys[KEY_UNUSED_CPUS] = machine->type->cpus - machine->usage.cpus;
}

/* Returns the only zone in which the next task may run; NULL: any zone. */
static const char *
find_required_zone (const Fixture *fixture, const MhJobSpec *spec)
{
  if (spec->single_zone && fixture->live_zones->len)
    return g_array_index (fixture->live_zones, const char *, 0);
  return spec->zone;
}

static bool
matches_zone (const char *required_zone, const char *zone)
{
  return required_zone == NULL || strcmp (required_zone, zone) == 0;
}

static guint
count_tasks_in (const Fixture *fixture, const char *zone)
{
  guint count = 0;
  for (guint i = 0; i < fixture->live_zones->len; i++)
    count += strcmp (zone, g_array_index (fixture->live_zones, const char *, i)) == 0;
  return count;
}

/* A zone is counted if a machine there is live and the job may run in the zone. */
static bool
is_zone_counted (const Fixture *fixture, const char *required_zone, const char *zone)
{
  if (!matches_zone (required_zone, zone))
    return false;
  for (guint i = 0; i < MACHINES; i++)
    if (fixture->machines[i]->heartbeat.reported && strcmp (fixture->machines[i]->zone, zone) == 0)
      return true;
  return false;
}

static bool
is_zone_allowed (const Fixture *fixture, const MhJobSpec *spec, const char *zone)
{
  const char *required_zone = find_required_zone (fixture, spec);
  guint count = count_tasks_in (fixture, zone), min = G_MAXUINT;
  if (!is_zone_counted (fixture, required_zone, zone))
    return false;
  for (guint i = 0; i < ZONES; i++)
    if (is_zone_counted (fixture, required_zone, zones[i]))
      min = MIN (min, count_tasks_in (fixture, zones[i]));
  if (spec->spread_over_zones && count + 1 > (spec->tasks + 1) / 2)
    return false;
  return spec->shape != MH_SHAPE_SERVICE || count < min + 1;
}

static bool
is_machine_admitted (const Fixture *fixture, const MhJobSpec *spec, const MhMachine *machine)
{
  bool usable = machine->heartbeat.reported && !mh_machine_is_draining (machine)
                && machine->notice_deadline_us < 0;
  return usable && (!machine->spot || spec->spot) && spec->cpus <= machine->type->cpus
         && spec->mem_gb <= machine->type->mem_gb
         && matches_zone (find_required_zone (fixture, spec), machine->zone);
}

static void
begin_search (Fixture *fixture, ExhaustiveSearch *search, MhJob *job)
{
  *search = (ExhaustiveSearch){ .job = job, .lowest_price = G_MAXDOUBLE };
  g_array_set_size (fixture->live_zones, 0);
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      g_array_append_val (fixture->live_zones, job->tasks[i].live->machine->zone);
  for (guint i = 0; i < MACHINES; i++)
    {
      const MhMachine *machine = fixture->machines[i];
      search->is_admitted[i] = is_machine_admitted (fixture, job->spec, machine);
      if (search->is_admitted[i])
        search->lowest_price = MIN (search->lowest_price, mh_machine_hourly_price (machine));
    }
  for (guint i = 0; i < MACHINES; i++)
    compute_keys (fixture, search, i);
}

static bool
ranks_before (const Fixture *fixture, const ExhaustiveSearch *search, guint left, guint right)
{
  for (guint i = 0; i < KEYS; i++)
    if (search->keys[left][i] != search->keys[right][i])
      return search->keys[left][i] < search->keys[right][i];
  return strcmp (fixture->machines[left]->name, fixture->machines[right]->name) < 0;
}

/* Returns the index of the best machine for the next task; MACHINES: there is none. */
static guint
find_best_machine (const Fixture *fixture, const ExhaustiveSearch *search)
{
  const MhJobSpec *spec = search->job->spec;
  guint best = MACHINES;
  for (guint i = 0; i < MACHINES; i++)
    {
      const MhMachine *machine = fixture->machines[i];
      if (!search->is_admitted[i] || !has_room (machine, spec)
          || !is_zone_allowed (fixture, spec, machine->zone))
        continue;
      if (best == MACHINES || ranks_before (fixture, search, i, best))
        best = i;
    }
  return best;
}

static char *
describe_placement (const MhJob *job, guint task, const MhMachine *machine)
{
  return g_strdup_printf ("%s/%u on %s", job->spec->id, task, machine->name);
}

/* Updates the keys that a service's start changes for its next task. For an array the pass does not
   compute any key again after a start. */
static void
update_keys (const Fixture *fixture, ExhaustiveSearch *search, guint index)
{
  ExhaustiveSearch current = *search;
  if (search->job->spec->shape != MH_SHAPE_SERVICE)
    return;
  compute_keys (fixture, &current, index);
  search->keys[index][KEY_REPLICAS] = current.keys[index][KEY_REPLICAS];
  search->keys[index][KEY_UNUSED_CPUS] = current.keys[index][KEY_UNUSED_CPUS];
}

static void
place_by_search (Fixture *fixture, MhJob *job, GPtrArray *expected)
{
  ExhaustiveSearch search;
  begin_search (fixture, &search, job);
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      if (job->tasks[i].state != MH_TASK_PENDING)
        continue;
      guint best = find_best_machine (fixture, &search);
      if (best == MACHINES)
        return;
      MhMachine *machine = fixture->machines[best];
      mh_attempt_new (fixture->core->cluster, job, i, 1, machine);
      update_keys (fixture, &search, best);
      g_array_append_val (fixture->live_zones, machine->zone);
      g_ptr_array_add (expected, describe_placement (job, i, machine));
    }
}

static GPtrArray *
place_all_by_search (Fixture *fixture)
{
  MhCore *core = fixture->core;
  GPtrArray *expected = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) queue
      = mh_job_queue_pending (core->job_queue, MH_JOB_QUEUE_ACCEPTED,
                              mh_cluster_types (core->cluster), mh_runtime_now_us (core->runtime));
  for (guint i = 0; i < queue->len; i++)
    {
      MhJob *job = g_ptr_array_index (queue, i);
      /* The counts of a job with a task on an unreported machine are unknown, and it waits. */
      if (job->n_unreported == 0)
        place_by_search (fixture, job, expected);
    }
  return expected;
}

/* ---- placement pass ---- */

/* Calls `func` for each live attempt. */
static void
for_each_attempt (Fixture *fixture, GFunc func, gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, fixture->core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhJob *job = value;
      for (guint i = 0; i < job->spec->tasks; i++)
        if (job->tasks[i].live)
          func (job->tasks[i].live, data);
    }
}

static void
add_to_set (gpointer attempt, gpointer set)
{
  g_hash_table_add (set, attempt);
}

typedef struct
{
  GHashTable *before;
  GPtrArray *placements;
} NewAttempts;

static void
add_if_new (gpointer data, gpointer user_data)
{
  const MhAttempt *attempt = data;
  const NewAttempts *attempts = user_data;
  if (!g_hash_table_contains (attempts->before, attempt))
    g_ptr_array_add (attempts->placements,
                     describe_placement (attempt->job, attempt->index, attempt->machine));
}

static GPtrArray *
run_pass (Fixture *fixture)
{
  g_autoptr (GHashTable) before = g_hash_table_new (NULL, NULL);
  NewAttempts attempts
      = { .before = before, .placements = g_ptr_array_new_with_free_func (g_free) };
  for_each_attempt (fixture, add_to_set, before);
  mh_placement_run (fixture->core->placement, mh_recovery_is_complete (fixture->core->recovery));
  for_each_attempt (fixture, add_if_new, &attempts);
  return attempts.placements;
}

/* ---- comparison ---- */

static gint
compare_text (gconstpointer left, gconstpointer right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

/* Guards against an optimization of the placement pass that starts a task on another machine than
   the documented order says, or starts more or fewer tasks. */
static void
test_against_exhaustive_search (gconstpointer data)
{
  Fixture fixture, reference; /* with the same random cluster */
  set_up (&fixture, GPOINTER_TO_UINT (data));
  set_up (&reference, GPOINTER_TO_UINT (data));
  g_autoptr (GPtrArray) expected = place_all_by_search (&reference);
  g_autoptr (GPtrArray) actual = run_pass (&fixture);
  g_ptr_array_sort (expected, compare_text);
  g_ptr_array_sort (actual, compare_text);
  for (guint i = 0; i < MIN (expected->len, actual->len); i++)
    g_assert_cmpstr (g_ptr_array_index (actual, i), ==, g_ptr_array_index (expected, i));
  g_assert_cmpuint (actual->len, ==, expected->len);
  g_assert_cmpuint (actual->len, >, 0);
  tear_down (&fixture);
  tear_down (&reference);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint seed = 1; seed <= 30; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/placement/order/exhaustive-search/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_against_exhaustive_search);
    }
  return g_test_run ();
}
