#include "stand-in/random-fault.h"

#define FIRST_ODD_JOB_NUMBER 900000u

/* What the fault affects, and until when. */
typedef struct
{
  Simulation *simulation;
  ControllerNode *node;
  Worker *worker; /* NULL: no machine exists yet */
  gint64 until_us;
} Fault;

typedef void (*FaultFunc) (const Fault *fault);

/* ---- controllers ---- */

static void
stop_node (const Fault *fault)
{
  controller_node_stop (fault->node);
}

static void
stop_all_nodes (const Fault *fault)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    simulation_stop_node (fault->simulation, i);
}

/* Restarts the node within 0.4 s, whatever it was doing, for example in the middle of an election.
 */
static void
restart_node (const Fault *fault)
{
  controller_node_stop (fault->node);
  simulation_run (fault->simulation, g_rand_double_range (fault->simulation->random, 0.01, 0.4));
  controller_node_start (fault->node);
}

static void
pause_node (const Fault *fault)
{
  double seconds = g_rand_double_range (fault->simulation->random, 0.3, 20);
  simulation_pause_node (fault->simulation, fault->node->index, seconds);
}

/* Pauses the node between its decision and the sending of the messages. */
static void
pause_before_acting (const Fault *fault)
{
  fault->node->pause_before_acting_us
      = g_rand_int_range (fault->simulation->random, 1, 12) * MH_SECOND_US;
}

/* ---- connections of controllers ---- */

static void
cut_store (const Fault *fault)
{
  fault->node->store_cut_until_us = fault->until_us;
}

static void
cut_peers (const Fault *fault)
{
  fault->node->peers_cut_until_us = fault->until_us;
}

static void
cut_workers (const Fault *fault)
{
  fault->node->workers_cut_until_us = fault->until_us;
}

/* The node can reach only its workers. */
static void
cut_store_and_peers (const Fault *fault)
{
  cut_store (fault);
  cut_peers (fault);
}

/* The store rejects the requests of this node. In half of the cases an outage of the store for all
   nodes begins at the same time, and lasts 30 s longer. */
static void
reject_at_store (const Fault *fault)
{
  fault->node->store_rejects_until_us = fault->until_us;
  if (g_rand_boolean (fault->simulation->random))
    fault->simulation->store->outage_until_us = fault->until_us + 30 * MH_SECOND_US;
}

static void
lose_key_lists (const Fault *fault)
{
  fault->node->key_lists_lost_until_us = fault->until_us;
}

static void
lose_heartbeats_to_node (const Fault *fault)
{
  fault->node->heartbeats_lost_until_us = fault->until_us;
}

/* ---- services ---- */

static void
begin_store_outage (const Fault *fault)
{
  fault->simulation->store->outage_until_us = fault->until_us;
}

static void
begin_cloud_outage (const Fault *fault)
{
  fault->simulation->cloud->outage_until_us = fault->until_us;
}

/* ---- workers ---- */

static void
hang_machine (const Fault *fault)
{
  if (fault->worker)
    fault->worker->machine->hung_until_us = fault->until_us;
}

static void
fail_machine (const Fault *fault)
{
  if (fault->worker)
    machine_fail (fault->worker->machine);
}

static void
cut_worker (const Fault *fault)
{
  if (fault->worker)
    fault->worker->cut_until_us = fault->until_us;
}

static void
lose_messages_to_worker (const Fault *fault)
{
  if (fault->worker)
    fault->worker->responses_lost_until_us = fault->until_us + 20 * MH_SECOND_US;
}

/* No heartbeat reaches a controller, but commands reach the worker. */
static void
lose_heartbeats_of_worker (const Fault *fault)
{
  if (fault->worker)
    fault->worker->heartbeats_lost_until_us = fault->until_us + 20 * MH_SECOND_US;
}

/* ---- users ---- */

/* Submits a job that can never run, and cancels the jobs that are done. */
static void
send_odd_requests (const Fault *fault)
{
  Simulation *simulation = fault->simulation;
  MhJobSpec *spec
      = job_spec_new (FIRST_ODD_JOB_NUMBER + simulation->users->len, MH_SHAPE_ARRAY, 1, 1);
  if (g_rand_boolean (simulation->random))
    spec->mem_gb = 1000;
  else
    {
      g_free (spec->team);
      spec->team = g_strdup ("nobody");
    }
  for (guint i = 0; i < simulation->users->len; i++)
    {
      User *user = g_ptr_array_index (simulation->users, i);
      if (user->reported_done)
        user_cancel (user);
    }
  simulation_submit (simulation, spec, 1)->infeasible = true;
}

/* The order must not change: a random day draws its faults by index. */
static const FaultFunc faults[] = {
  stop_node,
  stop_node,
  stop_all_nodes,
  cut_store,
  cut_peers,
  cut_workers,
  begin_store_outage,
  begin_cloud_outage,
  hang_machine,
  cut_worker,
  restart_node,
  cut_store_and_peers,
  pause_node,
  pause_before_acting,
  lose_messages_to_worker,
  lose_heartbeats_of_worker,
  reject_at_store,
  lose_heartbeats_to_node,
  lose_key_lists,
  send_odd_requests,
  fail_machine,
};

void
random_fault_inject (Simulation *simulation)
{
  GRand *random = simulation->random;
  const GPtrArray *workers = simulation->workers;
  Fault fault = { .simulation = simulation };
  fault.node = &simulation->nodes[g_rand_int_range (random, 0, SIMULATION_NODES)];
  fault.until_us = simulation->clock->now_us + g_rand_int_range (random, 1, 25) * MH_SECOND_US;
  if (workers->len)
    fault.worker = g_ptr_array_index (workers, g_rand_int_range (random, 0, (gint)workers->len));
  faults[g_rand_int_range (random, 0, G_N_ELEMENTS (faults))](&fault);
}
