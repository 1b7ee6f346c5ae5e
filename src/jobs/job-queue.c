#include "jobs/job-queue.h"

#include "jobs/objective.h"

#include <string.h>

/* A job is starved if none of its tasks is placed or done this long after its submission, unless
   it backs off. It then goes before all work that is not urgent, with one task at first. Otherwise
   the largest jobs and those of the lowest priority would wait for ever behind a steady stream of
   small ones. */
#define STARVATION_THRESHOLD_US (150 * MH_SECOND_US)
/* Tolerance for the rounding errors of sums of fractional resources. */
#define RESOURCE_EPSILON 1e-6

struct MhJobQueue
{
  const MhSettings *settings;
  GHashTable *jobs; /* id -> MhJob */
  const MhRuntimeEstimator *estimator;
};

MhJobQueue *
mh_job_queue_new (const MhSettings *settings, GHashTable *jobs, const MhRuntimeEstimator *estimator)
{
  MhJobQueue *queue = g_new0 (MhJobQueue, 1);
  queue->settings = settings;
  queue->jobs = g_hash_table_ref (jobs);
  queue->estimator = estimator;
  return queue;
}

void
mh_job_queue_free (MhJobQueue *queue)
{
  g_hash_table_unref (queue->jobs);
  g_free (queue);
}

MhJobTier
mh_job_queue_tier (const MhJob *job)
{
  if (job->spec->priority >= MH_PRIORITY_HIGH)
    return job->placement.guaranteed ? MH_TIER_URGENT_GUARANTEED : MH_TIER_URGENT;
  return job->placement.guaranteed ? MH_TIER_GUARANTEED : MH_TIER_REST;
}

/* ---- order ---- */

static gint
compare_submission (gconstpointer left, gconstpointer right)
{
  const MhJob *first = *(MhJob *const *)left, *second = *(MhJob *const *)right;
  if (first->submitted_wall_us != second->submitted_wall_us)
    return first->submitted_wall_us < second->submitted_wall_us ? -1 : 1;
  return strcmp (first->spec->id, second->spec->id);
}

static MhJobTier
effective_tier (const MhJob *job)
{
  MhJobTier tier = mh_job_queue_tier (job);
  return job->placement.starved ? MIN (tier, MH_TIER_GUARANTEED) : tier;
}

gint
mh_job_queue_compare (gconstpointer left, gconstpointer right)
{
  const MhJob *first = *(MhJob *const *)left, *second = *(MhJob *const *)right;
  MhJobTier first_tier = effective_tier (first), second_tier = effective_tier (second);
  if (first_tier != second_tier)
    return first_tier < second_tier ? -1 : 1;
  if (first->placement.starved != second->placement.starved)
    return first->placement.starved ? -1 : 1;
  if (first->placement.starved)
    return compare_submission (left, right);
  if (first->spec->priority != second->spec->priority)
    return first->spec->priority > second->spec->priority ? -1 : 1;
  if (first->placement.latest_start_us != second->placement.latest_start_us)
    return first->placement.latest_start_us < second->placement.latest_start_us ? -1 : 1;
  return compare_submission (left, right);
}

/* ---- updating jobs ---- */

static bool
is_starved (const MhJob *job, gint64 now_us)
{
  return job->n_live == 0 && job->n_done == 0 && !mh_job_backs_off (job)
         && now_us - job->submitted_us > STARVATION_THRESHOLD_US;
}

static MhTeamUse *
find_or_add_team_use (GHashTable *team_uses, const char *team)
{
  MhTeamUse *use = g_hash_table_lookup (team_uses, team);
  if (use == NULL)
    {
      use = g_new0 (MhTeamUse, 1);
      g_hash_table_insert (team_uses, (gpointer)team, use);
    }
  return use;
}

/* A job is within its team's quota if the quota covers its unfinished tasks together with those of
   the team's earlier unfinished jobs. `jobs` is sorted by submission. */
static void
mark_guaranteed (const MhSettings *settings, GPtrArray *jobs)
{
  g_autoptr (GHashTable) team_uses = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < jobs->len; i++)
    {
      MhJob *job = g_ptr_array_index (jobs, i);
      const MhTeam *team = mh_settings_find_team (settings, job->spec->team);
      MhTeamUse *use = find_or_add_team_use (team_uses, job->spec->team);
      double unfinished = job->spec->tasks - job->n_done;
      use->cpus += unfinished * job->spec->cpus;
      use->gpus += unfinished * job->spec->gpus;
      job->placement.guaranteed = team && use->cpus <= team->cpus + RESOURCE_EPSILON
                                  && use->gpus <= team->gpus + RESOURCE_EPSILON;
    }
}

static void
update_job (const MhJobQueue *queue, MhJob *job, const GPtrArray *types, gint64 now_us)
{
  if (job->placement.unplaced_since_us == 0)
    job->placement.unplaced_since_us = now_us;
  job->placement.starved = is_starved (job, now_us);
  gint64 run_us = mh_runtime_estimator_run_us (queue->estimator, job->spec);
  gint64 fetch_us = mh_job_spec_fetch_us (job->spec, types);
  MhStartTarget target
      = mh_objective_latest_start (queue->settings, job, fetch_us + run_us, run_us, now_us);
  job->placement.latest_start_us = target.at_us;
  job->placement.objectives_missed = target.missed;
}

/* ---- the queue ---- */

static GPtrArray *
unfinished_jobs (const MhJobQueue *queue, MhJobQueueScope scope)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, queue->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhJob *job = value;
      if ((job->accepted || scope == MH_JOB_QUEUE_ALL) && !mh_job_has_no_more_starts (job))
        g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort (jobs, compare_submission);
  return jobs;
}

GPtrArray *
mh_job_queue_pending (MhJobQueue *queue, MhJobQueueScope scope, const GPtrArray *types,
                      gint64 now_us)
{
  GPtrArray *jobs = unfinished_jobs (queue, scope);
  mark_guaranteed (queue->settings, jobs);
  guint kept = 0;
  for (guint i = 0; i < jobs->len; i++)
    {
      MhJob *job = g_ptr_array_index (jobs, i);
      if (mh_job_pending_tasks (job) == 0)
        {
          job->placement.unplaced_since_us = 0;
          continue;
        }
      update_job (queue, job, types, now_us);
      jobs->pdata[kept++] = job;
    }
  g_ptr_array_set_size (jobs, (gint)kept);
  g_ptr_array_sort (jobs, mh_job_queue_compare);
  return jobs;
}
