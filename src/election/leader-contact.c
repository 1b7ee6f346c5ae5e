#include "election/leader-contact.h"

#include "base/time-units.h"

/* A controller that has had no usable leader for so long is rather cut off by itself. */
#define NO_LEADER_US (30 * MH_SECOND_US)
/* One that cannot reach the leader sends its users elsewhere after the first, and tries again after
   the second. */
#define UNANSWERED_US (MH_SECOND_US * 3 / 2)
#define TRY_AGAIN_US (4 * MH_SECOND_US)

void
mh_leader_contact_note_answered (MhLeaderContact *contact, gint64 now_us)
{
  g_return_if_fail (contact);
  contact->usable_us = now_us;
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
  bool unreachable = follows_leader && contact->unanswered_since_us > 0
                     && now_us - contact->unanswered_since_us > UNANSWERED_US
                     && now_us - contact->last_unanswered_us < TRY_AGAIN_US;
  bool known = contact->usable_us > 0 && now_us - contact->usable_us < NO_LEADER_US;
  return known && !unreachable;
}
