/* Tests of the parts of the autoscaler: release states, cloud errors, capacity estimates,
   completion forecasts, offers, demand, and how scale-out and scale-in react to responses. */
#include "autoscaler/capacity-estimate.h"
#include "autoscaler/cloud-error.h"
#include "autoscaler/completion-forecast.h"
#include "autoscaler/demand.h"
#include "autoscaler/machine-offer.h"
#include "autoscaler/release-state.h"
#include "autoscaler/scale-in.h"
#include "controller/core-private.h"

#include <string.h>

#define START_US (1000 * MH_SECOND_US)

/* ---- the states of a release ---- */

#define REFUSED (-1)

/* The expected state after each event, by state. */
static const gint next_states[MH_RELEASE_STATES][MH_RELEASE_EVENTS]
    = { [MH_RELEASE_REQUESTED] = { [MH_RELEASE_EVENT_BATCHED] = MH_RELEASE_RECORDING,
                                   [MH_RELEASE_EVENT_RECORD_DURABLE] = REFUSED,
                                   [MH_RELEASE_EVENT_RECORD_UNKNOWN] = REFUSED,
                                   [MH_RELEASE_EVENT_LEADERSHIP_LOST] = REFUSED,
                                   [MH_RELEASE_EVENT_DELETION_CONFIRMED] = REFUSED,
                                   [MH_RELEASE_EVENT_DELETION_UNKNOWN] = REFUSED },
        [MH_RELEASE_RECORDING] = { [MH_RELEASE_EVENT_BATCHED] = REFUSED,
                                   [MH_RELEASE_EVENT_RECORD_DURABLE] = MH_RELEASE_DELETING,
                                   [MH_RELEASE_EVENT_RECORD_UNKNOWN] = MH_RELEASE_RECORDING,
                                   [MH_RELEASE_EVENT_LEADERSHIP_LOST] = MH_RELEASE_ABANDONED,
                                   [MH_RELEASE_EVENT_DELETION_CONFIRMED] = REFUSED,
                                   [MH_RELEASE_EVENT_DELETION_UNKNOWN] = REFUSED },
        [MH_RELEASE_DELETING] = { [MH_RELEASE_EVENT_BATCHED] = REFUSED,
                                  [MH_RELEASE_EVENT_RECORD_DURABLE] = REFUSED,
                                  [MH_RELEASE_EVENT_RECORD_UNKNOWN] = REFUSED,
                                  [MH_RELEASE_EVENT_LEADERSHIP_LOST] = REFUSED,
                                  [MH_RELEASE_EVENT_DELETION_CONFIRMED] = MH_RELEASE_CONFIRMED,
                                  [MH_RELEASE_EVENT_DELETION_UNKNOWN] = MH_RELEASE_DELETING },
        [MH_RELEASE_CONFIRMED] = { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED },
        [MH_RELEASE_ABANDONED] = { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED } };

/* Guards against deleting machines whose release is not recorded, and against treating a machine as
   gone before the cloud has confirmed it. */
static void
test_release_state (gconstpointer data)
{
  MhReleaseState from = (MhReleaseState)GPOINTER_TO_UINT (data);
  for (guint event = 0; event < MH_RELEASE_EVENTS; event++)
    {
      MhReleaseState state = from;
      bool accepted = mh_release_state_advance (&state, (MhReleaseEvent)event);
      gint expected = next_states[from][event];
      g_assert_cmpint (accepted, ==, expected != REFUSED);
      g_assert_cmpint ((gint)state, ==, expected == REFUSED ? (gint)from : expected);
    }
}

/* ---- errors of the cloud ---- */

typedef struct
{
  guint status;
  const char *reason; /* error value in the body; NULL: no body */
  MhCloudError code;
  bool is_final;
} CloudResponse;

static const CloudResponse cloud_responses[]
    = { { 503, "no capacity", MH_CLOUD_ERROR_NO_CAPACITY, true },
        { 503, "trouble", MH_CLOUD_ERROR_UNAVAILABLE, true },
        { 503, NULL, MH_CLOUD_ERROR_UNAVAILABLE, true },
        { 400, NULL, MH_CLOUD_ERROR_INVALID_REQUEST, true },
        { 429, NULL, MH_CLOUD_ERROR_THROTTLED, false },
        { 0, NULL, MH_CLOUD_ERROR_UNKNOWN_OUTCOME, false },
        { 500, NULL, MH_CLOUD_ERROR_UNKNOWN_OUTCOME, false } };

/* A request that may have been carried out must not be repeated under another name, which would
   create its machines twice. */
static void
test_cloud_error_responses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (cloud_responses); i++)
    {
      const CloudResponse *response = &cloud_responses[i];
      g_autoptr (GError) error = NULL;
      g_autoptr (MhValue) body = response->reason ? mh_value_new_map () : NULL;
      if (body)
        mh_value_set_text (body, "error", response->reason);
      g_assert_false (mh_cloud_check_response (response->status, body, &error));
      g_assert_error (error, MH_CLOUD_ERROR, (gint)response->code);
      g_assert_cmpint (mh_cloud_error_is_final (error), ==, response->is_final);
    }
  g_assert_true (mh_cloud_check_response (200, NULL, NULL));
}

static MhValue *
created_machines (const char *const *names)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_strv (body, "boxes", (char **)names);
  return body;
}

/* Guards against treating a response that cannot be decoded as if no machine had been created. */
static void
test_cloud_error_malformed_response (void)
{
  const char *names[] = { "vm-1", NULL };
  g_autoptr (GError) error = NULL;
  g_autoptr (MhValue) empty = mh_value_new_map (), body = created_machines (names);
  g_assert_null (mh_cloud_read_created_machines (200, empty, &error));
  g_assert_error (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_MALFORMED_RESPONSE);
  g_assert_false (mh_cloud_error_is_final (error));
  g_auto (GStrv) created = mh_cloud_read_created_machines (200, body, NULL);
  g_assert_true (g_strv_equal ((const char *const *)created, names));
}

/* ---- release reasons ---- */

/* Every reason needs a distinct text without spaces, so that the log shows why a machine was
   released. */
static void
test_release_reason_texts (void)
{
  g_autoptr (GHashTable) texts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint reason = 0; reason <= MH_RELEASE_REASON_FAILS_EVERY_TASK; reason++)
    {
      const char *text = mh_release_reason_text ((MhReleaseReason)reason);
      g_assert_nonnull (text);
      g_assert_null (strchr (text, ' '));
      g_assert_true (g_hash_table_add (texts, (gpointer)text));
    }
  g_assert_cmpstr (mh_release_reason_text (MH_RELEASE_REASON_SILENT_ZONE), ==, "silent_zone");
}

/* ---- lost capacity ---- */

/* Guards against a negative counter: if new machines have more CPUs than were lost, later losses
   would be replaced only in part. */
static void
test_lost_capacity_never_negative (void)
{
  g_autoptr (MhLostCapacity) lost_capacity = mh_lost_capacity_new ();
  mh_lost_capacity_add (lost_capacity, 6);
  mh_lost_capacity_add (lost_capacity, 2);
  mh_lost_capacity_replace (lost_capacity, 4);
  g_assert_cmpfloat (mh_lost_capacity_cpus (lost_capacity), ==, 4);
  mh_lost_capacity_replace (lost_capacity, 32);
  g_assert_cmpfloat (mh_lost_capacity_cpus (lost_capacity), ==, 0);
  mh_lost_capacity_add (lost_capacity, 1);
  mh_lost_capacity_clear (lost_capacity);
  g_assert_cmpfloat (mh_lost_capacity_cpus (lost_capacity), ==, 0);
}

/* ---- completion forecast ---- */

static guint
reserve (MhCompletionForecast *forecast, guint tasks, double cpus, gint64 latest_us)
{
  MhForecastRequest request
      = { .cpus = cpus, .tasks = tasks, .latest_us = latest_us, .hold_us = 100 };
  return mh_completion_forecast_reserve (forecast, &request);
}

/* Guards against letting tasks wait for CPUs that become free too late for them, so that no machine
   is created in time. */
static void
test_forecast_in_time (void)
{
  g_autoptr (MhCompletionForecast) forecast = mh_completion_forecast_new ();
  mh_completion_forecast_add_completion (forecast, 50, 2);
  mh_completion_forecast_add_completion (forecast, 10, 1);
  mh_completion_forecast_add_completion (forecast, 30, 1);
  g_assert_cmpuint (reserve (forecast, 5, 1, 9), ==, 0);
  g_assert_cmpuint (reserve (forecast, 5, 1, 30), ==, 2);
  g_assert_cmpuint (reserve (forecast, 5, 1, 49), ==, 0);
}

/* CPUs that are reserved for a task become free again after its run time: neither at once, which
   would let several tasks use them at the same time, nor never. */
static void
test_forecast_tasks_end_again (void)
{
  g_autoptr (MhCompletionForecast) forecast = mh_completion_forecast_new ();
  mh_completion_forecast_add_completion (forecast, 10, 1);
  g_assert_cmpuint (reserve (forecast, 5, 1, 109), ==, 1);
  g_assert_cmpuint (reserve (forecast, 5, 1, 110), ==, 1);
  g_assert_cmpuint (reserve (forecast, 5, 1, 310), ==, 2);
}

/* A task that needs the CPUs of several other tasks must not start before the last of them has
   ended. */
static void
test_forecast_adds_up (void)
{
  g_autoptr (MhCompletionForecast) forecast = mh_completion_forecast_new ();
  mh_completion_forecast_add_completion (forecast, 10, 1);
  mh_completion_forecast_add_completion (forecast, 20, 1);
  g_assert_cmpuint (reserve (forecast, 1, 2, 19), ==, 0);
  g_assert_cmpuint (reserve (forecast, 1, 2, 20), ==, 1);
}

/* ---- tests with machines, jobs and responses of the cloud ---- */

typedef struct
{
  MhSettings *settings;
  MhCore *core;
  MhAutoscalerContext context;
  MhLostCapacity *lost_capacity;
  MhScaleOut *scale_out;
  MhScaleIn *scale_in;
  guint64 last_call;    /* id of the latest call */
  guint ended_requests; /* ended requests for machines */
} Fixture;

static void
set_time (Fixture *fixture, gint64 now_us)
{
  MhNow now = { .mono_us = now_us, .wall_us = now_us };
  mh_runtime_begin_input (fixture->core->runtime, &now);
}

static void
add_type (GPtrArray *types, const char *name, double cpus, double price)
{
  const char *zones[] = { "a", "b", NULL };
  MhMachineType *type = g_new0 (MhMachineType, 1);
  type->name = g_strdup (name);
  type->cpus = cpus;
  type->mem_gb = 4 * cpus;
  type->price = price;
  type->spot_price = price / 2;
  type->boot_us = 30 * MH_SECOND_US;
  type->zones = g_strdupv ((char **)zones);
  g_ptr_array_add (types, type);
}

static void
on_request_ended (gpointer owner)
{
  ((Fixture *)owner)->ended_requests++;
}

static void
set_up (Fixture *fixture, gconstpointer data)
{
  (void)data;
  MhNow now = { .mono_us = START_US, .wall_us = START_US };
  fixture->settings = mh_settings_new ();
  fixture->settings->heartbeat_interval_us = 3 * MH_SECOND_US;
  fixture->settings->value_bytes = 32768;
  fixture->settings->txn_ops = 64;
  fixture->settings->store_rps = fixture->settings->store_write_rps = 100;
  fixture->settings->cloud_rps = 100;
  fixture->settings->idle_limit_us = 8 * MH_SECOND_US;
  MhCore *core = fixture->core = mh_core_new (fixture->settings, &now);
  GPtrArray *types = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  add_type (types, "small", 4, 0.4);
  add_type (types, "large", 32, 3.3);
  mh_cluster_set_types (core->cluster, types);
  fixture->context = (MhAutoscalerContext){ .cluster = core->cluster,
                                            .runtime = core->runtime,
                                            .calls = core->calls,
                                            .settings = fixture->settings,
                                            .election = core->election,
                                            .recovery = core->recovery,
                                            .record_writer = core->record_writer,
                                            .jobs = core->jobs,
                                            .job_queue = core->job_queue,
                                            .runtime_estimator = core->runtime_estimator };
  fixture->lost_capacity = mh_lost_capacity_new ();
  fixture->scale_out = mh_scale_out_new (&fixture->context, fixture->lost_capacity);
  mh_scale_out_set_done_func (fixture->scale_out, on_request_ended, fixture);
  fixture->scale_in = mh_scale_in_new (&fixture->context, fixture->lost_capacity);
}

static void
tear_down (Fixture *fixture, gconstpointer data)
{
  (void)data;
  mh_core_free (fixture->core);
  mh_scale_in_free (fixture->scale_in);
  mh_scale_out_free (fixture->scale_out);
  mh_lost_capacity_free (fixture->lost_capacity);
  mh_settings_free (fixture->settings);
}

/* Makes respond () apply to the next call. */
static void
expect_call (Fixture *fixture)
{
  fixture->last_call = mh_runtime_next_id (fixture->core->runtime) + 1;
}

/* Responds to the latest call. A call that is made in response becomes the latest one. */
static void
respond (Fixture *fixture, guint status, const MhValue *body)
{
  MhCallResponse response = { .status = status, .body = body };
  guint64 last_call = fixture->last_call;
  expect_call (fixture);
  mh_call_queue_complete (fixture->core->calls, last_call, &response);
}

static MhMachine *
add_machine (Fixture *fixture, const char *name, const char *zone)
{
  MhMachine *machine = mh_cluster_add_machine (fixture->core->cluster, name, "small", zone, false);
  machine->heartbeat.reported = true;
  mh_machine_change_state (machine, MH_MACHINE_EVENT_REPORTED);
  machine->boot.created_us = START_US - 1000 * MH_SECOND_US;
  machine->idle_since_us = START_US;
  return machine;
}

static MhJob *
add_job (Fixture *fixture, guint tasks, double cpus)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup ("j-000001");
  spec->class_name = g_strdup ("batch");
  spec->team = g_strdup ("red");
  spec->image = g_strdup ("image");
  spec->shape = MH_SHAPE_ARRAY;
  spec->priority = MH_PRIORITY_NORMAL;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->mem_gb = 1;
  spec->deadline_us = -1;
  MhJob *job = mh_job_new (spec, 0, 32768, START_US, mh_runtime_now (fixture->core->runtime));
  g_hash_table_insert (fixture->core->jobs, spec->id, job);
  return job;
}

/* Requests @count machines of type "small", with four CPUs each, in zone a. */
static void
request_machines (Fixture *fixture, guint count)
{
  g_autoptr (GRefString) zone = g_ref_string_new_intern ("a");
  g_autoptr (GArray) estimates = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate));
  MhCapacityEstimate estimate = mh_capacity_estimate_for_type (
      g_ptr_array_index (mh_cluster_types (fixture->core->cluster), 0), zone, false);
  estimate.to_create = true;
  for (guint i = 0; i < count; i++)
    g_array_append_val (estimates, estimate);
  expect_call (fixture);
  mh_scale_out_request (fixture->scale_out, estimates);
}

static bool
is_small_type_refused (const Fixture *fixture, const char *zone)
{
  return mh_scale_out_is_kind_refused (
      fixture->scale_out, g_ptr_array_index (mh_cluster_types (fixture->core->cluster), 0), zone,
      false);
}

/* Guards against assigning tasks to machines whose memory, kind (spot or not) or zone does not suit
   them. */
static void
test_capacity_estimate_suits_and_counts (Fixture *fixture, gconstpointer data)
{
  (void)data;
  MhJob *job = add_job (fixture, 10, 1);
  g_autoptr (GRefString) zone = g_ref_string_new_intern ("a");
  g_autoptr (GRefString) other = g_ref_string_new_intern ("b");
  const MhMachineType *small = g_ptr_array_index (mh_cluster_types (fixture->core->cluster), 0);
  MhCapacityEstimate estimate = mh_capacity_estimate_for_type (small, zone, true);
  g_assert_false (mh_capacity_estimate_suits_job (&estimate, job, NULL)); /* not a spot job */
  estimate.spot = false;
  g_assert_true (mh_capacity_estimate_suits_job (&estimate, job, zone));
  g_assert_false (mh_capacity_estimate_suits_job (&estimate, job, other));
  g_assert_cmpuint (mh_capacity_estimate_count_tasks (&estimate, job->spec, 10), ==, 4);
  job->spec->mem_gb = 8;
  g_assert_cmpuint (mh_capacity_estimate_count_tasks (&estimate, job->spec, 10), ==, 2);
  mh_capacity_estimate_reserve (&estimate, job->spec, 1);
  g_assert_cmpuint (mh_capacity_estimate_count_tasks (&estimate, job->spec, 10), ==, 1);
  g_assert_cmpfloat (estimate.available.cpus, ==, 3);
}

/* Guards against creating a large machine for a few tasks, small ones for many tasks, or all
   machines in one zone. */
static void
test_offers_cheapest (Fixture *fixture, gconstpointer data)
{
  (void)data;
  MhJob *job = add_job (fixture, 40, 3);
  add_machine (fixture, "vm-1", "a");
  g_autoptr (GArray) starting = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate));
  g_autoptr (MhMachineOffers) offers
      = mh_machine_offers_new (&fixture->context, fixture->scale_out, starting);
  const MhMachineOffer *offer = mh_machine_offers_find_cheapest (offers, job, NULL, 2);
  g_assert_cmpstr (offer->type->name, ==, "small");
  g_assert_cmpstr (offer->zone, ==, "b"); /* zone with the fewest machines */
  g_assert_false (offer->spot);
  offer = mh_machine_offers_find_cheapest (offers, job, NULL, 40);
  g_assert_cmpstr (offer->type->name, ==, "large");
  job->spec->cpus = 64;
  g_assert_null (mh_machine_offers_find_cheapest (offers, job, NULL, 2));
}

/* Guards against repeated requests for an exhausted kind of machine instead of another kind. */
static void
test_no_capacity (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_autoptr (MhValue) body = mh_value_new_map ();
  mh_value_set_text (body, "error", "no capacity");
  request_machines (fixture, 2);
  g_assert_true (mh_scale_out_is_busy (fixture->scale_out));
  respond (fixture, 503, body);
  g_assert_false (mh_scale_out_is_busy (fixture->scale_out));
  g_assert_cmpuint (fixture->ended_requests, ==, 1);
  g_assert_true (is_small_type_refused (fixture, "a"));
  g_assert_false (is_small_type_refused (fixture, "b"));
  MhJob *job = add_job (fixture, 1, 1);
  g_autoptr (GArray) starting = g_array_new (FALSE, FALSE, sizeof (MhCapacityEstimate));
  g_autoptr (MhMachineOffers) offers
      = mh_machine_offers_new (&fixture->context, fixture->scale_out, starting);
  g_assert_cmpstr (mh_machine_offers_find_cheapest (offers, job, NULL, 1)->zone, ==, "b");
  set_time (fixture, START_US + 15 * MH_SECOND_US);
  g_assert_false (is_small_type_refused (fixture, "a"));
}

/* After an outage of the cloud, a kind of machine must be requested again sooner than after the
   cloud had no capacity for it. */
static void
test_unavailable (Fixture *fixture, gconstpointer data)
{
  (void)data;
  request_machines (fixture, 2);
  respond (fixture, 503, NULL);
  g_assert_true (is_small_type_refused (fixture, "a"));
  set_time (fixture, START_US + 2 * MH_SECOND_US);
  g_assert_false (is_small_type_refused (fixture, "a"));
}

/* Guards against dropping a request whose response was lost, which would create its machines a
   second time. */
static void
test_unknown_outcome (Fixture *fixture, gconstpointer data)
{
  (void)data;
  const char *names[] = { "vm-1", "vm-2", NULL };
  g_autoptr (MhValue) body = created_machines (names);
  mh_lost_capacity_add (fixture->lost_capacity, 10);
  request_machines (fixture, 2);
  respond (fixture, 0, NULL);
  respond (fixture, 429, NULL);
  g_assert_true (mh_scale_out_is_busy (fixture->scale_out));
  g_assert_false (is_small_type_refused (fixture, "a"));
  respond (fixture, 200, body);
  g_assert_false (mh_scale_out_is_busy (fixture->scale_out));
  g_assert_nonnull (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  g_assert_nonnull (mh_cluster_find_machine (fixture->core->cluster, "vm-2"));
  g_assert_false (is_small_type_refused (fixture, "a"));
  g_assert_cmpfloat (mh_lost_capacity_cpus (fixture->lost_capacity), ==, 2);
}

/* Guards against requesting a kind again at once although the cloud created only some of the
   requested machines, which means that it has no more of them. */
static void
test_partly_filled (Fixture *fixture, gconstpointer data)
{
  (void)data;
  const char *names[] = { "vm-1", NULL };
  g_autoptr (MhValue) body = created_machines (names);
  request_machines (fixture, 2);
  respond (fixture, 200, body);
  g_assert_nonnull (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  g_assert_true (is_small_type_refused (fixture, "a"));
}

/* Guards against keeping refused kinds, or a request in flight, of an earlier leadership. */
static void
test_scale_out_reset (Fixture *fixture, gconstpointer data)
{
  (void)data;
  request_machines (fixture, 2);
  respond (fixture, 503, NULL);
  request_machines (fixture, 2);
  mh_call_queue_forget_all (fixture->core->calls);
  mh_scale_out_reset (fixture->scale_out);
  g_assert_false (mh_scale_out_is_busy (fixture->scale_out));
  g_assert_false (is_small_type_refused (fixture, "a"));
}

static void
step_scale_in (Fixture *fixture)
{
  expect_call (fixture);
  mh_scale_in_step (fixture->scale_in);
}

/* Guards against treating a machine as gone before the cloud has confirmed its release, and against
   keeping it in the cluster afterwards. */
static void
test_release (Fixture *fixture, gconstpointer data)
{
  (void)data;
  MhMachine *machine = add_machine (fixture, "vm-1", "a");
  machine->usage.cpus = 3;
  mh_scale_in_release_machine (fixture->scale_in, machine, MH_RELEASE_REASON_FAILED);
  mh_scale_in_release_machine (fixture->scale_in, machine,
                               MH_RELEASE_REASON_FAILED); /* no effect */
  g_assert_true (mh_machine_is_releasing (machine));
  g_assert_cmpfloat (mh_lost_capacity_cpus (fixture->lost_capacity), ==, 3);
  g_assert_false (mh_scale_in_is_idle (fixture->scale_in));
  step_scale_in (fixture);
  respond (fixture, 200, NULL); /* write of the record */
  g_assert_true (mh_cluster_find_machine (fixture->core->cluster, "vm-1") == machine);
  respond (fixture, 200, NULL); /* release by the cloud */
  g_assert_null (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  g_assert_true (mh_cluster_was_released (fixture->core->cluster, "vm-1"));
  g_assert_true (mh_scale_in_is_idle (fixture->scale_in));
}

/* Guards against a machine that is paid for but never used again, because a response was lost and
   the release was not retried. */
static void
test_release_is_retried (Fixture *fixture, gconstpointer data)
{
  (void)data;
  mh_scale_in_release_machine (fixture->scale_in, add_machine (fixture, "vm-1", "a"),
                               MH_RELEASE_REASON_FAILED);
  step_scale_in (fixture);
  respond (fixture, 0, NULL);   /* write of the record: unknown outcome */
  respond (fixture, 409, NULL); /* the record exists: the first write was carried out */
  respond (fixture, 0, NULL);   /* release by the cloud: unknown outcome */
  respond (fixture, 503, NULL);
  g_assert_nonnull (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  g_assert_false (mh_scale_in_is_idle (fixture->scale_in));
  respond (fixture, 200, NULL);
  g_assert_null (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  g_assert_true (mh_scale_in_is_idle (fixture->scale_in));
}

/* Guards against a former leader that deletes machines that its successor uses. */
static void
test_release_by_former_leader (Fixture *fixture, gconstpointer data)
{
  (void)data;
  const char *failed[] = { "leader", NULL };
  g_autoptr (MhValue) body = mh_value_new_map ();
  mh_value_set_strv (body, "failed", (char **)failed);
  mh_scale_in_release_machine (fixture->scale_in, add_machine (fixture, "vm-1", "a"),
                               MH_RELEASE_REASON_FAILED);
  step_scale_in (fixture);
  respond (fixture, 409, body);
  respond (fixture, 200, NULL); /* there is no call to respond to */
  g_assert_nonnull (mh_cluster_find_machine (fixture->core->cluster, "vm-1"));
  mh_call_queue_forget_all (fixture->core->calls);
  mh_scale_in_reset (fixture->scale_in);
  g_assert_true (mh_scale_in_is_idle (fixture->scale_in));
}

/* Guards against a new leader that uses a machine which a delayed request of an earlier leader may
   still delete. */
static void
test_loaded_release (Fixture *fixture, gconstpointer data)
{
  (void)data;
  const char *names[] = { "vm-1", "vm-2", NULL };
  MhKvEntry entry
      = { .key = (char *)"x/1/1", .value = mh_record_write_release ((char **)names), .version = 7 };
  MhMachine *known = add_machine (fixture, "vm-1", "a");
  mh_scale_in_load_release (fixture->scale_in, &entry);
  mh_value_unref (entry.value);
  g_assert_true (mh_machine_is_releasing (known));
  g_assert_true (
      mh_machine_is_releasing (mh_cluster_find_machine (fixture->core->cluster, "vm-2")));
  step_scale_in (fixture);
  respond (fixture, 200, NULL);
  respond (fixture, 200, NULL);
  g_assert_true (mh_cluster_was_released (fixture->core->cluster, "vm-1"));
  g_assert_true (mh_cluster_was_released (fixture->core->cluster, "vm-2"));
}

/* Guards against releasing a machine within the minimum billed time, or as soon as it is idle, when
   its next task may come soon. */
static void
test_idle_machine (Fixture *fixture, gconstpointer data)
{
  (void)data;
  MhMachine *idle = add_machine (fixture, "vm-1", "a");
  MhMachine *young = add_machine (fixture, "vm-2", "a");
  young->boot.created_us = START_US - 10 * MH_SECOND_US;
  mh_scale_in_step (fixture->scale_in);
  g_assert_false (mh_machine_is_releasing (idle));
  set_time (fixture, START_US + 9 * MH_SECOND_US);
  mh_scale_in_step (fixture->scale_in);
  g_assert_true (mh_machine_is_releasing (idle));
  g_assert_false (mh_machine_is_releasing (young));
}

/* Returns the CPUs of the machines that a plan would create for nine tasks of one CPU each, while a
   machine with four CPUs is starting. */
static guint
cpus_to_create (Fixture *fixture, MhShape shape)
{
  MhTeam *team = g_new0 (MhTeam, 1);
  *team = (MhTeam){ .name = g_strdup ("red"), .cpus = 1e6, .cpus_max = 1e6 };
  g_ptr_array_add (fixture->settings->teams, team);
  MhJob *job = add_job (fixture, 9, 1);
  job->spec->shape = shape;
  job->accepted = true;
  add_machine (fixture, "vm-1", "a")->heartbeat.reported = false;
  g_autoptr (MhDemandPlan) plan
      = mh_demand_plan_new (&fixture->context, fixture->scale_out, fixture->lost_capacity);
  const GArray *estimates = mh_demand_plan_estimates (plan);
  double cpus = 0;
  for (guint i = 0; i < estimates->len; i++)
    {
      const MhCapacityEstimate *estimate = &g_array_index (estimates, MhCapacityEstimate, i);
      cpus += estimate->to_create ? estimate->type->cpus : 0;
    }
  return (guint)cpus;
}

/* Guards against requesting machines twice, for tasks that starting machines will run. */
static void
test_demand_counts_starting_machines (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpuint (cpus_to_create (fixture, MH_SHAPE_SERVICE), ==, 8);
}

/* Guards against creating machines for tasks that can start in time on CPUs freed by others. */
static void
test_demand_waits_for_completions (Fixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_cmpuint (cpus_to_create (fixture, MH_SHAPE_ARRAY), ==, 0);
}

/* Guards against letting the tasks of failed machines wait behind new work. */
static void
test_demand_replaces_lost_capacity (Fixture *fixture, gconstpointer data)
{
  (void)data;
  mh_lost_capacity_add (fixture->lost_capacity, 2);
  g_assert_cmpuint (cpus_to_create (fixture, MH_SHAPE_ARRAY), >=, 2);
}

int
main (int argc, char **argv)
{
  static const char *const state_names[MH_RELEASE_STATES]
      = { "requested", "recording", "deleting", "confirmed", "abandoned" };
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < MH_RELEASE_STATES; i++)
    {
      g_autofree char *path = g_strdup_printf ("/autoscaler/release-state/%s", state_names[i]);
      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_release_state);
    }
  g_test_add_func ("/autoscaler/cloud-error/responses", test_cloud_error_responses);
  g_test_add_func ("/autoscaler/cloud-error/malformed-response",
                   test_cloud_error_malformed_response);
  g_test_add_func ("/autoscaler/release-reason/texts", test_release_reason_texts);
  g_test_add_func ("/autoscaler/lost-capacity/never-negative", test_lost_capacity_never_negative);
  g_test_add_func ("/autoscaler/forecast/in-time", test_forecast_in_time);
  g_test_add_func ("/autoscaler/forecast/tasks-end-again", test_forecast_tasks_end_again);
  g_test_add_func ("/autoscaler/forecast/adds-up", test_forecast_adds_up);
#define ADD(path, func) g_test_add ("/autoscaler/" path, Fixture, NULL, set_up, func, tear_down)
  ADD ("capacity-estimate/suits-and-counts", test_capacity_estimate_suits_and_counts);
  ADD ("offers/cheapest", test_offers_cheapest);
  ADD ("demand/counts-starting-machines", test_demand_counts_starting_machines);
  ADD ("demand/waits-for-completions", test_demand_waits_for_completions);
  ADD ("demand/replaces-lost-capacity", test_demand_replaces_lost_capacity);
  ADD ("scale-out/no-capacity", test_no_capacity);
  ADD ("scale-out/unavailable", test_unavailable);
  ADD ("scale-out/unknown-outcome", test_unknown_outcome);
  ADD ("scale-out/partly-filled", test_partly_filled);
  ADD ("scale-out/reset", test_scale_out_reset);
  ADD ("scale-in/release", test_release);
  ADD ("scale-in/release-is-retried", test_release_is_retried);
  ADD ("scale-in/release-by-former-leader", test_release_by_former_leader);
  ADD ("scale-in/loaded-release", test_loaded_release);
  ADD ("scale-in/idle-machine", test_idle_machine);
  return g_test_run ();
}
