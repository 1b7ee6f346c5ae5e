#include "protocol/worker-messages.h"
#include "protocol/field.h"
#include "protocol/job-spec.h"
#include "base/time-units.h"

#include <string.h>

static const MhEnumName phase_names[] = { { "pulling", MH_TASK_PHASE_FETCHING_IMAGE },
                                          { "gathering", MH_TASK_PHASE_WAITING_FOR_GANG },
                                          { "running", MH_TASK_PHASE_RUNNING },
                                          { "saving", MH_TASK_PHASE_CHECKPOINTING },
                                          { "ended", MH_TASK_PHASE_ENDED },
                                          {} };

static const MhEnumName end_reason_names[] = { { "done", MH_TASK_END_COMPLETED },
                                               { "stopped", MH_TASK_END_STOPPED },
                                               { "error", MH_TASK_END_FAILED },
                                               { "full", MH_TASK_END_INSUFFICIENT_RESOURCES },
                                               { "in_use", MH_TASK_END_OTHER_ATTEMPT },
                                               { "no_such", MH_TASK_END_UNKNOWN_TASK },
                                               { "peers", MH_TASK_END_GANG_MEMBER_LOST },
                                               { "incomplete", MH_TASK_END_GANG_INCOMPLETE },
                                               {} };

static const MhEnumName command_names[] = {
  { "run", MH_COMMAND_START }, { "kill", MH_COMMAND_STOP }, { "clear", MH_COMMAND_CLEAR }, {}
};

#define MEMBER(name) .offset = offsetof (MhHeartbeat, name)

/* PROTOCOL, "POST /hello". decode_notice() reads "warning_s", and decode_tasks() reads "legs". */
static const MhField heartbeat_fields[] = {
  { "box", MH_FIELD_NAME, MEMBER (machine) },
  { "endpoint", MH_FIELD_NAME, MEMBER (endpoint) },
  { "rack", MH_FIELD_NAME, MEMBER (type) },
  { "hall", MH_FIELD_NAME, MEMBER (zone) },
  { "standby", MH_FIELD_FLAG, MH_FIELD_OPTIONAL, MEMBER (spot) },
  { "tenure", MH_FIELD_UINT, MEMBER (incarnation) },
  { "tick", MH_FIELD_UINT, MEMBER (sequence) },
  { "epoch", MH_FIELD_UINT, MEMBER (fencing_token) },
};

#undef MEMBER
#define MEMBER(name) .offset = offsetof (MhTaskStatus, name)

/* An item of "legs". decode_task_id() reads "leg", which contains the job id and the index, and
   ended_task_fields describes "cause", which only ended attempts have. */
static const MhField task_fields[] = {
  { "try", MH_FIELD_UINT, MEMBER (attempt) },
  { "status", MH_FIELD_ENUM, MEMBER (phase), .enum_names = phase_names },
};

static const MhField ended_task_fields[] = {
  { "cause", MH_FIELD_ENUM, MEMBER (end_reason), .enum_names = end_reason_names },
};

static void
task_status_clear (gpointer data)
{
  MhTaskStatus *task = data;
  g_free (task->job);
}

MhHeartbeat *
mh_heartbeat_new (void)
{
  MhHeartbeat *heartbeat = g_new0 (MhHeartbeat, 1);
  heartbeat->tasks = g_array_new (FALSE, FALSE, sizeof (MhTaskStatus));
  g_array_set_clear_func (heartbeat->tasks, task_status_clear);
  heartbeat->notice_us = -1;
  return heartbeat;
}

void
mh_heartbeat_free (MhHeartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return;
  g_free (heartbeat->machine);
  g_free (heartbeat->endpoint);
  g_free (heartbeat->type);
  g_free (heartbeat->zone);
  g_array_unref (heartbeat->tasks);
  g_free (heartbeat);
}

/* The format is JOB/INDEX, for example "j-000412/3". */
static bool
decode_task_id (const MhValue *map, MhTaskStatus *task, GError **error)
{
  g_autofree char *text = mh_field_get_text (map, "leg", error);
  if (text == NULL)
    return false;
  char *slash = strrchr (text, '/');
  guint64 index = 0;
  bool valid
      = slash
        && g_ascii_string_to_unsigned (slash + 1, 10, 0, MH_MAX_TASKS_PER_JOB - 1, &index, NULL);
  if (valid)
    {
      *slash = '\0';
      valid = mh_job_id_is_valid (text);
    }
  if (!valid)
    {
      g_set_error_literal (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_INVALID_ID,
                           "leg: invalid task id, expected a job id, a slash and an index");
      return false;
    }
  task->job = g_steal_pointer (&text);
  task->index = (guint)index;
  return true;
}

/* Decodes the id last: the caller need not free `task` when another field is malformed. */
static bool
decode_task (const MhValue *map, MhTaskStatus *task, GError **error)
{
  if (!mh_fields_decode (map, task_fields, G_N_ELEMENTS (task_fields), task, error))
    return false;
  if (task->phase == MH_TASK_PHASE_ENDED
      && !mh_fields_decode (map, ended_task_fields, G_N_ELEMENTS (ended_task_fields), task, error))
    return false;
  return decode_task_id (map, task, error);
}

static bool
decode_tasks (const MhValue *body, GArray *tasks, GError **error)
{
  if (mh_value_get (body, "legs") == NULL)
    return true;
  const MhValue *list = mh_field_get_list (body, "legs", error);
  if (list == NULL)
    return false;
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      MhTaskStatus task = { .end_reason = MH_TASK_END_NONE };
      if (!decode_task (mh_value_at (list, i), &task, error))
        {
          g_prefix_error (error, "legs[%" G_GSIZE_FORMAT "]: ", i);
          return false;
        }
      g_array_append_val (tasks, task);
    }
  return true;
}

/* A number that is not a valid duration, such as a negative one, means that the time has passed. */
static bool
decode_notice (const MhValue *body, gint64 *notice_us, GError **error)
{
  double invalid_duration;
  if (mh_value_get (body, "warning_s") == NULL
      || mh_field_get_duration (body, "warning_s", notice_us, NULL))
    return true;
  *notice_us = 0;
  if (mh_value_get_number (body, "warning_s", &invalid_duration))
    return true;
  g_set_error_literal (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_WRONG_TYPE,
                       "warning_s: wrong type, expected a finite number");
  return false;
}

MhHeartbeat *
mh_heartbeat_decode (const MhValue *body, GError **error)
{
  g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_new ();
  if (!mh_fields_decode (body, heartbeat_fields, G_N_ELEMENTS (heartbeat_fields), heartbeat, error)
      || !decode_notice (body, &heartbeat->notice_us, error)
      || !decode_tasks (body, heartbeat->tasks, error))
    return NULL;
  return g_steal_pointer (&heartbeat);
}

static void
command_clear (gpointer data)
{
  MhCommand *command = data;
  g_free (command->job);
}

GArray *
mh_commands_new (void)
{
  GArray *commands = g_array_new (FALSE, FALSE, sizeof (MhCommand));
  g_array_set_clear_func (commands, command_clear);
  return commands;
}

static MhValue *
encode_command (const MhCommand *command)
{
  g_autofree char *task = g_strdup_printf ("%s/%u", command->job, command->index);
  MhValue *map = mh_value_new_map ();
  mh_value_set_text (map, "verb", mh_enum_name_for_value (command_names, (int)command->kind));
  mh_value_set_text (map, "leg", task);
  mh_value_set_uint (map, "try", command->attempt);
  if (command->kind == MH_COMMAND_STOP)
    mh_value_set_number (map, "wind_down_s", (double)command->grace_us / MH_SECOND_US);
  return map;
}

MhValue *
mh_commands_encode (guint64 fencing_token, const guint64 *incarnation, GArray *commands)
{
  MhValue *list = mh_value_new_list ();
  for (guint i = 0; commands && i < commands->len; i++)
    mh_value_push (list, encode_command (&g_array_index (commands, MhCommand, i)));
  MhValue *body = mh_value_new_map ();
  mh_value_set_uint (body, "epoch", fencing_token);
  if (incarnation)
    mh_value_set_uint (body, "tenure", *incarnation);
  mh_value_set (body, "orders", list);
  return body;
}

bool
mh_commands_include_start (const MhValue *body)
{
  const char *start = mh_enum_name_for_value (command_names, MH_COMMAND_START);
  const MhValue *list = mh_value_get (body, "orders");
  for (gsize i = 0; list && i < mh_value_list_length (list); i++)
    {
      g_autofree char *verb = mh_value_get_text (mh_value_at (list, i), "verb");
      if (g_strcmp0 (verb, start) == 0)
        return true;
    }
  return false;
}

MhValue *
mh_redirect_encode (const char *node)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_text (body, "dispatcher", node);
  return body;
}

static MhRequest *
worker_request_new (const char *endpoint, const char *method, const char *path, MhValue *body)
{
  MhRequest *request = mh_request_new (MH_TARGET_WORKER, method, g_strdup (path), body);
  request->endpoint = g_strdup (endpoint);
  return request;
}

MhRequest *
mh_worker_request_commands (const char *endpoint, guint64 fencing_token, guint64 incarnation,
                            GArray *commands)
{
  return worker_request_new (endpoint, "POST", "/commands",
                             mh_commands_encode (fencing_token, &incarnation, commands));
}

MhRequest *
mh_worker_request_status (const char *endpoint)
{
  return worker_request_new (endpoint, "GET", "/show", NULL);
}
