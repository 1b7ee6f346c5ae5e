/* The faults of the soak, at random moments; two or three overlap. */
#include "election/leader-record.h"
#include "protocol/key-value-messages.h"
#include "soak/soak.h"

#include <signal.h>
#include <string.h>

#define FAULT_INTERVAL_MS 1800
#define MAX_FAULT_MS 7000
#define MIN_FAULT_MS 50
#define MAX_STORE_DELAY_MS 300
#define HUNG_WORKERS_DIVISOR 4u

typedef enum
{
  FAULT_KILL,
  FAULT_KILL_LEADER,
  FAULT_KILL_ALL,
  FAULT_PAUSE,
  FAULT_STORE_LINK_REFUSED,
  FAULT_STORE_LINK_HELD,
  FAULT_STORE_ANSWERS_HELD,
  FAULT_PEER_LINK_REFUSED,
  FAULT_PEER_LINK_HELD,
  FAULT_PEERS_CUT,
  FAULT_STORE_SLOW,
  FAULT_STORE_OUTAGE,
  FAULT_WORKERS_HANG
} FaultKind;
#define FAULT_KINDS 13

typedef struct
{
  FaultKind kind;
  guint node, other_node;
  gint64 begins_us, ends_us; /* after the start of the run */
  gint64 delay_us;           /* of a slow store */
  bool has_begun, has_ended;
} SoakFault;

static const char *const names[FAULT_KINDS]
    = { "kill",       "kill-leader",        "kill-all",     "pause",     "store-refused",
        "store-held", "store-answers-held", "peer-refused", "peer-held", "peers-cut",
        "store-slow", "store-outage",       "workers-hang" };

void
soak_faults_draw (Soak *soak)
{
  GRand *random = soak->random;
  guint count = soak->options.seconds * 1000 / FAULT_INTERVAL_MS;
  gint32 duration_ms = (gint32)soak->options.seconds * 1000;
  for (guint i = 0; i < count; i++)
    {
      SoakFault *fault = g_new0 (SoakFault, 1);
      fault->kind = (FaultKind)g_rand_int_range (random, 0, FAULT_KINDS);
      fault->node = (guint)g_rand_int_range (random, 0, LOOPBACK_NODES);
      fault->other_node
          = (fault->node + (guint)g_rand_int_range (random, 1, LOOPBACK_NODES)) % LOOPBACK_NODES;
      fault->begins_us = g_rand_int_range (random, 0, duration_ms) * MH_MILLISECOND_US;
      fault->ends_us = fault->begins_us
                       + g_rand_int_range (random, MIN_FAULT_MS, MAX_FAULT_MS) * MH_MILLISECOND_US;
      fault->delay_us = g_rand_int_range (random, 1, MAX_STORE_DELAY_MS) * MH_MILLISECOND_US;
      g_ptr_array_add (soak->faults, fault);
    }
}

/* ---- effects ---- */

/* Returns the controller that the leader key names, or the first one. */
static guint
find_leader (const Soak *soak)
{
  const ServiceRequest request = { .method = "GET", .path = "/kv/" MH_LEADER_KEY };
  ServiceResponse response = { 0 };
  g_autofree char *name = NULL;
  guint64 epoch = 0;
  guint64 lease_id = 0;
  key_value_store_serve (soak->cluster->environment->store, &request, &response);
  MhKvEntry *entry = response.status == 200 ? mh_kv_entry_decode (response.body, NULL) : NULL;
  bool is_known = entry && mh_leader_record_read (entry->value, &name, &epoch, &lease_id);
  mh_kv_entry_free (entry);
  mh_value_unref (response.body);
  return is_known ? (guint)(name[strlen (name) - 1] - '0') % LOOPBACK_NODES : 0;
}

static void
set_peer_links (Soak *soak, const SoakFault *fault, LinkState state)
{
  link_proxy_set_state (soak->peer_links[fault->node][fault->other_node], state);
  if (fault->kind != FAULT_PEERS_CUT)
    return;
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    if (i != fault->node)
      {
        link_proxy_set_state (soak->peer_links[fault->node][i], state);
        link_proxy_set_state (soak->peer_links[i][fault->node], state);
      }
}

static void
hang_workers (Soak *soak, const SoakFault *fault)
{
  const GPtrArray *machines = soak->cluster->environment->cloud->machines;
  for (guint i = fault->node; i < machines->len; i += HUNG_WORKERS_DIVISOR)
    ((Machine *)g_ptr_array_index (machines, i))->hung_until_us = soak->started_us + fault->ends_us;
}

static void
stop_nodes (Soak *soak, SoakFault *fault)
{
  if (fault->kind == FAULT_KILL_LEADER)
    fault->node = find_leader (soak);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    if (i == fault->node || fault->kind == FAULT_KILL_ALL)
      loopback_cluster_stop (soak->cluster, i);
}

static void
begin (Soak *soak, SoakFault *fault)
{
  switch (fault->kind)
    {
    case FAULT_KILL:
    case FAULT_KILL_LEADER:
    case FAULT_KILL_ALL:
      stop_nodes (soak, fault);
      break;
    case FAULT_PAUSE:
      loopback_cluster_signal (soak->cluster, fault->node, SIGSTOP);
      break;
    case FAULT_STORE_LINK_REFUSED:
      link_proxy_set_state (soak->store_links[fault->node], LINK_REFUSED);
      break;
    case FAULT_STORE_LINK_HELD:
      link_proxy_set_state (soak->store_links[fault->node], LINK_HELD);
      break;
    case FAULT_STORE_ANSWERS_HELD:
      link_proxy_set_state (soak->store_links[fault->node], LINK_ANSWERS_HELD);
      break;
    case FAULT_PEER_LINK_REFUSED:
      set_peer_links (soak, fault, LINK_REFUSED);
      break;
    case FAULT_PEER_LINK_HELD:
    case FAULT_PEERS_CUT:
      set_peer_links (soak, fault, LINK_HELD);
      break;
    case FAULT_STORE_SLOW:
      soak->cluster->service_delay_us = fault->delay_us;
      break;
    case FAULT_STORE_OUTAGE:
      soak->cluster->environment->store->outage_until_us = soak->started_us + fault->ends_us;
      break;
    case FAULT_WORKERS_HANG:
      hang_workers (soak, fault);
      break;
    }
}

static void
start_stopped_nodes (Soak *soak)
{
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    if (soak->cluster->nodes[i].process == NULL)
      loopback_cluster_start (soak->cluster, i);
}

/* A later fault of the same kind and place ends with the first of them. */
static void
end (Soak *soak, const SoakFault *fault)
{
  switch (fault->kind)
    {
    case FAULT_KILL:
    case FAULT_KILL_LEADER:
    case FAULT_KILL_ALL:
      start_stopped_nodes (soak);
      break;
    case FAULT_PAUSE:
      loopback_cluster_signal (soak->cluster, fault->node, SIGCONT);
      break;
    case FAULT_STORE_LINK_REFUSED:
    case FAULT_STORE_LINK_HELD:
    case FAULT_STORE_ANSWERS_HELD:
      link_proxy_set_state (soak->store_links[fault->node], LINK_OPEN);
      break;
    case FAULT_PEER_LINK_REFUSED:
    case FAULT_PEER_LINK_HELD:
    case FAULT_PEERS_CUT:
      set_peer_links (soak, fault, LINK_OPEN);
      break;
    case FAULT_STORE_SLOW:
      soak->cluster->service_delay_us = 0;
      break;
    case FAULT_STORE_OUTAGE:
    case FAULT_WORKERS_HANG:
      break;
    }
}

bool
soak_faults_step (Soak *soak)
{
  gint64 now_us = g_get_monotonic_time () - soak->started_us;
  bool all_ended = true;
  for (guint i = 0; i < soak->faults->len; i++)
    {
      SoakFault *fault = g_ptr_array_index (soak->faults, i);
      if (!fault->has_begun && now_us >= fault->begins_us)
        {
          fault->has_begun = true;
          begin (soak, fault);
          soak_log (soak, "fault %s begins node=%u other=%u", names[fault->kind], fault->node,
                    fault->other_node);
        }
      if (fault->has_begun && !fault->has_ended && now_us >= fault->ends_us)
        {
          fault->has_ended = true;
          end (soak, fault);
          soak_log (soak, "fault %s ends node=%u", names[fault->kind], fault->node);
        }
      all_ended &= fault->has_ended;
    }
  return all_ended;
}
