/* The handlers of changes of leadership, which the election calls: they load the records, start the
   work as leader, reject waiting users and clear the state of a leadership that has ended. */
#include "controller/core-private.h"

#include "cluster/failure-detection.h"
#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"

static void
load_records (gpointer owner)
{
  MhCore *core = owner;
  mh_record_writer_begin (core->record_writer, mh_election_epoch (core->election),
                          mh_election_key_version (core->election));
  mh_record_loader_start (core->record_loader);
}

static void
start_leading (gpointer owner)
{
  MhCore *core = owner;
  mh_recovery_begin (core->recovery, mh_runtime_now_us (core->runtime),
                     core->settings->heartbeat_interval_us);
  mh_placement_request_pass (core->placement, false);
  mh_cluster_resume_loaded_jobs (core->cluster);
  mh_log_info (core->runtime, "records loaded, waiting for heartbeats unfinished_jobs=%u",
               g_hash_table_size (core->jobs));
}

static void
reject_waiting_users (gpointer owner)
{
  MhCore *core = owner;
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    {
      GArray *waiters = ((MhJob *)job)->waiters;
      for (guint i = 0; i < waiters->len; i++)
        mh_runtime_respond_unavailable (core->runtime, g_array_index (waiters, MhWaiter, i).id,
                                        MH_COUNTER_REJECTED_WAITER);
      g_array_set_size (waiters, 0);
    }
}

static void
clear_leadership (gpointer owner)
{
  MhCore *core = owner;
  mh_record_writer_clear (core->record_writer);
  mh_cluster_clear (core->cluster);
  mh_gang_attempts_clear (core->gang_attempts);
  mh_autoscaler_reset (core->autoscaler);
  g_hash_table_remove_all (core->jobs);
  mh_record_loader_clear (core->record_loader);
}

/* A leader that cannot renew its lease rejects heartbeats once mh_heartbeat_keep_alive_us () has
   passed since the last renewal. The time in which it rejected them must not count as silence of
   the workers: without this, an outage of one minute led to the release of the whole fleet as
   silent. */
static void
on_renewed_after_lapse (gpointer owner, gint64 last_renewal_us)
{
  MhCore *core = owner;
  if (mh_runtime_now_us (core->runtime)
      >= last_renewal_us + mh_heartbeat_keep_alive_us (core->cluster))
    mh_runtime_mark_resumed (core->runtime);
}

const MhElectionCallbacks *
mh_core_election_callbacks (void)
{
  static const MhElectionCallbacks callbacks = { .elected = load_records,
                                                 .leading = start_leading,
                                                 .reject_waiting_users = reject_waiting_users,
                                                 .clear_state = clear_leadership,
                                                 .renewed_after_lapse = on_renewed_after_lapse };
  return &callbacks;
}

/* Whether every machine that is running according to a record or to the cloud's list has reported
   to this leader. Unreachable machines are not waited for: they answer no probe, so no heartbeat is
   to be expected either. */
static bool
have_all_machines_reported (const MhCore *core)
{
  if (mh_cluster_types (core->cluster) == NULL
      || !mh_autoscaler_is_inventory_loaded (core->autoscaler))
    return false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core->cluster));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const MhMachine *machine = value;
      if (!mh_machine_is_releasing (machine) && !machine->heartbeat.reported
          && !mh_failure_is_unreachable (machine)
          && (machine->listed_running || machine->attempts->len))
        return false;
    }
  return true;
}

void
mh_core_update_recovery (MhCore *core)
{
  gint64 now_us = mh_runtime_now_us (core->runtime);
  if (mh_recovery_is_complete (core->recovery)
      || !mh_recovery_update (core->recovery, now_us, have_all_machines_reported (core)))
    return;
  mh_placement_request_pass (core->placement, false);
  mh_log_info (core->runtime, "recovery complete seconds_since_election=%.1f",
               (double)(now_us - mh_election_elected_us (core->election)) / MH_SECOND_US);
}
