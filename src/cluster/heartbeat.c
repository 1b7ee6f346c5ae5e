#include "cluster/heartbeat.h"
#include "cluster/attempt.h"
#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/machine-registry.h"
#include "cluster/reconcile.h"
#include "cluster/worker-command.h"
#include "cluster/zone-silence.h"
#include "protocol/worker-messages.h"

#include <string.h>

/* The rates of a worker's clock and of this controller's may differ by one part in this many. */
#define CLOCK_DRIFT_DIVISOR 500
/* Covers the time in which a worker notices that its lease has expired, and all else that delays
   the end of a task. */
#define KEEP_ALIVE_MARGIN_US (4 * MH_SECOND_US)

#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503

/* ---- processing messages ---- */

static void
handle_first_message (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  mh_boot_time_note_join (cluster, machine);
  for (guint i = 0; i < machine->attempts->len; i++)
    mh_machine_attempt (machine, i)->job->n_unreported--;
  machine->idle_since_us = mh_runtime_now_us (cluster->runtime);
  cluster->callbacks->capacity_changed (cluster->owner, false);
  mh_log_info (cluster->runtime, "machine joined machine=%s type=%s zone=%s spot=%s tasks=%u",
               machine->name, message->type, message->zone, message->spot ? "true" : "false",
               message->tasks->len);
}

static void
update_heartbeat (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message,
                  MhMessageSource source)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  bool first = !heartbeat->reported;
  heartbeat->reported = true;
  mh_machine_change_state (machine, MH_MACHINE_EVENT_REPORTED);
  heartbeat->last_message_us = mh_runtime_now_us (cluster->runtime);
  if (source == MH_MESSAGE_RESPONSE)
    heartbeat->ignored_responses = 0;
  if (!heartbeat->ignored_responses)
    machine->probe.failures = 0;
  if (source == MH_MESSAGE_HEARTBEAT || first)
    heartbeat->last_heartbeat_us = mh_runtime_now_us (cluster->runtime);
  /* The message may make commands necessary. The response to a heartbeat carries them at once;
     otherwise they are scheduled. */
  if (source == MH_MESSAGE_RESPONSE)
    mh_machine_schedule_commands (cluster, machine);
  heartbeat->incarnation = message->incarnation;
  heartbeat->sequence = message->sequence;
  heartbeat->token = message->fencing_token;
  if (first)
    handle_first_message (cluster, machine, message);
}

static void
update_preemption_notice (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  bool has_notice = message->notice_us >= 0;
  if (has_notice && machine->notice_deadline_us < 0)
    mh_log_info (cluster->runtime, "machine has preemption notice machine=%s left_s=%.1f",
                 machine->name, (double)message->notice_us / MH_SECOND_US);
  machine->notice_deadline_us
      = has_notice ? mh_runtime_now_us (cluster->runtime) + message->notice_us : -1;
}

static void
apply_message (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message,
               MhMessageSource source)
{
  update_heartbeat (cluster, machine, message, source);
  if (g_strcmp0 (machine->endpoint, message->endpoint) != 0)
    {
      g_free (machine->endpoint);
      machine->endpoint = g_strdup (message->endpoint);
    }
  mh_cluster_identify_machine (cluster, machine, message->type, message->zone, message->spot);
  mh_zone_note_message (cluster, machine->zone, source == MH_MESSAGE_HEARTBEAT);
  update_preemption_notice (cluster, machine, message);
  mh_fencing_remove_fenced (machine);
  mh_reconcile (cluster, machine, message, source);
}

static bool
is_newer (const MhMachine *machine, const MhHeartbeat *message)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  return !heartbeat->reported || message->incarnation > heartbeat->incarnation
         || (message->incarnation == heartbeat->incarnation
             && message->sequence > heartbeat->sequence);
}

bool
mh_heartbeat_receive_response (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  if (strcmp (message->machine, machine->name) != 0 || !is_newer (machine, message))
    return false;
  if (message->fencing_token > mh_fencing_token (cluster, machine))
    {
      mh_election_step_down (cluster->election, MH_LOSS_HIGHER_TOKEN);
      return false;
    }
  apply_message (cluster, machine, message, MH_MESSAGE_RESPONSE);
  return true;
}

/* A heartbeat of unknown age is no evidence of the worker's state. It gives the address for a
   probe, if none is known, and delays the probe, since the worker is about to send another
   heartbeat. */
static void
note_unverified_heartbeat (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  if (machine == NULL || machine->heartbeat.reported || mh_machine_is_releasing (machine))
    return;
  if (machine->endpoint == NULL)
    machine->endpoint = g_strdup (message->endpoint);
  machine->heartbeat.last_unverified_us = mh_runtime_now_us (cluster->runtime);
}

/* ---- whether the last response has arrived ---- */

static bool
contains_attempt (const MhHeartbeat *message, const MhAttempt *attempt)
{
  for (guint i = 0; i < message->tasks->len; i++)
    {
      const MhTaskStatus *status = &g_array_index (message->tasks, MhTaskStatus, i);
      if (status->index == attempt->index && status->attempt == attempt->number
          && strcmp (status->job, attempt->job->spec->id) == 0)
        return true;
    }
  return false;
}

/* Whether the last response carried the start of an attempt that has not been reported yet. */
static bool
is_expected_to_appear (const MhMachine *machine, const MhAttempt *attempt)
{
  return !attempt->reported && mh_attempt_start_was_sent (attempt)
         && attempt->start_sequence == machine->heartbeat.response_sequence;
}

typedef enum
{
  RESPONSE_EFFECT_NONE_EXPECTED, /* the response has no effect that must show */
  RESPONSE_EFFECT_SEEN,
  RESPONSE_EFFECT_MISSING
} ResponseEffect;

static ResponseEffect
get_response_effect (const MhMachine *machine, const MhHeartbeat *message)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (message->fencing_token < heartbeat->response_token
      || message->incarnation > heartbeat->incarnation)
    return RESPONSE_EFFECT_MISSING;
  ResponseEffect effect = heartbeat->token < heartbeat->response_token
                              ? RESPONSE_EFFECT_SEEN
                              : RESPONSE_EFFECT_NONE_EXPECTED;
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (!is_expected_to_appear (machine, attempt))
        continue;
      if (!contains_attempt (message, attempt))
        return RESPONSE_EFFECT_MISSING;
      effect = RESPONSE_EFFECT_SEEN;
    }
  return effect;
}

/* A worker sends its next heartbeat only when it has the response to the last one, or has stopped
   waiting for it. The next heartbeat must therefore show the effect of the response. Without this
   check a machine whose heartbeats arrive, but which receives nothing, would look alive although it
   carries out no command. */
static void
check_response_received (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (!heartbeat->effect_pending)
    return;
  heartbeat->effect_pending = false;
  switch (get_response_effect (machine, message))
    {
    case RESPONSE_EFFECT_MISSING:
      if (++heartbeat->ignored_responses == MH_MAX_IGNORED_RESPONSES)
        mh_log_info (cluster->runtime, "machine ignores responses machine=%s", machine->name);
      break;
    case RESPONSE_EFFECT_SEEN:
      heartbeat->ignored_responses = 0;
      break;
    case RESPONSE_EFFECT_NONE_EXPECTED:
      break;
    }
}

/* ---- responding to heartbeats ---- */

gint64
mh_heartbeat_keep_alive_us (const MhCluster *cluster)
{
  const MhSettings *settings = cluster->settings;
  return settings->cancel_limit_us - settings->worker_lease_us
         - settings->worker_lease_us / CLOCK_DRIFT_DIVISOR - KEEP_ALIVE_MARGIN_US;
}

static bool
can_keep_alive (const MhCluster *cluster)
{
  return mh_election_state (cluster->election) == MH_LEADERSHIP_LEADING
         && mh_runtime_now_us (cluster->runtime) < mh_election_last_renewal_us (cluster->election)
                                                       + mh_heartbeat_keep_alive_us (cluster);
}

static void
respond (MhCluster *cluster, guint64 request_id, guint status, MhValue *body)
{
  MhAction *action
      = mh_runtime_add_action (cluster->runtime, MH_ACTION_RESPOND_TO_HEARTBEAT, request_id);
  action->status = status;
  action->body = body;
  /* A response without commands could also be sent after the leader lease has expired, for as long
     as mh_heartbeat_keep_alive_us() allows. Distinguishing it has no benefit: it matters only if
     this process is paused until the lease has expired, and the worker then sends another
     heartbeat. */
  if (status == STATUS_OK && mh_election_is_leader (cluster->election))
    action->lease_until_us = mh_election_lease_until_us (cluster->election);
}

/* Whether the heartbeat is from a machine that was released. A raised token of this leadership from
   a machine that is not known here shows that it was known and has been released: unknown machines
   are sent the first token only. */
static bool
is_from_released_machine (const MhCluster *cluster, const MhMachine *machine,
                          const MhHeartbeat *message)
{
  guint64 first_token = mh_fencing_token (cluster, NULL);
  bool has_raised_token = machine == NULL && message->fencing_token > first_token
                          && message->fencing_token < first_token + MH_EPOCHS_PER_LEADERSHIP;
  return mh_election_has_records (cluster->election)
         && (has_raised_token || mh_cluster_was_released (cluster, message->machine));
}

/* Processes a heartbeat that was certainly sent in this leadership. Returns whether the commands to
   the machine have been collected. */
static bool
apply_heartbeat (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message,
                 GArray *commands)
{
  if (!is_newer (machine, message))
    return false;
  check_response_received (cluster, machine, message);
  bool was_leader = mh_election_is_leader (cluster->election);
  apply_message (cluster, machine, message, MH_MESSAGE_HEARTBEAT);
  if (!was_leader || mh_election_is_stepping_down (cluster->election))
    return false;
  mh_worker_command_collect (cluster, machine, commands);
  machine->heartbeat.effect_pending = true;
  machine->heartbeat.response_token = mh_fencing_token (cluster, machine);
  machine->heartbeat.response_sequence = message->sequence;
  return true;
}

static MhMachine *
find_or_add_machine (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *message)
{
  if (machine)
    return machine;
  mh_log_info (cluster->runtime, "unknown machine added machine=%s", message->machine);
  return mh_cluster_add_machine (cluster, message->machine, message->type, message->zone,
                                 message->spot);
}

static void
respond_with_commands (MhCluster *cluster, guint64 request_id, const MhHeartbeat *message)
{
  MhMachine *machine = mh_cluster_find_machine (cluster, message->machine);
  g_autoptr (GArray) commands = mh_commands_new ();
  bool collected = false;
  /* Delayed copies of heartbeats can arrive, also from machines that are gone, and at a leader that
     has no newer message of the worker. Only one with a token of this leadership was certainly sent
     in it. For any other the worker merely gets a response, which carries the token; its next
     heartbeat then has it. */
  if (message->fencing_token < mh_fencing_token (cluster, NULL))
    note_unverified_heartbeat (cluster, machine, message);
  else
    {
      machine = find_or_add_machine (cluster, machine, message);
      collected = apply_heartbeat (cluster, machine, message, commands);
    }
  /* Each response renews the worker's lease, so it must also stop the tasks of cancelled jobs:
     the leader may not be able to send the stops later. */
  if (!collected && machine)
    mh_worker_command_collect_cancellations (machine, commands);
  respond (cluster, request_id, STATUS_OK,
           mh_commands_encode (mh_fencing_token (cluster, machine), NULL, commands));
}

/* A controller that has not loaded the records does not know which jobs are cancelled. Each of its
   responses would keep their tasks alive; while reads are slow, or short leaderships follow one
   another, they would run for ever. */
static bool
can_respond (const MhCluster *cluster)
{
  return mh_election_has_records (cluster->election)
         && (mh_election_is_leader (cluster->election) || can_keep_alive (cluster));
}

void
mh_heartbeat_receive (MhCluster *cluster, guint64 request_id, const MhHeartbeat *message)
{
  const MhMachine *machine = mh_cluster_find_machine (cluster, message->machine);
  bool released = is_from_released_machine (cluster, machine, message);
  if (!released && message->fencing_token > mh_fencing_token (cluster, machine))
    {
      mh_election_step_down (cluster->election, MH_LOSS_HIGHER_TOKEN);
      respond (cluster, request_id, STATUS_MISDIRECTED, mh_redirect_encode (NULL));
    }
  else if (released || !can_respond (cluster))
    respond (cluster, request_id, STATUS_UNAVAILABLE, NULL);
  else
    respond_with_commands (cluster, request_id, message);
}
