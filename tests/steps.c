#include "steps.h"

#include <string.h>

bool
is_reported_done (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->reported_done;
}

bool
is_reported_cancelled (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->reported_cancelled;
}

bool
all_tasks_running (Simulation *simulation, gpointer data)
{
  const User *user = data;
  return simulation_running_tasks (simulation, user->job->spec->id) == user->job->spec->tasks;
}

bool
all_tasks_done (Simulation *simulation, gpointer data)
{
  const User *user = data;
  (void)simulation;
  return user->job->done_count == user->job->spec->tasks;
}

bool
is_accepted (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->job->accepted;
}

bool
has_leader (Simulation *simulation, gpointer data)
{
  (void)data;
  return simulation_leader (simulation) != NULL;
}

bool
is_removed (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((Machine *)data)->removed;
}

Worker *
worker_by_index (Simulation *simulation, guint index)
{
  return g_ptr_array_index (simulation->workers, index);
}

Worker *
worker_with_task (Simulation *simulation, const char *task_id)
{
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      for (guint k = 0; k < worker->machine->tasks->len; k++)
        if (strcmp (g_array_index (worker->machine->tasks, MachineTask, k).task_id, task_id) == 0)
          return worker;
    }
  return NULL;
}

void
add_small_machines (Simulation *simulation, guint count)
{
  for (guint i = 0; i < count; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
}

User *
start_service (Simulation *simulation, guint number, guint tasks)
{
  User *user = simulation_submit (simulation, job_spec_new (number, MH_SHAPE_SERVICE, tasks, 1), 0);
  WAIT (simulation, 60, all_tasks_running, user);
  return user;
}

User *
start_array (Simulation *simulation, guint number, guint tasks, double run_s)
{
  MhJobSpec *spec = job_spec_new (number, MH_SHAPE_ARRAY, tasks, 1);
  spec->estimated_run_us = 300 * MH_SECOND_US;
  User *user = simulation_submit (simulation, spec, run_s);
  WAIT (simulation, 60, all_tasks_running, user);
  return user;
}

void
require_small_machines (MhJobSpec *spec)
{
  spec->types = g_strsplit ("small", ",", -1);
}

MhJobSpec *
gang_spec_new (guint number, guint tasks, double cpus)
{
  MhJobSpec *spec = job_spec_new (number, MH_SHAPE_GANG, tasks, cpus);
  spec->spot = false;
  spec->single_zone = true;
  spec->estimated_run_us = 20 * MH_SECOND_US;
  spec->checkpoint_interval_us = 5 * MH_SECOND_US;
  spec->checkpoint_save_us = 2 * MH_SECOND_US;
  return spec;
}

bool
is_gang_running (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->job->running_attempt != 0;
}

User *
start_gang (Simulation *simulation, guint number, guint tasks, double cpus, double run_s)
{
  User *user = simulation_submit (simulation, gang_spec_new (number, tasks, cpus), run_s);
  WAIT (simulation, 60, is_gang_running, user);
  return user;
}

User *
submit_gang_on_small_machines (Simulation *simulation, guint machines, double run_s)
{
  simulation->cloud->max_machines = 0;
  add_small_machines (simulation, machines);
  MhJobSpec *spec = gang_spec_new (1, 4, 2);
  require_small_machines (spec);
  return simulation_submit (simulation, spec, run_s);
}

void
wait_until_all_settled (Simulation *simulation, double seconds)
{
  for (guint second = 0; second < seconds && !simulation_all_settled (simulation, NULL); second++)
    {
      simulation_run (simulation, 1);
      rule_checks_waiting_jobs (simulation->rules);
    }
  g_assert_true (simulation_all_settled (simulation, NULL));
}

void
simulation_check_and_free (Simulation *simulation)
{
  simulation_assert_rules (simulation);
  simulation_free (simulation);
}

/* The data of a GTest case. */
typedef struct
{
  guint32 seed;
  SimulationTest test;
} SimulationCase;

static void
run_simulation_case (gconstpointer data)
{
  const SimulationCase *self = data;
  Simulation *simulation = simulation_new (self->seed);
  self->test (simulation);
  simulation_check_and_free (simulation);
}

void
simulation_test_add (const char *path, guint32 seed, SimulationTest test)
{
  SimulationCase *self = g_new (SimulationCase, 1);
  *self = (SimulationCase){ .seed = seed, .test = test };
  g_test_add_data_func_full (path, self, run_simulation_case, g_free);
}
