#include "controller/core-private.h"

#include "cluster/heartbeat.h"
#include "cluster/machine-registry.h"
#include "protocol/worker-messages.h"
#include "runtime/action-authority.h"

enum
{
  STATUS_MISDIRECTED = 421,
  STATUS_UNAVAILABLE = 503
};

/* ---- steps ---- */

/* Runs after each input: every layer does the work that has become due, then the queued calls that
   the token buckets allow are sent. */
static void
step (MhCore *core)
{
  mh_runtime_reset_wake_up (core->runtime);
  mh_election_step (core->election);
  if (mh_election_is_serving (core->election))
    {
      mh_core_update_recovery (core);
      mh_gang_attempts_reconcile (core->gang_attempts);
      mh_cluster_step (core->cluster);
      mh_placement_run (core->placement, mh_recovery_is_complete (core->recovery));
      mh_autoscaler_step (core->autoscaler);
      mh_record_writer_step (core->record_writer);
    }
  mh_call_queue_flush (core->calls);
  mh_core_log_status_if_due (core);
}

/* ---- inputs ---- */

void
mh_core_tick (MhCore *core, const MhNow *now)
{
  g_return_if_fail (core && now);
  mh_runtime_begin_input (core->runtime, now);
  step (core);
}

void
mh_core_receive_user_request (MhCore *core, const MhNow *now, const MhUserRequest *request)
{
  g_return_if_fail (core && now && request && request->job_id);
  mh_runtime_begin_input (core->runtime, now);
  mh_core_handle_user_request (core, request);
  step (core);
}

static void
redirect_worker (MhCore *core, guint64 id)
{
  MhAction *action = mh_runtime_add_action (core->runtime, MH_ACTION_RESPOND_TO_HEARTBEAT, id);
  action->status = STATUS_MISDIRECTED;
  action->body = mh_redirect_encode (mh_election_leader_name (core->election));
}

void
mh_core_receive_heartbeat (MhCore *core, const MhNow *now, guint64 id, const MhHeartbeat *heartbeat)
{
  g_return_if_fail (core && now && heartbeat);
  mh_runtime_begin_input (core->runtime, now);
  if (mh_election_is_elected (core->election))
    mh_heartbeat_receive (core->cluster, id, heartbeat);
  else
    redirect_worker (core, id);
  step (core);
}

void
mh_core_receive_response (MhCore *core, const MhNow *now, guint64 id, guint status,
                          const MhValue *body)
{
  g_return_if_fail (core && now);
  mh_runtime_begin_input (core->runtime, now);
  mh_call_queue_complete (core->calls, id, &(MhCallResponse){ .status = status, .body = body });
  step (core);
}

void
mh_core_receive_forward_response (MhCore *core, const MhNow *now, guint64 id,
                                  const MhUserResponse *response)
{
  g_return_if_fail (core && now);
  mh_runtime_begin_input (core->runtime, now);
  if (!g_hash_table_contains (core->forwarded_requests, &id))
    return;
  mh_core_handle_forward_response (core, id, response);
  step (core);
}

void
mh_core_receive_announcement (MhCore *core, const MhNow *now, const char *node, guint64 epoch)
{
  g_return_if_fail (core && now && node);
  mh_runtime_begin_input (core->runtime, now);
  mh_election_handle_announcement (core->election, node, epoch);
  step (core);
}

/* ---- outputs ---- */

/* Turns a response into a 503. Of a call only the kind and the id are used afterwards. */
static void
reject_action (MhAction *action)
{
  action->lease_until_us = 0;
  action->status = STATUS_UNAVAILABLE;
  action->response = (MhUserResponse){ .status = STATUS_UNAVAILABLE, .retry_after_s = 1 };
  g_clear_pointer (&action->body, mh_value_unref);
}

static void
report_violation (MhCore *core, const MhAction *action)
{
  mh_runtime_count (core->runtime, MH_COUNTER_INVARIANT_VIOLATIONS);
  mh_runtime_log (
      core->runtime, G_LOG_LEVEL_CRITICAL,
      "invariant violated: action without a leader lease refused kind=%d id=%" G_GUINT64_FORMAT
      " path=%s leads=%s",
      (int)action->kind, action->id, action->request ? action->request->path : "none",
      mh_runtime_is_leader (core->runtime) ? "true" : "false");
}

/* Returns whether the host has to carry the action out, be it as a refusal. Frees it otherwise. */
static bool
refuse_action (MhCore *core, MhAction *action, MhActionAuthority authority)
{
  if (authority == MH_AUTHORITY_NO_LEASE)
    report_violation (core, action);
  reject_action (action);
  if (action->kind == MH_ACTION_RESPOND_TO_USER)
    mh_runtime_count (core->runtime, MH_COUNTER_RESPONSE_AFTER_LEASE);
  if (action->kind != MH_ACTION_SEND_REQUEST)
    return true;
  mh_call_queue_complete (core->calls, action->id, &(MhCallResponse){ .status = 0 });
  mh_action_free (action);
  return false;
}

MhAction *
mh_core_pop_action (MhCore *core, gint64 mono_us)
{
  MhAction *action;
  while ((action = mh_runtime_pop_action (core->runtime)))
    {
      MhActionAuthority authority = mh_action_authority_decide (action, mono_us);
      if (authority == MH_AUTHORITY_GRANTED || refuse_action (core, action, authority))
        break;
    }
  if (action && action->kind == MH_ACTION_RESPOND_TO_USER
      && action->response.status != STATUS_UNAVAILABLE)
    mh_runtime_count (core->runtime, MH_COUNTER_ANSWERED);
  return action;
}

gint64
mh_core_next_wake_up_us (const MhCore *core)
{
  return mh_runtime_next_wake_up_us (core->runtime);
}

bool
mh_core_is_ready (const MhCore *core)
{
  return mh_election_is_ready (core->election);
}

bool
mh_core_is_leader (const MhCore *core)
{
  return mh_election_is_leader (core->election);
}

/* ---- construction and destruction ---- */

static MhCluster *
cluster_new (MhCore *core)
{
  const MhClusterOptions options = { .runtime = core->runtime,
                                     .calls = core->calls,
                                     .election = core->election,
                                     .jobs = core->jobs,
                                     .record_loader = core->record_loader,
                                     .record_writer = core->record_writer,
                                     .runtime_estimator = core->runtime_estimator,
                                     .callbacks = mh_core_cluster_callbacks (),
                                     .owner = core };
  return mh_cluster_new (&options);
}

static MhAutoscaler *
autoscaler_new (MhCore *core)
{
  MhAutoscalerContext context = { .cluster = core->cluster,
                                  .settings = core->settings,
                                  .runtime = core->runtime,
                                  .calls = core->calls,
                                  .election = core->election,
                                  .recovery = core->recovery,
                                  .record_writer = core->record_writer,
                                  .jobs = core->jobs,
                                  .job_queue = core->job_queue,
                                  .runtime_estimator = core->runtime_estimator };
  return mh_autoscaler_new (&context);
}

MhCore *
mh_core_new (const MhSettings *settings, const MhNow *now)
{
  MhCore *core = g_new0 (MhCore, 1);
  core->settings = settings;
  core->runtime = mh_runtime_new (settings, now);
  core->calls = mh_call_queue_new (core->runtime);
  core->election
      = mh_election_new (core->runtime, core->calls, mh_core_election_callbacks (), core);
  core->recovery = mh_recovery_new ();
  core->forwarded_requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)mh_job_free);
  mh_core_storage_init (core);
  core->final_states = mh_final_state_cache_new (core->settings->memory_bytes);
  core->runtime_estimator = mh_runtime_estimator_new ();
  core->cluster = cluster_new (core);
  core->gang_attempts = mh_gang_attempts_new (core->cluster, core->runtime, core->jobs);
  core->job_queue = mh_job_queue_new (core->settings, core->jobs, core->runtime_estimator);
  core->placement
      = mh_placement_new (core->cluster, core->runtime, core->record_writer, core->job_queue);
  core->autoscaler = autoscaler_new (core);
  if (mh_heartbeat_keep_alive_us (core->cluster) <= 0)
    mh_runtime_log (core->runtime, G_LOG_LEVEL_WARNING,
                    "cancel_s is too short in relation to the workers' lease_s: during a key-value "
                    "store outage no task is kept alive for longer than that lease");
  return core;
}

void
mh_core_free (MhCore *core)
{
  if (core == NULL)
    return;
  mh_record_writer_clear (core->record_writer);
  mh_cluster_clear (core->cluster);
  mh_gang_attempts_clear (core->gang_attempts);
  mh_call_queue_forget_all (core->calls);
  mh_core_storage_free (core);
  g_hash_table_unref (core->forwarded_requests);
  g_hash_table_unref (core->jobs);
  mh_final_state_cache_free (core->final_states);
  mh_job_queue_free (core->job_queue);
  g_clear_pointer (&core->cluster, mh_cluster_free);
  mh_gang_attempts_free (core->gang_attempts);
  mh_placement_free (core->placement);
  mh_runtime_estimator_free (core->runtime_estimator);
  mh_recovery_free (core->recovery);
  mh_election_free (core->election);
  mh_call_queue_free (core->calls);
  mh_autoscaler_free (core->autoscaler);
  mh_runtime_free (core->runtime);
  g_free (core);
}
