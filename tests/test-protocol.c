/* Decoders reject malformed messages and never crash, whatever they receive. */
#include "controller/core-private.h"
#include "cluster/attempt.h"
#include "cluster/image-wait.h"
#include "cluster/machine-registry.h"
#include "storage/record.h"
#include "protocol/controller-messages.h"

#include <math.h>
#include <string.h>

static MhValue *
build_submission (void)
{
  MhValue *body = mh_value_new_map ();
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

/* Consumes `original`. Returns a copy with one field replaced; NULL removes the field. */
static MhValue *
replace_field (MhValue *original, const char *key, MhValue *value)
{
  MhValue *changed = mh_value_new_map ();
  struct cbor_pair *pairs = cbor_map_handle (original);
  for (gsize i = 0; i < cbor_map_size (original); i++)
    {
      g_autofree char *name = mh_value_as_text (pairs[i].key);
      if (strcmp (name, key) != 0)
        mh_value_set (changed, name, cbor_incref (pairs[i].value));
    }
  if (value)
    mh_value_set (changed, key, value);
  mh_value_unref (original);
  return changed;
}

static bool
is_accepted (MhValue *body)
{
  g_autoptr (GBytes) bytes = mh_value_serialize (body);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  g_autoptr (MhValue) decoded = mh_value_parse (data, size, NULL);
  g_assert_nonnull (decoded);
  MhJobSpec *spec = mh_submission_decode (decoded, NULL);
  mh_job_spec_free (spec);
  mh_value_unref (body);
  return spec != NULL;
}

/* If a submission with a malformed field were accepted, the job would be placed with arbitrary
   values or fail later. */
static void
test_submission (void)
{
  g_assert_true (is_accepted (build_submission ()));
  /* A null field counts as absent. */
  g_assert_true (is_accepted (replace_field (build_submission (), "due_s", cbor_new_null ())));
  g_assert_true (is_accepted (replace_field (build_submission (), "due_s", NULL)));
  g_assert_true (is_accepted (replace_field (build_submission (), "racks", NULL)));
  g_assert_true (
      is_accepted (replace_field (build_submission (), "legs", mh_value_new_uint (100000))));
  static const char *const required[]
      = { "id",   "workload", "desk",  "shape",   "rank",      "legs",       "cpus",
          "gpus", "mem_gb",   "build", "size_gb", "runtime_s", "snapshot_s", "flush_s" };
  for (guint i = 0; i < G_N_ELEMENTS (required); i++)
    {
      g_assert_false (is_accepted (replace_field (build_submission (), required[i], NULL)));
      g_assert_false (
          is_accepted (replace_field (build_submission (), required[i], mh_value_new_list ())));
      g_assert_false (
          is_accepted (replace_field (build_submission (), required[i], cbor_build_bool (true))));
    }
  static const char *const amounts[]
      = { "cpus", "gpus", "mem_gb", "size_gb", "runtime_s", "snapshot_s", "flush_s", "due_s" };
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++)
    {
      g_assert_false (
          is_accepted (replace_field (build_submission (), amounts[i], cbor_build_float8 (-1))));
      g_assert_false (
          is_accepted (replace_field (build_submission (), amounts[i], cbor_build_float8 (NAN))));
      g_assert_false (is_accepted (
          replace_field (build_submission (), amounts[i], cbor_build_float8 (INFINITY))));
      g_assert_false (
          is_accepted (replace_field (build_submission (), amounts[i], mh_value_new_text ("4"))));
    }
  static const char *const ids[]
      = { "", "j-", "j-12", "k-000412", "j-00041x", "j-000412/3", "j-0000000000000000000", "../f" };
  for (guint i = 0; i < G_N_ELEMENTS (ids); i++)
    g_assert_false (
        is_accepted (replace_field (build_submission (), "id", mh_value_new_text (ids[i]))));
  g_assert_false (is_accepted (replace_field (build_submission (), "legs", mh_value_new_uint (0))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "legs", mh_value_new_uint (100001))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "legs", cbor_build_float8 (1.5))));
  g_assert_true (is_accepted (replace_field (build_submission (), "legs", cbor_build_float8 (2))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "shape", mh_value_new_text ("circle"))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "rank", mh_value_new_text ("URGENT"))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "racks", mh_value_new_text ("g8"))));
  g_assert_false (is_accepted (replace_field (build_submission (), "hall", mh_value_new_uint (1))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "standby", mh_value_new_uint (1))));
  g_assert_false (
      is_accepted (replace_field (build_submission (), "standby", cbor_build_float8 (1))));
}

/* Whether a user's submission may lack a field. */
typedef enum
{
  FIELD_REQUIRED,      /* malformed without it */
  FIELD_ONCE_OPTIONAL, /* read without it, for jobs that earlier versions accepted, and incomplete
                        */
  FIELD_OPTIONAL
} FieldPresence;

/* The published protocol's list of fields; a value of a wrong type is malformed for all of them. */
static const struct
{
  const char *name;
  FieldPresence presence;
} protocol_fields[] = {
  { "id", FIELD_REQUIRED },           { "workload", FIELD_REQUIRED },
  { "desk", FIELD_REQUIRED },         { "shape", FIELD_REQUIRED },
  { "rank", FIELD_REQUIRED },         { "legs", FIELD_REQUIRED },
  { "cpus", FIELD_REQUIRED },         { "gpus", FIELD_REQUIRED },
  { "mem_gb", FIELD_REQUIRED },       { "build", FIELD_REQUIRED },
  { "size_gb", FIELD_REQUIRED },      { "racks", FIELD_OPTIONAL },
  { "hall", FIELD_OPTIONAL },         { "same_place", FIELD_ONCE_OPTIONAL },
  { "scatter", FIELD_ONCE_OPTIONAL }, { "standby", FIELD_ONCE_OPTIONAL },
  { "runtime_s", FIELD_REQUIRED },    { "snapshot_s", FIELD_REQUIRED },
  { "flush_s", FIELD_REQUIRED },      { "due_s", FIELD_OPTIONAL },
};

static MhValue *
build_complete_submission (void)
{
  MhValue *body = build_submission ();
  mh_value_set_bool (body, "scatter", false);
  mh_value_set_bool (body, "standby", true);
  return body;
}

/* Consumes `body`. */
static void
assert_presence (MhValue *body, FieldPresence presence)
{
  g_autoptr (MhValue) submission = body;
  g_autoptr (MhJobSpec) spec = mh_submission_decode (submission, NULL);
  g_assert_cmpint (spec != NULL, ==, presence != FIELD_REQUIRED);
  if (spec)
    g_assert_cmpint (spec->is_incomplete, ==, presence == FIELD_ONCE_OPTIONAL);
}

/* Submissions that lack a field that the protocol requires were accepted. */
static void
test_fields_of_submission (void)
{
  assert_presence (build_complete_submission (), FIELD_OPTIONAL);
  for (guint i = 0; i < G_N_ELEMENTS (protocol_fields); i++)
    {
      const char *name = protocol_fields[i].name;
      FieldPresence presence = protocol_fields[i].presence;
      assert_presence (replace_field (build_complete_submission (), name, NULL), presence);
      assert_presence (replace_field (build_complete_submission (), name, cbor_new_null ()),
                       presence);
      g_assert_false (
          is_accepted (replace_field (build_complete_submission (), name, mh_value_new_map ())));
    }
}

/* Job records contain submissions: a field that is lost in encoding and decoding would change the
   job. */
static void
test_round_trip (void)
{
  g_autoptr (MhValue) body = build_submission ();
  g_autoptr (MhJobSpec) spec = mh_submission_decode (body, NULL);
  g_autoptr (MhValue) encoded = mh_submission_encode (spec);
  g_autoptr (MhJobSpec) decoded = mh_submission_decode (encoded, NULL);
  g_assert_cmpstr (decoded->id, ==, "j-000412");
  g_assert_cmpuint (decoded->tasks, ==, 16);
  g_assert_cmpint (decoded->deadline_us, ==, 900 * MH_SECOND_US);
  g_assert_cmpint (decoded->checkpoint_interval_us, ==, 30 * MH_SECOND_US);
  g_assert_true (decoded->single_zone);
  g_assert_false (decoded->spread_over_zones);
  g_assert_null (decoded->zone);
}

/* Malicious bytes could make libcbor recurse or allocate memory without limit. */
static void
test_malformed_cbor (void)
{
  static const struct
  {
    const char *bytes;
    gsize size;
  } malformed[] = {
    { "", 0 },
    { "\xa1", 1 },                                 /* a map of one pair without the pair */
    { "\xa0\x00", 2 },                             /* a further byte after the item */
    { "\xff", 1 },                                 /* a break code outside of an item */
    { "\x5b\xff\xff\xff\xff\xff\xff\xff\xff", 9 }, /* a length that exceeds the data */
    { "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9 }, /* more items than bytes */
    { "\xbf\x61\x61\xff", 4 },                     /* a key without a value */
    { "\x1c", 1 },                                 /* a reserved initial byte */
    { "\x7f\x41\x61\xff", 4 },                     /* a chunk of bytes in a text */
    { "{\"id\":1}", 8 },                           /* JSON */
  };
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      g_autoptr (MhValue) value = mh_value_parse (malformed[i].bytes, malformed[i].size, NULL);
      g_assert_null (value);
    }
  g_autofree char *deep = g_strnfill (5000, (char)0x81);
  g_autoptr (MhValue) value = mh_value_parse (deep, 5000, NULL);
  g_assert_null (value);
}

/* For arbitrary bytes, every decoder either succeeds or returns an error; it must not crash. */
static void
test_random_bytes (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (895);
  g_autoptr (MhValue) valid = build_submission ();
  g_autoptr (GBytes) serialized = mh_value_serialize (valid);
  gsize size;
  const guint8 *data = g_bytes_get_data (serialized, &size);
  guint n_parsed = 0;
  for (guint round = 0; round < 20000; round++)
    {
      g_autofree guint8 *mutated = g_memdup2 (data, size);
      gsize length = (gsize)g_rand_int_range (random, 1, (gint)size + 1);
      for (guint k = (guint)g_rand_int_range (random, 1, 6); k > 0; k--)
        mutated[g_rand_int_range (random, 0, (gint)length)] = (guint8)g_rand_int (random);
      g_autoptr (MhValue) value = mh_value_parse (mutated, round % 2 ? length : size, NULL);
      if (value == NULL)
        continue;
      n_parsed++;
      bool has_more;
      guint64 number;
      MhUserResponse response;
      mh_job_spec_free (mh_submission_decode (value, NULL));
      mh_heartbeat_free (mh_heartbeat_decode (value, NULL));
      mh_kv_entry_free (mh_kv_entry_decode (value, NULL));
      g_clear_pointer (&(GPtrArray *){ mh_machine_types_decode (value, NULL) }, g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_machine_list_decode (value, &has_more, NULL) },
                       g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_kv_list_decode (value, &has_more, &number, NULL) },
                       g_ptr_array_unref);
      g_clear_pointer (&(GPtrArray *){ mh_kv_events_decode (value, &number, NULL) },
                       g_ptr_array_unref);
      mh_kv_lease_decode (value, &number, NULL);
      mh_record_read_final (value, &response, NULL);
      mh_value_json_size (value);
    }
  g_assert_cmpuint (n_parsed, >, 100);
}

static MhValue *
build_heartbeat (const char *status, const char *cause)
{
  MhValue *body = mh_value_new_map (), *tasks = mh_value_new_list (), *task = mh_value_new_map ();
  mh_value_set_text (task, "leg", "j-000412/3");
  mh_value_set_uint (task, "try", 2);
  mh_value_set_text (task, "status", status);
  mh_value_set_text (task, "cause", cause);
  mh_value_push (tasks, task);
  mh_value_set_text (body, "box", "vm-000231");
  mh_value_set_text (body, "endpoint", "10.1.0.232:9000");
  mh_value_set_text (body, "rack", "g8");
  mh_value_set_text (body, "hall", "a");
  mh_value_set_bool (body, "standby", true);
  mh_value_set_uint (body, "tenure", 1);
  mh_value_set_uint (body, "tick", 88);
  mh_value_set_uint (body, "epoch", 41);
  mh_value_set_number (body, "warning_s", 7.5);
  mh_value_set (body, "legs", tasks);
  return body;
}

/* Submissions and heartbeats accept the values for gangs, and still reject unknown ones. */
static void
test_gang (void)
{
  g_autoptr (MhValue) body
      = replace_field (build_submission (), "shape", mh_value_new_text ("group"));
  g_autoptr (MhJobSpec) spec = mh_submission_decode (body, NULL);
  g_assert_nonnull (spec);
  g_assert_cmpint (spec->shape, ==, MH_SHAPE_GANG);
  g_autoptr (MhValue) encoded = mh_submission_encode (spec);
  g_autofree char *shape = mh_value_get_text (encoded, "shape");
  g_assert_cmpstr (shape, ==, "group");
  g_assert_false (
      is_accepted (replace_field (build_submission (), "shape", mh_value_new_text ("gang"))));
  g_assert_false (is_accepted (replace_field (
      replace_field (build_submission (), "shape", mh_value_new_text ("group")), "legs", NULL)));
  static const struct
  {
    const char *status, *cause;
    bool valid;
    MhTaskPhase phase;
    MhTaskEndReason end_reason;
  } cases[] = { { "gathering", NULL, true, MH_TASK_PHASE_WAITING_FOR_GANG, MH_TASK_END_NONE },
                { "ended", "peers", true, MH_TASK_PHASE_ENDED, MH_TASK_END_GANG_MEMBER_LOST },
                { "ended", "incomplete", true, MH_TASK_PHASE_ENDED, MH_TASK_END_GANG_INCOMPLETE },
                { "ended", "gathering", false, MH_TASK_PHASE_ENDED, MH_TASK_END_NONE },
                { "waiting", NULL, false, MH_TASK_PHASE_ENDED, MH_TASK_END_NONE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (MhValue) heartbeat_body = build_heartbeat (cases[i].status, cases[i].cause);
      g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_decode (heartbeat_body, NULL);
      g_assert_true ((heartbeat != NULL) == cases[i].valid);
      if (heartbeat == NULL)
        continue;
      g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).phase, ==, cases[i].phase);
      g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).end_reason, ==,
                       cases[i].end_reason);
    }
}

/* A heartbeat that lacks a required field is rejected: without it, the heartbeat could not be
   distinguished from that of another machine, or from an older one. */
static void
test_heartbeat (void)
{
  MhValue *body = build_heartbeat ("ended", "in_use");
  g_autoptr (MhHeartbeat) heartbeat = mh_heartbeat_decode (body, NULL);
  g_assert_nonnull (heartbeat);
  g_assert_cmpuint (heartbeat->tasks->len, ==, 1);
  g_assert_cmpuint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).index, ==, 3);
  g_assert_cmpint (g_array_index (heartbeat->tasks, MhTaskStatus, 0).end_reason, ==,
                   MH_TASK_END_OTHER_ATTEMPT);
  g_assert_cmpint (heartbeat->notice_us, ==, 7500000);
  static const char *const required[]
      = { "box", "endpoint", "rack", "hall", "tenure", "tick", "epoch" };
  for (guint i = 0; i < G_N_ELEMENTS (required); i++)
    {
      g_autoptr (MhValue) incomplete = replace_field (cbor_incref (body), required[i], NULL);
      g_assert_null (mh_heartbeat_decode (incomplete, NULL));
    }
  mh_value_unref (body);
}

/* Guards against losing a record that arrives in pieces, and against accepting or crashing on a
   damaged one. */
static void
test_controller_records (void)
{
  g_autoptr (GByteArray) buffer = g_byte_array_new ();
  g_autoptr (GBytes) body = g_bytes_new_static ("\xa0", 1);
  MhUserResponse expected_response = { .status = 200, .state = MH_JOB_DONE, .done = 3 };
  GByteArray *records[] = { mh_controller_request_encode (7, MH_USER_SUBMIT, "j-000001", body),
                            mh_controller_response_encode (8, &expected_response),
                            mh_controller_announcement_encode ("node-1", 9) };
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    {
      g_byte_array_append (buffer, records[i]->data, records[i]->len);
      g_byte_array_unref (records[i]);
    }
  /* The network may deliver the records byte by byte. */
  g_autoptr (GByteArray) received = g_byte_array_new ();
  MhControllerMessage message;
  guint n_messages = 0;
  for (guint i = 0; i < buffer->len; i++)
    {
      g_byte_array_append (received, buffer->data + i, 1);
      MhControllerReadResult result = mh_controller_message_read (received, &message, NULL);
      g_assert_cmpint (result, !=, MH_CONTROLLER_READ_MALFORMED);
      if (result == MH_CONTROLLER_READ_INCOMPLETE)
        continue;
      if (n_messages == 0)
        g_assert_cmpstr (message.job, ==, "j-000001");
      else if (n_messages == 1)
        g_assert_cmpuint (message.response.done, ==, 3);
      else
        g_assert_cmpuint (message.epoch, ==, 9);
      n_messages++;
      mh_controller_message_clear (&message);
    }
  g_assert_cmpuint (n_messages, ==, 3);
  /* A length above the maximum is rejected at once, without waiting for the record. */
  g_byte_array_append (received, (const guint8 *)"\xff\xff\xff\xff", 4);
  g_assert_cmpint (mh_controller_message_read (received, &message, NULL), ==,
                   MH_CONTROLLER_READ_MALFORMED);
  g_autoptr (GRand) random = g_rand_new_with_seed (5531);
  for (guint round = 0; round < 5000; round++)
    {
      g_autoptr (GByteArray) damaged = g_byte_array_new ();
      g_byte_array_append (damaged, buffer->data, buffer->len);
      damaged->data[g_rand_int_range (random, 0, (gint)damaged->len)] = (guint8)g_rand_int (random);
      while (mh_controller_message_read (damaged, &message, NULL) == MH_CONTROLLER_READ_MESSAGE)
        mh_controller_message_clear (&message);
    }
}

static const char *
machine_name (const MhAttempt *attempt)
{
  return attempt->machine->name;
}

/* The largest job record must fit into the smallest value size that a deployment offers. */
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
  /* The record contains the number of tasks per record, so that a controller of another version or
     with another limit can read it. */
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
          g_auto (MhStoredJob) stored = {};
          g_assert_true (mh_record_read_job (value, spec->id, &stored, NULL));
          g_assert_nonnull (stored.spec);
          g_assert_cmpuint (stored.chunk, ==, job->tasks_per_record);
        }
    }
  mh_job_free (job);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/protocol/submission", test_submission);
  g_test_add_func ("/protocol/fields-of-submission", test_fields_of_submission);
  g_test_add_func ("/protocol/round-trip", test_round_trip);
  g_test_add_func ("/protocol/malformed-cbor", test_malformed_cbor);
  g_test_add_func ("/protocol/random-bytes", test_random_bytes);
  g_test_add_func ("/protocol/gang", test_gang);
  g_test_add_data_func ("/protocol/record-size/2", GUINT_TO_POINTER (2048), test_record_size);
  g_test_add_func ("/protocol/heartbeat", test_heartbeat);
  g_test_add_data_func ("/protocol/record-size/8", GUINT_TO_POINTER (8192), test_record_size);
  g_test_add_data_func ("/protocol/record-size/32", GUINT_TO_POINTER (32768), test_record_size);
  g_test_add_func ("/protocol/controller-records", test_controller_records);
  return g_test_run ();
}
