/* What scenarios wait for and begin with, and the fixture that they run in. */
#pragma once

#include "stand-in/simulation.h"

/** SimulationTest: A scenario: @simulation is new; afterwards its rules are checked, and it is
 * freed. */
typedef void (*SimulationTest) (Simulation *simulation);

/** simulation_test_add: Adds the GTest case of that path, which runs @test with a seed of its own.
 */
void
simulation_test_add (const char *path, guint32 seed, SimulationTest test);

/** WAIT: Runs the simulation until the condition holds, and fails when @seconds have passed. */
#define WAIT(simulation, seconds, what, data)                                                      \
  g_assert_true (simulation_run_until (simulation, seconds, what, data))

/* ---- conditions for WAIT ---- */

/** told_done: @data: a User, who was told that the job is done */
bool
is_reported_done (Simulation *simulation, gpointer data);
/** told_cancelled: @data: a User, who was told that the job is cancelled */
bool
is_reported_cancelled (Simulation *simulation, gpointer data);
/** all_run: @data: a User; all tasks of the job are on machines */
bool
all_tasks_running (Simulation *simulation, gpointer data);
/** all_done: @data: a User; all tasks of the job have ended, whoever knows it */
bool
all_tasks_done (Simulation *simulation, gpointer data);
/** accepted: @data: a User, who was told that the job is accepted */
bool
is_accepted (Simulation *simulation, gpointer data);
/** gang_runs: @data: a User; the gang runs as a whole */
bool
is_gang_running (Simulation *simulation, gpointer data);
/** has_leader: @data: unused; a controller's lease is valid */
bool
has_leader (Simulation *simulation, gpointer data);
/** is_gone: @data: a Machine, which the cloud has again */
bool
is_removed (Simulation *simulation, gpointer data);

/* ---- what scenarios begin with ---- */

/** simulation_worker: Returns: the worker of the machine that was rented as number @index */
Worker *
worker_by_index (Simulation *simulation, guint index);
/** worker_of: Returns: (nullable): the worker that holds the task, "JOB/INDEX" */
Worker *
worker_with_task (Simulation *simulation, const char *task_id);
/** add_small_machines: Machines of four cpus, all in zone a. */
void
add_small_machines (Simulation *simulation, guint count);
/** running_service: Returns: the user of a service, all of whose tasks are on machines */
User *
start_service (Simulation *simulation, guint number, guint tasks);
/**
 * running_array: Returns: the user of a job array, all of whose tasks are on machines
 *
 * It is expected to run for long, so that none of its tasks waits for another.
 */
User *
start_array (Simulation *simulation, guint number, guint tasks, double run_s);
/** use_small_machines: The job runs on machines of that type alone. */
void
require_small_machines (MhJobSpec *spec);
/** gang_spec: Returns: (transfer full): a gang in one zone that saves its progress */
MhJobSpec *
gang_spec_new (guint number, guint tasks, double cpus);
/** running_gang: Returns: the user of a gang that runs */
User *
start_gang (Simulation *simulation, guint number, guint tasks, double cpus, double run_s);
/** gang_on_small_machines: A gang of four tasks, two to a machine; no other machine can be rented.
 */
User *
submit_gang_on_small_machines (Simulation *simulation, guint machines, double run_s);

/* ---- the end ---- */

/** wait_all: Until every job is settled; none may wait beside free room meanwhile. */
void
wait_until_all_settled (Simulation *simulation, double seconds);
/** finish: No rule was broken; frees the simulation. For scenarios that make their own. */
void
simulation_check_and_free (Simulation *simulation);
