/* Shared steps of the scenarios: conditions to wait for, starting points, and the fixture that
   every scenario runs in. */
#pragma once

#include "stand-in/simulation.h"

/** SimulationTest: A scenario. @simulation is new. The fixture checks its rules and frees it when
 * the scenario returns. */
typedef void (*SimulationTest) (Simulation *simulation);

/** simulation_test_add: Adds the GTest case @path, which runs @test on a simulation with @seed. */
void
simulation_test_add (const char *path, guint32 seed, SimulationTest test);

/** WAIT: Runs the simulation until the @condition holds for @data. Fails after @seconds. */
#define WAIT(simulation, seconds, condition, data)                                                 \
  g_assert_true (simulation_run_until (simulation, seconds, condition, data))

/* ---- conditions for WAIT ---- */

/** is_reported_done: @data: a User; a response has reported its job as done */
bool
is_reported_done (Simulation *simulation, gpointer data);
/** is_reported_cancelled: @data: a User; a response has reported its job as cancelled */
bool
is_reported_cancelled (Simulation *simulation, gpointer data);
/** all_tasks_running: @data: a User; every task of its job is on a machine and has not ended */
bool
all_tasks_running (Simulation *simulation, gpointer data);
/** all_tasks_done: @data: a User; every task of its job has run to its end, whether or not a
 * controller knows */
bool
all_tasks_done (Simulation *simulation, gpointer data);
/** is_accepted: @data: a User; a response has accepted its job */
bool
is_accepted (Simulation *simulation, gpointer data);
/** is_gang_running: @data: a User; an attempt of its gang runs with all its tasks */
bool
is_gang_running (Simulation *simulation, gpointer data);
/** has_leader: @data: unused; a controller holds a valid leader lease */
bool
has_leader (Simulation *simulation, gpointer data);
/** is_removed: @data: a Machine, which was released or preempted */
bool
is_removed (Simulation *simulation, gpointer data);

/* ---- starting points ---- */

/** worker_by_index: Returns: the worker of the machine that was created as number @index, from 0 */
Worker *
worker_by_index (Simulation *simulation, guint index);
/** worker_with_task: Returns: (nullable): the first worker whose machine lists the task "JOB/INDEX"
 */
Worker *
worker_with_task (Simulation *simulation, const char *task_id);
/** add_small_machines: Adds on-demand machines with 4 CPUs each in zone a. */
void
add_small_machines (Simulation *simulation, guint count);
/** start_service: Submits a service and waits until all its tasks are on machines. Returns: its
 * user */
User *
start_service (Simulation *simulation, guint number, guint tasks);
/**
 * start_array: Submits an array and waits until all its tasks are on machines.
 *
 * The estimated run time of the job is 300 s, so that no task is left to wait until another one has
 * ended.
 *
 * Returns: its user
 */
User *
start_array (Simulation *simulation, guint number, guint tasks, double run_s);
/** require_small_machines: Allows the job on machines of the type "small" only. */
void
require_small_machines (MhJobSpec *spec);
/** gang_spec_new: Returns: (transfer full): a gang that runs in a single zone and saves checkpoints
 */
MhJobSpec *
gang_spec_new (guint number, guint tasks, double cpus);
/** start_gang: Submits a gang and waits until it runs. Returns: its user */
User *
start_gang (Simulation *simulation, guint number, guint tasks, double cpus, double run_s);
/** submit_gang_on_small_machines: Submits a gang of 4 tasks of 2 CPUs, two to a machine, and adds
 * @machines small machines. No other machine can be created. Returns: its user */
User *
submit_gang_on_small_machines (Simulation *simulation, guint machines, double run_s);

/* ---- end of a scenario ---- */

/** wait_until_all_settled: Runs until every job is settled, and checks each second that no job
 * waits although a machine has room. Fails after @seconds. */
void
wait_until_all_settled (Simulation *simulation, double seconds);
/** simulation_check_and_free: Asserts that no rule was violated, and frees the simulation. For
 * scenarios that create their own. */
void
simulation_check_and_free (Simulation *simulation);
