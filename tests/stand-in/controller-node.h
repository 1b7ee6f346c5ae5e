/* A node on which a controller runs, or is down: its clock, what waits for its answers, and the
   faults that a test gives it. */
#pragma once

#include "stand-in/controller.h"

typedef struct Simulation Simulation;
typedef struct ControllerNode ControllerNode;
typedef struct PendingRequest PendingRequest;

/** PendingRequestAnswered: @action: the controller's answer to @request */
typedef void (*PendingRequestAnswerFunc) (ControllerNode *node, const PendingRequest *request,
                                          const MhAction *action);

/**
 * PendingRequest:
 * @answered: called with the answer
 * @data: of the sender
 * @free_data: (nullable): for @data
 * @verb: of a user's request
 * @job_id: (nullable): of a user's request; owned
 * @spec: (nullable): of a submission; owned
 * @sent_us: when it was sent
 *
 * A request to a controller that has not been answered.
 */
struct PendingRequest
{
  PendingRequestAnswerFunc on_answer;
  gpointer data;
  GDestroyNotify free_data;
  MhUserVerb verb;
  char *job_id;
  MhJobSpec *spec;
  gint64 sent_us;
};

/**
 * ControllerNode:
 * @simulation: that it is part of
 * @index: of the node
 * @name: that the members know it by
 * @settings: of its controller; owned
 * @version: that it has when it starts again
 * @controller: (nullable): %NULL: down
 * @incarnation: which process of this node it is
 * @wake_count: how often a timer woke it
 * @worker_calls: direct calls to workers that are under way
 * @peak_worker_calls: the most that ever were
 * @clock_drift: its clock's, as a share
 * @pending: request's id -> PendingRequest
 * @next_wake_us: of its timer; %G_MAXINT64: not set
 * @store_cut_until_us: cut off from the key-value store until then
 * @peers_cut_until_us: cut off from the other nodes until then
 * @workers_cut_until_us: cut off from the workers until then
 * @writes_lost_until_us: its transactions are lost on the way until then
 * @write_answers_lost_until_us: they are carried out, and their answers are lost, until then
 * @hold_writes: its transactions arrive only when the test releases them
 * @store_refuses_until_us: the key-value store refuses this node alone (503) until then
 * @key_lists_lost_until_us: its lists of keys get no answer until then
 * @reports_lost_until_us: no worker's report reaches it until then
 * @frozen_until_us: stands still until then, while its clocks run on; what comes meanwhile waits
 * @freeze_before_acting_us: stands still for so long between its next input and what it decides
 */
struct ControllerNode
{
  Simulation *simulation;
  guint index;
  char *name;
  MhSettings *settings;
  ControllerVersion version;
  Controller *controller;
  guint incarnation;
  guint wake_count;
  guint worker_calls_in_flight, peak_worker_calls;
  double clock_drift;
  GHashTable *pending_requests;
  gint64 next_wake_us;
  gint64 store_cut_until_us;
  gint64 peers_cut_until_us;
  gint64 workers_cut_until_us;
  gint64 writes_lost_until_us;
  gint64 write_answers_lost_until_us;
  bool hold_writes;
  gint64 store_rejects_until_us;
  gint64 key_lists_lost_until_us;
  gint64 heartbeats_lost_until_us;
  gint64 frozen_until_us;
  gint64 freeze_before_acting_us;
};

/** controller_node_init: Down, with a clock of its own. @settings: (transfer full): */
void
controller_node_init (ControllerNode *node, Simulation *simulation, guint index,
                      MhSettings *settings);
/** controller_node_clear: Stops it, and frees what it holds. */
void
controller_node_clear (ControllerNode *node);
/** controller_node_start: Does nothing if it is up. */
void
controller_node_start (ControllerNode *node);
/** controller_node_stop: Its process ends; what waits for answers gets none. */
void
controller_node_stop (ControllerNode *node);
/** controller_node_now: Returns: its clocks now; draws the jitter */
MhNow
controller_node_now (ControllerNode *node);
/** controller_node_is_frozen: Returns: whether it stands still now */
bool
controller_node_is_frozen (const ControllerNode *node);
/** controller_node_drain: Carries out what the controller decided, and sets its timer. */
void
controller_node_drain (ControllerNode *node);
/**
 * controller_node_user_request:
 * @request: (transfer full): with the verb, the job's id and the spec of a submission
 * @forwarded: it comes from another controller
 */
void
controller_node_user_request (ControllerNode *node, PendingRequest *request, bool forwarded);
/** controller_node_report: @request: (transfer full): waits for the response to @report */
void
controller_node_heartbeat (ControllerNode *node, PendingRequest *request, const MhValue *report);
/** controller_node_leads: Returns: whether its controller, which runs, is the leader now */
bool
controller_node_leads (ControllerNode *node);
/** job_spec_copy: Returns: (transfer full): as it is after a way over the wire */
MhJobSpec *
job_spec_copy (const MhJobSpec *spec);
