/* Tests this version and the one in production side by side, on a fake clock. A leader of either
   version is replaced by one of the other at each stage of a gang and at each step of re-chunking a
   job. The new leader then works with records, commands and worker state of the former one; a
   difference between the versions would lose tasks or run them twice. */
#include "steps.h"

#include <string.h>

/* The version that leads first, and the one that takes over. */
typedef struct
{
  ControllerVersion from, to;
} VersionChange;

static const VersionChange version_changes[] = { { CONTROLLER_PRODUCTION, CONTROLLER_CURRENT },
                                                 { CONTROLLER_CURRENT, CONTROLLER_PRODUCTION } };

/* Node 0 leads with the version `from`. The other two, one of which becomes the next leader, have
   the version `to`. */
static Simulation *
new_mixed_simulation (guint32 seed, const VersionChange *change)
{
  Simulation *simulation = simulation_new (seed);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (simulation, i);
  simulation_restart_node (simulation, 0, change->from, 0);
  WAIT (simulation, 10, has_leader, NULL);
  for (guint i = 1; i < SIMULATION_NODES; i++)
    simulation_restart_node (simulation, i, change->to, 0.1);
  simulation_run (simulation, 2);
  g_assert_cmpuint (simulation_leader (simulation)->index, ==, 0);
  return simulation;
}

/* Stops node 0, which leads, waits for the next leader, and starts node 0 again with the version
   `to`. */
static void
replace_leader (Simulation *simulation, const VersionChange *change, double downtime_s)
{
  simulation_stop_node (simulation, 0);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, downtime_s);
  simulation->nodes[0].version = change->to;
  simulation_start_node (simulation, 0);
}

/* ---- a gang ---- */

typedef enum
{
  PLACED,     /* in memory, not on record */
  ON_RECORD,  /* but the leader has no response to the write yet */
  START_SENT, /* the start commands are in flight */
  WAITING_FOR_GANG,
  RUNNING,
  CHECKPOINTING,
  ONE_DONE,   /* all tasks are done; the leader knows of one, and none is on record as done */
  CANCELLING, /* the write of the cancellation is in flight */
  CANCELLED,
  N_GANG_STAGES
} GangStage;

#define GANG_TASKS 4u

typedef struct
{
  Simulation *simulation;
  User *gang, *urgent;
} Scenario;

static MhJobSpec *
small_machine_gang_spec (void)
{
  MhJobSpec *spec = gang_spec_new (1, GANG_TASKS, 4);
  require_small_machines (spec);
  spec->checkpoint_save_us = 3 * MH_SECOND_US;
  return spec;
}

/* Adds twice as many machines as the gang needs, so that a second attempt could run beside the
   first. */
static void
add_machines (Simulation *simulation)
{
  simulation->cloud->max_machines = 0;
  add_small_machines (simulation, 2 * GANG_TASKS);
}

static bool
has_task_in_phase (const Simulation *simulation, MhTaskPhase phase)
{
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      for (guint k = 0; k < machine->tasks->len; k++)
        if (g_array_index (machine->tasks, MachineTask, k).phase == phase)
          return true;
    }
  return false;
}

static bool
has_waiting_gang_task (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return has_task_in_phase (simulation, MH_TASK_PHASE_WAITING_FOR_GANG);
}

static bool
has_checkpointing_task (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return has_task_in_phase (simulation, MH_TASK_PHASE_CHECKPOINTING);
}

static bool
has_held_write (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->network->held_writes->len > 0;
}

static bool
has_held_command (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->network->held_commands->len > 0;
}

/* The machines come up while the leader's writes are held, so that the gang is placed but not on
   record. */
static void
wait_until_placed (Scenario *scenario)
{
  scenario->simulation->nodes[0].hold_writes = true;
  add_machines (scenario->simulation);
  WAIT (scenario->simulation, 20, has_held_write, NULL);
}

static void
wait_until_running (Scenario *scenario)
{
  add_machines (scenario->simulation);
  WAIT (scenario->simulation, 60, is_gang_running, scenario->gang);
}

static bool
is_on_worker (Simulation *simulation, gpointer task_id)
{
  return worker_with_task (simulation, task_id) != NULL;
}

/* Delays the image of one task, so that the others wait for the gang. */
static void
wait_until_waiting_for_gang (Scenario *scenario)
{
  char task_id[] = "j-000001/3";
  add_machines (scenario->simulation);
  WAIT (scenario->simulation, 20, is_on_worker, task_id);
  Machine *machine = worker_with_task (scenario->simulation, task_id)->machine;
  g_array_index (machine->tasks, MachineTask, 0).ready_us += 4 * MH_SECOND_US;
  WAIT (scenario->simulation, 20, has_waiting_gang_task, NULL);
}

/* The idle machines fail, so that an urgent service preempts the gang. */
static void
wait_until_checkpointing (Scenario *scenario)
{
  wait_until_running (scenario);
  for (guint i = 0; i < scenario->simulation->cloud->machines->len; i++)
    {
      Machine *machine = g_ptr_array_index (scenario->simulation->cloud->machines, i);
      if (machine->tasks->len == 0)
        machine_fail (machine);
    }
  simulation_run (scenario->simulation, 6);
  scenario->urgent
      = simulation_submit (scenario->simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (scenario->simulation, 20, has_checkpointing_task, NULL);
}

/* Only the first worker's heartbeats arrive, and the write that follows is held. */
static void
wait_until_one_done (Scenario *scenario)
{
  wait_until_running (scenario);
  for (guint i = 1; i < scenario->simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (scenario->simulation->workers, i))->heartbeats_lost_until_us
        = scenario->simulation->clock->now_us + 20 * MH_SECOND_US;
  scenario->simulation->nodes[0].hold_writes = true;
  WAIT (scenario->simulation, 30, has_held_write, NULL);
  g_assert_cmpuint (scenario->gang->job->done_count, ==, GANG_TASKS);
}

static void
reach_stage (Scenario *scenario, GangStage stage)
{
  Simulation *simulation = scenario->simulation;
  switch (stage)
    {
    case PLACED:
      wait_until_placed (scenario);
      break;
    case ON_RECORD:
      wait_until_placed (scenario);
      simulation->nodes[0].write_responses_lost_until_us
          = simulation->clock->now_us + 20 * MH_SECOND_US;
      outgoing_calls_release_write (simulation, true);
      simulation_run (simulation, 0.1);
      break;
    case START_SENT:
      simulation->network->hold_commands = true;
      add_machines (simulation);
      WAIT (simulation, 20, has_held_command, NULL);
      break;
    case WAITING_FOR_GANG:
      wait_until_waiting_for_gang (scenario);
      break;
    case RUNNING:
      wait_until_running (scenario);
      break;
    case CHECKPOINTING:
      wait_until_checkpointing (scenario);
      break;
    case ONE_DONE:
      wait_until_one_done (scenario);
      break;
    case CANCELLING:
      wait_until_running (scenario);
      simulation->nodes[0].hold_writes = true;
      user_cancel (scenario->gang);
      WAIT (simulation, 10, has_held_write, NULL);
      break;
    case CANCELLED:
      wait_until_running (scenario);
      user_cancel (scenario->gang);
      WAIT (simulation, 10, is_reported_cancelled, scenario->gang);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Delivers the held requests of the first leader. */
static void
deliver_held_requests (Simulation *simulation)
{
  simulation->nodes[0].hold_writes = false;
  while (simulation->network->held_writes->len)
    outgoing_calls_release_write (simulation, true);
  simulation->nodes[0].hold_writes = false;
  if (simulation->network->hold_commands)
    outgoing_calls_release_commands (simulation);
}

/* The leader is replaced by one of the other version at one stage of a gang. The requests that it
   sent arrive either before or after the new leader has taken over. */
static void
test_gang_stage (gconstpointer data)
{
  GangStage stage = (GangStage)(GPOINTER_TO_UINT (data) / G_N_ELEMENTS (version_changes));
  const VersionChange *change
      = &version_changes[GPOINTER_TO_UINT (data) % G_N_ELEMENTS (version_changes)];
  for (guint late = 0; late < 2; late++)
    {
      Scenario scenario = { .simulation = new_mixed_simulation (100 + 10 * stage + late, change) };
      Simulation *simulation = scenario.simulation;
      simulation->cloud->max_machines = 0;
      scenario.gang = simulation_submit (simulation, small_machine_gang_spec (), 12);
      WAIT (simulation, 10, is_accepted, scenario.gang);
      reach_stage (&scenario, stage);
      if (late)
        {
          replace_leader (simulation, change, 2);
          deliver_held_requests (simulation);
        }
      else
        {
          deliver_held_requests (simulation);
          replace_leader (simulation, change, 2);
        }
      if (scenario.urgent)
        {
          WAIT (simulation, 60, all_tasks_running, scenario.urgent);
          user_cancel (scenario.urgent);
        }
      if (stage == CANCELLING || stage == CANCELLED)
        {
          WAIT (simulation, 30, is_reported_cancelled, scenario.gang);
          simulation_run (simulation, 45);
          g_assert_cmpuint (simulation_running_tasks (simulation, scenario.gang->job->spec->id), ==,
                            0);
        }
      else
        WAIT (simulation, 200, is_reported_done, scenario.gang);
      simulation_check_and_free (simulation);
    }
}

/* ---- re-chunking ---- */

#define CHUNKED_TASKS 300u

#define TXN_OPS 5u
#define SMALL_VALUE_BYTES 1400u

static gboolean
count_record (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  *(guint *)data += g_str_has_prefix (key, "j/") || g_str_has_prefix (key, "t/");
  return FALSE;
}

static guint
count_records (const Simulation *simulation)
{
  guint count = 0;
  g_tree_foreach (simulation->store->keys, count_record, &count);
  return count;
}

static bool
is_rechunked (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation_has_logged (simulation, "job re-chunked")
         || simulation_has_logged (simulation, "laid out anew");
}

/* Stores a job in more records than a transaction can change (`many_records`) or in fewer, and
   lowers the limit on values in the settings of all controllers, so that the next leader re-chunks
   the job. That leader ends after `n_writes` writes, and one of the other version takes
   over. Returns whether the first one ended while the re-chunking was partly written. */
static bool
rechunk_across_versions (const VersionChange *change, guint value_bytes, bool many_records,
                         guint n_writes)
{
  Simulation *simulation = simulation_new (7);
  simulation_set_store_limits (simulation, value_bytes, TXN_OPS);
  simulation->cloud->max_machines = 6;
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, CHUNKED_TASKS, 0.04);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US;
  User *job = simulation_submit (simulation, spec, 45);
  WAIT (simulation, 60, all_tasks_running, job);
  if (many_records)
    g_assert_cmpuint (count_records (simulation), >, TXN_OPS);
  else
    g_assert_cmpuint (count_records (simulation), <=, TXN_OPS);

  guint records = count_records (simulation);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      simulation->nodes[i].settings->value_bytes = SMALL_VALUE_BYTES;
      simulation->nodes[i].version = i == 0 ? change->from : change->to;
    }
  simulation->nodes[0].hold_writes = true;
  simulation_start_node (simulation, 0);
  /* The first write is that of the election. */
  WAIT (simulation, 10, has_held_write, NULL);
  outgoing_calls_release_write (simulation, true);
  for (guint i = 0; i < n_writes && simulation_run_until (simulation, 2, has_held_write, NULL); i++)
    outgoing_calls_release_write (simulation, true);
  simulation_run (simulation, 0.05);
  simulation_stop_node (simulation, 0);
  simulation->nodes[0].hold_writes = false;
  g_ptr_array_set_size (simulation->network->held_writes, 0);
  bool midway = count_records (simulation) > records && !is_rechunked (simulation, NULL);
  for (guint i = 1; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  WAIT (simulation, 30, is_rechunked, NULL);
  simulation->nodes[0].version = change->to;
  simulation_start_node (simulation, 0);

  WAIT (simulation, 120, is_reported_done, job);
  g_assert_cmpuint (simulation->rules->task_starts, ==, CHUNKED_TASKS);
  simulation_check_and_free (simulation);
  return midway;
}

static void
test_rechunk (gconstpointer data)
{
  const VersionChange *change = data;
  guint many_midway = 0, few_midway = 0;
  for (guint n_writes = 0; n_writes <= 8; n_writes++)
    {
      many_midway += rechunk_across_versions (change, 1700, true, n_writes);
      few_midway += rechunk_across_versions (change, 5120, false, n_writes);
    }
  g_assert_cmpuint (many_midway, >, 1);
  g_assert_cmpuint (few_midway, >, 1);
}

int
main (int argc, char **argv)
{
  static const char *const stage_names[N_GANG_STAGES]
      = { "placed",        "on-record", "start-sent", "waiting-for-gang", "running",
          "checkpointing", "one-done",  "cancelling", "cancelled" };
  static const char *const direction_names[] = { "upgrade", "rollback" };
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < N_GANG_STAGES * G_N_ELEMENTS (version_changes); i++)
    {
      g_autofree char *path = g_strdup_printf ("/versions/gang/%s-%s",
                                               stage_names[i / G_N_ELEMENTS (version_changes)],
                                               direction_names[i % G_N_ELEMENTS (version_changes)]);
      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_gang_stage);
    }
  for (guint i = 0; i < G_N_ELEMENTS (version_changes); i++)
    {
      g_autofree char *path = g_strdup_printf ("/versions/rechunk/%s", direction_names[i]);
      g_test_add_data_func (path, &version_changes[i], test_rechunk);
    }
  return g_test_run ();
}
