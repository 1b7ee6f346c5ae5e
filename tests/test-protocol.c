/* Decoders: what is malformed is refused, whatever is thrown at them. */
#include "controller/core-private.h"
#include "cluster/attempt.h"
#include "cluster/image-wait.h"
#include "cluster/machine-registry.h"
#include "storage/record.h"
#include "protocol/controller-messages.h"

#include <math.h>
#include <string.h>

static MhValue *
submission (void)
{
  MhValue *body = mh_value_map ();
  mh_value_set_text (body, "id", "j-000412");
  mh_value_set_text (body, "workload", "train");
  mh_value_set_text (body, "desk", "vision");
  mh_value_set_text (body, "shape", "sweep");
  mh_value_set_text (body, "rank", "urgent");
  mh_value_set_uint (body, "legs", 16);
  mh_value_set_number (body, "cpus", 8);
  mh_value_set_number (body, "gpus", 1);
  mh_value_set_number (body, "mem_gb", 64);
  mh_value_set_text (body, "build", "img-07");
  mh_value_set_number (body, "size_gb", 6.2);
  mh_value_set (body, "hall", cbor_new_null ());
  mh_value_set_bool (body, "same_place", true);
  mh_value_set_number (body, "runtime_s", 240);
  mh_value_set_number (body, "snapshot_s", 30);
  mh_value_set_number (body, "flush_s", 4);
  mh_value_set_number (body, "due_s", 900);
  mh_value_set_text (body, "colour", "fields that nobody knows are ignored");
  return body;
}

/* The body with one field replaced; NULL leaves it out. */
static MhValue *
with (MhValue *whole, const char *key, MhValue *value)
{
  MhValue *changed = mh_value_map ();
  struct cbor_pair *pairs = cbor_map_handle (whole);
  for (gsize i = 0; i < cbor_map_size (whole); i++)
    {
      g_autofree char *name = mh_value_as_text (pairs[i].key);
      if (strcmp (name, key) != 0)
        mh_value_set (changed, name, cbor_incref (pairs[i].value));
    }
  if (value)
    mh_value_set (changed, key, value);
  mh_value_unref (whole);
  return changed;
}

static bool
reads (MhValue *body)
{
  g_autoptr (GBytes) bytes = mh_value_save (body);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  g_autoptr (MhValue) again = mh_value_load (data, size, NULL);
  g_assert_nonnull (again);
  MhJobSpec *spec = mh_submission_decode (again, NULL);
  mh_job_spec_free (spec);
  mh_value_unref (body);
  return spec != NULL;
}

/* A submission that is taken though a field is malformed would be placed, or fail, by chance. */
static void
test_submission (void)
{
  g_assert_true (reads (submission ()));
  /* null equals absent */
  g_assert_true (reads (with (submission (), "due_s", cbor_new_null ())));
  g_assert_true (reads (with (submission (), "due_s", NULL)));
  g_assert_true (reads (with (submission (), "racks", NULL)));
  g_assert_true (reads (with (submission (), "legs", mh_value_uint (100000))));
  static const char *const needed[]
      = { "id",   "workload", "desk",  "shape",   "rank",      "legs",       "cpus",
          "gpus", "mem_gb",   "build", "size_gb", "runtime_s", "snapshot_s", "flush_s" };
  for (guint i = 0; i < G_N_ELEMENTS (needed); i++)
    {
      g_assert_false (reads (with (submission (), needed[i], NULL)));
      g_assert_false (reads (with (submission (), needed[i], mh_value_list ())));
      g_assert_false (reads (with (submission (), needed[i], cbor_build_bool (true))));
    }
  static const char *const amounts[]
      = { "cpus", "gpus", "mem_gb", "size_gb", "runtime_s", "snapshot_s", "flush_s", "due_s" };
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++)
    {
      g_assert_false (reads (with (submission (), amounts[i], cbor_build_float8 (-1))));
      g_assert_false (reads (with (submission (), amounts[i], cbor_build_float8 (NAN))));
      g_assert_false (reads (with (submission (), amounts[i], cbor_build_float8 (INFINITY))));
      g_assert_false (reads (with (submission (), amounts[i], mh_value_text ("4"))));
    }
  static const char *const ids[]
      = { "", "j-", "j-12", "k-000412", "j-00041x", "j-000412/3", "j-0000000000000000000", "../f" };
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    g_assert_false (reads (with (submission (), "id", mh_value_text (ids[i]))));
  g_assert_false (reads (with (submission (), "legs", mh_value_uint (0))));
  g_assert_false (reads (with (submission (), "legs", mh_value_uint (100001))));
  g_assert_false (reads (with (submission (), "legs", cbor_build_float8 (1.5))));
  g_assert_true (reads (with (submission (), "legs", cbor_build_float8 (2))));
  g_assert_false (reads (with (submission (), "shape", mh_value_text ("circle"))));
  g_assert_false (reads (with (submission (), "rank", mh_value_text ("URGENT"))));
  g_assert_false (reads (with (submission (), "racks", mh_value_text ("g8"))));
  g_assert_false (reads (with (submission (), "hall", mh_value_uint (1))));
  g_assert_false (reads (with (submission (), "standby", mh_value_uint (1))));
  g_assert_false (reads (with (submission (), "standby", cbor_build_float8 (1))));
}

/* A field that is lost between writing and reading would change the job: records hold submissions.
 */
static void
test_round_trip (void)
{
  g_autoptr (MhValue) body = submission ();
  g_autoptr (MhJobSpec) spec = mh_submission_decode (body, NULL);
  g_autoptr (MhValue) written = mh_submission_encode (spec);
  g_autoptr (MhJobSpec) again = mh_submission_decode (written, NULL);
  g_assert_cmpstr (again->id, ==, "j-000412");
  g_assert_cmpuint (again->tasks, ==, 16);
  g_assert_cmpint (again->deadline_us, ==, 900 * MH_SECOND_US);
  g_assert_cmpint (again->checkpoint_interval_us, ==, 30 * MH_SECOND_US);
  g_assert_true (again->single_zone);
  g_assert_false (again->spread_over_zones);
  g_assert_null (again->zone);
}

/* Foreign bytes could make libcbor recurse or reserve memory without bound. */
static void
test_bytes (void)
{
  static const struct
  {
    const char *bytes;
    gsize size;
  } bad[] = {
    { "", 0 },
    { "\xa1", 1 },                                 /* a map without its pair */
    { "\xa0\x00", 2 },                             /* something follows */
    { "\xff", 1 },                                 /* a break outside */
    { "\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9 }, /* longer than it is */
    { "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9 }, /* more items than bytes */
    { "\xbf\x61\x61\xff", 4 },                     /* half a pair */
    { "\x1c", 1 },                                 /* reserved */
    { "\x7f\x41\x61\xff", 4 },                     /* bytes inside text */
    { "{\"id\":1}", 8 },                           /* JSON */
  };
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (MhValue) value = mh_value_load (bad[i].bytes, bad[i].size, NULL);
      g_assert_null (value);
    }
  g_autofree char *deep = g_strnfill (5000, (char)0x81);
  g_autoptr (MhValue) value = mh_value_load (deep, 5000, NULL);
  g_assert_null (value);
}

/* Whatever bytes come, each reader says yes or no and nothing else happens. */
static void
test_noise (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (895);
  g_autoptr (MhValue) good = submission ();
  g_autoptr (GBytes) bytes = mh_value_save (good);
  gsize size;
  const guint8 *data = g_bytes_get_data (bytes, &size);
  guint loaded = 0;
  for (guint round = 0; round < 20000; round++)
    {
      g_autofree guint8 *noise = g_memdup2 (data, size);
      gsize length = (gsize)g_rand_int_range (random, 1, (gint)size + 1);
      for (guint k = (guint)g_rand_int_range (random, 1, 6); k > 0; k--)
        noise[g_rand_int_range (random, 0, (gint)length)] = (guint8)g_rand_int (random);
      g_autoptr (MhValue) value = mh_value_load (noise, round % 2 ? length : size, NULL);
      if (value == NULL)
        continue;
      loaded++;
      bool more;
      guint64 number;
      MhUserAnswer answer;
      mh_job_spec_free (mh_submission_decode (value, NULL));
      mh_heartbeat_free (mh_heartbeat_decode (value, NULL));
      mh_kv_entry_free (mh_kv_entry_decode (value, NULL));
      g_clear_pointer (&(GPtrArray *){ mh_machine_types_decode (value, NULL) }, g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_machine_list_decode (value, &more, NULL) },
                       g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_kv_list_decode (value, &more, &number, NULL) },
                       g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_kv_events_decode (value, &number, NULL) },
                       g_ptr_array_unref);
      mh_kv_lease_decode (value, &number, NULL);
      mh_record_read_final (value, &answer, NULL);
      mh_value_json_size (value);
    }
  g_assert_cmpuint (loaded, >, 100);
}

static MhValue *
report_of (const char *status, const char *cause)
{
  MhValue *report = mh_value_map (), *legs = mh_value_list (), *leg = mh_value_map ();
  mh_value_set_text (leg, "leg", "j-000412/3");
  mh_value_set_uint (leg, "try", 2);
  mh_value_set_text (leg, "status", status);
  mh_value_set_text (leg, "cause", cause);
  mh_value_push (legs, leg);
  mh_value_set_text (report, "box", "vm-000231");
  mh_value_set_text (report, "endpoint", "10.1.0.232:9000");
  mh_value_set_text (report, "rack", "g8");
  mh_value_set_text (report, "hall", "a");
  mh_value_set_bool (report, "standby", true);
  mh_value_set_uint (report, "tenure", 1);
  mh_value_set_uint (report, "tick", 88);
  mh_value_set_uint (report, "epoch", 41);
  mh_value_set_number (report, "warning_s", 7.5);
  mh_value_set (report, "legs", legs);
  return report;
}

/* What gangs add to submissions and reports; other words stay unknown. */
static void
test_gang (void)
{
  g_autoptr (MhValue) body = with (submission (), "shape", mh_value_text ("group"));
  g_autoptr (MhJobSpec) spec = mh_submission_decode (body, NULL);
  g_assert_nonnull (spec);
  g_assert_cmpint (spec->shape, ==, MH_SHAPE_GANG);
  g_autoptr (MhValue) written = mh_submission_encode (spec);
  g_autofree char *shape = mh_value_get_text (written, "shape");
  g_assert_cmpstr (shape, ==, "group");
  g_assert_false (reads (with (submission (), "shape", mh_value_text ("gang"))));
  g_assert_false (
      reads (with (with (submission (), "shape", mh_value_text ("group")), "legs", NULL)));
  static const struct
  {
    const char *status, *cause;
    bool good;
    MhTaskPhase phase;
    MhTaskEndReason read;
  } legs[] = { { "gathering", NULL, true, MH_TASK_PHASE_WAITING_FOR_GANG, MH_TASK_END_NONE },
               { "ended", "peers", true, MH_TASK_PHASE_ENDED, MH_TASK_END_GANG_MEMBER_LOST },
               { "ended", "incomplete", true, MH_TASK_PHASE_ENDED, MH_TASK_END_GANG_INCOMPLETE },
               { "ended", "gathering", false, MH_TASK_PHASE_ENDED, MH_TASK_END_NONE },
               { "waiting", NULL, false, MH_TASK_PHASE_ENDED, MH_TASK_END_NONE } };
  for (guint i = 0; i < G_N_ELEMENTS (legs); i++)
    {
      g_autoptr (MhValue) report = report_of (legs[i].status, legs[i].cause);
      g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_decode (report, NULL);
      g_assert_true ((heartbeat != NULL) == legs[i].good);
      if (heartbeat == NULL)
        continue;
      g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).phase, ==, legs[i].phase);
      g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).end_reason, ==,
                       legs[i].read);
    }
}

/* A heartbeat without one of these could not be told from that of another machine or time. */
static void
test_report (void)
{
  MhValue *report = report_of ("ended", "in_use");
  g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_decode (report, NULL);
  g_assert_nonnull (heartbeat);
  g_assert_cmpuint (heartbeat->tasks->len, ==, 1);
  g_assert_cmpuint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).index, ==, 3);
  g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).end_reason, ==,
                   MH_TASK_END_OTHER_ATTEMPT);
  g_assert_cmpint (heartbeat->notice_us, ==, 7500000);
  static const char *const needed[]
      = { "box", "endpoint", "rack", "hall", "tenure", "tick", "epoch" };
  for (guint i = 0; i < G_N_ELEMENTS (needed); i++)
    {
      g_autoptr (MhValue) part = with (cbor_incref (report), needed[i], NULL);
      g_assert_null (mh_heartbeat_decode (part, NULL));
    }
  mh_value_unref (report);
}

/* A record that arrives in pieces would be lost, and a damaged one believed. */
static void
test_peer (void)
{
  g_autoptr (GByteArray) buffer = g_byte_array_new ();
  g_autoptr (GBytes) body = g_bytes_new_static ("\xa0", 1);
  MhUserAnswer answer = { .status = 200, .state = MH_JOB_DONE, .done = 3 };
  GByteArray *records[] = { mh_controller_request_encode (7, MH_USER_SUBMIT, "j-000001", body),
                            mh_controller_response_encode (8, &answer),
                            mh_controller_announcement_encode ("node-1", 9) };
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    {
      g_byte_array_append (buffer, records[i]->data, records[i]->len);
      g_byte_array_unref (records[i]);
    }
  /* Byte by byte, as a network may deliver it. */
  g_autoptr (GByteArray) received = g_byte_array_new ();
  MhControllerMessage message;
  guint n_read = 0;
  for (guint i = 0; i < buffer->len; i++)
    {
      g_byte_array_append (received, buffer->data + i, 1);
      MhControllerReadResult read = mh_controller_message_read (received, &message, NULL);
      g_assert_cmpint (read, !=, MH_CONTROLLER_READ_MALFORMED);
      if (read == MH_CONTROLLER_READ_INCOMPLETE)
        continue;
      if (n_read == 0)
        g_assert_cmpstr (message.job, ==, "j-000001");
      else if (n_read == 1)
        g_assert_cmpuint (message.answer.done, ==, 3);
      else
        g_assert_cmpuint (message.epoch, ==, 9);
      n_read++;
      mh_controller_message_clear (&message);
    }
  g_assert_cmpuint (n_read, ==, 3);
  /* A length beyond any message must not be waited for. */
  g_byte_array_append (received, (const guint8 *)"\xff\xff\xff\xff", 4);
  g_assert_cmpint (mh_controller_message_read (received, &message, NULL), ==,
                   MH_CONTROLLER_READ_MALFORMED);
  g_autoptr (GRand) random = g_rand_new_with_seed (5531);
  for (guint round = 0; round < 5000; round++)
    {
      g_autoptr (GByteArray) noise = g_byte_array_new ();
      g_byte_array_append (noise, buffer->data, buffer->len);
      noise->data[g_rand_int_range (random, 0, (gint)noise->len)] = (guint8)g_rand_int (random);
      while (mh_controller_message_read (noise, &message, NULL) == MH_CONTROLLER_READ_MESSAGE)
        mh_controller_message_clear (&message);
    }
}

/* The largest record must fit the smallest values that a deployment offers. */
static const char *
machine_name (const MhAttempt *attempt)
{
  return attempt->machine->name;
}

static void
test_record_size (gconstpointer data)
{
  guint value_bytes = GPOINTER_TO_UINT (data);
  MhNow now = { 0, 0, 0 };
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  bool small = value_bytes < 8192;
  g_autofree char *long_name = g_strnfill (small ? 20 : 200, 'x');
  spec->id = g_strdup ("j-123456789012345678");
  spec->class_name = g_strdup (long_name);
  spec->team = g_strdup (long_name);
  spec->image = g_strdup (long_name);
  spec->zone = g_strdup (long_name);
  spec->tasks = 2000;
  /* The record says how many tasks it holds, so that another version or another limit can read it.
   */
  MhJob *job = mh_job_new (spec, 0, value_bytes, 0, &now);
  g_assert_cmpuint (mh_job_tasks_per_record (spec, value_bytes), ==, job->tasks_per_record);
  g_assert_cmpuint (job->tasks_per_record, >=, small ? 16 : 64);
  MhMachine machine = { .name = (char *)"vm-000000000001" };
  MhAttempt attempt = { .machine = &machine };
  for (guint i = 0; i < spec->tasks; i++)
    job->tasks[i] = (MhTask){ .live = &attempt, .attempt = 4000000000u, .state = MH_TASK_LIVE };
  for (guint i = 0; i < job->n_records; i++)
    {
      g_autoptr (MhValue) value
          = mh_record_write (&job->records[i], "18446744073709551615.1", machine_name);
      g_assert_cmpuint (mh_value_json_size (value), <, value_bytes);
      if (i == 0)
        {
          g_auto (MhStoredJob) read = {};
          g_assert_true (mh_record_read_job (value, spec->id, &read, NULL));
          g_assert_nonnull (read.spec);
          g_assert_cmpuint (read.chunk, ==, job->tasks_per_record);
        }
    }
  mh_job_free (job);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/protocol/submission", test_submission);
  g_test_add_func ("/protocol/round-trip", test_round_trip);
  g_test_add_func ("/protocol/bytes", test_bytes);
  g_test_add_func ("/protocol/noise", test_noise);
  g_test_add_func ("/protocol/gang", test_gang);
  g_test_add_data_func ("/protocol/record-size/2", GUINT_TO_POINTER (2048), test_record_size);
  g_test_add_func ("/protocol/report", test_report);
  g_test_add_data_func ("/protocol/record-size/8", GUINT_TO_POINTER (8192), test_record_size);
  g_test_add_data_func ("/protocol/record-size/32", GUINT_TO_POINTER (32768), test_record_size);
  g_test_add_func ("/protocol/controller-records", test_peer);
  return g_test_run ();
}
