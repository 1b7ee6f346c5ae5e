#include "cluster/fencing.h"
#include "cluster/cluster-state.h"
#include "election/election.h"
#include "protocol/worker-messages.h"

#include <string.h>

/* Limits the unfenced direct starts of a machine: above it the token is raised even if no clear is
   held. */
#define MAX_UNFENCED_STARTS 64u

static MhUnfencedStart *
start_at (const MhMachine *machine, guint index)
{
  return &g_array_index (machine->fencing.unfenced_starts, MhUnfencedStart, index);
}

guint64
mh_fencing_token (const MhCluster *cluster, const MhMachine *machine)
{
  return mh_election_epoch (cluster->election) + (machine ? machine->fencing.token_raises : 0);
}

MhUnfencedStart *
mh_fencing_find_start (const MhMachine *machine, const char *job, guint index, guint64 attempt)
{
  for (guint i = 0; i < machine->fencing.unfenced_starts->len; i++)
    {
      MhUnfencedStart *start = start_at (machine, i);
      if (start->index == index && start->attempt == attempt && strcmp (start->job, job) == 0)
        return start;
    }
  return NULL;
}

void
mh_fencing_add_start (MhMachine *machine, const MhCommand *command, guint64 token)
{
  MhUnfencedStart start = { .job = g_strdup (command->job),
                            .index = command->index,
                            .attempt = command->attempt,
                            .token = token,
                            .incarnation = machine->heartbeat.incarnation };
  g_array_append_val (machine->fencing.unfenced_starts, start);
}

void
mh_fencing_remove_start (MhMachine *machine, const MhUnfencedStart *start)
{
  g_array_remove_index_fast (machine->fencing.unfenced_starts,
                             (guint)(start - start_at (machine, 0)));
}

bool
mh_fencing_has_lost_start (const MhMachine *machine)
{
  for (guint i = 0; i < machine->fencing.unfenced_starts->len; i++)
    if (start_at (machine, i)->lost)
      return true;
  return false;
}

void
mh_fencing_remove_fenced (MhMachine *machine)
{
  const MhMachineHeartbeat *heartbeat = &machine->heartbeat;
  for (guint i = 0; i < machine->fencing.unfenced_starts->len;)
    {
      const MhUnfencedStart *start = start_at (machine, i);
      if (start->incarnation < heartbeat->incarnation || start->token < heartbeat->token)
        g_array_remove_index_fast (machine->fencing.unfenced_starts, i);
      else
        i++;
    }
}

static bool
is_clear_overdue (const MhCluster *cluster, const MhMachine *machine)
{
  gint64 since_us = machine->fencing.clear_held_since_us;
  return since_us
         && mh_runtime_now_us (cluster->runtime) - since_us
                > cluster->settings->worker_lease_us / 2;
}

/* Whether a higher token would fence a start that the present one does not. */
static bool
has_start_with_current_token (const MhCluster *cluster, const MhMachine *machine)
{
  guint64 token = mh_fencing_token (cluster, machine);
  for (guint i = 0; i < machine->fencing.unfenced_starts->len; i++)
    if (start_at (machine, i)->token == token)
      return true;
  return false;
}

void
mh_fencing_raise_token_if_needed (MhCluster *cluster, MhMachine *machine)
{
  MhMachineFencing *fencing = &machine->fencing;
  bool needed = fencing->unfenced_starts->len > MAX_UNFENCED_STARTS
                || is_clear_overdue (cluster, machine) || mh_fencing_has_lost_start (machine);
  if (!needed || !has_start_with_current_token (cluster, machine))
    return;
  if (fencing->token_raises + 2 >= MH_EPOCHS_PER_LEADERSHIP)
    {
      mh_election_step_down (cluster->election, MH_LOSS_TOKENS_EXHAUSTED);
      return;
    }
  fencing->token_raises++;
  fencing->clear_held_since_us = 0;
  mh_log_debug (cluster->runtime, "fencing token raised machine=%s token=%" G_GUINT64_FORMAT,
                machine->name, mh_fencing_token (cluster, machine));
}
