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
/* A node that has had no usable leader for so long is rather cut off by itself. */
#define READY_US (30 * MH_SECOND_US)
/* One that cannot reach a leader which the state service says is there sends its users elsewhere
   after the first, and tries again after the second. */
#define UNREACHED_US (MH_SECOND_US * 3 / 2)
#define TRY_AGAIN_US (4 * MH_SECOND_US)
#define WATCH_US (5 * MH_SECOND_US)

struct MhElection
{
  MhCore *core;
  MhLeadership state;
  char *node;    /* who leads, as far as known */
  guint64 epoch; /* that node's */
  guint64 key_version;
  guint64 own_epoch; /* while leading: the first of MH_EPOCHS_PER_LEADERSHIP */
  guint64 own_version;
  guint64 lease_id;
  gint64 valid_until_us; /* of the lease, by the steady clock */
  gint64 confirmed_us;   /* a renewal that was answered was sent then */
  gint64 renew_us;
  bool renewing, busy;
  gint64 retry_us;
  gint64 since_us;               /* leading since */
  gint64 usable_us;              /* when a usable leader was last known */
  gint64 unreached_us, tried_us; /* users' requests have not reached it since; the last one */
  MhLossReason lost;             /* why it steps down */
  bool clearing;                 /* answers to those who wait carry the lease's end, as all do */
  bool hands_over;               /* another one shall lead */
  gint64 shy_until_us;
  gint64 announced_us;
};

static const char *const loss_texts[]
    = { [MH_LOSS_NONE] = "none",
        [MH_LOSS_LEASE_EXPIRED] = "the lease has ended",
        [MH_LOSS_ANOTHER_LEADER] = "another controller leads",
        [MH_LOSS_ANOTHER_ANNOUNCED] = "another controller says that it leads",
        [MH_LOSS_RECORD_REFUSED] = "the state service calls a record malformed",
        [MH_LOSS_RECORD_DIFFERS] = "a record is not what it was written as",
        [MH_LOSS_RECORD_CHANGED] = "a record was changed by somebody else",
        [MH_LOSS_WRITE_OUTCOME_UNKNOWN] = "an unanswered write cannot be accounted for",
        [MH_LOSS_UNKNOWN_ATTEMPT] = "a worker runs an attempt that is not on record here",
        [MH_LOSS_HIGHER_TOKEN] = "a worker has seen a higher token",
        [MH_LOSS_TOKENS_EXHAUSTED] = "the epochs of this leadership are used up",
        [MH_LOSS_NO_HEARTBEATS] = "no worker is heard any more" };

bool
mh_election_is_leader (const MhElection *election)
{
  return (election->state == MH_LEADERSHIP_LOADING || election->state == MH_LEADERSHIP_LEADING
          || election->clearing)
         && election->core->now.mono_us < election->valid_until_us;
}

static gint64
lease_end (const MhCore *core, gint64 sent_us)
{
  return sent_us + (gint64)((double)core->settings->lease_us * (1 - DRIFT)) - MARGIN_US;
}

static bool
self (const MhCore *core)
{
  return core->election->node && strcmp (core->election->node, core->settings->node) == 0;
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
  core->election->busy = false;
  core->election->retry_us
      = core->now.mono_us + after_us + (gint64)(core->now.jitter * (double)after_us);
}

static void
learn (MhCore *core, const MhKvEntry *e)
{
  char *node = NULL;
  guint64 epoch = 0, lease_id;
  if (e->value == NULL || !mh_record_read_leader (e->value, &node, &epoch, &lease_id))
    {
      g_clear_pointer (&core->election->node, g_free);
      return;
    }
  if (g_strcmp0 (node, core->election->node) != 0)
    {
      mh_info (core, "leader: %s, epoch %" G_GUINT64_FORMAT, node, epoch);
      core->election->unreached_us = 0;
    }
  g_free (core->election->node);
  core->election->node = node;
  core->election->epoch = epoch;
  core->election->key_version = e->version;
  core->election->usable_us = core->now.mono_us;
}

static void
look_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  if (status == 404)
    {
      g_clear_pointer (&core->election->node, g_free);
      core->election->key_version = 0;
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
  core->election->busy = true;
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
      core->election->usable_us = core->now.mono_us;
      watch (core, revision);
    }
  else if (last->value == NULL)
    {
      mh_info (core, "leader %s: its lease has ended",
               core->election->node ? core->election->node : "unknown");
      g_clear_pointer (&core->election->node, g_free);
      core->election->key_version = 0;
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
  core->election->state = MH_LEADERSHIP_FOLLOWING;
  core->election->busy = true;
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
  core->election->state = MH_LEADERSHIP_FOLLOWING;
  if (core->election->lease_id)
    mh_core_call (core, MH_CALL_BACKGROUND, mh_kv_request_revoke_lease (core->election->lease_id),
                  0, CALL_TIMEOUT_US, ignore_reply, NULL, NULL);
  core->election->lease_id = 0;
  retry (core, again_us);
}

static void
won (MhCore *core, guint64 version)
{
  core->election->own_version = core->election->key_version = version;
  g_free (core->election->node);
  core->election->node = g_strdup (core->settings->node);
  core->election->epoch = core->election->own_epoch;
  core->election->since_us = core->now.mono_us;
  core->election->busy = false;
  core->election->state = MH_LEADERSHIP_LOADING;
  core->election->renew_us = core->now.mono_us;
  core->scale.rentals = 0;
  mh_info (core, "leading with epoch %" G_GUINT64_FORMAT "; loading records",
           core->election->own_epoch);
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
              && strcmp (node, core->settings->node) == 0 && epoch == core->election->own_epoch
              && lease_id == core->election->lease_id;
  guint64 version = e ? e->version : 0;
  mh_kv_entry_free (e);
  if (mine && core->now.mono_us < core->election->valid_until_us)
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
      if (core->now.mono_us < core->election->valid_until_us)
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
      = { { "leader", core->election->key_version }, { "epoch", epoch_version } };
  g_autoptr (MhValue) leader = mh_record_write_leader (
      core->settings->node, core->election->own_epoch, core->election->lease_id);
  g_autoptr (MhValue) last
      = mh_record_write_epoch (core->election->own_epoch + MH_EPOCHS_PER_LEADERSHIP - 1);
  MhKvChange changes[] = { { "leader", leader, core->election->lease_id }, { "epoch", last, 0 } };
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
  core->election->own_epoch = epoch + 1;
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
  if (status != 200 || !mh_kv_lease_decode (body, &core->election->lease_id, NULL))
    {
      give_up_campaign (core, 200000);
      return;
    }
  core->election->valid_until_us = lease_end (core, ((Sent *)data)->sent_us);
  core->election->confirmed_us = ((Sent *)data)->sent_us;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_get ("epoch"), 0, CALL_TIMEOUT_US, epoch_reply,
                NULL, NULL);
}

static void
campaign (MhCore *core)
{
  if (core->now.mono_us < core->election->shy_until_us)
    {
      /* Once more after a while, if nobody else has taken it. */
      core->election->state = MH_LEADERSHIP_FOLLOWING;
      retry (core, MH_SECOND_US);
      core->election->shy_until_us -= SHY_US / 2;
      return;
    }
  core->election->state = MH_LEADERSHIP_CAMPAIGNING;
  core->election->busy = true;
  core->election->lease_id = 0;
  mh_core_call (core, MH_CALL_LEASE, mh_kv_request_grant_lease (core->settings->lease_us), 0,
                CALL_TIMEOUT_US, lease_reply, sent_now (core), g_free);
}

/* ---- leading ---- */

static void
renew_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  gint64 sent = ((Sent *)data)->sent_us;
  (void)body;
  core->election->renewing = false;
  core->election->renew_us = core->now.mono_us + core->settings->lease_us / 10;
  if (status == 200)
    {
      bool paused = core->now.mono_us >= core->election->valid_until_us;
      if (paused)
        mh_info (core, "lease renewed after a pause: nobody else can have led meanwhile");
      /* Their reports were refused for a while: that nothing was heard meanwhile says nothing of
         the workers. After an outage of a minute a whole fleet was once given back as silent. */
      if (paused
          && core->now.mono_us >= core->election->confirmed_us + mh_heartbeat_keep_alive_us (core))
        mh_runtime_mark_resumed (core->runtime);
      core->election->valid_until_us = lease_end (core, sent);
      core->election->confirmed_us = sent;
      core->election->usable_us = core->now.mono_us;
      core->election->renew_us = sent + core->settings->lease_us / 4;
    }
  else if (status == 404)
    mh_election_step_down (core->election, MH_LOSS_LEASE_EXPIRED);
  else
    mh_call_queue_log_store_failure (core->calls, status);
}

void
mh_election_step_down (MhElection *election, MhLossReason reason)
{
  /* Carried out at the start of the next step: the caller may still hold what would be freed. */
  if (!mh_election_is_elected (election) || election->state == MH_LEADERSHIP_STEPPING_DOWN)
    return;
  election->state = MH_LEADERSHIP_STEPPING_DOWN;
  election->lost = reason;
}

void
mh_election_transfer_leadership (MhElection *election, MhLossReason reason)
{
  if (election->state != MH_LEADERSHIP_STEPPING_DOWN)
    election->hands_over = true;
  mh_election_step_down (election, reason);
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
  mh_info (core, "no longer leading: %s", loss_texts[core->election->lost]);
  core->election->clearing = true;
  refuse_waiters (core);
  mh_call_queue_forget_all (core->calls);
  mh_store_clear (core);
  mh_cluster_clear (core);
  mh_gang_attempts_clear (core->gang_attempts);
  mh_scale_clear (core);
  mh_release_clear (core);
  g_hash_table_remove_all (core->jobs);
  g_hash_table_remove_all (core->unreadable);
  core->election->clearing = false;
  core->election->state = MH_LEADERSHIP_FOLLOWING;
  core->election->renewing = false;
  core->election->valid_until_us = 0;
  core->election->own_epoch = 0;
  if (core->election->hands_over)
    {
      /* The lease is ended, so that the others need not wait for its end. */
      mh_core_call (core, MH_CALL_LEASE, mh_kv_request_revoke_lease (core->election->lease_id), 0,
                    CALL_TIMEOUT_US, ignore_reply, NULL, NULL);
      core->election->shy_until_us = core->now.mono_us + SHY_US;
    }
  core->election->hands_over = false;
  core->election->lease_id = 0;
  if (self (core))
    g_clear_pointer (&core->election->node, g_free);
  retry (core, 50000);
}

void
mh_election_records_loaded (MhElection *election)
{
  MhCore *core = election->core;
  election->state = MH_LEADERSHIP_LEADING;
  mh_recovery_begin (core->recovery, core->now.mono_us, core->settings->report_us);
  mh_placement_request_pass (core->placement, false);
  election->usable_us = core->now.mono_us;
  mh_cluster_records_loaded (core);
  mh_info (core, "%u unfinished jobs loaded; waiting for the workers' reports",
           g_hash_table_size (core->jobs));
  mh_scale_start (core);
}

/* A node that is cut off from the state service learns here who leads: it passes users and workers
   on, and a former leader stops keeping the workers to itself. */
void
mh_election_leader_announced (MhElection *election, const char *node, guint64 epoch)
{
  MhCore *core = election->core;
  /* The end of a leadership is told by the state service; a late announcement of it must not undo
   * that. */
  if (epoch < core->election->epoch
      || (epoch == core->election->epoch && core->election->node == NULL)
      || strcmp (node, core->settings->node) == 0)
    return;
  if (mh_election_is_elected (core->election))
    {
      if (epoch <= core->election->own_epoch)
        return;
      mh_election_step_down (core->election, MH_LOSS_ANOTHER_ANNOUNCED);
    }
  if (g_strcmp0 (core->election->node, node) != 0)
    {
      g_free (core->election->node);
      core->election->node = g_strdup (node);
      core->election->unreached_us = 0;
      mh_info (core, "leader: %s, epoch %" G_GUINT64_FORMAT ", by its own word", node, epoch);
    }
  core->election->epoch = epoch;
  core->election->usable_us = core->now.mono_us;
}

void
mh_election_step (MhElection *election)
{
  MhCore *core = election->core;
  gint64 now = core->now.mono_us;
  if (core->election->state == MH_LEADERSHIP_STEPPING_DOWN)
    step_down (core);
  if (!mh_election_is_elected (core->election))
    {
      if (!core->election->busy && now >= core->election->retry_us)
        look (core);
      if (!core->election->busy)
        mh_core_wake_at (core, core->election->retry_us);
      return;
    }
  if (!core->election->renewing && now >= core->election->renew_us)
    {
      core->election->renewing = true;
      mh_core_call (core, MH_CALL_LEASE, mh_kv_request_renew_lease (core->election->lease_id), 0,
                    MIN (CALL_TIMEOUT_US, core->settings->lease_us / 3), renew_reply,
                    sent_now (core), g_free);
    }
  if (!core->election->renewing)
    mh_core_wake_at (core, core->election->renew_us);
  if (!mh_election_is_leader (core->election))
    {
      /* What cannot be written now is answered now; the user comes again. */
      refuse_waiters (core);
      return;
    }
  if (now >= core->election->announced_us + ANNOUNCE_US)
    {
      core->election->announced_us = now;
      for (guint i = 0; i < core->settings->members->len; i++)
        {
          MhAction *a = mh_core_act (core, MH_ACTION_ANNOUNCE_LEADER, core->election->own_epoch);
          a->node = g_strdup (((MhMember *)g_ptr_array_index (core->settings->members, i))->name);
        }
    }
}

MhElection *
mh_election_new (MhCore *core)
{
  MhElection *election = g_new0 (MhElection, 1);
  election->core = core;
  return election;
}

void
mh_election_free (MhElection *election)
{
  g_free (election->node);
  g_free (election);
}

MhLeadership
mh_election_state (const MhElection *election)
{
  return election->state;
}

bool
mh_election_is_serving (const MhElection *election)
{
  return election->state == MH_LEADERSHIP_LEADING && mh_election_is_leader (election);
}

bool
mh_election_is_elected (const MhElection *election)
{
  return election->state >= MH_LEADERSHIP_LOADING;
}

bool
mh_election_has_loaded (const MhElection *election)
{
  return election->state >= MH_LEADERSHIP_LEADING;
}

bool
mh_election_is_stepping_down (const MhElection *election)
{
  return election->state == MH_LEADERSHIP_STEPPING_DOWN;
}

const char *
mh_election_leader_name (const MhElection *election)
{
  return election->node;
}

const char *
mh_election_other_leader (const MhElection *election)
{
  return election->state == MH_LEADERSHIP_FOLLOWING && !self (election->core) ? election->node
                                                                              : NULL;
}

guint64
mh_election_epoch (const MhElection *election)
{
  return election->own_epoch;
}

guint64
mh_election_key_version (const MhElection *election)
{
  return election->own_version;
}

gint64
mh_election_elected_us (const MhElection *election)
{
  return election->since_us;
}

gint64
mh_election_lease_until_us (const MhElection *election)
{
  return election->valid_until_us;
}

gint64
mh_election_last_renewal_us (const MhElection *election)
{
  return election->confirmed_us;
}

void
mh_election_note_forward_answered (MhElection *election)
{
  election->usable_us = election->core->now.mono_us;
  election->unreached_us = 0;
}

void
mh_election_note_forward_failed (MhElection *election)
{
  election->tried_us = election->core->now.mono_us;
  if (election->unreached_us == 0)
    election->unreached_us = election->core->now.mono_us;
}

bool
mh_election_is_ready (const MhElection *election)
{
  /* Neither an ordinary change of leader nor an outage of the state service must make the load
     balancer drop the node: every other would be dropped with it, and be taken back late. */
  gint64 now = election->core->now.mono_us;
  bool unreached = election->state == MH_LEADERSHIP_FOLLOWING && election->node
                   && election->unreached_us > 0 && now - election->unreached_us > UNREACHED_US
                   && now - election->tried_us < TRY_AGAIN_US;
  return election->usable_us > 0 && now - election->usable_us < READY_US && !unreached;
}
