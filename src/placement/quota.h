/* Team quotas: what the tasks of a team may use at the same time. */
#pragma once

#include "cluster/machine.h"
#include "settings/settings.h"

/**
 * mh_quota_fits:
 * @settings: with the teams' quotas
 * @use: (nullable): what tasks of the team may be using now; %NULL: nothing
 * @job: a job
 * @more_cpus: cores that further tasks of it would use
 * @more_gpus: GPUs that they would use
 *
 * Returns: whether the quota of the job's team allows these besides what may be in use now; %FALSE
 * for a team that the settings do not know
 */
bool
mh_quota_fits (const MhSettings *settings, const MhTeamUse *use, const MhJob *job, double more_cpus,
               double more_gpus);

/**
 * mh_quota_allowed_tasks:
 * @settings: with the teams' quotas
 * @use: (nullable): what tasks of the team may be using now; %NULL: nothing
 * @job: a job
 * @planned: what is planned for the team besides what may be in use now
 * @tasks: how many tasks are wanted
 *
 * Returns: how many of @tasks further tasks the quota of the job's team allows; 0 for a team that
 * the settings do not know
 */
guint
mh_quota_allowed_tasks (const MhSettings *settings, const MhTeamUse *use, const MhJob *job,
                        const MhTeamUse *planned, guint tasks);
