/* Placement: filter, rank, first fit; quota, guarantees and preemption. */
#include "core-private.h"

#include <string.h>

#define EPSILON 1e-6
/* A pass looks at every machine for every job that waits, which on a small share of a core is dear:
   only what is expected to start within seconds calls for one at once. */
#define URGENT_PASS_US 20000
#define PASS_US 50000
#define IDLE_PASS_US (MH_SECOND_US / 2)
#define PREEMPTIONS_PER_PASS 16u
/* Starts in one pass: a huge array must not hold up everything else in the process. */
#define STARTS_PER_PASS 400u
#define MUCH_DEARER 2
/* Machines on which an array would miss the aim for its start by its image come last. */
#define TOO_LATE 1000
#define RANK_LOSS 3
#define LATE_STEP_US (10 * MH_SECOND_US)

bool
mh_place_type_fits (const MhJobSpec *s, const MhMachineType *t)
{
  if (s->types && !g_strv_contains ((const char *const *)s->types, t->name))
    return false;
  if (s->zone && t->zones && !g_strv_contains ((const char *const *)t->zones, s->zone))
    return false;
  return s->cpus <= t->cpus + EPSILON && s->gpus <= t->gpus + EPSILON
         && s->mem_gb <= t->mem_gb + EPSILON;
}

bool
mh_place_kind_fits (const MhJob *job, const MhMachineType *t, const char *zone, bool spot)
{
  const MhJobSpec *s = job->spec;
  return mh_place_type_fits (s, t) && (!spot || s->spot)
         && (s->zone == NULL || strcmp (s->zone, zone) == 0);
}

bool
mh_place_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus)
{
  const MhTeam *team = mh_settings_team (core->settings, job->spec->team);
  const MhUse *use = g_hash_table_lookup (core->team_use, job->spec->team);
  if (team == NULL)
    return false;
  return (use ? use->cpus : 0) + more_cpus <= team->cpus_max + EPSILON
         && (use ? use->gpus : 0) + more_gpus <= team->gpus_max + EPSILON;
}

void
mh_place_spread_rule (const MhCore *core, const MhJobSpec *s, guint *max_skew, bool *soft)
{
  *max_skew = core->settings->max_skew;
  *soft = core->settings->soft;
  for (guint i = 0; i < core->settings->spread->len; i++)
    {
      const MhSpreadRule *rule = g_ptr_array_index (core->settings->spread, i);
      if (strcmp (rule->class_name, s->class_name) == 0)
        {
          *max_skew = rule->max_skew;
          *soft = rule->soft;
        }
    }
}

/* ---- the queue ---- */

static gint
by_submission (gconstpointer a, gconstpointer b)
{
  const MhJob *x = *(MhJob *const *)a, *y = *(MhJob *const *)b;
  if (x->submitted_wall_us != y->submitted_wall_us)
    return x->submitted_wall_us < y->submitted_wall_us ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

static guint
tier (const MhJob *job)
{
  if (job->spec->priority >= MH_PRIORITY_HIGH)
    return job->guaranteed ? 0 : 1;
  return job->guaranteed ? 2 : 3;
}

static gint
by_order (gconstpointer a, gconstpointer b)
{
  const MhJob *x = *(MhJob *const *)a, *y = *(MhJob *const *)b;
  if (tier (x) != tier (y))
    return tier (x) < tier (y) ? -1 : 1;
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority > y->spec->priority ? -1 : 1;
  if (x->start_by_us != y->start_by_us)
    return x->start_by_us < y->start_by_us ? -1 : 1;
  return by_submission (a, b);
}

double
mh_place_bias (MhCore *core, const char *class_name)
{
  const MhClassStat *stat = g_hash_table_lookup (core->class_stats, class_name);
  return stat && stat->n >= 3 ? CLAMP (stat->ratio, 0.25, 4) : 1;
}

void
mh_place_learn (MhCore *core, const MhJobSpec *s, gint64 ran_us)
{
  if (s->estimate_us < MH_SECOND_US)
    return;
  MhClassStat *stat = g_hash_table_lookup (core->class_stats, s->class_name);
  if (stat == NULL)
    {
      stat = g_new0 (MhClassStat, 1);
      g_hash_table_insert (core->class_stats, g_strdup (s->class_name), stat);
    }
  stat->n++;
  double weight = MAX (1.0 / stat->n, 0.02);
  stat->ratio += weight * ((double)ran_us / (double)s->estimate_us - stat->ratio);
}

gint64
mh_place_run_us (MhCore *core, const MhJobSpec *s)
{
  return (gint64)((double)s->estimate_us * mh_place_bias (core, s->class_name));
}

gint64
mh_place_fetch_us (const MhCore *core, const MhJobSpec *s)
{
  for (guint i = 0; core->types && i < core->types->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (core->types, i);
      if (mh_place_type_fits (s, t) && t->fetch_gb_per_s > 0)
        return (gint64)(s->image_gb / t->fetch_gb_per_s * MH_SECOND_US);
    }
  return 0;
}

/* When the job's tasks should start at the latest, by its deadline or its class's aims, of which
   those count that can still be met. A job that can meet none goes behind those that can. */
static gint64
start_by (MhCore *core, const MhJob *job)
{
  const MhJobSpec *s = job->spec;
  gint64 now = core->now.mono_us, at = G_MAXINT64, last = 0;
  gint64 needs = mh_place_fetch_us (core, s) + mh_place_run_us (core, s);
  if (s->deadline_us >= 0)
    at = last = job->submitted_us + s->deadline_us;
  else
    for (guint i = 0; i < core->settings->objectives->len; i++)
      {
        const MhObjective *o = g_ptr_array_index (core->settings->objectives, i);
        if (o->kind != MH_OBJECTIVE_FINISHED || g_strcmp0 (o->class_name, s->class_name) != 0)
          continue;
        gint64 by = job->submitted_us + o->within_us;
        last = MAX (last, by);
        if (by - needs >= now)
          at = MIN (at, by);
      }
  if (last == 0)
    at = job->submitted_us + 600 * MH_SECOND_US;
  else if (at == G_MAXINT64 || at - needs < now)
    at = MIN (at, last) + MH_HOPELESS_US;
  return at - needs;
}

/* A job is within its team's guarantee if it fits into it together with the team's earlier
   unfinished jobs. */
static void
mark_guaranteed (MhCore *core, GPtrArray *jobs)
{
  g_autoptr (GHashTable) sums = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < jobs->len; i++)
    {
      MhJob *job = g_ptr_array_index (jobs, i);
      const MhTeam *team = mh_settings_team (core->settings, job->spec->team);
      MhUse *sum = g_hash_table_lookup (sums, job->spec->team);
      if (sum == NULL)
        {
          sum = g_new0 (MhUse, 1);
          g_hash_table_insert (sums, job->spec->team, sum);
        }
      double left = job->spec->tasks - job->n_done;
      sum->cpus += left * job->spec->cpus;
      sum->gpus += left * job->spec->gpus;
      job->guaranteed
          = team && sum->cpus <= team->cpus + EPSILON && sum->gpus <= team->gpus + EPSILON;
    }
}

GPtrArray *
mh_place_queue (MhCore *core)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if (job->accepted && !mh_job_over (job))
        g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort (jobs, by_submission);
  mark_guaranteed (core, jobs);
  guint kept = 0;
  for (guint i = 0; i < jobs->len; i++)
    {
      MhJob *job = g_ptr_array_index (jobs, i);
      if (mh_job_pending (job) == 0)
        {
          job->wanted_us = 0;
          continue;
        }
      if (job->wanted_us == 0)
        job->wanted_us = core->now.mono_us;
      job->start_by_us = start_by (core, job);
      jobs->pdata[kept++] = job;
    }
  g_ptr_array_set_size (jobs, (gint)kept);
  g_ptr_array_sort (jobs, by_order);
  return jobs;
}

/* How long a start of the job may still take, by the aims that hold for it. Once it is late there
   is no hurry. A guarantee without an aim means soon. */
static gint64
patience_of (const MhCore *core, const MhJob *job)
{
  gint64 waited = core->now.mono_us - job->submitted_us, least = 60 * MH_SECOND_US;
  bool promised = false;
  for (guint i = 0; i < core->settings->objectives->len; i++)
    {
      const MhObjective *o = g_ptr_array_index (core->settings->objectives, i);
      bool holds = o->kind == MH_OBJECTIVE_WAIT
                       ? g_strcmp0 (o->class_name, job->spec->class_name) == 0
                       : o->kind == MH_OBJECTIVE_GUARANTEE && job->guaranteed;
      promised |= o->kind == MH_OBJECTIVE_GUARANTEE;
      if (holds && waited < o->within_us)
        least = MIN (least, o->within_us - waited);
    }
  if (job->guaranteed && !promised)
    least = MIN (least, 3 * MH_SECOND_US);
  return least;
}

/* ---- one job ---- */

typedef struct
{
  MhMachine *machine;
  guint zone;     /* index into the counted zones */
  gint64 wait_us; /* for the image */
  gint score;     /* of the soft spread */
  double cost;
  guint replicas; /* for a service: of any, on the machine */
  bool dear;      /* for a service: costs much more than another that would do */
} Candidate;

typedef struct
{
  MhCore *core;
  MhJob *job;
  GArray *candidates; /* Candidate, in the order that first fit walks */
  GArray *zones;      /* MhZoneCount */
  guint max_skew;
  bool soft, spread;
  gint64 patience; /* how long a start may still take */
  guint task;      /* next pending */
} Placing;

static bool
usable (const MhCore *core, const MhMachine *m)
{
  return m->reported && m->type && !m->releasing && !m->draining && !m->gone
         && m->notice_until_us < 0 && core->now.mono_us >= m->hold_us
         && !mh_fleet_silent (core, m, core->settings->report_us * 5 / 2);
}

static double
free_cpus (const MhMachine *m)
{
  return m->type->cpus - m->used_cpus;
}

static bool
has_room (const MhMachine *m, const MhJobSpec *s)
{
  return s->cpus <= free_cpus (m) - m->promised_cpus + EPSILON
         && s->gpus <= m->type->gpus - m->used_gpus + EPSILON
         && s->mem_gb <= m->type->mem_gb - m->used_mem - m->promised_mem + EPSILON;
}

static double
unit_price (const MhMachine *m)
{
  return mh_fleet_hourly (m) / MAX (m->type->cpus, 1e-3);
}

/* For an array, what a cpu of the machine costs while the task waits for its image and runs. For a
   service, which is waited for: whether its image is there, comes in time for the aim, or too late,
   and then in steps; among equals the price counts, since replicas stay where they are. */
static double
walk_cost (const MhJobSpec *s, const Candidate *c, gint64 patience)
{
  if (s->shape != MH_SHAPE_SERVICE)
    return unit_price (c->machine) * (double)(c->wait_us + s->estimate_us + MH_SECOND_US)
           * (c->wait_us > patience ? TOO_LATE : 1);
  if (c->wait_us <= 0)
    return 0;
  return c->wait_us <= patience ? 1 : 2 + (double)(c->wait_us / LATE_STEP_US);
}

/* The documented order: the soft score; the cost as above; the cheapest by the cpu; the fullest, so
   that others fall empty; the name. */
static gint
by_walk (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a, *y = b;
  if (x->score != y->score)
    return x->score < y->score ? -1 : 1;
  if (x->cost != y->cost)
    return x->cost < y->cost ? -1 : 1;
  if (x->dear != y->dear)
    return y->dear ? -1 : 1;
  if (x->replicas != y->replicas)
    return x->replicas < y->replicas ? -1 : 1;
  double px = unit_price (x->machine), py = unit_price (y->machine);
  if (px != py)
    return px < py ? -1 : 1;
  double fx = free_cpus (x->machine), fy = free_cpus (y->machine);
  if (fx != fy)
    return fx < fy ? -1 : 1;
  return strcmp (x->machine->name, y->machine->name);
}

static guint
zone_index (GArray *zones, const char *name)
{
  for (guint i = 0; i < zones->len; i++)
    if (strcmp (g_array_index (zones, MhZoneCount, i).name, name) == 0)
      return i;
  MhZoneCount z = { .name = name };
  g_array_append_val (zones, z);
  return zones->len - 1;
}

/* Where may the job's next task go, given the job's other tasks? */
static void
count_zones (Placing *p)
{
  const MhJobSpec *s = p->job->spec;
  for (guint i = 0; i < p->zones->len; i++)
    g_array_index (p->zones, MhZoneCount, i).count = 0;
  /* Counting walks all tasks of the job; most arrays need no counts. */
  if (p->job->n_live == 0 || !(p->spread || s->one_zone || s->scatter))
    return;
  for (guint i = 0; i < s->tasks; i++)
    if (p->job->tasks[i].live && p->job->tasks[i].live->machine->zone)
      {
        const char *zone = p->job->tasks[i].live->machine->zone;
        for (guint z = 0; z < p->zones->len; z++)
          if (strcmp (g_array_index (p->zones, MhZoneCount, z).name, zone) == 0)
            g_array_index (p->zones, MhZoneCount, z).count++;
      }
}

static void
prepare (Placing *p)
{
  MhCore *core = p->core;
  const MhJobSpec *s = p->job->spec;
  GHashTableIter it;
  gpointer value;
  const char *only_zone = s->zone;
  if (s->one_zone)
    for (guint i = 0; i < s->tasks && p->job->n_live; i++)
      if (p->job->tasks[i].live)
        {
          /* A machine known from a record alone has no zone yet: nothing can be placed beside it.
           */
          const char *z = p->job->tasks[i].live->machine->zone;
          only_zone = z ? z : "";
          break;
        }
  p->spread = s->shape == MH_SHAPE_SERVICE;
  mh_place_spread_rule (core, s, &p->max_skew, &p->soft);
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (!m->reported || m->gone || m->releasing || m->zone == NULL || m->type == NULL
          || (only_zone && strcmp (only_zone, m->zone) != 0))
        continue;
      /* A zone counts when it has live machines that pass the zone filter, feasible or not. */
      guint zone = zone_index (p->zones, m->zone);
      if (!usable (core, m) || !mh_place_kind_fits (p->job, m->type, m->zone, m->spot))
        continue;
      Candidate c = { .machine = m,
                      .zone = zone,
                      .wait_us = mh_fleet_image_wait (core, m, s->image, s->image_gb) };
      c.cost = walk_cost (s, &c, p->patience);
      if (s->shape == MH_SHAPE_SERVICE)
        c.replicas = mh_fleet_replicas (m);
      g_array_append_val (p->candidates, c);
      if (has_room (m, s))
        g_array_index (p->zones, MhZoneCount, zone).feasible = true;
    }
}

static bool
zone_allows (const Placing *p, guint zone)
{
  const MhZoneCount *zones = (const MhZoneCount *)p->zones->data;
  const MhJobSpec *s = p->job->spec;
  if (s->scatter && zones[zone].count + 1 > (s->tasks + 1) / 2)
    return false;
  /* same_place: an earlier task of this very pass may have fixed the zone. */
  if (s->one_zone)
    for (guint i = 0; i < p->zones->len; i++)
      if (i != zone && zones[i].count)
        return false;
  return !p->spread || p->soft || mh_spread_hard_fits (zones, p->zones->len, zone, p->max_skew);
}

/* A replica may keep its machine for long after everything else on it has ended. */
static void
mark_dear (Placing *p)
{
  double least = G_MAXDOUBLE;
  for (guint i = 0; i < p->candidates->len; i++)
    least = MIN (least, mh_fleet_hourly (g_array_index (p->candidates, Candidate, i).machine));
  for (guint i = 0; i < p->candidates->len; i++)
    {
      Candidate *c = &g_array_index (p->candidates, Candidate, i);
      c->dear = mh_fleet_hourly (c->machine) > MUCH_DEARER * least;
    }
}

static void
rank (Placing *p)
{
  if (p->spread)
    mark_dear (p);
  if (p->spread && p->soft)
    for (guint i = 0; i < p->candidates->len; i++)
      {
        Candidate *c = &g_array_index (p->candidates, Candidate, i);
        c->score = mh_spread_soft_score ((MhZoneCount *)p->zones->data, p->zones->len, c->zone,
                                         p->max_skew);
      }
  g_array_sort (p->candidates, by_walk);
}

static bool
next_pending (Placing *p)
{
  while (p->task < p->job->spec->tasks && p->job->tasks[p->task].state != MH_TASK_PENDING)
    p->task++;
  return p->task < p->job->spec->tasks;
}

static void
start (Placing *p, Candidate *c)
{
  MhAttempt *a = mh_fleet_attempt_new (p->core, p->job, p->task, c->machine);
  MhRecord *r = mh_job_record (p->job, p->task);
  mh_store_touch (p->core, r);
  a->need_rev = r->rev;
  g_array_index (p->zones, MhZoneCount, c->zone).count++;
  mh_debug (p->core, "task %s/%u: attempt %u on %s (%s%s)", p->job->spec->id, p->task, a->attempt,
            c->machine->name, c->machine->zone, c->wait_us ? "" : ", image there");
}

static Candidate *
first_fit (Placing *p)
{
  for (guint i = 0; i < p->candidates->len; i++)
    {
      Candidate *c = &g_array_index (p->candidates, Candidate, i);
      if (has_room (c->machine, p->job->spec) && zone_allows (p, c->zone))
        return c;
    }
  return NULL;
}

/* ---- preemption ---- */

static bool
may_stop (const MhJob *wants, const MhAttempt *a)
{
  const MhJob *holds = a->job;
  if (holds == wants || a->kill)
    return false;
  /* Only from those that stand further back in the queue: else the two stop each other in turn, as
     urgent work beyond its guarantee and normal work within one once did for a thousand times. */
  if (tier (wants) > tier (holds)
      || (tier (wants) == tier (holds) && wants->spec->priority <= holds->spec->priority))
    return false;
  if (holds->spec->priority < wants->spec->priority)
    return true;
  return wants->guaranteed && strcmp (holds->spec->team, wants->spec->team) != 0;
}

/* Work done again, by the cpu; that of higher rank counts more, else the same arrays are stopped
   time and again while lesser ones run. */
static double
loss_of (const MhCore *core, const MhAttempt *a)
{
  const MhJobSpec *s = a->job->spec;
  double ran = a->running_us ? (double)(core->now.mono_us - a->running_us) / MH_SECOND_US : 0;
  return s->cpus * (1 + ran) * (1 + RANK_LOSS * s->priority);
}

static gint
by_loss (gconstpointer a, gconstpointer b, gpointer core)
{
  double x = loss_of (core, *(MhAttempt *const *)a), y = loss_of (core, *(MhAttempt *const *)b);
  return x < y ? -1 : x > y;
}

/* Room that is being freed already counts, so that one need is not met twice. */
static bool
room_after (const MhMachine *m, const MhJobSpec *s, double cpus, double mem)
{
  return s->cpus <= free_cpus (m) - m->promised_cpus + cpus + EPSILON
         && s->mem_gb <= m->type->mem_gb - m->used_mem - m->promised_mem + mem + EPSILON;
}

static void
doomed_room (const MhMachine *m, double *cpus, double *mem)
{
  *cpus = *mem = 0;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      if (a->kill)
        {
          *cpus += a->job->spec->cpus;
          *mem += a->job->spec->mem_gb;
        }
    }
}

static void
promise (MhMachine *m, const MhJobSpec *s)
{
  m->promised_cpus += s->cpus;
  m->promised_mem += s->mem_gb;
}

/* Makes room for one task, or finds that it is being made, where its image comes within `wait_us`.
 */
static bool
preempt (Placing *p, gint64 wait_us)
{
  const MhJobSpec *s = p->job->spec;
  MhMachine *best = NULL;
  double best_loss = G_MAXDOUBLE;
  g_autoptr (GPtrArray) best_victims = NULL;
  if (s->gpus > 0)
    return false;
  for (guint i = 0; i < p->candidates->len; i++)
    {
      Candidate *c = &g_array_index (p->candidates, Candidate, i);
      MhMachine *m = c->machine;
      double cpus, mem;
      if (!zone_allows (p, c->zone) || c->wait_us > wait_us)
        continue;
      doomed_room (m, &cpus, &mem);
      if (room_after (m, s, cpus, mem))
        {
          promise (m, s);
          return true;
        }
      g_autoptr (GPtrArray) able = g_ptr_array_new ();
      for (guint j = 0; j < m->attempts->len; j++)
        if (may_stop (p->job, mh_machine_attempt (m, j)))
          g_ptr_array_add (able, mh_machine_attempt (m, j));
      g_ptr_array_sort_with_data (able, by_loss, p->core);
      g_autoptr (GPtrArray) victims = g_ptr_array_new ();
      double loss = (double)c->wait_us / MH_SECOND_US;
      for (guint j = 0; j < able->len && !room_after (m, s, cpus, mem); j++)
        {
          MhAttempt *a = g_ptr_array_index (able, j);
          cpus += a->job->spec->cpus;
          mem += a->job->spec->mem_gb;
          loss += loss_of (p->core, a);
          g_ptr_array_add (victims, a);
        }
      if (!room_after (m, s, cpus, mem) || loss >= best_loss)
        continue;
      best = m;
      best_loss = loss;
      g_clear_pointer (&best_victims, g_ptr_array_unref);
      best_victims = g_steal_pointer (&victims);
    }
  if (best == NULL)
    return false;
  for (guint i = 0; i < best_victims->len; i++)
    {
      MhAttempt *a = g_ptr_array_index (best_victims, i);
      mh_info (p->core, "task %s/%u: stopped on %s to make room for %s", a->job->spec->id, a->index,
               best->name, s->id);
      mh_fleet_kill (p->core, a, mh_job_grace_us (a->job));
    }
  promise (best, s);
  return true;
}

/* The counts of a job are rebuilt when every machine on record for it has reported. Since a start
   is on record before it is ordered, a job without one has no task anywhere. */
static bool
counts_known (const MhCore *core, const MhJob *job)
{
  if (core->leader.rebuilt || job->n_live == 0)
    return true;
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live && !job->tasks[i].live->machine->reported)
      return false;
  return true;
}

static void
place_job (MhCore *core, MhJob *job, guint *starts, guint *preemptions)
{
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  g_autoptr (GArray) zones = g_array_new (FALSE, FALSE, sizeof (MhZoneCount));
  Placing p
      = { .core = core, .job = job, .candidates = candidates, .zones = zones, .task = job->cursor };
  const MhJobSpec *s = job->spec;
  if (core->now.mono_us < job->retry_us)
    {
      mh_core_wake_at (core, job->retry_us);
      return;
    }
  if (!counts_known (core, job))
    return;
  p.patience = patience_of (core, job);
  prepare (&p);
  count_zones (&p);
  rank (&p);
  while (next_pending (&p) && *starts < STARTS_PER_PASS)
    {
      job->cursor = p.task;
      if (!mh_place_quota_fits (core, job, s->cpus, s->gpus))
        return;
      Candidate *c = first_fit (&p);
      if (c == NULL)
        break;
      /* A service that would come too late by its image rather takes the room of lesser work where
         the image is. */
      if (s->shape == MH_SHAPE_SERVICE && c->wait_us > p.patience && core->leader.rebuilt
          && *preemptions < PREEMPTIONS_PER_PASS && preempt (&p, MAX (p.patience, 0)))
        {
          (*preemptions)++;
          p.task++;
          continue;
        }
      start (&p, c);
      (*starts)++;
      if (p.spread && p.soft)
        rank (&p);
    }
  /* Machines that have not reported yet may have room; running tasks end by themselves. */
  if (!core->leader.rebuilt || (tier (job) == 3 && s->priority <= MH_PRIORITY_LOW))
    return;
  if (s->shape != MH_SHAPE_SERVICE && core->now.mono_us - job->wanted_us < p.patience / 3)
    {
      mh_core_wake_at (core, job->wanted_us + p.patience / 3);
      return;
    }
  double cpus = 0;
  for (guint n = mh_job_pending (job); n > 0 && *preemptions < PREEMPTIONS_PER_PASS; n--)
    {
      cpus += s->cpus;
      if (!mh_place_quota_fits (core, job, cpus, 0)
          || !(preempt (&p, p.patience) || preempt (&p, G_MAXINT64)))
        return;
      (*preemptions)++;
    }
}

void
mh_place_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  gint64 next = core->placed_us
                + (core->place_urgent   ? URGENT_PASS_US
                   : core->place_wanted ? PASS_US
                                        : IDLE_PASS_US);
  if (now < next || core->leader.bumping)
    {
      mh_core_wake_at (core, MAX (next, now + 5000));
      return;
    }
  core->placed_us = now;
  core->place_wanted = core->place_urgent = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((MhMachine *)value)->promised_cpus = ((MhMachine *)value)->promised_mem = 0;
  g_autoptr (GPtrArray) queue = mh_place_queue (core);
  guint starts = 0, preemptions = 0;
  for (guint i = 0; i < queue->len; i++)
    place_job (core, g_ptr_array_index (queue, i), &starts, &preemptions);
  /* A kill that freed room at once is used in the next pass. */
}
