/* Renting and giving back machines. */
#include "core-private.h"

#include <string.h>

#define CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
#define TYPES_US (60 * MH_SECOND_US)
#define LIST_US (5 * MH_SECOND_US)
#define STEP_US (MH_SECOND_US / 2)
#define REFUSED_US (15 * MH_SECOND_US)
/* A machine that is deleted costs at least this. */
#define LEAST_PAID_US (60 * MH_SECOND_US)
#define TELL_US (10 * MH_SECOND_US)
/* A machine is emptied when no more of it is in use, and the others would not be fuller than this.
   Replicas younger than this are left alone: a start that is undone at once is none. */
#define EMPTY_ENOUGH 0.5
#define FULLEST 0.85
#define SETTLED_US (35 * MH_SECOND_US)
#define RENT_MOST 50u
#define RELEASE_MOST 100u
#define TASKS_LOOKED_AT 600u
/* Spot machines are taken back now and then, with what they run: their price counts as this much
   more. */
#define SPOT_RISK 1.3

void
mh_scale_release (MhCore *core, MhMachine *m, const char *why)
{
  if (m->releasing || m->gone)
    return;
  mh_info (core, "machine %s: given back: %s", m->name, why);
  m->releasing = true;
  m->release_sent = false;
}

void
mh_scale_clear (MhCore *core)
{
  core->scale.types_busy = core->scale.list_busy = core->scale.renting = false;
  core->scale.listed = false;
  core->scale.types_us = core->scale.list_us = 0;
  g_hash_table_remove_all (core->scale.refused);
}

void
mh_scale_start (MhCore *core)
{
  mh_scale_clear (core);
}

/* ---- what there is ---- */

static void
types_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  GPtrArray *types = status == 200 ? mh_wire_read_machine_types (body) : NULL;
  core->scale.types_busy = false;
  core->scale.types_us = core->now.mono_us + (types ? TYPES_US : MH_SECOND_US);
  if (types == NULL)
    return;
  GPtrArray *old = core->types;
  core->types = types;
  mh_fleet_types_changed (core);
  if (old)
    g_ptr_array_unref (old);
}

static void
listed (MhCore *core, const MhListedMachine *l)
{
  MhMachine *m = mh_fleet_machine (core, l->name);
  if (m && (m->gone || m->releasing))
    return; /* lists lag */
  if (m == NULL || m->type_name == NULL)
    {
      if (m == NULL)
        m = mh_fleet_add (core, l->name, l->type, l->zone, l->spot);
      else
        {
          /* Known from a record only. */
          m->type_name = g_strdup (l->type);
          m->zone = g_strdup (l->zone);
          m->spot = l->spot;
          mh_fleet_types_changed (core);
        }
      m->rented_us = core->now.mono_us - l->age_us;
      m->endpoint = m->endpoint ? m->endpoint : g_strdup (l->endpoint);
    }
  m->running = l->state == MH_LISTED_RUNNING;
  if (l->state == MH_LISTED_FAILED)
    mh_scale_release (core, m, "failed");
}

static void
list_page (MhCore *core, const char *after);

static void
list_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  bool more = false;
  g_autoptr (GPtrArray) list = status == 200 ? mh_wire_read_machine_list (body, &more) : NULL;
  core->scale.list_busy = false;
  core->scale.list_us = core->now.mono_us + (list ? LIST_US : MH_SECOND_US);
  if (list == NULL)
    return;
  for (guint i = 0; i < list->len; i++)
    listed (core, g_ptr_array_index (list, i));
  if (more && list->len)
    list_page (core, ((MhListedMachine *)g_ptr_array_index (list, list->len - 1))->name);
  else
    core->scale.listed = true;
}

static void
list_page (MhCore *core, const char *after)
{
  core->scale.list_busy = true;
  mh_core_call (core, MH_RANK_WORK, mh_wire_machines (after), 0, CLOUD_TIMEOUT_US, list_reply, NULL,
                NULL);
}

/* ---- giving back ---- */

static void
release_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  char **names = data;
  (void)body;
  for (; *names; names++)
    {
      MhMachine *m = mh_fleet_machine (core, *names);
      if (m == NULL || m->gone)
        continue;
      if (status == 200)
        {
          mh_debug (core, "machine %s: confirmed gone", m->name);
          mh_fleet_gone (core, m);
        }
      else
        m->release_sent = false;
    }
  if (status != 200)
    core->cloud_pause_us = core->now.mono_us + 500000 + (gint64)(core->now.jitter * 500000);
}

static void
send_releases (MhCore *core)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value) && names->len < RELEASE_MOST)
    {
      MhMachine *m = value;
      if (m->releasing && !m->release_sent && !m->gone)
        {
          m->release_sent = true;
          g_ptr_array_add (names, g_strdup (m->name));
        }
    }
  if (names->len == 0)
    return;
  g_ptr_array_add (names, NULL);
  char **list = (char **)g_ptr_array_free (g_steal_pointer (&names), FALSE);
  mh_core_call (core, MH_RANK_RULES, mh_wire_release (list), 0, CLOUD_TIMEOUT_US, release_reply,
                list, (GDestroyNotify)g_strfreev);
}

static void
return_idle (MhCore *core)
{
  gint64 now = core->now.mono_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (!m->reported || m->gone || m->releasing || m->attempts->len)
        continue;
      if (m->notice_until_us >= 0 || m->draining)
        mh_scale_release (core, m, "empty, as was wanted");
      else if (now - m->idle_us > core->settings->idle_us && now - m->rented_us > LEAST_PAID_US)
        mh_scale_release (core, m, "idle");
    }
}

/* ---- emptying machines that do little ---- */

static guint
tasks_waiting (MhCore *core)
{
  guint waiting = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!mh_job_over (value))
      waiting += mh_job_pending (value);
  return waiting;
}

static bool
steady (const MhMachine *m)
{
  return m->reported && !m->gone && !m->releasing && m->type && m->notice_until_us < 0;
}

/* Room on the machines that stay. */
typedef struct
{
  const MhMachine *machine;
  double cpus, gpus, mem;
} Room;

static bool
fits_elsewhere (MhCore *core, const MhMachine *m)
{
  g_autoptr (GArray) rooms = g_array_new (FALSE, FALSE, sizeof (Room));
  double all = 0, used = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *o = value;
      if (o == m || !steady (o) || o->draining
          || mh_fleet_silent (core, o, core->settings->report_us * 2))
        continue;
      all += o->type->cpus;
      used += o->used_cpus;
      Room r = { .machine = o,
                 .cpus = o->type->cpus - o->used_cpus,
                 .gpus = o->type->gpus - o->used_gpus,
                 .mem = o->type->mem_gb - o->used_mem };
      g_array_append_val (rooms, r);
    }
  if (used + m->used_cpus > all * FULLEST)
    return false;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      const MhJobSpec *s = a->job->spec;
      if (s->shape != MH_SHAPE_SERVICE)
        continue; /* it ends by itself */
      Room *to = NULL;
      for (guint k = 0; k < rooms->len && to == NULL; k++)
        {
          Room *r = &g_array_index (rooms, Room, k);
          if (mh_place_kind_fits (a->job, r->machine->type, r->machine->zone, r->machine->spot)
              && r->cpus + 1e-6 >= s->cpus && r->gpus + 1e-6 >= s->gpus
              && r->mem + 1e-6 >= s->mem_gb && mh_fleet_cached (r->machine, s->image))
            to = r;
        }
      /* Several tasks of one service are spread; moving them is not worth a second look. */
      if (to == NULL || s->tasks > 1
          || (a->running_us == 0 || core->now.mono_us - a->running_us < SETTLED_US))
        return false;
      to->cpus -= s->cpus;
      to->gpus -= s->gpus;
      to->mem -= s->mem_gb;
    }
  return true;
}

/* A machine that holds a few replicas long after the work it was rented for costs as much as a full
   one. Its replicas are moved to where their image is, which takes a moment, and it is given back.
   One machine at a time, and only while nothing waits. */
static void
consolidate (MhCore *core, guint waiting)
{
  MhMachine *best = NULL;
  double best_waste = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (m->draining && (waiting || !fits_elsewhere (core, m)))
        m->draining = false;
      if (!steady (m) || m->attempts->len == 0)
        continue;
      double waste = mh_fleet_hourly (m) * (1 - m->used_cpus / m->type->cpus);
      if (m->draining)
        {
          best = m;
          break;
        }
      if (m->used_cpus > m->type->cpus * EMPTY_ENOUGH
          || core->now.mono_us - m->rented_us < LEAST_PAID_US || waste <= best_waste
          || mh_fleet_replicas (m) == 0 || !fits_elsewhere (core, m))
        continue;
      best = m;
      best_waste = waste;
    }
  if (best == NULL || waiting)
    return;
  if (!best->draining)
    mh_info (core, "machine %s: being emptied: %.0f of %.0f cpus in use", best->name,
             best->used_cpus, best->type->cpus);
  best->draining = true;
  for (guint i = 0; i < best->attempts->len; i++)
    if (mh_machine_attempt (best, i)->job->spec->shape != MH_SHAPE_SERVICE
        || mh_machine_attempt (best, i)->kill)
      return;
  MhAttempt *a = mh_machine_attempt (best, 0);
  mh_fleet_kill (core, a, mh_job_grace_us (a->job));
}

/* ---- renting ---- */

/* A machine that is coming, or one that would have to be rented. */
typedef struct
{
  const MhMachineType *type;
  const char *zone;
  bool spot, wanted;
  double cpus, gpus, mem; /* free */
} Virtual;

static char *
kind_key (const char *type, const char *zone, bool spot)
{
  return g_strdup_printf ("%s/%s/%d", type, zone, spot);
}

static bool
is_refused (MhCore *core, const MhMachineType *t, const char *zone, bool spot)
{
  g_autofree char *key = kind_key (t->name, zone, spot);
  gint64 *until = g_hash_table_lookup (core->scale.refused, key);
  return until && core->now.mono_us < *until;
}

static bool
virtual_fits (const Virtual *v, const MhJob *job)
{
  const MhJobSpec *s = job->spec;
  return mh_place_kind_fits (job, v->type, v->zone, v->spot) && s->cpus <= v->cpus + 1e-6
         && s->gpus <= v->gpus + 1e-6 && s->mem_gb <= v->mem + 1e-6;
}

static void
virtual_take (Virtual *v, const MhJobSpec *s)
{
  v->cpus -= s->cpus;
  v->gpus -= s->gpus;
  v->mem -= s->mem_gb;
}

static guint
machines_in_zone (MhCore *core, const GArray *virtuals, const char *zone)
{
  guint n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      n += !m->gone && !m->releasing && m->reported && m->zone && strcmp (m->zone, zone) == 0;
    }
  for (guint i = 0; i < virtuals->len; i++)
    n += strcmp (g_array_index (virtuals, Virtual, i).zone, zone) == 0;
  return n;
}

/* The kind whose price for what `n` of these tasks would use is the lowest; among equals the zone
   with the fewest machines. */
static bool
choose (MhCore *core, const MhJob *job, guint n, const GArray *virtuals, Virtual *out)
{
  const MhJobSpec *s = job->spec;
  double best = G_MAXDOUBLE;
  guint best_load = 0;
  for (guint i = 0; i < core->types->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (core->types, i);
      for (char **zone = t->zones; zone && *zone; zone++)
        for (int spot = 0; spot < 2; spot++)
          {
            if (!mh_place_kind_fits (job, t, *zone, spot) || is_refused (core, t, *zone, spot))
              continue;
            double slots = MIN (s->cpus > 0 ? t->cpus / s->cpus : n,
                                s->mem_gb > 0 ? t->mem_gb / s->mem_gb : n);
            slots = (double)(guint)(slots + 1e-6);
            /* More of the kind will come: half a machine counts as filled sooner or later. */
            slots = MAX (1, MIN (slots, MAX (n, slots / 2)));
            double cost = (spot ? t->spot_price * SPOT_RISK : t->price) / slots;
            guint load = machines_in_zone (core, virtuals, *zone);
            if (cost < best - 1e-9 || (cost < best + 1e-9 && load < best_load))
              {
                best = cost;
                best_load = load;
                *out = (Virtual){ .type = t,
                                  .zone = *zone,
                                  .spot = spot,
                                  .wanted = true,
                                  .cpus = t->cpus,
                                  .gpus = t->gpus,
                                  .mem = t->mem_gb };
              }
          }
    }
  return best < G_MAXDOUBLE;
}

typedef struct
{
  char *name, *type, *zone;
  bool spot;
  guint count;
} Rental;

static void
rental_free (gpointer data)
{
  Rental *r = data;
  g_free (r->name);
  g_free (r->type);
  g_free (r->zone);
  g_free (r);
}

static void
rent (MhCore *core, Rental *r);

static void
rent_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Rental *r = data;
  g_auto (GStrv) names = status == 200 ? mh_wire_read_rented (body) : NULL;
  guint got = names ? g_strv_length (names) : 0;
  if (status == 200 && names)
    mh_info (core, "rented %u of %u %s%s in %s", got, r->count, r->spot ? "spot " : "", r->type,
             r->zone);
  for (guint i = 0; i < got; i++)
    if (mh_fleet_machine (core, names[i]) == NULL)
      mh_fleet_add (core, names[i], r->type, r->zone, r->spot);
  if ((status == 200 && names) || status == 503 || status == 400)
    {
      if (got < r->count)
        {
          g_autofree char *reason = status == 503 ? mh_value_get_text (body, "error") : NULL;
          bool full = status == 200 || (reason && strcmp (reason, "no capacity") == 0);
          gint64 *until = g_new (gint64, 1);
          *until = core->now.mono_us + (full ? REFUSED_US : 2 * MH_SECOND_US);
          g_hash_table_insert (core->scale.refused, kind_key (r->type, r->zone, r->spot), until);
          mh_info (core, "renting %u %s%s in %s: %s", r->count - got, r->spot ? "spot " : "",
                   r->type, r->zone, full ? "no capacity" : "refused");
        }
      core->scale.renting = false;
      core->scale.step_us = core->now.mono_us;
      return;
    }
  /* Not known, or not now: the same name again, so that nothing is rented twice. */
  core->cloud_pause_us = core->now.mono_us + 300000 + (gint64)(core->now.jitter * 300000);
  Rental *again = g_new0 (Rental, 1);
  *again = *r;
  again->name = g_strdup (r->name);
  again->type = g_strdup (r->type);
  again->zone = g_strdup (r->zone);
  rent (core, again);
}

static void
rent (MhCore *core, Rental *r)
{
  core->scale.renting = true;
  mh_core_call (core, MH_RANK_WORK, mh_wire_rent (r->name, r->type, r->zone, r->spot, r->count), 0,
                CLOUD_TIMEOUT_US, rent_reply, r, rental_free);
}

/* Machines that are coming, as far as they can be counted on. */
static void
add_coming (MhCore *core, GArray *virtuals)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (m->reported || m->gone || m->releasing || m->type == NULL || m->zone == NULL)
        continue;
      if (core->now.mono_us - m->rented_us > 2 * m->type->boot_us + 5 * MH_SECOND_US)
        continue; /* perhaps never */
      Virtual v = { .type = m->type,
                    .zone = m->zone,
                    .spot = m->spot,
                    .cpus = m->type->cpus,
                    .gpus = m->type->gpus,
                    .mem = m->type->mem_gb };
      g_array_append_val (virtuals, v);
    }
}

/* Room that running tasks are expected to leave. */
typedef struct
{
  gint64 at_us;
  double cpus;
} Ending;

static gint
by_end (gconstpointer a, gconstpointer b)
{
  gint64 x = ((const Ending *)a)->at_us, y = ((const Ending *)b)->at_us;
  return x < y ? -1 : x > y;
}

static GArray *
expected_endings (MhCore *core)
{
  GArray *endings = g_array_new (FALSE, FALSE, sizeof (Ending));
  gint64 now = core->now.mono_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (m->gone || m->releasing || !m->reported || m->notice_until_us >= 0)
        continue;
      for (guint i = 0; i < m->attempts->len; i++)
        {
          const MhAttempt *a = mh_machine_attempt (m, i);
          const MhJobSpec *s = a->job->spec;
          if (s->shape == MH_SHAPE_SERVICE)
            continue;
          gint64 whole = mh_place_run_us (core, s);
          gint64 left = a->running_us ? whole - (now - a->running_us)
                                      : whole + mh_place_fetch_us (core, s) - (now - a->placed_us);
          /* One that has outrun its estimate goes on for a part of it. */
          Ending e = { .at_us = now + MAX (left, whole / 4), .cpus = s->cpus };
          g_array_append_val (endings, e);
        }
    }
  g_array_sort (endings, by_end);
  return endings;
}

/* A task that takes room leaves it again. */
static void
add_ending (GArray *endings, guint from, gint64 at_us, const MhJobSpec *s)
{
  Ending e = { .at_us = at_us, .cpus = s->cpus };
  while (from < endings->len && g_array_index (endings, Ending, from).at_us < at_us)
    from++;
  g_array_insert_val (endings, from, e);
}

/* Whether a task may wait for room that running tasks leave: a machine rented now would not be
   there sooner, or the task would still end in time. Takes the room if so. */
static bool
may_wait (MhCore *core, const MhJob *job, GArray *endings, guint *next, double *cpus)
{
  const MhJobSpec *s = job->spec;
  gint64 now = core->now.mono_us;
  if (s->shape == MH_SHAPE_SERVICE)
    return false;
  gint64 soonest = G_MAXINT64;
  for (guint i = 0; i < core->types->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (core->types, i);
      if (mh_place_type_fits (s, t))
        soonest = MIN (soonest, t->boot_us);
    }
  gint64 run = mh_place_run_us (core, s);
  /* Estimates are often wrong by half. */
  gint64 latest = job->start_by_us > now + MH_HOPELESS_US / 2 ? now : job->start_by_us - run / 2;
  /* What a rented machine cannot bring in time any more does not call for one; only a backlog that
     would outlast its boot does. */
  if (latest < now + soonest)
    latest = now + 2 * soonest;
  while (*cpus < s->cpus && *next < endings->len
         && g_array_index (endings, Ending, *next).at_us <= latest)
    {
      Ending *e = &g_array_index (endings, Ending, *next);
      *cpus += e->cpus;
      (*next)++;
      /* The task that takes the room leaves it again. */
      add_ending (endings, *next, e->at_us + run + mh_place_fetch_us (core, s) / 2, s);
    }
  if (*cpus < s->cpus)
    return false;
  *cpus -= s->cpus;
  return true;
}

/* What waits is laid out on the machines that are coming and on the room that running tasks leave;
   where they do not do, more are wanted. */
static void
plan (MhCore *core, GArray *virtuals)
{
  g_autoptr (GArray) endings = expected_endings (core);
  guint next_ending = 0;
  double ended_cpus = 0;
  g_autoptr (GPtrArray) queue = mh_place_queue (core);
  g_autoptr (GHashTable) asked = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  guint looked_at = 0;
  for (guint i = 0; i < queue->len; i++)
    {
      const MhJob *job = g_ptr_array_index (queue, i);
      const MhJobSpec *s = job->spec;
      MhUse *use = g_hash_table_lookup (asked, s->team);
      if (use == NULL)
        {
          use = g_new0 (MhUse, 1);
          g_hash_table_insert (asked, s->team, use);
        }
      for (guint n = mh_job_pending (job); n > 0 && looked_at < TASKS_LOOKED_AT; n--, looked_at++)
        {
          if (!mh_place_quota_fits (core, job, use->cpus + s->cpus, use->gpus + s->gpus))
            break;
          Virtual *v = NULL;
          for (guint j = 0; j < virtuals->len && v == NULL; j++)
            if (virtual_fits (&g_array_index (virtuals, Virtual, j), job))
              v = &g_array_index (virtuals, Virtual, j);
          if (v == NULL && may_wait (core, job, endings, &next_ending, &ended_cpus))
            {
              use->cpus += s->cpus;
              use->gpus += s->gpus;
              continue;
            }
          if (v == NULL)
            {
              Virtual fresh;
              if (!choose (core, job, n, virtuals, &fresh))
                break;
              g_array_append_val (virtuals, fresh);
              v = &g_array_index (virtuals, Virtual, virtuals->len - 1);
            }
          virtual_take (v, s);
          if (s->shape != MH_SHAPE_SERVICE)
            add_ending (endings, next_ending,
                        core->now.mono_us + v->type->boot_us + mh_place_run_us (core, s)
                            + mh_place_fetch_us (core, s),
                        s);
          use->cpus += s->cpus;
          use->gpus += s->gpus;
        }
    }
}

static void
rent_wanted (MhCore *core, const GArray *virtuals)
{
  const Virtual *first = NULL;
  guint count = 0;
  for (guint i = 0; i < virtuals->len; i++)
    {
      const Virtual *v = &g_array_index (virtuals, Virtual, i);
      if (!v->wanted)
        continue;
      if (first == NULL)
        first = v;
      count
          += v->type == first->type && v->spot == first->spot && strcmp (v->zone, first->zone) == 0;
    }
  if (first == NULL)
    return;
  Rental *r = g_new0 (Rental, 1);
  /* The epoch is this leadership's alone, so the name was never used before. */
  r->name = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, core->leader.load_epoch,
                             ++core->scale.rentals);
  r->type = g_strdup (first->type->name);
  r->zone = g_strdup (first->zone);
  r->spot = first->spot;
  r->count = MIN (count, RENT_MOST);
  rent (core, r);
}

/* Machines that an earlier leader rented show up only when the list does. */
static bool
may_rent (const MhCore *core)
{
  return core->leader.rebuilt && core->types && core->scale.listed && !core->scale.renting
         && (core->leader.load_epoch == 1
             || core->now.mono_us - core->leader.since_us > core->settings->list_lag_us);
}

/* One line for the operator: what is paid for and what it does. */
static void
tell_fleet (MhCore *core)
{
  guint live = 0, coming = 0, idle = 0, leaving = 0;
  double all = 0, used = 0, an_hour = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (m->gone)
        continue;
      leaving += m->releasing;
      an_hour += m->type ? mh_fleet_hourly (m) : 0;
      live += m->reported && !m->releasing;
      coming += !m->reported && !m->releasing;
      idle += m->reported && !m->releasing && m->attempts->len == 0;
      if (m->type && m->reported && !m->releasing)
        {
          all += m->type->cpus;
          used += m->used_cpus;
        }
    }
  mh_info (
      core,
      "fleet: %u machines (%u idle), %u coming, %u leaving, %.2f an hour; %.0f of %.0f cpus in "
      "use; %u tasks waiting",
      live, idle, coming, leaving, an_hour, used, all, tasks_waiting (core));
}

void
mh_scale_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  if (now >= core->scale.tell_us)
    {
      core->scale.tell_us = now + TELL_US;
      tell_fleet (core);
    }
  if (!core->scale.types_busy && now >= core->scale.types_us)
    {
      core->scale.types_busy = true;
      mh_core_call (core, MH_RANK_WORK, mh_wire_machine_types (), 0, CLOUD_TIMEOUT_US, types_reply,
                    NULL, NULL);
    }
  if (!core->scale.list_busy && now >= core->scale.list_us)
    list_page (core, NULL);
  send_releases (core);
  if (now < core->scale.step_us)
    return;
  core->scale.step_us = now + STEP_US;
  if (may_rent (core))
    {
      g_autoptr (GArray) virtuals = g_array_new (FALSE, FALSE, sizeof (Virtual));
      add_coming (core, virtuals);
      plan (core, virtuals);
      rent_wanted (core, virtuals);
    }
  if (core->leader.rebuilt)
    consolidate (core, tasks_waiting (core));
  return_idle (core);
}
