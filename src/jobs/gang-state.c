#include "jobs/gang-state.h"

bool
mh_gang_state_next (MhGangState state, MhGangEvent event, MhGangState *next)
{
  bool is_ending = state == MH_GANG_STATE_ENDING;
  *next = state;
  switch (event)
    {
    case MH_GANG_EVENT_RESTORED:
      if (state != MH_GANG_STATE_IDLE)
        return false;
      *next = MH_GANG_STATE_PLACED;
      return true;
    case MH_GANG_EVENT_PLACED:
      if (is_ending)
        return false;
      *next = MH_GANG_STATE_PLACED;
      return true;
    case MH_GANG_EVENT_TASK_GATHERING:
      if (is_ending)
        return false;
      *next = MH_GANG_STATE_GATHERING;
      return true;
    case MH_GANG_EVENT_TASK_LOST:
    case MH_GANG_EVENT_STOP_REQUESTED:
      *next = MH_GANG_STATE_ENDING;
      return true;
    case MH_GANG_EVENT_COMPLETED:
    case MH_GANG_EVENT_GONE:
      *next = MH_GANG_STATE_IDLE;
      return true;
    }
  return false;
}

bool
mh_gang_state_apply (MhJobGang *gang, MhGangEvent event, gint64 now_us)
{
  MhGangState next;
  if (!mh_gang_state_next (gang->state, event, &next))
    return false;
  if (next == MH_GANG_STATE_GATHERING && gang->state != MH_GANG_STATE_GATHERING)
    gang->gathering_since_us = now_us;
  gang->state = next;
  return true;
}
