/* A simulation: several controllers, their environment, workers and users on one fake clock. Every
   delay and every fault comes from a seed or from the test, so that the same seed gives the same
   run. */
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
 * @settings: of the environment and the workers; each node has its own
 * @clock: the simulated time and the queue of events
 * @random: the only source of randomness
 * @environment: everything outside the controllers
 * @store: owned by @environment
 * @cloud: owned by @environment
 * @rules: owned by @environment
 * @network: its probabilities of faults, and the messages that it holds
 * @nodes: on which the controllers run
 * @workers: (element-type Worker): one for each machine, in the order of the cloud's machines
 * @users: (element-type User): in the order of submission
 * @cancel_at_end_probability: that a user cancels its job when its last task ends
 * @log_lines: (element-type utf8): of all controllers
 * @digest: (nullable): hashes every action of the controllers; not owned
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

/** SimulationCondition: Returns: whether the condition holds now */
typedef bool (*SimulationCondition) (Simulation *simulation, gpointer data);

/** simulation_new: Returns: (transfer full): a simulation in which all controllers run and no
 * machine exists */
Simulation *
simulation_new (guint32 seed);
/** simulation_free: Frees @simulation with all its parts. */
void
simulation_free (Simulation *simulation);
/** simulation_set_store_limits: Sets the limits of the store on values and transactions, also in
 * the settings of all controllers, which are restarted. */
void
simulation_set_store_limits (Simulation *simulation, guint value_bytes, guint txn_ops);
/** simulation_run: Runs for that many seconds of simulated time. */
void
simulation_run (Simulation *simulation, double seconds);
/** simulation_run_until: Runs until @condition holds. Returns: false if it does not hold after
 * @seconds */
bool
simulation_run_until (Simulation *simulation, double seconds, SimulationCondition condition,
                      gpointer data);
/** simulation_stop_node: Ends the node's process. */
void
simulation_stop_node (Simulation *simulation, guint node);
/** simulation_start_node: Starts the node's process. Does nothing if it runs. */
void
simulation_start_node (Simulation *simulation, guint node);
/** simulation_restart_node: Stops the node, and starts it after @seconds with that version. */
void
simulation_restart_node (Simulation *simulation, guint node, ControllerVersion version,
                         double seconds);
/** simulation_pause_node: Pauses the node for @seconds: it executes nothing while its clocks run
 * on. */
void
simulation_pause_node (Simulation *simulation, guint node, double seconds);
/** simulation_node_named: Returns: (nullable): the node with that name */
ControllerNode *
simulation_node_named (Simulation *simulation, const char *name);
/** simulation_leader: Returns: (nullable): the node whose leader lease is valid. Asserts that there
 * is at most one. */
ControllerNode *
simulation_leader (Simulation *simulation);
/** simulation_running_tasks: Returns: how many tasks of the job are on machines and have not ended
 */
guint
simulation_running_tasks (const Simulation *simulation, const char *job_id);
/** simulation_all_settled: A SimulationCondition: for every job, its user knows the outcome, or the
 * job has no end and all its tasks run. */
bool
simulation_all_settled (Simulation *simulation, gpointer unused);
/** simulation_log: Records a log line of a controller. */
void
simulation_log (Simulation *simulation, const char *node, const char *text);
/** simulation_has_logged: Returns: whether a log line contains @part */
bool
simulation_has_logged (const Simulation *simulation, const char *part);
/** simulation_prints_log: Returns: whether the environment variable SIMULATION_LOG asks for the log
 * on standard output */
bool
simulation_prints_log (void);
/** simulation_assert_rules: Asserts that no rule was violated so far, and prints the violations. */
void
simulation_assert_rules (const Simulation *simulation);
