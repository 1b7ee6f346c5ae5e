/* Whether an action may leave the process. The last check of what the layers above decided, and the
   only one after the decision: the process may have been paused in between. */
#pragma once

#include "runtime/action.h"

/**
 * MhActionAuthority:
 * @MH_AUTHORITY_GRANTED: the action may leave
 * @MH_AUTHORITY_LEASE_ENDED: the leader lease that it depends on has ended since it was decided
 * @MH_AUTHORITY_NO_LEASE: it starts a task or changes machines without a leader lease; no layer may
 * decide that
 *
 * Whether an action may leave, and why not.
 */
typedef enum
{
  MH_AUTHORITY_GRANTED,
  MH_AUTHORITY_LEASE_ENDED,
  MH_AUTHORITY_NO_LEASE
} MhActionAuthority;

/**
 * mh_action_authority_decide:
 * @action: an action that is about to be carried out
 * @mono_us: the monotonic time now
 *
 * Returns: whether it may be carried out
 */
MhActionAuthority
mh_action_authority_decide (const MhAction *action, gint64 mono_us);
