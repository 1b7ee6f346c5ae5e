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
  return m->heartbeat.reported && !mh_machine_is_releasing (m) && m->type && m->notice_until_us < 0;
}

/* The machines that stay, and how much of them is in use. */
typedef struct
{
  GArray *rooms; /* MhRoom */
  double all, used;
} Staying;

static void
look_for_room (MhCore *core, Staying *staying)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      if (!steady (m) || mh_machine_is_draining (m)
          || mh_cluster_is_silent (core, m, core->settings->report_us * 2))
        continue;
      staying->all += m->type->cpus;
      staying->used += m->usage.cpus;
      MhRoom r = mh_room_new (m->type, m->zone, m->spot);
      r.machine = m;
      r.cpus -= m->usage.cpus;
      r.gpus -= m->usage.gpus;
      r.mem -= m->usage.mem_gb;
      g_array_append_val (staying->rooms, r);
    }
}

/* Whether everything on `m` has a place where its image is, on machines that stay; if so, the place
   is taken, and the machine's own room is no longer one. */
static bool
fits_elsewhere (MhCore *core, const MhMachine *m, Staying *staying)
{
  g_autoptr (GArray) rooms = g_array_copy (staying->rooms);
  double own = mh_machine_is_draining (m) ? 0 : m->type->cpus,
         moved = mh_machine_is_draining (m) ? m->usage.cpus : 0;
  if (staying->used + moved > (staying->all - own) * FULLEST)
    return false;
  for (guint k = 0; k < rooms->len; k++)
    if (g_array_index (rooms, MhRoom, k).machine == m)
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
      if (a->running_since_us == 0 || core->now.mono_us - a->running_since_us < SETTLED_US)
        return false;
      MhRoom *to = NULL;
      for (guint k = 0; k < rooms->len && to == NULL; k++)
        {
          MhRoom *r = &g_array_index (rooms, MhRoom, k);
          /* A service of several tasks stays as spread as it is. */
          if (mh_room_for (r, s, 1) && (s->tasks == 1 || r->zone == m->zone)
              && mh_room_of_kind (r, a->job, a->job->zone)
              && mh_machine_has_image (r->machine, a->job->image))
            to = r;
        }
      if (to == NULL)
        return false;
      mh_room_take (to, s, 1);
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
        || mh_attempt_is_stopping (mh_machine_attempt (m, i)))
      return;
  if (m->attempts->len == 0)
    return;
  MhAttempt *a = mh_machine_attempt (m, 0);
  mh_attempt_stop (core, a, mh_job_grace_us (a->job));
}

/* A machine that holds a few replicas long after the work it was rented for costs as much as a full
   one. Its replicas are moved to where their image is, which takes a moment, and it is given back.
   A small part of the machines at a time, and only while nothing waits. */
void
mh_consolidate (MhCore *core, bool waiting)
{
  g_autoptr (GArray) wasteful = g_array_new (FALSE, FALSE, sizeof (Wasteful));
  Staying staying = { .rooms = g_array_new (FALSE, FALSE, sizeof (MhRoom)) };
  guint draining = 0, all = 0;
  GHashTableIter it;
  gpointer value;
  if (!waiting)
    look_for_room (core, &staying);
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (mh_machine_is_draining (m)
          && (waiting || !steady (m) || !fits_elsewhere (core, m, &staying)))
        mh_machine_change_state (m, MH_MACHINE_EVENT_DRAIN_CANCELLED);
      if (waiting || !steady (m))
        continue;
      all++;
      if (mh_machine_is_draining (m))
        {
          draining++;
          empty_machine (core, m);
        }
      else if (m->usage.replicas > 0 && m->usage.cpus <= m->type->cpus * EMPTY_ENOUGH
               && core->now.mono_us - m->boot.rented_us >= MH_LEAST_PAID_US)
        {
          Wasteful w
              = { .machine = m,
                  .waste = mh_machine_hourly_price (m) * (1 - m->usage.cpus / m->type->cpus) };
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
      mh_info (core, "machine %s: being emptied: %.0f of %.0f cpus in use", m->name, m->usage.cpus,
               m->type->cpus);
      mh_machine_change_state (m, MH_MACHINE_EVENT_DRAIN_STARTED);
      draining++;
      empty_machine (core, m);
    }
  g_array_unref (staying.rooms);
}
