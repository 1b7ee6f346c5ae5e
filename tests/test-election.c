/* Tests the leader election alone, with a fake clock and scripted key-value store responses. */
#include "election/election.h"
#include "election/leader-contact.h"
#include "election/leader-record.h"
#include "election/lease.h"

#define NODE "c1"
#define OTHER "c2"
#define LEASE_ID 7
#define LEASE_US (4 * MH_SECOND_US)
/* How long the lease is valid for the controller: its duration, less 0.1% for clock drift, less
   0.1 s. */
#define VALID_LEASE_US (LEASE_US - LEASE_US / 1000 - 100000)
#define START_US (100 * MH_SECOND_US)

typedef struct
{
  MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  MhElection *election;
  MhNow now;
  guint64 call_id; /* of the call that was sent last */
  guint announcements, elected, leading, refused, cleared;
  gint64 renewal_before_lapse_us;
} Fixture;

static void
note_elected (gpointer owner)
{
  ((Fixture *)owner)->elected++;
}

static void
note_leading (gpointer owner)
{
  ((Fixture *)owner)->leading++;
}

static void
note_refused (gpointer owner)
{
  ((Fixture *)owner)->refused++;
}

static void
note_cleared (gpointer owner)
{
  ((Fixture *)owner)->cleared++;
}

static void
note_renewed_after_lapse (gpointer owner, gint64 last_renewal_us)
{
  ((Fixture *)owner)->renewal_before_lapse_us = last_renewal_us;
}

static const MhElectionCallbacks callbacks = { .elected = note_elected,
                                               .leading = note_leading,
                                               .reject_waiting_users = note_refused,
                                               .clear_state = note_cleared,
                                               .renewed_after_lapse = note_renewed_after_lapse };

static void
step (Fixture *fixture)
{
  mh_runtime_reset_wake_up (fixture->runtime);
  mh_election_step (fixture->election);
  mh_call_queue_flush (fixture->calls);
}

static void
set_up (Fixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->now = (MhNow){ .mono_us = START_US };
  fixture->settings = mh_settings_new ();
  fixture->settings->node_name = g_strdup (NODE);
  fixture->settings->leader_lease_us = LEASE_US;
  fixture->settings->store_rps = 100;
  MhMember *member = g_new0 (MhMember, 1);
  member->name = g_strdup (OTHER);
  g_ptr_array_add (fixture->settings->members, member);
  fixture->runtime = mh_runtime_new (fixture->settings, &fixture->now);
  fixture->calls = mh_call_queue_new (fixture->runtime);
  fixture->election = mh_election_new (fixture->runtime, fixture->calls, &callbacks, fixture);
  step (fixture);
}

static void
tear_down (Fixture *fixture, gconstpointer data)
{
  (void)data;
  mh_election_free (fixture->election);
  mh_call_queue_free (fixture->calls);
  mh_runtime_free (fixture->runtime);
  mh_settings_free (fixture->settings);
}

static void
advance (Fixture *fixture, gint64 by_us)
{
  fixture->now.mono_us += by_us;
  mh_runtime_begin_input (fixture->runtime, &fixture->now);
}

/* Returns the next call that was sent, or NULL. */
static MhAction *
pop_call (Fixture *fixture)
{
  MhAction *action;
  while ((action = mh_runtime_pop_action (fixture->runtime))
         && action->kind != MH_ACTION_SEND_REQUEST)
    {
      fixture->announcements += action->kind == MH_ACTION_ANNOUNCE_LEADER;
      mh_action_free (action);
    }
  return action;
}

static void
assert_call (Fixture *fixture, const char *method, const char *path)
{
  g_autoptr (MhAction) action = pop_call (fixture);
  g_assert_nonnull (action);
  g_assert_cmpstr (action->request->method, ==, method);
  g_assert_cmpstr (action->request->path, ==, path);
  fixture->call_id = action->id;
}

static void
assert_no_call (Fixture *fixture)
{
  g_autoptr (MhAction) action = pop_call (fixture);
  g_assert_null (action);
}

/* Responds to the call that was sent last. Takes ownership of the body. */
static void
respond_to_last_call (Fixture *fixture, guint status, MhValue *body)
{
  MhCallResponse response = { .status = status, .body = body };
  mh_runtime_begin_input (fixture->runtime, &fixture->now);
  mh_call_queue_complete (fixture->calls, fixture->call_id, &response);
  mh_value_unref (body);
  step (fixture);
}

static MhValue *
make_number_body (const char *name, guint64 number)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_uint (body, name, number);
  return body;
}

static MhValue *
make_entry_body (const char *key, MhValue *value, guint64 version)
{
  MhValue *body = make_number_body ("stamp", version);
  mh_value_set_text (body, "key", key);
  mh_value_set (body, "v", value);
  return body;
}

/* Campaigns until the transaction that writes the leader key is in flight. */
static void
campaign_until_write (Fixture *fixture)
{
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (fixture, 404, NULL);
  assert_call (fixture, "POST", "/grants");
  respond_to_last_call (fixture, 200, make_number_body ("claim", LEASE_ID));
  assert_call (fixture, "GET", "/kv/epoch");
  respond_to_last_call (fixture, 200,
                        make_entry_body ("epoch", mh_epoch_record_write (1000000), 3));
  assert_call (fixture, "POST", "/multi");
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_CAMPAIGNING);
}

static void
elect (Fixture *fixture)
{
  campaign_until_write (fixture);
  respond_to_last_call (fixture, 200, make_number_body ("ledger", 9));
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_LOADING);
  assert_call (fixture, "POST", "/grants/7/extend");
}

static void
become_leader (Fixture *fixture)
{
  elect (fixture);
  mh_election_handle_records_loaded (fixture->election);
  g_assert_true (mh_election_is_serving (fixture->election));
}

/* A transition that is not in the table would let a controller lead without being elected, or keep
   the state of an earlier leadership. */
static void
test_transitions (void)
{
  const MhLeadershipState refused = MH_LEADERSHIP_STATES;
  const MhLeadershipState following = MH_LEADERSHIP_FOLLOWING,
                          campaigning = MH_LEADERSHIP_CAMPAIGNING;
  const MhLeadershipState loading = MH_LEADERSHIP_LOADING, leading = MH_LEADERSHIP_LEADING;
  const MhLeadershipState stepping_down = MH_LEADERSHIP_STEPPING_DOWN;
  /* Columns in the order of MhLeadershipEvent: campaign, campaign failed, elected, records loaded,
     lost, cleared. */
  const MhLeadershipState expected[MH_LEADERSHIP_STATES][MH_LEADERSHIP_EVENTS] = {
    [MH_LEADERSHIP_FOLLOWING] = { campaigning, refused, refused, refused, refused, refused },
    [MH_LEADERSHIP_CAMPAIGNING] = { refused, following, loading, refused, refused, refused },
    [MH_LEADERSHIP_LOADING] = { refused, refused, refused, leading, stepping_down, refused },
    [MH_LEADERSHIP_LEADING] = { refused, refused, refused, refused, stepping_down, refused },
    [MH_LEADERSHIP_STEPPING_DOWN] = { refused, refused, refused, refused, refused, following },
  };
  for (guint i = 0; i < MH_LEADERSHIP_STATES; i++)
    for (guint j = 0; j < MH_LEADERSHIP_EVENTS; j++)
      {
        MhLeadershipState state = (MhLeadershipState)i;
        bool applied = mh_leadership_state_apply (&state, (MhLeadershipEvent)j);
        g_assert_cmpint (applied, ==, expected[i][j] != refused);
        g_assert_cmpint (state, ==, applied ? expected[i][j] : (MhLeadershipState)i);
      }
}

/* If the lease counted from the response, it could lapse here after it has expired in the store,
   and two controllers could lead at the same time. */
static void
test_lease_starts_when_sent (void)
{
  MhLease lease = { .id = LEASE_ID };
  g_assert_false (mh_lease_is_valid (&lease, START_US));
  mh_lease_confirm (&lease, START_US, LEASE_US);
  g_assert_cmpint (lease.last_renewal_us, ==, START_US);
  g_assert_true (mh_lease_is_valid (&lease, START_US + VALID_LEASE_US - 1));
  g_assert_false (mh_lease_is_valid (&lease, START_US + VALID_LEASE_US));
}

/* If the epoch were not higher than all earlier ones, workers could not distinguish the leader from
   a former one. */
static void
test_epoch_rises (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  g_assert_cmpuint (mh_election_epoch (fixture->election), ==, 1000001);
  g_assert_cmpuint (mh_election_key_version (fixture->election), ==, 9);
  g_assert_cmpint (mh_election_elected_us (fixture->election), ==, START_US);
  g_assert_cmpstr (mh_election_leader_name (fixture->election), ==, NODE);
  g_assert_null (mh_election_other_leader (fixture->election));
  g_assert_cmpuint (fixture->elected, ==, 1);
  g_assert_cmpuint (fixture->leading, ==, 1);
  g_assert_true (mh_runtime_is_leader (fixture->runtime));
}

/* If the response to the transaction arrives after the lease has lapsed, the controller must not
   become leader. */
static void
test_late_response_does_not_elect (Fixture *fixture, gconstpointer data)
{
  (void)data;
  campaign_until_write (fixture);
  advance (fixture, VALID_LEASE_US);
  respond_to_last_call (fixture, 200, make_number_body ("ledger", 9));
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_FOLLOWING);
  g_assert_cmpuint (fixture->elected, ==, 0);
  /* The lease is revoked, so that a late copy of the transaction cannot write the leader key. */
  assert_call (fixture, "DELETE", "/grants/7");
}

/* A transaction without a response may have been carried out. If the controller aborted the
   campaign without checking, the leader key could name a controller that does not lead. */
static void
test_unanswered_write_is_checked (Fixture *fixture, gconstpointer data)
{
  (void)data;
  campaign_until_write (fixture);
  respond_to_last_call (fixture, 0, NULL);
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (
      fixture, 200,
      make_entry_body ("leader", mh_leader_record_write (NODE, 1000001, LEASE_ID), 11));
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_LOADING);
  g_assert_cmpuint (mh_election_key_version (fixture->election), ==, 11);
}

/* An earlier process of the controller wrote the leader key with the same name and epoch, but with
   a lease that nobody renews. Another controller may be elected as soon as that lease expires, so
   this one must not lead. */
static void
test_key_of_earlier_process_is_not_own (Fixture *fixture, gconstpointer data)
{
  (void)data;
  campaign_until_write (fixture);
  respond_to_last_call (fixture, 0, NULL);
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (
      fixture, 200,
      make_entry_body ("leader", mh_leader_record_write (NODE, 1000001, LEASE_ID - 1), 11));
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_FOLLOWING);
  g_assert_cmpuint (fixture->elected, ==, 0);
}

/* If another controller is elected first, the campaign must end, and the leader key must be read
   again later. */
static void
test_conflict_ends_campaign (Fixture *fixture, gconstpointer data)
{
  (void)data;
  campaign_until_write (fixture);
  respond_to_last_call (fixture, 409, NULL);
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_FOLLOWING);
  assert_call (fixture, "DELETE", "/grants/7");
  assert_no_call (fixture);
  advance (fixture, 20000);
  step (fixture);
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (fixture, 200,
                        make_entry_body ("leader", mh_leader_record_write (OTHER, 1000001, 8), 12));
  assert_call (fixture, "GET", "/watch?starts=leader&since=12&hold_ms=5000");
  g_assert_cmpstr (mh_election_other_leader (fixture->election), ==, OTHER);
  g_assert_true (mh_election_is_ready (fixture->election));
}

/* A controller that restarts before the lease of its earlier process has expired must campaign at
   once, because it would wait for nothing. The transaction is conditional on both keys, so that a
   transaction that the earlier process still has in flight cannot be carried out as well. */
static void
test_own_key_is_replaced (Fixture *fixture, gconstpointer data)
{
  (void)data;
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (
      fixture, 200, make_entry_body ("leader", mh_leader_record_write (NODE, 1, LEASE_ID - 1), 5));
  assert_call (fixture, "POST", "/grants");
  respond_to_last_call (fixture, 200, make_number_body ("claim", LEASE_ID));
  assert_call (fixture, "GET", "/kv/epoch");
  respond_to_last_call (fixture, 200,
                        make_entry_body ("epoch", mh_epoch_record_write (1000000), 3));
  g_autoptr (MhAction) action = pop_call (fixture);
  const MhValue *conditions = mh_value_get (action->request->body, "if");
  const guint64 versions[] = { 5, 3 };
  g_assert_cmpuint (mh_value_list_length (conditions), ==, G_N_ELEMENTS (versions));
  for (guint i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      guint64 version = 0;
      g_assert_true (mh_value_get_uint (mh_value_at (conditions, i), "stamp", &version));
      g_assert_cmpuint (version, ==, versions[i]);
    }
}

/* A leader key that cannot be decoded was written by another version. This controller must neither
   lead at the same time nor forward users to an invented name. When the key is deleted, it may
   campaign. */
static void
test_unreadable_key_is_watched (Fixture *fixture, gconstpointer data)
{
  (void)data;
  assert_call (fixture, "GET", "/kv/leader");
  respond_to_last_call (fixture, 200, make_entry_body ("leader", make_number_body ("epoch", 1), 5));
  assert_call (fixture, "GET", "/watch?starts=leader&since=5&hold_ms=5000");
  g_assert_null (mh_election_leader_name (fixture->election));
  MhValue *event = make_number_body ("stamp", 6);
  mh_value_set_text (event, "drop", "leader");
  MhValue *events = mh_value_new_list ();
  mh_value_push (events, event);
  MhValue *body = make_number_body ("ledger", 6);
  mh_value_set (body, "news", events);
  respond_to_last_call (fixture, 200, body);
  assert_call (fixture, "POST", "/grants");
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_CAMPAIGNING);
}

/* The lease may lapse while a renewal is in flight. No decision may depend on it then, and waiting
   users must be answered. If the renewal succeeds late, no other controller has been elected, and
   the leadership continues. */
static void
test_lease_expires_while_renewing (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  advance (fixture, VALID_LEASE_US);
  step (fixture);
  g_assert_false (mh_election_is_leader (fixture->election));
  g_assert_true (mh_election_is_elected (fixture->election));
  g_assert_cmpint (mh_runtime_lease_until_us (fixture->runtime), ==, 0);
  g_assert_cmpuint (fixture->refused, ==, 1);
  respond_to_last_call (fixture, 200, NULL);
  g_assert_cmpint (fixture->renewal_before_lapse_us, ==, START_US);
  /* The renewal counts from the time at which it was sent, so it has lapsed already. */
  g_assert_false (mh_election_is_leader (fixture->election));
  assert_call (fixture, "POST", "/grants/7/extend");
  respond_to_last_call (fixture, 200, NULL);
  g_assert_true (mh_election_is_serving (fixture->election));
  g_assert_cmpuint (fixture->cleared, ==, 0);
}

/* If the lease no longer exists in the store, another controller may lead already, so this one must
   step down. */
static void
test_lost_lease_ends_leadership (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  respond_to_last_call (fixture, 404, NULL);
  g_assert_cmpint (mh_election_state (fixture->election), ==, MH_LEADERSHIP_FOLLOWING);
  g_assert_cmpuint (fixture->cleared, ==, 1);
  g_assert_cmpuint (fixture->refused, ==, 1);
  g_assert_cmpuint (mh_election_epoch (fixture->election), ==, 0);
  g_assert_null (mh_election_leader_name (fixture->election));
  /* Late responses and events of the lost leadership have no effect. */
  respond_to_last_call (fixture, 200, NULL);
  mh_election_handle_records_loaded (fixture->election);
  g_assert_cmpuint (fixture->leading, ==, 1);
  g_assert_false (mh_election_is_leader (fixture->election));
}

/* A leader that transfers its leadership because it cannot do its work would be elected again at
   once if it did not let other controllers campaign first. */
static void
test_transfer_delays_own_campaign (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  mh_election_transfer_leadership (fixture->election, MH_LOSS_NO_HEARTBEATS);
  g_assert_true (mh_election_is_stepping_down (fixture->election));
  g_assert_false (mh_election_is_leader (fixture->election));
  step (fixture);
  assert_call (fixture, "DELETE", "/grants/7");
  for (guint i = 0; i < 2; i++)
    {
      advance (fixture, MH_SECOND_US);
      step (fixture);
      assert_call (fixture, "GET", "/kv/leader");
      respond_to_last_call (fixture, 404, NULL);
      if (i == 0)
        assert_no_call (fixture);
    }
  assert_call (fixture, "POST", "/grants");
}

/* A transfer after a step-down must not revoke the lease, which must expire in the store. A late
   response to a renewal of the former leadership must not make its lease valid again. */
static void
test_transfer_after_step_down_is_ignored (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  mh_election_step_down (fixture->election, MH_LOSS_ANOTHER_LEADER);
  mh_election_transfer_leadership (fixture->election, MH_LOSS_NO_HEARTBEATS);
  step (fixture);
  assert_no_call (fixture);
  respond_to_last_call (fixture, 200, NULL);
  g_assert_cmpint (mh_election_lease_until_us (fixture->election), ==, 0);
}

/* A former leader that is cut off from the store must step down when it learns of a higher epoch,
   or it would keep its workers. A late announcement must neither make the current leader step down
   nor reinstate a former one. */
static void
test_announcements (Fixture *fixture, gconstpointer data)
{
  (void)data;
  become_leader (fixture);
  assert_no_call (fixture);
  g_assert_cmpuint (fixture->announcements, ==, 1);
  mh_election_handle_announcement (fixture->election, OTHER, 1000001);
  mh_election_handle_announcement (fixture->election, NODE, 3000001);
  g_assert_true (mh_election_is_serving (fixture->election));
  mh_election_handle_announcement (fixture->election, OTHER, 2000001);
  g_assert_true (mh_election_is_stepping_down (fixture->election));
  step (fixture);
  g_assert_cmpstr (mh_election_other_leader (fixture->election), ==, OTHER);
  mh_election_handle_announcement (fixture->election, "c3", 1000001);
  g_assert_cmpstr (mh_election_leader_name (fixture->election), ==, OTHER);
}

/* A controller that cannot reach the leader must report itself not ready, or it would keep
   receiving users that it cannot serve. It must become ready again after a while, or it would never
   receive any. */
static void
test_unreachable_leader (void)
{
  MhLeaderContact contact = { 0 };
  g_assert_false (mh_leader_contact_is_ready (&contact, START_US, false));
  contact.leader_confirmed_us = START_US;
  mh_leader_contact_note_unanswered (&contact, START_US);
  mh_leader_contact_note_unanswered (&contact, START_US + 2 * MH_SECOND_US);
  g_assert_true (mh_leader_contact_is_ready (&contact, START_US + MH_SECOND_US, true));
  g_assert_false (mh_leader_contact_is_ready (&contact, START_US + 2 * MH_SECOND_US, true));
  g_assert_true (mh_leader_contact_is_ready (&contact, START_US + 2 * MH_SECOND_US, false));
  g_assert_true (mh_leader_contact_is_ready (&contact, START_US + 6 * MH_SECOND_US, true));
  g_assert_false (mh_leader_contact_is_ready (&contact, START_US + 30 * MH_SECOND_US, false));
  mh_leader_contact_note_answered (&contact, START_US + 31 * MH_SECOND_US);
  g_assert_true (mh_leader_contact_is_ready (&contact, START_US + 32 * MH_SECOND_US, true));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leadership/transitions", test_transitions);
  g_test_add_func ("/lease/starts-when-sent", test_lease_starts_when_sent);
  g_test_add_func ("/leader-contact/unreachable-leader", test_unreachable_leader);
#define ADD(name, func) g_test_add ("/election/" name, Fixture, NULL, set_up, (func), tear_down)
  ADD ("epoch-rises", test_epoch_rises);
  ADD ("late-response-does-not-elect", test_late_response_does_not_elect);
  ADD ("unanswered-write-is-checked", test_unanswered_write_is_checked);
  ADD ("key-of-earlier-process-is-not-own", test_key_of_earlier_process_is_not_own);
  ADD ("conflict-ends-campaign", test_conflict_ends_campaign);
  ADD ("own-key-is-replaced", test_own_key_is_replaced);
  ADD ("unreadable-key-is-watched", test_unreadable_key_is_watched);
  ADD ("lease-expires-while-renewing", test_lease_expires_while_renewing);
  ADD ("lost-lease-ends-leadership", test_lost_lease_ends_leadership);
  ADD ("transfer-delays-own-campaign", test_transfer_delays_own_campaign);
  ADD ("transfer-after-step-down-is-ignored", test_transfer_after_step_down_is_ignored);
  ADD ("announcements", test_announcements);
  return g_test_run ();
}
