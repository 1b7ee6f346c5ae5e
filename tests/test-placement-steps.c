/* Unit tests of the steps of placement: filters, scores, infeasible requests, quotas, victims of
   preemption and slots. */
#include "cluster/attempt.h"
#include "placement/filter.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "placement/score.h"
#include "placement/victim.h"

/* A job and one machine, which is in the second of two zones. */
typedef struct
{
  MhJobSpec spec;
  MhJob job;
  MhMachineType type;
  MhMachine machine;
  bool type_fits[1];
  guint zone_of[2];
  MhJobCycle cycle;
} Fixture;

static void
set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  *fixture = (Fixture){ .spec = { .id = "j-1", .team = "red", .tasks = 3, .cpus = 2, .mem_gb = 4 },
                        .type = { .name = "large", .cpus = 8, .mem_gb = 16, .price = 0.8 },
                        .machine = { .name = "vm-1", .zone_index = 1 },
                        .type_fits = { true },
                        .zone_of = { 0, 1 } };
  fixture->job.spec = &fixture->spec;
  fixture->machine.type = &fixture->type;
  fixture->cycle = (MhJobCycle){ .job = &fixture->job,
                                 .zones = g_array_new (FALSE, TRUE, sizeof (MhZoneCount)),
                                 .zone_of = fixture->zone_of,
                                 .type_fits = fixture->type_fits,
                                 .spread = { .max_skew = 1 } };
  g_array_set_size (fixture->cycle.zones, 2);
}

static void
tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_array_unref (fixture->cycle.zones);
}

static void
set_zone_counts (Fixture *fixture, guint first, guint second)
{
  g_array_index (fixture->cycle.zones, MhZoneCount, 0).count = first;
  g_array_index (fixture->cycle.zones, MhZoneCount, 1).count = second;
}

/* ---- filters ---- */

/* Without this filter, a task would be sent to a machine that cannot hold it even when empty. */
static void
test_filter_type (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_true (mh_filter_type (&fixture->cycle, &fixture->machine));
  fixture->type_fits[0] = false;
  g_assert_false (mh_filter_type (&fixture->cycle, &fixture->machine));
  g_assert_false (mh_filter_machine (&fixture->cycle, &fixture->machine));
}

/* Without this filter, a job that does not accept spot machines would be placed on one, and could
   be interrupted. */
static void
test_filter_spot (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->machine.spot = true;
  g_assert_false (mh_filter_spot (&fixture->spec, &fixture->machine));
  g_assert_false (mh_filter_machine (&fixture->cycle, &fixture->machine));
  fixture->spec.spot = true;
  g_assert_true (mh_filter_machine (&fixture->cycle, &fixture->machine));
}

/* Without this filter, a task would be placed outside the zone that its job asks for. */
static void
test_filter_counted_zone (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_true (mh_filter_counted_zone (&fixture->cycle, &fixture->machine));
  fixture->zone_of[1] = MH_ZONE_NOT_COUNTED;
  g_assert_false (mh_filter_counted_zone (&fixture->cycle, &fixture->machine));
  g_assert_false (mh_filter_machine (&fixture->cycle, &fixture->machine));
}

/* Without this filter, the worker would refuse the task for want of resources, or the task would
   take resources that are reserved for another one. */
static void
test_filter_resources (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->machine.usage.cpus = 6;
  g_assert_true (mh_filter_resources (&fixture->machine, &fixture->spec));
  fixture->machine.usage.reserved_cpus = 1;
  g_assert_false (mh_filter_resources (&fixture->machine, &fixture->spec));
  fixture->machine.usage.reserved_cpus = 0;
  fixture->machine.usage.mem_gb = 13;
  g_assert_false (mh_filter_resources (&fixture->machine, &fixture->spec));
  fixture->machine.usage.mem_gb = 0;
  fixture->spec.gpus = 1;
  g_assert_false (mh_filter_resources (&fixture->machine, &fixture->spec));
}

/* Without this filter, more than half of a scattered job could be lost with one zone. */
static void
test_filter_scatter (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  set_zone_counts (fixture, 0, 2);
  g_assert_true (mh_filter_scatter (&fixture->cycle, 1));
  fixture->spec.spread_over_zones = true;
  g_assert_false (mh_filter_scatter (&fixture->cycle, 1));
  g_assert_true (mh_filter_scatter (&fixture->cycle, 0));
  g_assert_false (mh_filter_admits (&fixture->cycle, &fixture->machine));
}

/* Without this filter, tasks that must run in a single zone would run in two zones. */
static void
test_filter_one_zone (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  set_zone_counts (fixture, 1, 0);
  g_assert_true (mh_filter_one_zone (&fixture->cycle, 1));
  fixture->spec.single_zone = true;
  g_assert_false (mh_filter_one_zone (&fixture->cycle, 1));
  g_assert_true (mh_filter_one_zone (&fixture->cycle, 0));
}

/* Topology spread (KEP-895) applies to services only, and a soft constraint refuses no zone.
   Otherwise tasks would wait although they may start. */
static void
test_filter_topology_spread (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  set_zone_counts (fixture, 0, 1);
  g_assert_true (mh_filter_topology_spread (&fixture->cycle, 1));
  fixture->cycle.is_service = true;
  g_assert_false (mh_filter_topology_spread (&fixture->cycle, 1));
  g_assert_true (mh_filter_topology_spread (&fixture->cycle, 0));
  fixture->cycle.spread.soft = true;
  g_assert_true (mh_filter_topology_spread (&fixture->cycle, 1));
}

/* Without this filter, a further task of a single-zone job would be placed in another zone than its
   live tasks. */
static void
test_filter_required_zone (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhAttempt attempt = { .machine = &fixture->machine };
  MhTask tasks[3] = { { .live = &attempt } };
  fixture->job.tasks = tasks;
  fixture->job.n_live = 1;
  g_assert_null (mh_filter_required_zone (&fixture->job));
  fixture->spec.single_zone = true;
  g_assert_cmpstr (mh_filter_required_zone (&fixture->job), ==, "");
  g_autoptr (GRefString) zone = g_ref_string_new_intern ("a");
  fixture->machine.zone = zone;
  g_assert_true (mh_filter_required_zone (&fixture->job) == zone);
}

/* ---- scores ---- */

/* If this cost were wrong, an array would run on a more expensive machine than it has to, or miss
   the objective for its start. */
static void
test_score_cost_of_array (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhCandidate candidate = { .machine = &fixture->machine, .image_wait_us = MH_SECOND_US };
  fixture->spec.estimated_run_us = 8 * MH_SECOND_US;
  double in_time = mh_score_cost (&fixture->spec, &candidate, MH_SECOND_US);
  g_assert_cmpfloat_with_epsilon (in_time, 0.1 * 10e6, 1);
  g_assert_cmpfloat (mh_score_cost (&fixture->spec, &candidate, 0), ==, 1000 * in_time);
}

/* If this cost were wrong, replicas would wait for their image while other machines have it. */
static void
test_score_cost_of_service (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhCandidate candidate = { .machine = &fixture->machine };
  fixture->spec.shape = MH_SHAPE_SERVICE;
  g_assert_cmpfloat (mh_score_cost (&fixture->spec, &candidate, MH_SECOND_US), ==, 0);
  candidate.image_wait_us = MH_SECOND_US;
  g_assert_cmpfloat (mh_score_cost (&fixture->spec, &candidate, MH_SECOND_US), ==, 1);
  g_assert_cmpfloat (mh_score_cost (&fixture->spec, &candidate, 0), ==, 2);
  candidate.image_wait_us = 25 * MH_SECOND_US;
  g_assert_cmpfloat (mh_score_cost (&fixture->spec, &candidate, 0), ==, 4);
}

/* If this score were wrong, too many replicas would be lost with one machine, or too few machines
   would become empty. */
static void
test_score_replicas (void)
{
  g_assert_cmpuint (mh_score_replicas_on_machine (0, 48), ==, 2);
  g_assert_cmpuint (mh_score_replicas_on_machine (1, 48), ==, 1);
  g_assert_cmpuint (mh_score_replicas_on_machine (2, 48), ==, 3);
  g_assert_cmpuint (mh_score_replicas_on_machine (0, 0), ==, 1);
  g_assert_false (mh_score_is_above_price_cap (2, 1));
  g_assert_true (mh_score_is_above_price_cap (2.1, 1));
}

/* A key decides only if all keys before it are equal. In another order, tasks would start on other
   machines than documented. */
static void
test_score_order (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhMachine other = fixture->machine;
  MhCandidate left = { .machine = &fixture->machine }, right = { .machine = &other };
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), ==, 0);
  other.name = "vm-2";
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), <, 0);
  other.usage.cpus = 1;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), >, 0);
  MhMachineType expensive_type = fixture->type;
  expensive_type.price = 1;
  other.type = &expensive_type;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), <, 0);
  left.replicas_on_machine = 1;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), >, 0);
  right.above_price_cap = true;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), <, 0);
  left.cost = 1;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), >, 0);
  right.spread_score = 1;
  g_assert_cmpint (mh_score_compare_candidates (&left, &right), <, 0);
}

/* ---- infeasible requests ---- */

/* If a request were wrongly known as infeasible, a job would be skipped although a machine could
   take it. */
static void
test_infeasible (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_autoptr (MhInfeasible) infeasible = mh_infeasible_new ();
  fixture->spec.zone = "a";
  mh_infeasible_add (infeasible, &fixture->spec);
  g_assert_false (mh_infeasible_is_known (infeasible, &fixture->spec));
  fixture->spec.zone = NULL;
  mh_infeasible_add (infeasible, &fixture->spec);
  g_assert_true (mh_infeasible_is_known (infeasible, &fixture->spec));
  fixture->spec.spot = true;
  g_assert_false (mh_infeasible_is_known (infeasible, &fixture->spec));
  fixture->spec.spot = false;
  fixture->spec.cpus = 1;
  g_assert_false (mh_infeasible_is_known (infeasible, &fixture->spec));
  fixture->spec.cpus = 3;
  g_assert_true (mh_infeasible_is_known (infeasible, &fixture->spec));
}

/* ---- quota ---- */

/* If quotas were computed wrongly, a team could use more than its quota, or not all of it. */
static void
test_quota (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhSettings *settings = mh_settings_new ();
  MhTeamUse use = { .cpus = 3 }, planned = { .cpus = 1 };
  g_assert_false (mh_quota_fits (settings, NULL, &fixture->job, 0, 0)); /* no such team */
  g_assert_cmpuint (mh_quota_allowed_tasks (settings, NULL, &fixture->job, &planned, 9), ==, 0);
  MhTeam *team = g_new0 (MhTeam, 1);
  *team = (MhTeam){ .name = g_strdup ("red"), .cpus_max = 10, .gpus_max = 1 };
  g_ptr_array_add (settings->teams, team);
  g_assert_true (mh_quota_fits (settings, &use, &fixture->job, 7, 0));
  g_assert_false (mh_quota_fits (settings, &use, &fixture->job, 8, 0));
  g_assert_true (mh_quota_fits (settings, NULL, &fixture->job, 8, 0));
  g_assert_false (mh_quota_fits (settings, NULL, &fixture->job, 8, 2));
  g_assert_cmpuint (mh_quota_allowed_tasks (settings, &use, &fixture->job, &planned, 9), ==, 3);
  g_assert_cmpuint (mh_quota_allowed_tasks (settings, &use, &fixture->job, &planned, 2), ==, 2);
  fixture->spec.gpus = 1;
  g_assert_cmpuint (mh_quota_allowed_tasks (settings, &use, &fixture->job, &planned, 9), ==, 1);
  mh_settings_free (settings);
}

/* ---- victims ---- */

/* If tasks of jobs that are not further back in the queue were eligible, two jobs would stop each
   other in turn. The only task of a starved job must not be stopped as soon as it is placed, and a
   gang not for a quota alone. */
static void
test_victim_eligible (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhJobSpec urgent_spec = { .id = "j-2", .team = "blue", .priority = MH_PRIORITY_HIGH };
  MhJob urgent = { .spec = &urgent_spec };
  MhAttempt attempt = { .job = &fixture->job };
  fixture->spec.priority = MH_PRIORITY_NORMAL;
  g_assert_true (mh_victim_is_eligible (&urgent, &attempt));
  g_assert_false (mh_victim_is_eligible (&fixture->job, &attempt)); /* its own task */
  attempt.state = MH_ATTEMPT_STOPPING;
  g_assert_false (mh_victim_is_eligible (&urgent, &attempt));
  attempt.state = MH_ATTEMPT_RUNNING;

  MhJobSpec normal_spec = { .id = "j-3", .team = "blue", .priority = MH_PRIORITY_NORMAL };
  MhJob normal = { .spec = &normal_spec };
  g_assert_false (mh_victim_is_eligible (&normal, &attempt)); /* not behind it in the queue */
  normal.placement.guaranteed = true;
  g_assert_true (mh_victim_is_eligible (&normal, &attempt));
  attempt.job_was_starved = true;
  g_assert_false (mh_victim_is_eligible (&normal, &attempt));
  g_assert_true (mh_victim_is_eligible (&urgent, &attempt));
  attempt.job_was_starved = false;
  fixture->spec.shape = MH_SHAPE_GANG;
  g_assert_false (mh_victim_is_eligible (&normal, &attempt)); /* not for a quota alone */
  fixture->spec.shape = MH_SHAPE_ARRAY;
  normal_spec.team = "red";
  g_assert_false (mh_victim_is_eligible (&normal, &attempt)); /* of the same team */
}

/* The loss of a gang includes the time to gather again. Without it, gangs that have just begun
   would be stopped first, and would gather in vain repeatedly. */
static void
test_victim_loss (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhAttempt attempt = { .job = &fixture->job, .running_since_us = MH_SECOND_US };
  g_assert_cmpfloat (mh_victim_loss (&attempt, 5 * MH_SECOND_US), ==, 2 * 5);
  fixture->spec.priority = MH_PRIORITY_NORMAL;
  g_assert_cmpfloat (mh_victim_loss (&attempt, 5 * MH_SECOND_US), ==, 2 * 5 * 4);
  fixture->spec.shape = MH_SHAPE_GANG;
  g_assert_cmpfloat (mh_victim_loss (&attempt, 5 * MH_SECOND_US), ==, 3 * 2 * 34 * 4);
}

/* If too many slots were counted, a gang would be placed on capacity that does not exist. */
static void
test_resource_slots (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhResources resources = { .cpus = 9, .mem_gb = 9 };
  g_assert_cmpuint (mh_resources_count_slots (&resources, &fixture->spec, 9), ==, 2);
  g_assert_cmpuint (mh_resources_count_slots (&resources, &fixture->spec, 1), ==, 1);
  g_assert_cmpuint (mh_resources_count_slots_of_one (-1, 2, 9), ==, 0);
  g_assert_cmpuint (mh_resources_count_slots_of_one (0, 0, 9), ==, 9);
}

#define ADD(name, func) g_test_add (name, Fixture, NULL, set_up, func, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/placement/filter/type", test_filter_type);
  ADD ("/placement/filter/spot", test_filter_spot);
  ADD ("/placement/filter/counted-zone", test_filter_counted_zone);
  ADD ("/placement/filter/resources", test_filter_resources);
  ADD ("/placement/filter/scatter", test_filter_scatter);
  ADD ("/placement/filter/one-zone", test_filter_one_zone);
  ADD ("/placement/filter/topology-spread", test_filter_topology_spread);
  ADD ("/placement/filter/required-zone", test_filter_required_zone);
  ADD ("/placement/score/cost-of-array", test_score_cost_of_array);
  ADD ("/placement/score/cost-of-service", test_score_cost_of_service);
  g_test_add_func ("/placement/score/replicas", test_score_replicas);
  ADD ("/placement/score/order", test_score_order);
  ADD ("/placement/infeasible", test_infeasible);
  ADD ("/placement/quota", test_quota);
  ADD ("/placement/victim/eligible", test_victim_eligible);
  ADD ("/placement/victim/loss", test_victim_loss);
  ADD ("/placement/resource-slots", test_resource_slots);
  return g_test_run ();
}
