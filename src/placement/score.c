#include "placement/score.h"

#include "placement/resources.h"

#include <math.h>
#include <string.h>

#define PRICE_CAP_FACTOR 2
/* The part of all replicas that one machine may hold before others are preferred. */
#define MAX_REPLICA_SHARE (1 / 24.0)
/* Machines on which an array would miss the objective for its start by its image come last. */
#define TOO_LATE_FACTOR 1000
#define LATE_STEP_US (10 * MH_SECOND_US)

/* Of a service: in steps, so that among equals the price counts. */
#define IMAGE_THERE 0
#define IMAGE_IN_TIME 1
#define IMAGE_LATE 2

static double
service_cost (const MhCandidate *candidate, gint64 start_slack_us)
{
  if (candidate->image_wait_us <= 0)
    return IMAGE_THERE;
  if (candidate->image_wait_us <= start_slack_us)
    return IMAGE_IN_TIME;
  return IMAGE_LATE + floor ((double)candidate->image_wait_us / LATE_STEP_US);
}

double
mh_score_cost (const MhJobSpec *spec, const MhCandidate *candidate, gint64 start_slack_us)
{
  if (spec->shape == MH_SHAPE_SERVICE)
    return service_cost (candidate, start_slack_us);
  return mh_machine_hourly_cpu_price (candidate->machine)
         * (double)(candidate->image_wait_us + spec->estimated_run_us + MH_SECOND_US)
         * (candidate->image_wait_us > start_slack_us ? TOO_LATE_FACTOR : 1);
}

guint
mh_score_replicas_on_machine (guint replicas, guint total_replicas)
{
  guint limit = MAX (1, (guint)(total_replicas * MAX_REPLICA_SHARE));
  return replicas < limit ? limit - replicas : replicas + 1;
}

bool
mh_score_is_above_price_cap (double price, double lowest_price)
{
  return price > PRICE_CAP_FACTOR * lowest_price;
}

static gint
compare_doubles (double left, double right)
{
  if (left == right)
    return 0;
  return left < right ? -1 : 1;
}

static gint
compare_guints (guint left, guint right)
{
  if (left == right)
    return 0;
  return left < right ? -1 : 1;
}

static gint
compare_machines (const MhMachine *left, const MhMachine *right)
{
  gint order
      = compare_doubles (mh_machine_hourly_cpu_price (left), mh_machine_hourly_cpu_price (right));
  if (order == 0)
    order = compare_doubles (mh_resources_unused_cpus (left), mh_resources_unused_cpus (right));
  if (order == 0)
    order = strcmp (left->name, right->name);
  return order;
}

gint
mh_score_compare_candidates (gconstpointer left, gconstpointer right)
{
  const MhCandidate *first = left, *second = right;
  if (first->spread_score != second->spread_score)
    return first->spread_score < second->spread_score ? -1 : 1;
  gint order = compare_doubles (first->cost, second->cost);
  if (order == 0)
    order = compare_guints (first->above_price_cap, second->above_price_cap);
  if (order == 0)
    order = compare_guints (first->replicas_on_machine, second->replicas_on_machine);
  if (order == 0)
    order = compare_machines (first->machine, second->machine);
  return order;
}
