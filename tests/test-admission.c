/* Admission: which submissions are accepted or rejected, and which cannot be decided yet. */
#include "controller/admission.h"

#include "protocol/user-messages.h"

typedef struct
{
  MhSettings *settings;
  GPtrArray *types;
  MhJobSpec *spec;
} Fixture;

static MhMachineType *
machine_type (const char *name, double cpus)
{
  MhMachineType *type = g_new0 (MhMachineType, 1);
  type->name = g_strdup (name);
  type->cpus = cpus;
  type->mem_gb = 64;
  type->zones = g_strdupv ((char **)(const char *[]){ "a", NULL });
  return type;
}

static MhJobSpec *
job_spec (void)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup ("j-000001");
  spec->class_name = g_strdup ("batch");
  spec->team = g_strdup ("red");
  spec->image = g_strdup ("img-0");
  spec->tasks = 4;
  spec->cpus = 4;
  spec->mem_gb = 1;
  spec->deadline_us = -1;
  return spec;
}

static void
set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->settings = mh_settings_new ();
  fixture->settings->value_bytes = 8192;
  MhTeam *team = g_new0 (MhTeam, 1);
  team->name = g_strdup ("red");
  team->cpus = team->cpus_max = 8;
  g_ptr_array_add (fixture->settings->teams, team);
  fixture->types = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_machine_type_free);
  g_ptr_array_add (fixture->types, machine_type ("small", 4));
  fixture->spec = job_spec ();
}

static void
tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_settings_free (fixture->settings);
  g_ptr_array_unref (fixture->types);
  mh_job_spec_free (fixture->spec);
}

static MhAdmission
check (const Fixture *fixture)
{
  return mh_admission_check (fixture->settings, fixture->types, fixture->spec);
}

/* An array needs quota for one task at a time only, any other shape for all its tasks together. */
static void
test_quota_by_shape (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
  fixture->spec->shape = MH_SHAPE_SERVICE;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
  fixture->spec->tasks = 2;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
}

/* Jobs that can never run would wait for ever if they were accepted. */
static void
test_impossible_submissions (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->spec->cpus = 5;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
  fixture->spec->cpus = 4;
  g_free (fixture->spec->team);
  fixture->spec->team = g_strdup ("nobody");
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
}

/* A rejection is permanent: the user does not retry. Before the machine types are known, only what
   is impossible with any types may be rejected. */
static void
test_undecided_without_types (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  g_assert_cmpint (mh_admission_check (fixture->settings, NULL, fixture->spec), ==,
                   MH_ADMISSION_UNDECIDED);
  fixture->spec->shape = MH_SHAPE_SERVICE; /* exceeds the quota, whatever the machine types */
  g_assert_cmpint (mh_admission_check (fixture->settings, NULL, fixture->spec), ==,
                   MH_ADMISSION_IMPOSSIBLE);
}

/* The key-value store would reject the job's record at each attempt to write it, and the user would
   retry for ever. */
static void
test_too_large_for_a_value (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->settings->value_bytes = 64;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_TOO_LARGE);
}

/* A list of thousands of unknown machine types would not fit the job's record. */
static void
test_unknown_types_are_dropped (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->spec->types = g_strdupv ((char **)(const char *[]){ "huge", "small", "tiny", NULL });
  mh_admission_keep_known_types (NULL, fixture->spec);
  g_assert_cmpuint (g_strv_length (fixture->spec->types), ==, 3);
  mh_admission_keep_known_types (fixture->types, fixture->spec);
  g_assert_cmpuint (g_strv_length (fixture->spec->types), ==, 1);
  g_assert_cmpstr (fixture->spec->types[0], ==, "small");
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
}

static void
allow_many_types (MhJobSpec *spec)
{
  g_autoptr (GStrvBuilder) types = g_strv_builder_new ();
  for (guint i = 0; i < 1000; i++)
    {
      g_autofree char *name = g_strdup_printf ("unknown-%u", i);
      g_strv_builder_add (types, name);
    }
  g_strv_builder_add (types, "small");
  spec->types = g_strv_builder_end (types);
}

/* A long list of allowed types made a submission too large, for which 400 is final, while the
   machine types were not known. Only the known ones are recorded, so that it cannot be decided. */
static void
test_many_types (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  allow_many_types (fixture->spec);
  g_assert_cmpint (mh_admission_check (fixture->settings, NULL, fixture->spec), ==,
                   MH_ADMISSION_UNDECIDED);
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
  fixture->settings->value_bytes = 64; /* too small even without the list */
  g_assert_cmpint (mh_admission_check (fixture->settings, NULL, fixture->spec), ==,
                   MH_ADMISSION_TOO_LARGE);
}

/* At most half of the tasks of a scattered job may be in one zone. A service that is allowed in one
   zone only was accepted, and half of its replicas waited for ever; a gang was refused. */
static void
test_scattered_in_one_zone (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->spec->tasks = 2;
  fixture->spec->spread_over_zones = true; /* the only type is offered in one zone */
  fixture->spec->shape = MH_SHAPE_SERVICE;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
  fixture->spec->shape = MH_SHAPE_GANG;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
  fixture->spec->shape = MH_SHAPE_ARRAY; /* its tasks may run one after the other */
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);

  fixture->spec->shape = MH_SHAPE_SERVICE;
  fixture->spec->tasks = 1;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
  fixture->spec->tasks = 2;
  MhMachineType *elsewhere = machine_type ("small-elsewhere", 4);
  g_free (elsewhere->zones[0]);
  elsewhere->zones[0] = g_strdup ("b");
  g_ptr_array_add (fixture->types, elsewhere);
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_ACCEPT);
  fixture->spec->zone = g_strdup ("b");
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_IMPOSSIBLE);
}

/* An incomplete submission is malformed, whatever else is true of it. */
static void
test_incomplete (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  fixture->spec->is_incomplete = true;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_INCOMPLETE);
  g_assert_cmpint (mh_admission_check (fixture->settings, NULL, fixture->spec), ==,
                   MH_ADMISSION_INCOMPLETE);
  fixture->settings->value_bytes = 64;
  g_assert_cmpint (check (fixture), ==, MH_ADMISSION_INCOMPLETE);
}

#define ADD(name, test) g_test_add ("/admission/" name, Fixture, NULL, set_up, test, tear_down)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD ("quota-by-shape", test_quota_by_shape);
  ADD ("impossible-submissions", test_impossible_submissions);
  ADD ("undecided-without-types", test_undecided_without_types);
  ADD ("too-large-for-a-value", test_too_large_for_a_value);
  ADD ("unknown-types-are-dropped", test_unknown_types_are_dropped);
  ADD ("many-types", test_many_types);
  ADD ("scattered-in-one-zone", test_scattered_in_one_zone);
  ADD ("incomplete", test_incomplete);
  return g_test_run ();
}
