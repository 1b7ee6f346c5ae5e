#include "cluster/direct-command.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"
#include "cluster/worker-command.h"
#include "protocol/worker-messages.h"

#include <string.h>

#define DIRECT_COMMAND_TIMEOUT_US (2 * MH_SECOND_US)
/* Rate limit of direct commands that carry only deferrable commands, per second and processor core.
   Urgent direct commands take tokens too, but do not wait for them. The response to the next
   heartbeat carries deferrable commands at no cost; without a limit, placing a large array on a
   hundred machines at once kept the leader from all other work for a second. */
#define MAX_DEFERRABLE_PER_CORE_S 250

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409 /* the worker has another incarnation, or has seen a higher token */

void
mh_direct_command_init (MhCluster *cluster)
{
  double rate = MAX_DEFERRABLE_PER_CORE_S * cluster->settings->core_share;
  mh_token_bucket_init (&cluster->direct_bucket, rate, MAX (1, rate / 4),
                        mh_runtime_now_us (cluster->runtime));
}

/* ---- responses ---- */

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
      if (attempt->index == command->index && attempt->number == command->attempt
          && strcmp (attempt->job->spec->id, command->job) == 0)
        return attempt;
    }
  return NULL;
}

static void
handle_start_response (MhCluster *cluster, MhMachine *machine, const MhCommand *command,
                       guint status)
{
  bool refused = status == STATUS_CONFLICT || status == STATUS_BAD_REQUEST;
  MhAttempt *attempt = find_attempt (machine, command);
  if (attempt && refused)
    mh_attempt_note_start_refused (cluster, attempt);
  MhUnfencedStart *start
      = mh_fencing_find_start (machine, command->job, command->index, command->attempt);
  if (start == NULL)
    return;
  if (refused)
    {
      mh_fencing_remove_start (machine, start);
      return;
    }
  start->acknowledged = status == STATUS_OK;
  start->lost = !start->acknowledged;
}

static void
handle_stop_response (const MhMachine *machine, const MhCommand *command, guint status)
{
  MhAttempt *attempt = find_attempt (machine, command);
  if (attempt && status != STATUS_OK)
    attempt->stop_sent_us = 0;
}

static void
on_direct_call_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhCluster *cluster = owner;
  const DirectCall *call = data;
  MhMachine *machine = mh_cluster_find_machine (cluster, call->machine);
  g_autoptr (MhHeartbeat) message = NULL;
  if (response->status == STATUS_OK || response->status == STATUS_CONFLICT)
    message = mh_heartbeat_decode (response->body, NULL);
  if (machine == NULL)
    return;
  machine->direct_commands_in_flight--;
  for (guint i = 0; i < call->commands->len; i++)
    {
      const MhCommand *command = &g_array_index (call->commands, MhCommand, i);
      if (command->kind == MH_COMMAND_STOP)
        handle_stop_response (machine, command, response->status);
      else
        handle_start_response (cluster, machine, command, response->status);
    }
  if (message)
    mh_heartbeat_receive_response (cluster, machine, message);
}

/* ---- requests ---- */

bool
mh_direct_command_can_send (const MhCluster *cluster, const MhMachine *machine)
{
  gint64 heartbeat_interval_us = cluster->settings->heartbeat_interval_us;
  return cluster->settings->direct_commands && !machine->direct_commands_in_flight
         && machine->heartbeat.reported && !mh_machine_is_releasing (machine) && machine->endpoint
         && !machine->heartbeat.ignored_responses
         && !mh_cluster_is_silent (cluster, machine, heartbeat_interval_us * 3 / 2)
         && !mh_fencing_has_lost_start (machine);
}

static void
send_direct_command (MhCluster *cluster, MhMachine *machine)
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
                                  .timeout_us = DIRECT_COMMAND_TIMEOUT_US,
                                  .func = on_direct_call_response,
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
  MhUnsentUrgency unsent = mh_worker_command_unsent_urgency (machine);
  if (unsent == MH_UNSENT_URGENT
      || (unsent == MH_UNSENT_DEFERRABLE
          && mh_token_bucket_has (&cluster->direct_bucket, 1,
                                  mh_runtime_now_us (cluster->runtime))))
    send_direct_command (cluster, machine);
}

void
mh_direct_command_send_token (MhCluster *cluster, MhMachine *machine)
{
  if (mh_direct_command_can_send (cluster, machine))
    send_direct_command (cluster, machine);
}
