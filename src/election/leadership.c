#include "election/leadership.h"

#include <glib.h>

/* The transition table: for each event, the states in which it is allowed and the next state. */
static bool
next_state (MhLeadershipState state, MhLeadershipEvent event, MhLeadershipState *next)
{
  switch (event)
    {
    case MH_LEADERSHIP_EVENT_CAMPAIGN:
      *next = MH_LEADERSHIP_CAMPAIGNING;
      return state == MH_LEADERSHIP_FOLLOWING;
    case MH_LEADERSHIP_EVENT_CAMPAIGN_FAILED:
      *next = MH_LEADERSHIP_FOLLOWING;
      return state == MH_LEADERSHIP_CAMPAIGNING;
    case MH_LEADERSHIP_EVENT_ELECTED:
      *next = MH_LEADERSHIP_LOADING;
      return state == MH_LEADERSHIP_CAMPAIGNING;
    case MH_LEADERSHIP_EVENT_RECORDS_LOADED:
      *next = MH_LEADERSHIP_LEADING;
      return state == MH_LEADERSHIP_LOADING;
    case MH_LEADERSHIP_EVENT_LOST:
      *next = MH_LEADERSHIP_STEPPING_DOWN;
      return state == MH_LEADERSHIP_LOADING || state == MH_LEADERSHIP_LEADING;
    case MH_LEADERSHIP_EVENT_CLEARED:
      *next = MH_LEADERSHIP_FOLLOWING;
      return state == MH_LEADERSHIP_STEPPING_DOWN;
    }
  return false;
}

bool
mh_leadership_state_apply (MhLeadershipState *state, MhLeadershipEvent event)
{
  MhLeadershipState next = MH_LEADERSHIP_FOLLOWING;
  g_return_val_if_fail (state, false);
  if (!next_state (*state, event, &next))
    return false;
  *state = next;
  return true;
}

const char *
mh_loss_reason_text (MhLossReason reason)
{
  static const char *const texts[] = {
    [MH_LOSS_NONE] = "none",
    [MH_LOSS_LEASE_EXPIRED] = "lease_expired",
    [MH_LOSS_ANOTHER_LEADER] = "another_controller_leads",
    [MH_LOSS_ANOTHER_ANNOUNCED] = "another_controller_announced_itself",
    [MH_LOSS_RECORD_REFUSED] = "record_refused_as_malformed",
    [MH_LOSS_RECORD_DIFFERS] = "record_differs_from_what_was_written",
    [MH_LOSS_RECORD_CHANGED] = "record_changed_by_another",
    [MH_LOSS_WRITE_OUTCOME_UNKNOWN] = "write_outcome_unknown",
    [MH_LOSS_UNKNOWN_ATTEMPT] = "worker_runs_unknown_attempt",
    [MH_LOSS_HIGHER_TOKEN] = "worker_saw_higher_token",
    [MH_LOSS_TOKENS_EXHAUSTED] = "fencing_tokens_exhausted",
    [MH_LOSS_NO_HEARTBEATS] = "no_heartbeats",
  };
  return (guint)reason < G_N_ELEMENTS (texts) ? texts[reason] : "unknown";
}
