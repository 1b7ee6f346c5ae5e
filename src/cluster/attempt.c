/* Creates, stops and ends attempts, and keeps account of the resources that they occupy. */
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/machine-registry.h"
#include "storage/record-writer.h"

static void
change_state (MhAttempt *attempt, MhAttemptEvent event)
{
  bool was_stopping = mh_attempt_is_stopping (attempt);
  bool accepted = mh_attempt_state_apply (&attempt->state, event);
  g_return_if_fail (accepted);
  attempt->machine->usage.stopping += mh_attempt_is_stopping (attempt);
  attempt->machine->usage.stopping -= was_stopping;
}

/* ---- resource usage ---- */

static MhTeamUse *
find_or_add_team_use (MhCluster *cluster, const char *team_name)
{
  MhTeamUse *use = g_hash_table_lookup (cluster->team_use, team_name);
  if (use == NULL)
    {
      const MhTeam *team = mh_settings_find_team (cluster->settings, team_name);
      use = g_new0 (MhTeamUse, 1);
      /* The table does not own its keys. The settings keep their copy of the name; a team that the
         settings no longer contain is named only by its jobs' specs, which are freed, so its name
         is interned. */
      const char *key = team ? team->name : g_intern_string (team_name);
      g_hash_table_insert (cluster->team_use, (gpointer)key, use);
    }
  return use;
}

/* Adds (@sign 1) or subtracts (@sign -1) what the attempt occupies. */
static void
update_usage (MhCluster *cluster, const MhAttempt *attempt, int sign)
{
  const MhJobSpec *spec = attempt->job->spec;
  MhMachine *machine = attempt->machine;
  MhTeamUse *team = find_or_add_team_use (cluster, spec->team);
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
  attempt->number = task->attempt = number;
  attempt->machine = machine;
  attempt->placed_us = mh_runtime_now_us (cluster->runtime);
  attempt->phase = MH_TASK_PHASE_FETCHING_IMAGE;
  task->live = attempt;
  task->state = MH_TASK_LIVE;
  job->n_live++;
  g_ptr_array_add (machine->attempts, attempt);
  update_usage (cluster, attempt, 1);
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

/* ---- starts and messages of the worker ---- */

void
mh_attempt_note_start_sent (MhAttempt *attempt, bool in_heartbeat_response)
{
  change_state (attempt, MH_ATTEMPT_EVENT_START_SENT);
  attempt->start = MH_START_SENT;
  attempt->start_incarnation = attempt->machine->heartbeat.incarnation;
  if (in_heartbeat_response)
    attempt->start_sequence = attempt->machine->heartbeat.sequence;
}

void
mh_attempt_note_start_refused (MhCluster *cluster, MhAttempt *attempt)
{
  if (attempt->reported || attempt->start_sequence != 0 || attempt->start != MH_START_SENT)
    return;
  change_state (attempt, MH_ATTEMPT_EVENT_START_REFUSED);
  attempt->start = MH_START_NOT_SENT;
  if (mh_attempt_is_stopping (attempt))
    mh_attempt_note_ended (cluster, attempt, false);
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
mh_attempt_note_reported (MhCluster *cluster, MhAttempt *attempt, MhTaskPhase phase)
{
  bool running = phase == MH_TASK_PHASE_RUNNING || phase == MH_TASK_PHASE_CHECKPOINTING;
  attempt->reported = attempt->in_newest_message = true;
  attempt->phase = phase;
  if (phase != MH_TASK_PHASE_ENDED)
    change_state (attempt,
                  running ? MH_ATTEMPT_EVENT_REPORTED_RUNNING : MH_ATTEMPT_EVENT_REPORTED_WAITING);
  set_running (cluster, attempt, running);
  if (phase == MH_TASK_PHASE_WAITING_FOR_GANG)
    mh_gang_state_apply (&attempt->job->gang, MH_GANG_EVENT_TASK_GATHERING,
                         mh_runtime_now_us (cluster->runtime));
}

/* ---- end of attempts ---- */

void
mh_attempt_finish_job_if_ended (MhCluster *cluster, MhJob *job)
{
  bool ended = mh_job_is_cancelled (job) ? job->n_live == 0 : job->n_done == job->spec->tasks;
  if (!ended || mh_job_has_ended (job))
    return;
  job->completion = MH_COMPLETION_UNWRITTEN;
  mh_record_writer_mark_changed (cluster->record_writer, &job->records[0],
                                 mh_job_is_cancelled (job) ? MH_URGENCY_PROGRESS
                                                           : MH_URGENCY_START);
}

/* Removes the attempt from its machine, its task and all usage counts, without freeing it. */
static void
detach (MhCluster *cluster, MhAttempt *attempt)
{
  MhMachine *machine = attempt->machine;
  change_state (attempt, MH_ATTEMPT_EVENT_PROVEN_ENDED);
  set_running (cluster, attempt, false);
  update_usage (cluster, attempt, -1);
  g_ptr_array_remove_fast (machine->attempts, attempt);
  if (machine->attempts->len == 0)
    {
      machine->idle_since_us = mh_runtime_now_us (cluster->runtime);
      /* Clears rounding errors of the sums. */
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
mh_attempt_note_ended (MhCluster *cluster, MhAttempt *attempt, bool done)
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
    mh_record_writer_mark_changed (cluster->record_writer, mh_job_record (job, attempt->index),
                                   MH_URGENCY_PROGRESS);
  if (mh_job_is_gang (job))
    callbacks->gang_attempt_ended (cluster->owner, job, done);
  /* The next placement pass is urgent if the attempt was stopped, since a preempting job may wait
     for its capacity, and if it was a service's, since the replica needs a new machine. */
  callbacks->capacity_changed (cluster->owner,
                               was_stopping || job->spec->shape == MH_SHAPE_SERVICE);
  g_free (attempt);
  mh_attempt_finish_job_if_ended (cluster, job);
}

void
mh_attempt_set_task_done (MhCluster *cluster, MhJob *job, guint index)
{
  job->tasks[index].state = MH_TASK_DONE;
  job->n_done++;
  mh_record_writer_mark_changed (cluster->record_writer, mh_job_record (job, index),
                                 MH_URGENCY_START);
  mh_attempt_finish_job_if_ended (cluster, job);
}

/* ---- stops ---- */

void
mh_attempt_request_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us)
{
  if (mh_attempt_is_stopping (attempt) && grace_us >= attempt->grace_us)
    return;
  change_state (attempt, MH_ATTEMPT_EVENT_STOP_REQUESTED);
  attempt->grace_us = grace_us;
  attempt->stop_sent_us = 0;
  mh_machine_schedule_commands (cluster, attempt->machine);
}

void
mh_attempt_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us)
{
  if (mh_job_is_gang (attempt->job) && !mh_job_has_no_more_starts (attempt->job))
    cluster->callbacks->stop_gang (cluster->owner, attempt->job, grace_us);
  else if (attempt->start == MH_START_NOT_SENT)
    mh_attempt_note_ended (cluster, attempt, false);
  else
    mh_attempt_request_stop (cluster, attempt, grace_us);
}

void
mh_attempt_stop_job (MhCluster *cluster, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->n_live; i++)
    if (job->tasks[i].live)
      mh_attempt_stop (cluster, job->tasks[i].live, 0);
  mh_attempt_finish_job_if_ended (cluster, job);
}
