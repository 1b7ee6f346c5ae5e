/* A node on which a controller runs, or which is down: its clocks, the requests that wait for its
   responses, and the faults that a test gives it. */
#pragma once

#include "stand-in/controller.h"

typedef struct Simulation Simulation;
typedef struct ControllerNode ControllerNode;
typedef struct PendingRequest PendingRequest;

/** PendingRequestResponseFunc: @action: the controller's response to @request */
typedef void (*PendingRequestResponseFunc) (ControllerNode *node, const PendingRequest *request,
                                            const MhAction *action);

/**
 * PendingRequest:
 * @on_response: called with the response
 * @data: of the sender
 * @free_data: (nullable): frees @data
 * @verb: of a user's request
 * @job_id: (nullable): of a user's request; owned
 * @spec: (nullable): of a submission; owned
 * @sent_us: when it was sent
 *
 * A request to a controller that has not been answered yet.
 */
struct PendingRequest
{
  PendingRequestResponseFunc on_response;
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
 * @name: of the node in the settings
 * @settings: of its controller; owned
 * @version: that its next process runs
 * @controller: (nullable): %NULL: down
 * @incarnation: number of its process; responses to calls of earlier processes are dropped
 * @wake_count: how often its timer has fired
 * @worker_calls_in_flight: direct calls to workers that wait for a response
 * @peak_worker_calls: highest value of @worker_calls_in_flight so far
 * @clock_drift: rate error of its monotonic clock, as a fraction
 * @pending_requests: id of the request -> PendingRequest
 * @next_wake_us: when its timer fires; %G_MAXINT64: not set
 * @store_cut_until_us: partitioned from the key-value store until then
 * @peers_cut_until_us: partitioned from the other nodes until then
 * @workers_cut_until_us: partitioned from the workers until then: heartbeats are lost, and commands
 *   arrive when the partition ends
 * @writes_lost_until_us: until then its transactions do not reach the key-value store
 * @write_responses_lost_until_us: until then its transactions are applied, but the responses are
 *   lost
 * @hold_writes: its transactions are held until the test releases them
 * @store_rejects_until_us: until then the key-value store answers 503 to this node, but not to the
 *   others
 * @key_lists_lost_until_us: until then its requests for lists of keys get no response
 * @heartbeats_lost_until_us: until then no heartbeat reaches it
 * @paused_until_us: its process is paused until then, while its clocks run on; events for it are
 *   delayed until then
 * @input_unread_since_us: messages of workers that arrived since then may be unread, and its
 * process knows that; 0: all are read
 * @preemption_site_us: how long it is paused for each machine that it examines for a preemption,
 *   because that takes processor time; 0: not
 * @preemption_sites: machines that it had examined at the last input
 * @store_connections: that its HTTP client opens to the key-value store; further calls wait for
 * one, in the order in which they were sent; 0: no limit
 * @store_calls_in_flight: calls to the key-value store that have a connection, if there is a limit
 * @waiting_store_calls: (element-type OutgoingCall): that wait for a connection
 * @waiting_call_us: how long it is paused for each call that waits, whenever a call has ended,
 *   because its HTTP client examines all of them; 0: not
 * @pause_before_acting_us: it is paused for that long after the next input, before it carries out
 *   the actions that the input caused; 0: not
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
  gint64 write_responses_lost_until_us;
  bool hold_writes;
  gint64 store_rejects_until_us;
  gint64 key_lists_lost_until_us;
  gint64 heartbeats_lost_until_us;
  gint64 paused_until_us;
  gint64 pause_before_acting_us;
  gint64 input_unread_since_us;
  double preemption_site_us;
  guint64 preemption_sites;
  guint store_connections, store_calls_in_flight;
  GQueue waiting_store_calls;
  double waiting_call_us;
};

/**
 * controller_node_init:
 * @settings: (transfer full): of its controller
 *
 * Initializes a node that is down, and draws its clock drift.
 */
void
controller_node_init (ControllerNode *node, Simulation *simulation, guint index,
                      MhSettings *settings);
/** controller_node_clear: Stops the node and frees its parts. */
void
controller_node_clear (ControllerNode *node);
/** controller_node_start: Starts the node's process. Does nothing if it runs. */
void
controller_node_start (ControllerNode *node);
/** controller_node_stop: Ends the node's process. Pending requests get no response. */
void
controller_node_stop (ControllerNode *node);
/** controller_node_now: Returns: the present time on its clocks; draws the jitter at random */
MhNow
controller_node_now (ControllerNode *node);
/** controller_node_is_paused: Returns: whether the node is paused now */
bool
controller_node_is_paused (const ControllerNode *node);
/** controller_node_drain: Carries out the controller's actions, and sets the timer. */
void
controller_node_drain (ControllerNode *node);
/**
 * controller_node_user_request:
 * @request: (transfer full): with the verb, the id of the job and the spec of a submission
 * @forwarded: it comes from another controller
 */
void
controller_node_user_request (ControllerNode *node, PendingRequest *request, bool forwarded);
/**
 * controller_node_heartbeat:
 * @request: (transfer full): waits for the response
 *
 * Delivers a heartbeat.
 */
void
controller_node_heartbeat (ControllerNode *node, PendingRequest *request, const MhValue *heartbeat);
/** controller_node_leads: Returns: whether its controller leads now; the controller must run */
bool
controller_node_leads (ControllerNode *node);
/** job_spec_copy: Returns: (transfer full): a copy by way of encoding and decoding, as the wire
 * makes it */
MhJobSpec *
job_spec_copy (const MhJobSpec *spec);
