/* Gangs: all tasks at the same time or none, whatever fails, on a fake clock. */
#include "steps.h"

#include <string.h>

static MhJobSpec *
gang_spec (guint number, guint tasks, double cpus)
{
  MhJobSpec *s = job_spec_new (number, MH_SHAPE_GANG, tasks, cpus);
  s->spot = false;
  s->single_zone = true;
  s->estimated_run_us = 20 * MH_SECOND_US;
  s->checkpoint_interval_us = 5 * MH_SECOND_US;
  s->checkpoint_save_us = 2 * MH_SECOND_US;
  return s;
}

static bool
runs (Simulation *simulation, gpointer data)
{
  (void)simulation;
  return ((User *)data)->job->running_attempt != 0;
}

static User *
running_gang (Simulation *simulation, guint number, guint tasks, double cpus, double run_s)
{
  User *u = simulation_submit (simulation, gang_spec (number, tasks, cpus), run_s);
  WAIT (simulation, 60, runs, u);
  return u;
}

/* Places for all in one zone, one attempt number, and done together. */
static void
test_life (void)
{
  Simulation *simulation = simulation_new (1);
  User *u = running_gang (simulation, 1, 6, 2, 10);
  const Machine *first = worker_of (simulation, "j-000001/0")->machine;
  for (guint i = 1; i < 6; i++)
    {
      g_autofree char *leg = g_strdup_printf ("j-000001/%u", i);
      const Machine *m = worker_of (simulation, leg)->machine;
      g_assert_cmpstr (m->zone, ==, first->zone);
      g_assert_cmpuint (g_array_index (m->tasks, MachineTask, 0).attempt, ==, 1);
    }
  WAIT (simulation, 40, told_done, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
  finish (simulation);
}

/* The gang is done, and one of its machines fails before it has told so: the others' word is
   enough, and nothing runs again. */
static void
test_done_together (void)
{
  Simulation *simulation = simulation_new (13);
  add_small_machines (simulation, 3);
  MhJobSpec *s = gang_spec (1, 6, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *u = simulation_submit (simulation, s, 8);
  WAIT (simulation, 60, runs, u);
  Worker *w = worker_of (simulation, "j-000001/0");
  Machine *m = w->machine;
  simulation_run (simulation, 5);
  w->reports_lost_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  WAIT (simulation, 30, all_done, u);
  machine_fail (m);
  WAIT (simulation, 20, told_done, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
  finish (simulation);
}

static void
test_refusals (void)
{
  Simulation *simulation = simulation_new (2);
  MhUserAnswer a;
  simulation_run (simulation, 5);
  g_assert_cmpuint (
      simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000001", gang_spec (1, 17, 1), &a), ==,
      422); /* of 16 */
  MhJobSpec *s = gang_spec (2, 2, 1);
  s->spread_over_zones = true; /* and in one zone */
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000002", s, &a), ==, 422);
  s = gang_spec (3, 4, 1);
  s->single_zone = false;
  s->spread_over_zones = true;
  s->zone = g_strdup ("a");
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000003", s, &a), ==, 422);
  s = gang_spec (4, 1, 1);
  s->mem_gb = 100;
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000004", s, &a), ==, 422);
  s = gang_spec (5, 4, 1);
  s->single_zone = false;
  s->spread_over_zones = true;
  User *u = simulation_submit (simulation, s, 3);
  WAIT (simulation, 60, told_done, u);
  finish (simulation);
}

/* While there is room for a part only, nothing of it is started, and smaller work does not keep it
   from its room for ever. */
static void
test_all_or_none (void)
{
  Simulation *simulation = simulation_new (3);
  simulation->cloud->capacity = 2;
  simulation->cloud->zones = 1;
  MhJobSpec *s = gang_spec (1, 4, 2); /* two whole small machines */
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  s->spot = true;
  User *small[6];
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    {
      MhJobSpec *other = job_spec_new (10 + i, MH_SHAPE_ARRAY, 4, 1);
      other->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      other->priority = MH_PRIORITY_LOW;
      small[i] = simulation_submit (simulation, other, 4 + i);
    }
  simulation_run (simulation, 10);
  User *u = simulation_submit (simulation, s, 5);
  guint parts = 0;
  for (guint i = 0; i < 600 && !u->told_done; i++)
    {
      guint n = simulation_running_tasks (simulation, "j-000001");
      parts += n > 0 && n < 4 && u->job->done_count == 0;
      simulation_run (simulation, 0.1);
    }
  g_assert_true (u->told_done);
  g_assert_cmpuint (parts, <=, 10); /* only until the commands are there: a second */
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    WAIT (simulation, 120, told_done, small[i]);
  finish (simulation);
}

/* Two gangs, each of which needs most of what there is, do not hold room from each other. */
static void
test_two_gangs (void)
{
  Simulation *simulation = simulation_new (4);
  simulation->cloud->capacity = 2;
  simulation->cloud->zones = 1;
  User *users[4];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      MhJobSpec *s = gang_spec (1 + i, 3, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      users[i] = simulation_submit (simulation, s, 5);
    }
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    WAIT (simulation, 200, told_done, users[i]);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 12); /* each once */
  finish (simulation);
}

/* No start leaves before all places are on record. */
static void
test_on_record_first (void)
{
  Simulation *simulation = simulation_new (5);
  User *u = simulation_submit (simulation, gang_spec (1, 4, 1), 20);
  WAIT (simulation, 30, accepted, u);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 15 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, runs, u);
  WAIT (simulation, 60, told_done, u);
  finish (simulation);
}

/* A machine is lost, hangs, is cut off, sends no reports or gets no answers: the rest ends, and the
   next attempt begins when the whole of the old one is proven gone. */
static void
test_machine_lost (void)
{
  for (guint how = 0; how < 5; how++)
    {
      Simulation *simulation = simulation_new (6 + how);
      add_small_machines (simulation, 6);
      MhJobSpec *s = gang_spec (1, 6, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      User *u = simulation_submit (simulation, s, 25);
      WAIT (simulation, 60, runs, u);
      Worker *w = worker_of (simulation, "j-000001/0");
      if (how == 0)
        {
          machine_fail (w->machine);
        }
      else if (how == 1)
        w->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
      else if (how == 2)
        w->cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else if (how == 3)
        w->reports_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else
        w->answers_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      WAIT (simulation, 200, told_done, u);
      finish (simulation);
    }
}

static User *
gang_on_small_machines (Simulation *simulation, guint machines, double run_s)
{
  simulation->cloud->capacity = 0;
  add_small_machines (simulation, machines);
  MhJobSpec *spec = gang_spec (1, 4, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  return simulation_submit (simulation, spec, run_s);
}

/* Its workers give up before its last image is there: that is an end like others, and the next
   attempt has the image. */
static void
test_incomplete (void)
{
  Simulation *simulation = simulation_new (14);
  simulation->settings->gang_wait_us = 4 * MH_SECOND_US; /* the workers', not the controllers' */
  User *u = gang_on_small_machines (simulation, 2, 5);
  for (guint i = 0; i < 400 && worker_of (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Machine *late = worker_of (simulation, "j-000001/3")->machine;
  for (guint i = 0; i < late->tasks->len; i++)
    g_array_index (late->tasks, MachineTask, i).ready_us += 8 * MH_SECOND_US;
  WAIT (simulation, 60, told_done, u);
  g_assert_true (simulation_logged (simulation, "incomplete_in_time"));
  finish (simulation);
}

/* It fails on every machine: the attempts come ever more slowly, other work goes on, and its user
   can cancel it. */
static void
test_fails_everywhere (void)
{
  Simulation *simulation = simulation_new (15);
  User *u = gang_on_small_machines (simulation, 4, 20);
  User *other = running_service (simulation, 2, 1);
  WAIT (simulation, 60, accepted, u);
  guint starts = simulation->rules->task_starts;
  for (guint second = 0; second < 60; second++)
    {
      for (guint i = 0; i < simulation->cloud->machines->len; i++)
        {
          const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
          for (guint k = 0; k < machine->tasks->len; k++)
            {
              MachineTask *task = &g_array_index (machine->tasks, MachineTask, k);
              if (task->index != 1 || task->phase != MH_TASK_PHASE_RUNNING
                  || strcmp (task->job_id, "j-000001") != 0)
                continue;
              task->phase = MH_TASK_PHASE_ENDED;
              task->cause = "error";
            }
        }
      simulation_run (simulation, 1);
    }
  g_assert_true (simulation_logged (simulation, "next_start_s="));
  g_assert_cmpuint (simulation->rules->task_starts - starts, <=, 32); /* eight attempts */
  g_assert_cmpuint (simulation_running_tasks (simulation, other->job->spec->id), ==, 1);
  user_cancel (u);
  WAIT (simulation, 10, told_cancelled, u);
  simulation_run (simulation, 42);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
  finish (simulation);
}

/* Direct starts of an attempt that was given up arrive while the next one runs, on a machine that
   has room for them. */
static void
test_late_start_of_an_old_attempt (void)
{
  Simulation *simulation = simulation_new (16);
  simulation->network->keep_requests = true;
  simulation->cloud->capacity = 0;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  MhJobSpec *spec = gang_spec (1, 4, 1);
  spec->single_zone = false;
  spec->spread_over_zones = true;
  User *u = simulation_submit (simulation, spec, 25);
  WAIT (simulation, 60, runs, u);
  machine_fail (worker_of (simulation, "j-000001/0")->machine);
  simulation_run (simulation, 1);
  for (guint i = 0; i < 600 && u->job->running_attempt < 2; i++)
    simulation_run (simulation, 0.1);
  g_assert_cmpuint (u->job->running_attempt, ==, 2);
  simulation->network->keep_requests = false;
  g_assert_cmpuint (simulation->network->kept_requests->len, >, 0);
  for (guint i = simulation->network->kept_requests->len; i-- > 0;)
    if (!outgoing_calls_kept_is_command (simulation, i))
      g_ptr_array_remove_index (simulation->network->kept_requests, i);
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 2);
  g_assert_cmpuint (u->job->running_attempt, ==, 2);
  WAIT (simulation, 60, told_done, u);
  finish (simulation);
}

/* A report from the time of an attempt that was given up comes while the next one runs, also to a
   leader that has just begun. */
static void
test_late_report_of_an_old_attempt (void)
{
  for (guint new_leader = 0; new_leader < 2; new_leader++)
    {
      Simulation *simulation = simulation_new (17 + new_leader);
      User *u = gang_on_small_machines (simulation, 5, 25);
      WAIT (simulation, 60, runs, u);
      g_autoptr (MhValue) old
          = worker_protocol_report (worker_of (simulation, "j-000001/3")->machine);
      machine_fail (worker_of (simulation, "j-000001/0")->machine);
      for (guint i = 0; i < 600 && u->job->running_attempt != 2; i++)
        simulation_run (simulation, 0.1);
      g_assert_cmpuint (u->job->running_attempt, ==, 2);
      if (new_leader)
        {
          simulation_stop_node (simulation, simulation_leader (simulation)->index);
          WAIT (simulation, 10, has_leader, NULL);
        }
      for (guint i = 0; i < SIMULATION_NODES; i++)
        if (simulation->nodes[i].controller)
          workers_deliver_late_report (simulation, &simulation->nodes[i], old);
      simulation_run (simulation, 3);
      g_assert_cmpuint (u->job->running_attempt, ==, 2);
      WAIT (simulation, 60, told_done, u);
      finish (simulation);
    }
}

/* A gang is stopped while one of its machines cannot be told: the log says why progress is given
   up. */
static void
test_stopped_while_one_cannot_be_told (void)
{
  Simulation *simulation = simulation_new (19);
  User *u = gang_on_small_machines (simulation, 2, 40);
  WAIT (simulation, 60, runs, u);
  Worker *cut = worker_of (simulation, "j-000001/0");
  cut->cut_until_us = simulation->clock->now_us + 7 * MH_SECOND_US;
  simulation_run (simulation, 5);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  simulation_run (simulation, 1);
  g_assert_true (simulation_logged (simulation, "cannot be told at once"));
  WAIT (simulation, 60, all_run, urgent);
  user_cancel (urgent);
  simulation->cloud->capacity = 12;
  WAIT (simulation, 120, told_done, u);
  finish (simulation);
}

/* All its tasks have ended, and nothing of that is on record: nobody is told that it is done. */
static void
test_done_only_on_record (void)
{
  Simulation *simulation = simulation_new (20);
  User *u = gang_on_small_machines (simulation, 2, 8);
  WAIT (simulation, 60, runs, u);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 25 * MH_SECOND_US;
  WAIT (simulation, 15, all_done, u);
  simulation_run (simulation, 6);
  g_assert_false (u->told_done);
  simulation_stop_node (simulation, leader->index);
  WAIT (simulation, 30, told_done, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
  finish (simulation);
}

/* What can never run is refused without a leader too; what cannot be decided is not. */
static void
test_refusals_without_a_leader (void)
{
  Simulation *simulation = simulation_new (21);
  MhUserAnswer answer;
  simulation_run (simulation, 5);
  guint last = (simulation_leader (simulation)->index + 1) % SIMULATION_NODES;
  simulation->nodes[last].writes_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (i != last)
      simulation_stop_node (simulation, i);
  simulation_run (simulation, 3);
  g_assert_null (simulation_leader (simulation));
  g_assert_cmpuint (
      simulation_ask (simulation, last, MH_USER_SUBMIT, "j-000001", gang_spec (1, 17, 1), &answer),
      ==, 422);
  g_assert_cmpuint (
      simulation_ask (simulation, last, MH_USER_SUBMIT, "j-000002", gang_spec (2, 16, 1), &answer),
      ==, 503);
  finish (simulation);
}

/* A task fails on a faulty machine. */
static void
test_task_fails (void)
{
  Simulation *simulation = simulation_new (12);
  add_small_machines (simulation, 4);
  MhJobSpec *s = gang_spec (1, 4, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *u = simulation_submit (simulation, s, 15);
  WAIT (simulation, 60, runs, u);
  worker_of (simulation, "j-000001/2")->machine->faulty = true;
  WAIT (simulation, 300, told_done, u);
  finish (simulation);
}

/* Controllers change at every step of a gang's life. */
static void
test_leaders_change (void)
{
  for (guint step = 0; step < 24; step++)
    {
      Simulation *simulation = simulation_new (20 + step);
      User *u = simulation_submit (simulation, gang_spec (1, 5, 2), 8);
      WAIT (simulation, 30, accepted, u);
      simulation_run (simulation, 0.6 * step);
      ControllerNode *leader = simulation_leader (simulation);
      guint stopped = leader ? leader->index : 0;
      simulation_stop_node (simulation, stopped);
      simulation_run (simulation, step % 2 ? 0.2 : 3);
      simulation_start_node (simulation, stopped);
      WAIT (simulation, 120, told_done, u);
      finish (simulation);
    }
}

/* Cancelled in each phase: it is gone in time, and never starts again. */
static void
test_cancel (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Simulation *simulation = simulation_new (60 + step);
      User *u = simulation_submit (simulation, gang_spec (1, 5, 2), 60);
      WAIT (simulation, 30, accepted, u);
      simulation_run (simulation, 0.8 * step);
      user_cancel (u);
      WAIT (simulation, 10, told_cancelled, u);
      simulation_run (simulation, 50);
      g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
      finish (simulation);
    }
}

/* Urgent work takes the room of a running gang: all its tasks are told together, and it goes on
   from what it saved. */
static void
test_orderly_stop (void)
{
  Simulation *simulation = simulation_new (80);
  simulation->cloud->capacity = 1;
  MhJobSpec *s = gang_spec (1, 4, 4);
  s->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *u = simulation_submit (simulation, s, 20);
  WAIT (simulation, 60, runs, u);
  simulation_run (simulation, 6);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (simulation, 20, all_run, urgent);
  g_assert_cmpuint (u->job->orderly_stops, ==, 1);
  g_assert_cmpint (u->job->saved_progress_us, >, 4 * MH_SECOND_US);
  user_cancel (urgent);
  WAIT (simulation, 90, told_done, u);
  finish (simulation);
}

/* Room for urgent work is made by the end of single tasks, as long as that does: one task of a gang
   would cost the whole of it. */
static void
test_order_of_victims (void)
{
  Simulation *simulation = simulation_new (85);
  simulation->cloud->capacity = 1;
  MhJobSpec *single = job_spec_new (2, MH_SHAPE_ARRAY, 8, 1);
  single->estimated_run_us = 300 * MH_SECOND_US;
  single->spot = false;
  single->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *array = simulation_submit (simulation, single, 90);
  WAIT (simulation, 60, all_run, array);
  simulation_run (simulation, 10); /* so that each of them has run for longer than the gang */
  MhJobSpec *s = gang_spec (1, 4, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *u = simulation_submit (simulation, s, 20);
  WAIT (simulation, 20, runs, u); /* now the machine is full */
  User *urgent = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 2), 0);
  WAIT (simulation, 20, all_run, urgent);
  g_assert_cmpuint (u->job->orderly_stops, ==, 0);
  g_assert_cmpuint (u->job->running_attempt, ==, 1);
  WAIT (simulation, 60, told_done, u);
  finish (simulation);
}

/* A gang runs beyond its team's guarantee, and another team's work within one wants its room: one
   task would cost the whole gang. It ends by itself, and then the other has its turn. */
static void
test_not_stopped_for_a_guarantee_alone (void)
{
  Simulation *simulation = simulation_new (87);
  simulation->cloud->capacity = 0;
  add_small_machines (simulation, 3);
  MhJobSpec *s = gang_spec (1, 6, 2); /* 12 cpus, of which 8 are guaranteed */
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *u = simulation_submit (simulation, s, 25);
  WAIT (simulation, 60, runs, u);
  User *other = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 2), 3);
  simulation_run (simulation, 15);
  g_assert_cmpuint (u->job->running_attempt, ==, 1);
  g_assert_cmpuint (u->job->orderly_stops, ==, 0);
  WAIT (simulation, 30, told_done, u);
  WAIT (simulation, 30, told_done, other);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 8);
  finish (simulation);
}

/* Nothing is there: as many machines as the whole gang needs are rented in one zone, and it starts
   when the last of them is up. */
static void
test_rented_whole (void)
{
  Simulation *simulation = simulation_new (86);
  MhJobSpec *s = gang_spec (1, 6, 2);
  s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *u = simulation_submit (simulation, s, 5);
  WAIT (simulation, 30, accepted, u);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpstr (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->zone, ==,
                     ((Machine *)g_ptr_array_index (simulation->cloud->machines, 0))->zone);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, told_done, u);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
  finish (simulation);
}

/* The cloud takes one of its machines back: with enough notice the gang saves together before that,
   and goes on elsewhere; with too little it is left to run, and loses what it has not saved. */
static void
test_notice (void)
{
  for (guint enough = 0; enough < 2; enough++)
    {
      Simulation *simulation = simulation_new (83 + enough);
      add_small_machines (simulation, 3);
      MhJobSpec *s = gang_spec (1, 4, 2);
      s->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      User *u = simulation_submit (simulation, s, 30);
      WAIT (simulation, 60, runs, u);
      simulation_run (simulation, 8);
      Machine *m = worker_of (simulation, "j-000001/0")->machine;
      m->preempted_at_us = simulation->clock->now_us + (enough ? 12 : 2) * MH_SECOND_US;
      WAIT (simulation, 20, is_gone, m);
      g_assert_cmpuint (u->job->orderly_stops, ==, enough);
      WAIT (simulation, 120, told_done, u);
      finish (simulation);
    }
}

/* One machine does not get the image in time: the gang is taken back before its workers give up,
   and put elsewhere. */
static void
test_late_image (void)
{
  Simulation *simulation = simulation_new (81);
  User *u = simulation_submit (simulation, gang_spec (1, 4, 4), 5);
  WAIT (simulation, 30, accepted, u);
  for (guint i = 0; i < 400 && worker_of (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Worker *w = worker_of (simulation, "j-000001/3");
  MachineTask *t = &g_array_index (w->machine->tasks, MachineTask, w->machine->tasks->len - 1);
  t->ready_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 150, told_done, u);
  g_assert_true (simulation_logged (simulation, "taken back"));
  g_assert_false (simulation_logged (simulation, "incomplete_in_time"));
  finish (simulation);
}

/* A gang of more tasks than one record holds, under the limits that come next. */
static void
test_small_records (void)
{
  Simulation *simulation = simulation_new (82);
  simulation_limit (simulation, 2048, 5);
  MhJobSpec *s = gang_spec (1, 60, 0.2);
  s->mem_gb = 0.1;
  User *u = simulation_submit (simulation, s, 8);
  WAIT (simulation, 60, runs, u);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 60, told_done, u);
  finish (simulation);
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
