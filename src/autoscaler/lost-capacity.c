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
mh_lost_capacity_free (MhLostCapacity *lost)
{
  g_free (lost);
}

void
mh_lost_capacity_add (MhLostCapacity *lost, double cpus)
{
  g_return_if_fail (lost != NULL);
  lost->cpus += cpus;
}

void
mh_lost_capacity_replace (MhLostCapacity *lost, double cpus)
{
  g_return_if_fail (lost != NULL);
  lost->cpus = MAX (0, lost->cpus - cpus);
}

void
mh_lost_capacity_clear (MhLostCapacity *lost)
{
  g_return_if_fail (lost != NULL);
  lost->cpus = 0;
}

double
mh_lost_capacity_cpus (const MhLostCapacity *lost)
{
  g_return_val_if_fail (lost != NULL, 0);
  return lost->cpus;
}
