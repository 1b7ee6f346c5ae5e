#include "cluster/attempt-state.h"

/* A start is sent again until the worker reports the attempt, since the first one may be lost. */
static bool
can_send_start (MhAttemptState state)
{
  return state == MH_ATTEMPT_PLACED || state == MH_ATTEMPT_START_IN_FLIGHT;
}

bool
mh_attempt_state_apply (MhAttemptState *state, MhAttemptEvent event)
{
  bool stopping = *state == MH_ATTEMPT_STOPPING;
  if (*state == MH_ATTEMPT_ENDED)
    return false;
  switch (event)
    {
    case MH_ATTEMPT_EVENT_START_SENT:
      if (!can_send_start (*state))
        return false;
      *state = MH_ATTEMPT_START_IN_FLIGHT;
      return true;
    case MH_ATTEMPT_EVENT_START_REFUSED:
      if (*state != MH_ATTEMPT_START_IN_FLIGHT)
        return stopping;
      *state = MH_ATTEMPT_PLACED;
      return true;
    case MH_ATTEMPT_EVENT_REPORTED_WAITING:
      *state = stopping ? MH_ATTEMPT_STOPPING : MH_ATTEMPT_WAITING;
      return true;
    case MH_ATTEMPT_EVENT_REPORTED_RUNNING:
      *state = stopping ? MH_ATTEMPT_STOPPING : MH_ATTEMPT_RUNNING;
      return true;
    case MH_ATTEMPT_EVENT_STOP_REQUESTED:
      *state = MH_ATTEMPT_STOPPING;
      return true;
    case MH_ATTEMPT_EVENT_PROVEN_ENDED:
      *state = MH_ATTEMPT_ENDED;
      return true;
    }
  return false;
}
