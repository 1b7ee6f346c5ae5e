#include "autoscaler/lost-capacity.h"

struct MhLostCapacity
{
  double cpus;
};

MhLostCapacity *
mh_lost_capacity_new (void)
{
  return g_new0 (MhLostCapacity, 1);
}

void
mh_lost_capacity_free (MhLostCapacity *lost_capacity)
{
  g_free (lost_capacity);
}

void
mh_lost_capacity_add (MhLostCapacity *lost_capacity, double cpus)
{
  g_return_if_fail (lost_capacity != NULL);
  lost_capacity->cpus += cpus;
}

void
mh_lost_capacity_replace (MhLostCapacity *lost_capacity, double cpus)
{
  g_return_if_fail (lost_capacity != NULL);
  lost_capacity->cpus = MAX (0, lost_capacity->cpus - cpus);
}

void
mh_lost_capacity_clear (MhLostCapacity *lost_capacity)
{
  g_return_if_fail (lost_capacity != NULL);
  lost_capacity->cpus = 0;
}

double
mh_lost_capacity_cpus (const MhLostCapacity *lost_capacity)
{
  g_return_val_if_fail (lost_capacity != NULL, 0);
  return lost_capacity->cpus;
}
