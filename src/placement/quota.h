/* Team quotas: the CPUs and GPUs that the tasks of a team may use at the same time. */
#pragma once

#include "cluster/machine.h"
#include "settings/settings.h"

/**
 * mh_quota_fits:
 * @settings: settings with the teams' quotas
 * @use: (nullable): what tasks of the team may currently use; %NULL: nothing
 * @job: a job
 * @more_cpus: CPUs that further tasks of the job would use
 * @more_gpus: GPUs that they would use
 *
 * Returns: whether the quota of the job's team allows this in addition to @use; %FALSE for a team
 * that the settings do not list
 */
bool
mh_quota_fits (const MhSettings *settings, const MhTeamUse *use, const MhJob *job, double more_cpus,
               double more_gpus);

/**
 * mh_quota_allowed_tasks:
 * @settings: settings with the teams' quotas
 * @use: (nullable): what tasks of the team may currently use; %NULL: nothing
 * @job: a job
 * @planned: what is planned for the team in addition to @use
 * @tasks: number of further tasks of the job
 *
 * Returns: how many of @tasks the quota of the job's team allows in addition to @use and @planned;
 * 0 for a team that the settings do not list
 */
guint
mh_quota_allowed_tasks (const MhSettings *settings, const MhTeamUse *use, const MhJob *job,
                        const MhTeamUse *planned, guint tasks);
