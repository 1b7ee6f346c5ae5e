#include "stand-in/decision-log.h"

#include "stand-in/simulation.h"

static void
add_text (GChecksum *digest, const char *text)
{
  if (text)
    g_checksum_update (digest, (const guchar *)text, -1);
  g_checksum_update (digest, (const guchar *)"", 1);
}

static void
add_value (GChecksum *digest, const MhValue *value)
{
  g_autoptr (GBytes) bytes = value ? mh_value_serialize (value) : g_bytes_new (NULL, 0);
  gsize size;
  const guchar *data = g_bytes_get_data (bytes, &size);
  add_text (digest, value ? "value" : "none");
  if (size)
    g_checksum_update (digest, data, (gssize)size);
}

static void
add_request (GChecksum *digest, const MhRequest *request)
{
  g_autofree char *target = g_strdup_printf ("%d", (int)request->target);
  add_text (digest, target);
  add_text (digest, request->method);
  add_text (digest, request->endpoint);
  add_text (digest, request->path);
  add_value (digest, request->body);
}

void
decision_log_add_action (const ControllerNode *node, const MhAction *action)
{
  GChecksum *digest = node->simulation->digest;
  if (digest == NULL || action->kind == MH_ACTION_LOG)
    return;
  const MhUserResponse *response = &action->response;
  g_autofree char *line
      = g_strdup_printf ("%" G_GINT64_FORMAT " %s %d %" G_GUINT64_FORMAT " %" G_GINT64_FORMAT
                         " %u %" G_GINT64_FORMAT " %u %u %d %u %u %s",
                         node->simulation->clock->now_us, node->name, (int)action->kind, action->id,
                         action->timeout_us, action->status, action->lease_until_us,
                         response->status, response->retry_after_s, (int)response->state,
                         response->done, response->running, action->node ? action->node : "");
  add_text (digest, line);
  add_value (digest, action->body);
  if (action->request)
    add_request (digest, action->request);
}

void
decision_log_add_state (Simulation *simulation)
{
  if (simulation->digest == NULL)
    return;
  g_autoptr (GString) state = g_string_new (NULL);
  environment_describe (simulation->environment, state);
  add_text (simulation->digest, state->str);
}
