/* Team quotas: what the tasks of a team may use at the same time. */
#pragma once

#include "cluster/machine-registry.h"
#include "jobs/job.h"

/**
 * mh_quota_fits:
 * @core: the controller
 * @job: a job
 * @more_cpus: cores that further tasks of it would use
 * @more_gpus: GPUs that they would use
 *
 * Returns: whether the quota of the job's team allows these besides what may be in use now; %FALSE
 * for a team that the settings do not know
 */
bool
mh_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus);

/**
 * mh_quota_allowed_tasks:
 * @core: the controller
 * @job: a job
 * @planned: what is planned for the team besides what may be in use now
 * @tasks: how many tasks are wanted
 *
 * Returns: how many of @tasks further tasks the quota of the job's team allows; 0 for a team that
 * the settings do not know
 */
guint
mh_quota_allowed_tasks (MhCore *core, const MhJob *job, const MhUse *planned, guint tasks);
