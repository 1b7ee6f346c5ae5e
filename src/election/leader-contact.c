#include "election/leader-contact.h"

#include "base/time-units.h"

/* How long a controller stays ready after a leader was last confirmed. After a longer time it is
   more likely that this controller alone is cut off than that there is no leader. */
#define NO_LEADER_GRACE_US (30 * MH_SECOND_US)
/* A controller reports itself not ready once the leader has left forwarded requests unanswered for
   UNANSWERED_GRACE_US. It is ready again, so that it tries the leader again, NOT_READY_HOLD_US
   after the last unanswered request. */
#define UNANSWERED_GRACE_US (MH_SECOND_US * 3 / 2)
#define NOT_READY_HOLD_US (4 * MH_SECOND_US)

void
mh_leader_contact_note_answered (MhLeaderContact *contact, gint64 now_us)
{
  g_return_if_fail (contact);
  contact->leader_confirmed_us = now_us;
  contact->unanswered_since_us = 0;
}

void
mh_leader_contact_note_unanswered (MhLeaderContact *contact, gint64 now_us)
{
  g_return_if_fail (contact);
  contact->last_unanswered_us = now_us;
  if (contact->unanswered_since_us == 0)
    contact->unanswered_since_us = now_us;
}

bool
mh_leader_contact_is_ready (const MhLeaderContact *contact, gint64 now_us, bool follows_leader)
{
  g_return_val_if_fail (contact, false);
  bool is_unreachable = follows_leader && contact->unanswered_since_us > 0
                        && now_us - contact->unanswered_since_us > UNANSWERED_GRACE_US
                        && now_us - contact->last_unanswered_us < NOT_READY_HOLD_US;
  bool is_leader_known = contact->leader_confirmed_us > 0
                         && now_us - contact->leader_confirmed_us < NO_LEADER_GRACE_US;
  return is_leader_known && !is_unreachable;
}
