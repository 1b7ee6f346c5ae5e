#include "election/election-state.h"
#include "protocol/key-value-messages.h"

bool
mh_election_apply_event (MhElection *election, MhLeadershipEvent event)
{
  return mh_leadership_state_apply (&election->state, event);
}

void
mh_election_call_store (MhElection *election, MhRequest *request, MhCallOptions options)
{
  options.owner = election;
  mh_call_queue_add (election->calls, request, &options);
}

static void
ignore_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  (void)owner;
  (void)data;
  (void)response;
}

void
mh_election_revoke_lease (MhElection *election)
{
  mh_election_call_store (election, mh_kv_request_revoke_lease (election->lease.id),
                          (MhCallOptions){ .class = MH_CALL_LEASE,
                                           .timeout_us = MH_ELECTION_CALL_TIMEOUT_US,
                                           .func = ignore_response });
}

void
mh_election_schedule_leader_read (MhElection *election, gint64 delay_us)
{
  election->request_pending = false;
  election->next_leader_read_us = mh_runtime_jittered_us (election->runtime, delay_us, delay_us);
}

bool
mh_election_is_own_key (const MhElection *election)
{
  return g_strcmp0 (election->leader_name, mh_runtime_settings (election->runtime)->node_name) == 0;
}

bool
mh_election_set_leader (MhElection *election, const char *node)
{
  if (g_strcmp0 (election->leader_name, node) == 0)
    return false;
  g_free (election->leader_name);
  election->leader_name = g_strdup (node);
  return true;
}
