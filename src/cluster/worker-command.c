#include "cluster/worker-command.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "protocol/worker-messages.h"
#include "storage/record-state.h"

/* If an attempt has not ended this long after its grace period, it is stopped without a grace
   period. */
#define FORCED_STOP_DELAY_US MH_SECOND_US

typedef enum
{
  CHANNEL_HEARTBEAT_RESPONSE, /* repeats commands that were sent before */
  CHANNEL_DIRECT              /* only commands that were not sent before */
} Channel;

static void
add_command (GArray *commands, MhCommandKind kind, const MhAttempt *attempt, gint64 grace_us)
{
  MhCommand command = { .kind = kind,
                        .job = g_strdup (attempt->job->spec->id),
                        .index = attempt->index,
                        .attempt = attempt->number,
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
is_record_durable (const MhAttempt *attempt)
{
  return mh_record_is_durable (mh_job_record (attempt->job, attempt->index),
                               attempt->required_revision);
}

/* Whether the placement of every task of the gang is durable. No start is sent before, so that a
   successor never finds only a part of a gang on record that has been started. */
static bool
is_gang_durable (const MhJob *job)
{
  if (job->gang.state == MH_GANG_STATE_ENDING || job->n_live < job->spec->tasks)
    return false;
  for (guint i = 0; i < job->spec->tasks; i++)
    {
      const MhAttempt *attempt = job->tasks[i].live;
      if (mh_attempt_is_from_record (attempt) || !is_record_durable (attempt))
        return false;
    }
  return true;
}

static bool
can_start (const MhAttempt *attempt)
{
  bool unreported
      = attempt->state == MH_ATTEMPT_PLACED || attempt->state == MH_ATTEMPT_START_IN_FLIGHT;
  return unreported && !mh_attempt_is_from_record (attempt) && is_record_durable (attempt)
         && !mh_job_has_no_more_starts (attempt->job) && !mh_machine_is_releasing (attempt->machine)
         && (!mh_job_is_gang (attempt->job) || is_gang_durable (attempt->job));
}

static void
add_stop (const MhCluster *cluster, MhAttempt *attempt, GArray *commands)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  /* A second stop, without a grace period, ends an attempt that exceeds its grace period. */
  bool late = attempt->stop_sent_us
              && now_us > attempt->stop_sent_us + attempt->grace_us + FORCED_STOP_DELAY_US;
  add_command (commands, MH_COMMAND_STOP, attempt, late ? 0 : attempt->grace_us);
  if (attempt->stop_sent_us == 0)
    attempt->stop_sent_us = now_us;
}

static void
add_start (MhAttempt *attempt, GArray *commands, Channel channel)
{
  add_command (commands, MH_COMMAND_START, attempt, 0);
  mh_attempt_note_start_sent (attempt, channel == CHANNEL_HEARTBEAT_RESPONSE);
}

static void
collect_for_attempts (MhCluster *cluster, MhMachine *machine, GArray *commands, Channel channel)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_attempt_is_stopping (attempt))
        {
          if (channel == CHANNEL_HEARTBEAT_RESPONSE || attempt->stop_sent_us == 0)
            add_stop (cluster, attempt, commands);
        }
      else if (can_start (attempt)
               && (channel == CHANNEL_HEARTBEAT_RESPONSE || !mh_attempt_start_was_sent (attempt)))
        add_start (attempt, commands, channel);
    }
}

/* ---- orphans ---- */

/* Whether the result of the orphan's task is not durable yet. An ended job stays in memory until
   its final record is durable. */
static bool
is_result_unrecorded (const MhCluster *cluster, const MhOrphan *orphan)
{
  MhJob *job = g_hash_table_lookup (cluster->jobs, orphan->job);
  if (job == NULL || orphan->index >= job->spec->tasks
      || job->tasks[orphan->index].state != MH_TASK_DONE)
    return false;
  const MhRecord *record = mh_job_record (job, orphan->index);
  return mh_job_has_ended (job) || mh_record_has_unwritten_changes (record);
}

static void
stop_orphan (MhCluster *cluster, const MhMachine *machine, const MhOrphan *orphan, GArray *commands)
{
  mh_log_info (cluster->runtime,
               "stopping orphaned attempt job=%s task=%u attempt=%" G_GUINT64_FORMAT " machine=%s",
               orphan->job, orphan->index, orphan->attempt, machine->name);
  add_orphan_command (commands, MH_COMMAND_STOP, orphan);
}

/* A worker forgets an attempt that is cleared; a start that is still in flight, or a late copy of
   one that was carried out, would then run it again. The clear is held until such starts are
   fenced. */
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
        clear_held |= start->token == token; /* the token has not been raised since */
      else if (!is_result_unrecorded (cluster, orphan))
        add_orphan_command (commands, MH_COMMAND_CLEAR, orphan);
    }
  gint64 *held_since_us = &machine->fencing.clear_held_since_us;
  if (!clear_held)
    *held_since_us = 0;
  else if (*held_since_us == 0)
    *held_since_us = mh_runtime_now_us (cluster->runtime);
}

/* ---- commands for each channel ---- */

void
mh_worker_command_collect (MhCluster *cluster, MhMachine *machine, GArray *commands)
{
  collect_for_attempts (cluster, machine, commands, CHANNEL_HEARTBEAT_RESPONSE);
  collect_for_orphans (cluster, machine, commands);
}

void
mh_worker_command_collect_unsent (MhCluster *cluster, MhMachine *machine, GArray *commands)
{
  collect_for_attempts (cluster, machine, commands, CHANNEL_DIRECT);
}

void
mh_worker_command_collect_cancellations (const MhMachine *machine, GArray *commands)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_job_is_cancel_durable (attempt->job))
        add_command (commands, MH_COMMAND_STOP, attempt, 0);
    }
}

static MhUnsentUrgency
get_unsent_urgency (const MhAttempt *attempt)
{
  if (mh_attempt_is_stopping (attempt))
    {
      if (attempt->stop_sent_us)
        return MH_UNSENT_NONE;
      return mh_job_has_no_more_starts (attempt->job) ? MH_UNSENT_DEFERRABLE : MH_UNSENT_URGENT;
    }
  if (mh_attempt_start_was_sent (attempt) || !can_start (attempt))
    return MH_UNSENT_NONE;
  return attempt->job->spec->shape == MH_SHAPE_ARRAY ? MH_UNSENT_DEFERRABLE : MH_UNSENT_URGENT;
}

MhUnsentUrgency
mh_worker_command_unsent_urgency (const MhMachine *machine)
{
  MhUnsentUrgency most_urgent = MH_UNSENT_NONE;
  for (guint i = 0; i < machine->attempts->len && most_urgent != MH_UNSENT_URGENT; i++)
    most_urgent = MAX (most_urgent, get_unsent_urgency (mh_machine_attempt (machine, i)));
  return most_urgent;
}
