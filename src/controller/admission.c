#include "controller/admission.h"

#include "jobs/job.h"

#include <string.h>

/* Tolerance, in cpus and gpus, for rounding errors in products and sums of decimal amounts. */
#define QUOTA_TOLERANCE 1e-9

/* An array needs quota for one task at a time only, any other shape for all its tasks together. */
static bool
exceeds_quota (const MhTeam *team, const MhJobSpec *spec)
{
  double tasks = spec->shape == MH_SHAPE_ARRAY ? 1 : spec->tasks;
  return spec->cpus * tasks > team->cpus_max + QUOTA_TOLERANCE
         || spec->gpus * tasks > team->gpus_max + QUOTA_TOLERANCE;
}

static bool
fits_any_type (const GPtrArray *types, const MhJobSpec *spec)
{
  for (guint i = 0; i < types->len; i++)
    if (mh_job_spec_fits_type (spec, g_ptr_array_index (types, i)))
      return true;
  return false;
}

/* Whether the type is offered in a zone other than `*first`. The first zone of the first type sets
   `*first`. A type that names no zones is offered in all. */
static bool
has_second_zone (const MhMachineType *type, const char **first)
{
  if (type->zones == NULL)
    return true;
  for (char **zone = type->zones; *zone; zone++)
    {
      if (*first && strcmp (*first, *zone) != 0)
        return true;
      *first = *zone;
    }
  return false;
}

/* Whether all tasks could ever run at the same time, as those of services and gangs have to. At
   most half of the tasks of a scattered job may be in one zone, so that it needs at least two. */
static bool
has_enough_zones (const GPtrArray *types, const MhJobSpec *spec)
{
  if (spec->shape == MH_SHAPE_ARRAY || !spec->spread_over_zones || spec->tasks == 1)
    return true;
  if (spec->single_zone || spec->zone)
    return false;
  const char *first = NULL;
  for (guint i = 0; i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (mh_job_spec_fits_type (spec, type) && has_second_zone (type, &first))
        return true;
    }
  return false;
}

/* Returns NULL when the submission allows any type. */
static char **
list_known_types (const GPtrArray *types, const MhJobSpec *spec)
{
  if (spec->types == NULL)
    return NULL;
  g_autoptr (GStrvBuilder) known = g_strv_builder_new ();
  for (guint i = 0; i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (g_strv_contains ((const char *const *)spec->types, type->name))
        g_strv_builder_add (known, type->name);
    }
  return g_strv_builder_end (known);
}

/* Only the known ones of the allowed types are recorded. While none are known, the record may be as
   small as without any. */
static bool
fits_record (const MhSettings *settings, const GPtrArray *types, const MhJobSpec *spec)
{
  g_auto (GStrv) known = types ? list_known_types (types, spec) : NULL;
  MhJobSpec recorded = *spec;
  recorded.types = known;
  return mh_job_tasks_per_record (&recorded, settings->value_bytes) > 0;
}

MhAdmission
mh_admission_check (const MhSettings *settings, const GPtrArray *types, const MhJobSpec *spec)
{
  g_return_val_if_fail (settings && spec, MH_ADMISSION_IMPOSSIBLE);
  if (spec->is_incomplete)
    return MH_ADMISSION_INCOMPLETE;
  /* The key-value store would reject the record each time it is written, and the user, who gets
     503, would retry for ever. */
  if (!fits_record (settings, types, spec))
    return MH_ADMISSION_TOO_LARGE;
  const MhTeam *team = mh_settings_find_team (settings, spec->team);
  if (team == NULL || exceeds_quota (team, spec))
    return MH_ADMISSION_IMPOSSIBLE;
  if (types == NULL)
    return MH_ADMISSION_UNDECIDED;
  if (!fits_any_type (types, spec) || !has_enough_zones (types, spec))
    return MH_ADMISSION_IMPOSSIBLE;
  return MH_ADMISSION_ACCEPT;
}

const char *
mh_admission_name (MhAdmission admission)
{
  switch (admission)
    {
    case MH_ADMISSION_ACCEPT:
      return "accepted";
    case MH_ADMISSION_INCOMPLETE:
      return "field_missing";
    case MH_ADMISSION_TOO_LARGE:
      return "record_too_large";
    case MH_ADMISSION_IMPOSSIBLE:
      return "can_never_run";
    case MH_ADMISSION_UNDECIDED:
      return "machine_types_unknown";
    }
  g_return_val_if_reached ("unknown");
}

void
mh_admission_keep_known_types (const GPtrArray *types, MhJobSpec *spec)
{
  g_return_if_fail (spec);
  if (types == NULL)
    return;
  char **known = list_known_types (types, spec);
  g_strfreev (spec->types);
  spec->types = known;
}
