/* The plan of rentals: what waits is laid out on machines that are coming and on room that running
   tasks will leave. */
#include "controller/core-private.h"

#include <string.h>

/* Spot machines are taken back now and then, with what they run: their price counts as this much
   more. */
#define SPOT_RISK 1.3

/* A kind of machine that can be rented, and how many are in its zone. */
typedef struct
{
  const MhMachineType *type;
  GRefString *zone;
  bool spot;
  guint *load; /* of the zone; shared */
} Kind;

typedef struct
{
  GArray *rooms;     /* MhRoom */
  GArray *kinds;     /* Kind */
  GHashTable *loads; /* zone -> guint */
  GArray *endings;   /* Ending */
  guint next_ending;
  double ended_cpus;
  double lost_cpus; /* left of core->scale.lost_cpus */
} Plan;

static void
kind_clear (gpointer data)
{
  g_ref_string_release (((Kind *)data)->zone);
}

/* The rooms outlive the plan. */
static void
room_clear (gpointer data)
{
  g_ref_string_release ((GRefString *)((MhRoom *)data)->zone);
}

static guint *
zone_load (Plan *plan, const char *zone)
{
  guint *n = g_hash_table_lookup (plan->loads, zone);
  if (n == NULL)
    {
      n = g_new0 (guint, 1);
      g_hash_table_insert (plan->loads, g_strdup (zone), n);
    }
  return n;
}

static void
list_kinds (MhCore *core, Plan *plan)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (!mh_machine_is_releasing (m) && m->heartbeat.reported && m->zone)
        (*zone_load (plan, m->zone))++;
    }
  for (guint i = 0; i < plan->rooms->len; i++)
    (*zone_load (plan, g_array_index (plan->rooms, MhRoom, i).zone))++;
  for (guint i = 0; i < mh_cluster_types (core)->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (mh_cluster_types (core), i);
      for (char **zone = t->zones; zone && *zone; zone++)
        for (int spot = 0; spot < 2; spot++)
          {
            g_autoptr (GRefString) name = g_ref_string_new_intern (*zone);
            /* What comes up in a zone that is cut off is of no use until that is over. */
            if (mh_rental_refused (core, t, *zone, spot) || mh_zone_is_partitioned (core, name))
              continue;
            Kind k = { .type = t,
                       .zone = g_ref_string_acquire (name),
                       .spot = spot,
                       .load = zone_load (plan, *zone) };
            g_array_append_val (plan->kinds, k);
          }
    }
}

/* What a slot of the kind costs an hour, filled with `n` of these tasks. More of the kind will
   come: half a machine counts as filled sooner or later. */
static double
slot_price (const Kind *kind, const MhJobSpec *s, guint n)
{
  const MhMachineType *t = kind->type;
  double by_cpus = s->cpus > 0 ? t->cpus / s->cpus : n;
  double by_memory = s->mem_gb > 0 ? t->mem_gb / s->mem_gb : n;
  double slots = (double)(guint)(MIN (by_cpus, by_memory) + 1e-6);
  slots = MAX (1, MIN (slots, MAX (n, slots / 2)));
  return (kind->spot ? t->spot_price * SPOT_RISK : t->price) / slots;
}

/* Among equals the zone with the fewest machines. */
static const Kind *
cheapest_kind (const Plan *plan, const MhJob *job, const char *zone, guint n)
{
  double best_price = G_MAXDOUBLE;
  const Kind *best = NULL;
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const Kind *kind = &g_array_index (plan->kinds, Kind, i);
      MhRoom r = mh_room_new (kind->type, kind->zone, kind->spot);
      if (!mh_room_of_kind (&r, job, zone))
        continue;
      double price = slot_price (kind, job->spec, n);
      bool equal = price < best_price + 1e-9;
      if (best == NULL || price < best_price - 1e-9 || (equal && *kind->load < *best->load))
        {
          best_price = price;
          best = kind;
        }
    }
  return best;
}

/* A machine that is wanted for these tasks; NULL: none can be had. */
static MhRoom *
choose (Plan *plan, const MhJob *job, const char *zone, guint n)
{
  const Kind *kind = cheapest_kind (plan, job, zone, n);
  if (kind == NULL)
    return NULL;
  (*kind->load)++;
  MhRoom r = mh_room_new (kind->type, g_ref_string_acquire (kind->zone), kind->spot);
  r.wanted = true;
  g_array_append_val (plan->rooms, r);
  return &g_array_index (plan->rooms, MhRoom, plan->rooms->len - 1);
}

/* Machines that are coming, as far as they can be counted on. */
static void
add_coming (MhCore *core, GArray *rooms)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (m->heartbeat.reported || mh_machine_is_releasing (m) || m->type == NULL
          || m->zone == NULL)
        continue;
      if (m->boot.late_age_us)
        continue; /* perhaps it never comes */
      MhRoom r = mh_room_new (m->type, g_ref_string_acquire (m->zone), m->spot);
      g_array_append_val (rooms, r);
    }
}

/* MhRoom that running tasks are expected to leave. */
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

static void
expected_endings (MhCore *core, GArray *endings)
{
  gint64 now = core->now.mono_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (mh_machine_is_releasing (m) || !m->heartbeat.reported || m->notice_until_us >= 0)
        continue;
      for (guint i = 0; i < m->attempts->len; i++)
        {
          const MhAttempt *a = mh_machine_attempt (m, i);
          const MhJobSpec *s = a->job->spec;
          if (s->shape == MH_SHAPE_SERVICE)
            continue;
          gint64 whole = a->job->placement.expected_run_us;
          gint64 left = a->running_since_us
                            ? whole - (now - a->running_since_us)
                            : whole + a->job->placement.expected_fetch_us - (now - a->placed_us);
          /* One that has outrun its estimate goes on for a part of it. */
          Ending e = { .at_us = now + MAX (left, whole / 4), .cpus = s->cpus };
          g_array_append_val (endings, e);
        }
    }
  g_array_sort (endings, by_end);
}

/* Tasks that take room leave it again. */
static void
add_ending (Plan *plan, gint64 at_us, double cpus)
{
  Ending e = { .at_us = at_us, .cpus = cpus };
  guint from = plan->next_ending, to = plan->endings->len;
  while (from < to)
    {
      guint mid = (from + to) / 2;
      if (g_array_index (plan->endings, Ending, mid).at_us < at_us)
        from = mid + 1;
      else
        to = mid;
    }
  g_array_insert_val (plan->endings, from, e);
}

/* How many of `n` tasks may wait for room that running tasks leave: machines rented now would not
   be there sooner, or the tasks would still end in time. Takes the room. */
static guint
may_wait (MhCore *core, Plan *plan, const MhJob *job, guint n)
{
  const MhJobSpec *s = job->spec;
  gint64 now = core->now.mono_us;
  if (s->shape != MH_SHAPE_ARRAY)
    return 0;
  gint64 soonest = G_MAXINT64;
  for (guint i = 0; i < mh_cluster_types (core)->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (mh_cluster_types (core), i);
      if (mh_job_spec_fits_type (s, t))
        soonest = MIN (soonest, t->boot_us);
    }
  /* Estimates are often wrong by half. */
  gint64 latest = job->placement.objectives_missed
                      ? now
                      : job->placement.latest_start_us - job->placement.expected_run_us / 2;
  /* What a rented machine cannot bring in time any more does not call for one; only a backlog that
     would outlast its boot does. */
  if (latest < now + soonest)
    latest = now + 2 * soonest;
  guint waiting = 0;
  while (waiting < n)
    {
      guint k = mh_resource_slots (plan->ended_cpus, s->cpus, n - waiting);
      if (k)
        {
          plan->ended_cpus -= s->cpus * k;
          waiting += k;
          continue;
        }
      if (plan->next_ending >= plan->endings->len)
        break;
      const Ending e = g_array_index (plan->endings, Ending, plan->next_ending);
      if (e.at_us > latest)
        break;
      plan->ended_cpus += e.cpus;
      plan->next_ending++;
      /* The task that takes the room leaves it again. */
      add_ending (plan,
                  e.at_us + job->placement.expected_run_us + job->placement.expected_fetch_us / 2,
                  e.cpus);
    }
  return waiting;
}

/* What of a job's tasks has found room in the plan, and where the rest may go. */
typedef struct
{
  const MhJob *job;
  const char *zone; /* the only one; NULL: any */
  guint left;
} Assignment;

/* Puts as many tasks there as there is room for, and expects them to leave again. */
static guint
assign (const MhCore *core, Plan *plan, Assignment *assignment, MhRoom *room)
{
  const MhJob *job = assignment->job;
  const MhJobSpec *s = job->spec;
  guint n = mh_room_for (room, s, assignment->left);
  if (n == 0)
    return 0;
  mh_room_take (room, s, n);
  if (s->single_zone)
    assignment->zone = room->zone;
  assignment->left -= n;
  if (s->shape != MH_SHAPE_SERVICE)
    add_ending (plan,
                core->now.mono_us + room->type->boot_us + job->placement.expected_run_us
                    + job->placement.expected_fetch_us,
                s->cpus * n);
  return n;
}

/* What failed machines ran has to run again beside all that keeps coming: room that others leave is
   not enough for both. With 279 of 590 machines cut off, nothing was rented for 45 s, since what
   waited could never have been in time. */
static guint
to_run_again (Plan *plan, const MhJobSpec *s, guint n)
{
  if (s->shape == MH_SHAPE_SERVICE)
    return 0;
  guint again = mh_resource_slots (MAX (plan->lost_cpus, 0), s->cpus, n);
  plan->lost_cpus -= s->cpus * again;
  return again;
}

static void
assign_tasks (MhCore *core, Plan *plan, const MhJob *job, guint n)
{
  /* Tasks that stay together go to one zone, which their first room decides: what was rented for
     them elsewhere, while some ran, was of no use to them, and they waited on. */
  Assignment assignment = { .job = job, .zone = mh_filter_required_zone (job), .left = n };
  /* What is held for a gang is there already, and the rest has to come beside it. One that is being
     stopped will find its own room again. */
  if (mh_job_is_gang (job))
    {
      if (job->n_live || n < job->spec->tasks)
        return;
      assignment.left -= MIN (n, job->gang.held_tasks);
      if (job->gang.held_zone)
        assignment.zone = job->gang.held_zone;
    }
  for (guint i = 0; i < plan->rooms->len && assignment.left; i++)
    {
      MhRoom *room = &g_array_index (plan->rooms, MhRoom, i);
      if (mh_room_of_kind (room, job, assignment.zone))
        assign (core, plan, &assignment, room);
    }
  guint again = to_run_again (plan, job->spec, assignment.left);
  assignment.left -= may_wait (core, plan, job, assignment.left - again);
  while (assignment.left)
    {
      MhRoom *room = choose (plan, job, assignment.zone, assignment.left);
      if (room == NULL || assign (core, plan, &assignment, room) == 0)
        return;
    }
}

static void
learn_times (MhCore *core)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      job->placement.expected_run_us
          = mh_runtime_estimator_run_us (core->runtime_estimator, job->spec);
      job->placement.expected_fetch_us = mh_job_spec_fetch_us (job->spec, mh_cluster_types (core));
    }
}

/* What waits is laid out on the machines that are coming and on the room that running tasks leave;
   where they do not do, more are wanted. */
static void
plan_rooms (MhCore *core, Plan *plan)
{
  /* A hundred jobs that come at once are on record only seconds later, and machines take long to
     come. But what is not on record has not been placed either: once there are machines, those jobs
     may find room on them, and machines were rented for each beside free ones. */
  MhJobQueueScope scope = mh_zone_any_heard (core) ? MH_JOB_QUEUE_ACCEPTED : MH_JOB_QUEUE_ALL;
  g_autoptr (GPtrArray) queue = mh_job_queue_pending (core, scope);
  if (queue->len == 0)
    return;
  g_autoptr (GHashTable) asked = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  learn_times (core);
  add_coming (core, plan->rooms);
  list_kinds (core, plan);
  expected_endings (core, plan->endings);
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
      /* Machines once were rented for all tasks of jobs that fail everywhere, and stood idle. */
      guint n = mh_quota_allowed_tasks (core->settings, mh_cluster_team_use (core, job->spec->team),
                                        job, use, mh_task_failure_rentable (core, job));
      use->cpus += s->cpus * n;
      use->gpus += s->gpus * n;
      if (n > 0)
        assign_tasks (core, plan, job, n);
    }
}

GArray *
mh_demand_plan (MhCore *core)
{
  Plan plan = { .lost_cpus = core->scale.lost_cpus,
                .rooms = g_array_new (FALSE, FALSE, sizeof (MhRoom)),
                .kinds = g_array_new (FALSE, FALSE, sizeof (Kind)),
                .loads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
                .endings = g_array_new (FALSE, FALSE, sizeof (Ending)) };
  g_array_set_clear_func (plan.rooms, room_clear);
  g_array_set_clear_func (plan.kinds, kind_clear);
  plan_rooms (core, &plan);
  g_array_unref (plan.kinds);
  g_array_unref (plan.endings);
  g_hash_table_unref (plan.loads);
  return plan.rooms;
}
