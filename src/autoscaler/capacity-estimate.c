#include "autoscaler/capacity-estimate.h"
#include "placement/resources.h"

MhCapacityEstimate
mh_capacity_estimate_for_type (const MhMachineType *type, const GRefString *zone, bool spot)
{
  return (MhCapacityEstimate){ .type = type,
                               .zone = zone,
                               .spot = spot,
                               .free_cpus = type->cpus,
                               .free_gpus = type->gpus,
                               .free_mem_gb = type->mem_gb };
}

bool
mh_capacity_estimate_suits (const MhCapacityEstimate *estimate, const MhJob *job, const char *zone)
{
  return (!estimate->spot || job->spec->spot) && (zone == NULL || zone == estimate->zone)
         && mh_job_spec_fits_type (job->spec, estimate->type);
}

guint
mh_capacity_estimate_count_tasks (const MhCapacityEstimate *estimate, const MhJobSpec *spec,
                                  guint tasks)
{
  tasks = mh_resource_slots (estimate->free_cpus, spec->cpus, tasks);
  tasks = mh_resource_slots (estimate->free_gpus, spec->gpus, tasks);
  return mh_resource_slots (estimate->free_mem_gb, spec->mem_gb, tasks);
}

void
mh_capacity_estimate_reserve (MhCapacityEstimate *estimate, const MhJobSpec *spec, guint tasks)
{
  estimate->free_cpus -= spec->cpus * tasks;
  estimate->free_gpus -= spec->gpus * tasks;
  estimate->free_mem_gb -= spec->mem_gb * tasks;
}
