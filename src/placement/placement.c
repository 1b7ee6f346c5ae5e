#include "placement/placement.h"

#include "cluster/attempt.h"
#include "cluster/cluster.h"
#include "cluster/task-failure.h"
#include "jobs/objective.h"
#include "placement/candidate.h"
#include "placement/filter.h"
#include "placement/gang-placement.h"
#include "placement/preemption.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "placement/score.h"
#include "placement/task-start.h"

/* Minimum time between passes. A pass examines the machines for every pending job, which is
   expensive on a small share of a core. The shortest interval is therefore only for changes that
   may let a task start that is expected to start within seconds. */
#define URGENT_PASS_INTERVAL_US 20000
#define REQUESTED_PASS_INTERVAL_US 50000
/* Time between passes that nothing has requested. */
#define IDLE_PASS_INTERVAL_US (MH_SECOND_US / 2)
/* Minimum time between passes that look for tasks to preempt, which examines every task. A pass
   that looked only for a gang, and could not make room for it, does not count. */
#define PREEMPTION_INTERVAL_US (MH_SECOND_US / 5)
/* Minimum time until the wake-up for a pass that cannot run yet. */
#define MIN_WAKE_UP_DELAY_US 5000
/* Number of starts in one pass after which no more tasks of arrays and services start, so that a
   huge array does not block the process. Gangs start whole. */
#define MAX_STARTS_PER_PASS 400u

struct MhPlacement
{
  MhCluster *cluster;
  MhRuntime *runtime;
  MhRecordWriter *record_writer;
  MhJobQueue *queue;
  bool pass_requested, urgent;
  gint64 last_pass_us, last_preemption_us;
  char *search_first; /* see MhPlacementPass */
};

MhPlacement *
mh_placement_new (MhCluster *cluster, MhRuntime *runtime, MhRecordWriter *record_writer,
                  MhJobQueue *queue)
{
  MhPlacement *placement = g_new0 (MhPlacement, 1);
  placement->cluster = cluster;
  placement->runtime = runtime;
  placement->record_writer = record_writer;
  placement->queue = queue;
  return placement;
}

void
mh_placement_free (MhPlacement *placement)
{
  if (placement)
    g_free (placement->search_first);
  g_free (placement);
}

void
mh_placement_request_pass (MhPlacement *placement, bool urgent)
{
  placement->pass_requested = true;
  placement->urgent |= urgent;
}

/* ---- tasks ---- */

static void
start_next_task (MhJobCycle *cycle, MhCandidate *candidate)
{
  MhJob *job = cycle->job;
  guint index = cycle->next_task;
  MhAttempt *attempt
      = mh_task_start (cycle->pass, job, index, job->tasks[index].attempt + 1, candidate->machine,
                       cycle->is_service ? MH_URGENCY_USER : MH_URGENCY_START);
  attempt->job_was_starved = job->placement.starved;
  candidate->replicas_on_machine = mh_score_replicas_on_machine (
      candidate->machine->usage.replicas, mh_cluster_service_replicas (cycle->pass->cluster));
  g_array_index (cycle->zones, MhZoneCount, candidate->zone).count++;
  cycle->pass->starts++;
}

static bool
find_next_pending (MhJobCycle *cycle)
{
  const MhJob *job = cycle->job;
  while (cycle->next_task < job->spec->tasks
         && job->tasks[cycle->next_task].state != MH_TASK_PENDING)
    cycle->next_task++;
  return cycle->next_task < job->spec->tasks;
}

/* Skips the next task in this pass if waiting is better than a start on the candidate. Returns
   whether it did. */
static bool
defer_task (MhJobCycle *cycle, const MhCandidate *candidate)
{
  /* A replica whose image would be late on the candidate takes the room of tasks further back in
     the queue instead, on a machine where its image is in time. */
  if (cycle->is_service && candidate->image_wait_us > cycle->start_slack_us
      && cycle->pass->is_recovery_complete
      && mh_preemption_make_room_for_task (cycle, MAX (cycle->start_slack_us, 0)))
    cycle->tasks_awaiting_room++;
  else if (mh_booting_machine_claim (cycle, candidate->image_wait_us))
    cycle->awaits_booting_machine = true;
  else
    return false;
  cycle->has_deferred_task = true;
  cycle->next_task++;
  return true;
}

/* Returns NULL if no candidate passes the filters now. If none of them has room any more, adds the
   request to the infeasible ones, so that the machines are not searched for tasks that need as much
   or more. */
static MhCandidate *
select_candidate (MhJobCycle *cycle)
{
  MhCandidate *candidate = mh_candidates_select (cycle);
  if (candidate == NULL && cycle->candidates->len
      && cycle->first_with_room == cycle->candidates->len)
    mh_infeasible_add (cycle->pass->infeasible, cycle->job->spec);
  return candidate;
}

static bool
is_task_within_quota (const MhPlacementPass *pass, const MhJob *job)
{
  const MhTeamUse *use = mh_cluster_team_use (pass->cluster, job->spec->team);
  return mh_quota_fits (pass->settings, use, job, job->spec->cpus, job->spec->gpus);
}

/* Starts pending tasks for as long as a machine is found for the next one. A starved job starts
   only one task. */
static void
start_tasks (MhJobCycle *cycle)
{
  const MhPlacementPass *pass = cycle->pass;
  MhJob *job = cycle->job;
  guint startable = mh_task_failure_count_startable (pass->cluster, job);
  while (startable > 0 && find_next_pending (cycle) && cycle->pass->starts < MAX_STARTS_PER_PASS)
    {
      /* first_pending must not advance past a deferred task, or later passes would skip that
         task. Without this check, a replica was never started. */
      if (!cycle->has_deferred_task)
        job->placement.first_pending = cycle->next_task;
      if (!is_task_within_quota (pass, job))
        return;
      MhCandidate *candidate = select_candidate (cycle);
      if (candidate == NULL)
        return;
      if (defer_task (cycle, candidate))
        continue;
      start_next_task (cycle, candidate);
      startable--;
      if (job->placement.starved)
        return;
    }
}

/* Reserves room on the machine with the most unused CPUs for a task of a starved job. Without the
   reservation, smaller tasks would take what becomes free there bit by bit, and the task would
   never fit. */
static void
reserve_machine (MhJobCycle *cycle)
{
  MhMachine *best = NULL;
  for (guint i = 0; i < cycle->pass->usable_machines->len; i++)
    {
      MhMachine *machine = g_ptr_array_index (cycle->pass->usable_machines, i);
      if (!mh_filter_admits (cycle, machine) || machine->usage.reserved_cpus != 0)
        continue;
      if (best == NULL || mh_resources_unused_cpus (machine) > mh_resources_unused_cpus (best))
        best = machine;
    }
  if (best)
    mh_resources_reserve (best, cycle->job->spec, 1);
}

/* ---- jobs ---- */

static void
place_gang (MhPlacementPass *pass, MhJob *job)
{
  bool may_preempt = pass->may_preempt && pass->preemptions < MH_MAX_PREEMPTIONS_PER_PASS
                     && mh_preemption_is_allowed (
                         pass, job, mh_objective_slack_us (pass->settings, job, pass->now_us));
  MhGangPlacementResult placement = mh_gang_place (pass, job, may_preempt);
  if (placement == MH_GANG_STARTED)
    pass->starts += job->spec->tasks;
  if (placement == MH_GANG_PREEMPTING)
    {
      pass->preemptions++;
      pass->last_preemption_us = pass->now_us;
    }
}

static void
place_tasks (MhPlacementPass *pass, MhJob *job)
{
  MhJobCycle cycle;
  mh_job_cycle_init (&cycle, pass, job);
  mh_candidates_collect (&cycle);
  start_tasks (&cycle);
  if (job->placement.starved && job->n_live == 0)
    reserve_machine (&cycle);
  /* No task is preempted for a job that backs off: its next start is only a retry. */
  if (mh_job_pending_tasks (job) && !cycle.awaits_booting_machine && pass->may_preempt
      && !mh_job_backs_off (job))
    mh_preemption_make_room (&cycle);
  mh_job_cycle_clear (&cycle);
}

static bool
has_task_in_unknown_zone (const MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live && job->tasks[i].live->machine->zone == NULL)
      return true;
  return false;
}

/* Whether the counts of a job's tasks by zone are complete. This is so when every machine on which
   the records show a task of the job has reported to this leader. Since a start is recorded before
   it is sent, the job has no tasks that the records do not show.

   If recovery has ended before all of them have reported, at least their zones must be known where
   placement depends on zones: a machine that is known only from a record has no zone yet, and the
   task on it would be left out of the counts. */
static bool
has_known_counts (const MhPlacementPass *pass, const MhJob *job)
{
  const MhJobSpec *spec = job->spec;
  if (job->n_unreported == 0)
    return true;
  if (!pass->is_recovery_complete)
    return false;
  if (spec->shape != MH_SHAPE_SERVICE && !spec->spread_over_zones && !spec->single_zone)
    return true;
  return !has_task_in_unknown_zone (job);
}

static void
place_job (MhPlacementPass *pass, MhJob *job)
{
  if (pass->now_us < job->placement.retry_after_us)
    {
      mh_runtime_wake_at (pass->runtime, job->placement.retry_after_us);
      return;
    }
  if (mh_task_failure_count_startable (pass->cluster, job) == 0 || !has_known_counts (pass, job)
      || !is_task_within_quota (pass, job))
    return;
  if (mh_job_is_gang (job))
    place_gang (pass, job);
  else
    place_tasks (pass, job);
}

/* ---- passes ---- */

static gint64
next_pass_us (const MhPlacement *placement)
{
  if (placement->urgent)
    return placement->last_pass_us + URGENT_PASS_INTERVAL_US;
  if (placement->pass_requested)
    return placement->last_pass_us + REQUESTED_PASS_INTERVAL_US;
  return placement->last_pass_us + IDLE_PASS_INTERVAL_US;
}

/* Preemption can free room at once, if the start of a task was not sent yet. That room is used in
   the next pass. */
static void
run_pass (MhPlacement *placement, const GPtrArray *jobs, bool is_recovery_complete)
{
  gint64 now_us = mh_runtime_now_us (placement->runtime);
  MhPlacementPass pass
      = { .cluster = placement->cluster,
          .runtime = placement->runtime,
          .record_writer = placement->record_writer,
          .settings = mh_runtime_settings (placement->runtime),
          .types = mh_cluster_types (placement->cluster),
          .now_us = now_us,
          .is_recovery_complete = is_recovery_complete,
          .may_preempt = now_us >= placement->last_preemption_us + PREEMPTION_INTERVAL_US,
          .last_preemption_us = placement->last_preemption_us,
          .search_first = placement->search_first };
  mh_placement_pass_init (&pass);
  for (guint i = 0; i < jobs->len; i++)
    place_job (&pass, g_ptr_array_index (jobs, i));
  placement->last_preemption_us = pass.last_preemption_us;
  if (pass.may_preempt)
    {
      g_free (placement->search_first);
      placement->search_first = pass.search_next;
    }
  mh_placement_pass_clear (&pass);
}

void
mh_placement_run (MhPlacement *placement, bool is_recovery_complete)
{
  const GPtrArray *types = mh_cluster_types (placement->cluster);
  gint64 now_us = mh_runtime_now_us (placement->runtime), next_us = next_pass_us (placement);
  if (now_us < next_us || types == NULL)
    {
      mh_runtime_wake_at (placement->runtime, MAX (next_us, now_us + MIN_WAKE_UP_DELAY_US));
      return;
    }
  placement->last_pass_us = now_us;
  placement->pass_requested = placement->urgent = false;
  g_autoptr (GPtrArray) jobs
      = mh_job_queue_pending (placement->queue, MH_JOB_QUEUE_ACCEPTED, types, now_us);
  if (jobs->len > 0)
    run_pass (placement, jobs, is_recovery_complete);
}
