#include "cluster/machine-state.h"

bool
mh_machine_state_apply (MhMachineState *state, MhMachineEvent event)
{
  MhMachineState before = *state;
  if (before == MH_MACHINE_RELEASED)
    return false;
  switch (event)
    {
    case MH_MACHINE_EVENT_REPORTED:
      *state = before == MH_MACHINE_STARTING ? MH_MACHINE_JOINED : before;
      return true;
    case MH_MACHINE_EVENT_DRAIN_STARTED:
      if (before != MH_MACHINE_JOINED)
        return false;
      *state = MH_MACHINE_DRAINING;
      return true;
    case MH_MACHINE_EVENT_DRAIN_CANCELLED:
      if (before != MH_MACHINE_DRAINING)
        return false;
      *state = MH_MACHINE_JOINED;
      return true;
    case MH_MACHINE_EVENT_RELEASE_REQUESTED:
      *state = MH_MACHINE_RELEASING;
      return true;
    /* The cloud's confirmation is proof in every state. */
    case MH_MACHINE_EVENT_RELEASE_CONFIRMED:
      *state = MH_MACHINE_RELEASED;
      return true;
    }
  return false;
}
