#include "random-day.h"
#include "sim.h"

static void
odd_requests (Sim *sim)
{
  MhJobSpec *s = sim_spec (900000 + sim->users->len, MH_SHAPE_ARRAY, 1, 1);
  if (g_rand_boolean (sim->random))
    s->mem_gb = 1000;
  else
    {
      g_free (s->team);
      s->team = g_strdup ("nobody");
    }
  for (guint i = 0; i < sim->users->len; i++)
    {
      SimUser *u = g_ptr_array_index (sim->users, i);
      if (u->told_done)
        sim_cancel (u);
    }
  sim_submit (sim, s, 1)->impossible = true;
}

static void
some_failure (Sim *sim)
{
  GRand *r = sim->random;
  SimNode *n = &sim->nodes[g_rand_int_range (r, 0, SIM_NODES)];
  gint64 until = sim->now_us + g_rand_int_range (r, 1, 25) * MH_SECOND_US;
  SimWorker *w
      = sim->workers->len
            ? g_ptr_array_index (sim->workers, g_rand_int_range (r, 0, (gint)sim->workers->len))
            : NULL;
  switch (g_rand_int_range (r, 0, 21))
    {
    case 0:
    case 1:
      sim_stop_node (sim, n->index);
      break;
    case 2:
      for (guint i = 0; i < SIM_NODES; i++)
        sim_stop_node (sim, i);
      break;
    case 3:
      n->state_cut_us = until;
      break;
    case 4:
      n->peers_cut_us = until;
      break;
    case 5:
      n->workers_cut_us = until;
      break;
    case 6:
      sim->world->outage_until_us = until;
      break;
    case 7:
      sim->world->cloud_outage_until_us = until;
      break;
    case 8:
      if (w)
        w->machine->hung_until_us = until;
      break;
    case 9:
      if (w)
        w->cut_us = until;
      break;
    case 10: /* back at once, whatever it was doing: perhaps in the middle of an election */
      sim_stop_node (sim, n->index);
      sim_run (sim, g_rand_double_range (r, 0.01, 0.4));
      sim_start_node (sim, n->index);
      break;
    case 11: /* keeps its workers alone */
      n->state_cut_us = n->peers_cut_us = until;
      break;
    case 12:
      sim_freeze_node (sim, n->index, g_rand_double_range (r, 0.3, 20));
      break;
    case 13: /* between deciding and sending */
      n->freeze_deciding_us = g_rand_int_range (r, 1, 12) * MH_SECOND_US;
      break;
    case 14:
      if (w)
        w->answers_lost_us = until + 20 * MH_SECOND_US;
      break;
    case 15: /* reports reach nobody, commands arrive */
      if (w)
        w->reports_lost_us = until + 20 * MH_SECOND_US;
      break;
    case 16: /* refused alone, and a moment later everybody is */
      n->state_refused_us = until;
      if (g_rand_boolean (r))
        sim->world->outage_until_us = until + 30 * MH_SECOND_US;
      break;
    case 17:
      n->reports_lost_us = until;
      break;
    case 18:
      n->lists_lost_us = until;
      break;
    case 19: /* can never run, or is over */
      odd_requests (sim);
      break;
    default:
      if (w)
        {
          world_fail (w->machine);
        }
    }
}

#define NEXT_VALUE_BYTES 2048u
#define NEXT_TXN_OPS 5u
#define NEXT_WRITE_RPS 15.0

/* All begin with the version in production. The limits that come next are announced on every other
   of these days. */
static void
begin_with_production (Sim *sim, bool limits)
{
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      if (limits)
        {
          sim->nodes[i].settings->value_bytes = NEXT_VALUE_BYTES;
          sim->nodes[i].settings->txn_ops = sim->nodes[i].settings->batch = NEXT_TXN_OPS;
          sim->nodes[i].settings->next_write_rps = NEXT_WRITE_RPS;
        }
      sim_restart_node (sim, i, CONTROLLER_PRODUCTION, 0);
    }
}

/* Whoever starts again next has either version; now and then one is replaced. */
static void
draw_versions (Sim *sim)
{
  for (guint i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].controller == NULL)
      sim->nodes[i].version
          = g_rand_boolean (sim->random) ? CONTROLLER_CURRENT : CONTROLLER_PRODUCTION;
  if (g_rand_int_range (sim->random, 0, 4) == 0)
    sim_stop_node (sim, (guint)g_rand_int_range (sim->random, 0, SIM_NODES));
}

void
random_day_run (guint seed, GChecksum *digest)
{
  Sim *sim = sim_new (seed);
  GRand *r = sim->random;
  sim->digest = digest;
  bool versions = seed > RANDOM_DAY_VERSIONS;
  bool limits = versions && seed % 2;
  if (versions)
    begin_with_production (sim, limits);
  guint number = 0;
  /* Now and then the fleet is large, or very large. */
  guint machines = seed % 40 == 0 ? 2000 : seed % 20 == 0 ? 250 : 0;
  if (machines)
    {
      sim->world->capacity = machines + 70;
      for (guint i = 0; i < machines; i++)
        world_add_machine (sim->world, "small", i % 2 ? "a" : "b", false);
    }
  sim->lose = 0.01;
  sim->late = 0.005;
  sim->copies = 0.03;
  if (seed % 3 == 0)
    sim->late_writes = 0.1;
  if (seed % 4 == 0)
    sim->cancel_at_end = 0.4;
  for (guint turn = 0; turn < 60; turn++)
    {
      if (turn % 3 == 0)
        {
          bool service = g_rand_int_range (r, 0, 3) == 0;
          MhJobSpec *s = sim_spec (++number, service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY,
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
          sim_submit (sim, s, service ? 0 : g_rand_double_range (r, 1, 10))->impossible
              = impossible;
        }
      if (turn > 5 && g_rand_int_range (r, 0, 3) == 0)
        some_failure (sim);
      if (sim->users->len && g_rand_int_range (r, 0, 6) == 0)
        sim_cancel (g_ptr_array_index (sim->users, g_rand_int_range (r, 0, (gint)sim->users->len)));
      if (versions)
        draw_versions (sim);
      if (limits && turn == 30)
        {
          sim->settings->value_bytes = NEXT_VALUE_BYTES;
          sim->settings->txn_ops = NEXT_TXN_OPS;
          sim->world->write_rps = NEXT_WRITE_RPS;
        }
      for (guint i = 0; i < SIM_NODES; i++)
        if (g_rand_boolean (r))
          sim_start_node (sim, i);
      sim_run (sim, 2);
      sim_leader (sim); /* asserts that there is at most one */
    }
  /* Then all is well again, and everything that was accepted must come to its end. */
  sim->lose = sim->late = sim->copies = sim->late_writes = 0;
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  for (guint i = 0; i < sim->users->len; i++)
    {
      SimUser *u = g_ptr_array_index (sim->users, i);
      if (u->job->run_us == 0)
        sim_cancel (u);
    }
  bool settled = false;
  for (guint second = 0; second < 400 && !settled; second++)
    {
      settled = sim_until (sim, 1, sim_all_settled, NULL);
      if (second > 60) /* the last troubles are over too */
        world_check_waiting (sim->world);
    }
  sim_assert_rules (sim);
  if (!settled)
    for (guint i = 0; i < sim->users->len; i++)
      {
        const SimUser *u = g_ptr_array_index (sim->users, i);
        guint running = world_running (sim->world, u->job->spec->id);
        if ((!u->told_done && !u->told_cancelled) || running)
          g_printerr ("left: %s, %u of %u done, %u running, last answer %u%s%s\n", u->job->spec->id,
                      u->job->n_done, u->job->spec->tasks, running, u->last_status,
                      u->told_cancelled ? ", told cancelled" : "",
                      u->told_done ? ", told done" : "");
      }
  g_assert_true (settled);
  /* Nobody's job is forgotten: each was asked about many times since. */
  sim_run (sim, 75);
  for (guint i = 0; i < sim->users->len; i++)
    {
      const SimUser *u = g_ptr_array_index (sim->users, i);
      if (!u->impossible)
        g_assert_cmpint (sim->now_us - u->answered_us, <, 75 * MH_SECOND_US);
    }
  g_assert_cmpuint (sim->world->starts, >, 0);
  sim_digest_state (sim);
  sim_free (sim);
}
