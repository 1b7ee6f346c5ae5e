#include "cluster/reconcile.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/task-failure.h"
#include "protocol/worker-messages.h"
#include "storage/load.h"

/* A machine that refused a task gets no other before, and its report shows then what it holds. */
#define REFUSED_HOLD_US MH_SECOND_US
/* A worker that does not know the job yet is asked again after so long. */
#define UNKNOWN_JOB_RETRY_US (2 * MH_SECOND_US)

/* ---- attempts that have ended ---- */

/* Known fault, kept while decisions may not change: the end that the worker shows has already
   cleared running_since_us, so that the estimator is never told. */
static void
note_done (MhCluster *cluster, const MhAttempt *attempt)
{
  if (attempt->running_since_us && !mh_attempt_is_from_record (attempt))
    mh_runtime_estimator_observe (cluster->runtime_estimator, attempt->job->spec,
                                  mh_runtime_now_us (cluster->runtime) - attempt->running_since_us);
  mh_task_failure_record_success (cluster, attempt->machine, attempt->job);
}

static void
note_failed (MhCluster *cluster, const MhAttempt *attempt)
{
  /* A huge job that fails everywhere would fill the log with its tasks. */
  GLogLevelFlags level = mh_job_backs_off (attempt->job) ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;
  mh_runtime_log (cluster->runtime, level, "task failed job=%s task=%u machine=%s",
                  attempt->job->spec->id, attempt->index, attempt->machine->name);
  mh_task_failure_record_failure (cluster, attempt->machine, attempt->job);
}

static void
note_refused (MhCluster *cluster, const MhAttempt *attempt, const char *why)
{
  mh_log_info (cluster->runtime, "task refused job=%s task=%u machine=%s reason=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name, why);
  attempt->machine->no_start_before_us = mh_runtime_now_us (cluster->runtime) + REFUSED_HOLD_US;
}

static void
note_gang_broken (MhCluster *cluster, const MhAttempt *attempt, const char *why)
{
  mh_log_info (cluster->runtime, "gang attempt ended job=%s task=%u machine=%s reason=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name, why);
}

static void
note_job_unknown (MhCluster *cluster, const MhAttempt *attempt)
{
  mh_log_info (cluster->runtime, "job not known to worker yet job=%s task=%u machine=%s",
               attempt->job->spec->id, attempt->index, attempt->machine->name);
  attempt->job->placement.retry_after_us
      = mh_runtime_now_us (cluster->runtime) + UNKNOWN_JOB_RETRY_US;
}

static void
attempt_ended (MhCluster *cluster, MhAttempt *attempt, MhTaskEndReason cause)
{
  switch (cause)
    {
    case MH_TASK_END_COMPLETED:
      note_done (cluster, attempt);
      break;
    case MH_TASK_END_FAILED:
      note_failed (cluster, attempt);
      break;
    case MH_TASK_END_INSUFFICIENT_RESOURCES:
      note_refused (cluster, attempt, "no_room");
      break;
    case MH_TASK_END_OTHER_ATTEMPT:
      note_refused (cluster, attempt, "other_attempt_there");
      break;
    case MH_TASK_END_GANG_MEMBER_LOST:
      note_gang_broken (cluster, attempt, "other_task_gone");
      break;
    case MH_TASK_END_GANG_INCOMPLETE:
      note_gang_broken (cluster, attempt, "incomplete_in_time");
      break;
    case MH_TASK_END_UNKNOWN_TASK:
      note_job_unknown (cluster, attempt);
      break;
    default:
      break;
    }
  mh_attempt_proven_over (cluster, attempt, cause == MH_TASK_END_COMPLETED);
}

/* ---- what is shown ---- */

static void
add_orphan (MhMachine *machine, const MhTaskStatus *shown)
{
  MhOrphan orphan = { .job = g_strdup (shown->job),
                      .index = shown->index,
                      .attempt = shown->attempt,
                      .ended = shown->phase == MH_TASK_PHASE_ENDED };
  g_array_append_val (machine->orphans, orphan);
}

/* The task that is shown, NULL: no job here has it. A submission that is not on record yet has no
   tasks: what is shown is left of a job that was over before, and whose user repeats himself. Such
   a repetition once cost a leader its lead. */
static const MhTask *
find_task (const MhCluster *cluster, const MhTaskStatus *shown)
{
  const MhJob *job = g_hash_table_lookup (cluster->jobs, shown->job);
  if (job == NULL || !job->accepted || shown->index >= job->spec->tasks)
    return NULL;
  return &job->tasks[shown->index];
}

/* One that was stopped while it waited for its image ends without it. */
static bool
proves_image (const MhTaskStatus *shown)
{
  return shown->phase == MH_TASK_PHASE_WAITING_FOR_GANG || shown->phase == MH_TASK_PHASE_RUNNING
         || shown->phase == MH_TASK_PHASE_CHECKPOINTING
         || shown->end_reason == MH_TASK_END_COMPLETED;
}

static void
read_shown_attempt (MhCluster *cluster, MhAttempt *attempt, const MhTaskStatus *shown)
{
  const MhJob *job = attempt->job;
  mh_attempt_note_shown (cluster, attempt, shown->phase);
  if (proves_image (shown))
    mh_machine_add_image (attempt->machine, job->image, job->spec->image_gb);
  if (shown->phase == MH_TASK_PHASE_ENDED)
    attempt_ended (cluster, attempt, shown->end_reason);
}

static void
read_shown_task (MhCluster *cluster, MhMachine *machine, const MhTaskStatus *shown)
{
  /* What it may do is not known: it is left alone. */
  if (mh_record_loader_is_unreadable (cluster->record_loader, shown->job))
    {
      machine->heartbeat.unreadable_tasks++;
      return;
    }
  const MhTask *task = find_task (cluster, shown);
  if (task && shown->attempt > task->attempt)
    {
      /* Each attempt is written before it is sent: memory must be behind the records. */
      mh_election_step_down (cluster->election, MH_LOSS_UNKNOWN_ATTEMPT);
      return;
    }
  MhAttempt *attempt = task ? task->live : NULL;
  bool is_ours = attempt && attempt->machine == machine && attempt->attempt == shown->attempt;
  if (is_ours)
    read_shown_attempt (cluster, attempt, shown);
  /* One that has just ended is to be cleared at the worker. */
  if (!is_ours || shown->phase == MH_TASK_PHASE_ENDED)
    add_orphan (machine, shown);
}

/* ---- what is not shown ---- */

/* Whether the attempt, which is not shown, can neither be on the machine any more nor come to it.
 */
static bool
is_proven_gone (const MhCluster *cluster, const MhAttempt *attempt, MhMessageSource source)
{
  const MhMachine *machine = attempt->machine;
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  /* Starts of earlier leaders are fenced by a token of this leadership. */
  if (mh_attempt_is_from_record (attempt))
    return heartbeat->token >= mh_fencing_token (cluster, NULL);
  if (!mh_attempt_start_was_sent (attempt))
    return false;
  if (attempt->start_incarnation < heartbeat->incarnation)
    return true;
  /* One that was never shown is simply started again. */
  if (source == MH_MESSAGE_ANSWER || (!attempt->shown && !mh_attempt_is_stopping (attempt)))
    return false;
  const MhUnfencedStart *direct
      = mh_fencing_find_start (machine, attempt->job->spec->id, attempt->index, attempt->attempt);
  if (direct && !direct->acknowledged)
    return false;
  return attempt->start_sequence == 0 || heartbeat->sequence > attempt->start_sequence;
}

static void
end_attempts_proven_gone (MhCluster *cluster, MhMachine *machine, MhMessageSource source)
{
  for (guint i = machine->attempts->len; i-- > 0;)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (attempt->shown_now || !is_proven_gone (cluster, attempt, source))
        continue;
      mh_log_info (cluster->runtime, "attempt proven gone job=%s task=%u attempt=%u machine=%s",
                   attempt->job->spec->id, attempt->index, attempt->attempt, machine->name);
      mh_attempt_proven_over (cluster, attempt, false);
    }
}

void
mh_reconcile (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report,
              MhMessageSource source)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    mh_machine_attempt (machine, i)->shown_now = false;
  g_array_set_size (machine->orphans, 0);
  machine->heartbeat.unreadable_tasks = 0;
  for (guint i = 0; i < report->tasks->len; i++)
    read_shown_task (cluster, machine, &g_array_index (report->tasks, MhTaskStatus, i));
  end_attempts_proven_gone (cluster, machine, source);
}
