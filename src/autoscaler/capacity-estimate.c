#include "autoscaler/capacity-estimate.h"

MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot)
{
  return (MhCapacityEstimate){
    .type = type, .zone = zone, .spot = spot, .available = { type->cpus, type->gpus, type->mem_gb }
  };
}

bool
mh_capacity_estimate_suits_job (const MhCapacityEstimate *estimate, const MhJob *job,
                                const char *zone)
{
  return (!estimate->spot || job->spec->spot) && (zone == NULL || zone == estimate->zone)
         && mh_job_spec_fits_type (job->spec, estimate->type);
}

guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *estimate, const MhJobSpec *spec,
                                  guint tasks)
{
  return mh_resources_count_slots (&estimate->available, spec, tasks);
}

void
mh_capacity_estimate_reserve (MhCapacityEstimate *estimate, const MhJobSpec *spec, guint tasks)
{
  estimate->available.cpus -= spec->cpus * tasks;
  estimate->available.gpus -= spec->gpus * tasks;
  estimate->available.mem_gb -= spec->mem_gb * tasks;
}
