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

/* A pass looks at the machines for every job that waits, which on a small share of a core is
   expensive: only what is expected to start within seconds calls for one at once. Looking for tasks
   to preempt looks at every task there is, and is done less often. */
#define URGENT_PASS_US 20000
#define REQUESTED_PASS_US 50000
#define IDLE_PASS_US (MH_SECOND_US / 2)
#define PREEMPTION_INTERVAL_US (MH_SECOND_US / 5)
#define MIN_WAKE_UP_US 5000
/* Starts in one pass: a huge array must not hold up everything else in the process. */
#define STARTS_PER_PASS 400u

struct MhPlacement
{
  MhCluster *cluster;
  MhRuntime *runtime;
  MhRecordWriter *record_writer;
  MhJobQueue *queue;
  bool pass_requested, urgent;
  gint64 last_pass_us, last_preemption_us;
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

/* Whether the task rather waits than to start on the candidate. */
static bool
pass_over (MhJobCycle *cycle, const MhCandidate *candidate)
{
  /* A service that would come too late by its image rather takes the room of lesser work where the
     image is. */
  if (cycle->is_service && candidate->image_wait_us > cycle->start_slack_us
      && cycle->pass->is_rebuilt
      && mh_preemption_make_room_for_task (cycle, MAX (cycle->start_slack_us, 0)))
    cycle->room_made++;
  else if (mh_arrival_claim (cycle, candidate->image_wait_us))
    cycle->awaits_arrival = true;
  else
    return false;
  cycle->passed_over = true;
  cycle->next_task++;
  return true;
}

/* NULL: no machine passes the filters; if none has room either, that is remembered for larger
 * tasks. */
static MhCandidate *
select_candidate (MhJobCycle *cycle)
{
  MhCandidate *candidate = mh_candidates_select (cycle);
  if (candidate == NULL && cycle->candidates->len
      && cycle->first_with_room == cycle->candidates->len)
    mh_infeasible_remember (cycle->pass->infeasible, cycle->job->spec);
  return candidate;
}

static bool
quota_allows_task (const MhPlacementPass *pass, const MhJob *job)
{
  const MhTeamUse *use = mh_cluster_team_use (pass->cluster, job->spec->team);
  return mh_quota_fits (pass->settings, use, job, job->spec->cpus, job->spec->gpus);
}

/* Starts what finds room. */
static void
start_tasks (MhJobCycle *cycle)
{
  const MhPlacementPass *pass = cycle->pass;
  MhJob *job = cycle->job;
  guint startable = mh_task_failure_count_startable (pass->cluster, job);
  while (startable > 0 && find_next_pending (cycle) && cycle->pass->starts < STARTS_PER_PASS)
    {
      /* Not past a task that was passed over: it once was forgotten with that, and a replica never
         started. */
      if (!cycle->passed_over)
        job->placement.first_pending = cycle->next_task;
      if (!quota_allows_task (pass, job))
        return;
      MhCandidate *candidate = select_candidate (cycle);
      if (candidate == NULL)
        return;
      if (pass_over (cycle, candidate))
        continue;
      start_next_task (cycle, candidate);
      startable--;
      if (job->placement.starved)
        return;
    }
}

/* Room that falls free bit by bit would always be taken by smaller tasks: the machine that has the
   most is kept for a starved job until it is enough. */
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
  bool may_preempt = pass->may_preempt && pass->preemptions < MH_PREEMPTIONS_PER_PASS
                     && mh_preemption_is_allowed (
                         pass, job, mh_objective_slack_us (pass->settings, job, pass->now_us));
  MhGangPlacement placement = mh_gang_place (pass, job, may_preempt);
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
  /* Nothing is stopped for a job that is only tried. */
  if (mh_job_pending_tasks (job) && !cycle.awaits_arrival && pass->may_preempt
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

/* The counts of a job are rebuilt when every machine on record for it has reported. Since a start
   is on record before it is sent, a job without one has no task anywhere. When the time for that
   is over, the zones must be known at least: a machine known from a record alone has none yet, and
   the task on it would be left out of the count. */
static bool
counts_are_known (const MhPlacementPass *pass, const MhJob *job)
{
  const MhJobSpec *spec = job->spec;
  if (job->n_unreported == 0)
    return true;
  if (!pass->is_rebuilt)
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
  if (mh_task_failure_count_startable (pass->cluster, job) == 0 || !counts_are_known (pass, job)
      || !quota_allows_task (pass, job))
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
    return placement->last_pass_us + URGENT_PASS_US;
  if (placement->pass_requested)
    return placement->last_pass_us + REQUESTED_PASS_US;
  return placement->last_pass_us + IDLE_PASS_US;
}

/* A stop that frees room at once is used in the next pass. */
static void
run_pass (MhPlacement *placement, const GPtrArray *jobs, bool is_rebuilt)
{
  gint64 now = mh_runtime_now_us (placement->runtime);
  MhPlacementPass pass
      = { .cluster = placement->cluster,
          .runtime = placement->runtime,
          .record_writer = placement->record_writer,
          .settings = mh_runtime_settings (placement->runtime),
          .types = mh_cluster_types (placement->cluster),
          .now_us = now,
          .is_rebuilt = is_rebuilt,
          .may_preempt = now >= placement->last_preemption_us + PREEMPTION_INTERVAL_US,
          .last_preemption_us = placement->last_preemption_us };
  mh_placement_pass_init (&pass);
  for (guint i = 0; i < jobs->len; i++)
    place_job (&pass, g_ptr_array_index (jobs, i));
  placement->last_preemption_us = pass.last_preemption_us;
  mh_placement_pass_clear (&pass);
}

void
mh_placement_run (MhPlacement *placement, bool is_rebuilt)
{
  const GPtrArray *types = mh_cluster_types (placement->cluster);
  gint64 now = mh_runtime_now_us (placement->runtime), next = next_pass_us (placement);
  if (now < next || types == NULL)
    {
      mh_runtime_wake_at (placement->runtime, MAX (next, now + MIN_WAKE_UP_US));
      return;
    }
  placement->last_pass_us = now;
  placement->pass_requested = placement->urgent = false;
  g_autoptr (GPtrArray) jobs
      = mh_job_queue_pending (placement->queue, MH_JOB_QUEUE_ACCEPTED, types, now);
  if (jobs->len > 0)
    run_pass (placement, jobs, is_rebuilt);
}
