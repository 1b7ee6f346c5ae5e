/* Emptying machines that do little. */
#include "controller/core-private.h"

/* A machine is emptied when no more of it is in use, and the others would not be fuller than this.
   Replicas younger than this are left alone: a start that is undone at once is none. */
#define EMPTY_ENOUGH 0.5
#define FULLEST 0.85
#define EMPTIED_AT_ONCE (1 / 32.0) /* of the machines; at least one */
#define EMPTIED_LOOKED_AT 8u       /* in one step */
#define SETTLED_US (35 * MH_SECOND_US)

static bool
steady (const MhMachine *m)
{
  return m->reported && !m->releasing && m->type && m->notice_until_us < 0;
}

/* The machines that stay, and how much of them is in use. */
typedef struct
{
  GArray *rooms; /* MhCapacityEstimate */
  double all, used;
} Staying;

static void
look_for_room (MhCore *core, Staying *staying)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (!steady (m) || m->draining || mh_fleet_silent (core, m, core->settings->report_us * 2))
        continue;
      staying->all += m->type->cpus;
      staying->used += m->used_cpus;
      MhCapacityEstimate r = mh_capacity_estimate_for_type (m->type, m->zone, m->spot);
      r.machine = m;
      r.cpus -= m->used_cpus;
      r.gpus -= m->used_gpus;
      r.mem -= m->used_mem;
      g_array_append_val (staying->rooms, r);
    }
}

/* Whether everything on `m` has a place where its image is, on machines that stay; if so, the place
   is taken, and the machine's own room is no longer one. */
static bool
fits_elsewhere (MhCore *core, const MhMachine *m, Staying *staying)
{
  g_autoptr (GArray) rooms = g_array_copy (staying->rooms);
  double own = m->draining ? 0 : m->type->cpus, moved = m->draining ? m->used_cpus : 0;
  if (staying->used + moved > (staying->all - own) * FULLEST)
    return false;
  for (guint k = 0; k < rooms->len; k++)
    if (g_array_index (rooms, MhCapacityEstimate, k).machine == m)
      {
        g_array_remove_index_fast (rooms, k);
        break;
      }
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      const MhJobSpec *s = a->job->spec;
      if (s->shape != MH_SHAPE_SERVICE)
        continue; /* it ends by itself */
      if (a->running_us == 0 || core->now.mono_us - a->running_us < SETTLED_US)
        return false;
      MhCapacityEstimate *to = NULL;
      for (guint k = 0; k < rooms->len && to == NULL; k++)
        {
          MhCapacityEstimate *r = &g_array_index (rooms, MhCapacityEstimate, k);
          /* A service of several tasks stays as spread as it is. */
          if (mh_capacity_estimate_count_tasks (r, s, 1) && (s->tasks == 1 || r->zone == m->zone)
              && mh_capacity_estimate_suits (r, a->job, a->job->zone)
              && mh_fleet_cached (r->machine, a->job->image))
            to = r;
        }
      if (to == NULL)
        return false;
      mh_capacity_estimate_reserve (to, s, 1);
    }
  g_array_unref (staying->rooms);
  staying->rooms = g_steal_pointer (&rooms);
  staying->all -= own;
  staying->used += moved;
  return true;
}

typedef struct
{
  MhMachine *machine;
  double waste;
} Wasteful;

static gint
by_waste (gconstpointer a, gconstpointer b)
{
  double x = ((const Wasteful *)a)->waste, y = ((const Wasteful *)b)->waste;
  return x > y ? -1 : x < y;
}

/* Stops one replica at a time, when all else has ended. */
static void
empty_machine (MhCore *core, MhMachine *m)
{
  for (guint i = 0; i < m->attempts->len; i++)
    if (mh_machine_attempt (m, i)->job->spec->shape != MH_SHAPE_SERVICE
        || mh_machine_attempt (m, i)->stopping)
      return;
  if (m->attempts->len == 0)
    return;
  MhAttempt *a = mh_machine_attempt (m, 0);
  mh_fleet_stop (core, a, mh_job_grace_us (a->job));
}

/* A machine that holds a few replicas long after the work it was rented for costs as much as a full
   one. Its replicas are moved to where their image is, which takes a moment, and it is given back.
   A small part of the machines at a time, and only while nothing waits. */
void
mh_consolidation_step (MhCore *core, bool waiting)
{
  g_autoptr (GArray) wasteful = g_array_new (FALSE, FALSE, sizeof (Wasteful));
  Staying staying = { .rooms = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate)) };
  guint draining = 0, all = 0;
  GHashTableIter it;
  gpointer value;
  if (!waiting)
    look_for_room (core, &staying);
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (m->draining && (waiting || !steady (m) || !fits_elsewhere (core, m, &staying)))
        m->draining = false;
      if (waiting || !steady (m))
        continue;
      all++;
      if (m->draining)
        {
          draining++;
          empty_machine (core, m);
        }
      else if (m->replicas > 0 && m->used_cpus <= m->type->cpus * EMPTY_ENOUGH
               && core->now.mono_us - m->rented_us >= MH_MINIMUM_BILLED_US)
        {
          Wasteful w
              = { .machine = m, .waste = mh_fleet_hourly (m) * (1 - m->used_cpus / m->type->cpus) };
          g_array_append_val (wasteful, w);
        }
    }
  g_array_sort (wasteful, by_waste);
  guint most = MAX (1, (guint)(all * EMPTIED_AT_ONCE));
  for (guint i = 0; i < wasteful->len && i < EMPTIED_LOOKED_AT && draining < most; i++)
    {
      MhMachine *m = g_array_index (wasteful, Wasteful, i).machine;
      if (!fits_elsewhere (core, m, &staying))
        continue;
      mh_info (core, "machine %s: being emptied: %.0f of %.0f cpus in use", m->name, m->used_cpus,
               m->type->cpus);
      m->draining = true;
      draining++;
      empty_machine (core, m);
    }
  g_array_unref (staying.rooms);
}
