/* Placement: the rule of KEP-895, quotas and guarantees, preemption, images, renting. On a fake
   clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* Silence frees no quota: what an unreachable machine may still run counts. */
static void
test_quota_unreachable (void)
{
  Simulation *simulation = simulation_new (10);
  User *u = running_service (simulation, 1, 4);
  Machine *m = worker_of (simulation, "j-000001/0")->machine;
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 40 * MH_SECOND_US; /* no release, no proof */
  m->hung_until_us = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 16, 1), 200);
  simulation_run (simulation, 100);
  user_cancel (u);
  simulation_run (simulation, 60);
  finish (simulation);
}

/* The zones of a service of several tasks stay within MaxSkew of one another. */
static void
test_spread (void)
{
  Simulation *simulation = simulation_new (19);
  for (guint i = 0; i < 2; i++)
    cloud_add_machine (simulation->cloud, "large", i ? "b" : "a", false);
  simulation_run (simulation, 15);
  running_service (simulation, 1, 7);
  guint in_a = 0, in_b = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *m = g_ptr_array_index (simulation->cloud->machines, i);
      *(strcmp (m->zone, "a") == 0 ? &in_a : &in_b) += m->tasks->len;
    }
  g_assert_cmpuint (MAX (in_a, in_b) - MIN (in_a, in_b), ==, 1);
  finish (simulation);
}

/* A team gets its guarantee back from one that borrows. */
static void
test_guarantee (void)
{
  Simulation *simulation = simulation_new (20);
  simulation->cloud->capacity = 1;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  User *borrows = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 16, 1), 60);
  WAIT (simulation, 30, all_run, borrows);
  User *u = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (simulation, 6, all_run, u);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 8);
  finish (simulation);
}

/* Urgent work beyond its guarantee and normal work within one must not stop each other in turn. */
static void
test_no_preemption_cycle (void)
{
  Simulation *simulation = simulation_new (21);
  simulation->cloud->capacity = 1;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  for (guint i = 0; i < 5; i++)
    {
      MhJobSpec *s = job_spec_new (1 + 2 * i, MH_SHAPE_SERVICE, 3, 1);
      simulation_submit (simulation, s, 0);
    }
  simulation_run (simulation, 20);
  simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 4), 30);
  simulation_run (simulation, 60);
  guint stops = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    stops += strstr (g_ptr_array_index (simulation->log_lines, i), "to make room") != NULL;
  g_assert_cmpuint (stops, <=, 15);
  finish (simulation);
}

static void
count_by_zone (Simulation *simulation, const char *job, guint *counts, guint n)
{
  memset (counts, 0, n * sizeof *counts);
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    {
      const Machine *m = g_ptr_array_index (simulation->cloud->machines, i);
      for (guint k = 0; k < m->tasks->len; k++)
        {
          const MachineTask *t = &g_array_index (m->tasks, MachineTask, k);
          guint zone = (guint)(m->zone[0] - 'a');
          if (zone < n && t->phase != MH_TASK_PHASE_ENDED && strcmp (t->job_id, job) == 0)
            counts[zone]++;
        }
    }
}

/* Four zones. While one is full it still enters the minimum, and the fourth replica waits for it;
   when it has no live machine any more it does not count, and the replica goes elsewhere. */
static void
test_spread_four_zones (void)
{
  Simulation *simulation = simulation_new (36);
  guint counts[4];
  simulation->cloud->zones = 4;
  simulation->cloud->capacity = 4;
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
      User *f = simulation_submit (simulation, filler, 0);
      WAIT (simulation, 30, all_run, f);
    }
  User *u = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 4, 1), 0);
  simulation_run (simulation, 20);
  count_by_zone (simulation, "j-000002", counts, 4);
  for (guint i = 0; i < 4; i++)
    g_assert_cmpuint (counts[i], ==, i < 3 ? 1 : 0);
  last->hung_until_us = simulation->clock->now_us + 1000 * MH_SECOND_US;
  WAIT (simulation, 60, is_gone, last);
  simulation->cloud->capacity = 3; /* no other in its place */
  WAIT (simulation, 30, all_run, u);
  finish (simulation);
}

/* Replicas with different images do not crowd onto the first machine that is up, where their
   fetches would share its rate, while others are about to be; and a task that was passed over so is
   not forgotten. */
static void
test_images_apart (void)
{
  Simulation *simulation = simulation_new (37);
  User *u[4];
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation->cloud->boot_us = 7 * MH_SECOND_US;
  for (guint i = 0; i < 3; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 6); /* the cloud lists them */
  for (guint i = 0; i < 4; i++)
    {
      MhJobSpec *s = job_spec_new (1 + i, MH_SHAPE_SERVICE, 1, 2);
      g_free (s->image);
      s->image = g_strdup_printf ("own-%u", i);
      s->image_gb = 10;
      u[i] = simulation_submit (simulation, s, 0);
    }
  for (guint i = 8; i < 10; i++)
    {
      MhJobSpec *lesser = job_spec_new (i, MH_SHAPE_ARRAY, 7, 1);
      lesser->priority = MH_PRIORITY_LOW;
      lesser->estimated_run_us = 300 * MH_SECOND_US;
      simulation_submit (simulation, lesser, 300);
    }
  for (guint i = 0; i < 4; i++)
    WAIT (simulation, 60, all_run, u[i]);
  /* Nor is anything stopped for them on the machine that is full by now. */
  g_assert_false (simulation_logged (simulation, "to make room"));
  guint used = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    used += ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->tasks->len > 0;
  g_assert_cmpuint (used, ==, 4);
  finish (simulation);
}

/* A replica for which a task is stopped, where its image is, starts there and nowhere else. */
static void
test_room_is_made_once (void)
{
  Simulation *simulation = simulation_new (43);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      MhObjective *o = g_new0 (MhObjective, 1);
      *o = (MhObjective){ .kind = MH_OBJECTIVE_WAIT,
                          .class_name = g_strdup ("live"),
                          .within_us = 3 * MH_SECOND_US };
      g_ptr_array_add (simulation->nodes[i].settings->objectives, o);
    }
  cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation_run (simulation, 8);
  User *first = running_service (simulation, 3, 1); /* its image is there now */
  MhJobSpec *lesser = job_spec_new (4, MH_SHAPE_ARRAY, 3, 1);
  lesser->priority = MH_PRIORITY_LOW;
  User *array = simulation_submit (simulation, lesser, 200);
  WAIT (simulation, 30, all_run, array);
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 8);
  MhJobSpec *s = job_spec_new (5, MH_SHAPE_SERVICE, 1, 1);
  g_free (s->image);
  s->image = g_strdup (first->job->spec->image);
  s->image_gb = 20;
  simulation->network->hold_commands = true; /* the stop goes with the next report */
  User *u = simulation_submit (simulation, s, 0);
  for (guint i = 0; i < 20; i++)
    {
      /* Others, with another image, keep the passes coming. */
      simulation_submit (simulation, job_spec_new (20 + 6 * i, MH_SHAPE_ARRAY, 1, 0.1), 0.1);
      simulation_run (simulation, 0.06);
    }
  WAIT (simulation, 12, all_run, u);
  g_assert_true (worker_of (simulation, "j-000005/0") == worker_of (simulation, "j-000003/0"));
  guint stops = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    stops += strstr (g_ptr_array_index (simulation->log_lines, i), "to make room") != NULL;
  g_assert_cmpuint (stops, ==, 1);
  finish (simulation);
}

static bool
gives_back_silent (Simulation *simulation, gpointer data)
{
  (void)data;
  return simulation_logged (simulation, "releasing machine reason=silent");
}

/* Half of the machines fail while there is always as much to do as nearly all can: room for what
   ran there is rented at once, though nothing that waits could still be in time. */
static void
test_lost_room_is_rented (void)
{
  Simulation *simulation = simulation_new (46);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    for (guint k = 0; k < 2; k++)
      ((MhTeam *)g_ptr_array_index (simulation->nodes[i].settings->teams, k))->cpus_max = 200;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation->cloud->capacity = 4;
  simulation_run (simulation, 10);
  guint number = 0;
  for (guint turn = 0; turn < 40 && !gives_back_silent (simulation, NULL); turn++)
    {
      for (guint i = 0; i < 2; i++)
        {
          MhJobSpec *s = job_spec_new (++number, MH_SHAPE_ARRAY, 3, 1);
          s->image_gb = 0.01;
          s->estimated_run_us = 2 * MH_SECOND_US;
          s->deadline_us = MH_SECOND_US / 2;
          simulation_submit (simulation, s, 2);
        }
      if (turn == 12)
        {
          simulation->cloud->capacity = 20;
          for (guint i = 0; i < 2; i++)
            ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->hung_until_us
                = simulation->clock->now_us + 300 * MH_SECOND_US;
        }
      simulation_until (simulation, 1, gives_back_silent, NULL);
    }
  g_assert_true (gives_back_silent (simulation, NULL));
  guint64 rented = simulation->cloud->machines_rented;
  simulation_run (simulation, 1.5);
  g_assert_cmpuint (simulation->cloud->machines_rented, >, rented);
  finish (simulation);
}

/* A job that is still being written down rents nothing beside free room: it will be placed there.
 */
static void
test_no_rental_while_being_written (void)
{
  Simulation *simulation = simulation_new (81);
  running_service (simulation, 1, 1);
  simulation_run (simulation, 5);
  guint64 rented = simulation->cloud->machines_rented;
  ControllerNode *leader = simulation_leader (simulation);
  leader->hold_writes = true;
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 4, 1), 2);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines_rented, ==, rented);
  while (simulation->network->held_writes->len)
    outgoing_calls_release_write (simulation, true);
  leader->hold_writes = false;
  WAIT (simulation, 60, told_done, user);
  g_assert_cmpuint (simulation->cloud->machines_rented, ==, rented);
  finish (simulation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/placement/" name, (func))
  ADD ("quota-unreachable", test_quota_unreachable);
  ADD ("spread", test_spread);
  ADD ("spread-four-zones", test_spread_four_zones);
  ADD ("guarantee", test_guarantee);
  ADD ("no-preemption-cycle", test_no_preemption_cycle);
  ADD ("images-apart", test_images_apart);
  ADD ("room-is-made-once", test_room_is_made_once);
  ADD ("lost-room-is-rented", test_lost_room_is_rented);
  g_test_add_func ("/placement/no-rental-while-being-written", test_no_rental_while_being_written);
  return g_test_run ();
}
