#include "placement/filter.h"

#include "cluster/attempt.h"
#include "placement/resources.h"

const char *
mh_filter_required_zone (const MhJob *job)
{
  if (!job->spec->single_zone || job->n_live == 0)
    return job->zone;
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      {
        /* A machine that is known only from a record has no zone yet. Until it has one, no task
           can be placed in the same zone. */
        const char *zone = job->tasks[i].live->machine->zone;
        return zone ? zone : "";
      }
  return job->zone;
}

bool
mh_filter_type (const MhJobCycle *cycle, const MhMachine *machine)
{
  return cycle->type_fits[machine->type_index];
}

bool
mh_filter_spot (const MhJobSpec *spec, const MhMachine *machine)
{
  return !machine->spot || spec->spot;
}

bool
mh_filter_counted_zone (const MhJobCycle *cycle, const MhMachine *machine)
{
  return cycle->zone_of[machine->zone_index] != MH_ZONE_NOT_COUNTED;
}

bool
mh_filter_machine (const MhJobCycle *cycle, const MhMachine *machine)
{
  return mh_filter_type (cycle, machine) && mh_filter_spot (cycle->job->spec, machine)
         && mh_filter_counted_zone (cycle, machine);
}

bool
mh_filter_resources (const MhMachine *machine, const MhJobSpec *spec)
{
  MhResources available = mh_resources_available (machine);
  return spec->cpus <= available.cpus + MH_RESOURCE_EPSILON
         && spec->gpus <= available.gpus + MH_RESOURCE_EPSILON
         && spec->mem_gb <= available.mem_gb + MH_RESOURCE_EPSILON;
}

bool
mh_filter_scatter (const MhJobCycle *cycle, guint zone)
{
  const MhJobSpec *spec = cycle->job->spec;
  guint limit = (spec->tasks + 1) / 2;
  return !spec->spread_over_zones
         || g_array_index (cycle->zones, MhZoneCount, zone).count + 1 <= limit;
}

bool
mh_filter_one_zone (const MhJobCycle *cycle, guint zone)
{
  if (!cycle->job->spec->single_zone)
    return true;
  for (guint i = 0; i < cycle->zones->len; i++)
    if (i != zone && g_array_index (cycle->zones, MhZoneCount, i).count)
      return false;
  return true;
}

bool
mh_filter_topology_spread (const MhJobCycle *cycle, guint zone)
{
  return !cycle->is_service || cycle->spread.soft
         || mh_topology_spread_allows_zone ((const MhZoneCount *)cycle->zones->data,
                                            cycle->zones->len, zone, cycle->spread.max_skew);
}

bool
mh_filter_zone (const MhJobCycle *cycle, guint zone)
{
  return mh_filter_scatter (cycle, zone) && mh_filter_one_zone (cycle, zone)
         && mh_filter_topology_spread (cycle, zone);
}

bool
mh_filter_admits (const MhJobCycle *cycle, const MhMachine *machine)
{
  return mh_filter_machine (cycle, machine)
         && mh_filter_zone (cycle, cycle->zone_of[machine->zone_index]);
}
