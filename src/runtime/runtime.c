#include "runtime/runtime.h"

/* An input that comes this much later than the requested wake-up shows that the process was paused:
   the handling of inputs never delays a wake-up that long. */
#define PAUSE_THRESHOLD_US MH_SECOND_US
/* Longest time between two steps, if no earlier wake-up is requested. */
#define REGULAR_STEP_INTERVAL_US (MH_SECOND_US / 2)
/* Shortest time between two log lines on the same subject. */
#define LOG_INTERVAL_US MH_SECOND_US
#define STATUS_UNAVAILABLE 503u
/* After how long a user who got a 503 should retry. */
#define RETRY_AFTER_S 1u

struct MhRuntime
{
  const MhSettings *settings;
  MhNow now;
  gint64 wake_up_us;
  gint64 resumed_us;
  MhLeaseFunc lease_func;
  gconstpointer lease_owner;
  guint64 last_id;
  GQueue actions;
  gint64 next_log_us[MH_LOG_SUBJECTS];
  guint64 counts[MH_COUNTERS];
};

MhRuntime *
mh_runtime_new (const MhSettings *settings, const MhNow *now)
{
  g_return_val_if_fail (settings && now, NULL);
  MhRuntime *runtime = g_new0 (MhRuntime, 1);
  runtime->settings = settings;
  runtime->now = *now;
  g_queue_init (&runtime->actions);
  return runtime;
}

void
mh_runtime_free (MhRuntime *runtime)
{
  if (runtime == NULL)
    return;
  g_queue_clear_full (&runtime->actions, (GDestroyNotify)mh_action_free);
  g_free (runtime);
}

void
mh_runtime_set_lease_source (MhRuntime *runtime, MhLeaseFunc func, gconstpointer owner)
{
  g_return_if_fail (runtime);
  runtime->lease_func = func;
  runtime->lease_owner = owner;
}

const MhSettings *
mh_runtime_settings (const MhRuntime *runtime)
{
  return runtime->settings;
}

/* ---- time ---- */

void
mh_runtime_begin_input (MhRuntime *runtime, const MhNow *now)
{
  g_return_if_fail (runtime && now);
  if (runtime->wake_up_us && now->mono_us > runtime->wake_up_us + PAUSE_THRESHOLD_US)
    {
      mh_log_info (runtime, "process was paused seconds=%.1f",
                   (double)(now->mono_us - runtime->wake_up_us) / MH_SECOND_US);
      runtime->resumed_us = now->mono_us;
    }
  runtime->now = *now;
}

const MhNow *
mh_runtime_now (const MhRuntime *runtime)
{
  return &runtime->now;
}

gint64
mh_runtime_now_us (const MhRuntime *runtime)
{
  return runtime->now.mono_us;
}

gint64
mh_runtime_jittered_us (const MhRuntime *runtime, gint64 min_delay_us, gint64 jitter_us)
{
  return runtime->now.mono_us + min_delay_us + (gint64)(runtime->now.jitter * (double)jitter_us);
}

gint64
mh_runtime_resumed_us (const MhRuntime *runtime)
{
  return runtime->resumed_us;
}

gint64
mh_runtime_input_read_us (const MhRuntime *runtime)
{
  const MhNow *now = &runtime->now;
  if (now->input_read_us == 0)
    return now->mono_us;
  return CLAMP (now->input_read_us, now->mono_us - runtime->settings->worker_lease_us,
                now->mono_us);
}

void
mh_runtime_mark_resumed (MhRuntime *runtime)
{
  runtime->resumed_us = runtime->now.mono_us;
}

void
mh_runtime_reset_wake_up (MhRuntime *runtime)
{
  runtime->wake_up_us = runtime->now.mono_us + REGULAR_STEP_INTERVAL_US;
}

void
mh_runtime_wake_at (MhRuntime *runtime, gint64 at_us)
{
  runtime->wake_up_us = MIN (runtime->wake_up_us, at_us);
}

gint64
mh_runtime_next_wake_up_us (const MhRuntime *runtime)
{
  return runtime->wake_up_us;
}

/* ---- leadership ---- */

gint64
mh_runtime_lease_until_us (const MhRuntime *runtime)
{
  return runtime->lease_func ? runtime->lease_func (runtime->lease_owner, runtime->now.mono_us) : 0;
}

bool
mh_runtime_is_leader (const MhRuntime *runtime)
{
  return mh_runtime_lease_until_us (runtime) > 0;
}

/* ---- actions ---- */

guint64
mh_runtime_next_id (MhRuntime *runtime)
{
  return ++runtime->last_id;
}

MhAction *
mh_runtime_add_action (MhRuntime *runtime, MhActionKind kind, guint64 id)
{
  MhAction *action = g_new0 (MhAction, 1);
  action->kind = kind;
  action->id = id;
  if (kind == MH_ACTION_RESPOND_TO_USER)
    action->lease_until_us = mh_runtime_lease_until_us (runtime);
  g_queue_push_tail (&runtime->actions, action);
  return action;
}

void
mh_runtime_respond_to_user (MhRuntime *runtime, guint64 id, guint status, guint retry_after_s)
{
  MhAction *action = mh_runtime_add_action (runtime, MH_ACTION_RESPOND_TO_USER, id);
  action->response.status = status;
  action->response.retry_after_s = retry_after_s;
}

MhAction *
mh_runtime_pop_action (MhRuntime *runtime)
{
  return g_queue_pop_head (&runtime->actions);
}

/* ---- counters ---- */

void
mh_runtime_count (MhRuntime *runtime, MhCounter counter)
{
  g_return_if_fail ((guint)counter < MH_COUNTERS);
  runtime->counts[counter]++;
}

guint64
mh_runtime_get_count (const MhRuntime *runtime, MhCounter counter)
{
  g_return_val_if_fail ((guint)counter < MH_COUNTERS, 0);
  return runtime->counts[counter];
}

void
mh_runtime_respond_unavailable (MhRuntime *runtime, guint64 id, MhCounter reason)
{
  mh_runtime_count (runtime, reason);
  mh_runtime_respond_to_user (runtime, id, STATUS_UNAVAILABLE, RETRY_AFTER_S);
}

/* ---- log ---- */

void
mh_runtime_log (MhRuntime *runtime, GLogLevelFlags level, const char *format, ...)
{
  va_list args;
  MhAction *action = mh_runtime_add_action (runtime, MH_ACTION_LOG, 0);
  action->level = level;
  va_start (args, format);
  action->line = g_strdup_vprintf (format, args);
  va_end (args);
}

bool
mh_runtime_may_log (MhRuntime *runtime, MhLogSubject subject)
{
  g_return_val_if_fail (subject < MH_LOG_SUBJECTS, false);
  if (runtime->now.mono_us < runtime->next_log_us[subject])
    return false;
  runtime->next_log_us[subject] = runtime->now.mono_us + LOG_INTERVAL_US;
  return true;
}
