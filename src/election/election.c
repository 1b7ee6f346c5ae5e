/* Leadership: a key in the state service attached to a lease, and an epoch that rises with each
   leadership and fences workers against earlier leaders. */
#include "controller/core-private.h"

#include <string.h>

#define CALL_TIMEOUT_US (MH_SECOND_US)
/* Steady clocks drift apart by up to 0.05%; a little more is allowed for, and the time in which a
   decision made just before the end still leaves the process. */
#define DRIFT 0.001
#define MARGIN_US 100000
/* How often the leader tells the others that it leads: a node that cannot reach the state service
   has no other way to know. */
#define ANNOUNCE_US (MH_SECOND_US)
/* A leader that has handed over lets the others try first for so long. */
#define SHY_US (4 * MH_SECOND_US)
#define WATCH_US (5 * MH_SECOND_US)

bool
mh_leader_valid (const MhCore *core)
{
  return core->leader.phase >= MH_PHASE_LOAD && !core->leader.lost
         && core->now.mono_us < core->leader.valid_until_us;
}

static gint64
lease_end (const MhCore *core, gint64 sent_us)
{
  return sent_us + (gint64)((double)core->settings->lease_us * (1 - DRIFT)) - MARGIN_US;
}

static bool
self (const MhCore *core)
{
  return core->leader.node && strcmp (core->leader.node, core->settings->node) == 0;
}

/* ---- following ---- */

static void
watch (MhCore *core, guint64 since);
static void
look (MhCore *core);
static void
campaign (MhCore *core);

static void
retry (MhCore *core, gint64 after_us)
{
  core->leader.busy = false;
  core->leader.retry_us
      = core->now.mono_us + after_us + (gint64)(core->now.jitter * (double)after_us);
}

static void
learn (MhCore *core, const MhKvEntry *e)
{
  char *node = NULL;
  guint64 epoch = 0, lease_id;
  if (e->value == NULL || !mh_record_read_leader (e->value, &node, &epoch, &lease_id))
    {
      g_clear_pointer (&core->leader.node, g_free);
      return;
    }
  if (g_strcmp0 (node, core->leader.node) != 0)
    {
      mh_info (core, "leader: %s, epoch %" G_GUINT64_FORMAT, node, epoch);
      core->leader.unreached_us = 0;
    }
  g_free (core->leader.node);
  core->leader.node = node;
  core->leader.epoch = epoch;
  core->leader.key_version = e->version;
  core->leader.usable_us = core->now.mono_us;
}

static void
look_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  if (status == 404)
    {
      g_clear_pointer (&core->leader.node, g_free);
      core->leader.key_version = 0;
      campaign (core);
      return;
    }
  MhKvEntry *e = status == 200 ? mh_kv_entry_decode (body, NULL) : NULL;
  if (e == NULL)
    {
      retry (core, 200000);
      return;
    }
  learn (core, e);
  guint64 version = e->version;
  mh_kv_entry_free (e);
  /* An earlier life of this very process held the lease: nobody else may take it before its end,
     but this process may, since the earlier life is over. */
  if (self (core))
    campaign (core);
  else
    watch (core, version);
}

static void
look (MhCore *core)
{
  core->leader.busy = true;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_get ("leader"), 0, CALL_TIMEOUT_US, look_reply,
                NULL, NULL);
}

static void
watch_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  guint64 revision;
  (void)data;
  g_autoptr (GPtrArray) events = status == 200 ? mh_kv_events_decode (body, &revision, NULL) : NULL;
  if (events == NULL)
    {
      retry (core, 200000);
      return;
    }
  const MhKvEntry *last = NULL;
  for (guint i = 0; i < events->len; i++)
    {
      const MhKvEntry *e = g_ptr_array_index (events, i);
      if (strcmp (e->key, "leader") == 0)
        last = e;
    }
  if (last == NULL)
    {
      core->leader.usable_us = core->now.mono_us;
      watch (core, revision);
    }
  else if (last->value == NULL)
    {
      mh_info (core, "leader %s: its lease has ended",
               core->leader.node ? core->leader.node : "unknown");
      g_clear_pointer (&core->leader.node, g_free);
      core->leader.key_version = 0;
      campaign (core);
    }
  else
    {
      learn (core, last);
      if (self (core))
        campaign (core);
      else
        watch (core, last->version);
    }
}

static void
watch (MhCore *core, guint64 since)
{
  core->leader.phase = MH_PHASE_FOLLOW;
  core->leader.busy = true;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_watch ("leader", since, WATCH_US), 0,
                WATCH_US + CALL_TIMEOUT_US, watch_reply, NULL, NULL);
}

/* ---- campaign: a lease, then key and epoch in one transaction ---- */

static void
ignore_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)core;
  (void)data;
  (void)status;
  (void)body;
}

/* The lease is ended, so that a late copy of the transaction cannot take the key with it. */
static void
give_up_campaign (MhCore *core, gint64 again_us)
{
  core->leader.phase = MH_PHASE_FOLLOW;
  if (core->leader.lease_id)
    mh_core_call (core, MH_CALL_BACKGROUND, mh_kv_request_revoke_lease (core->leader.lease_id), 0,
                  CALL_TIMEOUT_US, ignore_reply, NULL, NULL);
  core->leader.lease_id = 0;
  retry (core, again_us);
}

static void
won (MhCore *core, guint64 version)
{
  core->leader.own_version = core->leader.key_version = version;
  g_free (core->leader.node);
  core->leader.node = g_strdup (core->settings->node);
  core->leader.epoch = core->leader.own_epoch;
  core->leader.since_us = core->now.mono_us;
  core->leader.busy = false;
  core->leader.phase = MH_PHASE_LOAD;
  core->leader.renew_us = core->now.mono_us;
  core->scale.rentals = 0;
  mh_info (core, "leading with epoch %" G_GUINT64_FORMAT "; loading records",
           core->leader.own_epoch);
  mh_load_records (core);
}

static void
check_won_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  MhKvEntry *e = status == 200 ? mh_kv_entry_decode (body, NULL) : NULL;
  g_autofree char *node = NULL;
  guint64 epoch, lease_id;
  /* An earlier life of this node, ended in the middle of its election, may have put its name there
     with the very same epoch, late, and attached to a lease that nobody renews any more. */
  bool mine = e && mh_record_read_leader (e->value, &node, &epoch, &lease_id)
              && strcmp (node, core->settings->node) == 0 && epoch == core->leader.own_epoch
              && lease_id == core->leader.lease_id;
  guint64 version = e ? e->version : 0;
  mh_kv_entry_free (e);
  if (mine && core->now.mono_us < core->leader.valid_until_us)
    won (core, version);
  else
    give_up_campaign (core, 100000);
}

static void
take_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  guint64 version;
  (void)data;
  if (status == 200 && mh_kv_revision_decode (body, &version, NULL))
    {
      if (core->now.mono_us < core->leader.valid_until_us)
        won (core, version);
      else
        give_up_campaign (core, 100000);
    }
  else if (status == 0 || status == 200)
    /* Unknown: it may have been carried out. */
    mh_core_call (core, MH_CALL_LEASE, mh_kv_request_get ("leader"), 0, CALL_TIMEOUT_US,
                  check_won_reply, NULL, NULL);
  else
    give_up_campaign (core, status == 409 ? 20000 : 200000);
}

static void
take (MhCore *core, guint64 epoch_version)
{
  MhKvCondition conditions[]
      = { { "leader", core->leader.key_version }, { "epoch", epoch_version } };
  g_autoptr (MhValue) leader = mh_record_write_leader (core->settings->node, core->leader.own_epoch,
                                                       core->leader.lease_id);
  g_autoptr (MhValue) last = mh_record_write_epoch (core->leader.own_epoch + MH_EPOCHS_EACH - 1);
  MhKvChange changes[] = { { "leader", leader, core->leader.lease_id }, { "epoch", last, 0 } };
  mh_core_call (core, MH_CALL_LEASE,
                mh_kv_request_transaction (conditions, G_N_ELEMENTS (conditions), changes,
                                           G_N_ELEMENTS (changes)),
                2, CALL_TIMEOUT_US, take_reply, NULL, NULL);
}

static void
epoch_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  guint64 epoch = 0, version = 0; /* the last one of all earlier leaders */
  (void)data;
  if (status == 200)
    {
      MhKvEntry *e = mh_kv_entry_decode (body, NULL);
      bool ok = e && mh_record_read_epoch (e->value, &epoch);
      version = e ? e->version : 0;
      mh_kv_entry_free (e);
      if (!ok)
        status = 0;
    }
  if (status != 200 && status != 404)
    {
      give_up_campaign (core, 200000);
      return;
    }
  core->leader.own_epoch = epoch + 1;
  take (core, version);
}

typedef struct
{
  gint64 sent_us;
} Sent;

static gpointer
sent_now (const MhCore *core)
{
  Sent *s = g_new0 (Sent, 1);
  s->sent_us = core->now.mono_us;
  return s;
}

static void
lease_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  if (status != 200 || !mh_kv_lease_decode (body, &core->leader.lease_id, NULL))
    {
      give_up_campaign (core, 200000);
      return;
    }
  core->leader.valid_until_us = lease_end (core, ((Sent *)data)->sent_us);
  core->leader.confirmed_us = ((Sent *)data)->sent_us;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_get ("epoch"), 0, CALL_TIMEOUT_US, epoch_reply,
                NULL, NULL);
}

static void
campaign (MhCore *core)
{
  if (core->now.mono_us < core->leader.shy_until_us)
    {
      /* Once more after a while, if nobody else has taken it. */
      core->leader.phase = MH_PHASE_FOLLOW;
      retry (core, MH_SECOND_US);
      core->leader.shy_until_us -= SHY_US / 2;
      return;
    }
  core->leader.phase = MH_PHASE_CAMPAIGN;
  core->leader.busy = true;
  core->leader.lease_id = 0;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_grant_lease (core->settings->lease_us), 0,
                CALL_TIMEOUT_US, lease_reply, sent_now (core), g_free);
}

/* ---- leading ---- */

static void
renew_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  gint64 sent = ((Sent *)data)->sent_us;
  (void)body;
  core->leader.renewing = false;
  core->leader.renew_us = core->now.mono_us + core->settings->lease_us / 10;
  if (status == 200)
    {
      bool paused = core->now.mono_us >= core->leader.valid_until_us;
      if (paused)
        mh_info (core, "lease renewed after a pause: nobody else can have led meanwhile");
      /* Their reports were refused for a while: that nothing was heard meanwhile says nothing of
         the workers. After an outage of a minute a whole fleet was once given back as silent. */
      if (paused
          && core->now.mono_us >= core->leader.confirmed_us + mh_heartbeat_keep_alive_us (core))
        mh_runtime_mark_resumed (core->runtime);
      core->leader.valid_until_us = lease_end (core, sent);
      core->leader.confirmed_us = sent;
      core->leader.usable_us = core->now.mono_us;
      core->leader.renew_us = sent + core->settings->lease_us / 4;
    }
  else if (status == 404)
    mh_leader_lost (core, "the lease has ended");
  else
    mh_call_queue_log_store_failure (core->calls, status);
}

void
mh_leader_lost (MhCore *core, const char *why)
{
  /* Carried out at the start of the next step: the caller may still hold what would be freed. */
  if (core->leader.lost == NULL)
    core->leader.lost = why;
}

void
mh_leader_hand_over (MhCore *core, const char *why)
{
  if (core->leader.lost == NULL)
    core->leader.hands_over = true;
  mh_leader_lost (core, why);
}

static void
refuse_waiters (MhCore *core)
{
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    {
      GArray *waiters = ((MhJob *)job)->waiters;
      for (guint i = 0; i < waiters->len; i++)
        mh_core_answer (core, g_array_index (waiters, MhWaiter, i).id, 503, 1);
      g_array_set_size (waiters, 0);
    }
}

static void
step_down (MhCore *core)
{
  mh_info (core, "no longer leading: %s", core->leader.lost);
  core->leader.lost = NULL;
  refuse_waiters (core);
  mh_call_queue_forget_all (core->calls);
  mh_store_clear (core);
  mh_cluster_clear (core);
  mh_gang_clear (core);
  mh_scale_clear (core);
  mh_release_clear (core);
  g_hash_table_remove_all (core->jobs);
  g_hash_table_remove_all (core->unreadable);
  core->leader.phase = MH_PHASE_FOLLOW;
  core->leader.renewing = false;
  core->leader.valid_until_us = 0;
  core->leader.own_epoch = 0;
  if (core->leader.hands_over)
    {
      /* The lease is ended, so that the others need not wait for its end. */
      mh_core_call (core, MH_CALL_LEASE, mh_kv_request_revoke_lease (core->leader.lease_id), 0,
                    CALL_TIMEOUT_US, ignore_reply, NULL, NULL);
      core->leader.shy_until_us = core->now.mono_us + SHY_US;
    }
  core->leader.hands_over = false;
  core->leader.lease_id = 0;
  if (self (core))
    g_clear_pointer (&core->leader.node, g_free);
  retry (core, 50000);
}

void
mh_leader_loaded (MhCore *core)
{
  core->leader.phase = MH_PHASE_LEAD;
  core->leader.rebuilt = false;
  core->place_wanted = true;
  /* Workers of a dead leader wait out a response (4 s) and then try its neighbours. */
  core->leader.rebuild_until_us
      = core->now.mono_us + 2 * core->settings->report_us + 2 * MH_SECOND_US;
  core->leader.usable_us = core->now.mono_us;
  mh_cluster_records_loaded (core);
  mh_info (core, "%u unfinished jobs loaded; waiting for the workers' reports",
           g_hash_table_size (core->jobs));
  mh_scale_start (core);
}

/* Counts are rebuilt when every machine that a record or the list knows as running has reported. */
static bool
rebuilt (const MhCore *core)
{
  GHashTableIter it;
  gpointer value;
  if (core->now.mono_us >= core->leader.rebuild_until_us)
    return true;
  if (mh_cluster_types (core) == NULL || !core->scale.listed)
    return false;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *m = value;
      /* One that gives no answer either will not report. */
      if (!mh_machine_is_releasing (m) && !m->heartbeat.reported && !mh_failure_is_unreachable (m)
          && (m->listed_running || m->attempts->len))
        return false;
    }
  return true;
}

/* A node that is cut off from the state service learns here who leads: it passes users and workers
   on, and a former leader stops keeping the workers to itself. */
void
mh_leader_announced (MhCore *core, const char *node, guint64 epoch)
{
  /* The end of a leadership is told by the state service; a late announcement of it must not undo
   * that. */
  if (epoch < core->leader.epoch || (epoch == core->leader.epoch && core->leader.node == NULL)
      || strcmp (node, core->settings->node) == 0)
    return;
  if (core->leader.phase >= MH_PHASE_LOAD)
    {
      if (epoch <= core->leader.own_epoch)
        return;
      mh_leader_lost (core, "another controller says that it leads");
    }
  if (g_strcmp0 (core->leader.node, node) != 0)
    {
      g_free (core->leader.node);
      core->leader.node = g_strdup (node);
      core->leader.unreached_us = 0;
      mh_info (core, "leader: %s, epoch %" G_GUINT64_FORMAT ", by its own word", node, epoch);
    }
  core->leader.epoch = epoch;
  core->leader.usable_us = core->now.mono_us;
}

void
mh_leader_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  if (core->leader.lost)
    step_down (core);
  if (core->leader.phase < MH_PHASE_LOAD)
    {
      if (!core->leader.busy && now >= core->leader.retry_us)
        look (core);
      if (!core->leader.busy)
        mh_core_wake_at (core, core->leader.retry_us);
      return;
    }
  if (!core->leader.renewing && now >= core->leader.renew_us)
    {
      core->leader.renewing = true;
      mh_core_call (core, MH_CALL_LEASE, mh_kv_request_renew_lease (core->leader.lease_id), 0,
                    MIN (CALL_TIMEOUT_US, core->settings->lease_us / 3), renew_reply,
                    sent_now (core), g_free);
    }
  if (!core->leader.renewing)
    mh_core_wake_at (core, core->leader.renew_us);
  if (!mh_leader_valid (core))
    {
      /* What cannot be written now is answered now; the user comes again. */
      refuse_waiters (core);
      return;
    }
  if (now >= core->leader.announced_us + ANNOUNCE_US)
    {
      core->leader.announced_us = now;
      for (guint i = 0; i < core->settings->members->len; i++)
        {
          MhAction *a = mh_core_act (core, MH_ACTION_ANNOUNCE_LEADER, core->leader.own_epoch);
          a->node = g_strdup (((MhMember *)g_ptr_array_index (core->settings->members, i))->name);
        }
    }
  if (core->leader.phase == MH_PHASE_LEAD && !core->leader.rebuilt && rebuilt (core))
    {
      core->leader.rebuilt = true;
      core->place_wanted = true;
      mh_info (core, "counts rebuilt %.1f s after the election",
               (double)(now - core->leader.since_us) / MH_SECOND_US);
    }
}

void
mh_leader_start (MhCore *core)
{
  core->leader.phase = MH_PHASE_FOLLOW;
}
