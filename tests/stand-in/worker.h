/* The heartbeats of a machine's worker: when it reports, to which node, and the faults that a test
   gives its connections. */
#pragma once

#include "stand-in/controller-node.h"
#include "stand-in/machine.h"

/**
 * Worker:
 * @simulation: that it is part of
 * @machine: that it runs on
 * @node: index of the node that it reports to next
 * @next_report_us: when its next report is due
 * @report_sent_us: when it sent the last one
 * @report_in_flight: it waits for a response to that
 * @report_number: of the last report
 * @reported_state: hash of what the last report said
 * @cut_until_us: without network until then
 * @reports_lost_until_us: sends no report until then
 * @answers_lost_until_us: its reports arrive, but no answer or command reaches it until then
 * @only_node: reports to this node alone; -1: to any
 * @only_until_us: ... and no other's commands reach it until then
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
  gint64 answers_lost_until_us;
  gint sole_node;
  gint64 sole_node_until_us;
} Worker;

/** workers_adopt_machines: Machines that are new get a worker. */
void
workers_adopt_machines (Simulation *simulation);
/** worker_by_endpoint: Returns: (nullable): the worker that is called at that endpoint */
Worker *
worker_by_endpoint (Simulation *simulation, const char *endpoint);
/** worker_unreachable_until: Returns: until when no command of the node reaches it; may be past */
gint64
worker_unreachable_until (const Worker *worker, const ControllerNode *node);
/** workers_deliver_late_report: Hands a report to a node, as if it had been on its way for long. */
void
workers_deliver_late_heartbeat (Simulation *simulation, ControllerNode *node,
                                const MhValue *heartbeat);
