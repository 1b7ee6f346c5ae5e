/* Gangs (gang scheduling): jobs whose tasks all run at the same time, or none does. One attempt
   number for all tasks; places for all in one pass or for none; whatever ends one task ends the
   attempt; the next one begins when every task of the last is proven gone. KEP-895's spread is
   about services and does not apply here. */
#include "controller/core-private.h"

#include <string.h>

/* Of the time that the workers wait for a gang to be complete: it is taken back before they give
   up, and is not put where its images come further apart. */
#define WAIT_SHARE 0.8
#define APART_SHARE 0.6
/* A machine on which the image did not come in time takes nothing for so long. */
#define LATE_IMAGE_US (30 * MH_SECOND_US)
/* What is free in its best zone is held for a gang that waits, until machines rented for the rest
   have had the time to come; after that only when it is starved. */
#define HOLD_US (90 * MH_SECOND_US)
/* Waits for images that differ by less are alike. */
#define WAIT_STEP_US (2 * MH_SECOND_US)
#define LOOK_US MH_SECOND_US

/* ---- can it ever run ---- */

/* All tasks at once, with the zones that it allows and that its types are offered in. */
bool
mh_gang_possible (const MhCore *core, const MhJobSpec *s)
{
  if (!s->spread_over_zones || s->tasks == 1)
    return true;
  if (s->single_zone || s->zone)
    return false;
  const char *first = NULL;
  for (guint i = 0; mh_cluster_types (core) && i < mh_cluster_types (core)->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (mh_cluster_types (core), i);
      for (char **zone = t->zones; mh_place_type_fits (s, t) && zone && *zone; zone++)
        if (first && strcmp (first, *zone) != 0)
          return true;
        else
          first = *zone;
    }
  return false;
}

/* ---- the life of an attempt ---- */

GHashTable *
mh_gang_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
mh_gang_clear (MhCore *core)
{
  g_hash_table_remove_all (core->gangs);
}

static void
settle_later (MhCore *core, const MhJob *job)
{
  g_hash_table_add (core->gangs, g_strdup (job->spec->id));
}

/* What follows for the others is done in the next step: the caller may be walking over them. */
void
mh_gang_task_over (MhCore *core, MhJob *job, bool done)
{
  job->ending |= !done;
  settle_later (core, job);
}

void
mh_gang_loaded (MhCore *core, MhJob *job)
{
  /* A task that is done, or over, on record: so is the attempt. */
  if (job->n_done || (job->n_live && job->n_live < job->spec->tasks))
    mh_gang_task_over (core, job, job->n_done > 0);
}

/* Where a machine cannot be told directly, its next report may come too late for the gang to save
   together. */
static void
log_if_unreachable (MhCore *core, const MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *a = job->tasks[i].live;
      if (a == NULL || !mh_attempt_start_was_sent (a)
          || mh_direct_command_can_send (core, a->machine))
        continue;
      mh_info (core,
               "gang %s: %s cannot be told at once; what was done since the last checkpoint "
               "may be lost",
               job->spec->id, a->machine->name);
      return;
    }
}

/* All tasks are told together, with the time to save and to wait for each other. */
void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us)
{
  bool saves = grace_us > 0 && job->n_running;
  if (saves && !job->ending)
    log_if_unreachable (core, job);
  job->ending = true;
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *a = job->tasks[i].live;
      if (a)
        mh_attempt_send_stop (core, a, saves ? grace_us + core->settings->gang_peer_us : 0);
    }
  settle_later (core, job);
}

/* They complete together: if one task is done, all are. */
static void
complete (MhCore *core, MhJob *job)
{
  job->ending = false;
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_proven_over (core, job->tasks[i].live, true);
    else if (job->tasks[i].state != MH_TASK_DONE)
      mh_attempt_task_done (core, job, i);
}

/* The attempt is over: what is left of it would wait for the others, or notice that one is gone. */
static void
end (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    {
      MhAttempt *a = job->tasks[i].live;
      if (a == NULL)
        continue;
      if (!mh_attempt_start_was_sent (a) && !mh_attempt_is_from_record (a))
        mh_attempt_proven_over (core, a, false);
      else if (!mh_attempt_is_stopping (a))
        mh_attempt_send_stop (core, a, 0);
    }
  if (job->n_live == 0)
    {
      job->ending = false;
      job->gathering_us = 0;
    }
}

static void
settle (MhCore *core, MhJob *job)
{
  if (job->n_done && !job->cancelled)
    complete (core, job);
  else
    end (core, job);
}

/* One that is not complete when the workers are about to give up would only begin to wait again. */
static void
take_back (MhCore *core, MhJob *job)
{
  gint64 now = core->now.mono_us;
  if (job->gathering_us == 0 || job->n_running || job->ending || mh_job_over (job)
      || now - job->gathering_us < (gint64)((double)core->settings->gang_wait_us * WAIT_SHARE))
    return;
  mh_info (core, "gang %s: not complete after %.0f s; taken back", job->spec->id,
           (double)(now - job->gathering_us) / MH_SECOND_US);
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *a = job->tasks[i].live;
      if (a && a->phase == MH_TASK_PHASE_FETCHING_IMAGE)
        a->machine->no_start_before_us = now + LATE_IMAGE_US;
    }
  mh_gang_stop (core, job, 0);
}

void
mh_gang_step (MhCore *core)
{
  /* What is done for one may add to the table. */
  g_autoptr (GHashTable) ids = g_steal_pointer (&core->gangs);
  core->gangs = mh_gang_table ();
  GHashTableIter it;
  gpointer id, job;
  g_hash_table_iter_init (&it, ids);
  while (g_hash_table_iter_next (&it, &id, NULL))
    if ((job = g_hash_table_lookup (core->jobs, id)) && !((MhJob *)job)->finished)
      settle (core, job);
  if (core->now.mono_us < core->gangs_looked_us + LOOK_US)
    return;
  core->gangs_looked_us = core->now.mono_us;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (mh_job_is_gang (job))
      take_back (core, job);
}

/* ---- places for all, or for none ---- */

typedef enum
{
  ROOM_NOW,
  ROOM_SOON, /* and what is being stopped leaves */
  ROOM_MADE, /* and what could be stopped would leave */
  N_ROOMS
} Room;

/* A machine, and how many tasks it has room for. */
typedef struct
{
  MhMachine *machine;
  guint slots[N_ROOMS];
  guint taken;
  gint64 wait_us;
  double cost; /* of a task there, where room has to be made; see weigh() */
} Site;

typedef struct
{
  MhCore *core;
  MhJob *job;
  GArray *sites;    /* Site, in the order in which they are taken */
  GPtrArray *zones; /* distinct, interned */
} Search;

static guint
slots_in (const MhSpace *x, const MhJobSpec *s)
{
  return mh_place_times (
      x->cpus, s->cpus,
      mh_place_times (x->gpus, s->gpus, mh_place_times (x->mem, s->mem_gb, s->tasks)));
}

/* The gang begins with its last image; then the cheapest, the one with the least room, the name. */
static gint
by_site (gconstpointer a, gconstpointer b)
{
  const Site *x = a, *y = b;
  gint64 wx = x->wait_us / WAIT_STEP_US, wy = y->wait_us / WAIT_STEP_US;
  if (wx != wy)
    return wx < wy ? -1 : 1;
  double px = mh_machine_hourly_cpu_price (x->machine),
         py = mh_machine_hourly_cpu_price (y->machine);
  if (px != py)
    return px < py ? -1 : 1;
  if (x->slots[ROOM_NOW] != y->slots[ROOM_NOW])
    return x->slots[ROOM_NOW] < y->slots[ROOM_NOW] ? -1 : 1;
  return strcmp (x->machine->name, y->machine->name);
}

static gint
by_cost (gconstpointer a, gconstpointer b)
{
  const Site *x = a, *y = b;
  if (x->cost != y->cost)
    return x->cost < y->cost ? -1 : 1;
  return by_site (a, b);
}

static void
look (Search *f, const GPtrArray *usable)
{
  const MhJobSpec *s = f->job->spec;
  for (guint i = 0; i < usable->len; i++)
    {
      MhMachine *m = g_ptr_array_index (usable, i);
      if ((m->spot && !s->spot) || (f->job->zone && f->job->zone != m->zone)
          || !mh_place_type_fits (s, m->type))
        continue;
      MhSpace now = mh_place_free (m), could, soon = mh_place_space (f->job, m, &could);
      Site site = { .machine = m,
                    .slots = { slots_in (&now, s), slots_in (&soon, s),
                               s->gpus > 0 ? 0 : slots_in (&could, s) } };
      if (site.slots[ROOM_NOW] + site.slots[ROOM_SOON] + site.slots[ROOM_MADE] == 0)
        continue;
      site.wait_us = mh_machine_image_wait_us (f->core, m, f->job->image, s->image_gb);
      g_array_append_val (f->sites, site);
      if (!g_ptr_array_find (f->zones, m->zone, NULL))
        g_ptr_array_add (f->zones, m->zone);
    }
  g_array_sort (f->sites, by_site);
}

/* What tasks of the gang were given, and what that means for it. */
typedef struct
{
  guint tasks;
  gint64 last_us; /* the last image comes then */
  double cost;
} Taken;

/* Takes room for as many tasks as there is in the zone (NULL: in all), at most half in one zone
   where the gang is scattered. The first image and the last must come within what the workers wait.
 */
static Taken
take (Search *f, const char *zone, Room room)
{
  const MhJobSpec *s = f->job->spec;
  guint most = s->spread_over_zones ? (s->tasks + 1) / 2 : s->tasks;
  g_autofree guint *in_zone = g_new0 (guint, f->zones->len + 1);
  gint64 first = G_MAXINT64,
         apart = (gint64)((double)f->core->settings->gang_wait_us * APART_SHARE);
  Taken taken = { 0 };
  for (guint i = 0; i < f->sites->len; i++)
    {
      Site *site = &g_array_index (f->sites, Site, i);
      guint z = 0;
      site->taken = 0;
      if ((zone && site->machine->zone != zone) || site->slots[room] == 0
          || taken.tasks == s->tasks)
        continue;
      if (taken.tasks && MAX (taken.last_us, site->wait_us) - MIN (first, site->wait_us) > apart)
        continue;
      g_ptr_array_find (f->zones, site->machine->zone, &z);
      site->taken = MIN (MIN (site->slots[room], s->tasks - taken.tasks), most - in_zone[z]);
      if (site->taken == 0)
        continue;
      in_zone[z] += site->taken;
      taken.tasks += site->taken;
      taken.cost += site->cost * site->taken;
      first = MIN (first, site->wait_us);
      taken.last_us = MAX (taken.last_us, site->wait_us);
    }
  return taken;
}

static bool
better (Room room, const Taken *a, const Taken *b)
{
  if (room == ROOM_MADE && a->cost != b->cost)
    return a->cost < b->cost;
  return a->last_us < b->last_us;
}

/* The best zone in which all tasks have room of that kind, taken. False: there is none, or none
   where the last image comes within `wait_us`. */
static bool
take_best (Search *f, Room room, gint64 wait_us)
{
  Taken best = { 0 };
  const char *best_zone = NULL;
  bool found = false;
  guint groups = f->job->spec->single_zone ? f->zones->len : MIN (f->zones->len, 1);
  for (guint i = 0; i < groups; i++)
    {
      const char *zone = f->job->spec->single_zone ? g_ptr_array_index (f->zones, i) : NULL;
      Taken taken = take (f, zone, room);
      if (taken.tasks < f->job->spec->tasks || taken.last_us > wait_us
          || (found && !better (room, &taken, &best)))
        continue;
      best = taken;
      best_zone = zone;
      found = true;
    }
  if (found)
    take (f, best_zone, room);
  return found;
}

/* Where room has to be made, what is lost counts, and the wait for the image as work of the gang
   itself. By the image alone, long runs of arrays were stopped while others beside them had just
   begun, and one task that has to run again makes its whole array late. */
static void
weigh (Search *f)
{
  const MhJobSpec *s = f->job->spec;
  double urgency = mh_place_loss (s, 1);
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < f->sites->len; i++)
    {
      Site *site = &g_array_index (f->sites, Site, i);
      guint n = MIN (site->slots[ROOM_MADE], s->tasks);
      if (n == 0)
        continue;
      MhSpace could, soon = mh_place_space (f->job, site->machine, &could);
      double loss = mh_place_victims (f->core, f->job, site->machine, soon, n, victims);
      site->cost = loss / n + urgency * (double)site->wait_us / MH_SECOND_US;
    }
  g_array_sort (f->sites, by_cost);
}

static void
start (Search *f)
{
  MhJob *job = f->job;
  guint32 attempt = 0;
  guint index = 0;
  for (guint i = 0; i < job->spec->tasks; i++)
    attempt = MAX (attempt, job->tasks[i].attempt);
  job->ending = false;
  job->gathering_us = 0;
  for (guint i = 0; i < f->sites->len; i++)
    {
      const Site *site = &g_array_index (f->sites, Site, i);
      for (guint k = 0; k < site->taken; k++)
        mh_place_start (f->core, job, index++, attempt + 1, site->machine, MH_URGENCY_USER);
    }
}

static void
promise_taken (Search *f)
{
  for (guint i = 0; i < f->sites->len; i++)
    {
      const Site *site = &g_array_index (f->sites, Site, i);
      if (site->taken)
        mh_place_promise (site->machine, f->job->spec, site->taken);
    }
}

static void
stop_victims (Search *f, const Site *site, GPtrArray *victims)
{
  MhSpace could, soon = mh_place_space (f->job, site->machine, &could);
  mh_place_victims (f->core, f->job, site->machine, soon, site->taken, victims);
  for (guint i = 0; i < victims->len; i++)
    {
      MhAttempt *a = g_ptr_array_index (victims, i);
      mh_info (f->core, "task %s/%u: stopped on %s to make room for gang %s", a->job->spec->id,
               a->index, site->machine->name, f->job->spec->id);
      mh_attempt_stop (f->core, a, mh_job_grace_us (a->job));
    }
}

/* Stops lesser work for as many tasks as there is no room for. */
static bool
make_room (Search *f, gint64 wait_us)
{
  weigh (f);
  if (!take_best (f, ROOM_MADE, wait_us))
    return false;
  g_autoptr (GPtrArray) victims = g_ptr_array_new ();
  for (guint i = 0; i < f->sites->len; i++)
    {
      const Site *site = &g_array_index (f->sites, Site, i);
      if (site->taken > site->slots[ROOM_SOON])
        stop_victims (f, site, victims);
    }
  promise_taken (f);
  return true;
}

/* Holds what is free where it has the most of it: machines come and fall free one by one, and each
   would be taken by smaller work before the next one is there. */
static void
hold (Search *f)
{
  const char *best = NULL;
  guint most = 0;
  for (guint i = 0; i < f->zones->len; i++)
    {
      const char *zone = g_ptr_array_index (f->zones, i);
      guint n = take (f, zone, ROOM_NOW).tasks;
      if (n > most)
        {
          most = n;
          best = zone;
        }
    }
  if (best == NULL)
    return;
  f->job->held = take (f, best, ROOM_NOW).tasks;
  f->job->held_zone = f->job->spec->single_zone ? best : NULL;
  promise_taken (f);
}

/* Room that is being made, or can be, where the last image comes within `wait_us`. */
static bool
wait_for_room (Search *f, bool may_preempt, gint64 wait_us, MhGangPlaced *placed)
{
  *placed = MH_GANG_WAITS;
  if (take_best (f, ROOM_SOON, wait_us))
    {
      promise_taken (f);
      return true;
    }
  if (!may_preempt || !make_room (f, wait_us))
    return false;
  *placed = MH_GANG_PREEMPTED;
  return true;
}

static MhGangPlaced
place (Search *f, bool may_preempt)
{
  MhJob *job = f->job;
  MhGangPlaced placed;
  /* Like a service, an urgent gang that would come too late by its image rather takes the room of
     lesser work where the image is. */
  gint64 patience = job->spec->priority >= MH_PRIORITY_HIGH
                        ? MAX (mh_queue_patience_us (f->core, job), 0)
                        : G_MAXINT64;
  if (take_best (f, ROOM_NOW, patience))
    {
      start (f);
      return MH_GANG_STARTED;
    }
  if (patience < G_MAXINT64 && wait_for_room (f, may_preempt, patience, &placed))
    return placed;
  if (take_best (f, ROOM_NOW, G_MAXINT64))
    {
      start (f);
      return MH_GANG_STARTED;
    }
  if (wait_for_room (f, may_preempt, G_MAXINT64, &placed))
    return placed;
  if (job->starved || f->core->now.mono_us - job->wanted_us < HOLD_US)
    hold (f);
  return MH_GANG_WAITS;
}

MhGangPlaced
mh_gang_place (MhCore *core, MhJob *job, const GPtrArray *usable, bool may_preempt)
{
  const MhJobSpec *s = job->spec;
  job->held = 0;
  job->held_zone = NULL;
  if (job->n_live || job->ending
      || !mh_place_quota_fits (core, job, s->cpus * s->tasks, s->gpus * s->tasks))
    return MH_GANG_WAITS;
  Search f = { .core = core,
               .job = job,
               .sites = g_array_new (FALSE, FALSE, sizeof (Site)),
               .zones = g_ptr_array_new () };
  look (&f, usable);
  MhGangPlaced placed = place (&f, may_preempt);
  g_array_unref (f.sites);
  g_ptr_array_unref (f.zones);
  return placed;
}
