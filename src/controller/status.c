#include "controller/status.h"

#include "controller/core-private.h"

/* Interval between two status lines. */
#define STATUS_INTERVAL_US (10 * MH_SECOND_US)

const char *
mh_status_queue_name (MhStatusQueue queue)
{
  static const char *const names[MH_STATUS_QUEUES] = {
    [MH_STATUS_QUEUE_STORE_SAFETY] = "store_safety",
    [MH_STATUS_QUEUE_STORE_WORK] = "store_work",
    [MH_STATUS_QUEUE_STORE_BACKGROUND] = "store_background",
    [MH_STATUS_QUEUE_CLOUD] = "cloud",
    [MH_STATUS_QUEUE_WORKERS] = "workers",
    [MH_STATUS_QUEUE_USER_RECORDS] = "user_records",
    [MH_STATUS_QUEUE_START_RECORDS] = "start_records",
    [MH_STATUS_QUEUE_PROGRESS_RECORDS] = "progress_records",
  };
  g_return_val_if_fail ((guint)queue < MH_STATUS_QUEUES, "unknown");
  return names[queue];
}

const char *
mh_status_call_pool_name (MhCallPool pool)
{
  static const char *const names[MH_CALL_POOLS] = {
    [MH_CALL_POOL_LEASE] = "lease_calls",     [MH_CALL_POOL_STORE] = "store_calls",
    [MH_CALL_POOL_USER_READS] = "user_reads", [MH_CALL_POOL_CLOUD] = "cloud_calls",
    [MH_CALL_POOL_WORKERS] = "worker_calls",
  };
  g_return_val_if_fail ((guint)pool < MH_CALL_POOLS, "unknown");
  return names[pool];
}

static const char *
get_role (const MhElection *election)
{
  switch (mh_election_state (election))
    {
    case MH_LEADERSHIP_CAMPAIGNING:
      return "campaigning";
    case MH_LEADERSHIP_LOADING:
      return "loading";
    case MH_LEADERSHIP_LEADING:
      return mh_election_is_leader (election) ? "leading" : "lapsed";
    case MH_LEADERSHIP_STEPPING_DOWN:
      return "stepping_down";
    default:
      return "following";
    }
}

static MhBacklog
get_store_backlog (const MhCore *core, MhCallClass class)
{
  return mh_call_queue_get_backlog (core->calls, MH_TARGET_KEY_VALUE_STORE, class);
}

void
mh_core_get_status (const MhCore *core, MhStatus *status)
{
  g_return_if_fail (core && status);
  const MhRecordWriter *writer = core->record_writer;
  MhBacklog *queues = status->queues;
  status->role = get_role (core->election);
  status->is_ready = mh_core_is_ready (core);
  status->epoch = mh_election_epoch (core->election);
  status->lease_left_us
      = MAX (0, mh_election_lease_until_us (core->election) - mh_runtime_now_us (core->runtime));
  status->jobs = g_hash_table_size (core->jobs);
  queues[MH_STATUS_QUEUE_STORE_SAFETY] = get_store_backlog (core, MH_CALL_SAFETY);
  queues[MH_STATUS_QUEUE_STORE_WORK] = get_store_backlog (core, MH_CALL_WORK);
  queues[MH_STATUS_QUEUE_STORE_BACKGROUND] = get_store_backlog (core, MH_CALL_BACKGROUND);
  queues[MH_STATUS_QUEUE_CLOUD]
      = mh_call_queue_get_backlog (core->calls, MH_TARGET_CLOUD, MH_CALL_WORK);
  queues[MH_STATUS_QUEUE_WORKERS]
      = mh_call_queue_get_backlog (core->calls, MH_TARGET_WORKER, MH_CALL_WORK);
  queues[MH_STATUS_QUEUE_USER_RECORDS] = mh_record_writer_get_backlog (writer, MH_URGENCY_USER);
  queues[MH_STATUS_QUEUE_START_RECORDS] = mh_record_writer_get_backlog (writer, MH_URGENCY_START);
  queues[MH_STATUS_QUEUE_PROGRESS_RECORDS]
      = mh_record_writer_get_backlog (writer, MH_URGENCY_PROGRESS);
  for (guint i = 0; i < MH_CALL_POOLS; i++)
    status->in_flight[i] = mh_call_queue_get_in_flight (core->calls, (MhCallPool)i);
}

guint64
mh_core_get_count (const MhCore *core, MhCounter counter)
{
  g_return_val_if_fail (core, 0);
  return mh_runtime_get_count (core->runtime, counter);
}

/* ---- the periodic line ---- */

static void
append_backlog (GString *line, const char *name, const MhBacklog *backlog)
{
  if (backlog->waiting)
    g_string_append_printf (line, " %s=%u %s_oldest_ms=%d", name, backlog->waiting, name,
                            (int)(backlog->oldest_age_us / MH_MILLISECOND_US));
}

/* Appends the queues that are not empty, and the pools with calls in flight. */
static void
append_backlogs (GString *line, const MhStatus *status)
{
  for (guint i = 0; i < MH_STATUS_QUEUES; i++)
    append_backlog (line, mh_status_queue_name ((MhStatusQueue)i), &status->queues[i]);
  for (guint i = 0; i < MH_CALL_POOLS; i++)
    append_backlog (line, mh_status_call_pool_name ((MhCallPool)i), &status->in_flight[i]);
}

/* Appends the counters that are not 0. */
static void
append_counters (GString *line, const MhCore *core)
{
  for (guint i = 0; i < MH_COUNTERS; i++)
    {
      guint64 count = mh_core_get_count (core, (MhCounter)i);
      if (count)
        g_string_append_printf (line, " %s=%" G_GUINT64_FORMAT, mh_counter_name ((MhCounter)i),
                                count);
    }
}

void
mh_core_log_status_if_due (MhCore *core)
{
  gint64 now_us = mh_runtime_now_us (core->runtime);
  if (now_us < core->status_due_us)
    return;
  core->status_due_us = now_us + STATUS_INTERVAL_US;
  MhStatus status;
  mh_core_get_status (core, &status);
  g_autoptr (GString) line = g_string_new (NULL);
  append_backlogs (line, &status);
  append_counters (line, core);
  mh_log_info (core->runtime,
               "controller status role=%s ready=%s epoch=%" G_GUINT64_FORMAT
               " lease_left_ms=%d jobs=%u%s",
               status.role, status.is_ready ? "true" : "false", status.epoch,
               (int)(status.lease_left_us / MH_MILLISECOND_US), status.jobs, line->str);
}
