#include "steps.h"

#include <string.h>

bool
told_done (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->told_done;
}

bool
told_cancelled (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->told_cancelled;
}

bool
all_run (Simulation *simulation, gpointer data)
{
  const User *u = data;
  return simulation_running_tasks (simulation, u->job->spec->id) == u->job->spec->tasks;
}

bool
all_done (Simulation *simulation, gpointer data)
{
  const User *u = data;
  (void)simulation;
  return u->job->done_count == u->job->spec->tasks;
}

bool
accepted (Simulation *simulation, gpointer data)
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
is_gone (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((Machine *)data)->gone;
}

Worker *
simulation_worker (Simulation *simulation, guint index)
{
  return g_ptr_array_index (simulation->workers, index);
}

Worker *
worker_of (Simulation *simulation, const char *leg)
{
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *w = g_ptr_array_index (simulation->workers, i);
      for (guint k = 0; k < w->machine->tasks->len; k++)
        if (strcmp (g_array_index (w->machine->tasks, MachineTask, k).task_id, leg) == 0)
          return w;
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
running_service (Simulation *simulation, guint number, guint tasks)
{
  User *u = simulation_submit (simulation, job_spec_new (number, MH_SHAPE_SERVICE, tasks, 1), 0);
  WAIT (simulation, 60, all_run, u);
  return u;
}

User *
running_array (Simulation *simulation, guint number, guint tasks, double run_s)
{
  MhJobSpec *s = job_spec_new (number, MH_SHAPE_ARRAY, tasks, 1);
  s->estimated_run_us = 300 * MH_SECOND_US;
  User *u = simulation_submit (simulation, s, run_s);
  WAIT (simulation, 60, all_run, u);
  return u;
}

void
wait_all (Simulation *simulation, double seconds)
{
  for (guint second = 0; second < seconds && !simulation_all_settled (simulation, NULL); second++)
    {
      simulation_run (simulation, 1);
      rule_checks_waiting_jobs (simulation->rules);
    }
  g_assert_true (simulation_all_settled (simulation, NULL));
}

void
finish (Simulation *simulation)
{
  simulation_assert_rules (simulation);
  simulation_free (simulation);
}

void
simulation_fixture_set_up (SimulationFixture *fixture, gconstpointer seed)
{
  fixture->simulation = simulation_new (GPOINTER_TO_UINT (seed));
}

void
simulation_fixture_tear_down (SimulationFixture *fixture, gconstpointer seed)
{
  (void)seed;
  finish (fixture->simulation);
}
