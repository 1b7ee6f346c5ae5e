#include "stand-in/random-day.h"

#include "stand-in/decision-log.h"
#include "stand-in/random-fault.h"

#define TURNS_PER_DAY 60u
#define TURN_LENGTH_S 2
#define TURNS_BETWEEN_JOBS 3u
#define LAST_TURN_WITHOUT_FAULTS 5u
#define NEXT_LIMITS_START_TURN 30u
#define NEXT_VALUE_BYTES 2048u
#define NEXT_TXN_OPS 5u
#define NEXT_WRITE_RPS 15.0
#define LARGE_FLEET_MACHINES 250u
#define VERY_LARGE_FLEET_MACHINES 2000u
#define FLEET_SPARE_MACHINES 70u
/* Within this time after the last turn every job must be settled. */
#define MAX_RECOVERY_S 400u
/* Faults may remain active for this long after the last turn. */
#define MAX_REMAINING_FAULT_S 60u
/* Within this time every user has sent several requests. */
#define RESPONSE_CHECK_S 75

typedef struct
{
  Simulation *simulation;
  bool mixed_versions; /* the controllers change versions */
  bool changes_limits; /* the limits of the store change */
  guint job_count;
} RandomDay;

/* ---- start of a day ---- */

/* Starts all controllers with the version in production. On days with odd seeds the settings
   announce the next limits, which the store applies from NEXT_LIMITS_START_TURN on. */
static void
start_with_production (const RandomDay *day)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      MhSettings *settings = day->simulation->nodes[i].settings;
      simulation_stop_node (day->simulation, i);
      if (day->changes_limits)
        {
          settings->value_bytes = NEXT_VALUE_BYTES;
          settings->txn_ops = settings->max_batch = NEXT_TXN_OPS;
          settings->next_write_rps = NEXT_WRITE_RPS;
        }
      simulation_restart_node (day->simulation, i, CONTROLLER_PRODUCTION, 0);
    }
}

/* On every 20th day the fleet is large, and on every 40th very large. */
static void
add_fleet (Simulation *simulation, guint seed)
{
  guint machines = 0;
  if (seed % 40 == 0)
    machines = VERY_LARGE_FLEET_MACHINES;
  else if (seed % 20 == 0)
    machines = LARGE_FLEET_MACHINES;
  if (machines)
    simulation->cloud->max_machines = machines + FLEET_SPARE_MACHINES;
  for (guint i = 0; i < machines; i++)
    cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
}

static void
make_network_unreliable (Simulation *simulation, guint seed)
{
  Network *network = simulation->network;
  network->loss_probability = 0.01;
  network->delay_probability = 0.005;
  network->duplicate_probability = 0.03;
  if (seed % 3 == 0)
    network->late_write_probability = 0.1;
  if (seed % 4 == 0)
    simulation->cancel_at_end_probability = 0.4;
}

/* ---- turns ---- */

static void
draw_gang (GRand *random, MhJobSpec *spec)
{
  spec->shape = MH_SHAPE_GANG;
  spec->tasks = (guint)g_rand_int_range (random, 1, 6);
  spec->checkpoint_interval_us = g_rand_int_range (random, 0, 4) * MH_SECOND_US;
  spec->checkpoint_save_us = MH_SECOND_US;
}

static void
draw_zones (GRand *random, MhJobSpec *spec)
{
  if (g_rand_int_range (random, 0, 5) == 0)
    spec->single_zone = true;
  else if (g_rand_int_range (random, 0, 5) == 0)
    spec->spread_over_zones = true;
  if (g_rand_int_range (random, 0, 6) == 0)
    spec->zone = g_strdup ("b");
}

static void
submit_job (RandomDay *day)
{
  GRand *random = day->simulation->random;
  bool service = g_rand_int_range (random, 0, 3) == 0;
  double cpus = g_rand_int_range (random, 1, 3);
  guint tasks = (guint)g_rand_int_range (random, 1, service ? 4 : 12);
  MhJobSpec *spec
      = job_spec_new (++day->job_count, service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY, tasks, cpus);
  if (!service && g_rand_int_range (random, 0, 3) == 0)
    draw_gang (random, spec);
  draw_zones (random, spec);
  /* At most half of the tasks may be in one zone, but only one zone is allowed. */
  bool infeasible
      = spec->shape != MH_SHAPE_ARRAY && spec->spread_over_zones && spec->zone && spec->tasks > 1;
  bool production_accepts = service && day->mixed_versions;
  double run_s = service ? 0 : g_rand_double_range (random, 1, 10);
  User *user = simulation_submit (day->simulation, spec, run_s);
  user->infeasible = infeasible && !production_accepts;
  user->may_be_refused = infeasible && production_accepts;
}

static void
cancel_some_job (Simulation *simulation)
{
  const GPtrArray *users = simulation->users;
  user_cancel (
      g_ptr_array_index (users, g_rand_int_range (simulation->random, 0, (gint)users->len)));
}

/* Gives each node that is down a random version for its next start, and sometimes stops a node. */
static void
draw_node_versions (Simulation *simulation)
{
  GRand *random = simulation->random;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (simulation->nodes[i].controller == NULL)
      simulation->nodes[i].version
          = g_rand_boolean (random) ? CONTROLLER_CURRENT : CONTROLLER_PRODUCTION;
  if (g_rand_int_range (random, 0, 4) == 0)
    simulation_stop_node (simulation, (guint)g_rand_int_range (random, 0, SIMULATION_NODES));
}

static void
apply_next_limits (Simulation *simulation)
{
  simulation->settings->value_bytes = NEXT_VALUE_BYTES;
  simulation->settings->txn_ops = NEXT_TXN_OPS;
  simulation->store->write_rps = NEXT_WRITE_RPS;
}

static void
start_some_nodes (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (g_rand_boolean (simulation->random))
      simulation_start_node (simulation, i);
}

static void
play_turn (RandomDay *day, guint turn)
{
  Simulation *simulation = day->simulation;
  GRand *random = simulation->random;
  if (turn % TURNS_BETWEEN_JOBS == 0)
    submit_job (day);
  if (turn > LAST_TURN_WITHOUT_FAULTS && g_rand_int_range (random, 0, 3) == 0)
    random_fault_inject (simulation);
  if (simulation->users->len && g_rand_int_range (random, 0, 6) == 0)
    cancel_some_job (simulation);
  if (day->mixed_versions)
    draw_node_versions (simulation);
  if (day->changes_limits && turn == NEXT_LIMITS_START_TURN)
    apply_next_limits (simulation);
  start_some_nodes (simulation);
  simulation_run (simulation, TURN_LENGTH_S);
  simulation_leader (simulation); /* asserts that there is at most one leader */
}

/* ---- end of a day ---- */

static void
end_network_faults (Simulation *simulation)
{
  Network *network = simulation->network;
  network->loss_probability = network->delay_probability = 0;
  network->duplicate_probability = network->late_write_probability = 0;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  for (guint i = 0; i < simulation->users->len; i++)
    {
      User *user = g_ptr_array_index (simulation->users, i);
      if (user->job->run_us == 0)
        user_cancel (user);
    }
}

static void
print_if_unsettled (const Simulation *simulation, const User *user)
{
  const WorkloadJob *job = user->job;
  guint running = simulation_running_tasks (simulation, job->spec->id);
  if (user_is_settled (user) && running == 0)
    return;
  g_printerr ("not settled: %s, %u of %u done, %u running, last status %u%s%s\n", job->spec->id,
              job->done_count, job->spec->tasks, running, user->last_status,
              user->reported_cancelled ? ", reported cancelled" : "",
              user->reported_done ? ", reported done" : "");
}

/* Asserts that every accepted job is settled in the end. */
static void
assert_all_settle (Simulation *simulation)
{
  bool settled = false;
  for (guint second = 0; second < MAX_RECOVERY_S && !settled; second++)
    {
      settled = simulation_run_until (simulation, 1, simulation_all_settled, NULL);
      if (second > MAX_REMAINING_FAULT_S)
        rule_checks_waiting_jobs (simulation->rules);
    }
  simulation_assert_rules (simulation);
  for (guint i = 0; i < simulation->users->len && !settled; i++)
    print_if_unsettled (simulation, g_ptr_array_index (simulation->users, i));
  g_assert_true (settled);
}

/* Asserts that no job is forgotten: every user gets responses until the end. */
static void
assert_all_are_answered (Simulation *simulation)
{
  simulation_run (simulation, RESPONSE_CHECK_S);
  for (guint i = 0; i < simulation->users->len; i++)
    {
      const User *user = g_ptr_array_index (simulation->users, i);
      bool is_refused = user->infeasible || (user->may_be_refused && !user->job->accepted);
      if (!is_refused)
        g_assert_cmpint (simulation->clock->now_us - user->last_response_us, <,
                         RESPONSE_CHECK_S * MH_SECOND_US);
    }
}

void
random_day_run (guint seed, GChecksum *digest)
{
  Simulation *simulation = simulation_new (seed);
  RandomDay day
      = { .simulation = simulation, .mixed_versions = seed > RANDOM_DAY_MIXED_VERSIONS_SEEDS };
  day.changes_limits = day.mixed_versions && seed % 2;
  simulation->digest = digest;
  if (day.mixed_versions)
    start_with_production (&day);
  add_fleet (simulation, seed);
  make_network_unreliable (simulation, seed);
  for (guint turn = 0; turn < TURNS_PER_DAY; turn++)
    play_turn (&day, turn);
  end_network_faults (simulation);
  assert_all_settle (simulation);
  assert_all_are_answered (simulation);
  g_assert_cmpuint (simulation->rules->task_starts, >, 0);
  decision_log_add_state (simulation);
  simulation_free (simulation);
}
