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

/* The worker's clock may run apart from ours by one part in so many. */
#define CLOCK_DRIFT_PART 500
/* What a worker may take to notice the end of its lease, with whatever else holds up the end of a
   task. */
#define KEEP_ALIVE_SPARE_US (4 * MH_SECOND_US)

#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503

/* ---- taking in ---- */

static void
note_first_message (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  mh_boot_time_joined (cluster, machine);
  for (guint i = 0; i < machine->attempts->len; i++)
    mh_machine_attempt (machine, i)->job->n_unreported--;
  machine->idle_since_us = mh_runtime_now_us (cluster->runtime);
  cluster->callbacks->capacity_changed (cluster->owner, false);
  mh_log_info (cluster->runtime, "machine joined machine=%s type=%s zone=%s spot=%s tasks=%u",
               machine->name, report->type, report->zone, report->spot ? "true" : "false",
               report->tasks->len);
}

static void
update_heartbeat (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report,
                  MhMessageSource source)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  bool first = !heartbeat->reported;
  heartbeat->reported = true;
  mh_machine_change_state (machine, MH_MACHINE_EVENT_REPORTED);
  heartbeat->last_message_us = mh_runtime_now_us (cluster->runtime);
  if (source == MH_MESSAGE_ANSWER)
    heartbeat->ignored_answers = 0;
  if (!heartbeat->ignored_answers)
    machine->probe.failures = 0;
  if (source == MH_MESSAGE_REPORT || first)
    heartbeat->last_report_us = mh_runtime_now_us (cluster->runtime);
  /* What it shows may call for commands; a report is answered with them at once. */
  if (source == MH_MESSAGE_ANSWER)
    mh_machine_schedule_commands (cluster, machine);
  heartbeat->incarnation = report->incarnation;
  heartbeat->sequence = report->sequence;
  heartbeat->token = report->fencing_token;
  if (first)
    note_first_message (cluster, machine, report);
}

static void
update_notice (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  bool noticed = report->notice_us >= 0;
  if (noticed && machine->notice_until_us < 0)
    mh_log_info (cluster->runtime, "machine has preemption notice machine=%s left_s=%.1f",
                 machine->name, (double)report->notice_us / MH_SECOND_US);
  machine->notice_until_us
      = noticed ? mh_runtime_now_us (cluster->runtime) + report->notice_us : -1;
}

static void
take_in (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report, MhMessageSource source)
{
  update_heartbeat (cluster, machine, report, source);
  if (g_strcmp0 (machine->endpoint, report->endpoint) != 0)
    {
      g_free (machine->endpoint);
      machine->endpoint = g_strdup (report->endpoint);
    }
  mh_cluster_identify_machine (cluster, machine, report->type, report->zone, report->spot);
  mh_zone_note_message (cluster, machine->zone, source == MH_MESSAGE_REPORT);
  update_notice (cluster, machine, report);
  mh_fencing_forget_fenced (machine);
  mh_reconcile (cluster, machine, report, source);
}

static bool
is_newer (const MhMachine *machine, const MhHeartbeat *report)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  return !heartbeat->reported || report->incarnation > heartbeat->incarnation
         || (report->incarnation == heartbeat->incarnation
             && report->sequence > heartbeat->sequence);
}

bool
mh_heartbeat_take_answer (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  if (strcmp (report->machine, machine->name) != 0 || !is_newer (machine, report))
    return false;
  if (report->fencing_token > mh_fencing_token (cluster, machine))
    {
      mh_election_step_down (cluster->election, MH_LOSS_HIGHER_TOKEN);
      return false;
    }
  take_in (cluster, machine, report, MH_MESSAGE_ANSWER);
  return true;
}

/* A report of unknown age: at most it tells where to ask. */
static void
note_unverified_report (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  if (machine == NULL || machine->heartbeat.reported || mh_machine_is_releasing (machine))
    return;
  if (machine->endpoint == NULL)
    machine->endpoint = g_strdup (report->endpoint);
  machine->heartbeat.unverified_us = mh_runtime_now_us (cluster->runtime);
}

/* ---- whether the last answer has arrived ---- */

static bool
report_shows (const MhHeartbeat *report, const MhAttempt *attempt)
{
  for (guint i = 0; i < report->tasks->len; i++)
    {
      const MhTaskStatus *shown = &g_array_index (report->tasks, MhTaskStatus, i);
      if (shown->index == attempt->index && shown->attempt == attempt->attempt
          && strcmp (shown->job, attempt->job->spec->id) == 0)
        return true;
    }
  return false;
}

/* Whether the last answer carried the attempt's start, and the attempt has not been shown before.
 */
static bool
is_due_to_show (const MhMachine *machine, const MhAttempt *attempt)
{
  return !attempt->shown && mh_attempt_start_was_sent (attempt)
         && attempt->start_sequence == machine->heartbeat.answered_sequence;
}

typedef enum
{
  ANSWER_SAID_NOTHING, /* that would have to show */
  ANSWER_FOLLOWED,
  ANSWER_IGNORED
} AnswerEffect;

static AnswerEffect
effect_of_answer (const MhMachine *machine, const MhHeartbeat *report)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (report->fencing_token < heartbeat->answered_token
      || report->incarnation > heartbeat->incarnation)
    return ANSWER_IGNORED;
  AnswerEffect effect
      = heartbeat->token < heartbeat->answered_token ? ANSWER_FOLLOWED : ANSWER_SAID_NOTHING;
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (!is_due_to_show (machine, attempt))
        continue;
      if (!report_shows (report, attempt))
        return ANSWER_IGNORED;
      effect = ANSWER_FOLLOWED;
    }
  return effect;
}

/* A worker sends its next report only when it has the answer to the last or has given it up, so
   that what the answer said must show. A machine whose reports arrive while nothing reaches it
   looks alive, and does nothing that it is told. */
static void
check_answer_received (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (!heartbeat->answer_pending)
    return;
  heartbeat->answer_pending = false;
  switch (effect_of_answer (machine, report))
    {
    case ANSWER_IGNORED:
      if (++heartbeat->ignored_answers == MH_MAX_IGNORED_ANSWERS)
        mh_log_info (cluster->runtime, "machine ignores answers machine=%s", machine->name);
      break;
    case ANSWER_FOLLOWED:
      heartbeat->ignored_answers = 0;
      break;
    case ANSWER_SAID_NOTHING:
      break;
    }
}

/* ---- answering reports ---- */

gint64
mh_heartbeat_keep_alive_us (const MhCluster *cluster)
{
  const MhSettings *settings = cluster->settings;
  return settings->cancel_limit_us - settings->worker_lease_us
         - settings->worker_lease_us / CLOCK_DRIFT_PART - KEEP_ALIVE_SPARE_US;
}

static bool
may_keep_alive (const MhCluster *cluster)
{
  return mh_election_state (cluster->election) == MH_LEADERSHIP_LEADING
         && mh_runtime_now_us (cluster->runtime) < mh_election_last_renewal_us (cluster->election)
                                                       + mh_heartbeat_keep_alive_us (cluster);
}

static void
answer_report (MhCluster *cluster, guint64 request_id, guint status, MhValue *body)
{
  MhAction *action
      = mh_runtime_add_action (cluster->runtime, MH_ACTION_ANSWER_HEARTBEAT, request_id);
  action->status = status;
  action->body = body;
  /* Without commands it may be given for longer, but nothing is gained by telling those apart: a
     process that stood still for so long is asked again. */
  if (status == STATUS_OK && mh_election_is_leader (cluster->election))
    action->lease_until_us = mh_election_lease_until_us (cluster->election);
}

/* One that this leadership knew is known no more when it has been given back. */
static bool
is_of_released_machine (const MhCluster *cluster, const MhMachine *machine,
                        const MhHeartbeat *report)
{
  guint64 first_token = mh_fencing_token (cluster, NULL);
  bool was_ours = machine == NULL && report->fencing_token > first_token
                  && report->fencing_token < first_token + MH_EPOCHS_PER_LEADERSHIP;
  return mh_election_has_loaded (cluster->election)
         && (was_ours || mh_cluster_was_released (cluster, report->machine));
}

/* Takes in a report that was surely sent in this leadership; returns whether the machine is told
   what to do. */
static bool
take_in_report (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report, GArray *commands)
{
  if (!is_newer (machine, report))
    return false;
  check_answer_received (cluster, machine, report);
  bool valid = mh_election_is_leader (cluster->election);
  take_in (cluster, machine, report, MH_MESSAGE_REPORT);
  if (!valid || mh_election_is_stepping_down (cluster->election))
    return false;
  mh_worker_command_collect (cluster, machine, commands);
  machine->heartbeat.answer_pending = true;
  machine->heartbeat.answered_token = mh_fencing_token (cluster, machine);
  machine->heartbeat.answered_sequence = report->sequence;
  return true;
}

static MhMachine *
find_or_add (MhCluster *cluster, MhMachine *machine, const MhHeartbeat *report)
{
  if (machine)
    return machine;
  mh_log_info (cluster->runtime, "machine not known before, used machine=%s", report->machine);
  return mh_cluster_add_machine (cluster, report->machine, report->type, report->zone,
                                 report->spot);
}

static void
answer_with_commands (MhCluster *cluster, guint64 request_id, const MhHeartbeat *report)
{
  MhMachine *machine = mh_cluster_find_machine (cluster, report->machine);
  g_autoptr (GArray) commands = mh_commands_new ();
  bool told = false;
  /* Copies of reports come late, also of machines that are long gone and to a leader that has
     heard nothing newer. Only one with a token of this leadership was surely sent in it; by
     any other the worker is merely answered, and it reports again when it has seen the token. */
  if (report->fencing_token < mh_fencing_token (cluster, NULL))
    note_unverified_report (cluster, machine, report);
  else
    {
      machine = find_or_add (cluster, machine, report);
      told = take_in_report (cluster, machine, report, commands);
    }
  /* No answer renews the lease of a worker without stopping what is cancelled there: the leader may
     not be able to say so later. */
  if (!told && machine)
    mh_worker_command_collect_cancelled (machine, commands);
  answer_report (cluster, request_id, STATUS_OK,
                 mh_commands_encode (mh_fencing_token (cluster, machine), NULL, commands));
}

/* One that has not read the records yet does not know what is cancelled: each of its answers would
   keep such tasks alive, and slow reads, or one short leadership after the other, for ever. */
static bool
may_answer (const MhCluster *cluster)
{
  return mh_election_has_loaded (cluster->election)
         && (mh_election_is_leader (cluster->election) || may_keep_alive (cluster));
}

void
mh_heartbeat_receive (MhCluster *cluster, guint64 request_id, const MhHeartbeat *report)
{
  const MhMachine *machine = mh_cluster_find_machine (cluster, report->machine);
  bool released = is_of_released_machine (cluster, machine, report);
  if (!released && report->fencing_token > mh_fencing_token (cluster, machine))
    {
      mh_election_step_down (cluster->election, MH_LOSS_HIGHER_TOKEN);
      answer_report (cluster, request_id, STATUS_MISDIRECTED, mh_redirect_encode (NULL));
    }
  else if (released || !may_answer (cluster))
    answer_report (cluster, request_id, STATUS_UNAVAILABLE, NULL);
  else
    answer_with_commands (cluster, request_id, report);
}
