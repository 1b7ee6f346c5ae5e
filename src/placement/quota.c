#include "placement/quota.h"

#include "placement/resources.h"

bool
mh_quota_fits (const MhSettings *settings, const MhTeamUse *use, const MhJob *job, double more_cpus,
               double more_gpus)
{
  const MhTeam *team = mh_settings_find_team (settings, job->spec->team);
  if (team == NULL)
    return false;
  return (use ? use->cpus : 0) + more_cpus <= team->cpus_max + MH_RESOURCE_EPSILON
         && (use ? use->gpus : 0) + more_gpus <= team->gpus_max + MH_RESOURCE_EPSILON;
}

/* How many of `tasks` tasks that need `each` stay within `left`. */
static guint
tasks_within (double left, double each, guint tasks)
{
  if (each <= 0 || each * tasks <= left)
    return tasks;
  return left > 0 ? (guint)(left / each) : 0;
}

guint
mh_quota_allowed_tasks (const MhSettings *settings, const MhTeamUse *use, const MhJob *job,
                        const MhTeamUse *planned, guint tasks)
{
  const MhTeam *team = mh_settings_find_team (settings, job->spec->team);
  if (team == NULL)
    return 0;
  double cpus = team->cpus_max - planned->cpus - (use ? use->cpus : 0) + MH_RESOURCE_EPSILON;
  double gpus = team->gpus_max - planned->gpus - (use ? use->gpus : 0) + MH_RESOURCE_EPSILON;
  return tasks_within (gpus, job->spec->gpus, tasks_within (cpus, job->spec->cpus, tasks));
}
