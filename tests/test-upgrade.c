/* Tests compatibility with earlier versions in production: records and peer messages that they
   wrote are read correctly, and this version writes the same bytes, so that versions can run side
   by side and be rolled back. */
#include "election/leader-record.h"
#include "controller/core-private.h"
#include "cluster/attempt.h"
#include "cluster/image-wait.h"
#include "cluster/machine-registry.h"
#include "storage/record.h"
#include "protocol/controller-messages.h"
#include "production-gang-records.h"
#include "production-records.h"
#include "steps.h"

#include <string.h>

static MhValue *
parse_value (const guint8 *data, gsize size)
{
  MhValue *value = mh_value_parse (data, size, NULL);
  g_assert_nonnull (value);
  return value;
}
#define PARSE(fixture) parse_value ((fixture), sizeof (fixture))

static void
assert_serialized (MhValue *written, const guint8 *data, gsize size)
{
  g_autoptr (MhValue) value = written;
  g_autoptr (GBytes) bytes = mh_value_serialize (value);
  g_assert_cmpmem (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes), data, size);
}
#define ASSERT_SERIALIZED(value, fixture) assert_serialized ((value), (fixture), sizeof (fixture))

static const char *
machine_name (const MhAttempt *attempt)
{
  return attempt->machine->name;
}

static void
check_and_count_task (gpointer data, guint index, guint32 attempt, const char *machine)
{
  guint *counts = data;
  if (machine == NULL)
    {
      g_assert_cmpuint (index, ==, 1);
      g_assert_cmpuint (attempt, ==, 4);
      counts[0]++;
    }
  else if (strcmp (machine, "?") == 0)
    {
      g_assert_cmpuint (index, ==, 33);
      g_assert_cmpuint (attempt, ==, 7);
      counts[1]++;
    }
  else
    {
      g_assert_cmpstr (machine, ==, "vm-000231");
      counts[2]++;
    }
}

/* If a record of the version in production could not be read, its job would not be scheduled any
   more. */
static void
test_records_are_read (void)
{
  guint counts[3] = {};
  g_auto (MhStoredJob) stored = {};
  g_autoptr (GError) error = NULL;
  g_autoptr (MhValue) job = PARSE (production_job), tasks = PARSE (production_tasks);
  g_assert_true (mh_record_read_job (job, "j-000412", &stored, &error));
  g_assert_no_error (error);
  g_assert_nonnull (stored.spec);
  g_assert_cmpuint (stored.spec->tasks, ==, 40);
  g_assert_cmpint (stored.spec->deadline_us, ==, 900 * MH_SECOND_US);
  g_assert_cmpuint (stored.chunk, ==, 32);
  g_assert_true (stored.cancelled);
  g_assert_true (mh_record_read_tasks (job, check_and_count_task, counts, &error));
  g_assert_true (mh_record_read_tasks (tasks, check_and_count_task, counts, &error));
  g_assert_cmpuint (counts[0], ==, 1);
  g_assert_cmpuint (counts[1], ==, 1);
  g_assert_cmpuint (counts[2], ==, 3);

  MhUserResponse response;
  guint64 epoch, lease_id;
  g_autofree char *node = NULL;
  g_autoptr (MhValue) final = PARSE (production_final), leader = PARSE (production_leader);
  g_autoptr (MhValue) last = PARSE (production_epoch), release = PARSE (production_release);
  g_assert_true (mh_record_read_final (final, &response, &error));
  g_assert_cmpint (response.state, ==, MH_JOB_CANCELLED);
  g_assert_true (mh_leader_record_read (leader, &node, &epoch, &lease_id));
  g_assert_cmpstr (node, ==, "worker-1");
  g_assert_true (mh_epoch_record_read (last, &epoch));
  g_assert_cmpuint (epoch, ==, 2000000);
  g_auto (GStrv) names = mh_record_read_release (release, &error);
  g_assert_cmpuint (g_strv_length (names), ==, 2);
}

/* After a roll-back, the version in production must be able to read the records of this version. */
static void
test_records_are_identical (void)
{
  g_auto (MhStoredJob) read = {};
  g_autoptr (MhSettings) settings = mh_settings_new ();
  settings->value_bytes = 32768;
  settings->store_rps = settings->store_write_rps = settings->cloud_rps = 100;
  settings->cancel_limit_us = 60 * MH_SECOND_US;
  MhNow now = { .mono_us = 1000 * MH_SECOND_US, .wall_us = 1700000000 * MH_SECOND_US };
  g_autoptr (MhCore) core = mh_core_new (settings, &now);
  g_autoptr (MhValue) stored = PARSE (production_job);
  g_assert_true (mh_record_read_job (stored, "j-000412", &read, NULL));
  MhJob *job = mh_job_new (g_steal_pointer (&read.spec), read.chunk, settings->value_bytes,
                           read.submitted_wall_us, &now);
  MhMachine *machine = mh_cluster_add_machine (core->cluster, "vm-000231", "g8", "b", true);
  for (guint i = 0; i < 3; i++)
    mh_attempt_new (core->cluster, job, i * 15, 2 + i, machine);
  job->tasks[1] = (MhTask){ .attempt = 4, .state = MH_TASK_DONE };
  job->tasks[33] = (MhTask){ .attempt = 7, .state = MH_TASK_PENDING };
  job->cancellation = MH_CANCELLATION_REQUESTED;
  job->n_done = 1;
  ASSERT_SERIALIZED (mh_record_write (&job->records[0], "5.17", machine_name), production_job);
  ASSERT_SERIALIZED (mh_record_write (&job->records[1], "5.17", machine_name), production_tasks);
  ASSERT_SERIALIZED (mh_record_write_final (job, "5.18"), production_final);
  ASSERT_SERIALIZED (mh_leader_record_write ("worker-1", 1000001, 7), production_leader);
  ASSERT_SERIALIZED (mh_epoch_record_write (2000000), production_epoch);
  const char *names[] = { "vm-000231", "vm-000232", NULL };
  ASSERT_SERIALIZED (mh_record_write_release ((char **)names), production_release);
  for (guint i = 0; i < 3; i++)
    mh_attempt_discard (core->cluster, job->tasks[(gsize)i * 15].live);
  mh_job_free (job);
}

static void
assert_message (GByteArray *written, const guint8 *data, gsize size, MhControllerMessage *message)
{
  g_assert_cmpmem (written->data, written->len, data, size);
  g_assert_cmpint (mh_controller_message_read (written, message, NULL), ==,
                   MH_CONTROLLER_READ_MESSAGE);
  g_assert_cmpuint (written->len, ==, 0);
  g_byte_array_unref (written);
}

/* Controllers of the two versions must be able to forward users' requests to each other. */
static void
test_messages_are_identical (void)
{
  MhControllerMessage message = {};
  const MhUserResponse response
      = { .status = 200, .retry_after_s = 3, .state = MH_JOB_CANCELLED, .done = 3, .running = 13 };
  g_autoptr (GBytes) body = g_bytes_new_static ("body", 4);
  assert_message (mh_controller_request_encode (41, MH_USER_SUBMIT, "j-000412", body),
                  production_call, sizeof production_call, &message);
  g_assert_cmpint (message.verb, ==, MH_USER_SUBMIT);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_response_encode (42, &response), production_answer,
                  sizeof production_answer, &message);
  g_assert_cmpint (message.response.state, ==, MH_JOB_CANCELLED);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_announcement_encode ("worker-1", 1000001), production_news,
                  sizeof production_news, &message);
  g_assert_cmpuint (message.epoch, ==, 1000001);
  mh_controller_message_clear (&message);
}

/* ---- gangs, and a limit of 2 KiB on values ---- */

typedef struct
{
  MhSettings *settings;
  MhCore *core;
  MhNow now;
  MhMachine *machines[2];
} Fixture;

static void
fixture_set_up (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  MhSettings *settings = fixture->settings = mh_settings_new ();
  settings->value_bytes = 2048;
  settings->store_rps = settings->store_write_rps = settings->cloud_rps = 100;
  settings->cancel_limit_us = 60 * MH_SECOND_US;
  fixture->now = (MhNow){ .mono_us = 1000 * MH_SECOND_US, .wall_us = 1700000000 * MH_SECOND_US };
  fixture->core = mh_core_new (settings, &fixture->now);
  fixture->machines[0]
      = mh_cluster_add_machine (fixture->core->cluster, "vm-000231", "g8", "b", false);
  fixture->machines[1]
      = mh_cluster_add_machine (fixture->core->cluster, "vm-000232", "g8", "b", false);
}

static void
fixture_tear_down (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  mh_core_free (fixture->core);
  mh_settings_free (fixture->settings);
}

/* Creates the job from its first stored record, as a new leader of this version does. */
static MhJob *
load_job (const Fixture *fixture, MhValue *stored, const char *id, bool *cancelled)
{
  g_auto (MhStoredJob) read = {};
  g_assert_true (mh_record_read_job (stored, id, &read, NULL));
  g_assert_nonnull (read.spec);
  g_assert_cmpint (read.submitted_wall_us, ==, fixture->now.wall_us);
  *cancelled = read.cancelled;
  return mh_job_new (g_steal_pointer (&read.spec), read.chunk, fixture->settings->value_bytes,
                     read.submitted_wall_us, &fixture->now);
}

typedef struct
{
  Fixture *fixture;
  MhJob *job;
} TaskReader;

static void
load_task (gpointer data, guint index, guint32 attempt, const char *machine)
{
  TaskReader *reader = data;
  MhTask *task = &reader->job->tasks[index];
  if (machine && strcmp (machine, "?") != 0)
    {
      MhMachine *found = mh_cluster_find_machine (reader->fixture->core->cluster, machine);
      mh_attempt_new (reader->fixture->core->cluster, reader->job, index, attempt, found);
    }
  else
    *task = (MhTask){ .attempt = attempt, .state = machine ? MH_TASK_PENDING : MH_TASK_DONE };
}

static void
load_tasks (Fixture *fixture, MhJob *job, const MhValue *stored)
{
  TaskReader reader = { .fixture = fixture, .job = job };
  g_assert_true (mh_record_read_tasks (stored, load_task, &reader, NULL));
}

static void
discard_job (Fixture *fixture, MhJob *job)
{
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_discard (fixture->core->cluster, job->tasks[i].live);
  mh_job_free (job);
}

/* If an attempt of a gang were read wrongly, it would run twice or never end. */
static void
test_gang_record (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  bool cancelled;
  MhUserResponse response;
  g_autoptr (MhValue) stored = PARSE (production_gang), done = PARSE (production_gang_done);
  g_autoptr (MhValue) final = PARSE (production_gang_final);
  MhJob *job = load_job (fixture, stored, "j-000500", &cancelled);
  g_assert_false (cancelled);
  g_assert_cmpint (job->spec->shape, ==, MH_SHAPE_GANG);
  g_assert_true (job->spec->single_zone);
  g_assert_cmpint (job->spec->checkpoint_interval_us, ==, 20 * MH_SECOND_US);
  load_tasks (fixture, job, stored);
  g_assert_cmpuint (job->n_live, ==, 4);
  g_assert_cmpuint (job->tasks[3].attempt, ==, 3);
  g_assert_true (job->tasks[3].live->machine == fixture->machines[1]);
  ASSERT_SERIALIZED (mh_record_write (&job->records[0], "1000001.40", machine_name),
                     production_gang);

  for (guint i = 0; i < 4; i++)
    mh_attempt_discard (fixture->core->cluster, job->tasks[i].live);
  load_tasks (fixture, job, done);
  for (guint i = 0; i < 4; i++)
    g_assert_cmpuint (job->tasks[i].state, ==, MH_TASK_DONE);
  job->n_done = 4;
  ASSERT_SERIALIZED (mh_record_write (&job->records[0], "1000001.41", machine_name),
                     production_gang_done);
  ASSERT_SERIALIZED (mh_record_write_final (job, "1000001.42"), production_gang_final);
  g_assert_true (mh_record_read_final (final, &response, NULL));
  g_assert_cmpint (response.state, ==, MH_JOB_DONE);
  g_assert_cmpuint (response.done, ==, 4);
  discard_job (fixture, job);
}

/* If a version could not read the records after the first one, their tasks would be lost when it
   takes over. */
static void
test_rechunked_records (Fixture *fixture, gconstpointer unused)
{
  (void)unused;
  bool cancelled;
  g_autoptr (MhValue) first = PARSE (production_rechunked_0),
                      second = PARSE (production_rechunked_1);
  MhJob *job = load_job (fixture, first, "j-000501", &cancelled);
  g_assert_cmpuint (job->n_records, ==, 2);
  load_tasks (fixture, job, first);
  load_tasks (fixture, job, second);
  g_assert_cmpuint (job->n_live, ==, 2);
  g_assert_nonnull (job->tasks[59].live);
  g_assert_cmpuint (job->tasks[30].attempt, ==, 5);
  g_assert_cmpuint (job->tasks[31].state, ==, MH_TASK_DONE);
  ASSERT_SERIALIZED (mh_record_write (&job->records[0], "1000001.43", machine_name),
                     production_rechunked_0);
  ASSERT_SERIALIZED (mh_record_write (&job->records[1], "1000001.43", machine_name),
                     production_rechunked_1);
  g_autofree char *key = mh_record_key ("j-000501", 1);
  g_assert_cmpstr (key, ==, "t/j-000501/00001");
  discard_job (fixture, job);
}

/* The versions must write the same records of the leader, the epoch and machines being released.
   Otherwise two leaders of different versions would not detect each other. */
static void
test_gang_leadership (void)
{
  guint64 epoch, lease_id;
  g_autofree char *node = NULL;
  const char *names[] = { "vm-000233", NULL };
  g_autoptr (MhValue) leader = PARSE (production_gang_leader);
  ASSERT_SERIALIZED (mh_leader_record_write ("worker-2", 1000001, 9), production_gang_leader);
  ASSERT_SERIALIZED (mh_epoch_record_write (2000000), production_gang_epoch);
  ASSERT_SERIALIZED (mh_record_write_release ((char **)names), production_gang_release);
  g_assert_true (mh_leader_record_read (leader, &node, &epoch, &lease_id));
  g_assert_cmpuint (lease_id, ==, 9);
}

/* It must be possible to submit, query and cancel a gang at a controller of the other version,
   which forwards the request. */
static void
test_gang_messages (void)
{
  MhControllerMessage message = {};
  const MhUserResponse response = { .status = 201, .state = MH_JOB_RUNNING, .running = 4 };
  g_autoptr (GBytes) body = g_bytes_new_static ("body", 4);
  assert_message (mh_controller_request_encode (43, MH_USER_SUBMIT, "j-000500", body),
                  production_gang_submit, sizeof production_gang_submit, &message);
  g_assert_cmpint (message.verb, ==, MH_USER_SUBMIT);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_request_encode (44, MH_USER_STATUS, "j-000500", NULL),
                  production_gang_status, sizeof production_gang_status, &message);
  g_assert_cmpint (message.verb, ==, MH_USER_STATUS);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_request_encode (45, MH_USER_CANCEL, "j-000500", NULL),
                  production_gang_cancel, sizeof production_gang_cancel, &message);
  g_assert_cmpint (message.verb, ==, MH_USER_CANCEL);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_response_encode (43, &response), production_gang_answer,
                  sizeof production_gang_answer, &message);
  g_assert_cmpuint (message.response.running, ==, 4);
  mh_controller_message_clear (&message);
  assert_message (mh_controller_announcement_encode ("worker-2", 1000001),
                  production_gang_announcement, sizeof production_gang_announcement, &message);
  g_assert_cmpstr (message.node, ==, "worker-2");
  mh_controller_message_clear (&message);
}

/* Controllers with a large limit on values and controllers with a small one lead in turn, in
   several orders. At the end all of them, and the key-value store, have the small limit. Tasks must
   be neither lost nor run twice. */
static void
test_mixed_value_limits (void)
{
  for (guint seed = 1; seed <= 6; seed++)
    {
      Simulation *simulation = simulation_new (seed);
      simulation->cloud->max_machines = 6;
      MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, 300, 0.04);
      spec->mem_gb = 0.1;
      spec->estimated_run_us = 600 * MH_SECOND_US;
      User *user = simulation_submit (simulation, spec, 70),
           *service = start_service (simulation, 3, 2);
      WAIT (simulation, 60, all_tasks_running, user);
      for (guint round = 0; round < 6; round++)
        {
          guint index = (round + seed) % SIMULATION_NODES;
          bool small = round % 2 == 0 || round > 3;
          simulation_stop_node (simulation, index);
          simulation->nodes[index].settings->value_bytes = small ? 2048 : 8192;
          simulation->nodes[index].settings->txn_ops = simulation->nodes[index].settings->max_batch
              = small ? 5 : 16;
          simulation_run (simulation, 0.3 * round);
          simulation_start_node (simulation, index);
          ControllerNode *leader = simulation_leader (simulation);
          if (leader && leader->index != index)
            {
              simulation_stop_node (simulation, leader->index);
              simulation_run (simulation, 1.5);
              simulation_start_node (simulation, leader->index);
            }
          simulation_run (simulation, 4);
        }
      simulation_set_store_limits (simulation, 2048, 5);
      WAIT (simulation, 200, is_reported_done, user);
      g_assert_cmpuint (simulation_running_tasks (simulation, service->job->spec->id), ==, 2);
      g_assert_cmpuint (simulation->rules->task_starts, ==, 302);
      simulation_assert_rules (simulation);
      simulation_free (simulation);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/upgrade/records-are-read", test_records_are_read);
  g_test_add_func ("/upgrade/records-are-identical", test_records_are_identical);
  g_test_add_func ("/upgrade/messages-are-identical", test_messages_are_identical);
  g_test_add_func ("/upgrade/mixed-value-limits", test_mixed_value_limits);
  g_test_add ("/upgrade/gang-record", Fixture, NULL, fixture_set_up, test_gang_record,
              fixture_tear_down);
  g_test_add ("/upgrade/rechunked-records", Fixture, NULL, fixture_set_up, test_rechunked_records,
              fixture_tear_down);
  g_test_add_func ("/upgrade/gang-leadership", test_gang_leadership);
  g_test_add_func ("/upgrade/gang-messages", test_gang_messages);
  return g_test_run ();
}
