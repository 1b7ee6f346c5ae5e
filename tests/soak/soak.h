/* One run of the soak: three real controllers with a proxy for each link, users who ask at all of
   them throughout, random faults, then a time without faults. */
#pragma once

#include "loopback-cluster.h"
#include "soak/link-proxy.h"

/**
 * SoakOptions:
 * @program: path of the program
 * @seed: of the workload and the schedule of faults, not of the timing of the processes
 * @seconds: how long there are faults
 * @workers: machines at the start
 * @keep_dir: (nullable): directory for the logs and the history
 */
typedef struct
{
  const char *program;
  guint32 seed;
  guint seconds;
  guint workers;
  const char *keep_dir;
} SoakOptions;

/**
 * Soak:
 * @options: of this run
 * @settings: of the controllers, as LoopbackOptions has them
 * @cluster: the controllers and stand-ins
 * @random: the source of the workload and the schedule
 * @store_links: of each controller to the key-value store
 * @peer_links: by the controller that connects, then by the one that it connects to
 * @users: (element-type SoakUser): in the order of submission
 * @faults: (element-type SoakFault): in the order of their beginning
 * @history: (element-type utf8): what happened, with the time since the start
 * @started_us: when the run started
 * @calm_since_us: when the last fault ended; 0: not yet
 * @answers, @unanswered: requests of users with and without a useful response
 * @lag_us: longest delay of the program's own timer, in microseconds
 * @max_sockets, @max_memory_kb: highest use of one controller
 */
typedef struct
{
  SoakOptions options;
  char *settings;
  LoopbackCluster *cluster;
  GRand *random;
  LinkProxy *store_links[LOOPBACK_NODES];
  LinkProxy *peer_links[LOOPBACK_NODES][LOOPBACK_NODES];
  GPtrArray *users;
  GPtrArray *faults;
  GPtrArray *history;
  gint64 started_us;
  gint64 calm_since_us;
  guint answers, unanswered;
  gint64 lag_us;
  guint max_sockets;
  guint max_memory_kb;
} Soak;

/** soak_log: Appends a line to the history. */
void
soak_log (Soak *soak, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** soak_run: Plays one run and prints a line about it. Once in a process: users go on asking.
 * Returns: whether all checks hold */
bool
soak_run (const SoakOptions *options);

/* ---- users (soak-users.c) ---- */

/** soak_users_start: Draws the jobs and lets their users begin. */
void
soak_users_start (Soak *soak);
/** soak_users_check: Checks that every accepted job is answered. To be called once a second. */
void
soak_users_check (Soak *soak);
/** soak_users_all_settled: Returns: whether every user knows the end of its job, and was answered
 * since the last fault */
bool
soak_users_all_settled (const Soak *soak);

/* ---- faults (soak-faults.c) ---- */

/** soak_faults_draw: Draws the schedule of faults. */
void
soak_faults_draw (Soak *soak);
/** soak_faults_step: Begins and ends the faults that are due. Returns: whether all have ended */
bool
soak_faults_step (Soak *soak);

/* ---- processes (soak-processes.c) ---- */

/** soak_processes_check: Checks that no controller ended by itself or uses more sockets or memory
 * than it may. */
void
soak_processes_check (Soak *soak);
