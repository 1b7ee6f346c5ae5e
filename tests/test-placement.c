/* Placement: the rule of KEP-895, quotas and guarantees, preemption, images, renting. On a fake
   clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* What an unreachable machine may still run counts: quota that silence freed would be used twice.
 */
static void
test_quota_unreachable (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 40 * MH_SECOND_US; /* no release, no proof */
  machine->hung_until_us = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 16, 1), 200);
  simulation_run (simulation, 100);
  user_cancel (user);
  simulation_run (simulation, 60);
}

/* The tasks of a service that were not spread over zones, within MaxSkew, would fall with one of
   them. */
static void
test_spread (Simulation *simulation)
{
  for (guint i = 0; i < 2; i++)
    cloud_add_machine (simulation->cloud, "large", i ? "b" : "a", false);
  simulation_run (simulation, 15);
  start_service (simulation, 1, 7);
  guint in_a = 0, in_b = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      *(strcmp (machine->zone, "a") == 0 ? &in_a : &in_b) += machine->tasks->len;
    }
  g_assert_cmpuint (MAX (in_a, in_b) - MIN (in_a, in_b), ==, 1);
}

/* A team that another has borrowed from would wait for its guarantee until that one's work ends by
   itself. */
static void
test_guarantee (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  User *borrows = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 16, 1), 60);
  WAIT (simulation, 30, all_tasks_running, borrows);
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (simulation, 6, all_tasks_running, user);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 8);
}

/* Urgent work beyond its guarantee and normal work within one would stop each other in turn, for
   ever. */
static void
test_no_preemption_cycle (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  for (guint i = 0; i < 5; i++)
    {
      MhJobSpec *spec = job_spec_new (1 + 2 * i, MH_SHAPE_SERVICE, 3, 1);
      simulation_submit (simulation, spec, 0);
    }
  simulation_run (simulation, 20);
  simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 4), 30);
  simulation_run (simulation, 60);
  guint stops = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    stops += strstr (g_ptr_array_index (simulation->log_lines, i), "task preempted") != NULL;
  g_assert_cmpuint (stops, <=, 15);
}

static void
count_by_zone (Simulation *simulation, const char *job, guint *counts, guint zones)
{
  memset (counts, 0, zones * sizeof *counts);
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
      for (guint k = 0; k < machine->tasks->len; k++)
        {
          const MachineTask *task = &g_array_index (machine->tasks, MachineTask, k);
          guint zone = (guint)(machine->zone[0] - 'a');
          if (zone < zones && task->phase != MH_TASK_PHASE_ENDED && strcmp (task->job_id, job) == 0)
            counts[zone]++;
        }
    }
}

/* Four zones. Were a full one left out of the minimum, the fourth replica would be placed unevenly;
   were one without live machines counted, it would wait for ever. */
static void
test_spread_four_zones (Simulation *simulation)
{
  guint counts[4];
  simulation->cloud->zone_count = 4;
  simulation->cloud->max_machines = 4;
  Machine *last = NULL;
  for (guint i = 0; i < 4; i++)
    {
      const char zone[] = { (char)('a' + i), '\0' };
      last = cloud_add_machine (simulation->cloud, "large", zone, false);
    }
  simulation_run (simulation, 10);
  for (guint i = 1; i <= 4; i += 3)
    {
      MhJobSpec *filler = job_spec_new (i, MH_SHAPE_SERVICE, 1, 8);
      filler->zone = g_strdup ("d");
      User *filled = simulation_submit (simulation, filler, 0);
      WAIT (simulation, 30, all_tasks_running, filled);
    }
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 4, 1), 0);
  simulation_run (simulation, 20);
  count_by_zone (simulation, "j-000002", counts, 4);
  for (guint i = 0; i < 4; i++)
    g_assert_cmpuint (counts[i], ==, i < 3 ? 1 : 0);
  last->hung_until_us = simulation->clock->now_us + 1000 * MH_SECOND_US;
  WAIT (simulation, 60, is_removed, last);
  simulation->cloud->max_machines = 3; /* no other in its place */
  WAIT (simulation, 30, all_tasks_running, user);
}

/* Replicas with different images would crowd onto the first machine that is up, where their fetches
   share its rate, while others are about to be; and a task that was passed over so would be
   forgotten. */
static void
test_images_apart (Simulation *simulation)
{
  User *users[4];
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation->cloud->boot_us = 7 * MH_SECOND_US;
  for (guint i = 0; i < 3; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 6); /* the cloud lists them */
  for (guint i = 0; i < 4; i++)
    {
      MhJobSpec *spec = job_spec_new (1 + i, MH_SHAPE_SERVICE, 1, 2);
      g_free (spec->image);
      spec->image = g_strdup_printf ("own-%u", i);
      spec->image_gb = 10;
      users[i] = simulation_submit (simulation, spec, 0);
    }
  for (guint i = 8; i < 10; i++)
    {
      MhJobSpec *lesser = job_spec_new (i, MH_SHAPE_ARRAY, 7, 1);
      lesser->priority = MH_PRIORITY_LOW;
      lesser->estimated_run_us = 300 * MH_SECOND_US;
      simulation_submit (simulation, lesser, 300);
    }
  for (guint i = 0; i < 4; i++)
    WAIT (simulation, 60, all_tasks_running, users[i]);
  /* Nor is anything stopped for them on the machine that is full by now. */
  g_assert_false (simulation_has_logged (simulation, "task preempted"));
  guint used = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    used += ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->tasks->len > 0;
  g_assert_cmpuint (used, ==, 4);
}

/* A replica for which a task is stopped, where its image is, would start elsewhere meanwhile, and
   the task would have been stopped for nothing. */
static void
test_room_is_made_once (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      MhObjective *objective = g_new0 (MhObjective, 1);
      *objective = (MhObjective){ .kind = MH_OBJECTIVE_WAIT,
                                  .class_name = g_strdup ("live"),
                                  .within_us = 3 * MH_SECOND_US };
      g_ptr_array_add (simulation->nodes[i].settings->objectives, objective);
    }
  cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 8);
  User *first = start_service (simulation, 3, 1); /* its image is there now */
  MhJobSpec *lesser = job_spec_new (4, MH_SHAPE_ARRAY, 3, 1);
  lesser->priority = MH_PRIORITY_LOW;
  User *array = simulation_submit (simulation, lesser, 200);
  WAIT (simulation, 30, all_tasks_running, array);
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 8);
  MhJobSpec *spec = job_spec_new (5, MH_SHAPE_SERVICE, 1, 1);
  g_free (spec->image);
  spec->image = g_strdup (first->job->spec->image);
  spec->image_gb = 20;
  simulation->network->hold_commands = true; /* the stop goes with the next report */
  User *user = simulation_submit (simulation, spec, 0);
  for (guint i = 0; i < 20; i++)
    {
      /* Others, with another image, keep the passes coming. */
      simulation_submit (simulation, job_spec_new (20 + 6 * i, MH_SHAPE_ARRAY, 1, 0.1), 0.1);
      simulation_run (simulation, 0.06);
    }
  WAIT (simulation, 12, all_tasks_running, user);
  g_assert_true (worker_with_task (simulation, "j-000005/0")
                 == worker_with_task (simulation, "j-000003/0"));
  guint stops = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    stops += strstr (g_ptr_array_index (simulation->log_lines, i), "task preempted") != NULL;
  g_assert_cmpuint (stops, ==, 1);
}

static bool
gives_back_silent (Simulation *simulation, gpointer data)
{
  (void)data;
  return simulation_has_logged (simulation, "releasing machine reason=silent");
}

/* Half of the machines fail while there is always as much to do as nearly all can. Room for what
   ran there would be rented too late, since nothing that waits could still be in time. */
static void
test_lost_room_is_rented (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    for (guint k = 0; k < 2; k++)
      ((MhTeam *)g_ptr_array_index (simulation->nodes[i].settings->teams, k))->cpus_max = 200;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation->cloud->max_machines = 4;
  simulation_run (simulation, 10);
  guint number = 0;
  for (guint turn = 0; turn < 40 && !gives_back_silent (simulation, NULL); turn++)
    {
      for (guint i = 0; i < 2; i++)
        {
          MhJobSpec *spec = job_spec_new (++number, MH_SHAPE_ARRAY, 3, 1);
          spec->image_gb = 0.01;
          spec->estimated_run_us = 2 * MH_SECOND_US;
          spec->deadline_us = MH_SECOND_US / 2;
          simulation_submit (simulation, spec, 2);
        }
      if (turn == 12)
        {
          simulation->cloud->max_machines = 20;
          for (guint i = 0; i < 2; i++)
            ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->hung_until_us
                = simulation->clock->now_us + 300 * MH_SECOND_US;
        }
      simulation_run_until (simulation, 1, gives_back_silent, NULL);
    }
  g_assert_true (gives_back_silent (simulation, NULL));
  guint64 rented = simulation->cloud->machines_created;
  simulation_run (simulation, 1.5);
  g_assert_cmpuint (simulation->cloud->machines_created, >, rented);
}

/* A job that is still being written down would rent machines beside free room, where it will be
   placed. */
static void
test_no_rental_while_being_written (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation_run (simulation, 5);
  guint64 rented = simulation->cloud->machines_created;
  ControllerNode *leader = simulation_leader (simulation);
  leader->hold_writes = true;
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 4, 1), 2);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, rented);
  while (simulation->network->held_writes->len)
    outgoing_calls_release_write (simulation, true);
  leader->hold_writes = false;
  WAIT (simulation, 60, is_reported_done, user);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, rented);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/placement/quota-unreachable", 10, test_quota_unreachable);
  simulation_test_add ("/placement/spread", 19, test_spread);
  simulation_test_add ("/placement/spread-four-zones", 36, test_spread_four_zones);
  simulation_test_add ("/placement/guarantee", 20, test_guarantee);
  simulation_test_add ("/placement/no-preemption-cycle", 21, test_no_preemption_cycle);
  simulation_test_add ("/placement/images-apart", 37, test_images_apart);
  simulation_test_add ("/placement/room-is-made-once", 43, test_room_is_made_once);
  simulation_test_add ("/placement/lost-room-is-rented", 46, test_lost_room_is_rented);
  simulation_test_add ("/placement/no-rental-while-being-written", 81,
                       test_no_rental_while_being_written);
  return g_test_run ();
}
