#include "random-day.h"
#include "stand-in/simulation.h"

#include "stand-in/decision-log.h"

static void
odd_requests (Simulation *simulation)
{
  MhJobSpec *s = job_spec_new (900000 + simulation->users->len, MH_SHAPE_ARRAY, 1, 1);
  if (g_rand_boolean (simulation->random))
    s->mem_gb = 1000;
  else
    {
      g_free (s->team);
      s->team = g_strdup ("nobody");
    }
  for (guint i = 0; i < simulation->users->len; i++)
    {
      User *u = g_ptr_array_index (simulation->users, i);
      if (u->told_done)
        user_cancel (u);
    }
  simulation_submit (simulation, s, 1)->infeasible = true;
}

static void
some_failure (Simulation *simulation)
{
  GRand *r = simulation->random;
  ControllerNode *n = &simulation->nodes[g_rand_int_range (r, 0, SIMULATION_NODES)];
  gint64 until = simulation->clock->now_us + g_rand_int_range (r, 1, 25) * MH_SECOND_US;
  Worker *w = simulation->workers->len ? g_ptr_array_index (
                  simulation->workers, g_rand_int_range (r, 0, (gint)simulation->workers->len))
                                       : NULL;
  switch (g_rand_int_range (r, 0, 21))
    {
    case 0:
    case 1:
      simulation_stop_node (simulation, n->index);
      break;
    case 2:
      for (guint i = 0; i < SIMULATION_NODES; i++)
        simulation_stop_node (simulation, i);
      break;
    case 3:
      n->store_cut_until_us = until;
      break;
    case 4:
      n->peers_cut_until_us = until;
      break;
    case 5:
      n->workers_cut_until_us = until;
      break;
    case 6:
      simulation->store->outage_until_us = until;
      break;
    case 7:
      simulation->cloud->outage_until_us = until;
      break;
    case 8:
      if (w)
        w->machine->hung_until_us = until;
      break;
    case 9:
      if (w)
        w->cut_until_us = until;
      break;
    case 10: /* back at once, whatever it was doing: perhaps in the middle of an election */
      simulation_stop_node (simulation, n->index);
      simulation_run (simulation, g_rand_double_range (r, 0.01, 0.4));
      simulation_start_node (simulation, n->index);
      break;
    case 11: /* keeps its workers alone */
      n->store_cut_until_us = n->peers_cut_until_us = until;
      break;
    case 12:
      simulation_freeze_node (simulation, n->index, g_rand_double_range (r, 0.3, 20));
      break;
    case 13: /* between deciding and sending */
      n->freeze_before_acting_us = g_rand_int_range (r, 1, 12) * MH_SECOND_US;
      break;
    case 14:
      if (w)
        w->answers_lost_until_us = until + 20 * MH_SECOND_US;
      break;
    case 15: /* reports reach nobody, commands arrive */
      if (w)
        w->reports_lost_until_us = until + 20 * MH_SECOND_US;
      break;
    case 16: /* refused alone, and a moment later everybody is */
      n->store_refuses_until_us = until;
      if (g_rand_boolean (r))
        simulation->store->outage_until_us = until + 30 * MH_SECOND_US;
      break;
    case 17:
      n->reports_lost_until_us = until;
      break;
    case 18:
      n->key_lists_lost_until_us = until;
      break;
    case 19: /* can never run, or is over */
      odd_requests (simulation);
      break;
    default:
      if (w)
        {
          machine_fail (w->machine);
        }
    }
}

#define NEXT_VALUE_BYTES 2048u
#define NEXT_TXN_OPS 5u
#define NEXT_WRITE_RPS 15.0

/* All begin with the version in production. The limits that come next are announced on every other
   of these days. */
static void
begin_with_production (Simulation *simulation, bool limits)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    {
      simulation_stop_node (simulation, i);
      if (limits)
        {
          simulation->nodes[i].settings->value_bytes = NEXT_VALUE_BYTES;
          simulation->nodes[i].settings->txn_ops = simulation->nodes[i].settings->batch
              = NEXT_TXN_OPS;
          simulation->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS;
        }
      simulation_restart_node (simulation, i, CONTROLLER_PRODUCTION, 0);
    }
}

/* Whoever starts again next has either version; now and then one is replaced. */
static void
draw_versions (Simulation *simulation)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    if (simulation->nodes[i].controller == NULL)
      simulation->nodes[i].version
          = g_rand_boolean (simulation->random) ? CONTROLLER_CURRENT : CONTROLLER_PRODUCTION;
  if (g_rand_int_range (simulation->random, 0, 4) == 0)
    simulation_stop_node (simulation,
                          (guint)g_rand_int_range (simulation->random, 0, SIMULATION_NODES));
}

void
random_day_run (guint seed, GChecksum *digest)
{
  Simulation *simulation = simulation_new (seed);
  GRand *r = simulation->random;
  simulation->digest = digest;
  bool versions = seed > RANDOM_DAY_VERSIONS;
  bool limits = versions && seed % 2;
  if (versions)
    begin_with_production (simulation, limits);
  guint number = 0;
  /* Now and then the fleet is large, or very large. */
  guint machines = seed % 40 == 0 ? 2000 : seed % 20 == 0 ? 250 : 0;
  if (machines)
    {
      simulation->cloud->capacity = machines + 70;
      for (guint i = 0; i < machines; i++)
        cloud_add_machine (simulation->cloud, "small", i % 2 ? "a" : "b", false);
    }
  simulation->network->loss_probability = 0.01;
  simulation->network->delay_probability = 0.005;
  simulation->network->duplicate_probability = 0.03;
  if (seed % 3 == 0)
    simulation->network->late_write_probability = 0.1;
  if (seed % 4 == 0)
    simulation->cancel_at_end_probability = 0.4;
  for (guint turn = 0; turn < 60; turn++)
    {
      if (turn % 3 == 0)
        {
          bool service = g_rand_int_range (r, 0, 3) == 0;
          MhJobSpec *s = job_spec_new (++number, service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY,
                                       (guint)g_rand_int_range (r, 1, service ? 4 : 12),
                                       g_rand_int_range (r, 1, 3));
          if (!service && g_rand_int_range (r, 0, 3) == 0)
            {
              s->shape = MH_SHAPE_GANG;
              s->tasks = (guint)g_rand_int_range (r, 1, 6);
              s->checkpoint_interval_us = g_rand_int_range (r, 0, 4) * MH_SECOND_US;
              s->checkpoint_save_us = MH_SECOND_US;
            }
          if (g_rand_int_range (r, 0, 5) == 0)
            s->single_zone = true;
          else if (g_rand_int_range (r, 0, 5) == 0)
            s->spread_over_zones = true;
          if (g_rand_int_range (r, 0, 6) == 0)
            s->zone = g_strdup ("b");
          /* At most half of its tasks may be in a zone, and only one zone is allowed. */
          bool impossible
              = s->shape == MH_SHAPE_GANG && s->spread_over_zones && s->zone && s->tasks > 1;
          simulation_submit (simulation, s, service ? 0 : g_rand_double_range (r, 1, 10))
              ->infeasible
              = impossible;
        }
      if (turn > 5 && g_rand_int_range (r, 0, 3) == 0)
        some_failure (simulation);
      if (simulation->users->len && g_rand_int_range (r, 0, 6) == 0)
        user_cancel (g_ptr_array_index (simulation->users,
                                        g_rand_int_range (r, 0, (gint)simulation->users->len)));
      if (versions)
        draw_versions (simulation);
      if (limits && turn == 30)
        {
          simulation->settings->value_bytes = NEXT_VALUE_BYTES;
          simulation->settings->txn_ops = NEXT_TXN_OPS;
          simulation->store->write_rps = NEXT_WRITE_RPS;
        }
      for (guint i = 0; i < SIMULATION_NODES; i++)
        if (g_rand_boolean (r))
          simulation_start_node (simulation, i);
      simulation_run (simulation, 2);
      simulation_leader (simulation); /* asserts that there is at most one */
    }
  /* Then all is well again, and everything that was accepted must come to its end. */
  simulation->network->loss_probability = simulation->network->delay_probability
      = simulation->network->duplicate_probability = simulation->network->late_write_probability
      = 0;
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_start_node (simulation, i);
  for (guint i = 0; i < simulation->users->len; i++)
    {
      User *u = g_ptr_array_index (simulation->users, i);
      if (u->job->run_us == 0)
        user_cancel (u);
    }
  bool settled = false;
  for (guint second = 0; second < 400 && !settled; second++)
    {
      settled = simulation_until (simulation, 1, simulation_all_settled, NULL);
      if (second > 60) /* the last troubles are over too */
        rule_checks_waiting_jobs (simulation->rules);
    }
  simulation_assert_rules (simulation);
  if (!settled)
    for (guint i = 0; i < simulation->users->len; i++)
      {
        const User *u = g_ptr_array_index (simulation->users, i);
        guint running = simulation_running_tasks (simulation, u->job->spec->id);
        if ((!u->told_done && !u->told_cancelled) || running)
          g_printerr ("left: %s, %u of %u done, %u running, last answer %u%s%s\n", u->job->spec->id,
                      u->job->done_count, u->job->spec->tasks, running, u->last_status,
                      u->told_cancelled ? ", told cancelled" : "",
                      u->told_done ? ", told done" : "");
      }
  g_assert_true (settled);
  /* Nobody's job is forgotten: each was asked about many times since. */
  simulation_run (simulation, 75);
  for (guint i = 0; i < simulation->users->len; i++)
    {
      const User *u = g_ptr_array_index (simulation->users, i);
      if (!u->infeasible)
        g_assert_cmpint (simulation->clock->now_us - u->last_answer_us, <, 75 * MH_SECOND_US);
    }
  g_assert_cmpuint (simulation->rules->task_starts, >, 0);
  decision_log_state (simulation);
  simulation_free (simulation);
}
