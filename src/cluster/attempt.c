/* Placing, stopping and ending attempts, and what they occupy meanwhile. */
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"
#include "storage/record-writer.h"

static void
change_state (MhAttempt *attempt, MhAttemptEvent event)
{
  bool accepted = mh_attempt_state_after (&attempt->state, event);
  g_return_if_fail (accepted);
}

/* ---- what attempts occupy ---- */

static MhTeamUse *
team_use (MhCluster *cluster, const char *team_name)
{
  MhTeamUse *use = g_hash_table_lookup (cluster->team_use, team_name);
  if (use == NULL)
    {
      const MhTeam *team = mh_settings_find_team (cluster->settings, team_name);
      use = g_new0 (MhTeamUse, 1);
      /* A team that the settings no longer name still has its name in its jobs' specs, but those
         go away; the settings' copy stays. */
      const char *key = team ? team->name : g_intern_string (team_name);
      g_hash_table_insert (cluster->team_use, (gpointer)key, use);
    }
  return use;
}

/* `sign` 1: the attempt occupies its share from now on; -1: no longer. */
static void
account (MhCluster *cluster, const MhAttempt *attempt, int sign)
{
  const MhJobSpec *spec = attempt->job->spec;
  MhMachine *machine = attempt->machine;
  MhTeamUse *team = team_use (cluster, spec->team);
  team->cpus += sign * spec->cpus;
  team->gpus += sign * spec->gpus;
  machine->usage.cpus += sign * spec->cpus;
  machine->usage.gpus += sign * spec->gpus;
  machine->usage.mem_gb += sign * spec->mem_gb;
  if (spec->shape == MH_SHAPE_SERVICE)
    {
      machine->usage.replicas += sign;
      cluster->service_replicas += sign;
    }
  if (!machine->heartbeat.reported)
    attempt->job->n_unreported += sign;
}

MhAttempt *
mh_attempt_new (MhCluster *cluster, MhJob *job, guint index, guint32 number, MhMachine *machine)
{
  MhTask *task = &job->tasks[index];
  MhAttempt *attempt = g_new0 (MhAttempt, 1);
  attempt->job = job;
  attempt->index = index;
  attempt->attempt = task->attempt = number;
  attempt->machine = machine;
  attempt->placed_us = mh_runtime_now_us (cluster->runtime);
  attempt->phase = MH_TASK_PHASE_FETCHING_IMAGE;
  task->live = attempt;
  task->state = MH_TASK_LIVE;
  job->n_live++;
  g_ptr_array_add (machine->attempts, attempt);
  account (cluster, attempt, 1);
  return attempt;
}

MhAttempt *
mh_attempt_new_from_record (MhCluster *cluster, MhJob *job, guint index, guint32 number,
                            MhMachine *machine)
{
  MhAttempt *attempt = mh_attempt_new (cluster, job, index, number, machine);
  attempt->start = MH_START_BY_EARLIER_LEADER;
  return attempt;
}

/* ---- what the worker is told and shows ---- */

void
mh_attempt_note_start_sent (MhAttempt *attempt, bool answers_report)
{
  change_state (attempt, MH_ATTEMPT_EVENT_START_SENT);
  attempt->start = MH_START_SENT;
  attempt->start_incarnation = attempt->machine->heartbeat.incarnation;
  if (answers_report)
    attempt->start_sequence = attempt->machine->heartbeat.sequence;
}

void
mh_attempt_note_start_refused (MhAttempt *attempt)
{
  if (attempt->shown || attempt->start_sequence != 0 || attempt->start != MH_START_SENT)
    return;
  change_state (attempt, MH_ATTEMPT_EVENT_START_REFUSED);
  attempt->start = MH_START_NOT_SENT;
}

static void
set_running (MhCluster *cluster, MhAttempt *attempt, bool running)
{
  MhJob *job = attempt->job;
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  if (running && attempt->running_since_us == 0)
    {
      attempt->running_since_us = now_us;
      job->n_running++;
      mh_log_debug (cluster->runtime,
                    "task running job=%s task=%u machine=%s since_submission_s=%.1f", job->spec->id,
                    attempt->index, attempt->machine->name,
                    (double)(now_us - job->submitted_us) / MH_SECOND_US);
    }
  else if (!running && attempt->running_since_us)
    {
      attempt->running_since_us = 0;
      job->n_running--;
    }
}

void
mh_attempt_note_shown (MhCluster *cluster, MhAttempt *attempt, MhTaskPhase phase)
{
  bool running = phase == MH_TASK_PHASE_RUNNING || phase == MH_TASK_PHASE_CHECKPOINTING;
  attempt->shown = attempt->shown_now = true;
  attempt->phase = phase;
  if (phase != MH_TASK_PHASE_ENDED)
    change_state (attempt,
                  running ? MH_ATTEMPT_EVENT_SHOWN_RUNNING : MH_ATTEMPT_EVENT_SHOWN_WAITING);
  set_running (cluster, attempt, running);
  if (phase == MH_TASK_PHASE_WAITING_FOR_GANG)
    mh_job_gang_apply (&attempt->job->gang, MH_GANG_EVENT_TASK_GATHERING,
                       mh_runtime_now_us (cluster->runtime));
}

/* ---- the end ---- */

void
mh_attempt_finish_job_if_over (MhCluster *cluster, MhJob *job)
{
  bool over = mh_job_is_cancelled (job) ? job->n_live == 0 : job->n_done == job->spec->tasks;
  if (!over || mh_job_is_finished (job))
    return;
  job->completion = MH_COMPLETION_UNWRITTEN;
  mh_record_writer_touch (cluster->record_writer, &job->records[0],
                          mh_job_is_cancelled (job) ? MH_URGENCY_PROGRESS : MH_URGENCY_START);
}

/* Out of all accounts; the attempt itself is left to the caller. */
static void
detach (MhCluster *cluster, MhAttempt *attempt)
{
  MhMachine *machine = attempt->machine;
  change_state (attempt, MH_ATTEMPT_EVENT_PROVEN_OVER);
  set_running (cluster, attempt, false);
  account (cluster, attempt, -1);
  g_ptr_array_remove_fast (machine->attempts, attempt);
  if (machine->attempts->len == 0)
    {
      machine->idle_since_us = mh_runtime_now_us (cluster->runtime);
      /* No rounding is left behind. */
      machine->usage.cpus = machine->usage.gpus = machine->usage.mem_gb = 0;
    }
  attempt->job->tasks[attempt->index].live = NULL;
}

void
mh_attempt_discard (MhCluster *cluster, MhAttempt *attempt)
{
  detach (cluster, attempt);
  g_free (attempt);
}

void
mh_attempt_proven_over (MhCluster *cluster, MhAttempt *attempt, bool done)
{
  const MhClusterCallbacks *callbacks = cluster->callbacks;
  MhJob *job = attempt->job;
  MhTask *task = &job->tasks[attempt->index];
  bool was_stopping = mh_attempt_is_stopping (attempt);
  detach (cluster, attempt);
  task->state = done ? MH_TASK_DONE : MH_TASK_PENDING;
  job->n_live--;
  if (done)
    job->n_done++;
  else
    job->placement.first_pending = MIN (job->placement.first_pending, attempt->index);
  if (!mh_job_is_cancelled (job))
    mh_record_writer_touch (cluster->record_writer, mh_job_record (job, attempt->index),
                            MH_URGENCY_PROGRESS);
  if (mh_job_is_gang (job))
    callbacks->gang_task_over (cluster->owner, job, done);
  /* Room that was made by preemption is wanted at once, and so is a new place for a replica. */
  callbacks->capacity_changed (cluster->owner,
                               was_stopping || job->spec->shape == MH_SHAPE_SERVICE);
  g_free (attempt);
  mh_attempt_finish_job_if_over (cluster, job);
}

void
mh_attempt_task_done (MhCluster *cluster, MhJob *job, guint index)
{
  job->tasks[index].state = MH_TASK_DONE;
  job->n_done++;
  mh_record_writer_touch (cluster->record_writer, mh_job_record (job, index), MH_URGENCY_START);
  mh_attempt_finish_job_if_over (cluster, job);
}

/* ---- stops ---- */

void
mh_attempt_send_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us)
{
  if (mh_attempt_is_stopping (attempt) && grace_us >= attempt->grace_us)
    return;
  change_state (attempt, MH_ATTEMPT_EVENT_STOP_WANTED);
  attempt->grace_us = grace_us;
  attempt->stop_sent_us = 0;
  mh_machine_schedule_commands (cluster, attempt->machine);
}

void
mh_attempt_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us)
{
  if (mh_job_is_gang (attempt->job) && !mh_job_is_over (attempt->job))
    cluster->callbacks->gang_stop (cluster->owner, attempt->job, grace_us);
  else if (attempt->start == MH_START_NOT_SENT)
    mh_attempt_proven_over (cluster, attempt, false);
  else
    mh_attempt_send_stop (cluster, attempt, grace_us);
}

void
mh_attempt_stop_job (MhCluster *cluster, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    if (job->tasks[i].live)
      mh_attempt_stop (cluster, job->tasks[i].live, 0);
  mh_attempt_finish_job_if_over (cluster, job);
}
