#include "runtime/action.h"

void
mh_action_free (MhAction *action)
{
  if (action == NULL)
    return;
  mh_request_free (action->request);
  mh_value_unref (action->body);
  g_free (action->node);
  g_free (action->line);
  g_free (action);
}
