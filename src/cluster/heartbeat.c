#include "cluster/heartbeat.h"
#include "cluster/attempt.h"
#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "cluster/fencing.h"
#include "cluster/machine-registry.h"
#include "cluster/reconcile.h"
#include "cluster/worker-command.h"
#include "cluster/zone-silence.h"

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
note_first_message (MhCore *core, MhMachine *machine, const MhReport *report)
{
  mh_boot_time_joined (core, machine);
  for (guint i = 0; i < machine->attempts->len; i++)
    mh_machine_attempt (machine, i)->job->n_unreported--;
  machine->idle_since_us = core->now.mono_us;
  core->cluster->callbacks->capacity_changed (core, false);
  mh_info (core, "machine joined machine=%s type=%s zone=%s spot=%s tasks=%u", machine->name,
           report->type, report->zone, report->spot ? "true" : "false", report->tasks->len);
}

static void
update_heartbeat (MhCore *core, MhMachine *machine, const MhReport *report, MhMessageSource source)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  bool first = !heartbeat->reported;
  heartbeat->reported = true;
  mh_machine_change_state (machine, MH_MACHINE_EVENT_REPORTED);
  heartbeat->last_message_us = core->now.mono_us;
  if (source == MH_MESSAGE_ANSWER)
    heartbeat->ignored_answers = 0;
  if (!heartbeat->ignored_answers)
    machine->probe.failures = 0;
  if (source == MH_MESSAGE_REPORT || first)
    heartbeat->last_report_us = core->now.mono_us;
  /* What it shows may call for commands; a report is answered with them at once. */
  if (source == MH_MESSAGE_ANSWER)
    mh_machine_schedule_commands (core, machine);
  heartbeat->session = report->session;
  heartbeat->sequence = report->sequence;
  heartbeat->token = report->token;
  if (first)
    note_first_message (core, machine, report);
}

static void
update_notice (MhCore *core, MhMachine *machine, const MhReport *report)
{
  bool noticed = report->notice_us >= 0;
  if (noticed && machine->notice_until_us < 0)
    mh_info (core, "machine has preemption notice machine=%s left_s=%.1f", machine->name,
             (double)report->notice_us / MH_SECOND_US);
  machine->notice_until_us = noticed ? core->now.mono_us + report->notice_us : -1;
}

static void
take_in (MhCore *core, MhMachine *machine, const MhReport *report, MhMessageSource source)
{
  update_heartbeat (core, machine, report, source);
  if (g_strcmp0 (machine->endpoint, report->endpoint) != 0)
    {
      g_free (machine->endpoint);
      machine->endpoint = g_strdup (report->endpoint);
    }
  mh_cluster_identify_machine (core, machine, report->type, report->zone, report->spot);
  mh_zone_note_message (core, machine->zone, source == MH_MESSAGE_REPORT);
  update_notice (core, machine, report);
  mh_fencing_forget_fenced (machine);
  mh_reconcile (core, machine, report, source);
}

static bool
is_newer (const MhMachine *machine, const MhReport *report)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  return !heartbeat->reported || report->session > heartbeat->session
         || (report->session == heartbeat->session && report->sequence > heartbeat->sequence);
}

bool
mh_heartbeat_take_answer (MhCore *core, MhMachine *machine, const MhReport *report)
{
  if (strcmp (report->machine, machine->name) != 0 || !is_newer (machine, report))
    return false;
  if (report->token > mh_fencing_token (core, machine))
    {
      mh_election_step_down (core->election, MH_LOSS_HIGHER_TOKEN);
      return false;
    }
  take_in (core, machine, report, MH_MESSAGE_ANSWER);
  return true;
}

/* A report of unknown age: at most it tells where to ask. */
static void
note_unverified_report (MhCore *core, MhMachine *machine, const MhReport *report)
{
  if (machine == NULL || machine->heartbeat.reported || mh_machine_is_releasing (machine))
    return;
  if (machine->endpoint == NULL)
    machine->endpoint = g_strdup (report->endpoint);
  machine->heartbeat.unverified_us = core->now.mono_us;
}

/* ---- whether the last answer has arrived ---- */

static bool
report_shows (const MhReport *report, const MhAttempt *attempt)
{
  for (guint i = 0; i < report->tasks->len; i++)
    {
      const MhReportTask *shown = &g_array_index (report->tasks, MhReportTask, i);
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
effect_of_answer (const MhMachine *machine, const MhReport *report)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (report->token < heartbeat->answered_token || report->session > heartbeat->session)
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
check_answer_received (MhCore *core, MhMachine *machine, const MhReport *report)
{
  MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (!heartbeat->answer_pending)
    return;
  heartbeat->answer_pending = false;
  switch (effect_of_answer (machine, report))
    {
    case ANSWER_IGNORED:
      if (++heartbeat->ignored_answers == MH_MAX_IGNORED_ANSWERS)
        mh_info (core, "machine ignores answers machine=%s", machine->name);
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
mh_heartbeat_keep_alive_us (const MhCore *core)
{
  const MhSettings *settings = core->settings;
  return settings->cancel_us - settings->worker_lease_us
         - settings->worker_lease_us / CLOCK_DRIFT_PART - KEEP_ALIVE_SPARE_US;
}

static bool
may_keep_alive (const MhCore *core)
{
  return mh_election_state (core->election) == MH_LEADERSHIP_LEADING
         && core->now.mono_us
                < mh_election_last_renewal_us (core->election) + mh_heartbeat_keep_alive_us (core);
}

static void
answer_report (MhCore *core, guint64 request_id, guint status, MhValue *body)
{
  MhAction *action = mh_core_act (core, MH_ACTION_ANSWER_REPORT, request_id);
  action->status = status;
  action->body = body;
  /* Without commands it may be given for longer, but nothing is gained by telling those apart: a
     process that stood still for so long is asked again. */
  if (status == STATUS_OK && mh_election_is_leader (core->election))
    action->lease_until_us = mh_election_lease_until_us (core->election);
}

/* One that this leadership knew is known no more when it has been given back. */
static bool
is_of_released_machine (const MhCore *core, const MhMachine *machine, const MhReport *report)
{
  guint64 first_token = mh_fencing_token (core, NULL);
  bool was_ours = machine == NULL && report->token > first_token
                  && report->token < first_token + MH_EPOCHS_PER_LEADERSHIP;
  return mh_election_has_loaded (core->election)
         && (was_ours || mh_cluster_was_released (core, report->machine));
}

/* Takes in a report that was surely sent in this leadership; returns whether the machine is told
   what to do. */
static bool
take_in_report (MhCore *core, MhMachine *machine, const MhReport *report, GArray *commands)
{
  if (!is_newer (machine, report))
    return false;
  check_answer_received (core, machine, report);
  bool valid = mh_election_is_leader (core->election);
  take_in (core, machine, report, MH_MESSAGE_REPORT);
  if (!valid || mh_election_is_stepping_down (core->election))
    return false;
  mh_worker_command_collect (core, machine, commands);
  machine->heartbeat.answer_pending = true;
  machine->heartbeat.answered_token = mh_fencing_token (core, machine);
  machine->heartbeat.answered_sequence = report->sequence;
  return true;
}

static MhMachine *
find_or_add (MhCore *core, MhMachine *machine, const MhReport *report)
{
  if (machine)
    return machine;
  mh_info (core, "machine not known before, used machine=%s", report->machine);
  return mh_cluster_add_machine (core, report->machine, report->type, report->zone, report->spot);
}

static void
answer_with_commands (MhCore *core, guint64 request_id, const MhReport *report)
{
  MhMachine *machine = mh_cluster_find_machine (core, report->machine);
  g_autoptr (GArray) commands = mh_commands_new ();
  bool told = false;
  /* Copies of reports come late, also of machines that are long gone and to a leader that has
     heard nothing newer. Only one with a token of this leadership was surely sent in it; by
     any other the worker is merely answered, and it reports again when it has seen the token. */
  if (report->token < mh_fencing_token (core, NULL))
    note_unverified_report (core, machine, report);
  else
    {
      machine = find_or_add (core, machine, report);
      told = take_in_report (core, machine, report, commands);
    }
  /* No answer renews the lease of a worker without stopping what is cancelled there: the leader may
     not be able to say so later. */
  if (!told && machine)
    mh_worker_command_collect_cancelled (machine, commands);
  answer_report (core, request_id, STATUS_OK,
                 mh_wire_write_commands (mh_fencing_token (core, machine), NULL, commands));
}

/* One that has not read the records yet does not know what is cancelled: each of its answers would
   keep such tasks alive, and slow reads, or one short leadership after the other, for ever. */
static bool
may_answer (const MhCore *core)
{
  return mh_election_has_loaded (core->election)
         && (mh_election_is_leader (core->election) || may_keep_alive (core));
}

void
mh_heartbeat_receive (MhCore *core, guint64 request_id, const MhReport *report)
{
  const MhMachine *machine = mh_cluster_find_machine (core, report->machine);
  bool released = is_of_released_machine (core, machine, report);
  if (!released && report->token > mh_fencing_token (core, machine))
    {
      mh_election_step_down (core->election, MH_LOSS_HIGHER_TOKEN);
      answer_report (core, request_id, STATUS_MISDIRECTED, mh_wire_write_redirect (NULL));
    }
  else if (released || !may_answer (core))
    answer_report (core, request_id, STATUS_UNAVAILABLE, NULL);
  else
    answer_with_commands (core, request_id, report);
}
