/* Silence: who is asked, who is given back, and what is taken for cut off instead. Silence is no
   proof of anything; only the release of a machine proves soon that its tasks are gone. */
#include "controller/core-private.h"

#include <string.h>

/* Questions in a row without an answer: one may be a lost packet. */
#define MAX_FAILED_PROBES 2u
#define PROBE_TIMEOUT_US (MH_SECOND_US)
/* Machines are asked only as fast as the processor's share allows. */
#define PROBES_PER_CORE_S 400
/* A zone of so many machines from which nothing has come for so long, for most of a report's
   interval (all may report at once), or while so many reports should have come, is partitioned, and
   stays so for a while when its machines have been given back. */
#define LEAST_OF_ZONE 3u
#define PARTITION_US (2 * MH_SECOND_US)
#define REPORTS_MISSED 4
#define STAYS_PARTITIONED_US (30 * MH_SECOND_US)
/* A leader that hears no worker for so long lets another one lead, where many should have reported
   meanwhile. */
#define UNHEARD_LEADER_US (4 * MH_SECOND_US)
/* A worker gives up on a controller that does not answer, and tries the next one. */
#define WORKER_TRIES_NEXT_US (5 * MH_SECOND_US)
/* Patience is doubled so often at the most. */
#define LONGEST_HAND_OVERS 4u
/* A worker that has just learnt of this leader reports again by itself. */
#define SECOND_REPORT_US (MH_SECOND_US * 7 / 10)

void
mh_failure_init (MhCore *core)
{
  double rate = PROBES_PER_CORE_S * core->settings->core_share;
  mh_bucket_init (&core->probe_bucket, rate, rate, core->now.mono_us);
}

void
mh_failure_clear (MhCore *core)
{
  for (guint i = 0; i < core->zones->len; i++)
    g_ref_string_release (g_array_index (core->zones, MhZone, i).name);
  g_array_set_size (core->zones, 0);
}

/* ---- zones ---- */

static MhZone *
find_zone (const MhCore *core, const GRefString *name)
{
  for (guint i = 0; i < core->zones->len; i++)
    {
      MhZone *z = &g_array_index (core->zones, MhZone, i);
      if (z->name == name)
        return z;
    }
  return NULL;
}

bool
mh_failure_zone_partitioned (const MhCore *core, const GRefString *name)
{
  const MhZone *z = find_zone (core, name);
  return z && core->now.mono_us < z->partitioned_until_us;
}

void
mh_failure_heard (MhCore *core, GRefString *name, bool is_report)
{
  MhZone *z = find_zone (core, name);
  if (z == NULL)
    {
      MhZone fresh = { .name = g_ref_string_acquire (name) };
      g_array_append_val (core->zones, fresh);
      z = &g_array_index (core->zones, MhZone, core->zones->len - 1);
    }
  if (core->now.mono_us < z->partitioned_until_us)
    mh_info (core, "zone %s: heard from again", z->name);
  z->heard_us = core->now.mono_us;
  if (is_report)
    {
      z->last_report_us = core->now.mono_us;
      core->leader.vain_hand_overs = 0;
    }
  z->partitioned_until_us = 0;
}

/* Reports come from a zone as often as it has machines. When several should have come and none has,
   the zone is cut off: its machines go on, and each is not to be taken for failed. */
static void
look_at_zones (MhCore *core)
{
  gint64 now = core->now.mono_us;
  for (guint i = 0; i < core->zones->len; i++)
    {
      MhZone *z = &g_array_index (core->zones, MhZone, i);
      gint64 report = core->settings->report_us;
      gint64 patience = MAX (report * 4 / 5, REPORTS_MISSED * report / MAX (z->machines, 1));
      if (z->machines < LEAST_OF_ZONE
          || mh_fleet_silence_us (core, z->heard_us) < MAX (PARTITION_US, patience))
        continue;
      if (now >= z->partitioned_until_us)
        mh_info (core, "zone %s: %u machines, and nothing comes from any of them", z->name,
                 z->machines);
      z->partitioned_until_us = now + STAYS_PARTITIONED_US;
    }
}

bool
mh_failure_reports_overdue (const MhCore *core, const MhMachine *m)
{
  return mh_fleet_silence_us (core, m->last_report_us) > core->settings->report_us * 5 / 2;
}

bool
mh_failure_unreachable (const MhMachine *m)
{
  return m->failed_probes >= MAX_FAILED_PROBES;
}

/* ---- machines ---- */

static void
probe (MhCore *core, MhMachine *m);

static void
probe_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  MhMachine *m = mh_fleet_machine (core, data);
  g_autoptr (MhHeartbeat) r = status == 200 ? mh_heartbeat_decode (body, NULL) : NULL;
  if (m == NULL)
    return;
  m->probing = false;
  if (r == NULL || strcmp (r->machine, m->name) != 0)
    {
      /* The answer may have come while this process stood still, and the time-out with it. */
      if (m->probed_us > mh_runtime_resumed_us (core->runtime)
          && ++m->failed_probes < MAX_FAILED_PROBES)
        probe (core, m);
    }
  else if (mh_fleet_answered (core, m, r))
    {
      /* It may report to a former leader that is cut off, which learns from its next report that it
         is one; without this such workers once stayed there for half a minute. */
      if (r->fencing_token < core->leader.own_epoch && mh_leader_valid (core))
        mh_command_send (core, m, true);
    }
  /* The answer to a question is newer than all that was known when it was put. One that counts from
     the beginning comes from a worker that has lost its memory, of the epochs that it has seen too:
     nothing that is still on its way there is fenced any more. */
  else if (m->reported && !m->releasing
           && (r->incarnation < m->probed_incarnation
               || (r->incarnation == m->probed_incarnation && r->sequence < m->probed_sequence)))
    mh_release_machine (core, m, "its worker has begun anew");
}

static void
probe (MhCore *core, MhMachine *m)
{
  m->probing = true;
  m->probed_incarnation = m->reported ? m->incarnation : 0;
  m->probed_sequence = m->reported ? m->sequence : 0;
  mh_core_call (core, MH_CALL_SAFETY, mh_worker_request_status (m->endpoint), 0, PROBE_TIMEOUT_US,
                probe_reply, g_strdup (m->name), g_free);
}

static void
ask (MhCore *core, MhMachine *m)
{
  if (m->probing || m->failed_probes || m->endpoint == NULL
      || !mh_bucket_has (&core->probe_bucket, 1, core->now.mono_us))
    return;
  mh_bucket_take (&core->probe_bucket, 1);
  m->probed_us = core->now.mono_us;
  probe (core, m);
}

/* Whether others of its zone have been heard since it was first asked in vain; else it may be the
   first of many. */
static bool
others_heard (const MhCore *core, const MhMachine *m)
{
  const MhZone *z = find_zone (core, m->zone);
  return z == NULL || z->machines < LEAST_OF_ZONE || z->heard_us > m->probed_us;
}

/* Nothing comes from its whole zone: what runs there goes on until the worker's lease is over, and
   nothing is gained by giving it back before. */
static void
check_in_partition (MhCore *core, MhMachine *m)
{
  if (mh_fleet_silence_us (core, m->heard_us) > core->settings->worker_lease_us + MH_SECOND_US)
    mh_release_machine (core, m, "silent with all of its zone");
}

/* It answers, but its own reports reach nobody. What runs there goes on until its lease is over,
   and what it is told directly after that it would only lose again. */
static bool
reports_are_lost (const MhCore *core, const MhMachine *m)
{
  return mh_fleet_silence_us (core, m->heard_us) < core->settings->silence_us
         && mh_fleet_silence_us (core, m->last_report_us)
                > core->settings->worker_lease_us + MH_SECOND_US;
}

/* Probes in vain are believed only while this side is not the one that is cut off. */
static bool
probed_in_vain (const MhCore *core, const MhMachine *m)
{
  return mh_failure_unreachable (m) && !core->patience.cut_off;
}

static void
check_reported (MhCore *core, MhMachine *m)
{
  const MhPatience *patience = &core->patience;
  gint64 silent = mh_fleet_silence_us (core, m->heard_us);
  bool overdue = mh_fleet_silence_us (core, m->last_report_us) > patience->report_us;
  if (reports_are_lost (core, m))
    mh_release_machine (core, m, "its reports do not come");
  else if (probed_in_vain (core, m) && m->ignored_answers >= MH_MAX_IGNORED_ANSWERS)
    mh_release_machine (core, m, "nothing reaches it");
  else if (silent > patience->known_us
           || (probed_in_vain (core, m) && others_heard (core, m) && overdue))
    mh_release_machine (core, m, m->failed_probes ? "silent, and gives no answer" : "silent");
  else if (m->ignored_answers
           || silent > (m->replicas ? patience->replica_us : patience->suspect_us))
    ask (core, m);
}

/* Known from a record or the list, and not heard by this leader. A new leader does not wait for the
   workers to find it, where it knows their address. */
static void
check_unseen (MhCore *core, MhMachine *m)
{
  const MhPatience *patience = &core->patience;
  gint64 unseen = mh_fleet_silence_us (core, MAX (core->leader.since_us, m->known_us));
  if (core->now.mono_us - m->unverified_us > SECOND_REPORT_US)
    ask (core, m);
  if (unseen > patience->unseen_us
      || (probed_in_vain (core, m) && others_heard (core, m) && unseen > patience->report_us))
    mh_release_machine (core, m, "silent since the change of leader");
}

void
mh_failure_check (MhCore *core, MhMachine *m)
{
  if (m->reported && mh_failure_zone_partitioned (core, m->zone))
    check_in_partition (core, m);
  else if (m->reported)
    check_reported (core, m);
  else if (m->attempts->len || m->running)
    check_unseen (core, m);
  else
    mh_boot_check (core, m);
}

void
mh_failure_survey (MhCore *core)
{
  guint silent = 0, unseen = 0, all = 0, hosts = 0;
  gint64 usual = core->settings->silence_us;
  /* A new leader's workers need time to find it. */
  gint64 report = core->settings->report_us * 5 / 4 + MH_SECOND_US * 2 / 5;
  MhPatience p = { .report_us = report,
                   .suspect_us = report + MH_SECOND_US / 3,
                   .known_us = usual,
                   .unseen_us = usual + 6 * MH_SECOND_US };
  GHashTableIter it;
  gpointer value;
  for (guint i = 0; i < core->zones->len; i++)
    g_array_index (core->zones, MhZone, i).machines = 0;
  g_hash_table_iter_init (&it, core->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (m->releasing || !(m->reported || m->attempts->len))
        continue;
      MhZone *z = m->reported ? find_zone (core, m->zone) : NULL;
      if (z)
        z->machines++;
      all++;
      hosts += m->replicas > 0;
      if (m->reported)
        silent += m->failed_probes || m->ignored_answers
                  || mh_fleet_silence_us (core, m->last_report_us) > usual;
      else
        unseen++;
    }
  look_at_zones (core);
  /* When most are silent at once it is rather this side that is cut off; and a former leader that
     is cut off from the state service alone may hold all workers for a while. Without this, a new
     leader once gave back a whole fleet of working machines. */
  if (silent >= 3 && silent * 2 > all)
    {
      p.cut_off = true;
      p.known_us = core->settings->worker_lease_us + 5 * MH_SECOND_US;
    }
  if (unseen >= 3 && unseen * 2 > all)
    p.unseen_us = MAX (p.unseen_us, mh_fleet_keep_alive_us (core) + 10 * MH_SECOND_US);
  gint64 every
      = (gint64)((double)hosts * MH_SECOND_US / (PROBES_PER_CORE_S * core->settings->core_share));
  /* Both probes are over when the report is overdue. */
  p.replica_us = MIN (p.suspect_us, MAX (report - MAX_FAILED_PROBES * PROBE_TIMEOUT_US, every));
  core->patience = p;
}

/* How long a leader may get no report before it hands over. One that has just been elected gives
   the workers of the others time to find it: each waits for an answer of one after the other. Each
   time that it was of no use, since no report has come since, the next one waits twice as long. */
static gint64
unheard_patience_us (const MhCore *core, guint machines, bool any_report)
{
  gint64 report = core->settings->report_us;
  gint64 patience;
  if (any_report)
    patience = CLAMP (report * 2 * REPORTS_MISSED / MAX (machines, 1), UNHEARD_LEADER_US,
                      MAX (UNHEARD_LEADER_US, report * 3 / 2));
  else
    patience = (gint64)core->settings->members->len * WORKER_TRIES_NEXT_US + UNHEARD_LEADER_US;
  return patience << MIN (core->leader.vain_hand_overs, LONGEST_HAND_OVERS);
}

/* A leader that gets the reports of none of several workers, though the state service serves it, is
   cut off from them. Another controller may not be; and their leases run out, also of those that
   answer its questions. */
void
mh_failure_hand_over (MhCore *core)
{
  gint64 heard_us = 0;
  guint machines = 0;
  for (guint i = 0; i < core->zones->len; i++)
    {
      const MhZone *z = &g_array_index (core->zones, MhZone, i);
      heard_us = MAX (heard_us, z->last_report_us);
      machines += z->machines;
    }
  if (machines < LEAST_OF_ZONE || core->settings->members->len == 0)
    return;
  gint64 unheard = mh_fleet_silence_us (core, MAX (heard_us, core->leader.since_us));
  if (unheard <= unheard_patience_us (core, machines, heard_us > 0))
    return;
  core->leader.vain_hand_overs++;
  mh_leader_hand_over (core, "no worker is heard any more");
}
