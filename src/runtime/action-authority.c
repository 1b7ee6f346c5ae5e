#include "runtime/action-authority.h"

#include "protocol/worker-messages.h"

/* Commands to workers, and calls that change something in the cloud. Writes to the key-value store
   carry the conditions of their transaction instead. */
static bool
is_change_outside_store (const MhAction *action)
{
  return action->kind == MH_ACTION_SEND_REQUEST && action->request
         && action->request->target != MH_TARGET_KEY_VALUE_STORE && action->request->body;
}

/* A response to a heartbeat without a start may leave without a lease: it stops tasks, or keeps
 * them. */
static bool
starts_task (const MhAction *action)
{
  return action->kind == MH_ACTION_RESPOND_TO_HEARTBEAT && action->body
         && mh_commands_include_start (action->body);
}

MhActionAuthority
mh_action_authority_decide (const MhAction *action, gint64 mono_us)
{
  g_return_val_if_fail (action, MH_AUTHORITY_NO_LEASE);
  if (action->lease_until_us)
    return mono_us < action->lease_until_us ? MH_AUTHORITY_GRANTED : MH_AUTHORITY_LEASE_ENDED;
  if (is_change_outside_store (action) || starts_task (action))
    return MH_AUTHORITY_NO_LEASE;
  return MH_AUTHORITY_GRANTED;
}
