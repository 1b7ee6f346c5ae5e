/* What the controller does as leadership comes and goes: it loads the records, begins, refuses
   users who wait, and forgets what the leadership knew. The election decides when. */
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
  mh_cluster_records_loaded (core->cluster);
  mh_log_info (core->runtime, "records loaded, waiting for the workers' reports unfinished_jobs=%u",
               g_hash_table_size (core->jobs));
}

static void
refuse_waiting_users (gpointer owner)
{
  MhCore *core = owner;
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, core->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    {
      GArray *waiters = ((MhJob *)job)->waiters;
      for (guint i = 0; i < waiters->len; i++)
        mh_runtime_answer_user (core->runtime, g_array_index (waiters, MhWaiter, i).id, 503, 1);
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

/* Workers' reports were refused for a while if the bound on keeping their tasks alive was over:
   that nothing was heard meanwhile says nothing of the workers. After an outage of a minute a whole
   fleet was once given back as silent. */
static void
note_pause (gpointer owner, gint64 last_renewal_us)
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
                                                 .refuse_waiting = refuse_waiting_users,
                                                 .clear = clear_leadership,
                                                 .renewed_after_pause = note_pause };
  return &callbacks;
}

/* Every machine that a record or the cloud's list knows as running has reported. One that gives no
   answer either will not report. */
static bool
all_machines_reported (const MhCore *core)
{
  if (mh_cluster_types (core->cluster) == NULL || !mh_autoscaler_is_listed (core->autoscaler))
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
      || !mh_recovery_update (core->recovery, now_us, all_machines_reported (core)))
    return;
  mh_placement_request_pass (core->placement, false);
  mh_log_info (core->runtime, "recovery complete seconds_since_election=%.1f",
               (double)(now_us - mh_election_elected_us (core->election)) / MH_SECOND_US);
}
