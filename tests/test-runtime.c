/* Unit tests of the runtime: token bucket, clock, wake-ups, log limits, and the call queue. */
#include "base/token-bucket.h"
#include "protocol/cloud-messages.h"
#include "protocol/key-value-messages.h"
#include "protocol/worker-messages.h"
#include "runtime/call-queue.h"

#define START_US (100 * MH_SECOND_US)
#define STORE_RPS 100.0
#define WRITE_RPS 10.0
#define NEXT_WRITE_RPS 2.0

typedef struct
{
  MhSettings *settings;
  MhRuntime *runtime;
  MhCallQueue *calls;
  gint64 lease_until_us; /* 0: this controller may not act as leader */
  guint responses;
  guint last_status;
  guint freed;
} Fixture;

static gint64
lease_until_us (gconstpointer owner, gint64 now_us)
{
  const Fixture *fixture = owner;
  return now_us < fixture->lease_until_us ? fixture->lease_until_us : 0;
}

static void
set_time (Fixture *fixture, gint64 now_us)
{
  const MhNow now = { .mono_us = now_us, .wall_us = now_us };
  mh_runtime_begin_input (fixture->runtime, &now);
}

static void
set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  const MhNow now = { .mono_us = START_US, .wall_us = START_US };
  fixture->settings = mh_settings_new ();
  fixture->settings->store_rps = STORE_RPS;
  fixture->settings->store_write_rps = WRITE_RPS;
  fixture->settings->next_write_rps = NEXT_WRITE_RPS;
  fixture->settings->cloud_rps = 2;
  fixture->settings->max_connections = 120;
  fixture->runtime = mh_runtime_new (fixture->settings, &now);
  mh_runtime_set_lease_source (fixture->runtime, lease_until_us, fixture);
  fixture->calls = mh_call_queue_new (fixture->runtime);
}

static void
tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_call_queue_free (fixture->calls);
  mh_runtime_free (fixture->runtime);
  mh_settings_free (fixture->settings);
}

static void
on_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  Fixture *fixture = owner;
  g_assert_true (data == owner);
  fixture->responses++;
  fixture->last_status = response->status;
}

static void
on_free (gpointer data)
{
  ((Fixture *)data)->freed++;
}

static void
add_call (Fixture *fixture, MhRequest *request, MhCallClass class, double changes)
{
  mh_call_queue_add (fixture->calls, request,
                     &(MhCallOptions){ .class = class,
                                       .changes = changes,
                                       .timeout_us = MH_SECOND_US,
                                       .func = on_response,
                                       .owner = fixture,
                                       .data = fixture,
                                       .free_data = on_free });
}

/* Returns how many calls are sent now, and the id of the last one in `last`, which may be NULL. */
static guint
flush (Fixture *fixture, guint64 *last)
{
  guint sent = 0;
  mh_call_queue_flush (fixture->calls);
  for (MhAction *action; (action = mh_runtime_pop_action (fixture->runtime)); sent++)
    {
      g_assert_cmpint (action->kind, ==, MH_ACTION_SEND_REQUEST);
      if (last)
        *last = action->id;
      mh_action_free (action);
    }
  return sent;
}

/* ---- token bucket ---- */

/* If a bucket were filled beyond its burst, the rate limit would be exceeded after an idle time. */
static void
test_bounded_by_burst (void)
{
  MhTokenBucket bucket;
  mh_token_bucket_init (&bucket, 10, 4, START_US);
  g_assert_true (mh_token_bucket_has (&bucket, 4, START_US));
  mh_token_bucket_take (&bucket, 4);
  g_assert_false (mh_token_bucket_has (&bucket, 1, START_US));
  g_assert_true (mh_token_bucket_has (&bucket, 1, START_US + MH_SECOND_US / 10));
  g_assert_true (mh_token_bucket_has (&bucket, 4, START_US + 100 * MH_SECOND_US));
  mh_token_bucket_take (&bucket, 4);
  g_assert_false (mh_token_bucket_has (&bucket, 1, START_US + 100 * MH_SECOND_US));
}

/* If a full bucket did not allow it, a call that needs more than the burst would wait for ever. */
static void
test_full_bucket_allows_large_calls (void)
{
  MhTokenBucket bucket;
  mh_token_bucket_init (&bucket, 10, 4, START_US);
  g_assert_true (mh_token_bucket_has (&bucket, 9, START_US));
  mh_token_bucket_take (&bucket, 9);
  g_assert_false (mh_token_bucket_has (&bucket, 9, START_US + MH_SECOND_US / 2));
  g_assert_true (mh_token_bucket_has (&bucket, 9, START_US + MH_SECOND_US));
}

/* ---- time ---- */

/* If a later wake-up replaced an earlier one, work that is due would wait for the regular step. */
static void
test_earliest_wake_up_wins (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_runtime_reset_wake_up (fixture->runtime);
  gint64 regular_us = mh_runtime_next_wake_up_us (fixture->runtime);
  g_assert_cmpint (regular_us, >, START_US);
  mh_runtime_wake_at (fixture->runtime, START_US + 1000);
  mh_runtime_wake_at (fixture->runtime, regular_us + 1000);
  g_assert_cmpint (mh_runtime_next_wake_up_us (fixture->runtime), ==, START_US + 1000);
}

/* If a pause of this process went unnoticed, workers whose messages it missed would count as
   unresponsive. */
static void
test_process_pause_is_recorded (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_runtime_reset_wake_up (fixture->runtime);
  gint64 due_us = mh_runtime_next_wake_up_us (fixture->runtime);
  set_time (fixture, due_us + MH_SECOND_US / 2);
  g_assert_cmpint (mh_runtime_resumed_us (fixture->runtime), ==, 0);
  set_time (fixture, due_us + 5 * MH_SECOND_US);
  g_assert_cmpint (mh_runtime_resumed_us (fixture->runtime), ==, due_us + 5 * MH_SECOND_US);
  g_autoptr (MhAction) line = mh_runtime_pop_action (fixture->runtime);
  g_assert_cmpint (line->kind, ==, MH_ACTION_LOG);
  g_assert_true (g_str_has_prefix (line->line, "process was paused seconds="));
}

/* A response that depends on the leader lease must not be sent after the lease has ended, so it
   must carry the end of the lease. */
static void
test_responses_carry_the_lease (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->lease_until_us = START_US + MH_SECOND_US;
  mh_runtime_respond_to_user (fixture->runtime, 7, 503, 1);
  g_autoptr (MhAction) as_leader = mh_runtime_pop_action (fixture->runtime);
  g_assert_cmpint (as_leader->lease_until_us, ==, START_US + MH_SECOND_US);
  set_time (fixture, START_US + MH_SECOND_US);
  mh_runtime_respond_to_user (fixture->runtime, 8, 503, 1);
  g_autoptr (MhAction) as_follower = mh_runtime_pop_action (fixture->runtime);
  g_assert_cmpint (as_follower->lease_until_us, ==, 0);
}

/* Without the limit, a mass failure would flood the log with one line for each machine. */
static void
test_log_lines_are_rate_limited (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_true (mh_runtime_may_log (fixture->runtime, MH_LOG_BOOT));
  g_assert_false (mh_runtime_may_log (fixture->runtime, MH_LOG_BOOT));
  g_assert_true (mh_runtime_may_log (fixture->runtime, MH_LOG_PEER));
  set_time (fixture, START_US + MH_SECOND_US);
  g_assert_true (mh_runtime_may_log (fixture->runtime, MH_LOG_BOOT));
}

/* ---- calls ---- */

/* If the renewal of the lease waited behind other calls, the lease would end under load. */
static void
test_lease_calls_need_no_tokens (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  for (guint i = 0; i < 2 * STORE_RPS; i++)
    add_call (fixture, mh_kv_request_get ("f/j-000001"), MH_CALL_WORK, 0);
  guint sent = flush (fixture, NULL);
  g_assert_cmpuint (sent, >, 0);
  g_assert_cmpuint (sent, <, 2 * STORE_RPS);
  add_call (fixture, mh_kv_request_renew_lease (7), MH_CALL_LEASE, 0);
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
}

/* If waiting writes blocked reads, users' requests about ended jobs would not be answered as
   long as there is much to write. */
static void
test_waiting_writes_do_not_block_reads (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  add_call (fixture, mh_kv_request_get ("j/1"), MH_CALL_WORK, WRITE_RPS);
  add_call (fixture, mh_kv_request_get ("j/2"), MH_CALL_WORK, WRITE_RPS);
  add_call (fixture, mh_kv_request_get ("f/3"), MH_CALL_BACKGROUND, 0);
  g_assert_cmpuint (flush (fixture, NULL), ==, 2); /* the first write and the read */
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  set_time (fixture, START_US + MH_SECOND_US);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0); /* 8 - 10 + 9 tokens: not full yet */
  set_time (fixture, START_US + 2 * MH_SECOND_US);
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
}

/* Calls to workers and to the cloud must not be sent unless the lease is valid. */
static void
test_cloud_and_workers_need_a_lease (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  add_call (fixture, mh_cloud_request_machine_types (), MH_CALL_WORK, 0);
  add_call (fixture, mh_worker_request_status ("127.0.0.1:1"), MH_CALL_SAFETY, 0);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  fixture->lease_until_us = START_US + MH_SECOND_US;
  g_assert_cmpuint (flush (fixture, NULL), ==, 2);
}

/* Without a bound, calls to machines that are cut off would hold all connections. */
static void
test_calls_to_workers_are_bounded (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  fixture->lease_until_us = START_US + MH_SECOND_US;
  for (guint i = 0; i < 40; i++)
    add_call (fixture, mh_worker_request_status ("127.0.0.1:1"), MH_CALL_SAFETY, 0);
  g_assert_cmpuint (flush (fixture, &last), ==, 16);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
}

/* A response to a call of an earlier leadership would change the state of the present one. */
static void
test_forgotten_calls_take_no_response (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 first = 0, second = 0;
  add_call (fixture, mh_kv_request_get ("j/1"), MH_CALL_WORK, 0);
  g_assert_cmpuint (flush (fixture, &first), ==, 1);
  mh_call_queue_complete (fixture->calls, first, &(MhCallResponse){ .status = 404 });
  g_assert_cmpuint (fixture->responses, ==, 1);
  g_assert_cmpuint (fixture->last_status, ==, 404);
  g_assert_cmpuint (fixture->freed, ==, 1);
  add_call (fixture, mh_kv_request_get ("j/2"), MH_CALL_WORK, 0);
  g_assert_cmpuint (flush (fixture, &second), ==, 1);
  add_call (fixture, mh_kv_request_get ("j/3"), MH_CALL_WORK, 0);
  mh_call_queue_forget_all (fixture->calls);
  g_assert_cmpuint (fixture->freed, ==, 3);
  mh_call_queue_complete (fixture->calls, second, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (fixture->responses, ==, 1);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
}

static void
add_reads (Fixture *fixture, guint count, gint64 deadline_us)
{
  for (guint i = 0; i < count; i++)
    mh_call_queue_add (fixture->calls, mh_kv_request_get ("f/j-000001"),
                       &(MhCallOptions){ .class = MH_CALL_BACKGROUND,
                                         .timeout_us = MH_SECOND_US,
                                         .deadline_us = deadline_us,
                                         .func = on_response,
                                         .owner = fixture,
                                         .data = fixture,
                                         .free_data = on_free });
}

/* Guards against users' reads that hold every connection to the store: the renewal of the lease and
   writes would wait for them in the HTTP client. */
static void
test_reads_leave_connections (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  add_reads (fixture, (guint)STORE_RPS, 0);
  g_assert_cmpuint (flush (fixture, &last), ==, MH_USER_READ_CONNECTIONS);
  add_call (fixture, mh_kv_request_renew_lease (7), MH_CALL_LEASE, 0);
  add_call (fixture, mh_kv_request_get ("j/1"), MH_CALL_WORK, 0);
  g_assert_cmpuint (flush (fixture, NULL), ==, 2);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
}

/* Guards against calls of an ended leadership that the next one does not count, though they still
   hold their connections. */
static void
test_forgotten_calls_hold_connections (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  add_reads (fixture, (guint)STORE_RPS, 0);
  flush (fixture, &last);
  mh_call_queue_forget_all (fixture->calls);
  add_reads (fixture, 1, 0);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
  g_assert_cmpuint (fixture->responses, ==, 0);
}

/* Guards against reads for users who have given up: they would take the store's capacity from those
   who still wait. */
static void
test_expired_reads_are_not_sent (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  gint64 deadline_us = START_US + MH_SECOND_US / 2;
  add_reads (fixture, MH_USER_READ_CONNECTIONS + 3, deadline_us);
  g_assert_cmpuint (flush (fixture, &last), ==, MH_USER_READ_CONNECTIONS);
  g_assert_cmpint (mh_runtime_next_wake_up_us (fixture->runtime), <=, deadline_us);
  set_time (fixture, deadline_us);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  g_assert_cmpuint (fixture->responses, ==, 4);
  g_assert_cmpuint (fixture->last_status, ==, 0);
  g_assert_cmpuint (mh_runtime_get_count (fixture->runtime, MH_COUNTER_CALL_EXPIRED), ==, 3);
}

/* Guards against a read that is sent just after its deadline, between two searches for expired
   ones: its time limit was negative, and its connection would never come back if the store did not
   answer. */
static void
test_read_is_sent_after_deadline (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  gint64 deadline_us = START_US + MH_SECOND_US / 10;
  add_reads (fixture, MH_USER_READ_CONNECTIONS, 0);
  flush (fixture, &last);
  add_reads (fixture, 1, deadline_us + 10 * MH_MILLISECOND_US);
  add_reads (fixture, 1, deadline_us);
  set_time (fixture, deadline_us);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  set_time (fixture, deadline_us + 15 * MH_MILLISECOND_US);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  set_time (fixture, deadline_us + 25 * MH_MILLISECOND_US);
  g_assert_cmpuint (flush (fixture, NULL), ==, 0);
  g_assert_cmpuint (mh_runtime_get_count (fixture->runtime, MH_COUNTER_CALL_EXPIRED), ==, 2);
}

/* Guards against reads that are sent in the order of their arrival under overload, so that each is
   sent just before its user gives up. */
static void
test_newest_read_is_sent_first (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  guint64 last = 0;
  add_reads (fixture, MH_USER_READ_CONNECTIONS, 0);
  flush (fixture, &last);
  add_reads (fixture, 1, START_US + MH_SECOND_US);
  add_reads (fixture, 1, START_US + 2 * MH_SECOND_US);
  mh_call_queue_complete (fixture->calls, last, &(MhCallResponse){ .status = 200 });
  g_assert_cmpuint (flush (fixture, NULL), ==, 1);
  set_time (fixture, START_US + MH_SECOND_US);
  flush (fixture, NULL);
  g_assert_cmpuint (mh_runtime_get_count (fixture->runtime, MH_COUNTER_CALL_EXPIRED), ==, 1);
}

/* If a 429 did not lower the write rate, the store would refuse each leader's writes again, at a
   rate that it no longer allows. */
static void
test_throttling_lowers_write_rate (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  double tokens;
  g_assert_false (mh_call_queue_write_rate_is_lowered (fixture->calls));
  mh_call_queue_handle_store_failure (fixture->calls, 503);
  g_assert_false (mh_call_queue_write_rate_is_lowered (fixture->calls));
  g_assert_cmpint (mh_call_queue_store_paused_until_us (fixture->calls), >, START_US);
  g_assert_false (mh_call_queue_may_write (fixture->calls, 1, &tokens));
  mh_call_queue_handle_store_failure (fixture->calls, 429);
  g_assert_true (mh_call_queue_write_rate_is_lowered (fixture->calls));
  g_assert_cmpfloat (mh_call_queue_write_burst (fixture->calls), <, NEXT_WRITE_RPS);
  set_time (fixture, START_US + 10 * MH_SECOND_US);
  g_assert_true (mh_call_queue_may_write (fixture->calls, 1, &tokens));
}

#define ADD(name, test) g_test_add (name, Fixture, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/token-bucket/bounded-by-burst", test_bounded_by_burst);
  g_test_add_func ("/token-bucket/full-bucket-allows-large-calls",
                   test_full_bucket_allows_large_calls);
  ADD ("/runtime/earliest-wake-up-wins", test_earliest_wake_up_wins);
  ADD ("/runtime/process-pause-is-recorded", test_process_pause_is_recorded);
  ADD ("/runtime/responses-carry-the-lease", test_responses_carry_the_lease);
  ADD ("/runtime/log-lines-are-rate-limited", test_log_lines_are_rate_limited);
  ADD ("/call-queue/lease-calls-need-no-tokens", test_lease_calls_need_no_tokens);
  ADD ("/call-queue/waiting-writes-do-not-block-reads", test_waiting_writes_do_not_block_reads);
  ADD ("/call-queue/cloud-and-workers-need-a-lease", test_cloud_and_workers_need_a_lease);
  ADD ("/call-queue/calls-to-workers-are-bounded", test_calls_to_workers_are_bounded);
  ADD ("/call-queue/forgotten-calls-take-no-response", test_forgotten_calls_take_no_response);
  ADD ("/call-queue/user-reads-hold-all-connections", test_reads_leave_connections);
  ADD ("/call-queue/forgotten-calls-hold-connections", test_forgotten_calls_hold_connections);
  ADD ("/call-queue/expired-reads-are-sent", test_expired_reads_are_not_sent);
  ADD ("/call-queue/read-is-sent-after-deadline", test_read_is_sent_after_deadline);
  ADD ("/call-queue/oldest-read-is-sent-first", test_newest_read_is_sent_first);
  ADD ("/call-queue/throttling-lowers-write-rate", test_throttling_lowers_write_rate);
  return g_test_run ();
}
