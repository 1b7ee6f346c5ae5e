/* Placement in simulations on a fake clock: topology spread (KEP-895), quotas and guarantees,
   preemption, image waits, and the creation of machines. */
#include "steps.h"

#include <string.h>

/* Tasks on an unreachable machine may still run, so they count against the quota of their team. If
   the silence of the machine freed their quota, other jobs of the team would use it a second
   time. */
static void
test_quota_with_unreachable_machine (Simulation *simulation)
{
  User *user = start_service (simulation, 1, 4);
  Machine *machine = worker_with_task (simulation, "j-000001/0")->machine;
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 4);
  simulation->cloud->outage_until_us
      = simulation->clock->now_us + 40 * MH_SECOND_US; /* cannot confirm a release */
  machine->hung_until_us = simulation->clock->now_us + 200 * MH_SECOND_US;
  simulation_submit (simulation, job_spec_new (3, MH_SHAPE_ARRAY, 16, 1), 200);
  simulation_run (simulation, 100);
  user_cancel (user);
  simulation_run (simulation, 60);
}

/* The replicas of a service are spread over the zones, within MaxSkew. Without this, all of them
   could be lost with one zone. */
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

/* A team uses capacity that is guaranteed to another team. Work within the other team's guarantee
   preempts tasks of the first one; otherwise it would wait until these tasks are done. */
static void
test_guarantee (Simulation *simulation)
{
  simulation->cloud->max_machines = 1;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  User *borrower = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_ARRAY, 16, 1), 60);
  WAIT (simulation, 30, all_tasks_running, borrower);
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (simulation, 6, all_tasks_running, user);
  g_assert_cmpuint (simulation_running_tasks (simulation, "j-000001"), ==, 8);
}

/* Urgent work beyond its team's guarantee and normal work within one must not both be allowed to
   preempt the other: they would stop each other in turn, for ever. */
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
  guint preemptions = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    preemptions += strstr (g_ptr_array_index (simulation->log_lines, i), "task preempted") != NULL;
  g_assert_cmpuint (preemptions, <=, 15);
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

/* A service of four replicas in four zones, of which one is full. If the minimum of topology spread
   left out the full zone, the fourth replica would be placed in violation of MaxSkew. If the
   minimum included the zone after its only machine is gone, the fourth replica would wait for
   ever. */
static void
test_spread_four_zones (Simulation *simulation)
{
  guint counts[4];
  simulation->cloud->zone_count = 4;
  simulation->cloud->max_machines = 4;
  Machine *full_machine = NULL;
  for (guint i = 0; i < 4; i++)
    {
      const char zone[] = { (char)('a' + i), '\0' };
      full_machine = cloud_add_machine (simulation->cloud, "large", zone, false);
    }
  simulation_run (simulation, 10);
  for (guint i = 1; i <= 4; i += 3)
    {
      MhJobSpec *filler = job_spec_new (i, MH_SHAPE_SERVICE, 1, 8);
      filler->zone = g_strdup ("d");
      User *filler_user = simulation_submit (simulation, filler, 0);
      WAIT (simulation, 30, all_tasks_running, filler_user);
    }
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_SERVICE, 4, 1), 0);
  simulation_run (simulation, 20);
  count_by_zone (simulation, "j-000002", counts, 4);
  for (guint i = 0; i < 4; i++)
    g_assert_cmpuint (counts[i], ==, i < 3 ? 1 : 0);
  full_machine->hung_until_us = simulation->clock->now_us + 1000 * MH_SECOND_US;
  WAIT (simulation, 60, is_removed, full_machine);
  simulation->cloud->max_machines = 3; /* allows no replacement */
  WAIT (simulation, 30, all_tasks_running, user);
}

/* Replicas with different images wait for machines that are booting. Otherwise all of them would
   start on the only machine that is up, where their fetches share its rate. A replica that is
   deferred for this reason must still be started later, not skipped for ever. */
static void
test_images_on_separate_machines (Simulation *simulation)
{
  User *users[4];
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation->cloud->boot_us = 7 * MH_SECOND_US;
  for (guint i = 0; i < 3; i++)
    cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 6); /* until the cloud lists them */
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
      MhJobSpec *low_priority_spec = job_spec_new (i, MH_SHAPE_ARRAY, 7, 1);
      low_priority_spec->priority = MH_PRIORITY_LOW;
      low_priority_spec->estimated_run_us = 300 * MH_SECOND_US;
      simulation_submit (simulation, low_priority_spec, 300);
    }
  for (guint i = 0; i < 4; i++)
    WAIT (simulation, 60, all_tasks_running, users[i]);
  /* The first machine is full by now. Nothing may be preempted there for the replicas. */
  g_assert_false (simulation_has_logged (simulation, "task preempted"));
  guint used_machines = 0;
  for (guint i = 0; i < simulation->cloud->machines->len; i++)
    used_machines
        += ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->tasks->len > 0;
  g_assert_cmpuint (used_machines, ==, 4);
}

/* A task is preempted so that a replica can start on the machine that has its image. While the task
   is stopping, other placement passes run. If one of them started the replica on another machine,
   the task would have been stopped for nothing. */
static void
test_single_preemption_for_replica (Simulation *simulation)
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
  User *first = start_service (simulation, 3, 1); /* the small machine has its image now */
  MhJobSpec *low_priority_spec = job_spec_new (4, MH_SHAPE_ARRAY, 3, 1);
  low_priority_spec->priority = MH_PRIORITY_LOW;
  User *array = simulation_submit (simulation, low_priority_spec, 200);
  WAIT (simulation, 30, all_tasks_running, array);
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 8);
  MhJobSpec *spec = job_spec_new (5, MH_SHAPE_SERVICE, 1, 1);
  g_free (spec->image);
  spec->image = g_strdup (first->job->spec->image);
  spec->image_gb = 20;
  /* The stop reaches the worker only with the response to its next heartbeat. */
  simulation->network->hold_commands = true;
  User *user = simulation_submit (simulation, spec, 0);
  for (guint i = 0; i < 20; i++)
    {
      /* Small jobs with another image cause further placement passes. */
      simulation_submit (simulation, job_spec_new (20 + 6 * i, MH_SHAPE_ARRAY, 1, 0.1), 0.1);
      simulation_run (simulation, 0.06);
    }
  WAIT (simulation, 12, all_tasks_running, user);
  g_assert_true (worker_with_task (simulation, "j-000005/0")
                 == worker_with_task (simulation, "j-000003/0"));
  guint preemptions = 0;
  for (guint i = 0; i < simulation->log_lines->len; i++)
    preemptions += strstr (g_ptr_array_index (simulation->log_lines, i), "task preempted") != NULL;
  g_assert_cmpuint (preemptions, ==, 1);
}

static bool
is_release_of_silent_machine_logged (Simulation *simulation, gpointer data)
{
  (void)data;
  return simulation_has_logged (simulation, "releasing machine reason=silent");
}

/* Half of the machines hang while the load needs nearly all of them. No pending task can still
   meet its deadline on a new machine, so pending tasks alone are no reason to create one. Unless
   machines are created for the lost capacity as well, they come too late. */
static void
test_lost_capacity_is_replaced (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    for (guint k = 0; k < 2; k++)
      ((MhTeam *)g_ptr_array_index (simulation->nodes[i].settings->teams, k))->cpus_max = 200;
  for (guint i = 0; i < 4; i++)
    cloud_add_machine (simulation->cloud, "small", "a", false);
  simulation->cloud->max_machines = 4;
  simulation_run (simulation, 10);
  guint job_number = 0;
  for (guint step = 0; step < 40 && !is_release_of_silent_machine_logged (simulation, NULL); step++)
    {
      for (guint i = 0; i < 2; i++)
        {
          MhJobSpec *spec = job_spec_new (++job_number, MH_SHAPE_ARRAY, 3, 1);
          spec->image_gb = 0.01;
          spec->estimated_run_us = 2 * MH_SECOND_US;
          spec->deadline_us = MH_SECOND_US / 2;
          simulation_submit (simulation, spec, 2);
        }
      if (step == 12)
        {
          simulation->cloud->max_machines = 20;
          for (guint i = 0; i < 2; i++)
            ((Machine *)g_ptr_array_index (simulation->cloud->machines, i))->hung_until_us
                = simulation->clock->now_us + 300 * MH_SECOND_US;
        }
      simulation_run_until (simulation, 1, is_release_of_silent_machine_logged, NULL);
    }
  g_assert_true (is_release_of_silent_machine_logged (simulation, NULL));
  guint64 created_before = simulation->cloud->machines_created;
  simulation_run (simulation, 1.5);
  g_assert_cmpuint (simulation->cloud->machines_created, >, created_before);
}

/* A job is placed only after its submission is durable. Before that no machines may be created for
   it, since it fits on a machine that exists and has room. */
static void
test_no_machine_for_undurable_job (Simulation *simulation)
{
  start_service (simulation, 1, 1);
  simulation_run (simulation, 5);
  guint64 created_before = simulation->cloud->machines_created;
  ControllerNode *leader = simulation_leader (simulation);
  leader->hold_writes = true;
  User *user = simulation_submit (simulation, job_spec_new (2, MH_SHAPE_ARRAY, 4, 1), 2);
  simulation_run (simulation, 3);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, created_before);
  while (simulation->network->held_writes->len)
    outgoing_calls_release_write (simulation, true);
  leader->hold_writes = false;
  WAIT (simulation, 60, is_reported_done, user);
  g_assert_cmpuint (simulation->cloud->machines_created, ==, created_before);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  simulation_test_add ("/placement/quota-with-unreachable-machine", 10,
                       test_quota_with_unreachable_machine);
  simulation_test_add ("/placement/spread", 19, test_spread);
  simulation_test_add ("/placement/spread-four-zones", 36, test_spread_four_zones);
  simulation_test_add ("/placement/guarantee", 20, test_guarantee);
  simulation_test_add ("/placement/no-preemption-cycle", 21, test_no_preemption_cycle);
  simulation_test_add ("/placement/images-on-separate-machines", 37,
                       test_images_on_separate_machines);
  simulation_test_add ("/placement/single-preemption-for-replica", 43,
                       test_single_preemption_for_replica);
  simulation_test_add ("/placement/lost-capacity-is-replaced", 46, test_lost_capacity_is_replaced);
  simulation_test_add ("/placement/no-machine-for-undurable-job", 81,
                       test_no_machine_for_undurable_job);
  return g_test_run ();
}
