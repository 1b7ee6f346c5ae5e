#include "placement/score.h"

#include "placement/resources.h"

#include <math.h>
#include <string.h>

/* Multiple of the lowest price above which a service prefers another machine. */
#define PRICE_CAP_FACTOR 2
/* Share of all replicas that one machine may hold before other machines are preferred. */
#define MAX_REPLICA_SHARE (1 / 24.0)
/* Factor for the cost of a machine on which an array would miss the objective for its start because
   of the image wait. It is large enough that such machines rank last. */
#define LATE_START_COST_FACTOR 1000
/* Late image waits of a service within the same step cost the same. */
#define IMAGE_WAIT_STEP_US (10 * MH_SECOND_US)

/* Costs for a service. They are coarse so that the price decides among machines with similar
   waits. */
#define IMAGE_PRESENT_COST 0
#define IMAGE_IN_TIME_COST 1
#define MIN_LATE_IMAGE_COST 2

static double
service_cost (const MhCandidate *candidate, gint64 start_slack_us)
{
  if (candidate->image_wait_us <= 0)
    return IMAGE_PRESENT_COST;
  if (candidate->image_wait_us <= start_slack_us)
    return IMAGE_IN_TIME_COST;
  return MIN_LATE_IMAGE_COST + floor ((double)candidate->image_wait_us / IMAGE_WAIT_STEP_US);
}

double
mh_score_cost (const MhJobSpec *spec, const MhCandidate *candidate, gint64 start_slack_us)
{
  if (spec->shape == MH_SHAPE_SERVICE)
    return service_cost (candidate, start_slack_us);
  return mh_machine_hourly_cpu_price (candidate->machine)
         * (double)(candidate->image_wait_us + spec->estimated_run_us + MH_SECOND_US)
         * (candidate->image_wait_us > start_slack_us ? LATE_START_COST_FACTOR : 1);
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
