/* A submission that one version accepts and the other cannot read would be answered 400 when it is
   repeated at a controller of the other version. Each field in turn is left out, or has one of many
   values; both versions must be able to read the result, or neither. */
#include "production/production-core.h"
#include "protocol/user-messages.h"

#include <math.h>
#include <string.h>

#define MAX_NAME_BYTES 200u

static const char *const field_names[]
    = { "id",      "workload", "desk",      "shape",      "rank",    "legs", "cpus",
        "gpus",    "mem_gb",   "build",     "size_gb",    "racks",   "hall", "same_place",
        "scatter", "standby",  "runtime_s", "snapshot_s", "flush_s", "due_s" };

static MhValue *
new_text_of_length (gsize length)
{
  g_autofree char *text = g_strnfill (length, 'x');
  return mh_value_new_text (text);
}

static MhValue *
new_list (MhValue *first, MhValue *second)
{
  MhValue *list = mh_value_new_list ();
  if (first)
    mh_value_push (list, first);
  if (second)
    mh_value_push (list, second);
  return list;
}

/* The values that each field gets. NULL in the list: the field is left out. */
static GPtrArray *
new_values (void)
{
  static const char *const texts[] = { "",
                                       "a",
                                       "sweep",
                                       "service",
                                       "group",
                                       "Sweep",
                                       "normal",
                                       "critical",
                                       "j-12345",
                                       "j-123456",
                                       "J-123456",
                                       "j-123456789012345678",
                                       "j-1234567890123456789",
                                       "j-12345x",
                                       "j-000412/3",
                                       "\303\244",
                                       "4" };
  static const double numbers[]
      = { 0, 1, 4, 1.5, -1, -0.5, 1e6, 1000001, 1e9, 1.1e9, 1e300, NAN, INFINITY };
  static const guint64 integers[]
      = { 0, 1, 100000, 100001, 1000000, 1000001, G_MAXUINT32, G_MAXUINT64 };
  GPtrArray *values = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
  g_ptr_array_add (values, NULL);
  g_ptr_array_add (values, cbor_new_null ());
  g_ptr_array_add (values, cbor_new_undef ());
  g_ptr_array_add (values, cbor_build_bool (true));
  g_ptr_array_add (values, cbor_build_negint8 (0));
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    g_ptr_array_add (values, mh_value_new_text (texts[i]));
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    g_ptr_array_add (values, cbor_build_float8 (numbers[i]));
  for (guint i = 0; i < G_N_ELEMENTS (integers); i++)
    g_ptr_array_add (values, mh_value_new_uint (integers[i]));
  for (gsize length = MAX_NAME_BYTES; length <= MAX_NAME_BYTES + 1; length++)
    g_ptr_array_add (values, new_text_of_length (length));
  g_ptr_array_add (values, new_list (NULL, NULL));
  g_ptr_array_add (values, new_list (mh_value_new_text ("g8"), mh_value_new_text ("")));
  g_ptr_array_add (values, new_list (mh_value_new_text ("g8"), mh_value_new_uint (1)));
  g_ptr_array_add (values, mh_value_new_map ());
  return values;
}

static MhJobSpec *
new_spec (void)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup ("j-000412");
  spec->class_name = g_strdup ("train");
  spec->team = g_strdup ("vision");
  spec->image = g_strdup ("img-07");
  spec->zone = g_strdup ("a");
  spec->types = g_strsplit ("g8,g4", ",", -1);
  spec->tasks = 16;
  spec->cpus = 8;
  spec->deadline_us = 900000000;
  return spec;
}

/* Returns: (transfer full): the submission of `spec` in which the field has another value, or is
   left out if `value` is NULL. */
static GBytes *
new_submission (const MhJobSpec *spec, const char *field, MhValue *value)
{
  g_autoptr (MhValue) original = mh_submission_encode (spec);
  g_autoptr (MhValue) changed = mh_value_new_map ();
  for (guint i = 0; i < G_N_ELEMENTS (field_names); i++)
    {
      bool is_changed = strcmp (field_names[i], field) == 0;
      MhValue *member = is_changed ? value : mh_value_get (original, field_names[i]);
      if (member)
        mh_value_set (changed, field_names[i], cbor_incref (member));
    }
  return mh_value_serialize (changed);
}

static bool
is_read_by_this_version (GBytes *submission)
{
  gsize size;
  const void *data = g_bytes_get_data (submission, &size);
  g_autoptr (MhValue) value = mh_value_parse (data, size, NULL);
  g_autoptr (MhJobSpec) spec = mh_submission_decode (value, NULL);
  return spec != NULL;
}

/* The version in production ends when a flag is a float. */
static bool
can_be_compared (const char *field, const MhValue *value)
{
  bool is_flag = strcmp (field, "same_place") == 0 || strcmp (field, "scatter") == 0
                 || strcmp (field, "standby") == 0;
  return !is_flag || value == NULL || !cbor_isa_float_ctrl (value)
         || cbor_float_ctrl_is_ctrl (value);
}

static void
test_same_submissions_are_read (void)
{
  g_autoptr (MhJobSpec) spec = new_spec ();
  g_autoptr (GPtrArray) values = new_values ();
  guint n_read = 0, n_refused = 0;
  for (guint i = 0; i < G_N_ELEMENTS (field_names); i++)
    for (guint k = 0; k < values->len; k++)
      {
        MhValue *value = g_ptr_array_index (values, k);
        if (!can_be_compared (field_names[i], value))
          continue;
        g_autoptr (GBytes) submission = new_submission (spec, field_names[i], value);
        bool is_read = is_read_by_this_version (submission);
        if (is_read != production_reads_submission (submission))
          g_error ("%s with value %u: this version %s it, the one in production does not agree",
                   field_names[i], k, is_read ? "reads" : "refuses");
        n_read += is_read;
        n_refused += !is_read;
      }
  g_test_message ("%u submissions read and %u refused by both", n_read, n_refused);
  g_assert_cmpuint (n_read, >, G_N_ELEMENTS (field_names));
  g_assert_cmpuint (n_refused, >, G_N_ELEMENTS (field_names));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/submission-versions/same-submissions-are-read",
                   test_same_submissions_are_read);
  return g_test_run ();
}
