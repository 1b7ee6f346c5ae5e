/* This version and the one in production, side by side and on each other's data, on a fake clock:
   the leader changes from either to the other at every step of a gang's life and of re-chunking a
   job. */
#include "steps.h"

#include <string.h>

/* From the version that leads first to the one that takes over. */
typedef struct
{
  ControllerVersion from, to;
} Change;

static const Change changes[] = { { CONTROLLER_PRODUCTION, CONTROLLER_CURRENT },
                                  { CONTROLLER_CURRENT, CONTROLLER_PRODUCTION } };

/* The leader has the first version, the two others, one of which will succeed it, the second. */
static Simulation *
mixed_sim (guint32 seed, const Change *change)
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

/* The leader ends, and comes back later with the other version. */
static void
change_leader (Simulation *simulation, const Change *change, double away_s)
{
  simulation_stop_node (simulation, 0);
  WAIT (simulation, 10, has_leader, NULL);
  simulation_run (simulation, away_s);
  simulation->nodes[0].version = change->to;
  simulation_start_node (simulation, 0);
}

/* ---- a gang ---- */

typedef enum
{
  PLACED,     /* in memory, not on record */
  ON_RECORD,  /* and the leader does not know yet that it is */
  START_SENT, /* and on its way */
  GATHERING,
  RUNNING,
  STOPPING,
  ONE_DONE,   /* the leader knows of one task, nothing is on record */
  CANCELLING, /* on its way to the record */
  CANCELLED,
  N_MOMENTS
} Moment;

#define GANG_TASKS 4u

typedef struct
{
  Simulation *simulation;
  User *gang, *urgent;
} Scene;

static MhJobSpec *
two_version_gang_spec (void)
{
  MhJobSpec *spec = gang_spec_new (1, GANG_TASKS, 4);
  require_small_machines (spec);
  spec->checkpoint_save_us = 3 * MH_SECOND_US;
  return spec;
}

/* Twice as many as it needs: there is room for a second attempt beside the first. */
static void
add_machines (Simulation *simulation)
{
  simulation->cloud->max_machines = 0;
  add_small_machines (simulation, 2 * GANG_TASKS);
}

static bool
in_phase (const Simulation *simulation, MhTaskPhase phase)
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
gathers (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return in_phase (simulation, MH_TASK_PHASE_WAITING_FOR_GANG);
}

static bool
saves (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return in_phase (simulation, MH_TASK_PHASE_CHECKPOINTING);
}

static bool
write_held (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->network->held_writes->len > 0;
}

static bool
command_held (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation->network->held_commands->len > 0;
}

/* Its machines come up while the leader's writes are held. */
static void
until_placed (Scene *scene)
{
  scene->simulation->nodes[0].hold_writes = true;
  add_machines (scene->simulation);
  WAIT (scene->simulation, 20, write_held, NULL);
}

static void
until_running (Scene *scene)
{
  add_machines (scene->simulation);
  WAIT (scene->simulation, 60, is_gang_running, scene->gang);
}

static bool
fetches (Simulation *simulation, gpointer leg)
{
  return worker_with_task (simulation, leg) != NULL;
}

/* The image of one task comes later than the others'. */
static void
until_gathering (Scene *scene)
{
  char leg[] = "j-000001/3";
  add_machines (scene->simulation);
  WAIT (scene->simulation, 20, fetches, leg);
  Machine *machine = worker_with_task (scene->simulation, leg)->machine;
  g_array_index (machine->tasks, MachineTask, 0).ready_us += 4 * MH_SECOND_US;
  WAIT (scene->simulation, 20, gathers, NULL);
}

static void
until_stopping (Scene *scene)
{
  until_running (scene);
  for (guint i = 0; i < scene->simulation->cloud->machines->len; i++)
    {
      Machine *machine = g_ptr_array_index (scene->simulation->cloud->machines, i);
      if (machine->tasks->len == 0)
        machine_fail (machine);
    }
  simulation_run (scene->simulation, 6);
  scene->urgent
      = simulation_submit (scene->simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (scene->simulation, 20, saves, NULL);
}

static void
until_one_done (Scene *scene)
{
  until_running (scene);
  for (guint i = 1; i < scene->simulation->workers->len; i++)
    ((Worker *)g_ptr_array_index (scene->simulation->workers, i))->heartbeats_lost_until_us
        = scene->simulation->clock->now_us + 20 * MH_SECOND_US;
  scene->simulation->nodes[0].hold_writes = true;
  WAIT (scene->simulation, 30, write_held, NULL);
  g_assert_cmpuint (scene->gang->job->done_count, ==, GANG_TASKS);
}

static void
bring_about (Scene *scene, Moment moment)
{
  Simulation *simulation = scene->simulation;
  switch (moment)
    {
    case PLACED:
      until_placed (scene);
      break;
    case ON_RECORD:
      until_placed (scene);
      simulation->nodes[0].write_answers_lost_until_us
          = simulation->clock->now_us + 20 * MH_SECOND_US;
      outgoing_calls_release_write (simulation, true);
      simulation_run (simulation, 0.1);
      break;
    case START_SENT:
      simulation->network->hold_commands = true;
      add_machines (simulation);
      WAIT (simulation, 20, command_held, NULL);
      break;
    case GATHERING:
      until_gathering (scene);
      break;
    case RUNNING:
      until_running (scene);
      break;
    case STOPPING:
      until_stopping (scene);
      break;
    case ONE_DONE:
      until_one_done (scene);
      break;
    case CANCELLING:
      until_running (scene);
      simulation->nodes[0].hold_writes = true;
      user_cancel (scene->gang);
      WAIT (simulation, 10, write_held, NULL);
      break;
    case CANCELLED:
      until_running (scene);
      user_cancel (scene->gang);
      WAIT (simulation, 10, is_reported_cancelled, scene->gang);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* What the earlier leader had sent arrives after its successor has begun. */
static void
deliver_late (Simulation *simulation)
{
  simulation->nodes[0].hold_writes = false;
  while (simulation->network->held_writes->len)
    outgoing_calls_release_write (simulation, true);
  simulation->nodes[0].hold_writes = false;
  if (simulation->network->hold_commands)
    outgoing_calls_release_commands (simulation);
}

static void
test_gang (gconstpointer data)
{
  Moment moment = (Moment)(GPOINTER_TO_UINT (data) / G_N_ELEMENTS (changes));
  const Change *change = &changes[GPOINTER_TO_UINT (data) % G_N_ELEMENTS (changes)];
  for (guint late = 0; late < 2; late++)
    {
      Scene scene = { .simulation = mixed_sim (100 + 10 * moment + late, change) };
      Simulation *simulation = scene.simulation;
      simulation->cloud->max_machines = 0;
      scene.gang = simulation_submit (simulation, two_version_gang_spec (), 12);
      WAIT (simulation, 10, is_accepted, scene.gang);
      bring_about (&scene, moment);
      if (late)
        {
          change_leader (simulation, change, 2);
          deliver_late (simulation);
        }
      else
        {
          deliver_late (simulation);
          change_leader (simulation, change, 2);
        }
      if (scene.urgent)
        {
          WAIT (simulation, 60, all_tasks_running, scene.urgent);
          user_cancel (scene.urgent);
        }
      if (moment == CANCELLING || moment == CANCELLED)
        {
          WAIT (simulation, 30, is_reported_cancelled, scene.gang);
          simulation_run (simulation, 45);
          g_assert_cmpuint (simulation_running_tasks (simulation, scene.gang->job->spec->id), ==,
                            0);
        }
      else
        WAIT (simulation, 200, is_reported_done, scene.gang);
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
rechunked (Simulation *simulation, gpointer unused)
{
  (void)unused;
  return simulation_has_logged (simulation, "job re-chunked")
         || simulation_has_logged (simulation, "laid out anew");
}

/* A job of more records than a transaction takes changes, or of fewer. The leaders of both versions
   believe in the smaller limits from now on; the one that re-chunks the job ends after so many of
   its writes, and one of the other version goes on. Returns whether it ended in the midst of it. */
static bool
rechunk_across (const Change *change, guint value_bytes, bool many, guint writes)
{
  Simulation *simulation = simulation_new (7);
  simulation_set_store_limits (simulation, value_bytes, TXN_OPS);
  simulation->cloud->max_machines = 6;
  MhJobSpec *spec = job_spec_new (1, MH_SHAPE_ARRAY, CHUNKED_TASKS, 0.04);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US;
  User *job = simulation_submit (simulation, spec, 45);
  WAIT (simulation, 60, all_tasks_running, job);
  if (many)
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
  /* The first one makes it the leader. */
  WAIT (simulation, 10, write_held, NULL);
  outgoing_calls_release_write (simulation, true);
  for (guint i = 0; i < writes && simulation_run_until (simulation, 2, write_held, NULL); i++)
    outgoing_calls_release_write (simulation, true);
  simulation_run (simulation, 0.05);
  simulation_stop_node (simulation, 0);
  simulation->nodes[0].hold_writes = false;
  g_ptr_array_set_size (simulation->network->held_writes, 0);
  bool midway = count_records (simulation) > records && !rechunked (simulation, NULL);
  for (guint i = 1; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  WAIT (simulation, 30, rechunked, NULL);
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
  const Change *change = data;
  guint many_midway = 0, few_midway = 0;
  for (guint writes = 0; writes <= 8; writes++)
    {
      many_midway += rechunk_across (change, 1700, true, writes);
      few_midway += rechunk_across (change, 5120, false, writes);
    }
  g_assert_cmpuint (many_midway, >, 1);
  g_assert_cmpuint (few_midway, >, 1);
}

int
main (int argc, char **argv)
{
  static const char *const moments[N_MOMENTS]
      = { "placed",   "on-record", "start-sent", "gathering", "running",
          "stopping", "one-done",  "cancelling", "cancelled" };
  static const char *const directions[] = { "forward", "back" };
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < N_MOMENTS * G_N_ELEMENTS (changes); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/versions/gang/%s-%s", moments[i / G_N_ELEMENTS (changes)],
                             directions[i % G_N_ELEMENTS (changes)]);
      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_gang);
    }
  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      g_autofree char *path = g_strdup_printf ("/versions/rechunk/%s", directions[i]);
      g_test_add_data_func (path, &changes[i], test_rechunk);
    }
  return g_test_run ();
}
