#include "autoscaler/release-state.h"

#include <glib.h>

/* All valid transitions; any other one is refused. */
static const struct
{
  MhReleaseState from;
  MhReleaseEvent event;
  MhReleaseState next;
} transitions[] = {
  { MH_RELEASE_REQUESTED, MH_RELEASE_EVENT_BATCHED, MH_RELEASE_RECORDING },
  { MH_RELEASE_RECORDING, MH_RELEASE_EVENT_RECORD_DURABLE, MH_RELEASE_DELETING },
  { MH_RELEASE_RECORDING, MH_RELEASE_EVENT_RECORD_UNKNOWN, MH_RELEASE_RECORDING },
  { MH_RELEASE_RECORDING, MH_RELEASE_EVENT_LEADERSHIP_LOST, MH_RELEASE_ABANDONED },
  { MH_RELEASE_DELETING, MH_RELEASE_EVENT_DELETION_CONFIRMED, MH_RELEASE_CONFIRMED },
  { MH_RELEASE_DELETING, MH_RELEASE_EVENT_DELETION_UNKNOWN, MH_RELEASE_DELETING },
};

bool
mh_release_state_advance (MhReleaseState *state, MhReleaseEvent event)
{
  g_return_val_if_fail (state != NULL, false);
  for (guint i = 0; i < G_N_ELEMENTS (transitions); i++)
    if (transitions[i].from == *state && transitions[i].event == event)
      {
        *state = transitions[i].next;
        return true;
      }
  return false;
}
