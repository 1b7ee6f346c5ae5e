#include "election/election.h"

#include "election/election-state.h"
#include "election/follower.h"
#include "protocol/key-value-messages.h"

#include <string.h>

/* Interval between announcements of the leader to its peers. A controller that cannot reach the
   key-value store has no other way to learn who leads. */
#define ANNOUNCEMENT_INTERVAL_US (MH_SECOND_US)
/* How long a leader that transferred its leadership does not campaign, so that another controller
   can be elected first. While nobody holds the leader key, the follower shortens this time. */
#define CAMPAIGN_BACKOFF_AFTER_TRANSFER_US (4 * MH_SECOND_US)
/* Shortest delay before a controller that stepped down reads the leader key again. */
#define READ_DELAY_AFTER_STEP_DOWN_US 50000
/* Timing of renewals, as fractions of the lease duration: a renewal is sent 1/4 of it after the
   last confirmed one was sent, retried 1/10 after one that failed, and times out after 1/3 (at most
   MH_ELECTION_CALL_TIMEOUT_US). A renewal that times out thus leaves time for a retry before the
   lease lapses. */
#define RENEWAL_INTERVAL_DIVISOR 4
#define RENEWAL_RETRY_DIVISOR 10
#define RENEWAL_TIMEOUT_DIVISOR 3

static bool
is_acting_leader (const MhElection *election, gint64 now_us)
{
  return (election->state == MH_LEADERSHIP_LOADING || election->state == MH_LEADERSHIP_LEADING)
         && mh_lease_is_valid (&election->lease, now_us);
}

/* MhLeaseFunc for the runtime: until when an action that is decided now may be carried out, or 0 if
   it does not depend on the lease. */
static gint64
get_lease_until_us (gconstpointer owner, gint64 now_us)
{
  const MhElection *election = owner;
  bool depends_on_lease = is_acting_leader (election, now_us)
                          || (election->clearing && mh_lease_is_valid (&election->lease, now_us));
  return depends_on_lease ? election->lease.valid_until_us : 0;
}

MhElection *
mh_election_new (MhRuntime *runtime, MhCallQueue *calls, const MhElectionCallbacks *callbacks,
                 gpointer owner)
{
  g_return_val_if_fail (runtime && calls && callbacks, NULL);
  MhElection *election = g_new0 (MhElection, 1);
  election->runtime = runtime;
  election->calls = calls;
  election->callbacks = callbacks;
  election->owner = owner;
  mh_runtime_set_lease_source (runtime, get_lease_until_us, election);
  return election;
}

void
mh_election_free (MhElection *election)
{
  if (election == NULL)
    return;
  mh_runtime_set_lease_source (election->runtime, NULL, NULL);
  g_free (election->leader_name);
  g_free (election);
}

/* ---- the lease ---- */

/* A leader whose lease had lapsed by its own clock keeps its state when a renewal succeeds: the
   lease never expired in the store, so no other controller can have written anything. */
static void
confirm_renewal (MhElection *election)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  gint64 lease_us = mh_runtime_settings (election->runtime)->leader_lease_us;
  if (!mh_lease_is_valid (&election->lease, now_us))
    {
      mh_log_info (
          election->runtime,
          "lease renewed after it had lapsed, leadership continues epoch=%" G_GUINT64_FORMAT,
          election->own_epoch);
      mh_runtime_count (election->runtime, MH_COUNTER_LEASE_LAPSES);
      election->callbacks->renewed_after_lapse (election->owner, election->lease.last_renewal_us);
    }
  mh_lease_confirm (&election->lease, election->lease_request_sent_us, lease_us);
  election->contact.leader_confirmed_us = now_us;
  election->next_renewal_us = election->lease_request_sent_us + lease_us / RENEWAL_INTERVAL_DIVISOR;
}

static void
handle_renew_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhElection *election = owner;
  (void)data;
  election->renewal_pending = false;
  election->next_renewal_us
      = mh_runtime_now_us (election->runtime)
        + mh_runtime_settings (election->runtime)->leader_lease_us / RENEWAL_RETRY_DIVISOR;
  if (response->status == 200)
    confirm_renewal (election);
  else if (response->status == 404)
    mh_election_step_down (election, MH_LOSS_LEASE_EXPIRED);
  else
    mh_call_queue_log_store_failure (election->calls, response->status);
}

static void
renew_lease (MhElection *election)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  gint64 lease_us = mh_runtime_settings (election->runtime)->leader_lease_us;
  if (!election->renewal_pending && now_us >= election->next_renewal_us)
    {
      election->renewal_pending = true;
      election->lease_request_sent_us = now_us;
      mh_election_call_store (
          election, mh_kv_request_renew_lease (election->lease.id),
          (MhCallOptions){ .class = MH_CALL_LEASE,
                           .timeout_us
                           = MIN (MH_ELECTION_CALL_TIMEOUT_US, lease_us / RENEWAL_TIMEOUT_DIVISOR),
                           .func = handle_renew_response });
    }
  if (!election->renewal_pending)
    mh_runtime_wake_at (election->runtime, election->next_renewal_us);
}

/* ---- the end of a leadership ---- */

void
mh_election_step_down (MhElection *election, MhLossReason reason)
{
  g_return_if_fail (election);
  if (mh_election_apply_event (election, MH_LEADERSHIP_EVENT_LOST))
    election->loss_reason = reason;
}

void
mh_election_transfer_leadership (MhElection *election, MhLossReason reason)
{
  g_return_if_fail (election);
  if (!mh_election_apply_event (election, MH_LEADERSHIP_EVENT_LOST))
    return;
  election->loss_reason = reason;
  election->transferring_leadership = true;
}

/* The order matters: waiting users are answered first, then all calls are forgotten, and only then
   the objects that the calls refer to are freed. Responses to calls of this leadership are
   ignored from here on. */
static void
clear_leadership (MhElection *election)
{
  mh_log_info (election->runtime, "no longer leading reason=%s",
               mh_loss_reason_text (election->loss_reason));
  election->clearing = true;
  election->callbacks->reject_waiting_users (election->owner);
  mh_call_queue_forget_all (election->calls);
  election->callbacks->clear_state (election->owner);
  election->clearing = false;
  mh_election_apply_event (election, MH_LEADERSHIP_EVENT_CLEARED);
  if (election->transferring_leadership)
    {
      /* Otherwise the other controllers could not be elected before the lease expires. */
      mh_election_revoke_lease (election);
      election->campaign_backoff_until_us
          = mh_runtime_now_us (election->runtime) + CAMPAIGN_BACKOFF_AFTER_TRANSFER_US;
    }
  election->loss_reason = MH_LOSS_NONE;
  election->transferring_leadership = false;
  election->renewal_pending = false;
  election->own_epoch = 0;
  election->lease = (MhLease){ 0 };
  if (mh_election_is_own_key (election))
    mh_election_set_leader (election, NULL);
  mh_election_schedule_leader_read (election, READ_DELAY_AFTER_STEP_DOWN_US);
}

/* ---- inputs ---- */

void
mh_election_handle_records_loaded (MhElection *election)
{
  g_return_if_fail (election);
  if (!mh_election_apply_event (election, MH_LEADERSHIP_EVENT_RECORDS_LOADED))
    return;
  election->contact.leader_confirmed_us = mh_runtime_now_us (election->runtime);
  election->callbacks->leading (election->owner);
}

/* Announcements may arrive late. The key-value store reports the end of a leadership, and a late
   announcement of that leadership must not reinstate it. */
static bool
is_stale_announcement (const MhElection *election, const char *node, guint64 epoch)
{
  return epoch < election->leader_epoch
         || (epoch == election->leader_epoch && election->leader_name == NULL)
         || strcmp (node, mh_runtime_settings (election->runtime)->node_name) == 0
         || (mh_election_is_elected (election) && epoch <= election->own_epoch);
}

void
mh_election_handle_announcement (MhElection *election, const char *node, guint64 epoch)
{
  g_return_if_fail (election && node);
  if (is_stale_announcement (election, node, epoch))
    return;
  mh_election_step_down (election, MH_LOSS_ANOTHER_ANNOUNCED);
  if (mh_election_set_leader (election, node))
    {
      election->contact.unanswered_since_us = 0;
      mh_log_info (election->runtime, "leader announced itself leader=%s epoch=%" G_GUINT64_FORMAT,
                   node, epoch);
    }
  election->leader_epoch = epoch;
  election->contact.leader_confirmed_us = mh_runtime_now_us (election->runtime);
}

static void
announce_leadership (MhElection *election)
{
  gint64 now_us = mh_runtime_now_us (election->runtime);
  const GPtrArray *members = mh_runtime_settings (election->runtime)->members;
  if (now_us < election->last_announcement_us + ANNOUNCEMENT_INTERVAL_US)
    return;
  election->last_announcement_us = now_us;
  for (guint i = 0; i < members->len; i++)
    {
      const MhMember *member = g_ptr_array_index (members, i);
      MhAction *action = mh_runtime_add_action (election->runtime, MH_ACTION_ANNOUNCE_LEADER,
                                                election->own_epoch);
      action->node = g_strdup (member->name);
    }
}

static void
step_as_follower (MhElection *election)
{
  if (!election->request_pending
      && mh_runtime_now_us (election->runtime) >= election->next_leader_read_us)
    mh_follower_read_leader_key (election);
  if (!election->request_pending)
    mh_runtime_wake_at (election->runtime, election->next_leader_read_us);
}

void
mh_election_step (MhElection *election)
{
  g_return_if_fail (election);
  if (mh_election_is_stepping_down (election))
    clear_leadership (election);
  if (!mh_election_is_elected (election))
    {
      step_as_follower (election);
      return;
    }
  renew_lease (election);
  if (mh_election_is_leader (election))
    announce_leadership (election);
  else
    /* Nothing can be written after the lease has lapsed: waiting users must retry. */
    election->callbacks->reject_waiting_users (election->owner);
}

void
mh_election_note_forward_answered (MhElection *election)
{
  g_return_if_fail (election);
  mh_leader_contact_note_answered (&election->contact, mh_runtime_now_us (election->runtime));
}

void
mh_election_note_forward_failed (MhElection *election)
{
  g_return_if_fail (election);
  mh_leader_contact_note_unanswered (&election->contact, mh_runtime_now_us (election->runtime));
}

/* ---- the current leader ---- */

MhLeadershipState
mh_election_state (const MhElection *election)
{
  g_return_val_if_fail (election, MH_LEADERSHIP_FOLLOWING);
  return election->state;
}

bool
mh_election_is_leader (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  return is_acting_leader (election, mh_runtime_now_us (election->runtime));
}

bool
mh_election_is_serving (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  return election->state == MH_LEADERSHIP_LEADING && mh_election_is_leader (election);
}

bool
mh_election_is_elected (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  return election->state != MH_LEADERSHIP_FOLLOWING && election->state != MH_LEADERSHIP_CAMPAIGNING;
}

bool
mh_election_has_records (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  return election->state == MH_LEADERSHIP_LEADING || election->state == MH_LEADERSHIP_STEPPING_DOWN;
}

bool
mh_election_is_stepping_down (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  return election->state == MH_LEADERSHIP_STEPPING_DOWN;
}

const char *
mh_election_leader_name (const MhElection *election)
{
  g_return_val_if_fail (election, NULL);
  return election->leader_name;
}

const char *
mh_election_other_leader (const MhElection *election)
{
  g_return_val_if_fail (election, NULL);
  bool follows = election->state == MH_LEADERSHIP_FOLLOWING && !mh_election_is_own_key (election);
  return follows ? election->leader_name : NULL;
}

bool
mh_election_is_ready (const MhElection *election)
{
  g_return_val_if_fail (election, false);
  bool follows = election->state == MH_LEADERSHIP_FOLLOWING && election->leader_name;
  return mh_leader_contact_is_ready (&election->contact, mh_runtime_now_us (election->runtime),
                                     follows);
}

/* ---- this controller's leadership ---- */

guint64
mh_election_epoch (const MhElection *election)
{
  g_return_val_if_fail (election, 0);
  return election->own_epoch;
}

guint64
mh_election_key_version (const MhElection *election)
{
  g_return_val_if_fail (election, 0);
  return election->own_key_version;
}

gint64
mh_election_elected_us (const MhElection *election)
{
  g_return_val_if_fail (election, 0);
  return election->elected_us;
}

gint64
mh_election_lease_until_us (const MhElection *election)
{
  g_return_val_if_fail (election, 0);
  return election->lease.valid_until_us;
}

gint64
mh_election_last_renewal_us (const MhElection *election)
{
  g_return_val_if_fail (election, 0);
  return election->lease.last_renewal_us;
}
