/* Whether this controller is ready to serve users: a leader is known and can be reached. The load
   balancer sends users only to controllers that report themselves ready. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhLeaderContact:
 * @leader_confirmed_us: monotonic time at which a leader was last confirmed: by the leader key or
 * its watch, an announcement, a response to a forwarded request, or this controller's own
 * leadership; 0: never
 * @unanswered_since_us: monotonic time of the first forwarded request that the leader did not
 * answer since it last answered one; 0: none, or the leader has changed since
 * @last_unanswered_us: monotonic time of the last forwarded request that the leader did not answer
 *
 * What this controller knows about the leader and its reachability.
 */
typedef struct
{
  gint64 leader_confirmed_us;
  gint64 unanswered_since_us;
  gint64 last_unanswered_us;
} MhLeaderContact;

/**
 * mh_leader_contact_note_answered:
 * @contact: a contact
 * @now_us: monotonic time, in microseconds
 *
 * Records that the leader answered a forwarded request.
 */
void
mh_leader_contact_note_answered (MhLeaderContact *contact, gint64 now_us);

/**
 * mh_leader_contact_note_unanswered:
 * @contact: a contact
 * @now_us: monotonic time, in microseconds
 *
 * Records that the leader did not answer a forwarded request.
 */
void
mh_leader_contact_note_unanswered (MhLeaderContact *contact, gint64 now_us);

/**
 * mh_leader_contact_is_ready:
 * @contact: a contact
 * @now_us: monotonic time, in microseconds
 * @follows_leader: this controller follows a leader that it knows
 *
 * A controller stays ready through an ordinary failover and through an outage of the key-value
 * store: these affect all controllers at once, so the load balancer would drop every one of them
 * and readmit them late. A controller that cannot reach an existing leader reports itself not ready
 * for a while, so that its users go to another controller, and then tries again.
 *
 * Returns: %TRUE if this controller can serve users, itself or by forwarding
 */
bool
mh_leader_contact_is_ready (const MhLeaderContact *contact, gint64 now_us, bool follows_leader);
