#include "election/leadership.h"

#include <glib.h>

/* For each event the states in which it is allowed, and the state that follows. */
static bool
next_state (MhLeadership state, MhLeadershipEvent event, MhLeadership *next)
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
mh_leadership_apply (MhLeadership *state, MhLeadershipEvent event)
{
  MhLeadership next = MH_LEADERSHIP_FOLLOWING;
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
    [MH_LOSS_LEASE_EXPIRED] = "lease-expired",
    [MH_LOSS_ANOTHER_LEADER] = "another-controller-leads",
    [MH_LOSS_ANOTHER_ANNOUNCED] = "another-controller-announced-itself",
    [MH_LOSS_RECORD_REFUSED] = "record-refused-as-malformed",
    [MH_LOSS_RECORD_DIFFERS] = "record-differs-from-what-was-written",
    [MH_LOSS_RECORD_CHANGED] = "record-changed-by-another",
    [MH_LOSS_WRITE_OUTCOME_UNKNOWN] = "write-outcome-unknown",
    [MH_LOSS_UNKNOWN_ATTEMPT] = "worker-runs-unknown-attempt",
    [MH_LOSS_HIGHER_TOKEN] = "worker-saw-higher-token",
    [MH_LOSS_TOKENS_EXHAUSTED] = "fencing-tokens-exhausted",
    [MH_LOSS_NO_HEARTBEATS] = "no-heartbeats",
  };
  return (guint)reason < G_N_ELEMENTS (texts) ? texts[reason] : "unknown";
}
