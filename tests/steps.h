/* What scenarios wait for and begin with. */
#pragma once

#include "stand-in/simulation.h"

#define WAIT(simulation, seconds, what, data)                                                      \
  g_assert_true (simulation_until (simulation, seconds, what, data))

/**
 * SimulationFixture:
 * @simulation: begins with the test's seed; after the test no rule may have been broken
 *
 * What a scenario runs on; see SIMULATION_TEST ().
 */
typedef struct
{
  Simulation *simulation;
} SimulationFixture;

void
simulation_fixture_set_up (SimulationFixture *fixture, gconstpointer seed);
void
simulation_fixture_tear_down (SimulationFixture *fixture, gconstpointer seed);
/* Adds a test that takes a SimulationFixture with that seed. */
#define SIMULATION_TEST(path, seed, func)                                                          \
  g_test_add (path, SimulationFixture, GUINT_TO_POINTER (seed), simulation_fixture_set_up, (func), \
              simulation_fixture_tear_down)

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
worker_of (Simulation *simulation, const char *leg);
/* Machines of four cpus, all in zone a. */
void
add_small_machines (Simulation *simulation, guint count);
User *
running_service (Simulation *simulation, guint number, guint tasks);
/* An array that is expected to run for long, so that none of its tasks waits for another. */
User *
running_array (Simulation *simulation, guint number, guint tasks, double run_s);
/* Until every job is settled; none may wait beside free room meanwhile. */
void
wait_all (Simulation *simulation, double seconds);
/* The last step: no rule was broken. */
void
finish (Simulation *simulation);
