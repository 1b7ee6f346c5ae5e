#include "stand-in/simulation.h"

#include "stand-in/simulation-settings.h"

#include <string.h>

#define START_US MH_SECOND_US
/* The environment also changes between events. It is advanced at least this often, which is short
   against all other periods. */
#define MAX_STEP_US 20000

Simulation *
simulation_new (guint32 seed)
{
  Simulation *simulation = g_new0 (Simulation, 1);
  simulation->random = g_rand_new_with_seed (seed);
  simulation->clock = fake_clock_new (START_US);
  simulation->settings = simulation_settings_new (0);
  simulation->environment = environment_new (simulation->settings, START_US);
  simulation->store = simulation->environment->store;
  simulation->cloud = simulation->environment->cloud;
  simulation->rules = simulation->environment->rules;
  simulation->network = network_new (simulation->random, outgoing_call_unref);
  simulation->workers = g_ptr_array_new_with_free_func (g_free);
  simulation->users = g_ptr_array_new_with_free_func (g_free);
  simulation->log_lines = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      controller_node_init (&simulation->nodes[i], simulation, i, simulation_settings_new (i));
      controller_node_start (&simulation->nodes[i]);
    }
  return simulation;
}

void
simulation_free (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    controller_node_clear (&simulation->nodes[i]);
  for (guint i = 0; i < simulation->store->watches->len; i++)
    outgoing_call_unref (key_value_store_watch_token (simulation->store, i));
  fake_clock_free (simulation->clock);
  network_free (simulation->network);
  g_ptr_array_unref (simulation->workers);
  g_ptr_array_unref (simulation->users);
  g_ptr_array_unref (simulation->log_lines);
  environment_free (simulation->environment);
  mh_settings_free (simulation->settings);
  g_rand_free (simulation->random);
  g_free (simulation);
}

void
simulation_set_store_limits (Simulation *simulation, guint value_bytes, guint txn_ops)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      ControllerNode *node = &simulation->nodes[i];
      controller_node_stop (node);
      node->settings->value_bytes = value_bytes;
      node->settings->txn_ops = node->settings->max_batch = txn_ops;
      controller_node_start (node);
    }
  simulation->settings->value_bytes = value_bytes;
  simulation->settings->txn_ops = txn_ops;
}

/* ---- time ---- */

static void
advance (Simulation *simulation, gint64 to_us)
{
  g_autoptr (GArray) ended = g_array_new (FALSE, FALSE, sizeof (EndedWatch));
  simulation->clock->now_us = to_us;
  environment_advance (simulation->environment, to_us, ended);
  if (simulation->cancel_at_end_probability > 0)
    users_cancel_at_job_end (simulation);
  for (guint i = 0; i < ended->len; i++)
    {
      const EndedWatch *watch = &g_array_index (ended, EndedWatch, i);
      outgoing_call_end_watch (watch->token, watch->status, watch->body);
    }
  workers_adopt_machines (simulation);
}

bool
simulation_run_until (Simulation *simulation, double seconds, SimulationCondition condition,
                      gpointer data)
{
  FakeClock *clock = simulation->clock;
  gint64 end_us = clock->now_us + (gint64)(seconds * 1e6);
  while (clock->now_us < end_us)
    {
      gint64 event_us = fake_clock_next_event_us (clock);
      gint64 step_us = MIN (clock->now_us + MAX_STEP_US, end_us);
      if (event_us > step_us)
        {
          advance (simulation, step_us);
          if (condition && condition (simulation, data))
            return true;
          continue;
        }
      if (event_us > clock->now_us)
        advance (simulation, event_us);
      fake_clock_run_next (clock);
    }
  return condition && condition (simulation, data);
}

void
simulation_run (Simulation *simulation, double seconds)
{
  simulation_run_until (simulation, seconds, NULL, NULL);
}

/* ---- nodes ---- */

void
simulation_stop_node (Simulation *simulation, guint node)
{
  controller_node_stop (&simulation->nodes[node]);
}

void
simulation_start_node (Simulation *simulation, guint node)
{
  controller_node_start (&simulation->nodes[node]);
}

void
simulation_restart_node (Simulation *simulation, guint node, ControllerVersion version,
                         double seconds)
{
  simulation_stop_node (simulation, node);
  simulation->nodes[node].version = version;
  simulation_run (simulation, seconds);
  simulation_start_node (simulation, node);
}

void
simulation_pause_node (Simulation *simulation, guint node, double seconds)
{
  simulation->nodes[node].paused_until_us = simulation->clock->now_us + (gint64)(seconds * 1e6);
}

ControllerNode *
simulation_node_named (Simulation *simulation, const char *name)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (strcmp (simulation->nodes[i].name, name) == 0)
      return &simulation->nodes[i];
  return NULL;
}

ControllerNode *
simulation_leader (Simulation *simulation)
{
  ControllerNode *leader = NULL;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      ControllerNode *node = &simulation->nodes[i];
      /* A paused controller sends nothing, even if its state says that it leads. */
      if (node->controller == NULL || controller_node_is_paused (node)
          || !controller_node_leads (node))
        continue;
      /* Two valid leader leases must never exist, whatever faults occurred. */
      g_assert_null (leader);
      leader = node;
    }
  return leader;
}

/* ---- observations ---- */

guint
simulation_running_tasks (const Simulation *simulation, const char *job_id)
{
  return environment_running_tasks (simulation->environment, job_id);
}

/* Returns whether the job can never run; or it was refused where that is allowed; or its user knows
   that it is done; or its user knows that it is cancelled, and none of its tasks run; or the job
   has no end, is not to be cancelled, and all its tasks run. */
static bool
has_settled (const Simulation *simulation, const User *user)
{
  const WorkloadJob *job = user->job;
  if (user->infeasible || user->reported_done || (user->may_be_refused && !job->accepted))
    return true;
  guint running = simulation_running_tasks (simulation, job->spec->id);
  if (user->reported_cancelled && running == 0)
    return true;
  return job->run_us == 0 && !user->wants_cancel && running == job->spec->tasks;
}

bool
simulation_all_settled (Simulation *simulation, gpointer unused)
{
  (void)unused;
  for (guint i = 0; i < simulation->users->len; i++)
    if (!has_settled (simulation, g_ptr_array_index (simulation->users, i)))
      return false;
  return true;
}

bool
simulation_prints_log (void)
{
  return g_getenv ("SIMULATION_LOG") != NULL;
}

void
simulation_log (Simulation *simulation, const char *node, const char *text)
{
  char *line = g_strdup_printf ("%9.3f %s %s", (double)simulation->clock->now_us / 1e6, node, text);
  if (simulation_prints_log ())
    g_print ("%s\n", line);
  g_ptr_array_add (simulation->log_lines, line);
}

bool
simulation_has_logged (const Simulation *simulation, const char *part)
{
  for (guint i = 0; i < simulation->log_lines->len; i++)
    if (strstr (g_ptr_array_index (simulation->log_lines, i), part))
      return true;
  return false;
}

void
simulation_assert_rules (const Simulation *simulation)
{
  const GPtrArray *violations = simulation->rules->violations;
  g_assert_false (simulation_has_logged (simulation, "invariant violated"));
  for (guint i = 0; i < violations->len; i++)
    g_printerr ("violated rule: %s\n", (char *)g_ptr_array_index (violations, i));
  g_assert_cmpuint (violations->len, ==, 0);
}
