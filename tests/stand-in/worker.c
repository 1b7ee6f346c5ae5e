#include "stand-in/worker.h"

#include "stand-in/simulation.h"

#include <string.h>

#define TURN_US 100000
#define REPORT_TIMEOUT_US (4 * MH_SECOND_US)
#define RETRY_US MH_SECOND_US
#define REDIRECT_US 10000
#define STATUS_OTHER_LEADER 421
/* A change is reported at once, unless a report was just sent or the worker backs off for long. */
#define SHORTEST_INTERVAL_US (MH_SECOND_US / 2)
#define LONGEST_BACKOFF_US (3 * MH_SECOND_US)

/* A report on its way, and then the response to it. */
typedef struct
{
  Worker *worker;
  guint node;
  guint number;    /* 0: nobody waits for the response */
  guint64 session; /* of the worker when it sent the report */
  gint64 sent_us;
  MhValue *body;
  guint status;
} SentReport;

static void
sent_report_free (gpointer data)
{
  SentReport *report = data;
  mh_value_unref (report->body);
  g_free (report);
}

static gint64
now_of (const Worker *worker)
{
  return worker->simulation->clock->now_us;
}

/* ---- which node ---- */

/* The one node that the worker can reach; -1: any. */
static gint
bound_to (const Worker *worker)
{
  return worker->only_until_us > now_of (worker) ? worker->only_node : -1;
}

static void
try_next_node (Worker *worker)
{
  worker->node = (worker->node + 1) % SIMULATION_NODES;
}

static void
report_again (Worker *worker, gint64 in_us)
{
  worker->report_in_flight = false;
  worker->next_report_us = now_of (worker) + in_us;
}

gint64
worker_unreachable_until (const Worker *worker, const ControllerNode *node)
{
  gint64 until_us = MAX (worker->machine->hung_until_us,
                         MAX (worker->cut_until_us, node->workers_cut_until_us));
  if (worker->only_node >= 0 && (guint)worker->only_node != node->index)
    until_us = MAX (until_us, worker->only_until_us);
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
still_waits_for (const Worker *worker, const SentReport *report)
{
  return worker->report_in_flight && worker->report_number == report->number
         && now_of (worker) <= report->sent_us + REPORT_TIMEOUT_US;
}

/* Otherwise the response is dropped: too late when the worker goes on. */
static bool
can_receive (const Worker *worker)
{
  gint64 now_us = now_of (worker);
  return worker->machine->hung_until_us <= now_us && worker->cut_until_us <= now_us
         && worker->answers_lost_until_us <= now_us;
}

static void
response_arrives (gpointer data)
{
  const SentReport *report = data;
  Worker *worker = report->worker;
  Simulation *simulation = worker->simulation;
  if (!still_waits_for (worker, report) || !can_receive (worker))
    return;
  g_autofree char *leader = mh_value_get_text (report->body, "dispatcher");
  const ControllerNode *node = leader ? simulation_node_named (simulation, leader) : NULL;
  if (report->status == 200)
    {
      worker_protocol_response (worker->machine, report->sent_us, report->session, report->body);
      report_again (worker, (gint64)((double)simulation->settings->heartbeat_interval_us
                                     * g_rand_double_range (simulation->random, 0.75, 1.25)));
    }
  else if (report->status == STATUS_OTHER_LEADER && node && node->index != worker->node
           && bound_to (worker) < 0)
    {
      worker->node = node->index;
      report_again (worker, REDIRECT_US);
    }
  else
    {
      if (bound_to (worker) < 0)
        try_next_node (worker);
      report_again (worker, RETRY_US);
    }
}

static void
report_answered (ControllerNode *node, const PendingRequest *request, const MhAction *action)
{
  Simulation *simulation = node->simulation;
  FakeClock *clock = simulation->clock;
  if (network_draw_loss (simulation->network))
    return;
  SentReport *response = g_memdup2 (request->data, sizeof *response);
  response->status = action->status;
  response->body = action->body ? cbor_incref (action->body) : NULL;
  fake_clock_add (clock, clock->now_us + network_draw_delay (simulation->network), response_arrives,
                  response, sent_report_free);
}

/* ---- reports ---- */

static void
report_arrives (gpointer data)
{
  const SentReport *report = data;
  gint64 now_us = now_of (report->worker);
  ControllerNode *node = &report->worker->simulation->nodes[report->node];
  if (node->controller == NULL || node->workers_cut_until_us > now_us
      || node->reports_lost_until_us > now_us)
    return;
  PendingRequest *request = g_new0 (PendingRequest, 1);
  SentReport *waiting = g_memdup2 (report, sizeof *report);
  waiting->body = NULL;
  request->answered = report_answered;
  request->data = waiting;
  request->free_data = sent_report_free;
  controller_node_report (node, request, report->body);
}

void
workers_deliver_late_report (Simulation *simulation, ControllerNode *node, const MhValue *report)
{
  SentReport sent = { .worker = g_ptr_array_index (simulation->workers, 0),
                      .node = node->index,
                      .body = (MhValue *)report };
  report_arrives (&sent);
}

static void
send_report (SentReport *report, gint64 at_us)
{
  Simulation *simulation = report->worker->simulation;
  const ControllerNode *node = &simulation->nodes[report->node];
  fake_clock_add_pausable (simulation->clock, &node->frozen_until_us, at_us, report_arrives, report,
                           sent_report_free);
}

/* To any node, and nobody waits for its response. */
static void
send_duplicate (const SentReport *report)
{
  Simulation *simulation = report->worker->simulation;
  SentReport *copy = g_memdup2 (report, sizeof *report);
  copy->body = cbor_incref (report->body);
  copy->number = 0;
  copy->node = (guint)g_rand_int_range (simulation->random, 0, SIMULATION_NODES);
  send_report (copy,
               simulation->clock->now_us + network_draw_duplicate_delay (simulation->network));
}

static guint64
hash_state (const Machine *machine)
{
  guint64 hash = machine->session * 31 + machine->token + (machine->preempted_at_us ? 7 : 0);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      hash = hash * 1000003 + g_str_hash (task->task_id) + task->attempt * 7 + (guint)task->phase;
    }
  return hash;
}

static void
report_state (Worker *worker)
{
  Network *network = worker->simulation->network;
  gint64 now_us = now_of (worker);
  worker->report_in_flight = true;
  worker->report_number++;
  worker->report_sent_us = now_us;
  SentReport *report = g_new0 (SentReport, 1);
  report->worker = worker;
  report->node = worker->node;
  report->number = worker->report_number;
  report->session = worker->machine->session;
  report->sent_us = now_us;
  report->body = worker_protocol_report (worker->machine);
  worker->reported_state = hash_state (worker->machine);
  gint64 reconnected_us = worker->cut_until_us > now_us ? worker->cut_until_us + 1000 : 0;
  gint64 arrives_us = MAX (now_us + network_draw_delay (network), reconnected_us);
  if (network_draw_duplicate (network))
    send_duplicate (report);
  if (network_draw_loss (network))
    sent_report_free (report);
  else
    send_report (report, arrives_us);
}

static bool
report_is_due (const Worker *worker)
{
  gint64 now_us = now_of (worker);
  if (worker->report_in_flight)
    return false;
  if (now_us >= worker->next_report_us)
    return true;
  return hash_state (worker->machine) != worker->reported_state
         && now_us > worker->report_sent_us + SHORTEST_INTERVAL_US
         && worker->next_report_us < now_us + LONGEST_BACKOFF_US;
}

static void
give_up_response (Worker *worker)
{
  if (worker->only_node < 0 || (worker->only_until_us && bound_to (worker) < 0))
    try_next_node (worker);
  report_again (worker, RETRY_US);
}

static void
worker_turn (gpointer data)
{
  Worker *worker = data;
  const Machine *machine = worker->machine;
  FakeClock *clock = worker->simulation->clock;
  if (machine->gone || machine->failed)
    return;
  fake_clock_add (clock, clock->now_us + TURN_US, worker_turn, worker, NULL);
  if (!machine->up || machine->hung_until_us > clock->now_us
      || worker->reports_lost_until_us > clock->now_us)
    return;
  if (worker->report_in_flight && clock->now_us > worker->report_sent_us + REPORT_TIMEOUT_US)
    give_up_response (worker);
  if (report_is_due (worker))
    report_state (worker);
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
      worker->node = (guint)g_rand_int_range (simulation->random, 0, SIMULATION_NODES);
      worker->only_node = -1;
      g_ptr_array_add (simulation->workers, worker);
      fake_clock_add (simulation->clock, simulation->clock->now_us, worker_turn, worker, NULL);
    }
}
