/* Gangs: all tasks at the same time or none, whatever fails, on a fake clock. */
#include "steps.h"

#include <string.h>

static MhJobSpec *
gang_spec (guint number, guint tasks, double cpus)
{
  MhJobSpec *s = sim_spec (number, MH_SHAPE_GANG, tasks, cpus);
  s->spot = false;
  s->single_zone = true;
  s->estimated_run_us = 20 * MH_SECOND_US;
  s->checkpoint_interval_us = 5 * MH_SECOND_US;
  s->checkpoint_save_us = 2 * MH_SECOND_US;
  return s;
}

static bool
runs (Sim *sim, gpointer data)
{
  (void)sim;
  return ((SimUser *)data)->job->running_attempt != 0;
}

static SimUser *
running_gang (Sim *sim, guint number, guint tasks, double cpus, double run_s)
{
  SimUser *u = sim_submit (sim, gang_spec (number, tasks, cpus), run_s);
  WAIT (sim, 60, runs, u);
  return u;
}

/* Places for all in one zone, one attempt number, and done together. */
static void
test_life (void)
{
  Sim *sim = sim_new (1);
  SimUser *u = running_gang (sim, 1, 6, 2, 10);
  const WorldMachine *first = worker_of (sim, "j-000001/0")->machine;
  for (guint i = 1; i < 6; i++)
    {
      g_autofree char *leg = g_strdup_printf ("j-000001/%u", i);
      const WorldMachine *m = worker_of (sim, leg)->machine;
      g_assert_cmpstr (m->zone, ==, first->zone);
      g_assert_cmpuint (g_array_index (m->tasks, WorldTask, 0).attempt, ==, 1);
    }
  WAIT (sim, 40, told_done, u);
  g_assert_cmpuint (sim->world->starts, ==, 6);
  finish (sim);
}

/* The gang is done, and one of its machines fails before it has told so: the others' word is
   enough, and nothing runs again. */
static void
test_done_together (void)
{
  Sim *sim = sim_new (13);
  add_small_machines (sim, 3);
  MhJobSpec *s = gang_spec (1, 6, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  SimUser *u = sim_submit (sim, s, 8);
  WAIT (sim, 60, runs, u);
  SimWorker *w = worker_of (sim, "j-000001/0");
  WorldMachine *m = w->machine;
  sim_run (sim, 5);
  w->reports_lost_us = sim->now_us + 30 * MH_SECOND_US;
  WAIT (sim, 30, all_done, u);
  world_fail (m);
  WAIT (sim, 20, told_done, u);
  g_assert_cmpuint (sim->world->starts, ==, 6);
  finish (sim);
}

static void
test_refusals (void)
{
  Sim *sim = sim_new (2);
  MhUserAnswer a;
  sim_run (sim, 5);
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000001", gang_spec (1, 17, 1), &a), ==,
                    422); /* of 16 */
  MhJobSpec *s = gang_spec (2, 2, 1);
  s->spread_over_zones = true; /* and in one zone */
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000002", s, &a), ==, 422);
  s = gang_spec (3, 4, 1);
  s->single_zone = false;
  s->spread_over_zones = true;
  s->zone = g_strdup ("a");
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000003", s, &a), ==, 422);
  s = gang_spec (4, 1, 1);
  s->mem_gb = 100;
  g_assert_cmpuint (sim_ask (sim, 0, MH_USER_SUBMIT, "j-000004", s, &a), ==, 422);
  s = gang_spec (5, 4, 1);
  s->single_zone = false;
  s->spread_over_zones = true;
  SimUser *u = sim_submit (sim, s, 3);
  WAIT (sim, 60, told_done, u);
  finish (sim);
}

/* While there is room for a part only, nothing of it is started, and smaller work does not keep it
   from its room for ever. */
static void
test_all_or_none (void)
{
  Sim *sim = sim_new (3);
  sim->world->capacity = 2;
  sim->world->zones = 1;
  MhJobSpec *s = gang_spec (1, 4, 2); /* two whole small machines */
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  s->spot = true;
  SimUser *small[6];
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    {
      MhJobSpec *other = sim_spec (10 + i, MH_SHAPE_ARRAY, 4, 1);
      other->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      other->priority = MH_PRIORITY_LOW;
      small[i] = sim_submit (sim, other, 4 + i);
    }
  sim_run (sim, 10);
  SimUser *u = sim_submit (sim, s, 5);
  guint parts = 0;
  for (guint i = 0; i < 600 && !u->told_done; i++)
    {
      guint n = world_running (sim->world, "j-000001");
      parts += n > 0 && n < 4 && u->job->n_done == 0;
      sim_run (sim, 0.1);
    }
  g_assert_true (u->told_done);
  g_assert_cmpuint (parts, <=, 10); /* only until the commands are there: a second */
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    WAIT (sim, 120, told_done, small[i]);
  finish (sim);
}

/* Two gangs, each of which needs most of what there is, do not hold room from each other. */
static void
test_two_gangs (void)
{
  Sim *sim = sim_new (4);
  sim->world->capacity = 2;
  sim->world->zones = 1;
  SimUser *users[4];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      MhJobSpec *s = gang_spec (1 + i, 3, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      users[i] = sim_submit (sim, s, 5);
    }
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    WAIT (sim, 200, told_done, users[i]);
  g_assert_cmpuint (sim->world->starts, ==, 12); /* each once */
  finish (sim);
}

/* No start leaves before all places are on record. */
static void
test_on_record_first (void)
{
  Sim *sim = sim_new (5);
  SimUser *u = sim_submit (sim, gang_spec (1, 4, 1), 20);
  WAIT (sim, 30, accepted, u);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 15 * MH_SECOND_US;
  sim_run (sim, 14);
  g_assert_cmpuint (sim->world->starts, ==, 0);
  WAIT (sim, 30, runs, u);
  WAIT (sim, 60, told_done, u);
  finish (sim);
}

/* A machine is lost, hangs, is cut off, sends no reports or gets no answers: the rest ends, and the
   next attempt begins when the whole of the old one is proven gone. */
static void
test_machine_lost (void)
{
  for (guint how = 0; how < 5; how++)
    {
      Sim *sim = sim_new (6 + how);
      add_small_machines (sim, 6);
      MhJobSpec *s = gang_spec (1, 6, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      SimUser *u = sim_submit (sim, s, 25);
      WAIT (sim, 60, runs, u);
      SimWorker *w = worker_of (sim, "j-000001/0");
      if (how == 0)
        {
          world_fail (w->machine);
        }
      else if (how == 1)
        w->machine->hung_until_us = sim->now_us + 100 * MH_SECOND_US;
      else if (how == 2)
        w->cut_us = sim->now_us + 60 * MH_SECOND_US;
      else if (how == 3)
        w->reports_lost_us = sim->now_us + 60 * MH_SECOND_US;
      else
        w->answers_lost_us = sim->now_us + 60 * MH_SECOND_US;
      WAIT (sim, 200, told_done, u);
      finish (sim);
    }
}

static SimUser *
gang_on_small_machines (Sim *sim, guint machines, double run_s)
{
  sim->world->capacity = 0;
  add_small_machines (sim, machines);
  MhJobSpec *spec = gang_spec (1, 4, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  return sim_submit (sim, spec, run_s);
}

/* Its workers give up before its last image is there: that is an end like others, and the next
   attempt has the image. */
static void
test_incomplete (void)
{
  Sim *sim = sim_new (14);
  sim->settings->gang_wait_us = 4 * MH_SECOND_US; /* the workers', not the controllers' */
  SimUser *u = gang_on_small_machines (sim, 2, 5);
  for (guint i = 0; i < 400 && worker_of (sim, "j-000001/3") == NULL; i++)
    sim_run (sim, 0.05);
  WorldMachine *late = worker_of (sim, "j-000001/3")->machine;
  for (guint i = 0; i < late->tasks->len; i++)
    g_array_index (late->tasks, WorldTask, i).ready_us += 8 * MH_SECOND_US;
  WAIT (sim, 60, told_done, u);
  g_assert_true (sim_logged (sim, "incomplete-in-time"));
  finish (sim);
}

/* It fails on every machine: the attempts come ever more slowly, other work goes on, and its user
   can cancel it. */
static void
test_fails_everywhere (void)
{
  Sim *sim = sim_new (15);
  SimUser *u = gang_on_small_machines (sim, 4, 20);
  SimUser *other = running_service (sim, 2, 1);
  WAIT (sim, 60, accepted, u);
  guint starts = sim->world->starts;
  for (guint second = 0; second < 60; second++)
    {
      for (guint i = 0; i < sim->world->machines->len; i++)
        {
          const WorldMachine *machine = g_ptr_array_index (sim->world->machines, i);
          for (guint k = 0; k < machine->tasks->len; k++)
            {
              WorldTask *task = &g_array_index (machine->tasks, WorldTask, k);
              if (task->index != 1 || task->phase != MH_TASK_PHASE_RUNNING
                  || strcmp (task->job, "j-000001") != 0)
                continue;
              task->phase = MH_TASK_PHASE_ENDED;
              task->cause = "error";
            }
        }
      sim_run (sim, 1);
    }
  g_assert_true (sim_logged (sim, "next_start_s="));
  g_assert_cmpuint (sim->world->starts - starts, <=, 32); /* eight attempts */
  g_assert_cmpuint (world_running (sim->world, other->job->spec->id), ==, 1);
  sim_cancel (u);
  WAIT (sim, 10, told_cancelled, u);
  sim_run (sim, 42);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* Direct starts of an attempt that was given up arrive while the next one runs, on a machine that
   has room for them. */
static void
test_late_start_of_an_old_attempt (void)
{
  Sim *sim = sim_new (16);
  sim->keep_requests = true;
  sim->world->capacity = 0;
  for (guint i = 0; i < 4; i++)
    world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
  MhJobSpec *spec = gang_spec (1, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  SimUser *u = sim_submit (sim, spec, 25);
  WAIT (sim, 60, runs, u);
  world_fail (worker_of (sim, "j-000001/0")->machine);
  sim_run (sim, 1);
  for (guint i = 0; i < 600 && u->job->running_attempt < 2; i++)
    sim_run (sim, 0.1);
  g_assert_cmpuint (u->job->running_attempt, ==, 2);
  sim->keep_requests = false;
  g_assert_cmpuint (sim->kept->len, >, 0);
  for (guint i = sim->kept->len; i-- > 0;)
    if (!sim_is_command (sim, i))
      g_ptr_array_remove_index (sim->kept, i);
  sim_repeat_requests (sim);
  sim_run (sim, 2);
  g_assert_cmpuint (u->job->running_attempt, ==, 2);
  WAIT (sim, 60, told_done, u);
  finish (sim);
}

/* A report from the time of an attempt that was given up comes while the next one runs, also to a
   leader that has just begun. */
static void
test_late_report_of_an_old_attempt (void)
{
  for (guint new_leader = 0; new_leader < 2; new_leader++)
    {
      Sim *sim = sim_new (17 + new_leader);
      SimUser *u = gang_on_small_machines (sim, 5, 25);
      WAIT (sim, 60, runs, u);
      g_autoptr (MhValue) old = world_report (sim->world, worker_of (sim, "j-000001/3")->machine);
      world_fail (worker_of (sim, "j-000001/0")->machine);
      for (guint i = 0; i < 600 && u->job->running_attempt != 2; i++)
        sim_run (sim, 0.1);
      g_assert_cmpuint (u->job->running_attempt, ==, 2);
      if (new_leader)
        {
          sim_stop_node (sim, sim_leader (sim)->index);
          WAIT (sim, 10, has_leader, NULL);
        }
      for (guint i = 0; i < SIM_NODES; i++)
        if (sim->nodes[i].controller)
          sim_late_report (sim, &sim->nodes[i], old);
      sim_run (sim, 3);
      g_assert_cmpuint (u->job->running_attempt, ==, 2);
      WAIT (sim, 60, told_done, u);
      finish (sim);
    }
}

/* A gang is stopped while one of its machines cannot be told: the log says why progress is given
   up. */
static void
test_stopped_while_one_cannot_be_told (void)
{
  Sim *sim = sim_new (19);
  SimUser *u = gang_on_small_machines (sim, 2, 40);
  WAIT (sim, 60, runs, u);
  SimWorker *cut = worker_of (sim, "j-000001/0");
  cut->cut_us = sim->now_us + 7 * MH_SECOND_US;
  sim_run (sim, 5);
  SimUser *urgent = sim_submit (sim, sim_spec (2, MH_SHAPE_SERVICE, 1, 4), 0);
  sim_run (sim, 1);
  g_assert_true (sim_logged (sim, "cannot be told at once"));
  WAIT (sim, 60, all_run, urgent);
  sim_cancel (urgent);
  sim->world->capacity = 12;
  WAIT (sim, 120, told_done, u);
  finish (sim);
}

/* All its tasks have ended, and nothing of that is on record: nobody is told that it is done. */
static void
test_done_only_on_record (void)
{
  Sim *sim = sim_new (20);
  SimUser *u = gang_on_small_machines (sim, 2, 8);
  WAIT (sim, 60, runs, u);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 25 * MH_SECOND_US;
  WAIT (sim, 15, all_done, u);
  sim_run (sim, 6);
  g_assert_false (u->told_done);
  sim_stop_node (sim, leader->index);
  WAIT (sim, 30, told_done, u);
  g_assert_cmpuint (sim->world->starts, ==, 4);
  finish (sim);
}

/* What can never run is refused without a leader too; what cannot be decided is not. */
static void
test_refusals_without_a_leader (void)
{
  Sim *sim = sim_new (21);
  MhUserAnswer answer;
  sim_run (sim, 5);
  guint last = (sim_leader (sim)->index + 1) % SIM_NODES;
  sim->nodes[last].writes_lost_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != last)
      sim_stop_node (sim, i);
  sim_run (sim, 3);
  g_assert_null (sim_leader (sim));
  g_assert_cmpuint (sim_ask (sim, last, MH_USER_SUBMIT, "j-000001", gang_spec (1, 17, 1), &answer),
                    ==, 422);
  g_assert_cmpuint (sim_ask (sim, last, MH_USER_SUBMIT, "j-000002", gang_spec (2, 16, 1), &answer),
                    ==, 503);
  finish (sim);
}

/* A task fails on a faulty machine. */
static void
test_task_fails (void)
{
  Sim *sim = sim_new (12);
  add_small_machines (sim, 4);
  MhJobSpec *s = gang_spec (1, 4, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  SimUser *u = sim_submit (sim, s, 15);
  WAIT (sim, 60, runs, u);
  worker_of (sim, "j-000001/2")->machine->sick = true;
  WAIT (sim, 300, told_done, u);
  finish (sim);
}

/* Controllers change at every step of a gang's life. */
static void
test_leaders_change (void)
{
  for (guint step = 0; step < 24; step++)
    {
      Sim *sim = sim_new (20 + step);
      SimUser *u = sim_submit (sim, gang_spec (1, 5, 2), 8);
      WAIT (sim, 30, accepted, u);
      sim_run (sim, 0.6 * step);
      SimNode *leader = sim_leader (sim);
      guint stopped = leader ? leader->index : 0;
      sim_stop_node (sim, stopped);
      sim_run (sim, step % 2 ? 0.2 : 3);
      sim_start_node (sim, stopped);
      WAIT (sim, 120, told_done, u);
      finish (sim);
    }
}

/* Cancelled in each phase: it is gone in time, and never starts again. */
static void
test_cancel (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Sim *sim = sim_new (60 + step);
      SimUser *u = sim_submit (sim, gang_spec (1, 5, 2), 60);
      WAIT (sim, 30, accepted, u);
      sim_run (sim, 0.8 * step);
      sim_cancel (u);
      WAIT (sim, 10, told_cancelled, u);
      sim_run (sim, 50);
      g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
      finish (sim);
    }
}

/* Urgent work takes the room of a running gang: all its tasks are told together, and it goes on
   from what it saved. */
static void
test_orderly_stop (void)
{
  Sim *sim = sim_new (80);
  sim->world->capacity = 1;
  MhJobSpec *s = gang_spec (1, 4, 4);
  s->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  SimUser *u = sim_submit (sim, s, 20);
  WAIT (sim, 60, runs, u);
  sim_run (sim, 6);
  SimUser *urgent = sim_submit (sim, sim_spec (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (sim, 20, all_run, urgent);
  g_assert_cmpuint (u->job->saves, ==, 1);
  g_assert_cmpint (u->job->saved_us, >, 4 * MH_SECOND_US);
  sim_cancel (urgent);
  WAIT (sim, 90, told_done, u);
  finish (sim);
}

/* Room for urgent work is made by the end of single tasks, as long as that does: one task of a gang
   would cost the whole of it. */
static void
test_order_of_victims (void)
{
  Sim *sim = sim_new (85);
  sim->world->capacity = 1;
  MhJobSpec *single = sim_spec (2, MH_SHAPE_ARRAY, 8, 1);
  single->estimated_run_us = 300 * MH_SECOND_US;
  single->spot = false;
  single->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  SimUser *array = sim_submit (sim, single, 90);
  WAIT (sim, 60, all_run, array);
  sim_run (sim, 10); /* so that each of them has run for longer than the gang */
  MhJobSpec *s = gang_spec (1, 4, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  SimUser *u = sim_submit (sim, s, 20);
  WAIT (sim, 20, runs, u); /* now the machine is full */
  SimUser *urgent = sim_submit (sim, sim_spec (3, MH_SHAPE_SERVICE, 1, 2), 0);
  WAIT (sim, 20, all_run, urgent);
  g_assert_cmpuint (u->job->saves, ==, 0);
  g_assert_cmpuint (u->job->running_attempt, ==, 1);
  WAIT (sim, 60, told_done, u);
  finish (sim);
}

/* A gang runs beyond its team's guarantee, and another team's work within one wants its room: one
   task would cost the whole gang. It ends by itself, and then the other has its turn. */
static void
test_not_stopped_for_a_guarantee_alone (void)
{
  Sim *sim = sim_new (87);
  sim->world->capacity = 0;
  add_small_machines (sim, 3);
  MhJobSpec *s = gang_spec (1, 6, 2); /* 12 cpus, of which 8 are guaranteed */
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  SimUser *u = sim_submit (sim, s, 25);
  WAIT (sim, 60, runs, u);
  SimUser *other = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 2, 2), 3);
  sim_run (sim, 15);
  g_assert_cmpuint (u->job->running_attempt, ==, 1);
  g_assert_cmpuint (u->job->saves, ==, 0);
  WAIT (sim, 30, told_done, u);
  WAIT (sim, 30, told_done, other);
  g_assert_cmpuint (sim->world->starts, ==, 8);
  finish (sim);
}

/* Nothing is there: as many machines as the whole gang needs are rented in one zone, and it starts
   when the last of them is up. */
static void
test_rented_whole (void)
{
  Sim *sim = sim_new (86);
  MhJobSpec *s = gang_spec (1, 6, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  SimUser *u = sim_submit (sim, s, 5);
  WAIT (sim, 30, accepted, u);
  sim_run (sim, 3);
  g_assert_cmpuint (sim->world->machines->len, ==, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpstr (((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->zone, ==,
                     ((WorldMachine *)g_ptr_array_index (sim->world->machines, 0))->zone);
  g_assert_cmpuint (sim->world->starts, ==, 0);
  WAIT (sim, 30, told_done, u);
  g_assert_cmpuint (sim->world->starts, ==, 6);
  finish (sim);
}

/* The cloud takes one of its machines back: with enough notice the gang saves together before that,
   and goes on elsewhere; with too little it is left to run, and loses what it has not saved. */
static void
test_notice (void)
{
  for (guint enough = 0; enough < 2; enough++)
    {
      Sim *sim = sim_new (83 + enough);
      add_small_machines (sim, 3);
      MhJobSpec *s = gang_spec (1, 4, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      SimUser *u = sim_submit (sim, s, 30);
      WAIT (sim, 60, runs, u);
      sim_run (sim, 8);
      WorldMachine *m = worker_of (sim, "j-000001/0")->machine;
      m->taken_us = sim->now_us + (enough ? 12 : 2) * MH_SECOND_US;
      WAIT (sim, 20, is_gone, m);
      g_assert_cmpuint (u->job->saves, ==, enough);
      WAIT (sim, 120, told_done, u);
      finish (sim);
    }
}

/* One machine does not get the image in time: the gang is taken back before its workers give up,
   and put elsewhere. */
static void
test_late_image (void)
{
  Sim *sim = sim_new (81);
  SimUser *u = sim_submit (sim, gang_spec (1, 4, 4), 5);
  WAIT (sim, 30, accepted, u);
  for (guint i = 0; i < 400 && worker_of (sim, "j-000001/3") == NULL; i++)
    sim_run (sim, 0.05);
  SimWorker *w = worker_of (sim, "j-000001/3");
  WorldTask *t = &g_array_index (w->machine->tasks, WorldTask, w->machine->tasks->len - 1);
  t->ready_us = sim->now_us + 300 * MH_SECOND_US;
  WAIT (sim, 150, told_done, u);
  g_assert_true (sim_logged (sim, "taken back"));
  g_assert_false (sim_logged (sim, "incomplete-in-time"));
  finish (sim);
}

/* A gang of more tasks than one record holds, under the limits that come next. */
static void
test_small_records (void)
{
  Sim *sim = sim_new (82);
  sim_limit (sim, 2048, 5);
  MhJobSpec *s = gang_spec (1, 60, 0.2);
  s->mem_gb = 0.1;
  SimUser *u = sim_submit (sim, s, 8);
  WAIT (sim, 60, runs, u);
  g_assert_nonnull (g_tree_lookup (sim->world->keys, "t/j-000001/00001"));
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 60, told_done, u);
  finish (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/gang/" name, func)
  ADD ("life", test_life);
  ADD ("done-together", test_done_together);
  ADD ("refusals", test_refusals);
  ADD ("all-or-none", test_all_or_none);
  ADD ("two-gangs", test_two_gangs);
  ADD ("on-record-first", test_on_record_first);
  ADD ("machine-lost", test_machine_lost);
  ADD ("incomplete", test_incomplete);
  ADD ("fails-everywhere", test_fails_everywhere);
  ADD ("late-start-of-an-old-attempt", test_late_start_of_an_old_attempt);
  ADD ("late-report-of-an-old-attempt", test_late_report_of_an_old_attempt);
  ADD ("stopped-while-one-cannot-be-told", test_stopped_while_one_cannot_be_told);
  ADD ("done-only-on-record", test_done_only_on_record);
  ADD ("refusals-without-a-leader", test_refusals_without_a_leader);
  ADD ("task-fails", test_task_fails);
  ADD ("leaders-change", test_leaders_change);
  ADD ("cancel", test_cancel);
  ADD ("orderly-stop", test_orderly_stop);
  ADD ("order-of-victims", test_order_of_victims);
  ADD ("not-stopped-for-a-guarantee-alone", test_not_stopped_for_a_guarantee_alone);
  ADD ("rented-whole", test_rented_whole);
  ADD ("notice", test_notice);
  ADD ("late-image", test_late_image);
  ADD ("small-records", test_small_records);
  return g_test_run ();
}
