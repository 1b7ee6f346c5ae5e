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

#define WAIT(simulation, seconds, what, data)                                                      \
  g_assert_true (simulation_until (simulation, seconds, what, data))

/* For simulation_until: `data` is a User, a Machine or nothing. */
bool
told_done (Simulation *simulation, gpointer data);
bool
told_cancelled (Simulation *simulation, gpointer data);
bool
all_run (Simulation *simulation, gpointer data);
bool
all_done (Simulation *simulation, gpointer data);
bool
accepted (Simulation *simulation, gpointer data);
bool
has_leader (Simulation *simulation, gpointer data);
bool
is_gone (Simulation *simulation, gpointer data);
Worker *
simulation_worker (Simulation *simulation, guint index);
Worker *
worker_of (Simulation *simulation, const char *task_id);
/* Machines of four cpus, all in zone a. */
void
add_small_machines (Simulation *simulation, guint count);
User *
running_service (Simulation *simulation, guint number, guint tasks);
/* An array that is expected to run for long, so that none of its tasks waits for another. */
User *
running_array (Simulation *simulation, guint number, guint tasks, double run_s);
/* The job runs on machines of that type alone. */
void
use_small_machines (MhJobSpec *spec);
/* A gang in one zone that saves its progress. */
MhJobSpec *
gang_spec (guint number, guint tasks, double cpus);
/* For simulation_until: the gang of a User runs. */
bool
gang_runs (Simulation *simulation, gpointer data);
User *
running_gang (Simulation *simulation, guint number, guint tasks, double cpus, double run_s);
/* A gang of four tasks, two to a machine, and no other machines can be rented. */
User *
gang_on_small_machines (Simulation *simulation, guint machines, double run_s);
/* Until every job is settled; none may wait beside free room meanwhile. */
void
wait_all (Simulation *simulation, double seconds);
/* The last step: no rule was broken. */
void
finish (Simulation *simulation);
