#include "election/campaign.h"

#include "election/election-state.h"
#include "election/leader-record.h"
#include "protocol/key-value-messages.h"

#include <string.h>

/* Delays before the leader key is read again: after a transaction that somebody else's was faster
   than, after one whose lease ran out or went to nobody, and when the store did not answer. */
#define RETRY_CONFLICT_US 20000
#define RETRY_NOT_ELECTED_US 100000
#define RETRY_STORE_US 200000
/* While others are to campaign first, the leader key is read so often, and each time the wait gets
   so much shorter: nobody else may have taken it. */
#define BACKOFF_RETRY_US (MH_SECOND_US)
#define BACKOFF_STEP_US (2 * MH_SECOND_US)

static void
call (MhElection *election, MhRequest *request, double changes, MhReplyFunc func)
{
  mh_election_call (election, request,
                    (MhCallOptions){ .class = MH_CALL_LEASE,
                                     .changes = changes,
                                     .timeout_us = MH_ELECTION_CALL_TIMEOUT_US,
                                     .func = func });
}

/* The lease is given back, so that a late copy of the transaction cannot take the key with it. */
static void
give_up (MhElection *election, gint64 retry_after_us)
{
  mh_election_apply (election, MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED);
  if (election->lease.id)
    mh_election_revoke_lease (election, MH_CALL_BACKGROUND);
  election->lease = (MhLease){ 0 };
  election->own_epoch = 0;
  mh_election_retry_after (election, retry_after_us);
}

/* The transaction was carried out. A lease that ended meanwhile is of no use. */
static void
become_leader (MhElection *election, guint64 key_version)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  if (!mh_lease_is_valid (&election->lease, now_us))
    {
      give_up (election, RETRY_NOT_ELECTED_US);
      return;
    }
  mh_election_apply (election, MH_LEADERSHIP_EVENT_ELECTED);
  mh_election_set_leader (election, mh_runtime_settings (election->runtime)->node_name);
  election->own_key_version = election->leader_key_version = key_version;
  election->leader_epoch = election->own_epoch;
  election->elected_us = now_us;
  election->next_renewal_us = now_us;
  election->request_pending = false;
  mh_log_info (election->runtime, "elected leader, loading records epoch=%" G_GUINT64_FORMAT,
               election->own_epoch);
  election->callbacks->elected (election->owner);
}

/* An earlier life of this controller that ended in the middle of its campaign may have written its
   name late, with the very same epoch, but attached to a lease that nobody renews any more. */
static bool
is_own_transaction (const MhElection *election, const MhKvEntry *entry)
{
  g_autofree char *node = NULL;
  guint64 epoch = 0;
  guint64 lease_id = 0;
  return entry && mh_leader_record_read (entry->value, &node, &epoch, &lease_id)
         && strcmp (node, mh_runtime_settings (election->runtime)->node_name) == 0
         && epoch == election->own_epoch && lease_id == election->lease.id;
}

static void
handle_check_reply (gpointer owner, gpointer data, const MhReply *reply)
{
  MhElection *election = owner;
  (void)data;
  MhKvEntry *entry = reply->status == 200 ? mh_kv_entry_decode (reply->body, NULL) : NULL;
  bool elected = is_own_transaction (election, entry);
  guint64 key_version = entry ? entry->version : 0;
  mh_kv_entry_free (entry);
  if (elected)
    become_leader (election, key_version);
  else
    give_up (election, RETRY_NOT_ELECTED_US);
}

static void
handle_write_reply (gpointer owner, gpointer data, const MhReply *reply)
{
  MhElection *election = owner;
  guint64 key_version = 0;
  (void)data;
  if (reply->status == 200 && mh_kv_revision_decode (reply->body, &key_version, NULL))
    become_leader (election, key_version);
  else if (reply->status == 0 || reply->status == 200)
    /* Whether it was carried out is unknown: the key tells. */
    call (election, mh_kv_request_get (MH_LEADER_KEY), 0, handle_check_reply);
  else
    give_up (election, reply->status == 409 ? RETRY_CONFLICT_US : RETRY_STORE_US);
}

/* Both keys in one transaction, on the condition that neither has changed since it was read: so no
   two leaderships ever share an epoch, and the epoch rises with each. */
static void
write_leader_key (MhElection *election, guint64 epoch_key_version)
{
  MhKvCondition conditions[]
      = { { MH_LEADER_KEY, election->leader_key_version }, { MH_EPOCH_KEY, epoch_key_version } };
  const char *node = mh_runtime_settings (election->runtime)->node_name;
  g_autoptr (MhValue) leader
      = mh_leader_record_write (node, election->own_epoch, election->lease.id);
  g_autoptr (MhValue) last_epoch
      = mh_epoch_record_write (election->own_epoch + MH_EPOCHS_PER_LEADERSHIP - 1);
  MhKvChange changes[]
      = { { MH_LEADER_KEY, leader, election->lease.id }, { MH_EPOCH_KEY, last_epoch, 0 } };
  call (election,
        mh_kv_request_transaction (conditions, G_N_ELEMENTS (conditions), changes,
                                   G_N_ELEMENTS (changes)),
        G_N_ELEMENTS (changes), handle_write_reply);
}

static void
handle_epoch_reply (gpointer owner, gpointer data, const MhReply *reply)
{
  MhElection *election = owner;
  (void)data;
  guint64 last_epoch = 0;
  guint64 key_version = 0;
  bool readable = reply->status == 404; /* nobody has led yet */
  if (reply->status == 200)
    {
      MhKvEntry *entry = mh_kv_entry_decode (reply->body, NULL);
      readable = entry && mh_epoch_record_read (entry->value, &last_epoch);
      key_version = entry ? entry->version : 0;
      mh_kv_entry_free (entry);
    }
  if (!readable)
    {
      give_up (election, RETRY_STORE_US);
      return;
    }
  election->own_epoch = last_epoch + 1;
  write_leader_key (election, key_version);
}

static void
handle_lease_reply (gpointer owner, gpointer data, const MhReply *reply)
{
  MhElection *election = owner;
  (void)data;
  if (reply->status != 200 || !mh_kv_lease_decode (reply->body, &election->lease.id, NULL))
    {
      give_up (election, RETRY_STORE_US);
      return;
    }
  mh_lease_confirm (&election->lease, election->lease_request_sent_us,
                    mh_runtime_settings (election->runtime)->leader_lease_us);
  call (election, mh_kv_request_get (MH_EPOCH_KEY), 0, handle_epoch_reply);
}

void
mh_campaign_start (MhElection *election)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  if (now_us < election->campaign_backoff_until_us)
    {
      mh_election_retry_after (election, BACKOFF_RETRY_US);
      election->campaign_backoff_until_us -= BACKOFF_STEP_US;
      return;
    }
  mh_election_apply (election, MH_LEADERSHIP_EVENT_CAMPAIGN);
  election->request_pending = true;
  election->lease = (MhLease){ 0 };
  election->lease_request_sent_us = now_us;
  call (election,
        mh_kv_request_grant_lease (mh_runtime_settings (election->runtime)->leader_lease_us), 0,
        handle_lease_reply);
}
