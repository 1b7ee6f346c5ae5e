/* The checks of users' answers, with histories written by hand: each must be able to fail. */
#include "stand-in/environment.h"
#include "stand-in/simulation.h"
#include "stand-in/simulation-settings.h"

#include <string.h>

#define TASKS 2u
#define START_US (100 * MH_SECOND_US)

typedef struct
{
  MhSettings *settings;
  Environment *environment;
  User user;
} Fixture;

static void
set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->settings = simulation_settings_new (0);
  fixture->environment = environment_new (fixture->settings, START_US);
  fixture->user.rules = fixture->environment->rules;
  fixture->user.job = workload_add (fixture->environment->workload,
                                    job_spec_new (1, MH_SHAPE_ARRAY, TASKS, 1), MH_SECOND_US);
}

static void
tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  environment_free (fixture->environment);
  mh_settings_free (fixture->settings);
}

static void
answer_at (Fixture *fixture, MhUserVerb verb, gint64 sent_us, gint64 now_us, guint status,
           MhJobState state)
{
  const MhUserResponse response = { .status = status, .state = state };
  user_note_response (&fixture->user, verb, sent_us, now_us, &response);
}

static void
answer (Fixture *fixture, MhUserVerb verb, guint status, MhJobState state)
{
  answer_at (fixture, verb, START_US, START_US, status, state);
}

static void
finish_job (Fixture *fixture)
{
  for (guint i = 0; i < TASKS; i++)
    workload_job_finish_task (fixture->user.job, i);
}

static void
assert_violation (const Fixture *fixture, const char *rule)
{
  const GPtrArray *violations = fixture->environment->rules->violations;
  g_assert_cmpuint (violations->len, ==, rule ? 1 : 0);
  if (rule)
    g_assert_nonnull (strstr (g_ptr_array_index (violations, 0), rule));
}

/* Guards against a check that no longer notices an accepted job that a controller denies. */
static void
test_accepted_job_denied (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  answer (fixture, MH_USER_STATUS, 404, MH_JOB_PENDING);
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_PENDING);
  assert_violation (fixture, NULL);
  answer (fixture, MH_USER_STATUS, 404, MH_JOB_PENDING);
  assert_violation (fixture, "forgotten");
}

/* Guards against a check that takes an answer after its user has left, or none, for an answer. */
static void
test_unanswered_for_75_seconds (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  gint64 late_us = START_US + 80 * MH_SECOND_US;
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_PENDING);
  user_check_answered (&fixture->user, START_US + 75 * MH_SECOND_US, START_US);
  assert_violation (fixture, NULL);
  answer_at (fixture, MH_USER_STATUS, late_us - 3 * MH_SECOND_US, late_us, 200, MH_JOB_PENDING);
  answer_at (fixture, MH_USER_STATUS, late_us, late_us, 503, MH_JOB_PENDING);
  user_check_answered (&fixture->user, late_us, START_US);
  assert_violation (fixture, "forgotten");
}

/* Guards against a check that counts time in which faults were going on. */
static void
test_time_with_faults_is_not_counted (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_PENDING);
  user_check_answered (&fixture->user, START_US + 100 * MH_SECOND_US, START_US + 50 * MH_SECOND_US);
  assert_violation (fixture, NULL);
}

/* Guards against a check that lets a done job become anything else. */
static void
test_done_job_goes_back (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  finish_job (fixture);
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_DONE);
  answer (fixture, MH_USER_STATUS, 200, MH_JOB_RUNNING);
  assert_violation (fixture, "went_back");
}

/* Guards against a check that blames an answer to a question asked before the final answer. */
static void
test_older_question_is_allowed (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  finish_job (fixture);
  answer_at (fixture, MH_USER_SUBMIT, START_US, START_US + 2, 200, MH_JOB_DONE);
  answer_at (fixture, MH_USER_STATUS, START_US + 1, START_US + 3, 200, MH_JOB_RUNNING);
  assert_violation (fixture, NULL);
}

/* Guards against a check that lets a job be called done before its tasks are. */
static void
test_done_too_early (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  workload_job_finish_task (fixture->user.job, 0);
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_DONE);
  assert_violation (fixture, "not_done");
}

/* Guards against a check that lets a job be cancelled that its user did not cancel. */
static void
test_cancelled_without_request (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  answer (fixture, MH_USER_SUBMIT, 201, MH_JOB_CANCELLED);
  assert_violation (fixture, "went_back");
}

/* Guards against a check that lets a cancelled job become anything else. */
static void
test_cancelled_job_goes_back (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  user_cancel (&fixture->user);
  answer (fixture, MH_USER_CANCEL, 200, MH_JOB_CANCELLED);
  answer (fixture, MH_USER_STATUS, 200, MH_JOB_PENDING);
  assert_violation (fixture, "went_back");
}

#define ADD(name, test) g_test_add (name, Fixture, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("/answer-checks/accepted-job-denied", test_accepted_job_denied);
  ADD ("/answer-checks/unanswered-for-75-seconds", test_unanswered_for_75_seconds);
  ADD ("/answer-checks/time-with-faults-is-counted", test_time_with_faults_is_not_counted);
  ADD ("/answer-checks/done-job-goes-back", test_done_job_goes_back);
  ADD ("/answer-checks/older-question-is-blamed", test_older_question_is_allowed);
  ADD ("/answer-checks/done-too-early", test_done_too_early);
  ADD ("/answer-checks/cancelled-without-request", test_cancelled_without_request);
  ADD ("/answer-checks/cancelled-job-goes-back", test_cancelled_job_goes_back);
  return g_test_run ();
}
