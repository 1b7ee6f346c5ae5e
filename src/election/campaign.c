#include "election/campaign.h"

#include "election/election-state.h"
#include "election/leader-record.h"
#include "protocol/key-value-messages.h"

#include <string.h>

/* Shortest delays before the leader key is read again after a failed campaign: when the transaction
   conflicted with that of another controller, when the lease had lapsed or the leader key does not
   show that the transaction was carried out, and when the store did not respond or reported an
   error. */
#define CONFLICT_READ_DELAY_US 20000
#define NOT_ELECTED_READ_DELAY_US 100000
#define STORE_FAILURE_READ_DELAY_US 200000
/* During the campaign back-off the leader key is read again after this delay. Each read that finds
   no other leader shortens the back-off, because there may be no other controller that can be
   elected. */
#define BACKOFF_READ_DELAY_US (MH_SECOND_US)
#define BACKOFF_REDUCTION_US (2 * MH_SECOND_US)

static void
call_store (MhElection *election, MhRequest *request, double changes, MhCallResponseFunc func)
{
  mh_election_call_store (election, request,
                          (MhCallOptions){ .class = MH_CALL_LEASE,
                                           .changes = changes,
                                           .timeout_us = MH_ELECTION_CALL_TIMEOUT_US,
                                           .func = func });
}

/* Revokes the lease, so that a late copy of the transaction cannot write the leader key. */
static void
abort_campaign (MhElection *election, gint64 read_delay_us)
{
  mh_election_apply_event (election, MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED);
  if (election->lease.id)
    mh_election_revoke_lease (election);
  election->lease = (MhLease){ 0 };
  election->own_epoch = 0;
  mh_election_schedule_leader_read (election, read_delay_us);
}

/* The transaction was carried out. If the lease has lapsed since it was granted, this controller
   must not lead. */
static void
become_leader (MhElection *election, guint64 key_version)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  if (!mh_lease_is_valid (&election->lease, now_us))
    {
      abort_campaign (election, NOT_ELECTED_READ_DELAY_US);
      return;
    }
  mh_election_apply_event (election, MH_LEADERSHIP_EVENT_ELECTED);
  mh_runtime_count (election->runtime, MH_COUNTER_ELECTIONS);
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

/* An earlier process of this controller may have ended during its campaign, and its transaction may
   have been carried out late. Its leader key then has the same name and epoch, but is attached to a
   lease that nobody renews, so the lease must match too. */
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
handle_check_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  MhKvEntry *entry = response->status == 200 ? mh_kv_entry_decode (response->body, NULL) : NULL;
  bool elected = is_own_transaction (election, entry);
  guint64 key_version = entry ? entry->version : 0;
  mh_kv_entry_free (entry);
  if (elected)
    become_leader (election, key_version);
  else
    abort_campaign (election, NOT_ELECTED_READ_DELAY_US);
}

static void
handle_write_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  guint64 key_version = 0;
  (void)data;
  if (response->status == 200 && mh_kv_revision_decode (response->body, &key_version, NULL))
    become_leader (election, key_version);
  else if (response->status == 0 || response->status == 200)
    /* The outcome of the transaction is unknown: read the leader key to determine it. */
    call_store (election, mh_kv_request_get (MH_LEADER_KEY), 0, handle_check_response);
  else
    abort_campaign (election,
                    response->status == 409 ? CONFLICT_READ_DELAY_US : STORE_FAILURE_READ_DELAY_US);
}

/* Writes both keys in one transaction, on the condition that neither has changed since it was read.
   Therefore no two leaderships share an epoch, and the epoch increases with each. */
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
  call_store (election,
              mh_kv_request_transaction (conditions, G_N_ELEMENTS (conditions), changes,
                                         G_N_ELEMENTS (changes)),
              G_N_ELEMENTS (changes), handle_write_response);
}

static void
handle_epoch_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  guint64 last_epoch = 0;
  guint64 key_version = 0;
  bool is_valid = response->status == 404; /* no controller has led yet */
  if (response->status == 200)
    {
      MhKvEntry *entry = mh_kv_entry_decode (response->body, NULL);
      is_valid = entry && mh_epoch_record_read (entry->value, &last_epoch);
      key_version = entry ? entry->version : 0;
      mh_kv_entry_free (entry);
    }
  if (!is_valid)
    {
      abort_campaign (election, STORE_FAILURE_READ_DELAY_US);
      return;
    }
  election->own_epoch = last_epoch + 1;
  write_leader_key (election, key_version);
}

static void
handle_lease_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  if (response->status != 200 || !mh_kv_lease_decode (response->body, &election->lease.id, NULL))
    {
      abort_campaign (election, STORE_FAILURE_READ_DELAY_US);
      return;
    }
  mh_lease_confirm (&election->lease, election->lease_request_sent_us,
                    mh_runtime_settings (election->runtime)->leader_lease_us);
  call_store (election, mh_kv_request_get (MH_EPOCH_KEY), 0, handle_epoch_response);
}

void
mh_campaign_start (MhElection *election)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  if (now_us < election->campaign_backoff_until_us)
    {
      mh_election_schedule_leader_read (election, BACKOFF_READ_DELAY_US);
      election->campaign_backoff_until_us -= BACKOFF_REDUCTION_US;
      return;
    }
  mh_election_apply_event (election, MH_LEADERSHIP_EVENT_CAMPAIGN);
  election->request_pending = true;
  election->lease = (MhLease){ 0 };
  election->lease_request_sent_us = now_us;
  call_store (election,
              mh_kv_request_grant_lease (mh_runtime_settings (election->runtime)->leader_lease_us),
              0, handle_lease_response);
}
