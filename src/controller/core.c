#include "controller/core-private.h"

#include <string.h>

/* A user waits two seconds for an answer. */
#define FORWARD_TIMEOUT_US (MH_SECOND_US * 3 / 2)
/* Calls of modules that still take the whole core. */
typedef struct
{
  MhCoreReplyFunc func;
  gpointer data;
  GDestroyNotify free;
} CoreCall;

static void
core_call_free (gpointer data)
{
  CoreCall *call = data;
  if (call->free)
    call->free (call->data);
  g_free (call);
}

static void
core_call_reply (gpointer owner, gpointer data, const MhReply *reply)
{
  CoreCall *call = data;
  call->func (owner, call->data, reply->status, reply->body);
}

void
mh_core_call (MhCore *core, MhCallClass class, MhRequest *request, double writes, gint64 timeout_us,
              MhCoreReplyFunc func, gpointer data, GDestroyNotify free)
{
  CoreCall *call = g_new0 (CoreCall, 1);
  call->func = func;
  call->data = data;
  call->free = free;
  mh_call_queue_add (core->calls, request,
                     &(MhCallOptions){ .class = class,
                                       .changes = writes,
                                       .timeout_us = timeout_us,
                                       .func = core_call_reply,
                                       .owner = core,
                                       .data = call,
                                       .free_data = core_call_free });
}

/* The process may stand still between deciding and sending, while its clocks run on: what rests on
   a lease is judged once more, by a fresh clock. */
MhAction *
mh_core_pop (MhCore *core, gint64 mono_us)
{
  MhAction *action;
  while ((action = mh_runtime_pop_action (core->runtime)) && action->lease_until_us
         && mono_us >= action->lease_until_us)
    {
      action->lease_until_us = 0;
      action->status = 503;
      action->answer = (MhUserAnswer){ .status = 503, .retry_after_s = 1 };
      g_clear_pointer (&action->body, mh_value_unref);
      if (action->kind != MH_ACTION_CALL)
        break;
      mh_call_queue_complete (core->calls, action->id, &(MhReply){ .status = 0 });
      mh_action_free (action);
    }
  return action;
}

gint64
mh_core_next_wake (const MhCore *core)
{
  return mh_runtime_next_wake_up_us (core->runtime);
}

/* Every input begins here. */
static void
enter (MhCore *core, const MhNow *now)
{
  mh_runtime_begin_input (core->runtime, now);
  core->now = *now;
}

void
mh_core_reply (MhCore *core, const MhNow *now, guint64 id, guint status, const MhValue *body)
{
  enter (core, now);
  mh_call_queue_complete (core->calls, id, &(MhReply){ .status = status, .body = body });
  mh_core_step (core);
}

/* ---- users ---- */

void
mh_core_answer_job (MhCore *core, guint64 id, const MhJob *job, guint status)
{
  MhAction *a = mh_core_act (core, MH_ACTION_ANSWER_USER, id);
  mh_job_fill_answer (job, &a->answer);
  a->answer.status = status;
}

void
mh_core_final (MhCore *core, const char *id, const MhUserAnswer *answer)
{
  mh_final_answers_add (core->final_answers, id, answer);
}

/* 400: too large to keep. 422: can never run here. 0: can. 503: not known yet. */
static guint
judge (MhCore *core, const MhJobSpec *spec)
{
  /* One that does not fit would be refused by the state service time and again, and end each
     leadership. */
  if (mh_job_tasks_per_record (spec, core->settings->value_bytes) == 0)
    return 400;
  const MhTeam *team = mh_settings_team (core->settings, spec->team);
  if (team == NULL)
    return 422;
  double n = spec->shape == MH_SHAPE_ARRAY ? 1 : spec->tasks;
  if (spec->cpus * n > team->cpus_max + 1e-9 || spec->gpus * n > team->gpus_max + 1e-9)
    return 422;
  if (mh_cluster_types (core->cluster) == NULL)
    return 503;
  for (guint i = 0; i < mh_cluster_types (core->cluster)->len; i++)
    if (mh_job_spec_fits_type (spec, g_ptr_array_index (mh_cluster_types (core->cluster), i)))
      return spec->shape == MH_SHAPE_GANG
                     && !mh_gang_is_feasible (mh_cluster_types (core->cluster), spec)
                 ? 422
                 : 0;
  return 422;
}

/* A user may allow thousands of machine types; only those that exist can matter, and only they have
   to fit the job's record. */
static void
keep_known_types (const MhCore *core, MhJobSpec *spec)
{
  if (spec->types == NULL || mh_cluster_types (core->cluster) == NULL)
    return;
  g_autoptr (GStrvBuilder) known = g_strv_builder_new ();
  for (guint i = 0; i < mh_cluster_types (core->cluster)->len; i++)
    {
      const MhMachineType *t = g_ptr_array_index (mh_cluster_types (core->cluster), i);
      if (g_strv_contains ((const char *const *)spec->types, t->name))
        g_strv_builder_add (known, t->name);
    }
  g_strfreev (spec->types);
  spec->types = g_strv_builder_end (known);
}

static void
submit (MhCore *core, guint64 id, MhJobSpec *spec)
{
  MhJob *job = g_hash_table_lookup (core->jobs, spec->id);
  const MhUserAnswer *final = mh_final_answers_find (core->final_answers, spec->id);
  if (final || (job && job->accepted))
    {
      /* A repeated submission may wait in memory beside the final answer, which holds: it once was
         answered as a job that waits. */
      if (final)
        mh_core_act (core, MH_ACTION_ANSWER_USER, id)->answer = *final;
      else
        mh_core_answer_job (core, id, job, 200);
      mh_job_spec_free (spec);
      return;
    }
  if (job == NULL)
    {
      keep_known_types (core, spec);
      guint status = judge (core, spec);
      if (status == 422)
        {
          /* An accepted job is never refused later, whatever the settings have become. */
          mh_job_lookup_ask (core->job_lookup, id, spec->id, MH_USER_SUBMIT, MH_LOOKUP_LEADER);
          mh_job_spec_free (spec);
          return;
        }
      if (status)
        {
          mh_core_answer (core, id, status, status == 503 ? 1 : 0);
          mh_job_spec_free (spec);
          return;
        }
      job = mh_job_new (spec, 0, core->settings->value_bytes, core->now.wall_us, &core->now);
      g_hash_table_insert (core->jobs, job->spec->id, job);
      mh_record_writer_touch (core->record_writer, &job->records[0], MH_URGENCY_USER);
    }
  else
    mh_job_spec_free (spec);
  MhWaiter w = { .id = id, .verb = MH_USER_SUBMIT };
  g_array_append_val (job->waiters, w);
}

static void
cancel (MhCore *core, guint64 id, MhJob *job)
{
  if (mh_job_is_final (job) || mh_job_is_cancel_durable (job))
    {
      mh_core_answer_job (core, id, job, 200);
      return;
    }
  if (!mh_job_is_cancelled (job) && !mh_job_is_finished (job))
    {
      mh_info (core, "job %s: cancelled by its user", job->spec->id);
      job->cancellation = MH_CANCELLATION_REQUESTED;
      mh_record_writer_touch (core->record_writer, &job->records[0], MH_URGENCY_USER);
      mh_attempt_stop_job (core->cluster, job);
    }
  MhWaiter w = { .id = id, .verb = MH_USER_CANCEL };
  g_array_append_val (job->waiters, w);
}

static void
forward (MhCore *core, guint64 id, const char *job_id)
{
  MhAction *a = mh_core_act (core, MH_ACTION_FORWARD, id);
  a->node = g_strdup (mh_election_leader_name (core->election));
  a->timeout_us = FORWARD_TIMEOUT_US;
  g_hash_table_insert (core->forwards, g_memdup2 (&id, sizeof id), g_strdup (job_id));
}

/* A final state holds for ever, whoever leads. Anything else is the leader's to tell; one whose
   lease has lapsed may not know how its last writes ended. What can never run is told so without a
   leader too, unless it was accepted once. */
static void
user_not_in_charge (MhCore *core, guint64 id, MhUserVerb verb, const char *job_id,
                    const MhJobSpec *spec, bool forwarded)
{
  const MhUserAnswer *final = mh_final_answers_find (core->final_answers, job_id);
  if (final)
    mh_core_act (core, MH_ACTION_ANSWER_USER, id)->answer = *final;
  else if (!forwarded && mh_election_other_leader (core->election))
    forward (core, id, job_id);
  else if (!forwarded && !mh_election_is_elected (core->election)
           && (verb == MH_USER_STATUS || (spec && judge (core, spec) == 422)))
    mh_job_lookup_ask (core->job_lookup, id, job_id, verb, MH_LOOKUP_LEADERLESS);
  else
    mh_core_answer (core, id, 503, 1);
}

void
mh_core_user (MhCore *core, const MhNow *now, guint64 id, MhUserVerb verb, const char *job_id,
              MhJobSpec *spec, bool forwarded)
{
  enter (core, now);
  const MhUserAnswer *final = mh_final_answers_find (core->final_answers, job_id);
  if (!mh_election_is_serving (core->election))
    {
      user_not_in_charge (core, id, verb, job_id, spec, forwarded);
      mh_job_spec_free (spec);
      mh_core_step (core);
      return;
    }

  MhJob *job = g_hash_table_lookup (core->jobs, job_id);
  if (mh_record_loader_is_unreadable (core->record_loader, job_id))
    {
      mh_job_spec_free (spec);
      mh_core_answer (core, id, 503, 1);
    }
  else if (verb == MH_USER_SUBMIT)
    submit (core, id, spec);
  else if (job == NULL && final)
    mh_core_act (core, MH_ACTION_ANSWER_USER, id)->answer = *final;
  /* Perhaps one that was over long ago and is submitted again: its final record tells, however long
     the write that would find out has to wait. */
  else if (job == NULL || !job->accepted)
    mh_job_lookup_ask (core->job_lookup, id, job_id, verb, MH_LOOKUP_LEADER);
  else if (verb == MH_USER_STATUS)
    mh_core_answer_job (core, id, job, 200);
  else
    cancel (core, id, job);
  mh_core_step (core);
}

/* What the leader has called over stays so: the next question about it need not be passed on. */
static void
remember_final (MhCore *core, const char *job, const MhUserAnswer *answer)
{
  MhUserAnswer final = *answer;
  final.status = 200;
  if ((answer->status == 200 || answer->status == 201)
      && (answer->state == MH_JOB_DONE || answer->state == MH_JOB_CANCELLED))
    mh_core_final (core, job, &final);
}

void
mh_core_forwarded (MhCore *core, const MhNow *now, guint64 id, const MhUserAnswer *answer)
{
  enter (core, now);
  g_autofree char *job = NULL;
  gpointer key = NULL, value = NULL;
  if (!g_hash_table_steal_extended (core->forwards, &id, &key, &value))
    return;
  g_free (key);
  job = value;
  if (answer)
    {
      mh_election_note_forward_answered (core->election);
      mh_core_act (core, MH_ACTION_ANSWER_USER, id)->answer = *answer;
      remember_final (core, job, answer);
    }
  else
    {
      const char *leader = mh_election_leader_name (core->election);
      mh_info_limited (core, MH_LOG_PEER, "leader %s: a request that was passed on has no answer",
                       leader ? leader : "unknown");
      mh_election_note_forward_failed (core->election);
      mh_core_answer (core, id, 503, 1);
    }
  mh_core_step (core);
}

/* ---- workers ---- */

void
mh_core_report (MhCore *core, const MhNow *now, guint64 id, const MhHeartbeat *report)
{
  enter (core, now);
  if (mh_election_is_elected (core->election))
    mh_heartbeat_receive (core->cluster, id, report);
  else
    {
      MhAction *a = mh_core_act (core, MH_ACTION_ANSWER_REPORT, id);
      a->status = 421;
      a->body = mh_redirect_encode (mh_election_leader_name (core->election));
    }
  mh_core_step (core);
}

void
mh_core_leader_announced (MhCore *core, const MhNow *now, const char *node, guint64 epoch)
{
  enter (core, now);
  mh_election_leader_announced (core->election, node, epoch);
  mh_core_step (core);
}

/* ---- life ---- */

bool
mh_core_ready (const MhCore *core)
{
  return mh_election_is_ready (core->election);
}

bool
mh_core_leads (const MhCore *core)
{
  return mh_election_is_leader (core->election);
}

void
mh_core_step (MhCore *core)
{
  mh_runtime_reset_wake_up (core->runtime);
  mh_election_step (core->election);
  if (mh_election_is_serving (core->election))
    {
      mh_core_update_recovery (core);
      mh_gang_reconcile (core);
      mh_cluster_step (core->cluster);
      mh_placement_run (core->placement, core);
      mh_autoscaler_step (core->autoscaler);
      mh_record_writer_step (core->record_writer);
    }
  mh_call_queue_flush (core->calls);
}

void
mh_core_tick (MhCore *core, const MhNow *now)
{
  enter (core, now);
  mh_core_step (core);
}

/* ---- what the cluster tells the layers above it ---- */

static void
release_machine (gpointer owner, MhMachine *machine, MhReleaseReason reason)
{
  MhCore *core = owner;
  mh_autoscaler_release_machine (core->autoscaler, machine, reason);
}

static void
capacity_changed (gpointer owner, bool urgent)
{
  MhCore *core = owner;
  mh_placement_request_pass (core->placement, urgent);
}

static void
gang_loaded (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  mh_gang_restore (core, job);
}

static void
gang_task_over (gpointer owner, MhJob *job, bool done)
{
  MhCore *core = owner;
  mh_gang_task_ended (core, job, done);
}

static void
gang_stop (gpointer owner, MhJob *job, gint64 grace_us)
{
  MhCore *core = owner;
  mh_gang_stop (core, job, grace_us);
}

static const MhClusterCallbacks cluster_callbacks = {
  .release_machine = release_machine,
  .capacity_changed = capacity_changed,
  .gang_loaded = gang_loaded,
  .gang_task_over = gang_task_over,
  .gang_stop = gang_stop,
};

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
                                     .callbacks = &cluster_callbacks,
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
  core->now = *now;
  core->runtime = mh_runtime_new (settings, now);
  core->calls = mh_call_queue_new (core->runtime);
  core->election
      = mh_election_new (core->runtime, core->calls, mh_core_election_callbacks (), core);
  core->recovery = mh_recovery_new ();
  core->forwards = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)mh_job_free);
  mh_core_storage_init (core);
  core->final_answers = mh_final_answers_new (core->settings->memory_bytes);
  core->runtime_estimator = mh_runtime_estimator_new ();
  core->cluster = cluster_new (core);
  core->gang_attempts = mh_gang_attempts_new ();
  core->placement = mh_placement_new ();
  core->job_queue = mh_job_queue_new (core->settings, core->jobs, core->runtime_estimator);
  core->autoscaler = autoscaler_new (core);
  if (mh_heartbeat_keep_alive_us (core->cluster) <= 0)
    mh_core_log (
        core, G_LOG_LEVEL_WARNING,
        "cancel_s leaves no room beside the workers' lease_s: without the state service no "
        "task is kept alive for longer than that lease");
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
  g_hash_table_unref (core->forwards);
  g_hash_table_unref (core->jobs);
  mh_final_answers_free (core->final_answers);
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
