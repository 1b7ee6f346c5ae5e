#include "placement/infeasible.h"

typedef struct
{
  double cpus, gpus, mem_gb;
  bool spot;
} Request;

struct MhInfeasible
{
  GArray *requests; /* Request */
};

MhInfeasible *
mh_infeasible_new (void)
{
  MhInfeasible *infeasible = g_new0 (MhInfeasible, 1);
  infeasible->requests = g_array_new (FALSE, FALSE, sizeof (Request));
  return infeasible;
}

void
mh_infeasible_free (MhInfeasible *infeasible)
{
  g_array_unref (infeasible->requests);
  g_free (infeasible);
}

void
mh_infeasible_add (MhInfeasible *infeasible, const MhJobSpec *spec)
{
  if (spec->types || spec->zone || spec->single_zone)
    return;
  Request request
      = { .cpus = spec->cpus, .gpus = spec->gpus, .mem_gb = spec->mem_gb, .spot = spec->spot };
  g_array_append_val (infeasible->requests, request);
}

void
mh_infeasible_clear (MhInfeasible *infeasible)
{
  g_array_set_size (infeasible->requests, 0);
}

bool
mh_infeasible_is_known (const MhInfeasible *infeasible, const MhJobSpec *spec)
{
  for (guint i = 0; i < infeasible->requests->len; i++)
    {
      const Request *request = &g_array_index (infeasible->requests, Request, i);
      if (spec->cpus >= request->cpus && spec->gpus >= request->gpus
          && spec->mem_gb >= request->mem_gb && (request->spot || !spec->spot))
        return true;
    }
  return false;
}
