/* Whether this controller can be of use to users: it knows of a usable leader and can reach it. The
   load balancer sends users only to controllers that say so. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhLeaderContact:
 * @usable_us: steady time at which a usable leader was last known; 0: never
 * @unanswered_since_us: steady time of the first users' request of those that the leader has left
 * unanswered since it answered one; 0: none
 * @last_unanswered_us: steady time of the last of these
 *
 * What is known of the way to the leader.
 */
typedef struct
{
  gint64 usable_us;
  gint64 unanswered_since_us;
  gint64 last_unanswered_us;
} MhLeaderContact;

/**
 * mh_leader_contact_note_answered:
 * @contact: a contact
 * @now_us: steady time, in microseconds
 *
 * The leader has answered a request that was passed on to it.
 */
void
mh_leader_contact_note_answered (MhLeaderContact *contact, gint64 now_us);

/**
 * mh_leader_contact_note_unanswered:
 * @contact: a contact
 * @now_us: steady time, in microseconds
 *
 * The leader has not answered a request that was passed on to it.
 */
void
mh_leader_contact_note_unanswered (MhLeaderContact *contact, gint64 now_us);

/**
 * mh_leader_contact_is_ready:
 * @contact: a contact
 * @now_us: steady time, in microseconds
 * @follows_leader: this controller follows a leader that it knows
 *
 * Neither an ordinary change of leader nor an outage of the key-value store must make the load
 * balancer drop the controller: every other one would be dropped with it, and be taken back late.
 * One that cannot reach a leader which is there sends its users elsewhere for a while, and then
 * tries again.
 *
 * Returns: %TRUE if users are served here, by this controller or through it
 */
bool
mh_leader_contact_is_ready (const MhLeaderContact *contact, gint64 now_us, bool follows_leader);
