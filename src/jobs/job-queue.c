/* The order of work: which jobs have something to start, which come first, and how long they may
   wait. */
#include "controller/core-private.h"

#include <string.h>

/* Jobs that can meet no aim any more count as due this much later: behind those that can, but not
   for ever. */
#define HOPELESS_US (180 * MH_SECOND_US)
/* A job of which nothing has begun for so long goes before all work that is not urgent, with one
   task: else the largest and the least would wait for ever behind a steady stream of small ones. */
#define BEGIN_US (150 * MH_SECOND_US)

static gint
by_submission (gconstpointer a, gconstpointer b)
{
  const MhJob *x = *(MhJob *const *)a, *y = *(MhJob *const *)b;
  if (x->submitted_wall_us != y->submitted_wall_us)
    return x->submitted_wall_us < y->submitted_wall_us ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

guint
mh_queue_tier (const MhJob *job)
{
  if (job->spec->priority >= MH_PRIORITY_HIGH)
    return job->guaranteed ? 0 : 1;
  return job->guaranteed ? 2 : 3;
}

static bool
starved (const MhCore *core, const MhJob *job)
{
  return job->n_live == 0 && job->n_done == 0 && !mh_job_backs_off (job)
         && core->now.mono_us - job->submitted_us > BEGIN_US;
}

static gint
by_order (gconstpointer a, gconstpointer b)
{
  const MhJob *x = *(MhJob *const *)a, *y = *(MhJob *const *)b;
  guint tx = x->starved ? MIN (mh_queue_tier (x), 2) : mh_queue_tier (x);
  guint ty = y->starved ? MIN (mh_queue_tier (y), 2) : mh_queue_tier (y);
  if (tx != ty)
    return tx < ty ? -1 : 1;
  if (x->starved != y->starved)
    return x->starved ? -1 : 1;
  if (x->starved)
    return by_submission (a, b);
  if (x->spec->priority != y->spec->priority)
    return x->spec->priority > y->spec->priority ? -1 : 1;
  if (x->start_by_us != y->start_by_us)
    return x->start_by_us < y->start_by_us ? -1 : 1;
  return by_submission (a, b);
}

double
mh_queue_bias (MhCore *core, const char *class_name)
{
  const MhClassStat *stat = g_hash_table_lookup (core->class_stats, class_name);
  return stat && stat->n >= 3 ? CLAMP (stat->ratio, 0.25, 4) : 1;
}

void
mh_queue_learn (MhCore *core, const MhJobSpec *s, gint64 ran_us)
{
  if (s->estimated_run_us < MH_SECOND_US)
    return;
  MhClassStat *stat = g_hash_table_lookup (core->class_stats, s->class_name);
  if (stat == NULL)
    {
      stat = g_new0 (MhClassStat, 1);
      g_hash_table_insert (core->class_stats, g_strdup (s->class_name), stat);
    }
  stat->n++;
  double weight = MAX (1.0 / stat->n, 0.02);
  stat->ratio += weight * ((double)ran_us / (double)s->estimated_run_us - stat->ratio);
}

gint64
mh_queue_run_us (MhCore *core, const MhJobSpec *s)
{
  return (gint64)((double)s->estimated_run_us * mh_queue_bias (core, s->class_name));
}

gint64
mh_queue_fetch_us (const MhCore *core, const MhJobSpec *s)
{
  for (guint i = 0; mh_cluster_types (core) && i < mh_cluster_types (core)->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (mh_cluster_types (core), i);
      if (mh_place_type_fits (s, t) && t->fetch_gb_per_s > 0)
        return (gint64)(s->image_gb / t->fetch_gb_per_s * MH_SECOND_US);
    }
  return 0;
}

/* When the job has to be done so that it meets the objective; 0: it says nothing of that. A gang
   whose tasks begin in time counts as one that is done a run later: by the aim for its end alone,
   gangs waited behind arrays whose deadlines were nearer. */
static gint64
done_by (MhCore *core, const MhJob *job, const MhObjective *objective)
{
  const MhJobSpec *s = job->spec;
  gint64 by = job->submitted_us + objective->within_us;
  if (g_strcmp0 (objective->class_name, s->class_name) != 0)
    return 0;
  if (objective->kind == MH_OBJECTIVE_FINISHED)
    return by;
  if (objective->kind == MH_OBJECTIVE_WAIT && s->shape == MH_SHAPE_GANG)
    return by + mh_queue_run_us (core, s);
  return 0;
}

/* When the job's tasks should start at the latest, by its deadline or its class's aims, of which
   those count that can still be met. A job that can meet none goes behind those that can. */
static gint64
start_by (MhCore *core, MhJob *job)
{
  const MhJobSpec *s = job->spec;
  gint64 now = core->now.mono_us, at = G_MAXINT64, last = 0;
  gint64 needs = mh_queue_fetch_us (core, s) + mh_queue_run_us (core, s);
  if (s->deadline_us >= 0)
    at = last = job->submitted_us + s->deadline_us;
  else
    for (guint i = 0; i < core->settings->objectives->len; i++)
      {
        gint64 by = done_by (core, job, g_ptr_array_index (core->settings->objectives, i));
        if (by == 0)
          continue;
        last = MAX (last, by);
        if (by - needs >= now)
          at = MIN (at, by);
      }
  if (last == 0)
    at = job->submitted_us + 600 * MH_SECOND_US;
  job->hopeless = last && (at == G_MAXINT64 || at - needs < now);
  if (job->hopeless)
    at = MIN (at, last) + HOPELESS_US;
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
      job->guaranteed = team && sum->cpus <= team->cpus + 1e-6 && sum->gpus <= team->gpus + 1e-6;
    }
}

GPtrArray *
mh_queue_jobs (MhCore *core, MhQueueScope scope)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if ((job->accepted || scope == MH_QUEUE_ALL) && !mh_job_over (job))
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
      job->starved = starved (core, job);
      job->start_by_us = start_by (core, job);
      jobs->pdata[kept++] = job;
    }
  g_ptr_array_set_size (jobs, (gint)kept);
  g_ptr_array_sort (jobs, by_order);
  return jobs;
}

/* How long a start of the job may still take, by the aims that hold for it. Once it is late there
   is no hurry. A guarantee without an aim means soon. */
gint64
mh_queue_patience_us (const MhCore *core, const MhJob *job)
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
