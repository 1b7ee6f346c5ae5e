/* The runtime of the state machine: the time of the current input, wake-ups, actions that are to
   leave, and log lines. Nothing here does I/O, and no time passes while an input is handled. */
#pragma once

#include "runtime/action.h"
#include "settings/settings.h"

/**
 * MhNow:
 * @mono_us: steady clock, in microseconds
 * @wall_us: time of day, in microseconds since 1970
 * @jitter: a fresh random number in [0, 1)
 *
 * What the host hands over with each input.
 */
typedef struct
{
  gint64 mono_us;
  gint64 wall_us;
  double jitter;
} MhNow;

/** MhRuntime: the time of the current input, wake-ups, actions and log lines */
typedef struct MhRuntime MhRuntime;

/**
 * MhLeaseFunc:
 * @owner: what was registered with the function
 * @now_us: steady time
 *
 * Returns: the steady time at which the leader's lease ends that this controller holds; 0 if it may
 * not act as leader at @now_us
 */
typedef gint64 (*MhLeaseFunc) (gconstpointer owner, gint64 now_us);

/**
 * MhLogSubject:
 * @MH_LOG_BOOT: machines that join late
 * @MH_LOG_STORE: calls to the key-value store that failed
 * @MH_LOG_PEER: requests that another controller did not answer
 *
 * Subjects of which thousands of machines or calls may give a line at once; each is logged once a
 * second at most.
 */
typedef enum
{
  MH_LOG_BOOT,
  MH_LOG_STORE,
  MH_LOG_PEER
} MhLogSubject;
/** MH_LOG_SUBJECTS: number of subjects */
#define MH_LOG_SUBJECTS 3

/**
 * mh_runtime_new:
 * @settings: (not transferred): must outlive the runtime
 * @now: the present time
 *
 * Returns: (transfer full): a runtime in which no controller leads
 */
MhRuntime *
mh_runtime_new (const MhSettings *settings, const MhNow *now);

/**
 * mh_runtime_free:
 * @runtime: (transfer full) (nullable): a runtime
 *
 * Frees it with the actions that nobody took.
 */
void
mh_runtime_free (MhRuntime *runtime);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRuntime, mh_runtime_free)

/**
 * mh_runtime_set_lease_source:
 * @runtime: a runtime
 * @func: tells the end of the leader's lease
 * @owner: passed to @func
 *
 * Registers who knows whether this controller may act as leader (the election).
 */
void
mh_runtime_set_lease_source (MhRuntime *runtime, MhLeaseFunc func, gconstpointer owner);

/**
 * mh_runtime_settings:
 * @runtime: a runtime
 *
 * Returns: (transfer none): the settings of this controller
 */
const MhSettings *
mh_runtime_settings (const MhRuntime *runtime);

/* ---- time ---- */

/**
 * mh_runtime_begin_input:
 * @runtime: a runtime
 * @now: the time of the input
 *
 * Every input begins here. If the wake-up that was asked for comes far too late, the process stood
 * still: that is logged and remembered, see mh_runtime_resumed_us ().
 */
void
mh_runtime_begin_input (MhRuntime *runtime, const MhNow *now);

/**
 * mh_runtime_now:
 * @runtime: a runtime
 *
 * Returns: (transfer none): the time of the current input
 */
const MhNow *
mh_runtime_now (const MhRuntime *runtime);

/**
 * mh_runtime_now_us:
 * @runtime: a runtime
 *
 * Returns: the steady time of the current input, in microseconds
 */
gint64
mh_runtime_now_us (const MhRuntime *runtime);

/**
 * mh_runtime_jittered_us:
 * @runtime: a runtime
 * @least_us: the shortest delay, in microseconds
 * @spread_us: how much longer it may be, in microseconds
 *
 * Returns: the steady time after a random delay between @least_us and @least_us + @spread_us, so
 * that controllers do not retry at the same moment
 */
gint64
mh_runtime_jittered_us (const MhRuntime *runtime, gint64 least_us, gint64 spread_us);

/**
 * mh_runtime_resumed_us:
 * @runtime: a runtime
 *
 * Returns: the steady time at which this process last went on after it had stood still or had
 * refused all workers; 0 if it never did. Silence that began earlier says nothing about those who
 * were not heard.
 */
gint64
mh_runtime_resumed_us (const MhRuntime *runtime);

/**
 * mh_runtime_mark_resumed:
 * @runtime: a runtime
 *
 * Notes that until now nobody could be heard; see mh_runtime_resumed_us ().
 */
void
mh_runtime_mark_resumed (MhRuntime *runtime);

/**
 * mh_runtime_reset_wake_up:
 * @runtime: a runtime
 *
 * Begins a step: forgets earlier wake-ups, and asks for the regular one.
 */
void
mh_runtime_reset_wake_up (MhRuntime *runtime);

/**
 * mh_runtime_wake_at:
 * @runtime: a runtime
 * @at_us: steady time, in microseconds
 *
 * Asks the host for a tick at @at_us at the latest.
 */
void
mh_runtime_wake_at (MhRuntime *runtime, gint64 at_us);

/**
 * mh_runtime_next_wake_up_us:
 * @runtime: a runtime
 *
 * Returns: the steady time of the next tick that is needed
 */
gint64
mh_runtime_next_wake_up_us (const MhRuntime *runtime);

/* ---- leadership ---- */

/**
 * mh_runtime_lease_until_us:
 * @runtime: a runtime
 *
 * Returns: the steady time at which the leader's lease ends; 0 if this controller may not act as
 * leader now
 */
gint64
mh_runtime_lease_until_us (const MhRuntime *runtime);

/**
 * mh_runtime_is_leader:
 * @runtime: a runtime
 *
 * Returns: %TRUE while this controller may act as leader
 */
bool
mh_runtime_is_leader (const MhRuntime *runtime);

/* ---- actions ---- */

/**
 * mh_runtime_next_id:
 * @runtime: a runtime
 *
 * Returns: a number for a call that no other call has
 */
guint64
mh_runtime_next_id (MhRuntime *runtime);

/**
 * mh_runtime_act:
 * @runtime: a runtime
 * @kind: what is to be done
 * @id: of the request that is answered, or as MhAction says
 *
 * Adds an action. Answers to users carry the end of the lease that they rest on.
 *
 * Returns: (transfer none): the action, to be filled in before the input ends
 */
MhAction *
mh_runtime_act (MhRuntime *runtime, MhActionKind kind, guint64 id);

/**
 * mh_runtime_answer_user:
 * @runtime: a runtime
 * @id: of the user's request
 * @status: HTTP status
 * @retry_after_s: when the user should come back, in seconds; 0: not said
 *
 * Answers a user without a job's state.
 */
void
mh_runtime_answer_user (MhRuntime *runtime, guint64 id, guint status, guint retry_after_s);

/**
 * mh_runtime_pop_action:
 * @runtime: a runtime
 *
 * Returns: (transfer full) (nullable): the oldest action that has not been taken
 */
MhAction *
mh_runtime_pop_action (MhRuntime *runtime);

/* ---- log ---- */

/**
 * mh_runtime_log:
 * @runtime: a runtime
 * @level: level of the line
 * @format: a fixed message, followed by key=value pairs
 *
 * Adds a line to the log.
 */
void
mh_runtime_log (MhRuntime *runtime, GLogLevelFlags level, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/**
 * mh_runtime_may_log:
 * @runtime: a runtime
 * @subject: what the line is about
 *
 * Returns: %TRUE if a line on @subject is due, which is then counted
 */
bool
mh_runtime_may_log (MhRuntime *runtime, MhLogSubject subject);

/** mh_log_info: logs a line at info level; see mh_runtime_log () */
#define mh_log_info(runtime, ...) mh_runtime_log (runtime, G_LOG_LEVEL_INFO, __VA_ARGS__)
/** mh_log_debug: logs a line at debug level; see mh_runtime_log () */
#define mh_log_debug(runtime, ...) mh_runtime_log (runtime, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
/** mh_log_info_limited: logs a line at info level if one on its subject is due; see
 * mh_runtime_may_log () */
#define mh_log_info_limited(runtime, subject, ...)                                                 \
  G_STMT_START                                                                                     \
  {                                                                                                \
    if (mh_runtime_may_log (runtime, subject))                                                     \
      mh_log_info (runtime, __VA_ARGS__);                                                          \
  }                                                                                                \
  G_STMT_END
