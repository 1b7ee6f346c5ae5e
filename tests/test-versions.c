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
static Sim *
mixed_sim (guint32 seed, const Change *change)
{
  Sim *sim = sim_new (seed);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_restart_node (sim, 0, change->from, 0);
  WAIT (sim, 10, has_leader, NULL);
  for (guint i = 1; i < SIM_NODES; i++)
    sim_restart_node (sim, i, change->to, 0.1);
  sim_run (sim, 2);
  g_assert_cmpuint (sim_leader (sim)->index, ==, 0);
  return sim;
}

/* The leader ends, and comes back later with the other version. */
static void
change_leader (Sim *sim, const Change *change, double away_s)
{
  sim_stop_node (sim, 0);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, away_s);
  sim->nodes[0].version = change->to;
  sim_start_node (sim, 0);
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
  Sim *sim;
  SimUser *gang, *urgent;
} Scene;

static MhJobSpec *
gang_spec (void)
{
  MhJobSpec *spec = sim_spec (1, MH_SHAPE_GANG, GANG_TASKS, 4);
  spec->spot = false;
  spec->single_zone = true;
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  spec->estimated_run_us = 20 * MH_SECOND_US;
  spec->checkpoint_interval_us = 5 * MH_SECOND_US;
  spec->checkpoint_save_us = 3 * MH_SECOND_US;
  return spec;
}

/* Twice as many as it needs: there is room for a second attempt beside the first. */
static void
add_machines (Sim *sim)
{
  sim->world->capacity = 0;
  add_small_machines (sim, 2 * GANG_TASKS);
}

static bool
in_phase (const Sim *sim, MhTaskPhase phase)
{
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      const WorldMachine *machine = g_ptr_array_index (sim->world->machines, i);
      for (guint k = 0; k < machine->tasks->len; k++)
        if (g_array_index (machine->tasks, WorldTask, k).phase == phase)
          return true;
    }
  return false;
}

static bool
gathers (Sim *sim, gpointer unused)
{
  (void)unused;
  return in_phase (sim, MH_TASK_PHASE_WAITING_FOR_GANG);
}

static bool
saves (Sim *sim, gpointer unused)
{
  (void)unused;
  return in_phase (sim, MH_TASK_PHASE_CHECKPOINTING);
}

static bool
runs (Sim *sim, gpointer data)
{
  (void)sim;
  return ((SimUser *)data)->job->running_attempt != 0;
}

static bool
write_held (Sim *sim, gpointer unused)
{
  (void)unused;
  return sim->held_writes->len > 0;
}

static bool
command_held (Sim *sim, gpointer unused)
{
  (void)unused;
  return sim->held->len > 0;
}

/* Its machines come up while the leader's writes are held. */
static void
until_placed (Scene *scene)
{
  scene->sim->nodes[0].hold_writes = true;
  add_machines (scene->sim);
  WAIT (scene->sim, 20, write_held, NULL);
}

static void
until_running (Scene *scene)
{
  add_machines (scene->sim);
  WAIT (scene->sim, 60, runs, scene->gang);
}

static bool
fetches (Sim *sim, gpointer leg)
{
  return worker_of (sim, leg) != NULL;
}

/* The image of one task comes later than the others'. */
static void
until_gathering (Scene *scene)
{
  char leg[] = "j-000001/3";
  add_machines (scene->sim);
  WAIT (scene->sim, 20, fetches, leg);
  WorldMachine *machine = worker_of (scene->sim, leg)->machine;
  g_array_index (machine->tasks, WorldTask, 0).ready_us += 4 * MH_SECOND_US;
  WAIT (scene->sim, 20, gathers, NULL);
}

static void
until_stopping (Scene *scene)
{
  until_running (scene);
  for (guint i = 0; i < scene->sim->world->machines->len; i++)
    {
      WorldMachine *machine = g_ptr_array_index (scene->sim->world->machines, i);
      if (machine->tasks->len == 0)
        world_fail (machine);
    }
  sim_run (scene->sim, 6);
  scene->urgent = sim_submit (scene->sim, sim_spec (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (scene->sim, 20, saves, NULL);
}

static void
until_one_done (Scene *scene)
{
  until_running (scene);
  for (guint i = 1; i < scene->sim->workers->len; i++)
    ((SimWorker *)g_ptr_array_index (scene->sim->workers, i))->reports_lost_us
        = scene->sim->now_us + 20 * MH_SECOND_US;
  scene->sim->nodes[0].hold_writes = true;
  WAIT (scene->sim, 30, write_held, NULL);
  g_assert_cmpuint (scene->gang->job->n_done, ==, GANG_TASKS);
}

static void
bring_about (Scene *scene, Moment moment)
{
  Sim *sim = scene->sim;
  switch (moment)
    {
    case PLACED:
      until_placed (scene);
      break;
    case ON_RECORD:
      until_placed (scene);
      sim->nodes[0].write_answers_lost_us = sim->now_us + 20 * MH_SECOND_US;
      sim_release_write (sim, true);
      sim_run (sim, 0.1);
      break;
    case START_SENT:
      sim->hold_commands = true;
      add_machines (sim);
      WAIT (sim, 20, command_held, NULL);
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
      sim->nodes[0].hold_writes = true;
      sim_cancel (scene->gang);
      WAIT (sim, 10, write_held, NULL);
      break;
    case CANCELLED:
      until_running (scene);
      sim_cancel (scene->gang);
      WAIT (sim, 10, told_cancelled, scene->gang);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* What the earlier leader had sent arrives after its successor has begun. */
static void
deliver_late (Sim *sim)
{
  sim->nodes[0].hold_writes = false;
  while (sim->held_writes->len)
    sim_release_write (sim, true);
  sim->nodes[0].hold_writes = false;
  if (sim->hold_commands)
    sim_release_commands (sim);
}

static void
test_gang (gconstpointer data)
{
  Moment moment = (Moment)(GPOINTER_TO_UINT (data) / G_N_ELEMENTS (changes));
  const Change *change = &changes[GPOINTER_TO_UINT (data) % G_N_ELEMENTS (changes)];
  for (guint late = 0; late < 2; late++)
    {
      Scene scene = { .sim = mixed_sim (100 + 10 * moment + late, change) };
      Sim *sim = scene.sim;
      sim->world->capacity = 0;
      scene.gang = sim_submit (sim, gang_spec (), 12);
      WAIT (sim, 10, accepted, scene.gang);
      bring_about (&scene, moment);
      if (late)
        {
          change_leader (sim, change, 2);
          deliver_late (sim);
        }
      else
        {
          deliver_late (sim);
          change_leader (sim, change, 2);
        }
      if (scene.urgent)
        {
          WAIT (sim, 60, all_run, scene.urgent);
          sim_cancel (scene.urgent);
        }
      if (moment == CANCELLING || moment == CANCELLED)
        {
          WAIT (sim, 30, told_cancelled, scene.gang);
          sim_run (sim, 45);
          g_assert_cmpuint (world_running (sim->world, scene.gang->job->spec->id), ==, 0);
        }
      else
        WAIT (sim, 200, told_done, scene.gang);
      finish (sim);
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
count_records (const Sim *sim)
{
  guint count = 0;
  g_tree_foreach (sim->world->keys, count_record, &count);
  return count;
}

static bool
rechunked (Sim *sim, gpointer unused)
{
  (void)unused;
  return sim_logged (sim, "re-chunked into") || sim_logged (sim, "laid out anew");
}

/* A job of more records than a transaction takes changes, or of fewer. The leaders of both versions
   believe in the smaller limits from now on; the one that re-chunks the job ends after so many of
   its writes, and one of the other version goes on. Returns whether it ended in the midst of it. */
static bool
rechunk_across (const Change *change, guint value_bytes, bool many, guint writes)
{
  Sim *sim = sim_new (7);
  sim_limit (sim, value_bytes, TXN_OPS);
  sim->world->capacity = 6;
  MhJobSpec *spec = sim_spec (1, MH_SHAPE_ARRAY, CHUNKED_TASKS, 0.04);
  spec->mem_gb = 0.1;
  spec->estimated_run_us = 600 * MH_SECOND_US;
  SimUser *job = sim_submit (sim, spec, 45);
  WAIT (sim, 60, all_run, job);
  if (many)
    g_assert_cmpuint (count_records (sim), >, TXN_OPS);
  else
    g_assert_cmpuint (count_records (sim), <=, TXN_OPS);

  guint records = count_records (sim);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->value_bytes = SMALL_VALUE_BYTES;
      sim->nodes[i].version = i == 0 ? change->from : change->to;
    }
  sim->nodes[0].hold_writes = true;
  sim_start_node (sim, 0);
  /* The first one makes it the leader. */
  WAIT (sim, 10, write_held, NULL);
  sim_release_write (sim, true);
  for (guint i = 0; i < writes && sim_until (sim, 2, write_held, NULL); i++)
    sim_release_write (sim, true);
  sim_run (sim, 0.05);
  sim_stop_node (sim, 0);
  sim->nodes[0].hold_writes = false;
  g_ptr_array_set_size (sim->held_writes, 0);
  bool midway = count_records (sim) > records && !rechunked (sim, NULL);
  for (guint i = 1; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  WAIT (sim, 30, rechunked, NULL);
  sim->nodes[0].version = change->to;
  sim_start_node (sim, 0);

  WAIT (sim, 120, told_done, job);
  g_assert_cmpuint (sim->world->starts, ==, CHUNKED_TASKS);
  finish (sim);
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
