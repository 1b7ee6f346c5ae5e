/* See production-core.h. This file is compiled against the sources of the version in production,
   never against those of this version. */
#include "production-core.h"

#include "core.h"

struct ProductionCore
{
  MhSettings *settings;
  MhCore *core;
};

static MhNow
to_now (const ProductionNow *now)
{
  return (MhNow){ .mono_us = now->mono_us, .wall_us = now->wall_us, .jitter = now->jitter };
}

static MhValue *
to_value (GBytes *bytes)
{
  if (bytes == NULL)
    return NULL;
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  MhValue *value = mh_value_load (data, size);
  g_assert_nonnull (value);
  return value;
}

ProductionCore *
production_core_new (const char *settings_path, const ProductionNow *now)
{
  g_autoptr (GError) error = NULL;
  ProductionCore *self = g_new0 (ProductionCore, 1);
  self->settings = mh_settings_load (settings_path, NULL, &error);
  g_assert_no_error (error);
  MhNow at = to_now (now);
  self->core = mh_core_new (self->settings, &at);
  return self;
}

void
production_core_free (ProductionCore *self)
{
  if (self == NULL)
    return;
  mh_core_free (self->core);
  mh_settings_free (self->settings);
  g_free (self);
}

void
production_core_tick (ProductionCore *self, const ProductionNow *now)
{
  MhNow at = to_now (now);
  mh_core_tick (self->core, &at);
}

void
production_core_user (ProductionCore *self, const ProductionNow *now, guint64 id, guint verb,
                      const char *job, GBytes *submission, bool forwarded)
{
  MhNow at = to_now (now);
  g_autoptr (MhValue) value = to_value (submission);
  MhJobSpec *spec = value ? mh_wire_read_submission (value) : NULL;
  g_assert_true (value == NULL || spec != NULL);
  mh_core_user (self->core, &at, id, (MhUserVerb)verb, job, spec, forwarded);
}

void
production_core_report (ProductionCore *self, const ProductionNow *now, guint64 id, GBytes *bytes)
{
  MhNow at = to_now (now);
  g_autoptr (MhValue) value = to_value (bytes);
  g_autoptr (MhReport) report = mh_wire_read_report (value);
  g_assert_nonnull (report);
  mh_core_hello (self->core, &at, id, report);
}

void
production_core_reply (ProductionCore *self, const ProductionNow *now, guint64 id, guint status,
                       GBytes *body)
{
  MhNow at = to_now (now);
  g_autoptr (MhValue) value = to_value (body);
  mh_core_reply (self->core, &at, id, status, value);
}

void
production_core_forwarded (ProductionCore *self, const ProductionNow *now, guint64 id,
                           const ProductionAnswer *answer)
{
  MhNow at = to_now (now);
  MhUserAnswer given = {};
  if (answer)
    given = (MhUserAnswer){ .status = answer->status,
                            .retry_after_s = answer->retry_after_s,
                            .state = (MhJobState)answer->state,
                            .done = answer->done,
                            .running = answer->running };
  mh_core_forwarded (self->core, &at, id, answer ? &given : NULL);
}

void
production_core_leader_announced (ProductionCore *self, const ProductionNow *now, const char *node,
                                  guint64 epoch)
{
  MhNow at = to_now (now);
  mh_core_news (self->core, &at, node, epoch);
}

static const ProductionActionKind kinds[] = {
  [MH_ACTION_CALL] = PRODUCTION_CALL,
  [MH_ACTION_TELL] = PRODUCTION_ANNOUNCE_LEADER,
  [MH_ACTION_FORWARD] = PRODUCTION_FORWARD,
  [MH_ACTION_ANSWER_USER] = PRODUCTION_ANSWER_USER,
  [MH_ACTION_ANSWER_HELLO] = PRODUCTION_ANSWER_REPORT,
  [MH_ACTION_LOG] = PRODUCTION_LOG,
};
static const ProductionTarget targets[] = {
  [MH_TARGET_STATE] = PRODUCTION_STATE_SERVICE,
  [MH_TARGET_CLOUD] = PRODUCTION_CLOUD,
  [MH_TARGET_WORKER] = PRODUCTION_WORKER,
};

static void
copy_request (const MhRequest *request, ProductionAction *action)
{
  action->target = targets[request->target];
  action->method = g_strdup (request->method);
  action->endpoint = g_strdup (request->endpoint);
  action->path = g_strdup (request->path);
  action->body = request->body ? mh_value_save (request->body) : NULL;
}

bool
production_core_pop (ProductionCore *self, gint64 mono_us, ProductionAction *action)
{
  g_autoptr (MhAction) popped = mh_core_pop (self->core, mono_us);
  if (popped == NULL)
    return false;
  *action = (ProductionAction){ .kind = kinds[popped->kind],
                                .id = popped->id,
                                .timeout_us = popped->timeout_us,
                                .status = popped->status,
                                .text = g_strdup (popped->text) };
  action->answer = (ProductionAnswer){ .status = popped->answer.status,
                                       .retry_after_s = popped->answer.retry_after_s,
                                       .state = (guint)popped->answer.state,
                                       .done = popped->answer.done,
                                       .running = popped->answer.running };
  if (popped->request)
    copy_request (popped->request, action);
  else if (popped->body)
    action->body = mh_value_save (popped->body);
  return true;
}

gint64
production_core_next_wake (const ProductionCore *self)
{
  return mh_core_next_wake (self->core);
}

bool
production_core_ready (const ProductionCore *self)
{
  return mh_core_ready (self->core);
}

bool
production_core_leads (const ProductionCore *self)
{
  return mh_core_leads (self->core);
}

bool
production_reads_submission (GBytes *submission)
{
  gsize size;
  const void *data = g_bytes_get_data (submission, &size);
  g_autoptr (MhValue) value = mh_value_load (data, size);
  MhJobSpec *spec = value ? mh_wire_read_submission (value) : NULL;
  bool is_read = spec != NULL;
  mh_job_spec_free (spec);
  return is_read;
}
