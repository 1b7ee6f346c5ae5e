/* Placement: the rule of KEP-895, quotas and guarantees, preemption, images, renting. On a fake
   clock, with scripted peers. */
#include "steps.h"

#include <string.h>

/* Silence frees no quota: what an unreachable machine may still run counts. */
static void
test_quota_unreachable (void)
{
  Sim *sim = sim_new (10);
  SimUser *u = running_service (sim, 1, 4);
  WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 4);
  sim->world->cloud_outage_until_us = sim->now_us + 40 * MH_SECOND_US; /* no release, no proof */
  m->hung_until_us = sim->now_us + 200 * MH_SECOND_US;
  sim_submit (sim, sim_spec (3, MH_SHAPE_ARRAY, 16, 1), 200);
  sim_run (sim, 100);
  sim_cancel (u);
  sim_run (sim, 60);
  finish (sim);
}

/* The zones of a service of several tasks stay within MaxSkew of one another. */
static void
test_spread (void)
{
  Sim *sim = sim_new (19);
  for (guint i = 0; i < 2; i++)
    world_add_machine (sim->world, "large", i ? "b" : "a", false);
  sim_run (sim, 15);
  running_service (sim, 1, 7);
  guint in_a = 0, in_b = 0;
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (sim->world->machines, i);
      *(strcmp (m->zone, "a") == 0 ? &in_a : &in_b) += m->tasks->len;
    }
  g_assert_cmpuint (MAX (in_a, in_b) - MIN (in_a, in_b), ==, 1);
  finish (sim);
}

/* A team gets its guarantee back from one that borrows. */
static void
test_guarantee (void)
{
  Sim *sim = sim_new (20);
  sim->world->capacity = 1;
  world_add_machine (sim->world, "large", "a", false);
  SimUser *borrows = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 16, 1), 60);
  WAIT (sim, 30, all_run, borrows);
  SimUser *u = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (sim, 6, all_run, u);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 8);
  finish (sim);
}

/* Urgent work beyond its guarantee and normal work within one must not stop each other in turn. */
static void
test_no_preemption_cycle (void)
{
  Sim *sim = sim_new (21);
  sim->world->capacity = 1;
  world_add_machine (sim->world, "large", "a", false);
  for (guint i = 0; i < 5; i++)
    {
      MhJobSpec *s = sim_spec (1 + 2 * i, MH_SHAPE_SERVICE, 3, 1);
      sim_submit (sim, s, 0);
    }
  sim_run (sim, 20);
  sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 2, 4), 30);
  sim_run (sim, 60);
  guint stops = 0;
  for (guint i = 0; i < sim->log->len; i++)
    stops += strstr (g_ptr_array_index (sim->log, i), "to make room") != NULL;
  g_assert_cmpuint (stops, <=, 15);
  finish (sim);
}

static void
count_by_zone (Sim *sim, const char *job, guint *counts, guint n)
{
  memset (counts, 0, n * sizeof *counts);
  for (guint i = 0; i < sim->world->machines->len; i++)
    {
      const WorldMachine *m = g_ptr_array_index (sim->world->machines, i);
      for (guint k = 0; k < m->tasks->len; k++)
        {
          const WorldTask *t = &g_array_index (m->tasks, WorldTask, k);
          guint zone = (guint)(m->zone[0] - 'a');
          if (zone < n && t->phase != MH_TASK_PHASE_ENDED && strcmp (t->job, job) == 0)
            counts[zone]++;
        }
    }
}

/* Four zones. While one is full it still enters the minimum, and the fourth replica waits for it;
   when it has no live machine any more it does not count, and the replica goes elsewhere. */
static void
test_spread_four_zones (void)
{
  Sim *sim = sim_new (36);
  guint counts[4];
  sim->world->zones = 4;
  sim->world->capacity = 4;
  WorldMachine *last = NULL;
  for (guint i = 0; i < 4; i++)
    {
      const char zone[] = { (char)('a' + i), '\0' };
      last = world_add_machine (sim->world, "large", zone, false);
    }
  sim_run (sim, 10);
  for (guint i = 1; i <= 4; i += 3)
    {
      MhJobSpec *filler = sim_spec (i, MH_SHAPE_SERVICE, 1, 8);
      filler->zone = g_strdup ("d");
      SimUser *f = sim_submit (sim, filler, 0);
      WAIT (sim, 30, all_run, f);
    }
  SimUser *u = sim_submit (sim, sim_spec (2, MH_SHAPE_SERVICE, 4, 1), 0);
  sim_run (sim, 20);
  count_by_zone (sim, "j-000002", counts, 4);
  for (guint i = 0; i < 4; i++)
    g_assert_cmpuint (counts[i], ==, i < 3 ? 1 : 0);
  last->hung_until_us = sim->now_us + 1000 * MH_SECOND_US;
  WAIT (sim, 60, is_gone, last);
  sim->world->capacity = 3; /* no other in its place */
  WAIT (sim, 30, all_run, u);
  finish (sim);
}

/* Replicas with different images do not crowd onto the first machine that is up, where their
   fetches would share its rate, while others are about to be; and a task that was passed over so is
   not forgotten. */
static void
test_images_apart (void)
{
  Sim *sim = sim_new (37);
  SimUser *u[4];
  world_add_machine (sim->world, "large", "a", false);
  sim->world->boot_us = 7 * MH_SECOND_US;
  for (guint i = 0; i < 3; i++)
    world_add_machine (sim->world, "large", "a", false);
  sim_run (sim, 6); /* the cloud lists them */
  for (guint i = 0; i < 4; i++)
    {
      MhJobSpec *s = sim_spec (1 + i, MH_SHAPE_SERVICE, 1, 2);
      g_free (s->image);
      s->image = g_strdup_printf ("own-%u", i);
      s->image_gb = 10;
      u[i] = sim_submit (sim, s, 0);
    }
  for (guint i = 8; i < 10; i++)
    {
      MhJobSpec *lesser = sim_spec (i, MH_SHAPE_ARRAY, 7, 1);
      lesser->priority = MH_PRIORITY_LOW;
      lesser->estimated_run_us = 300 * MH_SECOND_US;
      sim_submit (sim, lesser, 300);
    }
  for (guint i = 0; i < 4; i++)
    WAIT (sim, 60, all_run, u[i]);
  /* Nor is anything stopped for them on the machine that is full by now. */
  g_assert_false (sim_logged (sim, "to make room"));
  guint used = 0;
  for (guint i = 0; i < sim->world->machines->len; i++)
    used += ((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->tasks->len > 0;
  g_assert_cmpuint (used, ==, 4);
  finish (sim);
}

/* A replica for which a task is stopped, where its image is, starts there and nowhere else. */
static void
test_room_is_made_once (void)
{
  Sim *sim = sim_new (43);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      MhObjective *o = g_new0 (MhObjective, 1);
      *o = (MhObjective){ .kind = MH_OBJECTIVE_WAIT,
                          .class_name = g_strdup ("live"),
                          .within_us = 3 * MH_SECOND_US };
      g_ptr_array_add (sim->nodes[i].settings->objectives, o);
    }
  world_add_machine (sim->world, "small", "a", false);
  sim_run (sim, 8);
  SimUser *first = running_service (sim, 3, 1); /* its image is there now */
  MhJobSpec *lesser = sim_spec (4, MH_SHAPE_ARRAY, 3, 1);
  lesser->priority = MH_PRIORITY_LOW;
  SimUser *array = sim_submit (sim, lesser, 200);
  WAIT (sim, 30, all_run, array);
  world_add_machine (sim->world, "large", "a", false);
  sim_run (sim, 8);
  MhJobSpec *s = sim_spec (5, MH_SHAPE_SERVICE, 1, 1);
  g_free (s->image);
  s->image = g_strdup (first->job->spec->image);
  s->image_gb = 20;
  sim->hold_commands = true; /* the stop goes with the next report */
  SimUser *u = sim_submit (sim, s, 0);
  for (guint i = 0; i < 20; i++)
    {
      /* Others, with another image, keep the passes coming. */
      sim_submit (sim, sim_spec (20 + 6 * i, MH_SHAPE_ARRAY, 1, 0.1), 0.1);
      sim_run (sim, 0.06);
    }
  WAIT (sim, 12, all_run, u);
  g_assert_true (worker_of (sim, "j-000005/0") == worker_of (sim, "j-000003/0"));
  guint stops = 0;
  for (guint i = 0; i < sim->log->len; i++)
    stops += strstr (g_ptr_array_index (sim->log, i), "to make room") != NULL;
  g_assert_cmpuint (stops, ==, 1);
  finish (sim);
}

static bool
gives_back_silent (Sim *sim, gpointer data)
{
  (void)data;
  return sim_logged (sim, "given back: silent");
}

/* Half of the machines fail while there is always as much to do as nearly all can: room for what
   ran there is rented at once, though nothing that waits could still be in time. */
static void
test_lost_room_is_rented (void)
{
  Sim *sim = sim_new (46);
  for (guint i = 0; i < SIM_NODES; i++)
    for (guint k = 0; k < 2; k++)
      ((MhTeam *)g_ptr_array_index (sim->nodes[i].settings->teams, k))->cpus_max = 200;
  for (guint i = 0; i < 4; i++)
    world_add_machine (sim->world, "small", "a", false);
  sim->world->capacity = 4;
  sim_run (sim, 10);
  guint number = 0;
  for (guint turn = 0; turn < 40 && !gives_back_silent (sim, NULL); turn++)
    {
      for (guint i = 0; i < 2; i++)
        {
          MhJobSpec *s = sim_spec (++number, MH_SHAPE_ARRAY, 3, 1);
          s->image_gb = 0.01;
          s->estimated_run_us = 2 * MH_SECOND_US;
          s->deadline_us = MH_SECOND_US / 2;
          sim_submit (sim, s, 2);
        }
      if (turn == 12)
        {
          sim->world->capacity = 20;
          for (guint i = 0; i < 2; i++)
            ((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->hung_until_us
                = sim->now_us + 300 * MH_SECOND_US;
        }
      sim_until (sim, 1, gives_back_silent, NULL);
    }
  g_assert_true (gives_back_silent (sim, NULL));
  guint64 rented = sim->world->n_rented;
  sim_run (sim, 1.5);
  g_assert_cmpuint (sim->world->n_rented, >, rented);
  finish (sim);
}

/* A job that is still being written down rents nothing beside free room: it will be placed there.
 */
static void
test_no_rental_while_being_written (void)
{
  Sim *sim = sim_new (81);
  running_service (sim, 1, 1);
  sim_run (sim, 5);
  guint64 rented = sim->world->n_rented;
  SimNode *leader = sim_leader (sim);
  leader->hold_writes = true;
  SimUser *user = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 4, 1), 2);
  sim_run (sim, 3);
  g_assert_cmpuint (sim->world->n_rented, ==, rented);
  while (sim->held_writes->len)
    sim_release_write (sim, true);
  leader->hold_writes = false;
  WAIT (sim, 60, told_done, user);
  g_assert_cmpuint (sim->world->n_rented, ==, rented);
  finish (sim);
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
