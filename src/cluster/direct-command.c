#include "cluster/direct-command.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"
#include "cluster/worker-command.h"
#include "protocol/worker-messages.h"

#include <string.h>

#define TIMEOUT_US (2 * MH_SECOND_US)
/* Direct commands that nobody waits for, by the processor's share: what they would say goes with
   the answer to the next report, which costs nothing. A large array placed at once on a hundred
   machines once kept the leader from all else for a second. */
#define PATIENT_PER_CORE_S 250

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409 /* other incarnation, or a token that the worker has outgrown */

void
mh_direct_command_init (MhCluster *cluster)
{
  double rate = PATIENT_PER_CORE_S * cluster->settings->core_share;
  mh_token_bucket_init (&cluster->direct_bucket, rate, MAX (1, rate / 4),
                        mh_runtime_now_us (cluster->runtime));
}

/* ---- the answer ---- */

typedef struct
{
  char *machine;
  GArray *commands; /* MhCommand */
} DirectCall;

static void
direct_call_free (gpointer data)
{
  DirectCall *call = data;
  g_free (call->machine);
  g_array_unref (call->commands);
  g_free (call);
}

static MhAttempt *
find_attempt (const MhMachine *machine, const MhCommand *command)
{
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (attempt->index == command->index && attempt->attempt == command->attempt
          && strcmp (attempt->job->spec->id, command->job) == 0)
        return attempt;
    }
  return NULL;
}

static void
start_answered (MhMachine *machine, const MhCommand *command, guint status)
{
  bool refused = status == STATUS_CONFLICT || status == STATUS_BAD_REQUEST;
  MhAttempt *attempt = find_attempt (machine, command);
  if (attempt && refused)
    mh_attempt_note_start_refused (attempt);
  MhUnacknowledgedStart *start
      = mh_fencing_find_start (machine, command->job, command->index, command->attempt);
  if (start == NULL)
    return;
  if (refused)
    {
      mh_fencing_remove_start (machine, start);
      return;
    }
  start->answered = status == STATUS_OK;
  start->lost = !start->answered;
}

static void
stop_answered (const MhMachine *machine, const MhCommand *command, guint status)
{
  MhAttempt *attempt = find_attempt (machine, command);
  if (attempt && status != STATUS_OK)
    attempt->stop_sent_us = 0;
}

static void
direct_call_answered (gpointer owner, gpointer data, const MhReply *reply)
{
  MhCluster *cluster = owner;
  const DirectCall *call = data;
  MhMachine *machine = mh_cluster_find_machine (cluster, call->machine);
  g_autoptr (MhHeartbeat) report = NULL;
  if (reply->status == STATUS_OK || reply->status == STATUS_CONFLICT)
    report = mh_heartbeat_decode (reply->body, NULL);
  if (machine == NULL)
    return;
  machine->direct_commands_in_flight--;
  for (guint i = 0; i < call->commands->len; i++)
    {
      const MhCommand *command = &g_array_index (call->commands, MhCommand, i);
      if (command->kind == MH_COMMAND_STOP)
        stop_answered (machine, command, reply->status);
      else
        start_answered (machine, command, reply->status);
    }
  if (report)
    mh_heartbeat_take_answer (cluster, machine, report);
}

/* ---- the command ---- */

bool
mh_direct_command_can_send (const MhCluster *cluster, const MhMachine *machine)
{
  gint64 report_us = cluster->settings->heartbeat_interval_us;
  return cluster->settings->direct_commands && !machine->direct_commands_in_flight
         && machine->heartbeat.reported && !mh_machine_is_releasing (machine) && machine->endpoint
         && !machine->heartbeat.ignored_answers
         && !mh_cluster_is_silent (cluster, machine, report_us * 3 / 2)
         && !mh_fencing_has_lost_start (machine);
}

static void
send_directly (MhCluster *cluster, MhMachine *machine)
{
  guint64 token = mh_fencing_token (cluster, machine);
  g_autoptr (GArray) commands = mh_commands_new ();
  mh_token_bucket_take (&cluster->direct_bucket, 1);
  mh_worker_command_collect_unsent (cluster, machine, commands);
  for (guint i = 0; i < commands->len; i++)
    {
      const MhCommand *command = &g_array_index (commands, MhCommand, i);
      if (command->kind == MH_COMMAND_START)
        mh_fencing_add_start (machine, command, token);
    }
  DirectCall *call = g_new0 (DirectCall, 1);
  call->machine = g_strdup (machine->name);
  call->commands = g_array_ref (commands);
  machine->direct_commands_in_flight++;
  const MhCallOptions options = { .class = MH_CALL_WORK,
                                  .timeout_us = TIMEOUT_US,
                                  .func = direct_call_answered,
                                  .owner = cluster,
                                  .data = call,
                                  .free_data = direct_call_free };
  mh_call_queue_add (cluster->calls,
                     mh_worker_request_commands (machine->endpoint, token,
                                                 machine->heartbeat.incarnation, commands),
                     &options);
}

void
mh_direct_command_send_unsent (MhCluster *cluster, MhMachine *machine)
{
  if (!mh_direct_command_can_send (cluster, machine))
    return;
  MhUnsentCommands unsent = mh_worker_command_unsent (machine);
  if (unsent == MH_UNSENT_URGENT
      || (unsent == MH_UNSENT_PATIENT
          && mh_token_bucket_has (&cluster->direct_bucket, 1,
                                  mh_runtime_now_us (cluster->runtime))))
    send_directly (cluster, machine);
}

void
mh_direct_command_send_token (MhCluster *cluster, MhMachine *machine)
{
  if (mh_direct_command_can_send (cluster, machine))
    send_directly (cluster, machine);
}
