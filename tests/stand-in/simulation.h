/* Several controllers, everything outside them, workers and users on one fake clock. Every delay
   and every fault comes from a seed or from the test: the same seed is the same run. */
#pragma once

#include "stand-in/controller-node.h"
#include "stand-in/environment.h"
#include "stand-in/fake-clock.h"
#include "stand-in/network.h"
#include "stand-in/outgoing-call.h"
#include "stand-in/user.h"
#include "stand-in/worker.h"

#define SIMULATION_NODES 3

/**
 * Simulation:
 * @settings: of the services and the workers; the nodes have their own
 * @clock: the time, and what happens next
 * @random: source of all chance
 * @environment: everything outside of the controllers
 * @store: the environment's
 * @cloud: the environment's
 * @rules: the environment's
 * @network: how unreliable it is
 * @nodes: where the controllers run
 * @workers: (element-type Worker): one a machine, in the order of the cloud's machines
 * @users: (element-type User): in the order of submission
 * @cancel_at_end_probability: that a job is cancelled at the moment at which it ends
 * @log_lines: (element-type utf8): of all controllers
 * @digest: (nullable): takes in what leaves the controllers; not owned
 */
struct Simulation
{
  MhSettings *settings;
  FakeClock *clock;
  GRand *random;
  Environment *environment;
  KeyValueStore *store;
  Cloud *cloud;
  RuleChecks *rules;
  Network *network;
  ControllerNode nodes[SIMULATION_NODES];
  GPtrArray *workers;
  GPtrArray *users;
  double cancel_at_end_probability;
  GPtrArray *log_lines;
  GChecksum *digest;
};

/** SimulationCondition: Returns: whether it holds now */
typedef bool (*SimulationCondition) (Simulation *simulation, gpointer data);

/** simulation_new: Returns: (transfer full): with all controllers started, and no machine yet */
Simulation *
simulation_new (guint32 seed);
/** simulation_free: @simulation: with all its parts */
void
simulation_free (Simulation *simulation);
/** simulation_limit: What the store takes, and what all controllers are told; those start again. */
void
simulation_set_store_limits (Simulation *simulation, guint value_bytes, guint txn_ops);
/** simulation_run: Lets so many seconds pass. */
void
simulation_run (Simulation *simulation, double seconds);
/** simulation_until: Runs until @condition holds. Returns: false when @seconds have passed */
bool
simulation_run_until (Simulation *simulation, double seconds, SimulationCondition condition,
                      gpointer data);
/** simulation_stop_node: Its process ends. */
void
simulation_stop_node (Simulation *simulation, guint node);
/** simulation_start_node: Does nothing if it is up. */
void
simulation_start_node (Simulation *simulation, guint node);
/** simulation_restart_node: It ends, and is back after @seconds with that version. */
void
simulation_restart_node (Simulation *simulation, guint node, ControllerVersion version,
                         double seconds);
/** simulation_freeze_node: It stands still for @seconds, while its clocks run on. */
void
simulation_freeze_node (Simulation *simulation, guint node, double seconds);
/** simulation_node_named: Returns: (nullable): the node of that name */
ControllerNode *
simulation_node_named (Simulation *simulation, const char *name);
/** simulation_leader: Returns: (nullable): whose lease is valid; asserts that there is at most one
 */
ControllerNode *
simulation_leader (Simulation *simulation);
/** simulation_running_tasks: Returns: how many tasks of the job have not ended on any machine */
guint
simulation_running_tasks (const Simulation *simulation, const char *job_id);
/** simulation_all_settled: A SimulationCondition: every job has come to its end, or runs for ever.
 */
bool
simulation_all_settled (Simulation *simulation, gpointer unused);
/** simulation_log: A controller logs a line. */
void
simulation_log (Simulation *simulation, const char *node, const char *text);
/** simulation_logged: Returns: whether a log line has that part */
bool
simulation_has_logged (const Simulation *simulation, const char *part);
/** simulation_prints_log: Returns: whether the environment (SIMULATION_LOG) asks for the log */
bool
simulation_prints_log (void);
/** simulation_assert_rules: No rule was broken so far. */
void
simulation_assert_rules (const Simulation *simulation);
