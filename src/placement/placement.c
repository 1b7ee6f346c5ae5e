/* Placement: filter, rank, first fit; quota, guarantees and preemption. */
#include "controller/core-private.h"

#include <math.h>
#include <string.h>

#define EPSILON 1e-6
/* A pass looks at the machines for every job that waits, which on a small share of a core is dear:
   only what is expected to start within seconds calls for one at once. Looking for tasks to stop
   looks at every task there is, and is done less often. */
#define URGENT_PASS_US 20000
#define PASS_US 50000
#define IDLE_PASS_US (MH_SECOND_US / 2)
#define PREEMPT_US (MH_SECOND_US / 5)
#define PREEMPTIONS_PER_PASS 16u
/* Starts in one pass: a huge array must not hold up everything else in the process. */
#define STARTS_PER_PASS 400u
#define MUCH_DEARER 2
/* The part of all replicas that one machine may hold before others are preferred: as many as that
   are lost with it. Up to it replicas gather, so that other machines fall empty. */
#define REPLICAS_AT_ONCE (1 / 24.0)
/* Machines on which an array would miss the aim for its start by its image come last. */
#define TOO_LATE 1000
#define RANK_LOSS 3
#define GATHERING_LOSS_S 30
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

guint
mh_place_times (double have, double need, guint most)
{
  if (need <= 0 || have >= need * most)
    return most;
  return have > 0 ? (guint)(have / need + 1e-6) : 0;
}

bool
mh_place_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus)
{
  const MhTeam *team = mh_settings_team (core->settings, job->spec->team);
  const MhUse *use = mh_cluster_team_use (core, job->spec->team);
  if (team == NULL)
    return false;
  return (use ? use->cpus : 0) + more_cpus <= team->cpus_max + EPSILON
         && (use ? use->gpus : 0) + more_gpus <= team->gpus_max + EPSILON;
}

/* How many of `n` more tasks the team's limit allows besides what may be running and `also`. */
guint
mh_place_quota_room (MhCore *core, const MhJob *job, const MhUse *also, guint n)
{
  const MhTeam *team = mh_settings_team (core->settings, job->spec->team);
  const MhUse *use = mh_cluster_team_use (core, job->spec->team);
  const MhJobSpec *s = job->spec;
  if (team == NULL)
    return 0;
  double cpus = team->cpus_max - also->cpus - (use ? use->cpus : 0) + EPSILON;
  double gpus = team->gpus_max - also->gpus - (use ? use->gpus : 0) + EPSILON;
  if (s->cpus > 0 && s->cpus * n > cpus)
    n = cpus > 0 ? (guint)(cpus / s->cpus) : 0;
  if (s->gpus > 0 && s->gpus * n > gpus)
    n = gpus > 0 ? (guint)(gpus / s->gpus) : 0;
  return n;
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

/* ---- one pass over the queue ---- */

/* Tasks of this size found no room on any machine: nor will larger ones, until the next pass. */
typedef struct
{
  double cpus, gpus, mem_gb;
  bool spot;
} Full;

/* A machine that is on its way, and the image that tasks wait for it with. */
typedef struct
{
  const MhMachine *machine;
  gint64 arrives_us;
  const GRefString *image; /* NULL: none */
  double cpus, mem;        /* left */
} Coming;

typedef struct
{
  MhCore *core;
  GPtrArray *usable; /* MhMachine */
  GArray *zones;     /* MhZoneCount, of all zones with live machines */
  GArray *full;      /* Full */
  GPtrArray *stuck;  /* MhJob: no task could be stopped for it */
  GArray *coming;    /* Coming */
  guint starts, preemptions;
  bool may_preempt;
} Pass;

/* ---- one job ---- */

typedef struct
{
  MhMachine *machine;
  guint zone;     /* index into the counted zones */
  gint64 wait_us; /* for the image */
  gint score;     /* of the soft spread */
  double cost;
  guint crowd; /* for a service: how unwelcome it is by the replicas there */
  bool dear;   /* for a service: costs much more than another that would do */
} Candidate;

#define NOT_COUNTED G_MAXUINT

typedef struct
{
  Pass *pass;
  MhCore *core;
  MhJob *job;
  GArray *candidates; /* Candidate, with room when they were gathered */
  GArray *zones;      /* MhZoneCount */
  guint *zone_of;     /* by the pass's zones: index into these */
  bool *type_fits;
  guint max_skew;
  bool soft, spread;
  gint64 patience; /* how long a start may still take */
  guint task;      /* next pending */
  bool waits;      /* for a machine that is coming */
  bool passed_over;
  guint made;  /* tasks for which room is being made */
  guint first; /* of the sorted candidates: none below it has room */
} Placing;

static bool
live (const MhMachine *m)
{
  return m->heartbeat.reported && !mh_machine_is_releasing (m) && m->zone && m->type;
}

static bool
usable (const MhCore *core, const MhMachine *m)
{
  return live (m) && !mh_machine_is_draining (m) && !m->heartbeat.ignored_answers
         && m->notice_until_us < 0 && core->now.mono_us >= m->no_start_before_us
         && !mh_failure_is_report_overdue (core, m);
}

MhSpace
mh_place_free (const MhMachine *m)
{
  return (MhSpace){ .cpus = m->type->cpus - m->usage.cpus - m->usage.reserved_cpus,
                    .gpus = m->type->gpus - m->usage.gpus,
                    .mem = m->type->mem_gb - m->usage.mem_gb - m->usage.reserved_mem_gb };
}

static double
free_cpus (const MhMachine *m)
{
  return m->type->cpus - m->usage.cpus;
}

static bool
has_room (const MhMachine *m, const MhJobSpec *s)
{
  MhSpace x = mh_place_free (m);
  return s->cpus <= x.cpus + EPSILON && s->gpus <= x.gpus + EPSILON && s->mem_gb <= x.mem + EPSILON;
}

/* For an array, what a cpu of the machine costs while the task waits for its image and runs. For a
   service, which is waited for: whether its image is there, comes in time for the aim, or too late,
   and then in steps; among equals the price counts, since replicas stay where they are. */
static double
walk_cost (const MhJobSpec *s, const Candidate *c, gint64 patience)
{
  if (s->shape != MH_SHAPE_SERVICE)
    return mh_machine_hourly_cpu_price (c->machine)
           * (double)(c->wait_us + s->estimated_run_us + MH_SECOND_US)
           * (c->wait_us > patience ? TOO_LATE : 1);
  if (c->wait_us <= 0)
    return 0;
  return c->wait_us <= patience ? 1 : 2 + floor ((double)c->wait_us / LATE_STEP_US);
}

/* The documented order: the soft score; the cost as above; the replicas there; the cheapest by the
   cpu; the fullest, so that others fall empty; the name. */
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
  if (x->crowd != y->crowd)
    return x->crowd < y->crowd ? -1 : 1;
  double px = mh_machine_hourly_cpu_price (x->machine),
         py = mh_machine_hourly_cpu_price (y->machine);
  if (px != py)
    return px < py ? -1 : 1;
  double fx = free_cpus (x->machine), fy = free_cpus (y->machine);
  if (fx != fy)
    return fx < fy ? -1 : 1;
  return strcmp (x->machine->name, y->machine->name);
}

static guint
crowd_of (const MhCore *core, const MhMachine *m)
{
  guint most = MAX (1, (guint)(mh_cluster_service_replicas (core) * REPLICAS_AT_ONCE));
  return m->usage.replicas < most ? most - m->usage.replicas : m->usage.replicas + 1;
}

/* Where may the job's next task go, given the job's other tasks? */
static void
count_zones (Placing *p)
{
  const MhJobSpec *s = p->job->spec;
  /* Counting walks all tasks of the job; most arrays need no counts. */
  if (p->job->n_live == 0 || !(p->spread || s->single_zone || s->spread_over_zones))
    return;
  for (guint i = 0; i < s->tasks; i++)
    if (p->job->tasks[i].live && p->job->tasks[i].live->machine->zone)
      {
        const char *zone = p->job->tasks[i].live->machine->zone;
        for (guint z = 0; z < p->zones->len; z++)
          if (g_array_index (p->zones, MhZoneCount, z).name == zone)
            g_array_index (p->zones, MhZoneCount, z).count++;
      }
}

const char *
mh_place_only_zone (const MhJob *job)
{
  if (job->spec->single_zone)
    for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
      if (job->tasks[i].live)
        {
          /* A machine known from a record alone has no zone yet: nothing can be placed beside it.
           */
          const char *zone = job->tasks[i].live->machine->zone;
          return zone ? zone : "";
        }
  return job->zone;
}

static bool
fits_kind (const Placing *p, const MhMachine *m)
{
  return p->type_fits[m->type_index] && (!m->spot || p->job->spec->spot)
         && p->zone_of[m->zone_index] != NOT_COUNTED;
}

/* A zone counts when it has live machines that pass the zone filter, feasible or not. */
static void
prepare (Placing *p)
{
  MhCore *core = p->core;
  const MhJobSpec *s = p->job->spec;
  const char *only = mh_place_only_zone (p->job);
  p->spread = s->shape == MH_SHAPE_SERVICE;
  mh_place_spread_rule (core, s, &p->max_skew, &p->soft);
  for (guint i = 0; i < mh_cluster_types (core)->len; i++)
    p->type_fits[i] = mh_place_type_fits (s, g_ptr_array_index (mh_cluster_types (core), i));
  for (guint i = 0; i < p->pass->zones->len; i++)
    {
      MhZoneCount z = g_array_index (p->pass->zones, MhZoneCount, i);
      bool counts = only == NULL || z.name == only;
      p->zone_of[i] = counts ? p->zones->len : NOT_COUNTED;
      if (counts)
        g_array_append_val (p->zones, z);
    }
  count_zones (p);
}

static bool
known_full (const Pass *pass, const MhJobSpec *s)
{
  for (guint i = 0; i < pass->full->len; i++)
    {
      const Full *f = &g_array_index (pass->full, Full, i);
      if (s->cpus >= f->cpus && s->gpus >= f->gpus && s->mem_gb >= f->mem_gb
          && (f->spot || !s->spot))
        return true;
    }
  return false;
}

static void
learn_full (Pass *pass, const MhJob *job)
{
  const MhJobSpec *s = job->spec;
  if (s->types || s->zone || s->single_zone)
    return;
  Full f = { .cpus = s->cpus, .gpus = s->gpus, .mem_gb = s->mem_gb, .spot = s->spot };
  g_array_append_val (pass->full, f);
}

/* The machines with room. A replica may keep its machine for long after everything else on it has
   ended, so that those which cost much more than another of the kind are marked. */
static void
gather (Placing *p)
{
  const MhJobSpec *s = p->job->spec;
  double least = G_MAXDOUBLE;
  if (known_full (p->pass, s))
    return;
  for (guint i = 0; i < p->pass->usable->len; i++)
    {
      MhMachine *m = g_ptr_array_index (p->pass->usable, i);
      if (!fits_kind (p, m))
        continue;
      least = MIN (least, mh_machine_hourly_price (m));
      if (!has_room (m, s))
        continue;
      Candidate c
          = { .machine = m,
              .zone = p->zone_of[m->zone_index],
              .wait_us = mh_machine_image_wait_us (p->core, m, p->job->image, s->image_gb) };
      c.cost = walk_cost (s, &c, p->patience);
      if (p->spread)
        c.crowd = crowd_of (p->core, m);
      g_array_append_val (p->candidates, c);
      g_array_index (p->zones, MhZoneCount, c.zone).feasible = true;
    }
  if (p->candidates->len == 0)
    learn_full (p->pass, p->job);
  for (guint i = 0; i < p->candidates->len && p->spread; i++)
    {
      Candidate *c = &g_array_index (p->candidates, Candidate, i);
      c->dear = mh_machine_hourly_price (c->machine) > MUCH_DEARER * least;
    }
  /* A service has few tasks, and each start changes what is best for the next. */
  if (!p->spread)
    g_array_sort (p->candidates, by_walk);
}

static bool
zone_allows (const Placing *p, guint zone)
{
  const MhZoneCount *zones = (const MhZoneCount *)p->zones->data;
  const MhJobSpec *s = p->job->spec;
  if (s->spread_over_zones && zones[zone].count + 1 > (s->tasks + 1) / 2)
    return false;
  /* same_place: an earlier task of this very pass may have fixed the zone. */
  if (s->single_zone)
    for (guint i = 0; i < p->zones->len; i++)
      if (i != zone && zones[i].count)
        return false;
  return !p->spread || p->soft || mh_spread_hard_fits (zones, p->zones->len, zone, p->max_skew);
}

/* Kind and zone allow the task there, whatever room there is. */
static bool
admits (const Placing *p, const MhMachine *m)
{
  return fits_kind (p, m) && zone_allows (p, p->zone_of[m->zone_index]);
}

static bool
next_pending (Placing *p)
{
  while (p->task < p->job->spec->tasks && p->job->tasks[p->task].state != MH_TASK_PENDING)
    p->task++;
  return p->task < p->job->spec->tasks;
}

MhAttempt *
mh_place_start (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *m, guint urgency)
{
  MhAttempt *a = mh_attempt_new (core, job, index, attempt, m);
  MhRecord *r = mh_job_record (job, index);
  mh_store_touch (core, r, urgency);
  a->need_rev = r->rev;
  mh_debug (core, "task %s/%u: attempt %u on %s (%s%s)", job->spec->id, index, a->attempt, m->name,
            m->zone, mh_machine_has_image (m, job->image) ? ", image there" : "");
  return a;
}

static void
start (Placing *p, Candidate *c)
{
  MhAttempt *a = mh_place_start (p->core, p->job, p->task, p->job->tasks[p->task].attempt + 1,
                                 c->machine, p->spread ? MH_URGENCY_USER : MH_URGENCY_START);
  a->of_starved_job = p->job->starved;
  c->crowd = crowd_of (p->core, c->machine);
  g_array_index (p->zones, MhZoneCount, c->zone).count++;
}

/* The first in the order of the walk that fits. */
static Candidate *
first_fit (Placing *p)
{
  const MhJobSpec *s = p->job->spec;
  Candidate *all = (Candidate *)p->candidates->data, *best = NULL;
  while (p->first < p->candidates->len && !has_room (all[p->first].machine, s))
    p->first++;
  for (guint i = p->first; i < p->candidates->len; i++)
    {
      Candidate *c = &all[i];
      if (!has_room (c->machine, s) || !zone_allows (p, c->zone))
        continue;
      if (!p->spread)
        return c;
      if (p->soft)
        c->score = mh_spread_soft_score ((MhZoneCount *)p->zones->data, p->zones->len, c->zone,
                                         p->max_skew);
      if (best == NULL || by_walk (c, best) < 0)
        best = c;
    }
  return best;
}

/* Fetches side by side share a machine's rate, so that each takes as long as all. A replica whose
   image would come later so than on a machine that is on its way and has no other to fetch waits
   for that one. */
static bool
better_wait (Placing *p, gint64 wait_us)
{
  const MhJobSpec *s = p->job->spec;
  gint64 now = p->core->now.mono_us;
  if (!p->spread || wait_us <= mh_queue_fetch_us (p->core, s))
    return false;
  for (guint i = 0; i < p->pass->coming->len; i++)
    {
      Coming *m = &g_array_index (p->pass->coming, Coming, i);
      if ((m->image && m->image != p->job->image) || m->machine->spot
          || !p->type_fits[m->machine->type_index] || m->cpus + EPSILON < s->cpus
          || m->mem + EPSILON < s->mem_gb || (p->job->zone && p->job->zone != m->machine->zone))
        continue;
      if (m->arrives_us - now + mh_queue_fetch_us (p->core, s) >= wait_us)
        continue;
      m->image = p->job->image;
      m->cpus -= s->cpus;
      m->mem -= s->mem_gb;
      return true;
    }
  return false;
}

/* ---- preemption ---- */

static bool
may_stop (const MhJob *wants, const MhAttempt *a)
{
  const MhJob *holds = a->job;
  if (holds == wants || mh_attempt_is_stopping (a))
    return false;
  /* The one task with which a starved job begins gives way to urgent work alone: it once was
     stopped in the very pass that had placed it. */
  if (a->of_starved_job && mh_queue_tier (wants) > 1)
    return false;
  /* Only from those that stand further back in the queue: else the two stop each other in turn, as
     urgent work beyond its guarantee and normal work within one once did for a thousand times. */
  if (mh_queue_tier (wants) > mh_queue_tier (holds)
      || (mh_queue_tier (wants) == mh_queue_tier (holds)
          && wants->spec->priority <= holds->spec->priority))
    return false;
  if (holds->spec->priority < wants->spec->priority)
    return true;
  /* One task costs the whole gang, which is placed again as soon as there is room: for a guarantee
     alone a gang was stopped forty times in a row, and each time for a part of its room. */
  return wants->guaranteed && !mh_job_is_gang (holds)
         && strcmp (holds->spec->team, wants->spec->team) != 0;
}

double
mh_place_loss (const MhJobSpec *s, double seconds)
{
  return s->cpus * seconds * (1 + RANK_LOSS * s->priority);
}

/* Work done again, by the cpu; that of higher rank counts more, else the same arrays are stopped
   time and again while lesser ones run. */
static double
loss_of (const MhCore *core, const MhAttempt *a)
{
  const MhJobSpec *s = a->job->spec;
  double ran
      = a->running_since_us ? (double)(core->now.mono_us - a->running_since_us) / MH_SECOND_US : 0;
  /* One task of a gang costs the whole of it, which has to gather again, also one that has just
     begun: those once were stopped first, up to four times in a row. */
  if (mh_job_is_gang (a->job))
    return s->tasks * mh_place_loss (s, GATHERING_LOSS_S + ran);
  return mh_place_loss (s, 1 + ran);
}

static gint
by_loss (gconstpointer a, gconstpointer b, gpointer core)
{
  double x = loss_of (core, *(MhAttempt *const *)a), y = loss_of (core, *(MhAttempt *const *)b);
  return x < y ? -1 : x > y;
}

void
mh_place_promise (MhMachine *m, const MhJobSpec *s, guint n)
{
  m->usage.reserved_cpus += s->cpus * n;
  m->usage.reserved_mem_gb += s->mem_gb * n;
}

static bool
enough (const MhSpace *x, const MhJobSpec *s, guint n)
{
  return s->cpus * n <= x->cpus + EPSILON && s->mem_gb * n <= x->mem + EPSILON;
}

static void
add_task (MhSpace *x, const MhJobSpec *s)
{
  x->cpus += s->cpus;
  x->gpus += s->gpus;
  x->mem += s->mem_gb;
}

/* Room that is being freed already counts, so that one need is not met twice. */
MhSpace
mh_place_space (const MhJob *wants, const MhMachine *m, MhSpace *could)
{
  MhSpace x = mh_place_free (m);
  *could = (MhSpace){ 0 };
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      if (mh_attempt_is_stopping (a))
        add_task (&x, a->job->spec);
      else if (may_stop (wants, a))
        add_task (could, a->job->spec);
    }
  could->cpus += x.cpus;
  could->gpus += x.gpus;
  could->mem += x.mem;
  return x;
}

double
mh_place_victims (MhCore *core, const MhJob *wants, const MhMachine *m, MhSpace x, guint n,
                  GPtrArray *victims)
{
  g_autoptr (GPtrArray) able = g_ptr_array_new ();
  double loss = 0;
  for (guint j = 0; j < m->attempts->len; j++)
    if (may_stop (wants, mh_machine_attempt (m, j)))
      g_ptr_array_add (able, mh_machine_attempt (m, j));
  g_ptr_array_sort_with_data (able, by_loss, core);
  g_ptr_array_set_size (victims, 0);
  for (guint j = 0; j < able->len && !enough (&x, wants->spec, n); j++)
    {
      MhAttempt *a = g_ptr_array_index (able, j);
      add_task (&x, a->job->spec);
      loss += loss_of (core, a);
      g_ptr_array_add (victims, a);
    }
  return loss;
}

/* Whether room for the task is being made where its image comes within `wait_us`. Without this look
   a replica, for which a task had been stopped, was started elsewhere before that one was gone. */
static bool
room_is_made (Placing *p, gint64 wait_us)
{
  const MhJobSpec *s = p->job->spec;
  for (guint i = 0; i < p->pass->usable->len; i++)
    {
      MhMachine *m = g_ptr_array_index (p->pass->usable, i);
      MhSpace could;
      if (!admits (p, m))
        continue;
      MhSpace x = mh_place_space (p->job, m, &could);
      if (enough (&x, s, 1)
          && mh_machine_image_wait_us (p->core, m, p->job->image, s->image_gb) <= wait_us)
        {
          mh_place_promise (m, s, 1);
          return true;
        }
    }
  return false;
}

/* Makes room for one task where its image comes within `wait_us`. */
static bool
preempt (Placing *p, gint64 wait_us)
{
  const MhJobSpec *s = p->job->spec;
  MhMachine *best = NULL;
  gint64 best_wait = 0;
  double best_loss = G_MAXDOUBLE;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < p->pass->usable->len; i++)
    {
      MhMachine *m = g_ptr_array_index (p->pass->usable, i);
      MhSpace could;
      if (!admits (p, m))
        continue;
      MhSpace x = mh_place_space (p->job, m, &could);
      if (!enough (&could, s, 1))
        continue;
      gint64 wait = mh_machine_image_wait_us (p->core, m, p->job->image, s->image_gb);
      if (wait > wait_us)
        continue;
      double loss
          = (double)wait / MH_SECOND_US + mh_place_victims (p->core, p->job, m, x, 1, victims);
      if (loss >= best_loss)
        continue;
      best = m;
      best_wait = wait;
      best_loss = loss;
    }
  if (best == NULL)
    return false;
  /* Else it would be passed over on the very room that was made, others would take it, and more
     would be made: at the start of a day one service had eighty tasks stopped so. */
  if (better_wait (p, best_wait))
    return true;
  MhSpace could, x = mh_place_space (p->job, best, &could);
  mh_place_victims (p->core, p->job, best, x, 1, victims);
  for (guint i = 0; i < victims->len; i++)
    {
      MhAttempt *a = g_ptr_array_index (victims, i);
      mh_info (p->core, "task %s/%u: stopped on %s to make room for %s", a->job->spec->id, a->index,
               best->name, s->id);
      mh_attempt_stop (p->core, a, mh_job_grace_us (a->job));
    }
  mh_place_promise (best, s, 1);
  return true;
}

/* The counts of a job are rebuilt when every machine on record for it has reported. Since a start
   is on record before it is sent, a job without one has no task anywhere. When the time for that
   is over, the zones must be known at least: a machine known from a record alone has none yet, and
   the task on it would be left out of the count. */
static bool
counts_known (const MhCore *core, const MhJob *job)
{
  const MhJobSpec *s = job->spec;
  if (job->n_unheard == 0)
    return true;
  if (!core->leader.rebuilt)
    return false;
  if (s->shape != MH_SHAPE_SERVICE && !s->spread_over_zones && !s->single_zone)
    return true;
  for (guint i = 0; i < s->tasks; i++)
    if (job->tasks[i].live && job->tasks[i].live->machine->zone == NULL)
      return false;
  return true;
}

/* Whether an earlier job that might have stopped all that this one may, for no more room, could
   not. */
static bool
known_stuck (const Pass *pass, const MhJob *job)
{
  const MhJobSpec *s = job->spec;
  for (guint i = 0; i < pass->stuck->len; i++)
    {
      const MhJob *other = g_ptr_array_index (pass->stuck, i);
      const MhJobSpec *o = other->spec;
      if (mh_queue_tier (other) <= mh_queue_tier (job) && o->priority >= s->priority
          && o->cpus <= s->cpus && o->mem_gb <= s->mem_gb && (o->spot || !s->spot)
          && (!job->guaranteed || (other->guaranteed && strcmp (o->team, s->team) == 0)))
        return true;
    }
  return false;
}

static bool
preempt_one (Placing *p, gint64 wait_us)
{
  if (p->job->spec->gpus > 0)
    return false;
  if (room_is_made (p, wait_us))
    return true;
  if (!p->pass->may_preempt || p->pass->preemptions >= PREEMPTIONS_PER_PASS)
    return false;
  p->core->preempted_us = p->core->now.mono_us;
  if (!preempt (p, wait_us))
    return false;
  p->pass->preemptions++;
  return true;
}

/* Starts what finds room. */
static void
place_tasks (Placing *p)
{
  MhCore *core = p->core;
  MhJob *job = p->job;
  const MhJobSpec *s = job->spec;
  guint most = mh_task_failure_startable (core, job);
  while (most > 0 && next_pending (p) && p->pass->starts < STARTS_PER_PASS)
    {
      /* Not past a task that was passed over: it once was forgotten with that, and a replica never
         started. */
      if (!p->passed_over)
        job->cursor = p->task;
      if (!mh_place_quota_fits (core, job, s->cpus, s->gpus))
        return;
      Candidate *c = first_fit (p);
      if (c == NULL)
        {
          if (p->candidates->len && p->first == p->candidates->len)
            learn_full (p->pass, job);
          return;
        }
      /* A service that would come too late by its image rather takes the room of lesser work where
         the image is. */
      if (p->spread && c->wait_us > p->patience && core->leader.rebuilt
          && preempt_one (p, MAX (p->patience, 0)))
        {
          p->passed_over = true;
          p->made++;
          p->task++;
          continue;
        }
      if (better_wait (p, c->wait_us))
        {
          p->waits = p->passed_over = true;
          p->task++;
          continue;
        }
      start (p, c);
      p->pass->starts++;
      most--;
      if (job->starved)
        return;
    }
}

/* Running tasks end by themselves: what is not urgent gives them a part of the time that it has. A
   gang that is urgent once did, and began three seconds later for it. */
static bool
waits_for_endings (const MhJobSpec *s)
{
  return s->shape == MH_SHAPE_ARRAY
         || (s->shape == MH_SHAPE_GANG && s->priority < MH_PRIORITY_HIGH);
}

/* Machines that have not reported yet may have room. */
static bool
may_make_room (MhCore *core, const MhJob *job, gint64 patience)
{
  if (!core->leader.rebuilt || (mh_queue_tier (job) == 3 && job->spec->priority <= MH_PRIORITY_LOW))
    return false;
  if (waits_for_endings (job->spec) && core->now.mono_us - job->wanted_us < patience / 3)
    {
      mh_core_wake_at (core, job->wanted_us + patience / 3);
      return false;
    }
  return true;
}

/* Stops other tasks for what found none. */
static void
make_room (Placing *p)
{
  MhCore *core = p->core;
  MhJob *job = p->job;
  const MhJobSpec *s = job->spec;
  if (!may_make_room (core, job, p->patience))
    return;
  double cpus = 0;
  for (guint n = mh_job_pending (job); n > p->made; n--)
    {
      cpus += s->cpus;
      if (!mh_place_quota_fits (core, job, cpus, 0) || known_stuck (p->pass, job))
        return;
      if (preempt_one (p, p->patience) || preempt_one (p, G_MAXINT64))
        continue;
      if (p->pass->preemptions < PREEMPTIONS_PER_PASS && !p->spread && !s->types && !s->zone
          && !s->single_zone && !s->spread_over_zones)
        g_ptr_array_add (p->pass->stuck, job);
      return;
    }
}

/* Room that falls free bit by bit would always be taken by smaller tasks: the machine that has the
   most is kept for a starved job until it is enough. */
static void
reserve (Placing *p)
{
  const MhJobSpec *s = p->job->spec;
  MhMachine *best = NULL;
  for (guint i = 0; i < p->pass->usable->len; i++)
    {
      MhMachine *m = g_ptr_array_index (p->pass->usable, i);
      if (admits (p, m) && m->usage.reserved_cpus == 0
          && (best == NULL || free_cpus (m) > free_cpus (best)))
        best = m;
    }
  if (best)
    mh_place_promise (best, s, 1);
}

static void
place_gang (Pass *pass, MhJob *job)
{
  MhCore *core = pass->core;
  bool may_preempt = pass->may_preempt && pass->preemptions < PREEMPTIONS_PER_PASS
                     && may_make_room (core, job, mh_queue_patience_us (core, job));
  MhGangPlaced placed = mh_gang_place (core, job, pass->usable, may_preempt);
  if (placed == MH_GANG_STARTED)
    pass->starts += job->spec->tasks;
  if (placed == MH_GANG_PREEMPTED)
    {
      pass->preemptions++;
      core->preempted_us = core->now.mono_us;
    }
}

static void
place_job (Pass *pass, MhJob *job)
{
  MhCore *core = pass->core;
  if (core->now.mono_us < job->retry_us)
    {
      mh_core_wake_at (core, job->retry_us);
      return;
    }
  if (mh_task_failure_startable (core, job) == 0)
    return;
  if (!counts_known (core, job)
      || !mh_place_quota_fits (core, job, job->spec->cpus, job->spec->gpus))
    return;
  if (mh_job_is_gang (job))
    {
      place_gang (pass, job);
      return;
    }
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  g_autoptr (GArray) zones = g_array_new (FALSE, FALSE, sizeof (MhZoneCount));
  g_autofree guint *zone_of = g_new0 (guint, pass->zones->len + 1);
  g_autofree bool *type_fits = g_new0 (bool, mh_cluster_types (core)->len + 1);
  Placing p = { .pass = pass,
                .core = core,
                .job = job,
                .candidates = candidates,
                .zones = zones,
                .zone_of = zone_of,
                .type_fits = type_fits,
                .task = job->cursor,
                .patience = mh_queue_patience_us (core, job) };
  prepare (&p);
  gather (&p);
  place_tasks (&p);
  if (job->starved && job->n_live == 0)
    reserve (&p);
  /* Nothing is stopped for a job that is only tried. */
  if (mh_job_pending (job) && !p.waits && pass->may_preempt && !mh_job_backs_off (job))
    make_room (&p);
}

static void
add_coming (Pass *pass, const MhMachine *m)
{
  gint64 now = pass->core->now.mono_us;
  if (m->heartbeat.reported || mh_machine_is_releasing (m) || m->type == NULL || m->zone == NULL
      || m->boot.late_age_us || now - m->boot.rented_us > 2 * m->type->boot_us)
    return;
  Coming c = { .machine = m,
               .arrives_us = MAX (m->boot.rented_us + m->type->boot_us, now + m->type->boot_us / 4),
               .cpus = m->type->cpus,
               .mem = m->type->mem_gb };
  g_array_append_val (pass->coming, c);
}

/* All machines once: who takes part, and which zones count. */
static void
look_round (Pass *pass)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (pass->core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      m->usage.reserved_cpus = m->usage.reserved_mem_gb = 0;
      add_coming (pass, m);
      /* A machine that may be cut off is no live one: a partitioned zone leaves the count. */
      if (!live (m)
          || mh_cluster_is_silent (pass->core, m, pass->core->settings->report_us * 5 / 2))
        continue;
      guint i = 0;
      while (i < pass->zones->len && g_array_index (pass->zones, MhZoneCount, i).name != m->zone)
        i++;
      m->zone_index = i;
      if (i == pass->zones->len)
        {
          MhZoneCount z = { .name = m->zone };
          g_array_append_val (pass->zones, z);
        }
      if (usable (pass->core, m))
        g_ptr_array_add (pass->usable, m);
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
  if (now < next || mh_cluster_types (core) == NULL)
    {
      mh_core_wake_at (core, MAX (next, now + 5000));
      return;
    }
  core->placed_us = now;
  core->place_wanted = core->place_urgent = false;
  g_autoptr (GPtrArray) queue = mh_queue_jobs (core, MH_QUEUE_ACCEPTED);
  if (queue->len == 0)
    return;
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  g_autoptr (GArray) zones = g_array_new (FALSE, FALSE, sizeof (MhZoneCount));
  g_autoptr (GArray) full = g_array_new (FALSE, FALSE, sizeof (Full));
  g_autoptr (GPtrArray) stuck = g_ptr_array_new ();
  g_autoptr (GArray) coming = g_array_new (FALSE, FALSE, sizeof (Coming));
  Pass pass = { .core = core,
                .usable = machines,
                .zones = zones,
                .full = full,
                .stuck = stuck,
                .coming = coming,
                .may_preempt = now >= core->preempted_us + PREEMPT_US };
  look_round (&pass);
  for (guint i = 0; i < queue->len; i++)
    place_job (&pass, g_ptr_array_index (queue, i));
  /* A stop that freed room at once is used in the next pass. */
}
