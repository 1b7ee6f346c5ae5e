#include "cluster/attempt-state.h"

/* A start goes out again until the worker shows the attempt: the first one may have been lost. */
static bool
may_send_start (MhAttemptState state)
{
  return state == MH_ATTEMPT_RECORDED || state == MH_ATTEMPT_START_IN_FLIGHT;
}

bool
mh_attempt_state_after (MhAttemptState *state, MhAttemptEvent event)
{
  bool stopping = *state == MH_ATTEMPT_STOPPING;
  if (*state == MH_ATTEMPT_OVER)
    return false;
  switch (event)
    {
    case MH_ATTEMPT_EVENT_START_SENT:
      if (!may_send_start (*state))
        return false;
      *state = MH_ATTEMPT_START_IN_FLIGHT;
      return true;
    case MH_ATTEMPT_EVENT_START_REFUSED:
      if (*state != MH_ATTEMPT_START_IN_FLIGHT)
        return stopping;
      *state = MH_ATTEMPT_RECORDED;
      return true;
    case MH_ATTEMPT_EVENT_SHOWN_WAITING:
      *state = stopping ? MH_ATTEMPT_STOPPING : MH_ATTEMPT_FETCHING;
      return true;
    case MH_ATTEMPT_EVENT_SHOWN_RUNNING:
      *state = stopping ? MH_ATTEMPT_STOPPING : MH_ATTEMPT_RUNNING;
      return true;
    case MH_ATTEMPT_EVENT_STOP_WANTED:
      *state = MH_ATTEMPT_STOPPING;
      return true;
    case MH_ATTEMPT_EVENT_PROVEN_OVER:
      *state = MH_ATTEMPT_OVER;
      return true;
    }
  return false;
}
