#include "stand-in/worker.h"

#include "stand-in/simulation.h"

#include <string.h>

#define WORKER_TICK_US 100000
#define HEARTBEAT_TIMEOUT_US (4 * MH_SECOND_US)
#define RETRY_DELAY_US MH_SECOND_US
#define REDIRECT_DELAY_US 10000
#define STATUS_OTHER_LEADER 421
/* A change of state is sent at once if the last heartbeat was sent more than MIN_CHANGE_INTERVAL_US
   ago and the next one is due within MAX_SHORTENED_DELAY_US. */
#define MIN_CHANGE_INTERVAL_US (MH_SECOND_US / 2)
#define MAX_SHORTENED_DELAY_US (3 * MH_SECOND_US)

/* A heartbeat in flight, and then the response to it. */
typedef struct
{
  Worker *worker;
  guint node;
  guint number;        /* 0: a duplicate, whose response is ignored */
  guint64 incarnation; /* incarnation of the worker that sent it */
  gint64 sent_us;
  MhValue *body;
  guint status;
} SentHeartbeat;

static void
sent_heartbeat_free (gpointer data)
{
  SentHeartbeat *heartbeat = data;
  mh_value_unref (heartbeat->body);
  g_free (heartbeat);
}

static gint64
now_us_of (const Worker *worker)
{
  return worker->simulation->clock->now_us;
}

/* ---- target node ---- */

/* Returns the index of the only node that the worker can reach now; -1: it can reach all. */
static gint
sole_reachable_node (const Worker *worker)
{
  return worker->sole_node_until_us > now_us_of (worker) ? worker->sole_node : -1;
}

static void
try_next_node (Worker *worker)
{
  worker->target_node = (worker->target_node + 1) % SIMULATION_NODES;
}

static void
schedule_heartbeat (Worker *worker, gint64 in_us)
{
  worker->heartbeat_in_flight = false;
  worker->next_heartbeat_us = now_us_of (worker) + in_us;
}

gint64
worker_unreachable_until (const Worker *worker, const ControllerNode *node)
{
  gint64 until_us = MAX (worker->machine->hung_until_us,
                         MAX (worker->cut_until_us, node->workers_cut_until_us));
  if (worker->sole_node >= 0 && (guint)worker->sole_node != node->index)
    until_us = MAX (until_us, worker->sole_node_until_us);
  return until_us;
}

Worker *
worker_by_endpoint (Simulation *simulation, const char *endpoint)
{
  for (guint i = 0; i < simulation->workers->len; i++)
    {
      Worker *worker = g_ptr_array_index (simulation->workers, i);
      if (strcmp (worker->machine->endpoint, endpoint) == 0)
        return worker;
    }
  return NULL;
}

/* ---- responses ---- */

static bool
is_awaiting_response (const Worker *worker, const SentHeartbeat *heartbeat)
{
  return worker->heartbeat_in_flight && worker->heartbeat_number == heartbeat->number
         && now_us_of (worker) <= heartbeat->sent_us + HEARTBEAT_TIMEOUT_US;
}

/* Returns whether a response that arrives now reaches the worker. Otherwise it is lost, because it
   would come too late when the fault ends. */
static bool
can_receive (const Worker *worker)
{
  gint64 now_us = now_us_of (worker);
  return worker->machine->hung_until_us <= now_us && worker->cut_until_us <= now_us
         && worker->responses_lost_until_us <= now_us;
}

static void
on_response (gpointer data)
{
  const SentHeartbeat *heartbeat = data;
  Worker *worker = heartbeat->worker;
  Simulation *simulation = worker->simulation;
  if (!is_awaiting_response (worker, heartbeat) || !can_receive (worker))
    return;
  g_autofree char *leader = mh_value_get_text (heartbeat->body, "dispatcher");
  const ControllerNode *node = leader ? simulation_node_named (simulation, leader) : NULL;
  if (heartbeat->status == 200)
    {
      worker_protocol_heartbeat_response (worker->machine, heartbeat->sent_us,
                                          heartbeat->incarnation, heartbeat->body);
      schedule_heartbeat (worker, (gint64)((double)simulation->settings->heartbeat_interval_us
                                           * g_rand_double_range (simulation->random, 0.75, 1.25)));
    }
  else if (heartbeat->status == STATUS_OTHER_LEADER && node && node->index != worker->target_node
           && sole_reachable_node (worker) < 0)
    {
      worker->target_node = node->index;
      schedule_heartbeat (worker, REDIRECT_DELAY_US);
    }
  else
    {
      if (sole_reachable_node (worker) < 0)
        try_next_node (worker);
      schedule_heartbeat (worker, RETRY_DELAY_US);
    }
}

static void
on_heartbeat_response (ControllerNode *node, const PendingRequest *request, const MhAction *action)
{
  Simulation *simulation = node->simulation;
  FakeClock *clock = simulation->clock;
  if (network_draw_loss (simulation->network))
    return;
  SentHeartbeat *response = g_memdup2 (request->data, sizeof *response);
  response->status = action->status;
  response->body = action->body ? cbor_incref (action->body) : NULL;
  fake_clock_add (clock, clock->now_us + network_draw_delay (simulation->network), on_response,
                  response, sent_heartbeat_free);
}

/* ---- heartbeats ---- */

static void
on_heartbeat_arrival (gpointer data)
{
  const SentHeartbeat *heartbeat = data;
  gint64 now_us = now_us_of (heartbeat->worker);
  ControllerNode *node = &heartbeat->worker->simulation->nodes[heartbeat->node];
  if (node->controller == NULL || node->workers_cut_until_us > now_us
      || node->heartbeats_lost_until_us > now_us)
    return;
  PendingRequest *request = g_new0 (PendingRequest, 1);
  SentHeartbeat *waiting = g_memdup2 (heartbeat, sizeof *heartbeat);
  waiting->body = NULL;
  request->on_response = on_heartbeat_response;
  request->data = waiting;
  request->free_data = sent_heartbeat_free;
  controller_node_heartbeat (node, request, heartbeat->body);
}

void
workers_deliver_late_heartbeat (Simulation *simulation, ControllerNode *node,
                                const MhValue *heartbeat)
{
  SentHeartbeat sent = { .worker = g_ptr_array_index (simulation->workers, 0),
                         .node = node->index,
                         .body = (MhValue *)heartbeat };
  on_heartbeat_arrival (&sent);
}

static void
send_heartbeat (SentHeartbeat *heartbeat, gint64 at_us)
{
  Simulation *simulation = heartbeat->worker->simulation;
  const ControllerNode *node = &simulation->nodes[heartbeat->node];
  fake_clock_add_pausable (simulation->clock, &node->paused_until_us, at_us, on_heartbeat_arrival,
                           heartbeat, sent_heartbeat_free);
}

/* Sends a copy to a random node. Its response is ignored. */
static void
send_duplicate (const SentHeartbeat *heartbeat)
{
  Simulation *simulation = heartbeat->worker->simulation;
  SentHeartbeat *copy = g_memdup2 (heartbeat, sizeof *heartbeat);
  copy->body = cbor_incref (heartbeat->body);
  copy->number = 0;
  copy->node = (guint)g_rand_int_range (simulation->random, 0, SIMULATION_NODES);
  send_heartbeat (copy,
                  simulation->clock->now_us + network_draw_duplicate_delay (simulation->network));
}

static guint64
hash_state (const Machine *machine)
{
  guint64 hash
      = machine->incarnation * 31 + machine->fencing_token + (machine->preempted_at_us ? 7 : 0);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      hash = hash * 1000003 + g_str_hash (task->task_id) + task->attempt * 7 + (guint)task->phase;
    }
  return hash;
}

static void
send_current_heartbeat (Worker *worker)
{
  Network *network = worker->simulation->network;
  gint64 now_us = now_us_of (worker);
  worker->heartbeat_in_flight = true;
  worker->heartbeat_number++;
  worker->heartbeat_sent_us = now_us;
  SentHeartbeat *heartbeat = g_new0 (SentHeartbeat, 1);
  heartbeat->worker = worker;
  heartbeat->node = worker->target_node;
  heartbeat->number = worker->heartbeat_number;
  heartbeat->incarnation = worker->machine->incarnation;
  heartbeat->sent_us = now_us;
  heartbeat->body = worker_protocol_heartbeat (worker->machine);
  worker->last_sent_state_hash = hash_state (worker->machine);
  gint64 reconnected_us = worker->cut_until_us > now_us ? worker->cut_until_us + 1000 : 0;
  gint64 arrives_us = MAX (now_us + network_draw_delay (network), reconnected_us);
  if (network_draw_duplicate (network))
    send_duplicate (heartbeat);
  if (network_draw_loss (network))
    sent_heartbeat_free (heartbeat);
  else
    send_heartbeat (heartbeat, arrives_us);
}

static bool
is_heartbeat_due (const Worker *worker)
{
  gint64 now_us = now_us_of (worker);
  if (worker->heartbeat_in_flight)
    return false;
  if (now_us >= worker->next_heartbeat_us)
    return true;
  return hash_state (worker->machine) != worker->last_sent_state_hash
         && now_us > worker->heartbeat_sent_us + MIN_CHANGE_INTERVAL_US
         && worker->next_heartbeat_us < now_us + MAX_SHORTENED_DELAY_US;
}

static void
abandon_response (Worker *worker)
{
  if (worker->sole_node < 0 || (worker->sole_node_until_us && sole_reachable_node (worker) < 0))
    try_next_node (worker);
  schedule_heartbeat (worker, RETRY_DELAY_US);
}

static void
on_worker_timer (gpointer data)
{
  Worker *worker = data;
  const Machine *machine = worker->machine;
  FakeClock *clock = worker->simulation->clock;
  if (machine->removed || machine->failed)
    return;
  fake_clock_add (clock, clock->now_us + WORKER_TICK_US, on_worker_timer, worker, NULL);
  if (!machine->running || machine->hung_until_us > clock->now_us
      || worker->heartbeats_lost_until_us > clock->now_us)
    return;
  if (worker->heartbeat_in_flight
      && clock->now_us > worker->heartbeat_sent_us + HEARTBEAT_TIMEOUT_US)
    abandon_response (worker);
  if (is_heartbeat_due (worker))
    send_current_heartbeat (worker);
}

void
workers_adopt_machines (Simulation *simulation)
{
  const GPtrArray *machines = simulation->cloud->machines;
  for (guint i = simulation->workers->len; i < machines->len; i++)
    {
      Worker *worker = g_new0 (Worker, 1);
      worker->simulation = simulation;
      worker->machine = g_ptr_array_index (machines, i);
      worker->target_node = (guint)g_rand_int_range (simulation->random, 0, SIMULATION_NODES);
      worker->sole_node = -1;
      g_ptr_array_add (simulation->workers, worker);
      fake_clock_add (simulation->clock, simulation->clock->now_us, on_worker_timer, worker, NULL);
    }
}
