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

/* Returns how many of `tasks` tasks, of which each one uses `per_task`, fit in `available`. */
static guint
count_fitting_tasks (double available, double per_task, guint tasks)
{
  if (per_task <= 0 || per_task * tasks <= available)
    return tasks;
  return available > 0 ? (guint)(available / per_task) : 0;
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
  return count_fitting_tasks (gpus, job->spec->gpus,
                              count_fitting_tasks (cpus, job->spec->cpus, tasks));
}
