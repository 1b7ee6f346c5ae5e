#include "placement/resources.h"

MhResources
mh_resources_available (const MhMachine *machine)
{
  return (MhResources){
    .cpus = machine->type->cpus - machine->usage.cpus - machine->usage.reserved_cpus,
    .gpus = machine->type->gpus - machine->usage.gpus,
    .mem_gb = machine->type->mem_gb - machine->usage.mem_gb - machine->usage.reserved_mem_gb
  };
}

double
mh_resources_unused_cpus (const MhMachine *machine)
{
  return machine->type->cpus - machine->usage.cpus;
}

void
mh_resources_reserve (MhMachine *machine, const MhJobSpec *spec, guint tasks)
{
  machine->usage.reserved_cpus += spec->cpus * tasks;
  machine->usage.reserved_mem_gb += spec->mem_gb * tasks;
}

void
mh_resources_add_task (MhResources *resources, const MhJobSpec *spec)
{
  resources->cpus += spec->cpus;
  resources->gpus += spec->gpus;
  resources->mem_gb += spec->mem_gb;
}

guint
mh_resources_count_slots_of_one (double available, double needed, guint limit)
{
  if (needed <= 0 || available >= needed * limit)
    return limit;
  return available > 0 ? (guint)(available / needed + MH_RESOURCE_EPSILON) : 0;
}

guint
mh_resources_count_slots (const MhResources *resources, const MhJobSpec *spec, guint limit)
{
  guint slots = mh_resources_count_slots_of_one (resources->mem_gb, spec->mem_gb, limit);
  slots = mh_resources_count_slots_of_one (resources->gpus, spec->gpus, slots);
  return mh_resources_count_slots_of_one (resources->cpus, spec->cpus, slots);
}
