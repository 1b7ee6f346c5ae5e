/* Silence: who is asked, who is given back, and what is taken for cut off instead. */
#include "cluster/failure-detection.h"
#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "cluster/direct-command.h"
#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"
#include "cluster/zone-silence.h"
#include "protocol/worker-messages.h"

#include <string.h>

/* Questions in a row without an answer: one may be a lost packet. */
#define MAX_FAILED_PROBES 2u
#define PROBE_TIMEOUT_US MH_SECOND_US
/* Machines are asked only as fast as the processor's share allows. */
#define PROBES_PER_CORE_S 400
/* A leader that hears no worker for so long lets another one lead, where so many reports should
   have come meanwhile. */
#define UNHEARD_LEADER_US (4 * MH_SECOND_US)
#define UNHEARD_REPORTS 8
/* A worker gives up on a controller that does not answer, and tries the next one. */
#define WORKER_TRIES_NEXT_US (5 * MH_SECOND_US)
/* That time is doubled so often at the most. */
#define MAX_DOUBLINGS 4u
/* A worker that has just learnt of this leader reports again by itself. */
#define SECOND_REPORT_US (MH_SECOND_US * 7 / 10)
/* What runs on a machine whose reports do not arrive goes on until its worker's lease is over, and
   so much longer. */
#define LEASE_SPARE_US MH_SECOND_US
/* Of the time to a worker's next report: delays, and its jitter. */
#define REPORT_SPARE_US (MH_SECOND_US * 2 / 5)
#define SUSPECT_SPARE_US (MH_SECOND_US / 3)
/* A new leader's workers need time to find it. */
#define FIND_LEADER_US (6 * MH_SECOND_US)
/* Where most machines are silent at once, so much longer than what rules out a partition. */
#define CUT_OFF_SPARE_US (5 * MH_SECOND_US)
#define MOSTLY_UNHEARD_SPARE_US (10 * MH_SECOND_US)
/* So many machines and more than half of all are most of them. */
#define LEAST_OF_MOST 3u

#define STATUS_OK 200

void
mh_failure_init (MhCluster *cluster)
{
  double rate = PROBES_PER_CORE_S * cluster->settings->core_share;
  mh_token_bucket_init (&cluster->probe_bucket, rate, rate, mh_runtime_now_us (cluster->runtime));
}

bool
mh_failure_is_report_overdue (const MhCluster *cluster, const MhMachine *machine)
{
  return mh_cluster_silence_us (cluster, machine->heartbeat.last_report_us)
         > cluster->settings->heartbeat_interval_us * 5 / 2;
}

bool
mh_failure_is_unreachable (const MhMachine *machine)
{
  return machine->probe.failures >= MAX_FAILED_PROBES;
}

static void
release (MhCluster *cluster, MhMachine *machine, MhReleaseReason reason)
{
  cluster->callbacks->release_machine (cluster->owner, machine, reason);
}

/* ---- probes ---- */

static void
probe (MhCluster *cluster, MhMachine *machine);

static void
probe_failed (MhCluster *cluster, MhMachine *machine)
{
  /* The answer may have come while this process stood still, and the time-out with it. */
  if (machine->probe.first_sent_us > mh_runtime_resumed_us (cluster->runtime)
      && ++machine->probe.failures < MAX_FAILED_PROBES)
    probe (cluster, machine);
}

/* The answer to a question is newer than all that was known when it was put. One that counts from
   the beginning comes from a worker that has lost its memory, of the tokens that it has seen too:
   nothing that is still on its way there is fenced any more. */
static bool
worker_has_begun_anew (const MhMachine *machine, const MhHeartbeat *report)
{
  const MhMachineProbe *asked = &machine->probe;
  return machine->heartbeat.reported && !mh_machine_is_releasing (machine)
         && (report->incarnation < asked->incarnation
             || (report->incarnation == asked->incarnation && report->sequence < asked->sequence));
}

static void
probe_answered (gpointer owner, gpointer data, const MhReply *reply)
{
  MhCluster *cluster = owner;
  const char *name = data;
  MhMachine *machine = mh_cluster_find_machine (cluster, name);
  g_autoptr (MhHeartbeat) report
      = reply->status == STATUS_OK ? mh_heartbeat_decode (reply->body, NULL) : NULL;
  if (machine == NULL)
    return;
  machine->probe.in_flight = false;
  if (report == NULL || strcmp (report->machine, machine->name) != 0)
    probe_failed (cluster, machine);
  else if (mh_heartbeat_take_answer (cluster, machine, report))
    {
      /* It may report to a former leader that is cut off, which learns from its next report that it
         is one; without this such workers once stayed there for half a minute. */
      if (report->fencing_token < mh_election_epoch (cluster->election)
          && mh_election_is_leader (cluster->election))
        mh_direct_command_send_token (cluster, machine);
    }
  else if (worker_has_begun_anew (machine, report))
    release (cluster, machine, MH_RELEASE_REASON_WORKER_RESTARTED);
}

static void
probe (MhCluster *cluster, MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  machine->probe.in_flight = true;
  machine->probe.incarnation = heartbeat->reported ? heartbeat->incarnation : 0;
  machine->probe.sequence = heartbeat->reported ? heartbeat->sequence : 0;
  const MhCallOptions options = { .class = MH_CALL_SAFETY,
                                  .timeout_us = PROBE_TIMEOUT_US,
                                  .func = probe_answered,
                                  .owner = cluster,
                                  .data = g_strdup (machine->name),
                                  .free_data = g_free };
  mh_call_queue_add (cluster->calls, mh_worker_request_status (machine->endpoint), &options);
}

static void
start_probing (MhCluster *cluster, MhMachine *machine)
{
  MhTokenBucket *bucket = &cluster->probe_bucket;
  if (machine->probe.in_flight || machine->probe.failures || machine->endpoint == NULL
      || !mh_token_bucket_has (bucket, 1, mh_runtime_now_us (cluster->runtime)))
    return;
  mh_token_bucket_take (bucket, 1);
  machine->probe.first_sent_us = mh_runtime_now_us (cluster->runtime);
  probe (cluster, machine);
}

/* ---- one machine ---- */

/* Whether others of its zone have been heard since it was first asked in vain; else it may be the
   first of many. */
static bool
others_are_heard (const MhCluster *cluster, const MhMachine *machine)
{
  const MhZone *zone = mh_zone_find (cluster, machine->zone);
  return zone == NULL || zone->machines < MH_LEAST_MACHINES_OF_ZONE
         || zone->last_message_us > machine->probe.first_sent_us;
}

/* Probes without an answer are believed only while this side is not the one that is cut off. */
static bool
is_believed_unreachable (const MhCluster *cluster, const MhMachine *machine)
{
  return mh_failure_is_unreachable (machine) && !cluster->silence.cut_off;
}

/* It answers, but its own reports reach nobody. What runs there goes on until its lease is over,
   and what it is told directly after that it would only lose again. */
static bool
reports_are_lost (const MhCluster *cluster, const MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  return mh_cluster_silence_us (cluster, heartbeat->last_message_us)
             < cluster->settings->silence_limit_us
         && mh_cluster_silence_us (cluster, heartbeat->last_report_us)
                > cluster->settings->worker_lease_us + LEASE_SPARE_US;
}

/* Nothing comes from its whole zone: what runs there goes on until the worker's lease is over, and
   nothing is gained by giving it back before. */
static void
check_in_partition (MhCluster *cluster, MhMachine *machine)
{
  if (mh_cluster_is_silent (cluster, machine, cluster->settings->worker_lease_us + LEASE_SPARE_US))
    release (cluster, machine, MH_RELEASE_REASON_SILENT_ZONE);
}

static bool
has_failed (const MhCluster *cluster, const MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  bool overdue
      = mh_cluster_silence_us (cluster, machine->heartbeat.last_report_us) > silence->report_us;
  return mh_cluster_is_silent (cluster, machine, silence->silent_us)
         || (is_believed_unreachable (cluster, machine) && others_are_heard (cluster, machine)
             && overdue);
}

static void
check_reported (MhCluster *cluster, MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  gint64 suspect_us = machine->usage.replicas ? silence->replica_us : silence->suspect_us;
  guint ignored_answers = machine->heartbeat.ignored_answers;
  if (reports_are_lost (cluster, machine))
    release (cluster, machine, MH_RELEASE_REASON_HEARTBEATS_MISSING);
  else if (is_believed_unreachable (cluster, machine) && ignored_answers >= MH_MAX_IGNORED_ANSWERS)
    release (cluster, machine, MH_RELEASE_REASON_UNREACHABLE);
  else if (has_failed (cluster, machine))
    release (cluster, machine,
             machine->probe.failures ? MH_RELEASE_REASON_SILENT_NO_ANSWER
                                     : MH_RELEASE_REASON_SILENT);
  else if (ignored_answers || mh_cluster_is_silent (cluster, machine, suspect_us))
    start_probing (cluster, machine);
}

/* Known from a record or the list, and not heard by this leader. A new leader does not wait for the
   workers to find it, where it knows their address. */
static void
check_unheard (MhCluster *cluster, MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  gint64 unheard_us = mh_cluster_silence_us (
      cluster, MAX (mh_election_elected_us (cluster->election), machine->discovered_us));
  if (mh_runtime_now_us (cluster->runtime) - machine->heartbeat.unverified_us > SECOND_REPORT_US)
    start_probing (cluster, machine);
  if (unheard_us > silence->unheard_us
      || (is_believed_unreachable (cluster, machine) && others_are_heard (cluster, machine)
          && unheard_us > silence->report_us))
    release (cluster, machine, MH_RELEASE_REASON_SILENT_SINCE_FAILOVER);
}

void
mh_failure_check (MhCluster *cluster, MhMachine *machine)
{
  bool reported = machine->heartbeat.reported;
  if (reported && mh_zone_is_partitioned (cluster, machine->zone))
    check_in_partition (cluster, machine);
  else if (reported)
    check_reported (cluster, machine);
  else if (machine->attempts->len || machine->listed_running)
    check_unheard (cluster, machine);
  else
    mh_boot_time_check (cluster, machine);
}

/* ---- all machines ---- */

typedef struct
{
  guint machines, silent, unheard, with_replicas;
} Census;

static void
count_machine (MhCluster *cluster, const MhMachine *machine, Census *census)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (mh_machine_is_releasing (machine) || !(heartbeat->reported || machine->attempts->len))
    return;
  census->machines++;
  census->with_replicas += machine->usage.replicas > 0;
  if (!heartbeat->reported)
    {
      census->unheard++;
      return;
    }
  MhZone *zone = mh_zone_find (cluster, machine->zone);
  if (zone)
    zone->machines++;
  census->silent += machine->probe.failures || heartbeat->ignored_answers
                    || mh_cluster_silence_us (cluster, heartbeat->last_report_us)
                           > cluster->settings->silence_limit_us;
}

static Census
take_census (MhCluster *cluster)
{
  Census census = { 0 };
  GHashTableIter it;
  gpointer machine;
  for (guint i = 0; i < cluster->zones->len; i++)
    g_array_index (cluster->zones, MhZone, i).machines = 0;
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    count_machine (cluster, machine, &census);
  return census;
}

static bool
are_most (guint count, const Census *census)
{
  return count >= LEAST_OF_MOST && count * 2 > census->machines;
}

/* Machines with replicas are asked sooner, but only as many in a report's interval as the rate of
   probes allows; both probes are over when the report is overdue. */
static gint64
replica_suspect_us (const MhCluster *cluster, const Census *census,
                    const MhSilenceThresholds *silence)
{
  double rate = PROBES_PER_CORE_S * cluster->settings->core_share;
  gint64 all_probed_us = (gint64)((double)census->with_replicas * MH_SECOND_US / rate);
  gint64 early_us = silence->report_us - MAX_FAILED_PROBES * PROBE_TIMEOUT_US;
  return MIN (silence->suspect_us, MAX (early_us, all_probed_us));
}

void
mh_failure_survey (MhCluster *cluster)
{
  const MhSettings *settings = cluster->settings;
  Census census = take_census (cluster);
  mh_zone_check_all (cluster);
  MhSilenceThresholds silence = { .silent_us = settings->silence_limit_us };
  silence.report_us = settings->heartbeat_interval_us * 5 / 4 + REPORT_SPARE_US;
  silence.suspect_us = silence.report_us + SUSPECT_SPARE_US;
  silence.replica_us = replica_suspect_us (cluster, &census, &silence);
  silence.unheard_us = settings->silence_limit_us + FIND_LEADER_US;
  /* When most are silent at once it is rather this side that is cut off; and a former leader that
     is cut off from the state service alone may hold all workers for a while. Without this, a new
     leader once gave back a whole fleet of working machines. */
  if (are_most (census.silent, &census))
    {
      silence.cut_off = true;
      silence.silent_us = settings->worker_lease_us + CUT_OFF_SPARE_US;
    }
  if (are_most (census.unheard, &census))
    silence.unheard_us
        = MAX (silence.unheard_us, mh_heartbeat_keep_alive_us (cluster) + MOSTLY_UNHEARD_SPARE_US);
  cluster->silence = silence;
}

/* ---- this leader ---- */

/* How long a leader may get no report before it hands over. One that has just been elected gives
   the workers of the others time to find it: each waits for an answer of one after the other. Each
   time that it was of no use, since no report has come since, the next one waits twice as long. */
static gint64
max_unheard_us (const MhCluster *cluster, guint machines, bool any_report)
{
  const MhSettings *settings = cluster->settings;
  gint64 limit_us;
  if (any_report)
    limit_us = CLAMP (settings->heartbeat_interval_us * UNHEARD_REPORTS / MAX (machines, 1),
                      UNHEARD_LEADER_US,
                      MAX (UNHEARD_LEADER_US, settings->heartbeat_interval_us * 3 / 2));
  else
    limit_us = (gint64)settings->members->len * WORKER_TRIES_NEXT_US + UNHEARD_LEADER_US;
  return limit_us << MIN (cluster->fruitless_transfers, MAX_DOUBLINGS);
}

void
mh_failure_check_leader_unheard (MhCluster *cluster)
{
  gint64 last_report_us = 0;
  guint machines = 0;
  for (guint i = 0; i < cluster->zones->len; i++)
    {
      const MhZone *zone = &g_array_index (cluster->zones, MhZone, i);
      last_report_us = MAX (last_report_us, zone->last_report_us);
      machines += zone->machines;
    }
  if (machines < MH_LEAST_MACHINES_OF_ZONE || cluster->settings->members->len == 0)
    return;
  gint64 unheard_us = mh_cluster_silence_us (
      cluster, MAX (last_report_us, mh_election_elected_us (cluster->election)));
  if (unheard_us <= max_unheard_us (cluster, machines, last_report_us > 0))
    return;
  cluster->fruitless_transfers++;
  mh_election_transfer_leadership (cluster->election, MH_LOSS_NO_HEARTBEATS);
}
