/* Unit tests of the job queue's order, objectives, estimates of run times, and responses to users.
 */
#include "jobs/final-state-cache.h"
#include "jobs/job-queue.h"
#include "jobs/objective.h"
#include "jobs/runtime-estimate.h"

#define NOW_US (1000 * MH_SECOND_US)

typedef struct
{
  MhSettings *settings;
  MhJobSpec spec;
  MhJob job;
} Fixture;

static void
set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  *fixture = (Fixture){ .settings = mh_settings_new (),
                        .spec = { .id = "j-1", .class_name = "batch", .deadline_us = -1 },
                        .job = { .submitted_us = NOW_US } };
  fixture->job.spec = &fixture->spec;
}

static void
tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_settings_free (fixture->settings);
}

static void
add_objective (Fixture *fixture, MhObjectiveKind kind, gint64 within_us)
{
  MhObjective *objective = g_new0 (MhObjective, 1);
  objective->kind = kind;
  objective->class_name = g_strdup ("batch");
  objective->within_us = within_us;
  g_ptr_array_add (fixture->settings->objectives, objective);
}

static MhStartTarget
latest_start (const Fixture *fixture, gint64 expected_us)
{
  return mh_objective_latest_start (fixture->settings, &fixture->job, expected_us, expected_us,
                                    NOW_US);
}

/* With a wrong latest start, a job that can still be in time would wait behind one that cannot, or
   a job that cannot be in time would wait for ever. */
static void
test_latest_start (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhStartTarget target = latest_start (fixture, MH_SECOND_US);
  g_assert_cmpint (target.at_us, ==, NOW_US + 599 * MH_SECOND_US); /* no deadline or objective */
  g_assert_false (target.missed);
  add_objective (fixture, MH_OBJECTIVE_FINISHED, 20 * MH_SECOND_US);
  add_objective (fixture, MH_OBJECTIVE_FINISHED, 50 * MH_SECOND_US);
  target = latest_start (fixture, 10 * MH_SECOND_US);
  g_assert_cmpint (target.at_us, ==, NOW_US + 10 * MH_SECOND_US);
  target = latest_start (fixture, 30 * MH_SECOND_US); /* the first objective cannot be met */
  g_assert_cmpint (target.at_us, ==, NOW_US + 20 * MH_SECOND_US);
  g_assert_false (target.missed);
  target = latest_start (fixture, 60 * MH_SECOND_US); /* no objective can be met */
  g_assert_cmpint (target.at_us, ==, NOW_US + (50 + 180 - 60) * MH_SECOND_US);
  g_assert_true (target.missed);
  fixture->spec.deadline_us = 100 * MH_SECOND_US; /* overrides the class's objectives */
  target = latest_start (fixture, 60 * MH_SECOND_US);
  g_assert_cmpint (target.at_us, ==, NOW_US + 40 * MH_SECOND_US);
}

/* With a wrong slack, other work would be preempted for a job that can still wait, or would not be
   preempted for a job that cannot. */
static void
test_slack (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  const MhSettings *settings = fixture->settings;
  MhJob *job = &fixture->job;
  g_assert_cmpint (mh_objective_slack_us (settings, job, NOW_US), ==, 60 * MH_SECOND_US);
  job->placement.guaranteed = true;
  g_assert_cmpint (mh_objective_slack_us (settings, job, NOW_US), ==, 3 * MH_SECOND_US);
  add_objective (fixture, MH_OBJECTIVE_GUARANTEE, 30 * MH_SECOND_US);
  g_assert_cmpint (mh_objective_slack_us (settings, job, NOW_US), ==, 30 * MH_SECOND_US);
  add_objective (fixture, MH_OBJECTIVE_WAIT, 10 * MH_SECOND_US);
  g_assert_cmpint (mh_objective_slack_us (settings, job, NOW_US + 4 * MH_SECOND_US), ==,
                   6 * MH_SECOND_US);
  g_assert_cmpint (mh_objective_slack_us (settings, job, NOW_US + 40 * MH_SECOND_US), ==,
                   60 * MH_SECOND_US); /* missed objectives no longer count */
}

/* Each sort key decides only if all keys before it are equal. */
static void
test_order (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhJobSpec other_spec = fixture->spec;
  MhJob other = { .spec = &other_spec };
  const MhJob *left = &fixture->job, *right = &other;
  other_spec.id = "j-2";
  g_assert_cmpint (mh_job_queue_compare (&left, &right), <, 0);
  fixture->job.submitted_wall_us = 1;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), >, 0);
  other.placement.latest_start_us = 1;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), <, 0);
  other_spec.priority = MH_PRIORITY_NORMAL;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), >, 0);
  fixture->job.placement.starved = true;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), <, 0);
  other.placement.starved = true;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), >, 0); /* by submission */
  other_spec.priority = MH_PRIORITY_HIGH;
  fixture->job.submitted_wall_us = -1;
  g_assert_cmpint (mh_job_queue_compare (&left, &right), >, 0); /* by tier */
}

/* With a wrong tier, urgent work or work within a quota would wait behind other work. */
static void
test_tier (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_cmpint (mh_job_queue_tier (&fixture->job), ==, MH_TIER_REST);
  fixture->job.placement.guaranteed = true;
  g_assert_cmpint (mh_job_queue_tier (&fixture->job), ==, MH_TIER_GUARANTEED);
  fixture->spec.priority = MH_PRIORITY_HIGH;
  g_assert_cmpint (mh_job_queue_tier (&fixture->job), ==, MH_TIER_URGENT_GUARANTEED);
  fixture->job.placement.guaranteed = false;
  g_assert_cmpint (mh_job_queue_tier (&fixture->job), ==, MH_TIER_URGENT);
}

/* Without the correction, wrong estimates of users would be used unchanged; without its bounds, a
   few unusual tasks would distort the estimates of a whole class. */
static void
test_runtime_estimate (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_autoptr (MhRuntimeEstimator) estimator = mh_runtime_estimator_new ();
  fixture->spec.estimated_run_us = 10 * MH_SECOND_US;
  for (guint i = 0; i < 2; i++)
    mh_runtime_estimator_observe (estimator, &fixture->spec, 20 * MH_SECOND_US);
  g_assert_cmpfloat (mh_runtime_estimator_ratio (estimator, "batch"), ==, 1);
  mh_runtime_estimator_observe (estimator, &fixture->spec, 20 * MH_SECOND_US);
  g_assert_cmpfloat_with_epsilon (mh_runtime_estimator_ratio (estimator, "batch"), 2, 1e-9);
  g_assert_cmpint (mh_runtime_estimator_run_us (estimator, &fixture->spec), ==, 20 * MH_SECOND_US);
  g_assert_cmpfloat (mh_runtime_estimator_ratio (estimator, "other"), ==, 1);
  for (guint i = 0; i < 100; i++)
    mh_runtime_estimator_observe (estimator, &fixture->spec, 900 * MH_SECOND_US);
  g_assert_cmpfloat (mh_runtime_estimator_ratio (estimator, "batch"), ==, 4); /* the upper bound */
}

/* A response that shows a cancellation or an end before it is durable may be contradicted by the
   next leader. */
static void
test_response_is_durable (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhJob *job = &fixture->job;
  MhUserResponse response = { 0 };
  job->n_running = 1;
  job->cancellation = MH_CANCELLATION_REQUESTED;
  job->completion = MH_COMPLETION_UNWRITTEN;
  mh_job_fill_response (job, &response);
  g_assert_cmpint (response.state, ==, MH_JOB_RUNNING);
  g_assert_true (mh_job_has_no_more_starts (job));
  job->cancellation = MH_CANCELLATION_DURABLE;
  mh_job_fill_response (job, &response);
  g_assert_cmpint (response.state, ==, MH_JOB_CANCELLED);
  job->completion = MH_COMPLETION_DURABLE;
  job->final_state = MH_JOB_DONE;
  mh_job_fill_response (job, &response);
  g_assert_cmpint (response.state, ==, MH_JOB_DONE);
  g_assert_cmpuint (response.running, ==, 0);
}

/* Without a bound, the memory would grow with every job that ends. */
static void
test_final_state_cache (void)
{
  g_autoptr (MhFinalStateCache) cache = mh_final_state_cache_new (0);
  const MhUserResponse done = { .state = MH_JOB_DONE }, cancelled = { .state = MH_JOB_CANCELLED };
  mh_final_state_cache_add (cache, "first", &done);
  mh_final_state_cache_add (cache, "first", &cancelled); /* does not replace the first */
  g_assert_cmpint (mh_final_state_cache_find (cache, "first")->state, ==, MH_JOB_DONE);
  g_assert_null (mh_final_state_cache_find (cache, "other"));
  for (guint i = 0; i < 2000; i++)
    {
      g_autofree char *id = g_strdup_printf ("j-%u", i);
      mh_final_state_cache_add (cache, id, &done);
    }
  g_assert_null (mh_final_state_cache_find (cache, "first"));
  g_assert_nonnull (mh_final_state_cache_find (cache, "j-0"));
}

#define ADD(name, func) g_test_add (name, Fixture, NULL, set_up, func, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/jobs/objective/latest-start", test_latest_start);
  ADD ("/jobs/objective/slack", test_slack);
  ADD ("/jobs/queue/order", test_order);
  ADD ("/jobs/queue/tier", test_tier);
  ADD ("/jobs/runtime-estimate", test_runtime_estimate);
  ADD ("/jobs/response-is-durable", test_response_is_durable);
  g_test_add_func ("/jobs/final-state-cache", test_final_state_cache);
  return g_test_run ();
}
