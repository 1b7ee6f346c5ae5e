#include "autoscaler/autoscaler.h"
#include "autoscaler/consolidation.h"
#include "autoscaler/demand.h"
#include "autoscaler/inventory.h"
#include "autoscaler/scale-in.h"
#include "autoscaler/scale-out.h"
#include "placement/quota.h"
#include "cluster/task-failure.h"

/* Interval between two steps of scale-out and consolidation, unless a request for machines ends
   earlier. */
#define SCALING_INTERVAL_US (MH_SECOND_US / 2)
/* Interval between two cluster summaries in the log. */
#define SUMMARY_INTERVAL_US (10 * MH_SECOND_US)

struct MhAutoscaler
{
  MhAutoscalerContext context;
  MhLostCapacity *lost_capacity;
  MhScaleOut *scale_out;
  MhScaleIn *scale_in;
  MhInventory *inventory;
  gint64 scaling_due_us, summary_due_us;
};

/* Makes the next step due at once, so that the machines that are still needed are requested without
   delay. */
static void
on_scale_out_done (gpointer owner)
{
  MhAutoscaler *self = owner;
  self->scaling_due_us = mh_runtime_now_us (self->context.runtime);
}

MhAutoscaler *
mh_autoscaler_new (const MhAutoscalerContext *context)
{
  g_return_val_if_fail (context != NULL, NULL);
  MhAutoscaler *self = g_new0 (MhAutoscaler, 1);
  self->context = *context;
  self->lost_capacity = mh_lost_capacity_new ();
  self->scale_out = mh_scale_out_new (&self->context, self->lost_capacity);
  mh_scale_out_set_done_func (self->scale_out, on_scale_out_done, self);
  self->scale_in = mh_scale_in_new (&self->context, self->lost_capacity);
  self->inventory = mh_inventory_new (&self->context, self->scale_in);
  return self;
}

void
mh_autoscaler_free (MhAutoscaler *self)
{
  if (self == NULL)
    return;
  mh_inventory_free (self->inventory);
  mh_scale_in_free (self->scale_in);
  mh_scale_out_free (self->scale_out);
  mh_lost_capacity_free (self->lost_capacity);
  g_free (self);
}

void
mh_autoscaler_reset (MhAutoscaler *self)
{
  g_return_if_fail (self != NULL);
  mh_inventory_reset (self->inventory);
  mh_scale_out_reset (self->scale_out);
  mh_scale_in_reset (self->scale_in);
  mh_lost_capacity_clear (self->lost_capacity);
}

bool
mh_autoscaler_is_inventory_loaded (const MhAutoscaler *self)
{
  g_return_val_if_fail (self != NULL, false);
  return mh_inventory_is_loaded (self->inventory);
}

void
mh_autoscaler_release_machine (MhAutoscaler *self, MhMachine *machine, MhReleaseReason reason)
{
  g_return_if_fail (self != NULL);
  mh_scale_in_release_machine (self->scale_in, machine, reason);
}

void
mh_autoscaler_load_release (MhAutoscaler *self, const MhKvEntry *entry)
{
  g_return_if_fail (self != NULL);
  mh_scale_in_load_release (self->scale_in, entry);
}

/* Counts the pending tasks that may start now. Tasks beyond their team's quota are left out:
   another machine would not let them start. */
static guint
count_startable_tasks (const MhAutoscalerContext *context, const MhJob *job)
{
  const MhTeamUse none = { 0 };
  return mh_quota_allowed_tasks (context->settings,
                                 mh_cluster_team_use (context->cluster, job->spec->team), job,
                                 &none, mh_task_failure_count_startable (context->cluster, job));
}

static guint
count_waiting_tasks (const MhAutoscalerContext *context)
{
  guint waiting = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, context->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!mh_job_has_no_more_starts (value))
      waiting += count_startable_tasks (context, value);
  return waiting;
}

/* ---- the log ---- */

static const char *
get_waiting_reason (const MhAutoscalerContext *context, const MhJob *job)
{
  if (mh_job_backs_off (job))
    return "back_off";
  if (mh_runtime_now_us (context->runtime) < job->placement.retry_after_us)
    return "retry_delay";
  if (job->n_unreported && !mh_recovery_is_complete (context->recovery))
    return "unreported_machines";
  if (!mh_quota_fits (context->settings, mh_cluster_team_use (context->cluster, job->spec->team),
                      job, job->spec->cpus, job->spec->gpus))
    return "team_quota";
  return "no_capacity";
}

/* Returns the job that has had unplaced tasks for the longest time, or NULL if there is none. */
static const MhJob *
find_longest_waiting_job (const MhAutoscalerContext *context)
{
  const MhJob *longest = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, context->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MhJob *job = value;
      if (mh_job_has_no_more_starts (job) || job->placement.unplaced_since_us == 0
          || mh_job_pending_tasks (job) == 0)
        continue;
      if (longest == NULL
          || job->placement.unplaced_since_us < longest->placement.unplaced_since_us)
        longest = job;
    }
  return longest;
}

static void
log_longest_waiting_job (const MhAutoscaler *self)
{
  const MhJob *job = find_longest_waiting_job (&self->context);
  if (job == NULL)
    return;
  gint64 waited_us = mh_runtime_now_us (self->context.runtime) - job->placement.unplaced_since_us;
  mh_log_info (self->context.runtime,
               "longest waiting job job=%s team=%s tasks=%u waited_s=%.0f reason=%s", job->spec->id,
               job->spec->team, mh_job_pending_tasks (job), (double)waited_us / MH_SECOND_US,
               get_waiting_reason (&self->context, job));
}

/* Numbers of machines by state, their total hourly price, and their CPUs. */
typedef struct
{
  guint reporting, idle, booting, releasing;
  double hourly_price, cpus, cpus_in_use;
} ClusterSummary;

static void
summarize_machine (ClusterSummary *summary, const MhMachine *machine)
{
  summary->hourly_price += machine->type ? mh_machine_hourly_price (machine) : 0;
  if (mh_machine_is_releasing (machine))
    {
      summary->releasing++;
      return;
    }
  if (!machine->heartbeat.reported)
    {
      summary->booting++;
      return;
    }
  summary->reporting++;
  summary->idle += machine->attempts->len == 0;
  if (machine->type)
    {
      summary->cpus += machine->type->cpus;
      summary->cpus_in_use += machine->usage.cpus;
    }
}

/* Logs one line for the operator: the machines that are paid for and how they are used. */
static void
log_cluster_summary (const MhAutoscaler *self)
{
  ClusterSummary summary = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mh_cluster_machines (self->context.cluster));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    summarize_machine (&summary, value);
  mh_log_info (self->context.runtime,
               "cluster summary machines=%u idle=%u coming=%u releasing=%u hourly_price=%.2f "
               "used_cpus=%.0f cpus=%.0f waiting_tasks=%u",
               summary.reporting, summary.idle, summary.booting, summary.releasing,
               summary.hourly_price, summary.cpus_in_use, summary.cpus,
               count_waiting_tasks (&self->context));
}

static void
log_if_due (MhAutoscaler *self, gint64 now_us)
{
  if (now_us < self->summary_due_us)
    return;
  self->summary_due_us = now_us + SUMMARY_INTERVAL_US;
  log_cluster_summary (self);
  log_longest_waiting_job (self);
}

/* ---- scaling ---- */

/* Machines that an earlier leader requested become known only from the cloud's list, which lags. A
   leader other than the first one therefore waits for longer than that lag, so that it does not
   create them a second time. */
static bool
may_scale_out (const MhAutoscaler *self)
{
  gint64 leading_us
      = mh_runtime_now_us (self->context.runtime) - mh_election_elected_us (self->context.election);
  return mh_recovery_is_complete (self->context.recovery)
         && mh_cluster_types (self->context.cluster) && mh_inventory_is_loaded (self->inventory)
         && !mh_scale_out_is_busy (self->scale_out)
         && (mh_election_epoch (self->context.election) == 1
             || leading_us > self->context.settings->list_lag_us);
}

static void
scale_out (MhAutoscaler *self)
{
  g_autoptr (MhDemandPlan) plan
      = mh_demand_plan_new (&self->context, self->scale_out, self->lost_capacity);
  mh_scale_out_request (self->scale_out, mh_demand_plan_estimates (plan));
}

static void
scale_if_due (MhAutoscaler *self, gint64 now_us)
{
  if (now_us < self->scaling_due_us)
    return;
  self->scaling_due_us = now_us + SCALING_INTERVAL_US;
  bool tasks_wait = count_waiting_tasks (&self->context) > 0;
  /* Tasks on machines that are being released become pending only when the release is confirmed.
     Until then the lost capacity is still needed, although no task may be pending. */
  if (!tasks_wait && mh_scale_in_is_idle (self->scale_in))
    mh_lost_capacity_clear (self->lost_capacity);
  if (may_scale_out (self))
    scale_out (self);
  if (mh_recovery_is_complete (self->context.recovery))
    mh_consolidation_step (&self->context, tasks_wait);
}

void
mh_autoscaler_step (MhAutoscaler *self)
{
  g_return_if_fail (self != NULL);
  gint64 now_us = mh_runtime_now_us (self->context.runtime);
  log_if_due (self, now_us);
  mh_inventory_step (self->inventory);
  scale_if_due (self, now_us);
  mh_scale_in_step (self->scale_in);
}
