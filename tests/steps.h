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
worker_of (Sim *sim, const char *leg);
SimUser *
running_service (Sim *sim, guint number, guint tasks);
/* The last step: no rule was broken. */
void
finish (Sim *sim);
