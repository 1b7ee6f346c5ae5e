/* Each decoding error names the invalid field and has a code that identifies its kind. Otherwise
   the cause of a rejected message would be unknown. */
#include "protocol/cloud-messages.h"
#include "protocol/controller-messages.h"
#include "protocol/key-value-messages.h"
#include "protocol/protocol-error.h"
#include "protocol/route.h"
#include "protocol/worker-messages.h"

#include <math.h>
#include <string.h>

/* `json` is a number, "text", true, [], null or infinity. */
static MhValue *
value_from_json (const char *json)
{
  if (*json == '"')
    {
      g_autofree char *text = g_strndup (json + 1, strlen (json) - 2);
      return mh_value_new_text (text);
    }
  if (*json == '[')
    return mh_value_new_list ();
  if (strcmp (json, "true") == 0)
    return cbor_build_bool (true);
  if (strcmp (json, "null") == 0)
    return cbor_new_null ();
  if (strcmp (json, "infinity") == 0)
    return cbor_build_float8 (INFINITY);
  return cbor_build_float8 (g_ascii_strtod (json, NULL));
}

typedef struct
{
  const char *name, *json;
} Field;

/* Returns a map of the fields. The field `replaced` gets the value `json`; NULL omits it. */
static MhValue *
map_from_fields (const Field *fields, gsize n_fields, const char *replaced, const char *json)
{
  MhValue *map = mh_value_new_map ();
  for (gsize i = 0; i < n_fields; i++)
    {
      const char *value = g_strcmp0 (fields[i].name, replaced) == 0 ? json : fields[i].json;
      if (value)
        mh_value_set (map, fields[i].name, value_from_json (value));
    }
  return map;
}

static void
assert_error (GError *error, MhProtocolError code, const char *prefix)
{
  g_assert_error (error, MH_PROTOCOL_ERROR, (int)code);
  g_assert_true (g_str_has_prefix (error->message, prefix));
}

static const Field submission[] = {
  { "id", "\"j-000412\"" }, { "workload", "\"train\"" },
  { "desk", "\"vision\"" }, { "shape", "\"sweep\"" },
  { "rank", "\"urgent\"" }, { "legs", "16" },
  { "cpus", "8" },          { "gpus", "1" },
  { "mem_gb", "64" },       { "build", "\"img\"" },
  { "size_gb", "6.2" },     { "racks", "null" },
  { "hall", "null" },       { "standby", "true" },
  { "runtime_s", "240" },   { "snapshot_s", "30" },
  { "flush_s", "4" },       { "due_s", "900" },
};

/* An error that names another field, or another kind of problem, would mislead its reader. */
static void
test_submission_by_field (void)
{
  static const struct
  {
    const char *field, *json;
    MhProtocolError code;
  } cases[] = {
    { "id", NULL, MH_PROTOCOL_ERROR_MISSING_FIELD },
    { "id", "\"j-12\"", MH_PROTOCOL_ERROR_INVALID_ID },
    { "id", "12", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "workload", "null", MH_PROTOCOL_ERROR_MISSING_FIELD },
    { "desk", "\"\"", MH_PROTOCOL_ERROR_OUT_OF_RANGE },
    { "shape", "\"circle\"", MH_PROTOCOL_ERROR_UNKNOWN_VALUE },
    { "rank", "true", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "legs", "0", MH_PROTOCOL_ERROR_OUT_OF_RANGE },
    { "legs", "100001", MH_PROTOCOL_ERROR_OUT_OF_RANGE },
    { "legs", "1.5", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "cpus", "-1", MH_PROTOCOL_ERROR_OUT_OF_RANGE },
    { "gpus", "infinity", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "racks", "\"g8\"", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "hall", "1", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "standby", "1", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "flush_s", "\"4\"", MH_PROTOCOL_ERROR_WRONG_TYPE },
    { "due_s", "1e10", MH_PROTOCOL_ERROR_OUT_OF_RANGE },
  };
  g_autoptr (MhValue) valid_body
      = map_from_fields (submission, G_N_ELEMENTS (submission), NULL, NULL);
  g_autoptr (MhJobSpec) spec = mh_submission_decode (valid_body, NULL);
  g_assert_nonnull (spec);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *prefix = g_strconcat (cases[i].field, ": ", NULL);
      g_autoptr (MhValue) body
          = map_from_fields (submission, G_N_ELEMENTS (submission), cases[i].field, cases[i].json);
      g_assert_null (mh_submission_decode (body, &error));
      assert_error (error, cases[i].code, prefix);
    }
}

/* Guards against reporting a list in place of a map, or an invalid body, as a missing field. */
static void
test_not_a_map (void)
{
  g_autoptr (MhValue) list = mh_value_new_list ();
  g_autoptr (GError) not_a_map = NULL;
  g_assert_null (mh_submission_decode (list, &not_a_map));
  assert_error (not_a_map, MH_PROTOCOL_ERROR_NOT_A_MAP, "wrong type, expected a map");
  g_autoptr (GError) null_body = NULL;
  g_assert_null (mh_heartbeat_decode (NULL, &null_body));
  assert_error (null_body, MH_PROTOCOL_ERROR_NOT_A_MAP, "wrong type, expected a map");
  g_autoptr (GError) not_cbor = NULL;
  g_assert_null (mh_value_parse ("{}", 2, &not_cbor));
  assert_error (not_cbor, MH_PROTOCOL_ERROR_MALFORMED_CBOR, "");
}

static const Field heartbeat[] = {
  { "box", "\"vm-1\"" },   { "endpoint", "\"10.1.0.2:9000\"" },
  { "rack", "\"g8\"" },    { "hall", "\"a\"" },
  { "standby", "true" },   { "tenure", "1" },
  { "tick", "88" },        { "epoch", "41" },
  { "warning_s", "null" },
};

static const Field task[] = {
  { "leg", "\"j-000412/3\"" },
  { "try", "2" },
  { "status", "\"ended\"" },
  { "cause", "\"done\"" },
};

/* The error gives the index of the malformed task, which could not be found otherwise among
   hundreds of tasks in a heartbeat. */
static void
test_task_in_heartbeat (void)
{
  static const struct
  {
    const char *field, *json;
    MhProtocolError code;
  } cases[] = {
    { "leg", "\"j-000412\"", MH_PROTOCOL_ERROR_INVALID_ID },
    { "leg", "\"j-000412/100000\"", MH_PROTOCOL_ERROR_INVALID_ID },
    { "leg", "\"k-000412/3\"", MH_PROTOCOL_ERROR_INVALID_ID },
    { "try", NULL, MH_PROTOCOL_ERROR_MISSING_FIELD },
    { "status", "\"waiting\"", MH_PROTOCOL_ERROR_UNKNOWN_VALUE },
    { "cause", NULL, MH_PROTOCOL_ERROR_MISSING_FIELD },
    { "cause", "\"gathering\"", MH_PROTOCOL_ERROR_UNKNOWN_VALUE },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      g_autofree char *prefix = g_strconcat ("legs[1]: ", cases[i].field, ": ", NULL);
      MhValue *tasks = mh_value_new_list ();
      mh_value_push (tasks, map_from_fields (task, G_N_ELEMENTS (task), NULL, NULL));
      mh_value_push (tasks,
                     map_from_fields (task, G_N_ELEMENTS (task), cases[i].field, cases[i].json));
      g_autoptr (MhValue) body = map_from_fields (heartbeat, G_N_ELEMENTS (heartbeat), NULL, NULL);
      mh_value_set (body, "legs", tasks);
      g_assert_null (mh_heartbeat_decode (body, &error));
      assert_error (error, cases[i].code, prefix);
    }
}

/* The preemption notice is a negative number after its time has passed. If such heartbeats were
   rejected, the machine would appear unresponsive just when its tasks have to be moved. */
static void
test_notice (void)
{
  static const struct
  {
    const char *json;
    gint64 notice_us;
  } valid[] = { { "null", -1 }, { "7.5", 7500000 }, { "-3", 0 }, { "1e10", 0 } };
  for (gsize i = 0; i < G_N_ELEMENTS (valid); i++)
    {
      g_autoptr (MhValue) body
          = map_from_fields (heartbeat, G_N_ELEMENTS (heartbeat), "warning_s", valid[i].json);
      g_autoptr (MhHeartbeat) decoded = mh_heartbeat_decode (body, NULL);
      g_assert_nonnull (decoded);
      g_assert_cmpint (decoded->notice_us, ==, valid[i].notice_us);
    }
  g_autoptr (GError) error = NULL;
  g_autoptr (MhValue) invalid
      = map_from_fields (heartbeat, G_N_ELEMENTS (heartbeat), "warning_s", "\"7\"");
  g_assert_null (mh_heartbeat_decode (invalid, &error));
  assert_error (error, MH_PROTOCOL_ERROR_WRONG_TYPE, "warning_s: ");
}

static const Field machine_type[] = {
  { "sku", "\"g8\"" }, { "cpus", "96" },   { "mem_gb", "768" },         { "hourly", "12" },
  { "boot_s", "45" },  { "gpus", "true" }, { "spot_price", "\"4.5\"" },
};

/* An invalid value of a field that is not needed is ignored. If it were an error, all machine types
   would be missing, and nothing could be placed. */
static void
test_lenient_fields (void)
{
  MhValue *list = mh_value_new_list ();
  mh_value_push (list, map_from_fields (machine_type, G_N_ELEMENTS (machine_type), NULL, NULL));
  g_autoptr (MhValue) body = mh_value_new_map ();
  mh_value_set (body, "racks", list);
  g_autoptr (GPtrArray) types = mh_machine_types_decode (body, NULL);
  g_assert_nonnull (types);
  const MhMachineType *type = g_ptr_array_index (types, 0);
  g_assert_cmpfloat (type->gpus, ==, 0);
  g_assert_cmpfloat (type->spot_price, ==, 12);
  g_autoptr (GError) error = NULL;
  mh_value_push (list, map_from_fields (machine_type, G_N_ELEMENTS (machine_type), "boot_s", NULL));
  g_assert_null (mh_machine_types_decode (body, &error));
  assert_error (error, MH_PROTOCOL_ERROR_MISSING_FIELD, "racks[1]: boot_s: ");
}

/* If a change of the leader key were decoded as its deletion, the controllers would assume that the
   leadership has ended. */
static void
test_watch_events (void)
{
  static const Field put[] = { { "put", "\"leader\"" }, { "v", "1" }, { "stamp", "7" } };
  static const Field drop[] = { { "drop", "\"leader\"" }, { "stamp", "8" } };
  guint64 revision = 0;
  MhValue *list = mh_value_new_list ();
  mh_value_push (list, map_from_fields (put, G_N_ELEMENTS (put), NULL, NULL));
  mh_value_push (list, map_from_fields (drop, G_N_ELEMENTS (drop), NULL, NULL));
  g_autoptr (MhValue) body = mh_value_new_map ();
  mh_value_set_uint (body, "ledger", 9);
  mh_value_set (body, "news", list);
  g_autoptr (GPtrArray) events = mh_kv_events_decode (body, &revision, NULL);
  g_assert_nonnull (events);
  g_assert_cmpuint (revision, ==, 9);
  const MhKvEntry *first = g_ptr_array_index (events, 0), *second = g_ptr_array_index (events, 1);
  g_assert_nonnull (first->value);
  g_assert_null (second->value);
  g_assert_cmpstr (second->key, ==, "leader");
  g_assert_cmpuint (second->version, ==, 8);
  g_autoptr (GError) error = NULL;
  mh_value_push (list, map_from_fields (drop, G_N_ELEMENTS (drop), "drop", NULL));
  g_assert_null (mh_kv_events_decode (body, &revision, &error));
  assert_error (error, MH_PROTOCOL_ERROR_MISSING_FIELD, "news[2]: drop: ");
}

/* Guards against accepting a damaged record, or data of another program, as a message. */
static void
test_controller_records (void)
{
  static const struct
  {
    const char *bytes;
    gsize size;
    MhProtocolError code;
    const char *prefix;
  } cases[] = {
    { "\xff\xff\xff\xff", 4, MH_PROTOCOL_ERROR_OUT_OF_RANGE, "length" },
    { "\0\0\0\4\0\0\0\7", 8, MH_PROTOCOL_ERROR_MALFORMED_XDR, "" },
    { "\0\0\0\20\0\0\0\3\0\0\0\0\0\0\0\0\0\0\0\1", 20, MH_PROTOCOL_ERROR_OUT_OF_RANGE, "node: " },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MhControllerMessage message;
      g_autoptr (GError) error = NULL;
      g_autoptr (GByteArray) buffer = g_byte_array_new ();
      g_byte_array_append (buffer, (const guint8 *)cases[i].bytes, (guint)cases[i].size);
      g_assert_cmpint (mh_controller_message_read (buffer, &message, &error), ==,
                       MH_CONTROLLER_READ_MALFORMED);
      assert_error (error, cases[i].code, cases[i].prefix);
    }
  MhControllerMessage message;
  g_autoptr (GError) error = NULL;
  g_autoptr (GByteArray) invalid_job
      = mh_controller_request_encode (1, MH_USER_STATUS, "k-1", NULL);
  g_assert_cmpint (mh_controller_message_read (invalid_job, &message, &error), ==,
                   MH_CONTROLLER_READ_MALFORMED);
  assert_error (error, MH_PROTOCOL_ERROR_INVALID_ID, "job: ");
}

/* Guards against routing a path that resembles another one to the wrong handler. */
static void
test_routes (void)
{
  static const struct
  {
    const char *path, *method, *job;
    MhRoute route;
  } cases[] = {
    { "/ready", "GET", NULL, MH_ROUTE_READY },
    { "/hello", "POST", NULL, MH_ROUTE_HEARTBEAT },
    { "/submissions", "POST", NULL, MH_ROUTE_SUBMIT },
    { "/submissions/j-1", "GET", "j-1", MH_ROUTE_STATUS },
    { "/submissions/j-1/withdraw", "POST", "j-1", MH_ROUTE_CANCEL },
    { "/submissions/j-1/other", NULL, NULL, MH_ROUTE_NONE },
    { "/submissions/j-1/withdraw/more", NULL, NULL, MH_ROUTE_NONE },
    { "/", NULL, NULL, MH_ROUTE_NONE },
    { "", NULL, NULL, MH_ROUTE_NONE },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *method = NULL;
      g_autofree char *job = NULL;
      g_assert_cmpint (mh_route_find (cases[i].path, &method, &job), ==, cases[i].route);
      g_assert_cmpstr (method, ==, cases[i].method);
      g_assert_cmpstr (job, ==, cases[i].job);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/protocol-errors/submission-by-field", test_submission_by_field);
  g_test_add_func ("/protocol-errors/not-a-map", test_not_a_map);
  g_test_add_func ("/protocol-errors/task-in-heartbeat", test_task_in_heartbeat);
  g_test_add_func ("/protocol-errors/notice", test_notice);
  g_test_add_func ("/protocol-errors/lenient-fields", test_lenient_fields);
  g_test_add_func ("/protocol-errors/watch-events", test_watch_events);
  g_test_add_func ("/protocol-errors/controller-records", test_controller_records);
  g_test_add_func ("/protocol-errors/routes", test_routes);
  return g_test_run ();
}
