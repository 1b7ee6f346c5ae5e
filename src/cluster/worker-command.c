/* Commands: what a machine is told, with the answer to its report or straight away, and what keeps
   a late copy of a direct start from being carried out. */
#include "controller/core-private.h"

#include <string.h>

#define DIRECT_TIMEOUT_US (2 * MH_SECOND_US)
/* Direct commands that nobody waits for, by the processor's share: what they would say goes with
   the answer to the next report, which costs nothing. A large array placed at once on a hundred
   machines once kept the leader from all else for a second. */
#define DIRECTS_PER_CORE_S 250
/* Direct starts that a late copy might repeat, before they are fenced without a clear waiting. */
#define UNACKNOWLEDGED_KEPT 64u

void
mh_command_init (MhCore *core)
{
  double rate = DIRECTS_PER_CORE_S * core->settings->core_share;
  mh_bucket_init (&core->direct_bucket, rate, MAX (1, rate / 4), core->now.mono_us);
}

/* ---- fences ---- */

MhUnacknowledgedStart *
mh_command_unacknowledged (const MhMachine *m, const char *job, guint index, guint64 attempt)
{
  for (guint i = 0; i < m->unacknowledged->len; i++)
    {
      MhUnacknowledgedStart *l = &g_array_index (m->unacknowledged, MhUnacknowledgedStart, i);
      if (l->index == index && l->attempt == attempt && strcmp (l->job, job) == 0)
        return l;
    }
  return NULL;
}

/* The fencing token that the machine is told: those of a leadership begin with own_epoch. */
guint64
mh_command_token (const MhCore *core, const MhMachine *m)
{
  return core->leader.own_epoch + (m ? m->fence : 0);
}

/* A direct start may have been lost, or a clear waits until no late copy of it can run it again:
   the worker gets a higher token. It tells of that by one more report, so that clears are gathered.
 */
void
mh_command_fence (MhCore *core, MhMachine *m)
{
  bool wanted
      = m->unacknowledged->len > UNACKNOWLEDGED_KEPT
        || (m->held_us && core->now.mono_us - m->held_us > core->settings->worker_lease_us / 2);
  bool helps = false;
  for (guint i = 0; i < m->unacknowledged->len; i++)
    {
      const MhUnacknowledgedStart *l = &g_array_index (m->unacknowledged, MhUnacknowledgedStart, i);
      wanted |= l->lost;
      helps |= l->token == mh_command_token (core, m);
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
  mh_debug (core, "machine %s: token raised to %" G_GUINT64_FORMAT " to fence direct starts",
            m->name, mh_command_token (core, m));
}

/* A late command is carried out only under its own incarnation and an token that the worker has not
   outgrown. */
void
mh_command_forget_fenced (MhMachine *m)
{
  for (guint i = 0; i < m->unacknowledged->len;)
    {
      const MhUnacknowledgedStart *l = &g_array_index (m->unacknowledged, MhUnacknowledgedStart, i);
      if (l->incarnation < m->incarnation || l->token < m->token)
        g_array_remove_index_fast (m->unacknowledged, i);
      else
        i++;
    }
}

/* ---- what a machine is told ---- */

static void
add_command (GArray *commands, MhCommandKind kind, const char *job, guint index, guint64 attempt,
             gint64 grace_us)
{
  MhCommand o = {
    .kind = kind, .job = g_strdup (job), .index = index, .attempt = attempt, .grace_us = grace_us
  };
  g_array_append_val (commands, o);
}

static bool
may_start (const MhAttempt *a)
{
  const MhRecord *r = mh_job_record (a->job, a->index);
  return !a->seen && !a->stopping && !a->loaded && r->durable >= a->need_rev
         && !mh_job_over (a->job) && !a->machine->releasing
         && (!mh_gang_is (a->job) || mh_gang_on_record (a));
}

/* Starts and stops for a machine. Directly, only what has not been said before. */
static void
attempt_commands (MhCore *core, MhMachine *m, GArray *commands, bool direct)
{
  gint64 now = core->now.mono_us;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      MhAttempt *a = mh_machine_attempt (m, i);
      const char *job = a->job->spec->id;
      if (a->stopping && !(direct && a->stop_sent_us))
        {
          /* One that saves longer than it was given is ended by a second command. */
          bool late = a->stop_sent_us && now > a->stop_sent_us + a->grace_us + MH_SECOND_US;
          add_command (commands, MH_COMMAND_STOP, job, a->index, a->attempt,
                       late ? 0 : a->grace_us);
          if (a->stop_sent_us == 0)
            a->stop_sent_us = now;
        }
      else if (!a->stopping && may_start (a) && !(direct && a->start_sent))
        {
          add_command (commands, MH_COMMAND_START, job, a->index, a->attempt, 0);
          a->start_sent = true;
          a->start_incarnation = m->incarnation;
          if (!direct)
            a->start_sequence = m->sequence;
        }
    }
}

static void
orphan_commands (MhCore *core, MhMachine *m, GArray *commands)
{
  bool held = false;
  for (guint i = 0; i < m->orphans->len; i++)
    {
      const MhOrphan *s = &g_array_index (m->orphans, MhOrphan, i);
      if (!s->ended)
        {
          mh_info (core, "task %s/%u: stopping orphaned attempt %" G_GUINT64_FORMAT " on %s",
                   s->job, s->index, s->attempt, m->name);
          add_command (commands, MH_COMMAND_STOP, s->job, s->index, s->attempt, 0);
          continue;
        }
      /* Once cleared the attempt is forgotten there, and a start that is still on its way, or a
         late copy of one that was carried out, would run it again; and a result must not be cleared
         before it is on record. */
      const MhUnacknowledgedStart *unacknowledged
          = mh_command_unacknowledged (m, s->job, s->index, s->attempt);
      if (unacknowledged)
        {
          held |= unacknowledged->token == mh_command_token (core, m); /* not fenced yet */
          continue;
        }
      MhJob *job = g_hash_table_lookup (core->jobs, s->job);
      if (job && s->index < job->spec->tasks && job->tasks[s->index].state == MH_TASK_DONE)
        {
          const MhRecord *r = mh_job_record (job, s->index);
          if (job->finished || r->durable < r->rev)
            continue;
        }
      add_command (commands, MH_COMMAND_CLEAR, s->job, s->index, s->attempt, 0);
    }
  m->held_us = !held ? 0 : m->held_us ? m->held_us : core->now.mono_us;
}

/* For the answer to its report. */
void
mh_command_collect (MhCore *core, MhMachine *m, GArray *commands)
{
  attempt_commands (core, m, commands, false);
  orphan_commands (core, m, commands);
}

/* A confirmed cancellation stands under every leader: telling of it is no commands of this one's,
   and is right whatever has happened since. */
void
mh_command_collect_cancelled (const MhMachine *m, GArray *commands)
{
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      if (a->job->cancel_durable)
        add_command (commands, MH_COMMAND_STOP, a->job->spec->id, a->index, a->attempt, 0);
    }
}

/* ---- straight away ---- */

typedef struct
{
  char *machine;
  GArray *commands;
} Direct;

static void
direct_free (gpointer data)
{
  Direct *d = data;
  g_free (d->machine);
  g_array_unref (d->commands);
  g_free (d);
}

static MhAttempt *
find_attempt (MhMachine *m, const MhCommand *o)
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
  g_autoptr (MhHeartbeat) r
      = status == 200 || status == 409 ? mh_heartbeat_decode (body, NULL) : NULL;
  if (m == NULL)
    return;
  m->direct--;
  for (guint i = 0; i < d->commands->len; i++)
    {
      const MhCommand *o = &g_array_index (d->commands, MhCommand, i);
      MhAttempt *a = find_attempt (m, o);
      MhUnacknowledgedStart *l = mh_command_unacknowledged (m, o->job, o->index, o->attempt);
      if (o->kind == MH_COMMAND_STOP)
        {
          if (a && status != 200)
            a->stop_sent_us = 0;
          continue;
        }
      bool refused = status == 409 || status == 400;
      if (refused && a && !a->seen && a->start_sequence == 0)
        a->start_sent = false; /* nothing was carried out, nor will a copy be */
      if (l && refused)
        g_array_remove_index_fast (m->unacknowledged,
                                   (guint)(l - (MhUnacknowledgedStart *)m->unacknowledged->data));
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
  NOTHING_UNSENT,
  PATIENT_COMMANDS,
  URGENT_COMMANDS /* a replica or a gang starts, or room is made */
} UnsentCommands;

static UnsentCommands
unsent_commands (const MhMachine *m)
{
  UnsentCommands found = NOTHING_UNSENT;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      bool waited_for = a->job->spec->shape != MH_SHAPE_ARRAY;
      if (a->stopping ? a->stop_sent_us != 0 : a->start_sent || !may_start (a))
        continue;
      if (a->stopping ? !mh_job_over (a->job) : waited_for)
        return URGENT_COMMANDS;
      found = PATIENT_COMMANDS;
    }
  return found;
}

static bool
anything_lost (const MhMachine *m)
{
  for (guint i = 0; i < m->unacknowledged->len; i++)
    if (g_array_index (m->unacknowledged, MhUnacknowledgedStart, i).lost)
      return true;
  return false;
}

bool
mh_command_reaches (const MhCore *core, const MhMachine *m)
{
  return core->settings->direct && !m->direct && m->reported && !m->releasing && m->endpoint
         && !m->ignored_answers && !mh_fleet_silent (core, m, core->settings->report_us * 3 / 2)
         && !anything_lost (m);
}

/* `token_only`: no commands, but the worker learns of this leader, and so does a former one that it
   still reports to. */
void
mh_command_send (MhCore *core, MhMachine *m, bool token_only)
{
  /* One at a time, and none to a machine that may not be there. Its next report will carry them. */
  if (!mh_command_reaches (core, m))
    return;
  UnsentCommands unsaid = unsent_commands (m);
  if (!token_only
      && (unsaid == NOTHING_UNSENT
          || (unsaid == PATIENT_COMMANDS
              && !mh_bucket_has (&core->direct_bucket, 1, core->now.mono_us))))
    return;
  mh_bucket_take (&core->direct_bucket, 1);
  g_autoptr (GArray) commands = mh_commands_new ();
  attempt_commands (core, m, commands, true);
  Direct *d = g_new0 (Direct, 1);
  d->machine = g_strdup (m->name);
  d->commands = g_array_ref (commands);
  guint64 token = mh_command_token (core, m);
  for (guint i = 0; i < commands->len; i++)
    {
      const MhCommand *o = &g_array_index (commands, MhCommand, i);
      MhUnacknowledgedStart l = {
        .index = o->index, .attempt = o->attempt, .token = token, .incarnation = m->incarnation
      };
      if (o->kind != MH_COMMAND_START)
        continue;
      l.job = g_strdup (o->job);
      g_array_append_val (m->unacknowledged, l);
    }
  m->direct++;
  mh_core_call (core, MH_CALL_WORK,
                mh_worker_request_commands (m->endpoint, token, m->incarnation, commands), 0,
                DIRECT_TIMEOUT_US, direct_reply, d, direct_free);
}
