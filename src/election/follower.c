#include "election/follower.h"

#include "election/campaign.h"
#include "election/election-state.h"
#include "election/leader-record.h"
#include "protocol/key-value-messages.h"

#include <string.h>

/* How long the store holds a watch request while there is no change to report. */
#define WATCH_HOLD_US (5 * MH_SECOND_US)
/* Shortest delay before the leader key is read again when a read or a watch failed. */
#define FAILED_READ_DELAY_US 200000

static void
handle_watch_response (gpointer owner, gpointer data, const MhCallResponse *response);

static void
watch_leader_key (MhElection *election, guint64 since_revision)
{
  election->request_pending = true;
  mh_election_call_store (
      election, mh_kv_request_watch (MH_LEADER_KEY, since_revision, WATCH_HOLD_US),
      (MhCallOptions){ .class = MH_CALL_LEASE,
                       .timeout_us = WATCH_HOLD_US + MH_ELECTION_CALL_TIMEOUT_US,
                       .func = handle_watch_response });
}

static void
forget_leader (MhElection *election)
{
  mh_election_set_leader (election, NULL);
  election->leader_key_version = 0;
}

/* Takes over what the leader key says. If its value is malformed, no leader is known. */
static void
adopt_leader_key (MhElection *election, const MhKvEntry *entry)
{
  g_autofree char *node = NULL;
  guint64 epoch = 0;
  guint64 lease_id = 0;
  if (!mh_leader_record_read (entry->value, &node, &epoch, &lease_id))
    {
      mh_election_set_leader (election, NULL);
      return;
    }
  if (mh_election_set_leader (election, node))
    {
      mh_log_info (election->runtime,
                   "leader found in key-value store leader=%s epoch=%" G_GUINT64_FORMAT, node,
                   epoch);
      election->contact.unanswered_since_us = 0;
    }
  election->leader_epoch = epoch;
  election->leader_key_version = entry->version;
  election->contact.leader_confirmed_us = mh_runtime_now_us (election->runtime);
}

/* If the key names this controller, an earlier process of it wrote the key. Other controllers must
   wait until the lease of that process expires. This controller may replace the key at once,
   because the earlier process has ended. */
static void
follow_leader_key (MhElection *election, const MhKvEntry *entry)
{
  adopt_leader_key (election, entry);
  if (mh_election_is_own_key (election))
    mh_campaign_start (election);
  else
    watch_leader_key (election, entry->version);
}

static void
handle_read_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  if (response->status == 404)
    {
      forget_leader (election);
      mh_campaign_start (election);
      return;
    }
  MhKvEntry *entry = response->status == 200 ? mh_kv_entry_decode (response->body, NULL) : NULL;
  if (entry)
    follow_leader_key (election, entry);
  else
    mh_election_schedule_leader_read (election, FAILED_READ_DELAY_US);
  mh_kv_entry_free (entry);
}

static const MhKvEntry *
find_last_leader_key_change (const GPtrArray *events)
{
  for (guint i = events->len; i-- > 0;)
    {
      const MhKvEntry *entry = g_ptr_array_index (events, i);
      if (strcmp (entry->key, MH_LEADER_KEY) == 0)
        return entry;
    }
  return NULL;
}

static void
handle_watch_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  guint64 revision = 0;
  g_autoptr (GPtrArray) events
      = response->status == 200 ? mh_kv_events_decode (response->body, &revision, NULL) : NULL;
  if (events == NULL)
    {
      mh_election_schedule_leader_read (election, FAILED_READ_DELAY_US);
      return;
    }
  const MhKvEntry *last_change = find_last_leader_key_change (events);
  if (last_change == NULL)
    {
      election->contact.leader_confirmed_us = mh_runtime_now_us (election->runtime);
      watch_leader_key (election, revision);
    }
  else if (last_change->value == NULL)
    {
      mh_log_info (election->runtime, "leader's lease expired or was revoked leader=%s",
                   election->leader_name ? election->leader_name : "unknown");
      forget_leader (election);
      mh_campaign_start (election);
    }
  else
    follow_leader_key (election, last_change);
}

void
mh_follower_read_leader_key (MhElection *election)
{
  election->request_pending = true;
  mh_election_call_store (election, mh_kv_request_get (MH_LEADER_KEY),
                          (MhCallOptions){ .class = MH_CALL_LEASE,
                                           .timeout_us = MH_ELECTION_CALL_TIMEOUT_US,
                                           .func = handle_read_response });
}
