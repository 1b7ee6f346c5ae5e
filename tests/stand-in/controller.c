#include "stand-in/controller.h"

#include "controller/status.h"

#include "production/production-core.h"
#include "protocol/worker-messages.h"

#include <glib/gstdio.h>
#include <unistd.h>

struct Controller
{
  MhCore *core;               /* of this version; NULL: the controller has the other version */
  ProductionCore *production; /* of the version in production; NULL: the controller has this version
                               */
};

/* ---- settings, written as platform settings ---- */

static void
write_members (GString *text, const MhSettings *settings)
{
  for (guint i = 0; i < settings->members->len; i++)
    {
      const MhMember *member = g_ptr_array_index (settings->members, i);
      g_string_append_printf (text, "[[members]]\nnode_name = \"%s\"\nendpoint = \"%s\"\n",
                              member->name, member->endpoint);
    }
}

static void
write_teams (GString *text, const MhSettings *settings)
{
  for (guint i = 0; i < settings->teams->len; i++)
    {
      const MhTeam *team = g_ptr_array_index (settings->teams, i);
      g_string_append_printf (text,
                              "[[settings.teams]]\nname = \"%s\"\n"
                              "cpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f\n",
                              team->name, team->cpus, team->cpus_max, team->gpus, team->gpus_max);
    }
}

static double
seconds (gint64 time_us)
{
  return (double)time_us / MH_SECOND_US;
}

static void
write_limits (GString *text, const MhSettings *settings)
{
  g_string_append_printf (text,
                          "[settings.workers]\nreport_s = %f\nlease_s = %f\ncancel_s = %f\n"
                          "gang_wait_s = %f\ngang_peer_s = %f\n",
                          seconds (settings->heartbeat_interval_us),
                          seconds (settings->worker_lease_us), seconds (settings->cancel_limit_us),
                          seconds (settings->gang_wait_us), seconds (settings->gang_peer_us));
  g_string_append_printf (text,
                          "[settings.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\n"
                          "txn_ops = %u\n",
                          settings->store_rps, settings->store_write_rps,
                          settings->value_bytes / 1024.0, settings->txn_ops);
  if (settings->next_write_rps > 0)
    g_string_append_printf (text, "[settings.state.next]\nwrite_rps = %f\n",
                            settings->next_write_rps);
  g_string_append_printf (text, "[settings.cloud]\nrps = %f\nlist_lag_s = %f\n",
                          settings->cloud_rps, seconds (settings->list_lag_us));
}

static char *
write_settings (const MhSettings *settings)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_string_append_printf (
      text, "node_name = \"%s\"\nzone = \"%s\"\nfront = \"%s\"\npeer_bind = \"%s\"\n",
      settings->node_name, settings->zone, settings->front, settings->peer_bind);
  write_members (text, settings);
  g_string_append_printf (text, "[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n", settings->cloud,
                          settings->key_value_store);
  write_teams (text, settings);
  write_limits (text, settings);

  g_autoptr (GError) error = NULL;
  char *path = NULL;
  int file = g_file_open_tmp ("minthill-XXXXXX.toml", &path, &error);
  g_assert_no_error (error);
  close (file);
  g_file_set_contents (path, text->str, (gssize)text->len, &error);
  g_assert_no_error (error);
  return path;
}

/* ---- conversions ---- */

static ProductionNow
to_production (const MhNow *now)
{
  return (ProductionNow){ .mono_us = now->mono_us, .wall_us = now->wall_us, .jitter = now->jitter };
}

static GBytes *
to_bytes (const MhValue *value)
{
  return value ? mh_value_serialize (value) : NULL;
}

static MhValue *
to_value (GBytes *bytes)
{
  gsize size;
  if (bytes == NULL)
    return NULL;
  const void *data = g_bytes_get_data (bytes, &size);
  MhValue *value = mh_value_parse (data, size, NULL);
  g_assert_nonnull (value);
  return value;
}

static const MhActionKind kinds[] = {
  [PRODUCTION_CALL] = MH_ACTION_SEND_REQUEST,
  [PRODUCTION_ANNOUNCE_LEADER] = MH_ACTION_ANNOUNCE_LEADER,
  [PRODUCTION_FORWARD] = MH_ACTION_FORWARD_USER_REQUEST,
  [PRODUCTION_ANSWER_USER] = MH_ACTION_RESPOND_TO_USER,
  [PRODUCTION_ANSWER_REPORT] = MH_ACTION_RESPOND_TO_HEARTBEAT,
  [PRODUCTION_LOG] = MH_ACTION_LOG,
};
static const MhTarget targets[] = {
  [PRODUCTION_STATE_SERVICE] = MH_TARGET_KEY_VALUE_STORE,
  [PRODUCTION_CLOUD] = MH_TARGET_CLOUD,
  [PRODUCTION_WORKER] = MH_TARGET_WORKER,
};

static MhRequest *
to_request (ProductionAction *popped, MhValue *body)
{
  MhRequest *request = g_new0 (MhRequest, 1);
  request->target = targets[popped->target];
  request->method = g_intern_string (popped->method);
  request->endpoint = g_steal_pointer (&popped->endpoint);
  request->path = g_steal_pointer (&popped->path);
  request->body = body;
  return request;
}

static MhAction *
to_action (ProductionAction *popped)
{
  MhAction *action = g_new0 (MhAction, 1);
  MhValue *body = to_value (popped->body);
  action->kind = kinds[popped->kind];
  action->id = popped->id;
  action->timeout_us = popped->timeout_us;
  action->status = popped->status;
  char **text = action->kind == MH_ACTION_LOG ? &action->line : &action->node;
  *text = g_steal_pointer (&popped->text);
  action->response = (MhUserResponse){ .status = popped->answer.status,
                                       .retry_after_s = popped->answer.retry_after_s,
                                       .state = (MhJobState)popped->answer.state,
                                       .done = popped->answer.done,
                                       .running = popped->answer.running };
  if (action->kind == MH_ACTION_SEND_REQUEST)
    action->request = to_request (popped, body);
  else
    action->body = body;
  g_clear_pointer (&popped->body, g_bytes_unref);
  g_free (popped->method);
  g_free (popped->endpoint);
  g_free (popped->path);
  return action;
}

/* ---- the controller ---- */

Controller *
controller_new (ControllerVersion version, const MhSettings *settings, const MhNow *now)
{
  Controller *self = g_new0 (Controller, 1);
  if (version == CONTROLLER_CURRENT)
    {
      self->core = mh_core_new (settings, now);
      return self;
    }
  ProductionNow production_now = to_production (now);
  g_autofree char *path = write_settings (settings);
  self->production = production_core_new (path, &production_now);
  g_remove (path);
  return self;
}

void
controller_free (Controller *self)
{
  if (self == NULL)
    return;
  mh_core_free (self->core);
  production_core_free (self->production);
  g_free (self);
}

void
controller_tick (Controller *self, const MhNow *now)
{
  ProductionNow production_now = to_production (now);
  if (self->core)
    mh_core_tick (self->core, now);
  else
    production_core_tick (self->production, &production_now);
}

void
controller_user_request (Controller *self, const MhNow *now, const MhUserRequest *request)
{
  if (self->core)
    {
      mh_core_receive_user_request (self->core, now, request);
      return;
    }
  ProductionNow production_now = to_production (now);
  g_autoptr (MhValue) value = request->spec ? mh_submission_encode (request->spec) : NULL;
  g_autoptr (GBytes) submission = to_bytes (value);
  mh_job_spec_free (request->spec);
  production_core_user (self->production, &production_now, request->id, (guint)request->verb,
                        request->job_id, submission, request->forwarded);
}

void
controller_heartbeat (Controller *self, const MhNow *now, guint64 id, const MhValue *value)
{
  if (self->core)
    {
      g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_decode (value, NULL);
      g_assert_nonnull (heartbeat);
      mh_core_receive_heartbeat (self->core, now, id, heartbeat);
      return;
    }
  ProductionNow production_now = to_production (now);
  g_autoptr (GBytes) bytes = to_bytes (value);
  production_core_report (self->production, &production_now, id, bytes);
}

void
controller_call_finished (Controller *self, const MhNow *now, guint64 id, guint status,
                          const MhValue *body)
{
  if (self->core)
    {
      mh_core_receive_response (self->core, now, id, status, body);
      return;
    }
  ProductionNow production_now = to_production (now);
  g_autoptr (GBytes) bytes = to_bytes (body);
  production_core_reply (self->production, &production_now, id, status, bytes);
}

void
controller_forward_finished (Controller *self, const MhNow *now, guint64 id,
                             const MhUserResponse *response)
{
  if (self->core)
    {
      mh_core_receive_forward_response (self->core, now, id, response);
      return;
    }
  ProductionNow production_now = to_production (now);
  ProductionAnswer given = {};
  if (response)
    given = (ProductionAnswer){ .status = response->status,
                                .retry_after_s = response->retry_after_s,
                                .state = (guint)response->state,
                                .done = response->done,
                                .running = response->running };
  production_core_forwarded (self->production, &production_now, id, response ? &given : NULL);
}

void
controller_leader_announced (Controller *self, const MhNow *now, const char *node, guint64 epoch)
{
  ProductionNow production_now = to_production (now);
  if (self->core)
    mh_core_receive_announcement (self->core, now, node, epoch);
  else
    production_core_leader_announced (self->production, &production_now, node, epoch);
}

MhAction *
controller_next_action (Controller *self, gint64 mono_us)
{
  ProductionAction popped;
  if (self->core)
    return mh_core_pop_action (self->core, mono_us);
  return production_core_pop (self->production, mono_us, &popped) ? to_action (&popped) : NULL;
}

gint64
controller_next_wake (const Controller *self)
{
  return self->core ? mh_core_next_wake_up_us (self->core)
                    : production_core_next_wake (self->production);
}

guint64
controller_count (const Controller *self, MhCounter counter)
{
  return self->core ? mh_core_get_count (self->core, counter) : 0;
}

MhCore *
controller_get_core (Controller *self)
{
  return self->core;
}

bool
controller_leads (const Controller *self)
{
  return self->core ? mh_core_is_leader (self->core) : production_core_leads (self->production);
}

bool
controller_ready (const Controller *self)
{
  return self->core ? mh_core_is_ready (self->core) : production_core_ready (self->production);
}
