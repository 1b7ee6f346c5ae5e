#include "cluster/worker-command.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "protocol/worker-messages.h"
#include "storage/record-state.h"

/* An attempt that has not ended so long after its grace was over is stopped without any. */
#define LATE_STOP_US MH_SECOND_US

typedef enum
{
  ANSWER_TO_REPORT, /* all that holds is said again */
  DIRECTLY          /* only what has not been said before */
} Channel;

static void
add_command (GArray *commands, MhCommandKind kind, const MhAttempt *attempt, gint64 grace_us)
{
  MhCommand command = { .kind = kind,
                        .job = g_strdup (attempt->job->spec->id),
                        .index = attempt->index,
                        .attempt = attempt->attempt,
                        .grace_us = grace_us };
  g_array_append_val (commands, command);
}

static void
add_orphan_command (GArray *commands, MhCommandKind kind, const MhOrphan *orphan)
{
  MhCommand command = {
    .kind = kind, .job = g_strdup (orphan->job), .index = orphan->index, .attempt = orphan->attempt
  };
  g_array_append_val (commands, command);
}

/* ---- starts and stops ---- */

static bool
is_durable (const MhAttempt *attempt)
{
  return mh_record_is_durable (mh_job_record (attempt->job, attempt->index),
                               attempt->required_revision);
}

/* Every place of the gang is on record: a successor must not take a part of it for the whole. */
static bool
gang_is_durable (const MhJob *job)
{
  if (job->gang.state == MH_GANG_STATE_ENDING || job->n_live < job->spec->tasks)
    return false;
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (mh_attempt_is_from_record (attempt) || !is_durable (attempt))
        return false;
    }
  return true;
}

static bool
may_start (const MhAttempt *attempt)
{
  bool unseen
      = attempt->state == MH_ATTEMPT_RECORDED || attempt->state == MH_ATTEMPT_START_IN_FLIGHT;
  return unseen && !mh_attempt_is_from_record (attempt) && is_durable (attempt)
         && !mh_job_is_over (attempt->job) && !mh_machine_is_releasing (attempt->machine)
         && (!mh_job_is_gang (attempt->job) || gang_is_durable (attempt->job));
}

static void
add_stop (const MhCluster *cluster, MhAttempt *attempt, GArray *commands)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  /* One that saves longer than it was given is ended by a second command. */
  bool late
      = attempt->stop_sent_us && now_us > attempt->stop_sent_us + attempt->grace_us + LATE_STOP_US;
  add_command (commands, MH_COMMAND_STOP, attempt, late ? 0 : attempt->grace_us);
  if (attempt->stop_sent_us == 0)
    attempt->stop_sent_us = now_us;
}

static void
add_start (MhAttempt *attempt, GArray *commands, Channel channel)
{
  add_command (commands, MH_COMMAND_START, attempt, 0);
  mh_attempt_note_start_sent (attempt, channel == ANSWER_TO_REPORT);
}

static void
collect_for_attempts (MhCluster *cluster, MhMachine *machine, GArray *commands, Channel channel)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_attempt_is_stopping (attempt))
        {
          if (channel == ANSWER_TO_REPORT || attempt->stop_sent_us == 0)
            add_stop (cluster, attempt, commands);
        }
      else if (may_start (attempt)
               && (channel == ANSWER_TO_REPORT || !mh_attempt_start_was_sent (attempt)))
        add_start (attempt, commands, channel);
    }
}

/* ---- orphans ---- */

/* A result must not be cleared before it is on record. */
static bool
result_is_unrecorded (const MhCluster *cluster, const MhOrphan *orphan)
{
  MhJob *job = g_hash_table_lookup (cluster->jobs, orphan->job);
  if (job == NULL || orphan->index >= job->spec->tasks
      || job->tasks[orphan->index].state != MH_TASK_DONE)
    return false;
  const MhRecord *record = mh_job_record (job, orphan->index);
  return mh_job_is_finished (job) || mh_record_has_unwritten_changes (record);
}

static void
stop_orphan (MhCluster *cluster, const MhMachine *machine, const MhOrphan *orphan, GArray *commands)
{
  mh_log_info (cluster->runtime,
               "stopping orphaned attempt job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s",
               orphan->job, orphan->index, orphan->attempt, machine->name);
  add_orphan_command (commands, MH_COMMAND_STOP, orphan);
}

/* Once cleared an attempt is forgotten at the worker, and a start that is still on its way, or a
   late copy of one that was carried out, would run it again. */
static void
collect_for_orphans (MhCluster *cluster, MhMachine *machine, GArray *commands)
{
  guint64 token = mh_fencing_token (cluster, machine);
  bool clear_held = false;
  for (guint i = 0; i < machine->orphans->len; i++)
    {
      const MhOrphan *orphan = &g_array_index (machine->orphans, MhOrphan, i);
      const MhUnfencedStart *start
          = mh_fencing_find_start (machine, orphan->job, orphan->index, orphan->attempt);
      if (!orphan->ended)
        stop_orphan (cluster, machine, orphan, commands);
      else if (start)
        clear_held |= start->token == token; /* not fenced by a higher one yet */
      else if (!result_is_unrecorded (cluster, orphan))
        add_orphan_command (commands, MH_COMMAND_CLEAR, orphan);
    }
  gint64 *held_since_us = &machine->fencing.clear_held_since_us;
  if (!clear_held)
    *held_since_us = 0;
  else if (*held_since_us == 0)
    *held_since_us = mh_runtime_now_us (cluster->runtime);
}

/* ---- what is told when ---- */

void
mh_worker_command_collect (MhCluster *cluster, MhMachine *machine, GArray *commands)
{
  collect_for_attempts (cluster, machine, commands, ANSWER_TO_REPORT);
  collect_for_orphans (cluster, machine, commands);
}

void
mh_worker_command_collect_unsent (MhCluster *cluster, MhMachine *machine, GArray *commands)
{
  collect_for_attempts (cluster, machine, commands, DIRECTLY);
}

void
mh_worker_command_collect_cancelled (const MhMachine *machine, GArray *commands)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_job_is_cancel_durable (attempt->job))
        add_command (commands, MH_COMMAND_STOP, attempt, 0);
    }
}

static MhUnsentCommands
unsent_for_attempt (const MhAttempt *attempt)
{
  if (mh_attempt_is_stopping (attempt))
    {
      if (attempt->stop_sent_us)
        return MH_UNSENT_NONE;
      return mh_job_is_over (attempt->job) ? MH_UNSENT_PATIENT : MH_UNSENT_URGENT;
    }
  if (mh_attempt_start_was_sent (attempt) || !may_start (attempt))
    return MH_UNSENT_NONE;
  return attempt->job->spec->shape == MH_SHAPE_ARRAY ? MH_UNSENT_PATIENT : MH_UNSENT_URGENT;
}

MhUnsentCommands
mh_worker_command_unsent (const MhMachine *machine)
{
  MhUnsentCommands most_urgent = MH_UNSENT_NONE;
  for (guint i = 0; i < machine->attempts->len && most_urgent != MH_UNSENT_URGENT; i++)
    most_urgent = MAX (most_urgent, unsent_for_attempt (mh_machine_attempt (machine, i)));
  return most_urgent;
}
