/* What a placement pass chooses on a random fleet, against a plain walk over all machines for every
   task: the lists and short cuts of place.c must not change what first fit, the skew rule and the
   order of the walk decide. */
#include "controller/core-private.h"

#include <math.h>
#include <string.h>

#define MACHINES 80
#define JOBS 60

typedef struct
{
  GRand *random;
  MhSettings *settings;
  MhCore *core;
  guint jobs;
  MhMachine *fleet[MACHINES];
  GArray *live; /* of the job at hand: zone of each live task */
} Fixture;

static const char *const zones[] = { "a", "b", "c", "d" };
static const double type_cpus[] = { 4, 16, 32 }, type_mem[] = { 8, 128, 64 };

static guint
pick (Fixture *f, guint n)
{
  return (guint)g_rand_int_range (f->random, 0, (gint)n);
}

static MhJob *
add_job (Fixture *f)
{
  MhJobSpec *s = g_new0 (MhJobSpec, 1);
  bool service = pick (f, 2);
  s->id = g_strdup_printf ("j-%06u", ++f->jobs);
  s->class_name = g_strdup (service ? "live" : "batch");
  s->team = g_strdup ("red");
  s->image = g_strdup_printf ("img-%u", pick (f, 6));
  s->image_gb = 1 + pick (f, 4);
  s->shape = service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY;
  s->priority = service ? MH_PRIORITY_HIGH : MH_PRIORITY_NORMAL;
  s->tasks = 1 + pick (f, service ? 5 : 16); /* all in one pass */
  s->cpus = 1 + pick (f, 3);
  s->mem_gb = 1 + pick (f, 5);
  s->spot = !service;
  s->zone = pick (f, 5) ? NULL : g_strdup (zones[pick (f, 4)]);
  s->single_zone = !service && pick (f, 6) == 0;
  s->spread_over_zones = pick (f, 6) == 0;
  s->estimated_run_us = service ? 0 : (gint64)(5 + pick (f, 60)) * MH_SECOND_US;
  s->deadline_us = -1;
  MhJob *job = mh_job_new (s, 0, 32768, f->core->now.wall_us - (gint64)pick (f, 9) * MH_SECOND_US,
                           &f->core->now);
  job->accepted = true;
  g_hash_table_insert (f->core->jobs, s->id, job);
  return job;
}

static void
set_up (Fixture *f, guint32 seed)
{
  MhNow now = { .mono_us = 1000 * MH_SECOND_US, .wall_us = 2000 * MH_SECOND_US };
  *f = (Fixture){ .random = g_rand_new_with_seed (seed),
                  .live = g_array_new (FALSE, FALSE, sizeof (char *)) };
  f->settings = mh_settings_new ();
  f->settings->report_us = 3 * MH_SECOND_US;
  f->settings->value_bytes = 32768;
  f->settings->state_rps = f->settings->state_write_rps = f->settings->cloud_rps = 100;
  MhTeam *team = g_new0 (MhTeam, 1);
  *team = (MhTeam){ .name = g_strdup ("red"), .cpus = 1e6, .cpus_max = 1e6 };
  g_ptr_array_add (f->settings->teams, team);
  MhCore *core = f->core = mh_core_new (f->settings, &now);
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  for (guint i = 0; i < 3; i++)
    {
      MhMachineType *t = g_new0 (MhMachineType, 1);
      t->name = g_strdup_printf ("type-%u", i);
      t->cpus = type_cpus[i];
      t->mem_gb = type_mem[i];
      t->cache_gb = 50;
      t->fetch_gb_per_s = 0.5;
      t->price = 0.3 * (i + 1) * (i + 1);
      t->spot_price = t->price / 3;
      t->zones = g_strdupv ((char **)(const char *[]){ "a", "b", "c", "d", NULL });
      g_ptr_array_add (types, t);
    }
  mh_cluster_set_types (core, types);
  for (guint i = 0; i < MACHINES; i++)
    {
      g_autofree char *name = g_strdup_printf ("vm-%03u", i);
      g_autofree char *type = g_strdup_printf ("type-%u", pick (f, 3));
      const char *zone = zones[pick (f, 4)];
      MhMachine *m = f->fleet[i]
          = mh_cluster_add_machine (core, name, type, zone, pick (f, 3) == 0);
      m->heartbeat.reported = pick (f, 10) > 0;
      if (m->heartbeat.reported)
        mh_machine_change_state (m, MH_MACHINE_EVENT_REPORTED);
      m->boot.rented_us = 0; /* none that is about to come */
      if (pick (f, 12) == 0 && m->heartbeat.reported)
        mh_machine_change_state (m, MH_MACHINE_EVENT_DRAIN_STARTED);
      if (pick (f, 12) == 0)
        m->notice_until_us = now.mono_us + MH_SECOND_US;
      for (guint k = pick (f, 4); k > 0; k--)
        {
          g_autofree char *image = g_strdup_printf ("img-%u", pick (f, 6));
          GRefString *ref = g_ref_string_new_intern (image);
          mh_machine_add_image (m, ref, 2);
          g_ref_string_release (ref);
        }
    }
  /* Some of it is in use. */
  for (guint i = 0; i < JOBS / 3; i++)
    {
      MhJob *job = add_job (f);
      for (guint k = 0; k < job->spec->tasks; k++)
        {
          g_autofree char *name = g_strdup_printf ("vm-%03u", pick (f, MACHINES));
          MhMachine *m = mh_cluster_find_machine (core, name);
          if (m->usage.cpus + job->spec->cpus <= m->type->cpus
              && m->usage.mem_gb + job->spec->mem_gb <= m->type->mem_gb && pick (f, 3))
            mh_attempt_new (core, job, k, 1, m)->phase = MH_TASK_PHASE_RUNNING;
        }
    }
  while (f->jobs < JOBS)
    add_job (f);
}

static bool
takes_part (const MhMachine *m)
{
  return m->heartbeat.reported && !mh_machine_is_draining (m) && m->notice_until_us < 0;
}

/* The documented order, worked out afresh. */
static void
key_of (const Fixture *f, const MhJob *job, const MhMachine *m, double least, double key[6])
{
  const MhJobSpec *s = job->spec;
  bool service = s->shape == MH_SHAPE_SERVICE;
  double wait = (double)mh_machine_image_wait_us (f->core, m, job->image, s->image_gb);
  /* Within a guarantee and without an aim: soon. */
  double patience = 3e6, unit = mh_machine_hourly_price (m) / m->type->cpus;
  guint most = MAX (1, mh_cluster_service_replicas (f->core) / 24);
  memset (key, 0, 6 * sizeof *key);
  if (!service)
    key[0] = unit * (wait + (double)s->estimated_run_us + 1e6) * (wait > patience ? 1000 : 1);
  else
    {
      key[0] = wait <= 0 ? 0 : wait <= patience ? 1 : 2 + floor (wait / 10000000);
      key[1] = mh_machine_hourly_price (m) > 2 * least;
      key[2] = m->usage.replicas < most ? most - m->usage.replicas : m->usage.replicas + 1;
    }
  key[3] = unit;
  key[4] = m->type->cpus - m->usage.cpus;
}

static bool
zone_ok (const Fixture *f, const MhJob *job, const char *zone)
{
  const MhJobSpec *s = job->spec;
  guint counts[4] = { 0 }, least = G_MAXUINT, here = 0;
  bool counted[4] = { false };
  for (guint i = 0; i < f->live->len; i++)
    for (guint z = 0; z < 4; z++)
      counts[z] += strcmp (zones[z], g_array_index (f->live, const char *, i)) == 0;
  const char *only = s->zone;
  if (s->single_zone && f->live->len)
    only = g_array_index (f->live, const char *, 0);
  for (guint i = 0; i < MACHINES; i++)
    for (guint z = 0; z < 4; z++)
      if (f->fleet[i]->heartbeat.reported && strcmp (f->fleet[i]->zone, zones[z]) == 0)
        counted[z] = only == NULL || strcmp (only, zones[z]) == 0;
  for (guint z = 0; z < 4; z++)
    {
      if (counted[z])
        least = MIN (least, counts[z]);
      if (strcmp (zones[z], zone) == 0)
        {
          if (!counted[z])
            return false;
          here = counts[z];
        }
    }
  if (s->spread_over_zones && here + 1 > (s->tasks + 1) / 2)
    return false;
  return s->shape != MH_SHAPE_SERVICE || here < least + 1;
}

static void
plain_job (Fixture *f, MhJob *job, GPtrArray *expected)
{
  const MhJobSpec *s = job->spec;
  bool service = s->shape == MH_SHAPE_SERVICE;
  double least = G_MAXDOUBLE, keys[MACHINES][6];
  g_array_set_size (f->live, 0);
  for (guint i = 0; i < s->tasks; i++)
    if (job->tasks[i].live)
      g_array_append_val (f->live, job->tasks[i].live->machine->zone);
  bool kind[MACHINES];
  for (guint i = 0; i < MACHINES; i++)
    {
      const MhMachine *m = f->fleet[i];
      kind[i] = takes_part (m) && (!m->spot || s->spot) && s->cpus <= m->type->cpus
                && s->mem_gb <= m->type->mem_gb;
      const char *only = s->zone;
      if (s->single_zone && f->live->len)
        only = g_array_index (f->live, const char *, 0);
      kind[i] = kind[i] && (only == NULL || strcmp (only, m->zone) == 0);
      if (kind[i])
        least = MIN (least, mh_machine_hourly_price (m));
    }
  for (guint i = 0; i < MACHINES; i++)
    key_of (f, job, f->fleet[i], least, keys[i]);
  for (guint task = 0; task < s->tasks; task++)
    {
      if (job->tasks[task].state != MH_TASK_PENDING)
        continue;
      MhMachine *best = NULL;
      guint at = 0;
      for (guint i = 0; i < MACHINES; i++)
        {
          MhMachine *m = f->fleet[i];
          if (!kind[i] || m->usage.cpus + s->cpus > m->type->cpus
              || m->usage.mem_gb + s->mem_gb > m->type->mem_gb || !zone_ok (f, job, m->zone))
            continue;
          int order = 0;
          for (guint k = 0; k < 6 && best && order == 0; k++)
            order = keys[i][k] < keys[at][k] ? -1 : keys[i][k] > keys[at][k];
          if (best == NULL || order < 0 || (order == 0 && strcmp (m->name, best->name) < 0))
            {
              best = m;
              at = i;
            }
        }
      if (best == NULL)
        return;
      mh_attempt_new (f->core, job, task, 1, best);
      if (service)
        {
          /* Its own start is seen by the next of the service; nothing else has changed meanwhile.
           */
          double key[6];
          key_of (f, job, best, least, key);
          keys[at][2] = key[2];
          keys[at][4] = key[4];
        }
      g_array_append_val (f->live, best->zone);
      g_ptr_array_add (expected, g_strdup_printf ("%s/%u on %s", s->id, task, best->name));
    }
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static void
tear_down (Fixture *f)
{
  mh_core_free (f->core);
  mh_settings_free (f->settings);
  g_rand_free (f->random);
  g_array_unref (f->live);
}

/* Two fleets alike: one gets the pass, the other the plain walk. */
static void
test_against_plain_walk (gconstpointer data)
{
  Fixture f, plain;
  set_up (&f, GPOINTER_TO_UINT (data));
  set_up (&plain, GPOINTER_TO_UINT (data));
  g_autoptr (GPtrArray) expected = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) got = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) queue = mh_job_queue_pending (plain.core, MH_JOB_QUEUE_ACCEPTED);
  for (guint i = 0; i < queue->len; i++)
    {
      MhJob *job = g_ptr_array_index (queue, i);
      /* A job with a task on a machine that has not reported waits: its counts are not known. */
      if (job->n_unreported == 0)
        plain_job (&plain, job, expected);
    }
  GHashTableIter it;
  gpointer value;
  g_autoptr (GHashTable) before = g_hash_table_new (NULL, NULL);
  g_hash_table_iter_init (&it, f.core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    for (guint i = 0; i < ((MhJob *)value)->spec->tasks; i++)
      if (((MhJob *)value)->tasks[i].live)
        g_hash_table_add (before, ((MhJob *)value)->tasks[i].live);
  mh_placement_run (f.core->placement, f.core);
  g_hash_table_iter_init (&it, f.core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    for (guint i = 0; i < ((MhJob *)value)->spec->tasks; i++)
      {
        const MhAttempt *a = ((MhJob *)value)->tasks[i].live;
        if (a && !g_hash_table_contains (before, a))
          g_ptr_array_add (got,
                           g_strdup_printf ("%s/%u on %s", a->job->spec->id, i, a->machine->name));
      }
  g_ptr_array_sort (expected, by_name);
  g_ptr_array_sort (got, by_name);
  for (guint i = 0; i < MIN (expected->len, got->len); i++)
    g_assert_cmpstr (g_ptr_array_index (got, i), ==, g_ptr_array_index (expected, i));
  g_assert_cmpuint (got->len, ==, expected->len);
  g_assert_cmpuint (got->len, >, 0);
  tear_down (&f);
  tear_down (&plain);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint seed = 1; seed <= 30; seed++)
    {
      g_autofree char *path = g_strdup_printf ("/place/plain-walk/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), test_against_plain_walk);
    }
  return g_test_run ();
}
