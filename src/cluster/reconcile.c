#include "cluster/reconcile.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/task-failure.h"
#include "protocol/worker-messages.h"
#include "storage/load.h"

/* No task is started for this long on a machine that has refused one; its next heartbeat then shows
   what occupies it. */
#define START_REFUSED_HOLD_US MH_SECOND_US
/* A job that a worker does not know yet is not started again for this long. */
#define UNKNOWN_JOB_RETRY_DELAY_US (2 * MH_SECOND_US)

/* ---- attempts that have ended ---- */

/* Known bug, kept as long as scheduling decisions must not change: mh_attempt_note_reported() has
   already reset running_since_us when the worker reports the end, so that the estimator is never
   updated. */
static void
handle_completed (MhCluster *cluster, const MhAttempt *attempt)
{
  if (attempt->running_since_us && !mh_attempt_is_from_record (attempt))
    mh_runtime_estimator_observe (cluster->runtime_estimator, attempt->job->spec,
                                  mh_runtime_now_us (cluster->runtime) - attempt->running_since_us);
  mh_task_failure_record_success (cluster, attempt->machine, attempt->job);
}

static void
handle_failed (MhCluster *cluster, const MhAttempt *attempt)
{
  /* A large job that fails everywhere would fill the log with its tasks. */
  GLogLevelFlags level = mh_job_backs_off (attempt->job) ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;
  mh_runtime_log (cluster->runtime, level, "task failed job=%s task=%u machine=%s",
                  attempt->job->spec->id, attempt->index, attempt->machine->name);
  mh_task_failure_record_failure (cluster, attempt->machine, attempt->job);
}

static void
handle_refused (MhCluster *cluster, const MhAttempt *attempt, const char *reason)
{
  mh_log_info (cluster->runtime, "task refused job=%s task=%u machine=%s reason=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name, reason);
  attempt->machine->no_start_before_us
      = mh_runtime_now_us (cluster->runtime) + START_REFUSED_HOLD_US;
}

static void
handle_gang_failed (MhCluster *cluster, const MhAttempt *attempt, const char *reason)
{
  mh_log_info (cluster->runtime, "gang attempt ended job=%s task=%u machine=%s reason=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name, reason);
}

static void
handle_unknown_job (MhCluster *cluster, const MhAttempt *attempt)
{
  mh_log_info (cluster->runtime, "job not known to worker yet job=%s task=%u machine=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name);
  attempt->job->placement.retry_after_us
      = mh_runtime_now_us (cluster->runtime) + UNKNOWN_JOB_RETRY_DELAY_US;
}

static void
handle_attempt_ended (MhCluster *cluster, MhAttempt *attempt, MhTaskEndReason reason)
{
  switch (reason)
    {
    case MH_TASK_END_COMPLETED:
      handle_completed (cluster, attempt);
      break;
    case MH_TASK_END_FAILED:
      handle_failed (cluster, attempt);
      break;
    case MH_TASK_END_INSUFFICIENT_RESOURCES:
      handle_refused (cluster, attempt, "no_room");
      break;
    case MH_TASK_END_OTHER_ATTEMPT:
      handle_refused (cluster, attempt, "other_attempt_there");
      break;
    case MH_TASK_END_GANG_MEMBER_LOST:
      handle_gang_failed (cluster, attempt, "other_task_gone");
      break;
    case MH_TASK_END_GANG_INCOMPLETE:
      handle_gang_failed (cluster, attempt, "incomplete_in_time");
      break;
    case MH_TASK_END_UNKNOWN_TASK:
      handle_unknown_job (cluster, attempt);
      break;
    default:
      break;
    }
  mh_attempt_note_ended (cluster, attempt, reason == MH_TASK_END_COMPLETED);
}

/* ---- reported tasks ---- */

static void
add_orphan (MhMachine *machine, const MhTaskStatus *status)
{
  MhOrphan orphan = { .job = g_strdup (status->job),
                      .index = status->index,
                      .attempt = status->attempt,
                      .ended = status->phase == MH_TASK_PHASE_ENDED };
  g_array_append_val (machine->orphans, orphan);
}

/* Returns NULL if no job in memory has the task. A job whose submission is not durable yet has no
   tasks on machines: the reported one belongs to an earlier job with the same id that ended
   before the user submitted it again. Without this check such a resubmission made a leader step
   down. */
static const MhTask *
find_task (const MhCluster *cluster, const MhTaskStatus *status)
{
  const MhJob *job = g_hash_table_lookup (cluster->jobs, status->job);
  if (job == NULL || !job->accepted || status->index >= job->spec->tasks)
    return NULL;
  return &job->tasks[status->index];
}

/* Whether the status proves that the machine has the task's image. A task that was stopped while it
   waited for the image ends without it. */
static bool
is_image_cached (const MhTaskStatus *status)
{
  return status->phase == MH_TASK_PHASE_WAITING_FOR_GANG || status->phase == MH_TASK_PHASE_RUNNING
         || status->phase == MH_TASK_PHASE_CHECKPOINTING
         || status->end_reason == MH_TASK_END_COMPLETED;
}

static void
process_live_attempt (MhCluster *cluster, MhAttempt *attempt, const MhTaskStatus *status)
{
  const MhJob *job = attempt->job;
  mh_attempt_note_reported (cluster, attempt, status->phase);
  if (is_image_cached (status))
    mh_machine_add_image (attempt->machine, job->image, job->spec->image_gb);
  if (status->phase == MH_TASK_PHASE_RUNNING)
    mh_task_failure_note_running (cluster, attempt);
  else if (status->phase == MH_TASK_PHASE_ENDED)
    handle_attempt_ended (cluster, attempt, status->end_reason);
}

static void
process_reported_task (MhCluster *cluster, MhMachine *machine, const MhTaskStatus *status)
{
  /* The job's records cannot be read, so it is not known whether the task should run: it is neither
     stopped nor cleared. */
  if (mh_record_loader_is_unreadable (cluster->record_loader, status->job))
    {
      machine->heartbeat.unreadable_tasks++;
      return;
    }
  const MhTask *task = find_task (cluster, status);
  if (task && status->attempt > task->attempt)
    {
      /* Each attempt is recorded before its start is sent: the records are newer than this leader's
         state. */
      mh_election_step_down (cluster->election, MH_LOSS_UNKNOWN_ATTEMPT);
      return;
    }
  MhAttempt *attempt = task ? task->live : NULL;
  bool is_ours = attempt && attempt->machine == machine && attempt->number == status->attempt;
  if (is_ours)
    process_live_attempt (cluster, attempt, status);
  /* An attempt that has just ended is treated as orphaned too: it has to be cleared at the
     worker. */
  if (!is_ours || status->phase == MH_TASK_PHASE_ENDED)
    add_orphan (machine, status);
}

/* ---- attempts that are not reported ---- */

/* Whether an attempt that the message does not report can neither be on the machine any more nor be
   started there by a command in flight. */
static bool
is_proven_gone (const MhCluster *cluster, const MhAttempt *attempt, MhMessageSource source)
{
  const MhMachine *machine = attempt->machine;
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  /* A token of this leadership fences the starts of earlier leaders. */
  if (mh_attempt_is_from_record (attempt))
    return heartbeat->token >= mh_fencing_token (cluster, NULL);
  if (!mh_attempt_start_was_sent (attempt))
    return false;
  if (attempt->start_incarnation < heartbeat->incarnation)
    return true;
  /* An attempt that was never reported is started again instead. */
  if (source == MH_MESSAGE_RESPONSE || (!attempt->reported && !mh_attempt_is_stopping (attempt)))
    return false;
  const MhUnfencedStart *direct
      = mh_fencing_find_start (machine, attempt->job->spec->id, attempt->index, attempt->number);
  if (direct && !direct->acknowledged)
    return false;
  return attempt->start_sequence == 0 || heartbeat->sequence > attempt->start_sequence;
}

static void
end_proven_gone_attempts (MhCluster *cluster, MhMachine *machine, MhMessageSource source)
{
  for (guint i = machine->attempts->len; i-- > 0;)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (attempt->in_newest_message || !is_proven_gone (cluster, attempt, source))
        continue;
      mh_log_info (cluster->runtime, "attempt proven gone job=%s task=%u attempt=%u machine=%s",
                   attempt->job->spec->id, attempt->index, attempt->number, machine->name);
      mh_attempt_note_ended (cluster, attempt, false);
    }
}

void
mh_reconcile (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message,
              MhMessageSource source)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    mh_machine_attempt (machine, i)->in_newest_message = false;
  g_array_set_size (machine->orphans, 0);
  machine->heartbeat.unreadable_tasks = 0;
  for (guint i = 0; i < message->tasks->len; i++)
    process_reported_task (cluster, machine, &g_array_index (message->tasks, MhTaskStatus, i));
  end_proven_gone_attempts (cluster, machine, source);
}
