/* The heartbeats of a machine's worker: when they are sent, to which node, and the faults that a
   test gives the worker's connections. */
#pragma once

#include "stand-in/controller-node.h"
#include "stand-in/machine.h"

/**
 * Worker:
 * @simulation: that it is part of
 * @machine: that it runs on
 * @target_node: index of the node that gets its next heartbeat
 * @next_heartbeat_us: when its next heartbeat is due
 * @heartbeat_sent_us: when it sent the last heartbeat
 * @heartbeat_in_flight: it waits for the response to the last heartbeat
 * @heartbeat_number: number of the last heartbeat
 * @last_sent_state_hash: hash of the state that the last heartbeat reported
 * @cut_until_us: partitioned from all nodes until then: heartbeats and commands arrive when the
 *   partition ends, and responses are lost
 * @heartbeats_lost_until_us: sends no heartbeat until then
 * @responses_lost_until_us: until then its heartbeats arrive, but no response or command reaches it
 * @sole_node: index of the node that the worker does not leave when a response is missing; -1: none
 * @sole_node_until_us: until then no response makes the worker leave @sole_node either, and
 *   commands of other nodes do not reach it; afterwards @sole_node has no effect. 0: @sole_node
 *   applies to missing responses alone, for ever
 */
typedef struct
{
  Simulation *simulation;
  Machine *machine;
  guint target_node;
  gint64 next_heartbeat_us;
  gint64 heartbeat_sent_us;
  bool heartbeat_in_flight;
  guint heartbeat_number;
  guint64 last_sent_state_hash;
  gint64 cut_until_us;
  gint64 heartbeats_lost_until_us;
  gint64 responses_lost_until_us;
  gint sole_node;
  gint64 sole_node_until_us;
} Worker;

/** workers_adopt_machines: Adds a worker for each machine that has none. */
void
workers_adopt_machines (Simulation *simulation);
/** worker_by_endpoint: Returns: (nullable): the worker with that endpoint */
Worker *
worker_by_endpoint (Simulation *simulation, const char *endpoint);
/** worker_unreachable_until: Returns: when the last fault ends that keeps the node's commands from
 * the worker; may be in the past */
gint64
worker_unreachable_until (const Worker *worker, const ControllerNode *node);
/** workers_deliver_late_heartbeat: Delivers an old heartbeat to a node, as if the network had
 * delayed it. */
void
workers_deliver_late_heartbeat (Simulation *simulation, ControllerNode *node,
                                const MhValue *heartbeat);
