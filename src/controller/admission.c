#include "controller/admission.h"

#include "jobs/job.h"
#include "placement/filter.h"
#include "placement/gang-placement.h"

/* Sums of decimal amounts are compared with this tolerance. */
#define TOLERANCE 1e-9

/* An array needs room for one task at a time, anything else for all of them. */
static bool
exceeds_quota (const MhTeam *team, const MhJobSpec *spec)
{
  double tasks = spec->shape == MH_SHAPE_ARRAY ? 1 : spec->tasks;
  return spec->cpus * tasks > team->cpus_max + TOLERANCE
         || spec->gpus * tasks > team->gpus_max + TOLERANCE;
}

static bool
fits_any_type (const GPtrArray *types, const MhJobSpec *spec)
{
  for (guint i = 0; i < types->len; i++)
    if (mh_job_spec_fits_type (spec, g_ptr_array_index (types, i)))
      return true;
  return false;
}

MhAdmission
mh_admission_check (const MhSettings *settings, const GPtrArray *types, const MhJobSpec *spec)
{
  g_return_val_if_fail (settings && spec, MH_ADMISSION_IMPOSSIBLE);
  /* One that does not fit would be refused by the key-value store time and again, and end each
     leadership. */
  if (mh_job_tasks_per_record (spec, settings->value_bytes) == 0)
    return MH_ADMISSION_TOO_LARGE;
  const MhTeam *team = mh_settings_find_team (settings, spec->team);
  if (team == NULL || exceeds_quota (team, spec))
    return MH_ADMISSION_IMPOSSIBLE;
  if (types == NULL)
    return MH_ADMISSION_UNDECIDED;
  if (!fits_any_type (types, spec))
    return MH_ADMISSION_IMPOSSIBLE;
  if (spec->shape == MH_SHAPE_GANG && !mh_gang_is_feasible (types, spec))
    return MH_ADMISSION_IMPOSSIBLE;
  return MH_ADMISSION_ACCEPT;
}

void
mh_admission_keep_known_types (const GPtrArray *types, MhJobSpec *spec)
{
  g_return_if_fail (spec);
  if (spec->types == NULL || types == NULL)
    return;
  g_autoptr (GStrvBuilder) known = g_strv_builder_new ();
  for (guint i = 0; i < types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (types, i);
      if (g_strv_contains ((const char *const *)spec->types, type->name))
        g_strv_builder_add (known, type->name);
    }
  g_strfreev (spec->types);
  spec->types = g_strv_builder_end (known);
}
