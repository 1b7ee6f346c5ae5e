#include "protocol/user-messages.h"
#include "protocol/field.h"

/* Upper bounds of the resources of a task: no machine has more. */
#define MAX_CPUS_OR_GPUS 1e6
#define MAX_GB 1e9

static const MhEnumName shape_names[] = {
  { "sweep", MH_SHAPE_ARRAY }, { "service", MH_SHAPE_SERVICE }, { "group", MH_SHAPE_GANG }, {}
};

static const MhEnumName priority_names[] = { { "best_effort", MH_PRIORITY_LOW },
                                             { "normal", MH_PRIORITY_NORMAL },
                                             { "urgent", MH_PRIORITY_HIGH },
                                             { "critical", MH_PRIORITY_CRITICAL },
                                             {} };

static const MhEnumName job_state_names[] = { { "pending", MH_JOB_PENDING },
                                              { "running", MH_JOB_RUNNING },
                                              { "done", MH_JOB_DONE },
                                              { "aborted", MH_JOB_CANCELLED },
                                              {} };

#define MEMBER(name) .offset = offsetof (MhJobSpec, name)

/* PROTOCOL, "POST /submissions". */
static const MhField submission_fields[] = {
  { "id", MH_FIELD_JOB_ID, MEMBER (id) },
  { "workload", MH_FIELD_NAME, MEMBER (class_name) },
  { "desk", MH_FIELD_NAME, MEMBER (team) },
  { "shape", MH_FIELD_ENUM, MEMBER (shape), .enum_names = shape_names },
  { "rank", MH_FIELD_ENUM, MEMBER (priority), .enum_names = priority_names },
  { "legs", MH_FIELD_COUNT, MEMBER (tasks), .max = MH_MAX_TASKS_PER_JOB },
  { "cpus", MH_FIELD_AMOUNT, MEMBER (cpus), .max = MAX_CPUS_OR_GPUS },
  { "gpus", MH_FIELD_AMOUNT, MEMBER (gpus), .max = MAX_CPUS_OR_GPUS },
  { "mem_gb", MH_FIELD_AMOUNT, MEMBER (mem_gb), .max = MAX_GB },
  { "build", MH_FIELD_NAME, MEMBER (image) },
  { "size_gb", MH_FIELD_AMOUNT, MEMBER (image_gb), .max = MAX_GB },
  { "racks", MH_FIELD_STRV, MH_FIELD_OPTIONAL, MEMBER (types) },
  { "hall", MH_FIELD_NAME, MH_FIELD_OPTIONAL, MEMBER (zone) },
  { "same_place", MH_FIELD_FLAG, MH_FIELD_OPTIONAL, MEMBER (single_zone) },
  { "scatter", MH_FIELD_FLAG, MH_FIELD_OPTIONAL, MEMBER (spread_over_zones) },
  { "standby", MH_FIELD_FLAG, MH_FIELD_OPTIONAL, MEMBER (spot) },
  { "runtime_s", MH_FIELD_DURATION, MEMBER (estimated_run_us) },
  { "snapshot_s", MH_FIELD_DURATION, MEMBER (checkpoint_interval_us) },
  { "flush_s", MH_FIELD_DURATION, MEMBER (checkpoint_save_us) },
  { "due_s", MH_FIELD_DURATION, MH_FIELD_OPTIONAL, MEMBER (deadline_us) },
};

/* The protocol requires these too. Earlier versions accepted jobs without them, which must stay
   known when they are submitted again. */
static const char *const fields_once_optional[] = { "same_place", "scatter", "standby" };

static bool
lacks_field (const MhValue *body)
{
  for (gsize i = 0; i < G_N_ELEMENTS (fields_once_optional); i++)
    if (mh_value_get (body, fields_once_optional[i]) == NULL)
      return true;
  return false;
}

MhJobSpec *
mh_submission_decode (const MhValue *body, GError **error)
{
  g_autoptr (MhJobSpec) spec = g_new0 (MhJobSpec, 1);
  spec->deadline_us = -1;
  if (!mh_fields_decode (body, submission_fields, G_N_ELEMENTS (submission_fields), spec, error))
    return NULL;
  spec->is_incomplete = lacks_field (body);
  return g_steal_pointer (&spec);
}

MhValue *
mh_submission_encode (const MhJobSpec *spec)
{
  g_return_val_if_fail (spec != NULL, NULL);

  return mh_fields_encode (submission_fields, G_N_ELEMENTS (submission_fields), spec);
}

MhValue *
mh_job_status_encode (const char *id, const MhUserResponse *response, bool include_task_counts)
{
  g_return_val_if_fail (id != NULL && response != NULL, NULL);

  MhValue *body = mh_value_new_map ();
  mh_value_set_text (body, "id", id);
  mh_value_set_text (body, "status",
                     mh_enum_name_for_value (job_state_names, (int)response->state));
  if (include_task_counts)
    {
      mh_value_set_uint (body, "done", response->done);
      mh_value_set_uint (body, "running", response->running);
    }
  return body;
}
