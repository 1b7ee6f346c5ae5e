/* Detects failed machines: probes silent ones, releases those that have failed, and recognizes when
   the leader itself is partitioned. */
#include "cluster/failure-detection.h"
#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "cluster/direct-command.h"
#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"
#include "cluster/zone-silence.h"
#include "protocol/worker-messages.h"

#include <string.h>

/* Consecutive unanswered probes after which a machine is unreachable. A single one may be due to a
   lost packet. */
#define MAX_FAILED_PROBES 2u
#define PROBE_TIMEOUT_US MH_SECOND_US
/* A probe that times out while input has been unread for this long may have been answered. */
#define MAX_INPUT_DELAY_US (PROBE_TIMEOUT_US / 2)
/* Rate limit of first probes, per second and processor core; the second probe, after one that has
   failed, needs no token. The rate is scaled by the controller's share of a core, so that probing
   does not exceed what that share can process. */
#define PROBE_RATE_PER_CORE 400
/* A leader that receives no heartbeat for this time transfers leadership. With few machines the
   time is longer: that in which LEADER_PARTITION_HEARTBEATS heartbeats should arrive, but at most
   one and a half heartbeat intervals. */
#define LEADER_PARTITION_TIMEOUT_US (4 * MH_SECOND_US)
#define LEADER_PARTITION_HEARTBEATS 8
/* Time after which a worker tries the next controller if one does not respond: it waits 4 s for the
   response, and 1 s before it tries the next one. A new leader that has received no heartbeat yet
   waits this long for each controller. */
#define WORKER_CONTROLLER_TIMEOUT_US (5 * MH_SECOND_US)
/* After ineffective transfers the time without heartbeats is doubled, at most this many times. */
#define MAX_TIMEOUT_DOUBLINGS 4u
/* A worker that learns of this leader from the response to a heartbeat sends a second heartbeat,
   which carries the leader's token. It is probed only if that takes longer than this. */
#define SECOND_HEARTBEAT_GRACE_US (MH_SECOND_US * 7 / 10)
/* A machine whose heartbeats do not arrive runs its tasks until its worker's lease expires. It is
   released this much later. */
#define WORKER_LEASE_MARGIN_US MH_SECOND_US
/* Margin on the time to a worker's next heartbeat, for network delays and the worker's jitter. */
#define HEARTBEAT_DELAY_MARGIN_US (MH_SECOND_US * 2 / 5)
/* Further margin before a machine whose heartbeat is overdue is probed. */
#define PROBE_MARGIN_US (MH_SECOND_US / 3)
/* Time that workers need to find a new leader. */
#define LEADER_DISCOVERY_GRACE_US (6 * MH_SECOND_US)
/* When most machines are silent at once, the leader may be partitioned: a machine is released only
   this long after its worker's lease has expired. */
#define PARTITIONED_LEADER_MARGIN_US (5 * MH_SECOND_US)
/* When most machines have not reported to a new leader, a former leader may still respond to
   their heartbeats: a machine is released only this long after the former leader must have stopped
   doing so. */
#define FORMER_LEADER_MARGIN_US (10 * MH_SECOND_US)
/* "Most machines" are at least this many. */
#define MIN_MAJORITY_MACHINES 3u

#define STATUS_OK 200

void
mh_failure_init (MhCluster *cluster)
{
  double rate = PROBE_RATE_PER_CORE * cluster->settings->core_share;
  mh_token_bucket_init (&cluster->probe_bucket, rate, rate, mh_runtime_now_us (cluster->runtime));
}

bool
mh_failure_has_missed_heartbeats (const MhCluster *cluster, const MhMachine *machine)
{
  return mh_cluster_silence_us (cluster, machine->heartbeat.last_heartbeat_us)
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
send_probe (MhCluster *cluster, MhMachine *machine);

/* A time-out does not count if it spans a pause of this process, or if this process has input that
   it has not read: the response may have arrived. */
static bool
is_time_out_conclusive (const MhCluster *cluster, const MhMachine *machine)
{
  const MhRuntime *runtime = cluster->runtime;
  return machine->probe.first_sent_us > mh_runtime_resumed_us (runtime)
         && mh_runtime_now_us (runtime) - mh_runtime_input_read_us (runtime) < MAX_INPUT_DELAY_US;
}

static void
handle_probe_failure (MhCluster *cluster, MhMachine *machine)
{
  if (!is_time_out_conclusive (cluster, machine))
    machine->probe.failures = 0; /* it is probed again */
  else if (++machine->probe.failures < MAX_FAILED_PROBES)
    send_probe (cluster, machine);
}

/* The response to a probe is newer than any message that was known when the probe was sent. If its
   incarnation or sequence number is lower, the worker has restarted and lost its memory, including
   the highest token that it had seen: commands in flight to it are no longer fenced. */
static bool
has_worker_restarted (const MhMachine *machine, const MhHeartbeat *response)
{
  const MhMachineProbe *last_probe = &machine->probe;
  return machine->heartbeat.reported && !mh_machine_is_releasing (machine)
         && (response->incarnation < last_probe->incarnation
             || (response->incarnation == last_probe->incarnation
                 && response->sequence < last_probe->sequence));
}

static void
on_probe_response (gpointer owner, gpointer data, const MhCallResponse *call_response)
{
  MhCluster *cluster = owner;
  const char *name = data;
  MhMachine *machine = mh_cluster_find_machine (cluster, name);
  g_autoptr (MhHeartbeat) response
      = call_response->status == STATUS_OK ? mh_heartbeat_decode (call_response->body, NULL) : NULL;
  if (machine == NULL)
    return;
  machine->probe.in_flight = false;
  if (response == NULL || strcmp (response->machine, machine->name) != 0)
    handle_probe_failure (cluster, machine);
  else if (mh_heartbeat_receive_response (cluster, machine, response))
    {
      /* The worker may still send heartbeats to a former leader that is partitioned. After this
         command its next heartbeat carries the new token, which makes the former leader step down.
         Without the command, workers stayed with a former leader for half a minute. */
      if (response->fencing_token < mh_election_epoch (cluster->election)
          && mh_election_is_leader (cluster->election))
        mh_direct_command_send_token (cluster, machine);
    }
  else if (has_worker_restarted (machine, response))
    release (cluster, machine, MH_RELEASE_REASON_WORKER_RESTARTED);
}

static void
send_probe (MhCluster *cluster, MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  machine->probe.in_flight = true;
  machine->probe.incarnation = heartbeat->reported ? heartbeat->incarnation : 0;
  machine->probe.sequence = heartbeat->reported ? heartbeat->sequence : 0;
  const MhCallOptions options = { .class = MH_CALL_SAFETY,
                                  .timeout_us = PROBE_TIMEOUT_US,
                                  .func = on_probe_response,
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
  send_probe (cluster, machine);
}

/* ---- one machine ---- */

/* Whether a message has come from the machine's zone since the first unanswered probe of the
   machine. If none has, the whole zone may be partitioned, and this machine is only the first that
   was probed. An unknown zone, or one with few machines, counts as responsive. */
static bool
is_zone_responsive (const MhCluster *cluster, const MhMachine *machine)
{
  const MhZone *zone = mh_zone_find (cluster, machine->zone);
  return zone == NULL || zone->machines < MH_MIN_PARTITION_MACHINES
         || zone->last_message_us > machine->probe.first_sent_us;
}

/* Unanswered probes prove nothing while the leader itself may be partitioned. */
static bool
is_credibly_unreachable (const MhCluster *cluster, const MhMachine *machine)
{
  return mh_failure_is_unreachable (machine) && !cluster->silence.leader_partitioned;
}

/* Whether the worker answers probes while its heartbeats do not reach this leader. Its tasks run
   until its lease expires; tasks that direct commands start there after that would be lost too. */
static bool
are_heartbeats_missing (const MhCluster *cluster, const MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  return mh_cluster_silence_us (cluster, heartbeat->last_message_us)
             < cluster->settings->silence_limit_us
         && mh_cluster_silence_us (cluster, heartbeat->last_heartbeat_us)
                > cluster->settings->worker_lease_us + WORKER_LEASE_MARGIN_US;
}

/* Checks a machine in a partitioned zone. Its tasks run until the worker's lease expires, and
   releasing the machine earlier gains nothing. */
static void
check_in_partitioned_zone (MhCluster *cluster, MhMachine *machine)
{
  if (mh_cluster_is_silent (cluster, machine,
                            cluster->settings->worker_lease_us + WORKER_LEASE_MARGIN_US))
    release (cluster, machine, MH_RELEASE_REASON_SILENT_ZONE);
}

static bool
has_failed (const MhCluster *cluster, const MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  bool overdue
      = mh_cluster_silence_us (cluster, machine->heartbeat.last_heartbeat_us) > silence->overdue_us;
  return mh_cluster_is_silent (cluster, machine, silence->release_us)
         || (is_credibly_unreachable (cluster, machine) && is_zone_responsive (cluster, machine)
             && overdue);
}

static void
check_reported (MhCluster *cluster, MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  gint64 probe_us = machine->usage.replicas ? silence->replica_probe_us : silence->probe_us;
  guint ignored_responses = machine->heartbeat.ignored_responses;
  if (are_heartbeats_missing (cluster, machine))
    release (cluster, machine, MH_RELEASE_REASON_HEARTBEATS_MISSING);
  else if (is_credibly_unreachable (cluster, machine)
           && ignored_responses >= MH_MAX_IGNORED_RESPONSES)
    release (cluster, machine, MH_RELEASE_REASON_UNREACHABLE);
  else if (has_failed (cluster, machine))
    release (cluster, machine,
             machine->probe.failures ? MH_RELEASE_REASON_SILENT_NO_ANSWER
                                     : MH_RELEASE_REASON_SILENT);
  else if (ignored_responses || mh_cluster_is_silent (cluster, machine, probe_us))
    start_probing (cluster, machine);
}

/* Checks a machine that is known from a record or the cloud's list and has not reported to this
   leader. A new leader probes the workers whose addresses it knows, instead of waiting until they
   find it. */
static void
check_unreported (MhCluster *cluster, MhMachine *machine)
{
  const MhSilenceThresholds *silence = &cluster->silence;
  gint64 unreported_us = mh_cluster_silence_us (
      cluster, MAX (mh_election_elected_us (cluster->election), machine->discovered_us));
  if (mh_runtime_now_us (cluster->runtime) - machine->heartbeat.last_unverified_us
      > SECOND_HEARTBEAT_GRACE_US)
    start_probing (cluster, machine);
  if (unreported_us > silence->unreported_release_us
      || (is_credibly_unreachable (cluster, machine) && is_zone_responsive (cluster, machine)
          && unreported_us > silence->overdue_us))
    release (cluster, machine, MH_RELEASE_REASON_SILENT_SINCE_FAILOVER);
}

void
mh_failure_check_machine (MhCluster *cluster, MhMachine *machine)
{
  bool reported = machine->heartbeat.reported;
  if (reported && mh_zone_is_partitioned (cluster, machine->zone))
    check_in_partitioned_zone (cluster, machine);
  else if (reported)
    check_reported (cluster, machine);
  else if (machine->attempts->len || machine->listed_running)
    check_unreported (cluster, machine);
  else
    mh_boot_time_check_machine (cluster, machine);
}

/* ---- all machines ---- */

/* heard: have reported to this leader and are not silent
   silent: have fallen silent, or have not answered a probe, whether or not they have reported
   machines: have reported, or have tasks by the records
   unreported, with_replicas: those of `machines` that have not reported, that have replicas */
typedef struct
{
  guint machines, heard, silent, unreported, with_replicas;
} MachineCounts;

static bool
is_silent (const MhCluster *cluster, const MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  if (machine->probe.failures || !heartbeat->reported)
    return machine->probe.failures > 0;
  return heartbeat->ignored_responses
         || mh_cluster_silence_us (cluster, heartbeat->last_heartbeat_us)
                > cluster->settings->silence_limit_us;
}

static void
count_machine (MhCluster *cluster, const MhMachine *machine, MachineCounts *counts)
{
  bool reported = machine->heartbeat.reported;
  if (mh_machine_is_releasing (machine))
    return;
  bool silent = is_silent (cluster, machine);
  counts->silent += silent;
  counts->heard += reported && !silent;
  /* Without tasks, a machine that has not reported may still be booting. */
  if (!reported && machine->attempts->len == 0)
    return;
  counts->machines++;
  counts->with_replicas += machine->usage.replicas > 0;
  counts->unreported += !reported;
  MhZone *zone = reported ? mh_zone_find (cluster, machine->zone) : NULL;
  if (zone)
    zone->machines++;
}

static MachineCounts
count_all_machines (MhCluster *cluster)
{
  MachineCounts counts = { 0 };
  GHashTableIter it;
  gpointer machine;
  for (guint i = 0; i < cluster->zones->len; i++)
    g_array_index (cluster->zones, MhZone, i).machines = 0;
  g_hash_table_iter_init (&it, cluster->machines);
  while (g_hash_table_iter_next (&it, NULL, &machine))
    count_machine (cluster, machine, &counts);
  return counts;
}

static bool
are_most_unreported (const MachineCounts *counts)
{
  return counts->unreported >= MIN_MAJORITY_MACHINES && counts->unreported * 2 > counts->machines;
}

/* Whether silence may be the leader's own: it hears fewer machines than are silent. Machines that
   could not be probed yet show nothing; a small share of a processor probes thousands of them in a
   minute only. */
static bool
may_be_partitioned (const MachineCounts *counts)
{
  return counts->silent >= MIN_MAJORITY_MACHINES && counts->silent > counts->heard;
}

/* How long a machine with service replicas is silent before it is probed. This is early enough for
   all probes to have timed out when the heartbeat is overdue, but not shorter than the time that
   it takes to probe all of these machines at the probe rate. */
static gint64
replica_probe_time_us (const MhCluster *cluster, const MachineCounts *counts,
                       const MhSilenceThresholds *silence)
{
  double rate = PROBE_RATE_PER_CORE * cluster->settings->core_share;
  gint64 all_probed_us = (gint64)((double)counts->with_replicas * MH_SECOND_US / rate);
  gint64 early_us = silence->overdue_us - MAX_FAILED_PROBES * PROBE_TIMEOUT_US;
  return MIN (silence->probe_us, MAX (early_us, all_probed_us));
}

void
mh_failure_update_thresholds (MhCluster *cluster)
{
  const MhSettings *settings = cluster->settings;
  MachineCounts counts = count_all_machines (cluster);
  mh_zone_update_partitions (cluster);
  MhSilenceThresholds silence = { .release_us = settings->silence_limit_us };
  silence.overdue_us = settings->heartbeat_interval_us * 5 / 4 + HEARTBEAT_DELAY_MARGIN_US;
  silence.probe_us = silence.overdue_us + PROBE_MARGIN_US;
  silence.replica_probe_us = replica_probe_time_us (cluster, &counts, &silence);
  silence.unreported_release_us = settings->silence_limit_us + LEADER_DISCOVERY_GRACE_US;
  /* When more machines are silent at once than are heard, also of those that have not reported
     since the election, it is more likely that this leader is partitioned than that all of them
     have failed. When most have not reported, a former leader that is cut off from the key-value
     store alone may still respond to all workers for a while. Without these longer limits, a new
     leader released a whole fleet of working machines. */
  if (may_be_partitioned (&counts))
    {
      silence.leader_partitioned = true;
      silence.release_us = settings->worker_lease_us + PARTITIONED_LEADER_MARGIN_US;
    }
  if (are_most_unreported (&counts))
    silence.unreported_release_us
        = MAX (silence.unreported_release_us,
               mh_heartbeat_keep_alive_us (cluster) + FORMER_LEADER_MARGIN_US);
  cluster->silence = silence;
}

/* ---- this leader ---- */

/* How long a leader may receive no heartbeat before it transfers leadership. If it has received
   none since its election, workers get time to find it: each tries one controller after the other
   and waits for a response. The time doubles with each transfer after which no heartbeat came, at
   most MAX_TIMEOUT_DOUBLINGS times. */
static gint64
leader_partition_timeout_us (const MhCluster *cluster, guint machines, bool any_heartbeat)
{
  const MhSettings *settings = cluster->settings;
  gint64 limit_us;
  if (any_heartbeat)
    limit_us
        = CLAMP (settings->heartbeat_interval_us * LEADER_PARTITION_HEARTBEATS / MAX (machines, 1),
                 LEADER_PARTITION_TIMEOUT_US,
                 MAX (LEADER_PARTITION_TIMEOUT_US, settings->heartbeat_interval_us * 3 / 2));
  else
    limit_us = (gint64)settings->members->len * WORKER_CONTROLLER_TIMEOUT_US
               + LEADER_PARTITION_TIMEOUT_US;
  return limit_us << MIN (cluster->ineffective_transfers, MAX_TIMEOUT_DOUBLINGS);
}

void
mh_failure_transfer_if_partitioned (MhCluster *cluster)
{
  gint64 last_heartbeat_us = 0;
  guint machines = 0;
  for (guint i = 0; i < cluster->zones->len; i++)
    {
      const MhZone *zone = &g_array_index (cluster->zones, MhZone, i);
      last_heartbeat_us = MAX (last_heartbeat_us, zone->last_heartbeat_us);
      machines += zone->machines;
    }
  if (machines < MH_MIN_PARTITION_MACHINES || cluster->settings->members->len == 0)
    return;
  gint64 silence_us = mh_cluster_silence_us (
      cluster, MAX (last_heartbeat_us, mh_election_elected_us (cluster->election)));
  if (silence_us <= leader_partition_timeout_us (cluster, machines, last_heartbeat_us > 0))
    return;
  cluster->ineffective_transfers++;
  mh_election_transfer_leadership (cluster->election, MH_LOSS_NO_HEARTBEATS);
}
