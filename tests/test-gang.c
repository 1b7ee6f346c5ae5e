/* Gangs: all tasks at the same time or none, whatever fails, on a fake clock. */
#include "steps.h"

#include <string.h>

static MhJobSpec *
gang_spec (guint number, guint tasks, double cpus)
{
  MhJobSpec *spec = job_spec_new (number, MH_SHAPE_GANG, tasks, cpus);
  spec->spot = false;
  spec->one_zone = true;
  spec->estimate_us = 20 * MH_SECOND_US;
  spec->checkpoint_us = 5 * MH_SECOND_US;
  spec->save_us = 2 * MH_SECOND_US;
  return spec;
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
  User *user = simulation_submit (simulation, gang_spec (number, tasks, cpus), run_s);
  WAIT (simulation, 60, runs, user);
  return user;
}

/* Places for all in one zone, one attempt number, and done together. */
static void
test_life (Simulation *simulation)
{
  User *user = running_gang (simulation, 1, 6, 2, 10);
  const Machine *first = worker_of (simulation, "j-000001/0")->machine;
  for (guint i = 1; i < 6; i++)
    {
      g_autofree char *leg = g_strdup_printf ("j-000001/%u", i);
      const Machine *machine = worker_of (simulation, leg)->machine;
      g_assert_cmpstr (machine->zone, ==, first->zone);
      g_assert_cmpuint (g_array_index (machine->tasks, MachineTask, 0).attempt, ==, 1);
    }
  WAIT (simulation, 40, told_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

/* The gang is done, and one of its machines fails before it has told so: the others' word is
   enough, and nothing runs again. */
static void
test_done_together (Simulation *simulation)
{
  add_small_machines (simulation, 3);
  MhJobSpec *spec = gang_spec (1, 6, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *user = simulation_submit (simulation, spec, 8);
  WAIT (simulation, 60, runs, user);
  Worker *worker = worker_of (simulation, "j-000001/0");
  Machine *machine = worker->machine;
  simulation_run (simulation, 5);
  worker->reports_lost_until_us = simulation->clock->now_us + 30 * MH_SECOND_US;
  WAIT (simulation, 30, all_done, user);
  machine_fail (machine);
  WAIT (simulation, 20, told_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
}

static void
test_refusals (Simulation *simulation)
{
  MhUserAnswer answer;
  simulation_run (simulation, 5);
  g_assert_cmpuint (
      simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000001", gang_spec (1, 17, 1), &answer), ==,
      422); /* of 16 */
  MhJobSpec *spec = gang_spec (2, 2, 1);
  spec->scatter = true; /* and in one zone */
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000002", spec, &answer), ==,
                    422);
  spec = gang_spec (3, 4, 1);
  spec->one_zone = false;
  spec->scatter = true;
  spec->zone = g_strdup ("a");
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000003", spec, &answer), ==,
                    422);
  spec = gang_spec (4, 1, 1);
  spec->mem_gb = 100;
  g_assert_cmpuint (simulation_ask (simulation, 0, MH_USER_SUBMIT, "j-000004", spec, &answer), ==,
                    422);
  spec = gang_spec (5, 4, 1);
  spec->one_zone = false;
  spec->scatter = true;
  User *user = simulation_submit (simulation, spec, 3);
  WAIT (simulation, 60, told_done, user);
}

/* While there is room for a part only, nothing of it is started, and smaller work does not keep it
   from its room for ever. */
static void
test_all_or_none (Simulation *simulation)
{
  simulation->cloud->capacity = 2;
  simulation->cloud->zones = 1;
  MhJobSpec *spec = gang_spec (1, 4, 2); /* two whole small machines */
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  spec->spot = true;
  User *small[6];
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    {
      MhJobSpec *other = job_spec_new (10 + i, MH_SHAPE_ARRAY, 4, 1);
      other->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      other->priority = MH_PRIORITY_LOW;
      small[i] = simulation_submit (simulation, other, 4 + i);
    }
  simulation_run (simulation, 10);
  User *user = simulation_submit (simulation, spec, 5);
  guint parts = 0;
  for (guint i = 0; i < 600 && !user->told_done; i++)
    {
      guint n = simulation_running_tasks (simulation, "j-000001");
      parts += n > 0 && n < 4 && user->job->done_count == 0;
      simulation_run (simulation, 0.1);
    }
  g_assert_true (user->told_done);
  g_assert_cmpuint (parts, <=, 10); /* only until the commands are there: a second */
  for (guint i = 0; i < G_N_ELEMENTS (small); i++)
    WAIT (simulation, 120, told_done, small[i]);
}

/* Two gangs, each of which needs most of what there is, do not hold room from each other. */
static void
test_two_gangs (Simulation *simulation)
{
  simulation->cloud->capacity = 2;
  simulation->cloud->zones = 1;
  User *users[4];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      MhJobSpec *spec = gang_spec (1 + i, 3, 2);
      spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      users[i] = simulation_submit (simulation, spec, 5);
    }
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    WAIT (simulation, 200, told_done, users[i]);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 12); /* each once */
}

/* No start leaves before all places are on record. */
static void
test_on_record_first (Simulation *simulation)
{
  User *user = simulation_submit (simulation, gang_spec (1, 4, 1), 20);
  WAIT (simulation, 30, accepted, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 15 * MH_SECOND_US;
  simulation_run (simulation, 14);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, runs, user);
  WAIT (simulation, 60, told_done, user);
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
      MhJobSpec *spec = gang_spec (1, 6, 2);
      spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      User *user = simulation_submit (simulation, spec, 25);
      WAIT (simulation, 60, runs, user);
      Worker *worker = worker_of (simulation, "j-000001/0");
      if (how == 0)
        {
          machine_fail (worker->machine);
        }
      else if (how == 1)
        worker->machine->hung_until_us = simulation->clock->now_us + 100 * MH_SECOND_US;
      else if (how == 2)
        worker->cut_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else if (how == 3)
        worker->reports_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      else
        worker->answers_lost_until_us = simulation->clock->now_us + 60 * MH_SECOND_US;
      WAIT (simulation, 200, told_done, user);
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
test_incomplete (Simulation *simulation)
{
  simulation->settings->gang_wait_us = 4 * MH_SECOND_US; /* the workers', not the controllers' */
  User *user = gang_on_small_machines (simulation, 2, 5);
  for (guint i = 0; i < 400 && worker_of (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Machine *late = worker_of (simulation, "j-000001/3")->machine;
  for (guint i = 0; i < late->tasks->len; i++)
    g_array_index (late->tasks, MachineTask, i).ready_us += 8 * MH_SECOND_US;
  WAIT (simulation, 60, told_done, user);
  g_assert_true (simulation_logged (simulation, "incomplete-in-time"));
}

/* It fails on every machine: the attempts come ever more slowly, other work goes on, and its user
   can cancel it. */
static void
test_fails_everywhere (Simulation *simulation)
{
  User *user = gang_on_small_machines (simulation, 4, 20);
  User *other = running_service (simulation, 2, 1);
  WAIT (simulation, 60, accepted, user);
  guint starts = simulation->rules->task_starts;
  for (guint second = 0; second < 60; second++)
    {
      for (guint i = 0; i < simulation->cloud->machines->len; i++)
        {
          const Machine *machine = g_ptr_array_index (simulation->cloud->machines, i);
          for (guint k = 0; k < machine->tasks->len; k++)
            {
              MachineTask *task = &g_array_index (machine->tasks, MachineTask, k);
              if (task->index != 1 || task->phase != MH_TASK_RUNNING
                  || strcmp (task->job_id, "j-000001") != 0)
                continue;
              task->phase = MH_TASK_ENDED;
              task->cause = "error";
            }
        }
      simulation_run (simulation, 1);
    }
  g_assert_true (simulation_logged (simulation, "next_start_s="));
  g_assert_cmpuint (simulation->rules->task_starts - starts, <=, 32); /* eight attempts */
  g_assert_cmpuint (simulation_running_tasks (simulation, other->job->spec->id), ==, 1);
  user_cancel (user);
  WAIT (simulation, 10, told_cancelled, user);
  simulation_run (simulation, 42);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
}

/* Direct starts of an attempt that was given up arrive while the next one runs, on a machine that
   has room for them. */
static void
test_late_start_of_an_old_attempt (Simulation *simulation)
{
  simulation->network->keep_requests = true;
  simulation->cloud->capacity = 0;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
  MhJobSpec *spec = gang_spec (1, 4, 1);
  spec->one_zone = false;
  spec->scatter = true;
  User *user = simulation_submit (simulation, spec, 25);
  WAIT (simulation, 60, runs, user);
  machine_fail (worker_of (simulation, "j-000001/0")->machine);
  simulation_run (simulation, 1);
  for (guint i = 0; i < 600 && user->job->running_attempt < 2; i++)
    simulation_run (simulation, 0.1);
  g_assert_cmpuint (user->job->running_attempt, ==, 2);
  simulation->network->keep_requests = false;
  g_assert_cmpuint (simulation->network->kept_requests->len, >, 0);
  for (guint i = simulation->network->kept_requests->len; i-- > 0;)
    if (!outgoing_calls_kept_is_command (simulation, i))
      g_ptr_array_remove_index (simulation->network->kept_requests, i);
  outgoing_calls_repeat_kept (simulation);
  simulation_run (simulation, 2);
  g_assert_cmpuint (user->job->running_attempt, ==, 2);
  WAIT (simulation, 60, told_done, user);
}

/* A report from the time of an attempt that was given up comes while the next one runs, also to a
   leader that has just begun. */
static void
test_late_report_of_an_old_attempt (void)
{
  for (guint new_leader = 0; new_leader < 2; new_leader++)
    {
      Simulation *simulation = simulation_new (17 + new_leader);
      User *user = gang_on_small_machines (simulation, 5, 25);
      WAIT (simulation, 60, runs, user);
      g_autoptr (MhValue) old
          = worker_protocol_report (worker_of (simulation, "j-000001/3")->machine);
      machine_fail (worker_of (simulation, "j-000001/0")->machine);
      for (guint i = 0; i < 600 && user->job->running_attempt != 2; i++)
        simulation_run (simulation, 0.1);
      g_assert_cmpuint (user->job->running_attempt, ==, 2);
      if (new_leader)
        {
          simulation_stop_node (simulation, simulation_leader (simulation)->index);
          WAIT (simulation, 10, has_leader, NULL);
        }
      for (guint i = 0; i < SIMULATION_NODES; i++)
        if (simulation->nodes[i].controller)
          workers_deliver_late_report (simulation, &simulation->nodes[i], old);
      simulation_run (simulation, 3);
      g_assert_cmpuint (user->job->running_attempt, ==, 2);
      WAIT (simulation, 60, told_done, user);
      finish (simulation);
    }
}

/* A gang is stopped while one of its machines cannot be told: the log says why progress is given
   up. */
static void
test_stopped_while_one_cannot_be_told (Simulation *simulation)
{
  User *user = gang_on_small_machines (simulation, 2, 40);
  WAIT (simulation, 60, runs, user);
  Worker *cut = worker_of (simulation, "j-000001/0");
  cut->cut_until_us = simulation->clock->now_us + 7 * MH_SECOND_US;
  simulation_run (simulation, 5);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  simulation_run (simulation, 1);
  g_assert_true (simulation_logged (simulation, "cannot be told at once"));
  WAIT (simulation, 60, all_run, urgent);
  user_cancel (urgent);
  simulation->cloud->capacity = 12;
  WAIT (simulation, 120, told_done, user);
}

/* All its tasks have ended, and nothing of that is on record: nobody is told that it is done. */
static void
test_done_only_on_record (Simulation *simulation)
{
  User *user = gang_on_small_machines (simulation, 2, 8);
  WAIT (simulation, 60, runs, user);
  ControllerNode *leader = simulation_leader (simulation);
  leader->writes_lost_until_us = simulation->clock->now_us + 25 * MH_SECOND_US;
  WAIT (simulation, 15, all_done, user);
  simulation_run (simulation, 6);
  g_assert_false (user->told_done);
  simulation_stop_node (simulation, leader->index);
  WAIT (simulation, 30, told_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 4);
}

/* What can never run is refused without a leader too; what cannot be decided is not. */
static void
test_refusals_without_a_leader (Simulation *simulation)
{
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
}

/* A task fails on a faulty machine. */
static void
test_task_fails (Simulation *simulation)
{
  add_small_machines (simulation, 4);
  MhJobSpec *spec = gang_spec (1, 4, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *user = simulation_submit (simulation, spec, 15);
  WAIT (simulation, 60, runs, user);
  worker_of (simulation, "j-000001/2")->machine->faulty = true;
  WAIT (simulation, 300, told_done, user);
}

/* Controllers change at every step of a gang's life. */
static void
test_leaders_change (void)
{
  for (guint step = 0; step < 24; step++)
    {
      Simulation *simulation = simulation_new (20 + step);
      User *user = simulation_submit (simulation, gang_spec (1, 5, 2), 8);
      WAIT (simulation, 30, accepted, user);
      simulation_run (simulation, 0.6 * step);
      ControllerNode *leader = simulation_leader (simulation);
      guint stopped = leader ? leader->index : 0;
      simulation_stop_node (simulation, stopped);
      simulation_run (simulation, step % 2 ? 0.2 : 3);
      simulation_start_node (simulation, stopped);
      WAIT (simulation, 120, told_done, user);
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
      User *user = simulation_submit (simulation, gang_spec (1, 5, 2), 60);
      WAIT (simulation, 30, accepted, user);
      simulation_run (simulation, 0.8 * step);
      user_cancel (user);
      WAIT (simulation, 10, told_cancelled, user);
      simulation_run (simulation, 50);
      g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 0);
      finish (simulation);
    }
}

/* Urgent work takes the room of a running gang: all its tasks are told together, and it goes on
   from what it saved. */
static void
test_orderly_stop (Simulation *simulation)
{
  simulation->cloud->capacity = 1;
  MhJobSpec *spec = gang_spec (1, 4, 4);
  spec->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *user = simulation_submit (simulation, spec, 20);
  WAIT (simulation, 60, runs, user);
  simulation_run (simulation, 6);
  User *urgent = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 1, 4), 0);
  WAIT (simulation, 20, all_run, urgent);
  g_assert_cmpuint (user->job->orderly_stops, ==, 1);
  g_assert_cmpint (user->job->saved_progress_us, >, 4 * MH_SECOND_US);
  user_cancel (urgent);
  WAIT (simulation, 90, told_done, user);
}

/* Room for urgent work is made by the end of single tasks, as long as that does: one task of a gang
   would cost the whole of it. */
static void
test_order_of_victims (Simulation *simulation)
{
  simulation->cloud->capacity = 1;
  MhJobSpec *single = job_spec_new (2, MH_SHAPE_ARRAY, 8, 1);
  single->estimate_us = 300 * MH_SECOND_US;
  single->spot = false;
  single->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *array = simulation_submit (simulation, single, 90);
  WAIT (simulation, 60, all_run, array);
  simulation_run (simulation, 10); /* so that each of them has run for longer than the gang */
  MhJobSpec *spec = gang_spec (1, 4, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "large", NULL });
  User *user = simulation_submit (simulation, spec, 20);
  WAIT (simulation, 20, runs, user); /* now the machine is full */
  User *urgent = simulation_submit (simulation, job_spec_new (3, MH_SHAPE_SERVICE, 1, 2), 0);
  WAIT (simulation, 20, all_run, urgent);
  g_assert_cmpuint (user->job->orderly_stops, ==, 0);
  g_assert_cmpuint (user->job->running_attempt, ==, 1);
  WAIT (simulation, 60, told_done, user);
}

/* A gang runs beyond its team's guarantee, and another team's work within one wants its room: one
   task would cost the whole gang. It ends by itself, and then the other has its turn. */
static void
test_not_stopped_for_a_guarantee_alone (Simulation *simulation)
{
  simulation->cloud->capacity = 0;
  add_small_machines (simulation, 3);
  MhJobSpec *spec = gang_spec (1, 6, 2); /* 12 cpus, of which 8 are guaranteed */
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *user = simulation_submit (simulation, spec, 25);
  WAIT (simulation, 60, runs, user);
  User *other = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 2, 2), 3);
  simulation_run (simulation, 15);
  g_assert_cmpuint (user->job->running_attempt, ==, 1);
  g_assert_cmpuint (user->job->orderly_stops, ==, 0);
  WAIT (simulation, 30, told_done, user);
  WAIT (simulation, 30, told_done, other);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 8);
}

/* Nothing is there: as many machines as the whole gang needs are rented in one zone, and it starts
   when the last of them is up. */
static void
test_rented_whole (Simulation *simulation)
{
  MhJobSpec *spec = gang_spec (1, 6, 2);
  spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
  User *user = simulation_submit (simulation, spec, 5);
  WAIT (simulation, 30, accepted, user);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines->len, ==, 3);
  for (guint i = 0; i < 3; i++)
    g_assert_cmpstr (((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->zone, ==,
                     ((Machine *)g_ptr_array_index (simulation->cloud->machines, 0))->zone);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 0);
  WAIT (simulation, 30, told_done, user);
  g_assert_cmpuint (simulation->rules->task_starts, ==, 6);
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
      MhJobSpec *spec = gang_spec (1, 4, 2);
      spec->types = g_strdupv ((char **)(const char *[]){ "small", NULL });
      User *user = simulation_submit (simulation, spec, 30);
      WAIT (simulation, 60, runs, user);
      simulation_run (simulation, 8);
      Machine *machine = worker_of (simulation, "j-000001/0")->machine;
      machine->preempted_at_us = simulation->clock->now_us + (enough ? 12 : 2) * MH_SECOND_US;
      WAIT (simulation, 20, is_gone, machine);
      g_assert_cmpuint (user->job->orderly_stops, ==, enough);
      WAIT (simulation, 120, told_done, user);
      finish (simulation);
    }
}

/* One machine does not get the image in time: the gang is taken back before its workers give up,
   and put elsewhere. */
static void
test_late_image (Simulation *simulation)
{
  User *user = simulation_submit (simulation, gang_spec (1, 4, 4), 5);
  WAIT (simulation, 30, accepted, user);
  for (guint i = 0; i < 400 && worker_of (simulation, "j-000001/3") == NULL; i++)
    simulation_run (simulation, 0.05);
  Worker *worker = worker_of (simulation, "j-000001/3");
  MachineTask *task
      = &g_array_index (worker->machine->tasks, MachineTask, worker->machine->tasks->len - 1);
  task->ready_us = simulation->clock->now_us + 300 * MH_SECOND_US;
  WAIT (simulation, 150, told_done, user);
  g_assert_true (simulation_logged (simulation, "taken back"));
  g_assert_false (simulation_logged (simulation, "incomplete-in-time"));
}

/* A gang of more tasks than one record holds, under the limits that come next. */
static void
test_small_records (Simulation *simulation)
{
  simulation_limit (simulation, 2048, 5);
  MhJobSpec *spec = gang_spec (1, 60, 0.2);
  spec->mem_gb = 0.1;
  User *user = simulation_submit (simulation, spec, 8);
  WAIT (simulation, 60, runs, user);
  g_assert_nonnull (g_tree_lookup (simulation->store->keys, "t/j-000001/00001"));
  simulation_stop_node (simulation, simulation_leader (simulation)->index);
  WAIT (simulation, 60, told_done, user);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gang-scheduling/machine-lost", test_machine_lost);
  g_test_add_func ("/gang-scheduling/late-report-of-an-old-attempt",
                   test_late_report_of_an_old_attempt);
  g_test_add_func ("/gang-scheduling/leaders-change", test_leaders_change);
  g_test_add_func ("/gang-scheduling/cancel", test_cancel);
  g_test_add_func ("/gang-scheduling/notice", test_notice);
  simulation_test_add ("/gang-scheduling/life", 1, test_life);
  simulation_test_add ("/gang-scheduling/done-together", 13, test_done_together);
  simulation_test_add ("/gang-scheduling/refusals", 2, test_refusals);
  simulation_test_add ("/gang-scheduling/all-or-none", 3, test_all_or_none);
  simulation_test_add ("/gang-scheduling/two-gangs", 4, test_two_gangs);
  simulation_test_add ("/gang-scheduling/on-record-first", 5, test_on_record_first);
  simulation_test_add ("/gang-scheduling/incomplete", 14, test_incomplete);
  simulation_test_add ("/gang-scheduling/fails-everywhere", 15, test_fails_everywhere);
  simulation_test_add ("/gang-scheduling/late-start-of-an-old-attempt", 16,
                       test_late_start_of_an_old_attempt);
  simulation_test_add ("/gang-scheduling/stopped-while-one-cannot-be-told", 19,
                       test_stopped_while_one_cannot_be_told);
  simulation_test_add ("/gang-scheduling/done-only-on-record", 20, test_done_only_on_record);
  simulation_test_add ("/gang-scheduling/refusals-without-a-leader", 21,
                       test_refusals_without_a_leader);
  simulation_test_add ("/gang-scheduling/task-fails", 12, test_task_fails);
  simulation_test_add ("/gang-scheduling/orderly-stop", 80, test_orderly_stop);
  simulation_test_add ("/gang-scheduling/order-of-victims", 85, test_order_of_victims);
  simulation_test_add ("/gang-scheduling/not-stopped-for-a-guarantee-alone", 87,
                       test_not_stopped_for_a_guarantee_alone);
  simulation_test_add ("/gang-scheduling/rented-whole", 86, test_rented_whole);
  simulation_test_add ("/gang-scheduling/late-image", 81, test_late_image);
  simulation_test_add ("/gang-scheduling/small-records", 82, test_small_records);
  return g_test_run ();
}
