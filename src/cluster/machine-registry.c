/* Workers and machines: what reports say, what is sent, and when a task is proven gone. */
#include "controller/core-private.h"

#include <string.h>

/* Silence, notices and what was not said at once are looked after so often. */
#define SWEEP_US (MH_SECOND_US / 5)
/* Copies of a machine's reports, and lists that name it, may come so long after its end. */
#define REMEMBER_US (900 * MH_SECOND_US)
/* Drift of the worker's clock and of ours, and some; and what a worker may take to notice the end
   of its lease, with whatever else holds up the end of a task. */
#define CLOCKS_APART 500
#define KEEP_ALIVE_SPARE_US (4 * MH_SECOND_US)

static void
unacknowledged_clear (gpointer data)
{
  g_free (((MhUnacknowledgedStart *)data)->job);
}

static void
orphan_clear (gpointer data)
{
  g_free (((MhOrphan *)data)->job);
}

static void
cached_free (gpointer data)
{
  g_ref_string_release (((MhCached *)data)->name);
  g_free (data);
}

typedef struct
{
  char *name;
  gint64 gone_us;
} Returned;

static void
returned_free (gpointer data)
{
  g_free (((Returned *)data)->name);
  g_free (data);
}

void
mh_fleet_free_machine (gpointer data)
{
  MhMachine *m = data;
  g_free (m->name);
  g_free (m->endpoint);
  g_clear_pointer (&m->zone, g_ref_string_release);
  g_free (m->type_name);
  g_ptr_array_unref (m->attempts);
  g_array_unref (m->unacknowledged);
  g_array_unref (m->orphans);
  g_ptr_array_unref (m->cache);
  g_ptr_array_unref (m->failed_jobs);
  g_free (m);
}

MhMachine *
mh_fleet_machine (MhCore *core, const char *name)
{
  return g_hash_table_lookup (core->machines, name);
}

static void
resolve_type (MhCore *core, MhMachine *m)
{
  m->type = NULL;
  for (guint i = 0; core->types && m->type_name && i < core->types->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (core->types, i);
      if (strcmp (t->name, m->type_name) == 0)
        {
          m->type = t;
          m->type_index = i;
        }
    }
}

void
mh_fleet_types_changed (MhCore *core)
{
  GHashTableIter it;
  gpointer m;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &m))
    resolve_type (core, m);
}

void
mh_fleet_identify (MhCore *core, MhMachine *m, const char *type, const char *zone, bool spot)
{
  if (m->zone == NULL)
    m->zone = g_ref_string_new_intern (zone);
  if (m->type_name == NULL)
    {
      m->type_name = g_strdup (type);
      resolve_type (core, m);
    }
  m->spot = spot;
}

MhMachine *
mh_fleet_add (MhCore *core, const char *name, const char *type, const char *zone, bool spot)
{
  MhMachine *m = g_new0 (MhMachine, 1);
  m->name = g_strdup (name);
  m->type_name = g_strdup (type);
  m->zone = zone ? g_ref_string_new_intern (zone) : NULL;
  m->spot = spot;
  m->known_us = m->rented_us = m->heard_us = m->last_report_us = m->idle_us = core->now.mono_us;
  m->notice_until_us = -1;
  m->attempts = g_ptr_array_new ();
  m->unacknowledged = g_array_new (FALSE, FALSE, sizeof (MhUnacknowledgedStart));
  g_array_set_clear_func (m->unacknowledged, unacknowledged_clear);
  m->orphans = g_array_new (FALSE, FALSE, sizeof (MhOrphan));
  g_array_set_clear_func (m->orphans, orphan_clear);
  m->cache = g_ptr_array_new_with_free_func (cached_free);
  m->failed_jobs = g_ptr_array_new_with_free_func (g_free);
  resolve_type (core, m);
  g_hash_table_insert (core->machines, m->name, m);
  return m;
}

void
mh_fleet_clear (MhCore *core)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      for (guint i = 0; i < m->attempts->len; i++)
        g_free (mh_machine_attempt (m, i));
    }
  g_hash_table_remove_all (core->machines);
  g_hash_table_remove_all (core->returned);
  g_queue_clear_full (&core->returned_order, returned_free);
  g_ptr_array_set_size (core->commands_due, 0);
  mh_failure_clear (core);
  core->replicas = 0;
  g_hash_table_remove_all (core->team_use);
  g_hash_table_remove_all (core->gangs);
}

/* The reports that come after a reload are measured from here, not from before. */
void
mh_fleet_loaded (MhCore *core)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if (mh_gang_is (job))
        mh_gang_loaded (core, job);
      if (job->cancelled)
        mh_fleet_stop_job (core, job);
      else if (job->n_done == job->spec->tasks)
        {
          job->finished = true;
          mh_store_touch (core, &job->records[0], MH_URGENCY_START);
        }
    }
}

gint64
mh_fleet_silence_us (const MhCore *core, gint64 heard_us)
{
  return core->now.mono_us - MAX (heard_us, mh_runtime_resumed_us (core->runtime));
}

bool
mh_fleet_silent (const MhCore *core, const MhMachine *m, gint64 for_us)
{
  return mh_fleet_silence_us (core, m->heard_us) > for_us;
}

/* ---- images ---- */

bool
mh_fleet_cached (const MhMachine *m, const GRefString *image)
{
  for (guint i = 0; i < m->cache->len; i++)
    if (((MhCached *)g_ptr_array_index (m->cache, i))->name == image)
      return true;
  return false;
}

/* How long a task with this image would wait for it here: nothing if it is cached, the rest of the
   fetch if one is under way, else a fetch beside those that are, which may share the rate. */
gint64
mh_fleet_image_wait (const MhCore *core, const MhMachine *m, const GRefString *image, double gb)
{
  if (mh_fleet_cached (m, image))
    return 0;
  double rate = m->type && m->type->fetch_gb_per_s > 0 ? m->type->fetch_gb_per_s : 1, others = 0;
  for (guint i = 0; i < m->attempts->len; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      const MhJobSpec *s = a->job->spec;
      if (a->stopping || a->phase != MH_TASK_PHASE_FETCHING_IMAGE
          || mh_fleet_cached (m, a->job->image))
        continue;
      double left
          = MAX (s->image_gb - (double)(core->now.mono_us - a->placed_us) / MH_SECOND_US * rate,
                 s->image_gb * 0.1);
      if (a->job->image == image)
        return (gint64)(left / rate * MH_SECOND_US);
      bool counted = false;
      for (guint k = 0; k < i && !counted; k++)
        counted = mh_machine_attempt (m, k)->job->image == a->job->image;
      if (!counted)
        others += left;
    }
  return (gint64)((others + gb) / rate * MH_SECOND_US);
}

/* Machines keep the most recently used images; this is our own account of it. */
void
mh_fleet_cache (MhMachine *m, GRefString *image, double gb)
{
  double total = gb;
  MhCached *c = m->cache->len ? g_ptr_array_index (m->cache, m->cache->len - 1) : NULL;
  if (c && c->name == image)
    return;
  c = NULL;
  for (guint i = 0; i < m->cache->len; i++)
    {
      MhCached *other = g_ptr_array_index (m->cache, i);
      if (other->name == image)
        {
          c = other;
          g_ptr_array_steal_index (m->cache, i);
          break;
        }
    }
  if (c == NULL)
    {
      c = g_new0 (MhCached, 1);
      c->name = g_ref_string_acquire (image);
      c->gb = gb;
    }
  for (guint i = 0; i < m->cache->len; i++)
    total += ((MhCached *)g_ptr_array_index (m->cache, i))->gb;
  while (m->type && m->cache->len && total > m->type->cache_gb)
    {
      total -= ((MhCached *)g_ptr_array_index (m->cache, 0))->gb;
      g_ptr_array_remove_index (m->cache, 0);
    }
  g_ptr_array_add (m->cache, c); /* the last one used stands last */
}

double
mh_fleet_hourly (const MhMachine *m)
{
  return m->spot ? m->type->spot_price : m->type->price;
}

double
mh_fleet_cpu_hourly (const MhMachine *m)
{
  return mh_fleet_hourly (m) / MAX (m->type->cpus, 1e-3);
}

/* ---- attempts ---- */

static MhUse *
team_use (MhCore *core, const char *team)
{
  MhUse *u = g_hash_table_lookup (core->team_use, team);
  if (u == NULL)
    {
      MhTeam *t = mh_settings_team (core->settings, team);
      u = g_new0 (MhUse, 1);
      /* A team that the settings no longer name still has its name in its jobs' specs, but those
         go away; the settings' copy stays. */
      if (t)
        g_hash_table_insert (core->team_use, t->name, u);
      else
        g_hash_table_insert (core->team_use, (gpointer)g_intern_string (team), u);
    }
  return u;
}

static void
account (MhCore *core, MhAttempt *a, double sign)
{
  const MhJobSpec *s = a->job->spec;
  MhUse *u = team_use (core, s->team);
  u->cpus += sign * s->cpus;
  u->gpus += sign * s->gpus;
  a->machine->used_cpus += sign * s->cpus;
  a->machine->used_gpus += sign * s->gpus;
  a->machine->used_mem += sign * s->mem_gb;
  if (s->shape == MH_SHAPE_SERVICE)
    {
      a->machine->replicas += sign > 0 ? 1 : -1;
      core->replicas += sign > 0 ? 1 : -1;
    }
  if (!a->machine->reported)
    a->job->n_unheard += sign > 0 ? 1 : -1;
}

MhAttempt *
mh_fleet_attempt_new (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *m)
{
  MhTask *t = &job->tasks[index];
  MhAttempt *a = g_new0 (MhAttempt, 1);
  a->job = job;
  a->index = index;
  a->attempt = t->attempt = attempt;
  a->machine = m;
  a->placed_us = core->now.mono_us;
  a->phase = MH_TASK_PHASE_FETCHING_IMAGE;
  t->live = a;
  t->state = MH_TASK_LIVE;
  job->n_live++;
  g_ptr_array_add (m->attempts, a);
  account (core, a, 1);
  return a;
}

static void
job_check_over (MhCore *core, MhJob *job)
{
  bool over = job->cancelled ? job->n_live == 0 : job->n_done == job->spec->tasks;
  if (over && !job->finished)
    {
      job->finished = true;
      mh_store_touch (core, &job->records[0],
                      job->cancelled ? MH_URGENCY_PROGRESS : MH_URGENCY_START);
    }
}

static void
set_running (MhCore *core, MhAttempt *a, bool running)
{
  gint64 now_us = core->now.mono_us;
  if (running && a->running_us == 0)
    {
      a->running_us = now_us;
      a->job->n_running++;
      mh_debug (core, "task %s/%u: runs on %s, %.1f s after it was submitted", a->job->spec->id,
                a->index, a->machine->name, (double)(now_us - a->job->submitted_us) / MH_SECOND_US);
    }
  else if (!running && a->running_us)
    {
      a->running_us = 0;
      a->job->n_running--;
    }
}

/* Out of all accounts; the attempt itself is left to the caller. */
static void
detach (MhCore *core, MhAttempt *a)
{
  MhMachine *m = a->machine;
  set_running (core, a, false);
  account (core, a, -1);
  g_ptr_array_remove_fast (m->attempts, a);
  if (m->attempts->len == 0)
    {
      m->idle_us = core->now.mono_us;
      m->used_cpus = m->used_gpus = m->used_mem = 0; /* no rounding left behind */
    }
  a->job->tasks[a->index].live = NULL;
}

void
mh_fleet_attempt_forget (MhCore *core, MhAttempt *a)
{
  detach (core, a);
  g_free (a);
}

void
mh_fleet_attempt_over (MhCore *core, MhAttempt *a, bool done)
{
  MhJob *job = a->job;
  MhTask *t = &job->tasks[a->index];
  detach (core, a);
  t->state = done ? MH_TASK_DONE : MH_TASK_PENDING;
  job->n_live--;
  if (done)
    job->n_done++;
  else
    job->cursor = MIN (job->cursor, a->index);
  /* An attempt that is over without a result is written too: else a new leader would look for proof
     of it once more, on a machine that may have been given back long ago. */
  if (!job->cancelled)
    mh_store_touch (core, mh_job_record (job, a->index), MH_URGENCY_PROGRESS);
  if (mh_gang_is (job))
    mh_gang_task_over (core, job, done);
  /* Room that was made by preemption is wanted at once, and so is a new place for a replica. */
  core->place_urgent |= a->stopping || job->spec->shape == MH_SHAPE_SERVICE;
  core->place_wanted = true;
  g_free (a);
  job_check_over (core, job);
}

void
mh_fleet_task_done (MhCore *core, MhJob *job, guint index)
{
  job->tasks[index].state = MH_TASK_DONE;
  job->n_done++;
  mh_store_touch (core, mh_job_record (job, index), MH_URGENCY_START);
  job_check_over (core, job);
}

void
mh_fleet_send_commands (MhCore *core, MhMachine *m)
{
  if (m->commands_due)
    return;
  m->commands_due = true;
  g_ptr_array_add (core->commands_due, m);
}

void
mh_fleet_send_stop (MhCore *core, MhAttempt *a, gint64 grace_us)
{
  if (a->stopping && grace_us >= a->grace_us)
    return;
  a->stopping = true;
  a->grace_us = grace_us;
  a->stop_sent_us = 0;
  mh_fleet_send_commands (core, a->machine);
}

void
mh_fleet_stop (MhCore *core, MhAttempt *a, gint64 grace_us)
{
  if (mh_gang_is (a->job) && !mh_job_over (a->job))
    {
      mh_gang_stop (core, a->job, grace_us);
      return;
    }
  if (!a->start_sent && !a->loaded)
    {
      /* No command ever left: there is nothing to wait for. */
      mh_fleet_attempt_over (core, a, false);
      return;
    }
  mh_fleet_send_stop (core, a, grace_us);
}

void
mh_fleet_stop_job (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    if (job->tasks[i].live)
      mh_fleet_stop (core, job->tasks[i].live, 0);
  job_check_over (core, job);
}

bool
mh_fleet_returned (const MhCore *core, const char *name)
{
  return g_hash_table_contains (core->returned, name);
}

void
mh_fleet_gone (MhCore *core, MhMachine *m)
{
  Returned *r = g_new0 (Returned, 1);
  r->name = g_strdup (m->name);
  r->gone_us = core->now.mono_us;
  g_queue_push_tail (&core->returned_order, r);
  g_hash_table_add (core->returned, r->name);
  while (m->attempts->len)
    mh_fleet_attempt_over (core, g_ptr_array_index (m->attempts, m->attempts->len - 1), false);
  g_ptr_array_remove_fast (core->commands_due, m);
  g_hash_table_remove (core->machines, m->name);
}

static void
forget_returned (MhCore *core)
{
  for (Returned *r; (r = g_queue_peek_head (&core->returned_order))
                    && core->now.mono_us - r->gone_us > REMEMBER_US;)
    {
      g_hash_table_remove (core->returned, r->name);
      returned_free (g_queue_pop_head (&core->returned_order));
    }
}

/* ---- reports ---- */

/* May the attempt, which this report does not show, still be on the machine or come to it? The
   answer to a question or a direct command proves less than a report: it may overtake the starts
   that the last response carries. */
static bool
proven_gone (const MhCore *core, const MhAttempt *a, bool is_report)
{
  const MhMachine *m = a->machine;
  if (a->loaded)
    return m->token >= core->leader.own_epoch;
  if (!a->start_sent)
    return false;
  if (a->start_incarnation < m->incarnation)
    return true;
  if (!is_report || (!a->seen && !a->stopping))
    return false; /* the start is simply sent again */
  const MhUnacknowledgedStart *l
      = mh_command_unacknowledged (m, a->job->spec->id, a->index, a->attempt);
  return (l == NULL || l->answered) && (a->start_sequence == 0 || m->sequence > a->start_sequence);
}

static void
attempt_ended (MhCore *core, MhAttempt *a, MhTaskEndReason cause)
{
  MhMachine *m = a->machine;
  MhJob *job = a->job;
  switch (cause)
    {
    case MH_TASK_END_COMPLETED:
      if (a->running_us && !a->loaded)
        mh_queue_learn (core, job->spec, core->now.mono_us - a->running_us);
      mh_fault_task_done (core, m, job);
      break;
    case MH_TASK_END_FAILED:
      /* A huge job that fails everywhere would fill the log with its tasks. */
      mh_core_log (core, mh_fault_backs_off (job) ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO,
                   "task %s/%u: failed on %s", job->spec->id, a->index, m->name);
      mh_fault_task_failed (core, m, job);
      break;
    case MH_TASK_END_INSUFFICIENT_RESOURCES:
    case MH_TASK_END_OTHER_ATTEMPT:
      mh_info (core, "task %s/%u: %s refused it: %s", job->spec->id, a->index, m->name,
               cause == MH_TASK_END_OTHER_ATTEMPT ? "another attempt is there" : "no room");
      m->hold_us = core->now.mono_us + MH_SECOND_US;
      break;
    case MH_TASK_END_GANG_MEMBER_LOST:
    case MH_TASK_END_GANG_INCOMPLETE:
      mh_info (core, "gang %s: task %u on %s: %s", job->spec->id, a->index, m->name,
               cause == MH_TASK_END_GANG_MEMBER_LOST ? "another task is gone"
                                                     : "the others did not come in time");
      break;
    case MH_TASK_END_UNKNOWN_TASK:
      mh_info (core, "task %s/%u: %s does not know the job yet", job->spec->id, a->index, m->name);
      job->retry_us = core->now.mono_us + 2 * MH_SECOND_US;
      break;
    default:
      break;
    }
  mh_fleet_attempt_over (core, a, cause == MH_TASK_END_COMPLETED);
}

static void
observe_task (MhCore *core, MhMachine *m, const MhTaskStatus *t)
{
  /* What it may do is not known: it is left alone. */
  if (g_hash_table_contains (core->unreadable, t->job))
    {
      m->unknown++;
      return;
    }
  MhJob *job = g_hash_table_lookup (core->jobs, t->job);
  /* A submission that is not on record yet has no tasks: these are left of a job that was over
     before, and whose user repeats himself. Such a repetition once cost a leader its lead. */
  MhTask *task = job && job->accepted && t->index < job->spec->tasks ? &job->tasks[t->index] : NULL;
  MhAttempt *a = task ? task->live : NULL;
  if (task && t->attempt > task->attempt)
    {
      /* Each attempt is written before it is sent: memory must be behind the records. */
      mh_leader_lost (core, "a worker runs an attempt that is not on record here");
      return;
    }
  if (a && a->machine == m && a->attempt == t->attempt)
    {
      a->seen = a->present = true;
      a->phase = t->phase;
      set_running (core, a,
                   t->phase == MH_TASK_PHASE_RUNNING || t->phase == MH_TASK_PHASE_CHECKPOINTING);
      if (t->phase == MH_TASK_PHASE_WAITING_FOR_GANG && job->gathering_us == 0)
        job->gathering_us = core->now.mono_us;
      /* One that was stopped while it waited for its image ends without it. */
      if (t->phase == MH_TASK_PHASE_WAITING_FOR_GANG || t->phase == MH_TASK_PHASE_RUNNING
          || t->phase == MH_TASK_PHASE_CHECKPOINTING || t->end_reason == MH_TASK_END_COMPLETED)
        mh_fleet_cache (m, job->image, job->spec->image_gb);
      if (t->phase != MH_TASK_PHASE_ENDED)
        return;
      attempt_ended (core, a, t->end_reason);
    }
  MhOrphan orphan = { .job = g_strdup (t->job),
                      .index = t->index,
                      .attempt = t->attempt,
                      .ended = t->phase == MH_TASK_PHASE_ENDED };
  g_array_append_val (m->orphans, orphan);
}

static void
observe (MhCore *core, MhMachine *m, const MhHeartbeat *r, bool is_report)
{
  bool first = !m->reported;
  m->reported = true;
  m->heard_us = core->now.mono_us;
  if (!is_report)
    m->ignored_answers = 0;
  if (!m->ignored_answers)
    m->failed_probes = 0;
  if (is_report || first)
    m->last_report_us = core->now.mono_us;
  if (!is_report)
    mh_fleet_send_commands (core, m);
  m->incarnation = r->incarnation;
  m->sequence = r->sequence;
  m->token = r->fencing_token;
  if (first)
    {
      mh_boot_joined (core, m);
      for (guint i = 0; i < m->attempts->len; i++)
        mh_machine_attempt (m, i)->job->n_unheard--;
      m->idle_us = core->now.mono_us;
      core->place_wanted = true;
      mh_info (core, "machine %s: reports (%s in %s%s, %u tasks)", m->name, r->type, r->zone,
               r->spot ? ", spot" : "", r->tasks->len);
    }
  if (m->endpoint == NULL || strcmp (m->endpoint, r->endpoint) != 0)
    {
      g_free (m->endpoint);
      m->endpoint = g_strdup (r->endpoint);
    }
  mh_fleet_identify (core, m, r->type, r->zone, r->spot);
  mh_failure_heard (core, m->zone, is_report);
  if (r->notice_us >= 0 && m->notice_until_us < 0)
    mh_info (core, "machine %s: the cloud takes it back in %.1f s", m->name,
             (double)r->notice_us / MH_SECOND_US);
  m->notice_until_us = r->notice_us >= 0 ? core->now.mono_us + r->notice_us : -1;
  mh_command_forget_fenced (m);

  for (guint i = 0; i < m->attempts->len; i++)
    mh_machine_attempt (m, i)->present = false;
  g_array_set_size (m->orphans, 0);
  m->unknown = 0;
  for (guint i = 0; i < r->tasks->len; i++)
    observe_task (core, m, &g_array_index (r->tasks, MhTaskStatus, i));
  for (guint i = m->attempts->len; i-- > 0;)
    {
      MhAttempt *a = mh_machine_attempt (m, i);
      if (a->present || !proven_gone (core, a, is_report))
        continue;
      mh_info (core, "task %s/%u: attempt %u is gone from %s", a->job->spec->id, a->index,
               a->attempt, m->name);
      mh_fleet_attempt_over (core, a, false);
    }
}

static bool
newer (const MhMachine *m, const MhHeartbeat *r)
{
  return !m->reported || r->incarnation > m->incarnation
         || (r->incarnation == m->incarnation && r->sequence > m->sequence);
}

bool
mh_fleet_answered (MhCore *core, MhMachine *m, const MhHeartbeat *r)
{
  if (strcmp (r->machine, m->name) != 0 || !newer (m, r))
    return false;
  if (r->fencing_token > mh_command_token (core, m))
    {
      mh_leader_lost (core, "a worker has seen a higher token");
      return false;
    }
  observe (core, m, r, false);
  return true;
}

/* ---- report ---- */

/* For how long after its last renewal a leader that cannot renew any more may keep workers' tasks
   alive, without starting anything. A successor may confirm a cancellation from that renewal's end
   on, never before; a task of that job must be gone within cancel_s, and ends at the latest with
   the worker's lease after the last answered report. docs/design.md has the inequality with each
   term. Not above 0: no such answer is given. */
gint64
mh_fleet_keep_alive_us (const MhCore *core)
{
  const MhSettings *s = core->settings;
  return s->cancel_us - s->worker_lease_us - s->worker_lease_us / CLOCKS_APART
         - KEEP_ALIVE_SPARE_US;
}

static bool
may_keep_alive (const MhCore *core)
{
  return core->leader.phase == MH_PHASE_LEAD && !core->leader.lost
         && core->now.mono_us < core->leader.confirmed_us + mh_fleet_keep_alive_us (core);
}

static void
answer_report (MhCore *core, guint64 id, guint status, MhValue *body)
{
  MhAction *a = mh_core_act (core, MH_ACTION_ANSWER_REPORT, id);
  a->status = status;
  a->body = body;
  /* Without commands it may be given for longer, but nothing is gained by telling those apart: a
     process that stood still for so long is asked again. */
  if (status == 200 && mh_leader_valid (core))
    a->lease_until_us = core->leader.valid_until_us;
}

/* A report of unknown age: at most it tells where to ask. */
static void
note_unverified_report (MhCore *core, MhMachine *m, const MhHeartbeat *r)
{
  if (m == NULL || m->reported || m->releasing)
    return;
  if (m->endpoint == NULL)
    m->endpoint = g_strdup (r->endpoint);
  m->unverified_us = core->now.mono_us;
}

/* A worker sends its next report only when it has the answer to the last or has given it up, so
   that what the answer said must show. A machine whose reports arrive while nothing reaches it
   looks alive, and does nothing that it is told. */
static void
check_answer_received (MhCore *core, MhMachine *m, const MhHeartbeat *r)
{
  bool asked = m->told && m->token < m->answered_token;
  bool ignores
      = m->told && (r->fencing_token < m->answered_token || r->incarnation > m->incarnation);
  for (guint i = 0; i < m->attempts->len && m->told && !ignores; i++)
    {
      const MhAttempt *a = mh_machine_attempt (m, i);
      if (a->seen || !a->start_sent || a->loaded || a->start_sequence != m->answered_sequence)
        continue;
      bool shown = false;
      for (guint k = 0; k < r->tasks->len && !shown; k++)
        {
          const MhTaskStatus *t = &g_array_index (r->tasks, MhTaskStatus, k);
          shown = t->index == a->index && t->attempt == a->attempt
                  && strcmp (t->job, a->job->spec->id) == 0;
        }
      asked = true;
      ignores = !shown;
    }
  m->told = false;
  if (ignores)
    {
      if (++m->ignored_answers == MH_MAX_IGNORED_ANSWERS)
        mh_info (core, "machine %s: reports, but shows nothing of what it is told", m->name);
    }
  else if (asked)
    m->ignored_answers = 0;
}

void
mh_fleet_report (MhCore *core, guint64 id, const MhHeartbeat *r)
{
  MhMachine *m = mh_fleet_machine (core, r->machine);
  /* One that this leadership knew is known no more when it has been given back. */
  bool was_ours = m == NULL && r->fencing_token > core->leader.own_epoch
                  && r->fencing_token < core->leader.own_epoch + MH_EPOCHS_EACH;
  if (core->leader.phase == MH_PHASE_LEAD && (was_ours || mh_fleet_returned (core, r->machine)))
    {
      answer_report (core, id, 503, NULL);
      return;
    }
  if (r->fencing_token > mh_command_token (core, m))
    {
      mh_leader_lost (core, "a worker has seen a higher token");
      answer_report (core, id, 421, mh_redirect_encode (NULL));
      return;
    }
  /* One that has not read the records yet does not know what is cancelled: each of its answers
     would keep such tasks alive, and slow reads, or one short leadership after the other, for ever.
   */
  bool valid = mh_leader_valid (core);
  if (core->leader.phase != MH_PHASE_LEAD || (!valid && !may_keep_alive (core)))
    {
      answer_report (core, id, 503, NULL);
      return;
    }
  g_autoptr (GArray) commands = mh_commands_new ();
  bool told = false;
  /* Copies of reports come late, also of machines that are long gone and to a leader that has
     heard nothing newer. Only one with an epoch of this leadership was surely sent in it; by
     any other the worker is merely answered, and it reports again when it has seen the epoch. */
  if (r->fencing_token < core->leader.own_epoch)
    note_unverified_report (core, m, r);
  else
    {
      if (m == NULL)
        {
          mh_info (core, "machine %s: not known before; it is used", r->machine);
          m = mh_fleet_add (core, r->machine, r->type, r->zone, r->spot);
        }
      if (newer (m, r))
        {
          check_answer_received (core, m, r);
          observe (core, m, r, true);
          if (valid && !core->leader.lost)
            {
              mh_command_collect (core, m, commands);
              told = m->told = true;
              m->answered_token = mh_command_token (core, m);
              m->answered_sequence = r->sequence;
            }
        }
    }
  /* No answer renews the lease of a worker without stopping what is cancelled there: the leader may
     not be able to say so later. */
  if (!told && m)
    mh_command_collect_cancelled (m, commands);
  answer_report (core, id, 200, mh_commands_encode (mh_command_token (core, m), NULL, commands));
}

static void
drain_by_notice (MhCore *core, MhMachine *m)
{
  gint64 left = m->notice_until_us - core->now.mono_us;
  for (guint i = m->attempts->len; i-- > 0;)
    {
      MhAttempt *a = mh_machine_attempt (m, i);
      const MhJobSpec *s = a->job->spec;
      if (a->stopping)
        continue;
      gint64 ran = a->running_us ? core->now.mono_us - a->running_us : 0;
      /* Too late to save together: it may still end in time, and loses nothing more if not. */
      if (mh_gang_is (a->job) && a->running_us && left < s->checkpoint_save_us + MH_SECOND_US)
        continue;
      if (s->checkpoint_interval_us > 0 && a->running_us)
        mh_fleet_stop (core, a, MAX (0, MIN (s->checkpoint_save_us, left)));
      else if (s->shape == MH_SHAPE_SERVICE || s->estimated_run_us - ran > left)
        mh_fleet_stop (core, a, 0);
    }
}

static void
look_after (MhCore *core, MhMachine *m)
{
  mh_failure_check (core, m);
  if (m->notice_until_us >= 0)
    drain_by_notice (core, m);
  mh_command_fence (core, m);
  mh_command_send (core, m, false);
}

/* What has just changed is answered at once; all machines are looked through now and then only, so
   that the work of a step does not grow with the fleet. */
void
mh_fleet_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  mh_gang_step (core);
  for (guint i = 0; i < core->commands_due->len; i++)
    {
      MhMachine *m = g_ptr_array_index (core->commands_due, i);
      m->commands_due = false;
      if (!m->releasing)
        mh_command_send (core, m, false);
    }
  g_ptr_array_set_size (core->commands_due, 0);
  if (now < core->swept_us + SWEEP_US)
    {
      mh_core_wake_at (core, core->swept_us + SWEEP_US);
      return;
    }
  core->swept_us = now;
  GHashTableIter it;
  gpointer value;
  mh_failure_survey (core);
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (!m->releasing)
        look_after (core, m);
    }
  forget_returned (core);
  mh_failure_hand_over (core);
  mh_core_wake_at (core, now + SWEEP_US);
}
