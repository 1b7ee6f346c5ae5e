#include "steps.h"

#include <string.h>

bool
told_done (Sim *sim, gpointer data)
{
  (void)sim;
  return ((SimUser *)data)->told_done;
}

bool
told_cancelled (Sim *sim, gpointer data)
{
  (void)sim;
  return ((SimUser *)data)->told_cancelled;
}

bool
all_run (Sim *sim, gpointer data)
{
  const SimUser *u = data;
  return world_running (sim->world, u->job->spec->id) == u->job->spec->tasks;
}

bool
all_done (Sim *sim, gpointer data)
{
  const SimUser *u = data;
  (void)sim;
  return u->job->n_done == u->job->spec->tasks;
}

bool
accepted (Sim *sim, gpointer data)
{
  (void)sim;
  return ((SimUser *)data)->job->accepted;
}

bool
has_leader (Sim *sim, gpointer data)
{
  (void)data;
  return sim_leader (sim) != NULL;
}

bool
is_gone (Sim *sim, gpointer data)
{
  (void)sim;
  return ((WorldMachine *)data)->gone;
}

SimWorker *
sim_worker (Sim *sim, guint index)
{
  return g_ptr_array_index (sim->workers, index);
}

SimWorker *
worker_of (Sim *sim, const char *leg)
{
  for (guint i = 0; i < sim->workers->len; i++)
    {
      SimWorker *w = g_ptr_array_index (sim->workers, i);
      for (guint k = 0; k < w->machine->tasks->len; k++)
        if (strcmp (g_array_index (w->machine->tasks, WorldTask, k).leg, leg) == 0)
          return w;
    }
  return NULL;
}

void
add_small_machines (Sim *sim, guint count)
{
  for (guint i = 0; i < count; i++)
    world_add_machine (sim->world, "small", "a", false);
}

SimUser *
running_service (Sim *sim, guint number, guint tasks)
{
  SimUser *u = sim_submit (sim, sim_spec (number, MH_SHAPE_SERVICE, tasks, 1), 0);
  WAIT (sim, 60, all_run, u);
  return u;
}

SimUser *
running_array (Sim *sim, guint number, guint tasks, double run_s)
{
  MhJobSpec *s = sim_spec (number, MH_SHAPE_ARRAY, tasks, 1);
  s->estimated_run_us = 300 * MH_SECOND_US;
  SimUser *u = sim_submit (sim, s, run_s);
  WAIT (sim, 60, all_run, u);
  return u;
}

void
wait_all (Sim *sim, double seconds)
{
  for (guint second = 0; second < seconds && !sim_all_settled (sim, NULL); second++)
    {
      sim_run (sim, 1);
      world_check_waiting (sim->world);
    }
  g_assert_true (sim_all_settled (sim, NULL));
}

void
finish (Sim *sim)
{
  sim_assert_rules (sim);
  sim_free (sim);
}
