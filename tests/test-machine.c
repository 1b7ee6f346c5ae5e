/* A single machine as the leader knows it: the list of its cached images, and its direct starts
   that are not fenced yet. */
#include "cluster/fencing.h"

static MhMachine *
machine_new_with_cache (const MhMachineType *type)
{
  MhMachine *machine = mh_machine_new ("vm-1", 0);
  machine->type = type;
  return machine;
}

static void
add_image (MhMachine *machine, const char *name, double gb)
{
  g_autoptr (GRefString) image = g_ref_string_new_intern (name);
  mh_machine_add_image (machine, image, gb);
}

static bool
has_image (const MhMachine *machine, const char *name)
{
  g_autoptr (GRefString) image = g_ref_string_new_intern (name);
  return mh_machine_has_image (machine, image);
}

/* If the list did not follow the worker's evictions, tasks would be placed on the machine for an
   image that it has evicted. */
static void
test_least_recently_used_image_is_evicted (void)
{
  const MhMachineType type = { .cache_gb = 10 };
  MhMachine *machine = machine_new_with_cache (&type);
  add_image (machine, "first", 4);
  add_image (machine, "second", 4);
  add_image (machine, "third", 4);
  g_assert_false (has_image (machine, "first"));
  g_assert_true (has_image (machine, "second"));
  g_assert_true (has_image (machine, "third"));
  mh_machine_free (machine);
}

/* Each use of an image makes it the most recently used one. Otherwise an image that is in constant
   use would count as evicted although the worker still has it. */
static void
test_recently_used_image_is_kept (void)
{
  const MhMachineType type = { .cache_gb = 10 };
  MhMachine *machine = machine_new_with_cache (&type);
  add_image (machine, "first", 4);
  add_image (machine, "second", 4);
  add_image (machine, "first", 4);
  add_image (machine, "third", 4);
  g_assert_true (has_image (machine, "first"));
  g_assert_false (has_image (machine, "second"));
  g_assert_cmpuint (machine->images->len, ==, 2);
  mh_machine_free (machine);
}

static void
add_start (MhMachine *machine, guint index, guint64 token)
{
  char job[] = "j-000001";
  const MhCommand command = { .kind = MH_COMMAND_START, .job = job, .index = index, .attempt = 1 };
  mh_fencing_add_start (machine, &command, token);
}

static bool
has_start (const MhMachine *machine, guint index)
{
  return mh_fencing_find_start (machine, "j-000001", index, 1) != NULL;
}

/* A start is fenced by a higher token or by a later incarnation of the worker. If it were forgotten
   before that, its ended attempt would be cleared at the worker while a late copy of the start can
   still run the task again. */
static void
test_start_is_kept_until_fenced (void)
{
  MhMachine *machine = mh_machine_new ("vm-1", 0);
  machine->heartbeat.incarnation = 3;
  add_start (machine, 0, 7);
  add_start (machine, 1, 8);
  machine->heartbeat.token = 7;
  mh_fencing_remove_fenced (machine);
  g_assert_true (has_start (machine, 0));
  machine->heartbeat.token = 8;
  mh_fencing_remove_fenced (machine);
  g_assert_false (has_start (machine, 0));
  g_assert_true (has_start (machine, 1));
  machine->heartbeat.incarnation = 4;
  mh_fencing_remove_fenced (machine);
  g_assert_false (has_start (machine, 1));
  mh_machine_free (machine);
}

/* The worker carries out no copy of a start that it refused. If that start were kept, it would hold
   back the clear of an attempt that another start began. */
static void
test_only_refused_start_is_removed (void)
{
  MhMachine *machine = mh_machine_new ("vm-1", 0);
  add_start (machine, 0, 7);
  add_start (machine, 1, 7);
  mh_fencing_remove_start (machine, mh_fencing_find_start (machine, "j-000001", 0, 1));
  g_assert_false (has_start (machine, 0));
  g_assert_true (has_start (machine, 1));
  g_assert_false (mh_fencing_has_lost_start (machine));
  mh_fencing_find_start (machine, "j-000001", 1, 1)->lost = true;
  g_assert_true (mh_fencing_has_lost_start (machine));
  mh_machine_free (machine);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/machine/least-recently-used-image-is-evicted",
                   test_least_recently_used_image_is_evicted);
  g_test_add_func ("/machine/recently-used-image-is-kept", test_recently_used_image_is_kept);
  g_test_add_func ("/machine/start-is-kept-until-fenced", test_start_is_kept_until_fenced);
  g_test_add_func ("/machine/only-refused-start-is-removed", test_only_refused_start_is_removed);
  return g_test_run ();
}
