/* Orders: what a machine is told, with the answer to its report or straight away, and what keeps a
   late copy of a direct start from being carried out. */
#include "core-private.h"

#include <string.h>

#define DIRECT_TIMEOUT_US (2 * MH_SECOND_US)
/* Direct commands that nobody waits for, by the processor's share: what they would say goes with
   the answer to the next report, which costs nothing. A large array placed at once on a hundred
   machines once kept the leader from all else for a second. */
#define DIRECTS_PER_CORE_S 250
/* Direct starts that a late copy might repeat, before they are fenced without a clear waiting. */
#define LOOSE_KEPT 64u

void
mh_order_start (MhCore *core)
{
  double rate = DIRECTS_PER_CORE_S * core->settings->core_share;
  mh_bucket_init (&core->direct_bucket, rate, MAX (1, rate / 4), core->now.mono_us);
}

/* ---- fences ---- */

MhLoose *
mh_order_loose (const MhMachine *m, const char *job, guint index, guint64 attempt)
{
  for (guint i = 0; i < m->loose->len; i++)
    {
      MhLoose *l = &g_array_index (m->loose, MhLoose, i);
      if (l->index == index && l->attempt == attempt && strcmp (l->job, job) == 0)
        return l;
    }
  return NULL;
}

/* What the machine is to be told: the leadership's epochs begin with own_epoch. */
guint64
mh_order_epoch (const MhCore *core, const MhMachine *m)
{
  return core->leader.own_epoch + (m ? m->fence : 0);
}

/* A direct start may have been lost, or a clear waits until no late copy of it can run it again:
   the worker gets a higher epoch. It tells of that by one more report, so that clears are gathered.
 */
void
mh_order_fence (MhCore *core, MhMachine *m)
{
  bool wanted
      = m->loose->len > LOOSE_KEPT
        || (m->held_us && core->now.mono_us - m->held_us > core->settings->worker_lease_us / 2);
  bool helps = false;
  for (guint i = 0; i < m->loose->len; i++)
    {
      const MhLoose *l = &g_array_index (m->loose, MhLoose, i);
      wanted |= l->lost;
      helps |= l->epoch == mh_order_epoch (core, m);
    }
  if (!wanted || !helps)
    return;
  if (m->fence + 2 >= MH_EPOCHS_EACH)
    {
      mh_leader_lost (core, "the epochs of this leadership are used up");
      return;
    }
  m->fence++;
  m->held_us = 0;
  mh_debug (core, "machine %s: epoch raised to %" G_GUINT64_FORMAT " to fence direct starts",
            m->name, mh_order_epoch (core, m));
}

/* A late command is carried out only under its own tenure and an epoch that the worker has not
   outgrown. */
void
mh_order_settle (MhMachine *m)
{
  for (guint i = 0; i < m->loose->len;)
    {
      const MhLoose *l = &g_array_index (m->loose, MhLoose, i);
      if (l->tenure < m->tenure || l->epoch < m->epoch)
        g_array_remove_index_fast (m->loose, i);
      else
        i++;
    }
}

/* ---- what a machine is told ---- */

static void
add_order (GArray *orders, MhOrderKind kind, const char *job, guint index, guint64 attempt,
           gint64 grace_us)
{
  MhOrder o = {
    .kind = kind, .job = g_strdup (job), .index = index, .attempt = attempt, .grace_us = grace_us
  };
  g_array_append_val (orders, o);
}

static bool
may_start (const MhAttempt *a)
{
  const MhRecord *r = mh_job_record (a->job, a->index);
  return !a->seen && !a->kill && !a->loaded && r->durable >= a->need_rev && !mh_job_over (a->job)
         && !a->machine->releasing && (!mh_gang_is (a->job) || mh_gang_on_record (a));
}

/* Starts and stops for a machine. Directly, only what has not been said before. */
static void
attempt_orders (MhCore *core, MhMachine *m, GArray *orders, bool direct)
{
  gint64 now = core->now.mono_us;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      MhAttempt *a = mh_machine_attempt (m, i);
      const char *job = a->job->spec->id;
      if (a->kill && !(direct && a->killed_us))
        {
          /* One that saves longer than it was given is ended by a second order. */
          bool late = a->killed_us && now > a->killed_us + a->grace_us + MH_SECOND_US;
          add_order (orders, MH_ORDER_STOP, job, a->index, a->attempt, late ? 0 : a->grace_us);
          if (a->killed_us == 0)
            a->killed_us = now;
        }
      else if (!a->kill && may_start (a) && !(direct && a->ordered))
        {
          add_order (orders, MH_ORDER_START, job, a->index, a->attempt, 0);
          a->ordered = true;
          a->order_tenure = m->tenure;
          if (!direct)
            a->hello_tick = m->tick;
        }
    }
}

static void
stray_orders (MhCore *core, MhMachine *m, GArray *orders)
{
  bool held = false;
  for (guint i = 0; i < m->strays->len; i++)
    {
      const MhStray *s = &g_array_index (m->strays, MhStray, i);
      if (!s->ended)
        {
          mh_info (core, "task %s/%u: stopping stray attempt %" G_GUINT64_FORMAT " on %s", s->job,
                   s->index, s->attempt, m->name);
          add_order (orders, MH_ORDER_STOP, s->job, s->index, s->attempt, 0);
          continue;
        }
      /* Once cleared the attempt is forgotten there, and a start that is still on its way, or a
         late copy of one that was carried out, would run it again; and a result must not be cleared
         before it is on record. */
      const MhLoose *loose = mh_order_loose (m, s->job, s->index, s->attempt);
      if (loose)
        {
          held |= loose->epoch == mh_order_epoch (core, m); /* not fenced yet */
          continue;
        }
      MhJob *job = g_hash_table_lookup (core->jobs, s->job);
      if (job && s->index < job->spec->tasks && job->tasks[s->index].state == MH_TASK_DONE)
        {
          const MhRecord *r = mh_job_record (job, s->index);
          if (job->finished || r->durable < r->rev)
            continue;
        }
      add_order (orders, MH_ORDER_FORGET, s->job, s->index, s->attempt, 0);
    }
  m->held_us = !held ? 0 : m->held_us ? m->held_us : core->now.mono_us;
}

/* For the answer to its report. */
void
mh_order_collect (MhCore *core, MhMachine *m, GArray *orders)
{
  attempt_orders (core, m, orders, false);
  stray_orders (core, m, orders);
}

/* A confirmed cancellation stands under every leader: telling of it is no order of this one's, and
   is right whatever has happened since. */
void
mh_order_collect_cancelled (const MhMachine *m, GArray *orders)
{
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      if (a->job->cancel_durable)
        add_order (orders, MH_ORDER_STOP, a->job->spec->id, a->index, a->attempt, 0);
    }
}

/* ---- straight away ---- */

typedef struct
{
  char *machine;
  GArray *orders;
} Direct;

static void
direct_free (gpointer data)
{
  Direct *d = data;
  g_free (d->machine);
  g_array_unref (d->orders);
  g_free (d);
}

static MhAttempt *
find_attempt (MhMachine *m, const MhOrder *o)
{
  for (guint i = 0; i < m->attempts->len; i++)
    {
      MhAttempt *a = mh_machine_attempt (m, i);
      if (a->index == o->index && a->attempt == o->attempt
          && strcmp (a->job->spec->id, o->job) == 0)
        return a;
    }
  return NULL;
}

static void
direct_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Direct *d = data;
  MhMachine *m = mh_fleet_machine (core, d->machine);
  g_autoptr (MhReport) r = status == 200 || status == 409 ? mh_wire_read_report (body) : NULL;
  if (m == NULL)
    return;
  m->direct--;
  for (guint i = 0; i < d->orders->len; i++)
    {
      const MhOrder *o = &g_array_index (d->orders, MhOrder, i);
      MhAttempt *a = find_attempt (m, o);
      MhLoose *l = mh_order_loose (m, o->job, o->index, o->attempt);
      if (o->kind == MH_ORDER_STOP)
        {
          if (a && status != 200)
            a->killed_us = 0;
          continue;
        }
      bool refused = status == 409 || status == 400;
      if (refused && a && !a->seen && a->hello_tick == 0)
        a->ordered = false; /* nothing was carried out, nor will a copy be */
      if (l && refused)
        g_array_remove_index_fast (m->loose, (guint)(l - (MhLoose *)m->loose->data));
      else if (l)
        {
          l->answered = status == 200;
          l->lost = !l->answered;
        }
    }
  if (r)
    mh_fleet_answered (core, m, r);
}

typedef enum
{
  NO_ORDERS,
  PATIENT_ORDERS,
  URGENT_ORDERS /* a replica or a gang starts, or room is made */
} Orders;

static Orders
unsaid_orders (const MhMachine *m)
{
  Orders found = NO_ORDERS;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      bool waited_for = a->job->spec->shape != MH_SHAPE_ARRAY;
      if (a->kill ? a->killed_us != 0 : a->ordered || !may_start (a))
        continue;
      if (a->kill ? !mh_job_over (a->job) : waited_for)
        return URGENT_ORDERS;
      found = PATIENT_ORDERS;
    }
  return found;
}

static bool
anything_lost (const MhMachine *m)
{
  for (guint i = 0; i < m->loose->len; i++)
    if (g_array_index (m->loose, MhLoose, i).lost)
      return true;
  return false;
}

bool
mh_order_reaches (const MhCore *core, const MhMachine *m)
{
  return core->settings->direct && !m->direct && m->reported && !m->releasing && m->endpoint
         && !m->ignored && !mh_fleet_silent (core, m, core->settings->report_us * 3 / 2)
         && !anything_lost (m);
}

/* `epoch_only`: no order, but the worker learns of this leader, and so does a former one that it
   still reports to. */
void
mh_order_send (MhCore *core, MhMachine *m, bool epoch_only)
{
  /* One at a time, and none to a machine that may not be there. Its next report will carry them. */
  if (!mh_order_reaches (core, m))
    return;
  Orders unsaid = unsaid_orders (m);
  if (!epoch_only
      && (unsaid == NO_ORDERS
          || (unsaid == PATIENT_ORDERS
              && !mh_bucket_has (&core->direct_bucket, 1, core->now.mono_us))))
    return;
  mh_bucket_take (&core->direct_bucket, 1);
  g_autoptr (GArray) orders = mh_orders_new ();
  attempt_orders (core, m, orders, true);
  Direct *d = g_new0 (Direct, 1);
  d->machine = g_strdup (m->name);
  d->orders = g_array_ref (orders);
  guint64 epoch = mh_order_epoch (core, m);
  for (guint i = 0; i < orders->len; i++)
    {
      const MhOrder *o = &g_array_index (orders, MhOrder, i);
      MhLoose l = { .index = o->index, .attempt = o->attempt, .epoch = epoch, .tenure = m->tenure };
      if (o->kind != MH_ORDER_START)
        continue;
      l.job = g_strdup (o->job);
      g_array_append_val (m->loose, l);
    }
  m->direct++;
  mh_core_call (core, MH_RANK_WORK, mh_wire_commands (m->endpoint, epoch, m->tenure, orders), 0,
                DIRECT_TIMEOUT_US, direct_reply, d, direct_free);
}
