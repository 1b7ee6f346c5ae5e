/* A model check of attempts: plays every order of the events that an attempt can meet, with the
   real controller on the fake clock, until no new combination of what the leader and the worker
   know of it appears. From each combination the task must run, or be gone if its job was cancelled,
   when nothing happens any more but reports and time. A combination without a way on left tasks
   that were never started again. */
#include "steps.h"

#include "cluster/attempt.h"
#include "cluster/fencing.h"
#include "cluster/machine-registry.h"
#include "controller/core-private.h"

#include <string.h>

#define JOB_ID "j-000001"
#define TASK_ID JOB_ID "/0"
#define SEED 7u
#define EVENT_S 0.25
#define MUTE_US (5 * MH_SECOND_US)
/* A safeguard: the search ends before, when no new combination appears. */
#define MAX_DEPTH 40u
/* How long a job may be left waiting while there is room, by the users' rules. */
#define MAX_WAIT_S 90

typedef enum
{
  EVENT_TIME,
  EVENT_HOLD_COMMANDS,
  EVENT_DELIVER_COMMANDS,
  EVENT_LOSE_COMMANDS,
  EVENT_RAISE_TOKEN,
  EVENT_HEARTBEAT,
  EVENT_MUTE_WORKER,
  EVENT_LOSE_RESPONSES,
  EVENT_EXPIRE_WORKER_LEASE,
  EVENT_STOP,
  EVENT_CANCEL,
  N_EVENTS
} Event;

static const char *const event_names[N_EVENTS]
    = { "time",      "hold commands", "deliver commands", "lose commands",       "raise token",
        "heartbeat", "mute worker",   "lose responses",   "expire worker lease", "stop",
        "cancel" };

/* ---- the parts that an event acts on ---- */

typedef struct
{
  Simulation *simulation;
  User *user;
  Worker *worker;
} Model;

/* Returns NULL while no controller leads. */
static MhCore *
find_leader_core (Simulation *simulation)
{
  ControllerNode *leader = simulation_leader (simulation);
  return leader ? controller_get_core (leader->controller) : NULL;
}

static MhMachine *
find_leader_machine (const Model *model)
{
  MhCore *core = find_leader_core (model->simulation);
  return core ? mh_cluster_find_machine (core->cluster, model->worker->machine->name) : NULL;
}

/* Returns NULL if the leader has no live attempt of the task. */
static MhAttempt *
find_attempt (const Model *model)
{
  MhCore *core = find_leader_core (model->simulation);
  const MhJob *job = core ? g_hash_table_lookup (core->jobs, JOB_ID) : NULL;
  return job ? job->tasks[0].live : NULL;
}

static const MachineTask *
find_worker_task (const Model *model)
{
  const Machine *machine = model->worker->machine;
  for (guint i = 0; i < machine->tasks->len; i++)
    if (strcmp (machine_task (machine, i)->task_id, TASK_ID) == 0)
      return machine_task (machine, i);
  return NULL;
}

/* ---- events ---- */

static void
raise_token (const Model *model)
{
  MhMachine *machine = find_leader_machine (model);
  if (machine)
    machine->fencing.token_raises++;
}

static void
stop_attempt (const Model *model)
{
  MhAttempt *attempt = find_attempt (model);
  if (attempt == NULL)
    return;
  ControllerNode *leader = simulation_leader (model->simulation);
  mh_attempt_stop (controller_get_core (leader->controller)->cluster, attempt, 0);
  controller_node_drain (leader);
}

static void
play_event (const Model *model, Event event)
{
  Simulation *simulation = model->simulation;
  gint64 now_us = simulation->clock->now_us;
  switch (event)
    {
    case EVENT_HOLD_COMMANDS:
      simulation->network->hold_commands = true;
      break;
    case EVENT_DELIVER_COMMANDS:
      outgoing_calls_release_commands (simulation);
      break;
    case EVENT_LOSE_COMMANDS:
      g_ptr_array_set_size (simulation->network->held_commands, 0);
      break;
    case EVENT_RAISE_TOKEN:
      raise_token (model);
      break;
    case EVENT_HEARTBEAT:
      model->worker->next_heartbeat_us = now_us;
      break;
    case EVENT_MUTE_WORKER:
      model->worker->heartbeats_lost_until_us = now_us + MUTE_US;
      break;
    case EVENT_LOSE_RESPONSES:
      model->worker->responses_lost_until_us = now_us + MUTE_US;
      break;
    case EVENT_EXPIRE_WORKER_LEASE:
      model->worker->machine->lease_start_us = now_us - simulation->settings->worker_lease_us - 1;
      break;
    case EVENT_STOP:
      stop_attempt (model);
      break;
    case EVENT_CANCEL:
      user_cancel (model->user);
      break;
    default:
      break;
    }
  simulation_run (simulation, EVENT_S);
}

/* ---- combinations ---- */

/* What is known of the direct start of the attempt. */
static const char *
describe_direct_start (const MhMachine *machine, const MhAttempt *attempt)
{
  const MhUnfencedStart *start
      = mh_fencing_find_start (machine, JOB_ID, attempt->index, attempt->number);
  if (start == NULL)
    return "none";
  return start->lost ? "lost" : start->acknowledged ? "acknowledged" : "sent";
}

static void
describe_attempt (const MhMachine *machine, const MhAttempt *attempt, GString *out)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  g_string_append_printf (
      out,
      "state=%d start=%d reported=%d phase=%d by_heartbeat=%d shown_since=%d incarnation=%d "
      "stop_sent=%d direct=%s ",
      attempt->state, attempt->start, attempt->reported,
      attempt->reported ? (int)attempt->phase : -1, attempt->start_sequence != 0,
      heartbeat->sequence > attempt->start_sequence,
      attempt->start_incarnation < heartbeat->incarnation, attempt->stop_sent_us != 0,
      describe_direct_start (machine, attempt));
}

/* Returns: (transfer full): what the leader and the worker know of the task. */
static char *
describe (const Model *model)
{
  GString *out = g_string_new (NULL);
  const MhMachine *machine = find_leader_machine (model);
  const MhAttempt *attempt = machine ? find_attempt (model) : NULL;
  const MachineTask *task = find_worker_task (model);
  if (machine)
    g_string_append_printf (
        out, "in_flight=%u token_ahead=%d ", machine->direct_commands_in_flight,
        mh_fencing_token (find_leader_core (model->simulation)->cluster, machine)
            > machine->heartbeat.token);
  if (attempt)
    describe_attempt (machine, attempt, out);
  g_string_append_printf (
      out, "worker=%d held=%d holds=%d cancelled=%d told=%d", task ? (int)task->phase : -1,
      model->simulation->network->held_commands->len > 0, model->simulation->network->hold_commands,
      model->user->wants_cancel, model->user->reported_cancelled);
  return g_string_free (out, FALSE);
}

/* ---- runs ---- */

/* A path is the list of its events, one byte for each. */
static void
model_begin (Model *model, const GByteArray *path)
{
  Simulation *simulation = model->simulation = simulation_new (SEED);
  simulation->cloud->max_machines = 0;
  simulation->cloud->boot_us = MH_SECOND_US;
  cloud_add_machine (simulation->cloud, "large", "a", false);
  simulation_run (simulation, 5);
  model->worker = worker_by_index (simulation, 0);
  model->user = simulation_submit (simulation, job_spec_new (1, MH_SHAPE_SERVICE, 1, 1), 0);
  for (guint i = 0; i < path->len; i++)
    play_event (model, (Event)path->data[i]);
}

static void
print_path (const GByteArray *path, const char *combination)
{
  g_printerr ("no way on from: %s\nafter:", combination);
  for (guint i = 0; i < path->len; i++)
    g_printerr (" %s;", event_names[path->data[i]]);
  g_printerr ("\n");
}

/* Whether the task is where it belongs, and the leader knows. */
static bool
has_arrived (const Model *model)
{
  const MhAttempt *attempt = find_attempt (model);
  if (model->user->wants_cancel)
    return model->user->reported_cancelled && attempt == NULL && find_worker_task (model) == NULL
           && find_leader_core (model->simulation) != NULL;
  return attempt && attempt->state == MH_ATTEMPT_RUNNING
         && simulation_running_tasks (model->simulation, JOB_ID) == 1;
}

static bool
has_way_on (Model *model)
{
  /* A machine that could not be reached for long may have been released. */
  model->simulation->cloud->max_machines = 2;
  outgoing_calls_release_commands (model->simulation);
  for (guint second = 0; second < MAX_WAIT_S && !has_arrived (model); second++)
    simulation_run (model->simulation, 1);
  return has_arrived (model);
}

typedef struct
{
  GHashTable *combinations; /* text -> unused: those that were reached */
  GQueue *paths; /* GByteArray: paths to combinations whose events are still to be played */
  guint stuck;
} Search;

/* Plays a path. The combination that it ends with is checked if it is new. */
static void
explore (Search *search, GByteArray *path)
{
  Model model;
  model_begin (&model, path);
  g_autofree char *combination = describe (&model);
  if (g_hash_table_contains (search->combinations, combination))
    {
      g_byte_array_unref (path);
      simulation_check_and_free (model.simulation);
      return;
    }
  if (!has_way_on (&model))
    {
      print_path (path, combination);
      search->stuck++;
    }
  simulation_check_and_free (model.simulation);
  g_hash_table_add (search->combinations, g_steal_pointer (&combination));
  g_queue_push_tail (search->paths, path);
}

static void
explore_events_after (Search *search, const GByteArray *path)
{
  for (guint event = 0; event < N_EVENTS; event++)
    {
      const guint8 byte = (guint8)event;
      GByteArray *longer = g_byte_array_new ();
      g_byte_array_append (longer, path->data, path->len);
      g_byte_array_append (longer, &byte, 1);
      explore (search, longer);
    }
}

static void
test_every_combination_has_a_way_on (void)
{
  Search search = { .combinations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
                    .paths = g_queue_new () };
  guint depth = 0;
  explore (&search, g_byte_array_new ());
  for (GByteArray *path = g_queue_pop_head (search.paths); path;
       path = g_queue_pop_head (search.paths))
    {
      depth = path->len;
      g_assert_cmpuint (depth, <, MAX_DEPTH);
      explore_events_after (&search, path);
      g_byte_array_unref (path);
    }
  g_test_message ("%u combinations, the last one after %u events",
                  g_hash_table_size (search.combinations), depth);
  g_queue_free (search.paths);
  g_hash_table_unref (search.combinations);
  g_assert_cmpuint (search.stuck, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/attempt-model/every-combination-has-a-way-on",
                   test_every_combination_has_a_way_on);
  return g_test_run ();
}
