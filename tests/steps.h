/* What scenarios wait for and begin with. */
#pragma once

#include "sim.h"

#define WAIT(sim, seconds, what, data) g_assert_true (sim_until (sim, seconds, what, data))

/* For sim_until: `data` is a SimUser, a WorldMachine or nothing. */
bool
told_done (Sim *sim, gpointer data);
bool
told_cancelled (Sim *sim, gpointer data);
bool
all_run (Sim *sim, gpointer data);
bool
all_done (Sim *sim, gpointer data);
bool
accepted (Sim *sim, gpointer data);
bool
has_leader (Sim *sim, gpointer data);
bool
is_gone (Sim *sim, gpointer data);
SimWorker *
sim_worker (Sim *sim, guint index);
SimWorker *
worker_of (Sim *sim, const char *leg);
/* Machines of four cpus, all in zone a. */
void
add_small_machines (Sim *sim, guint count);
SimUser *
running_service (Sim *sim, guint number, guint tasks);
/* An array that is expected to run for long, so that none of its tasks waits for another. */
SimUser *
running_array (Sim *sim, guint number, guint tasks, double run_s);
/* Until every job is settled; none may wait beside free room meanwhile. */
void
wait_all (Sim *sim, double seconds);
/* The last step: no rule was broken. */
void
finish (Sim *sim);
