/* The runtime of the state machine: the time of the current input, wake-ups, the queue of actions,
   and log lines. It does no I/O, and the time stays the same while an input is handled. */
#pragma once

#include "runtime/action.h"
#include "runtime/counter.h"
#include "settings/settings.h"

/**
 * MhNow:
 * @mono_us: monotonic time, in microseconds
 * @wall_us: wall-clock time, in microseconds since 1970
 * @jitter: a new random number in [0, 1)
 * @input_read_us: monotonic time, in microseconds, by which all messages of workers that had
 * arrived had also been passed as inputs; 0: @mono_us
 *
 * The time and random number that the host passes with each input.
 */
typedef struct
{
  gint64 mono_us;
  gint64 wall_us;
  double jitter;
  gint64 input_read_us;
} MhNow;

/** MhRuntime: the time of the current input, wake-ups, actions and log lines */
typedef struct MhRuntime MhRuntime;

/**
 * MhLeaseFunc:
 * @owner: as passed to mh_runtime_set_lease_source ()
 * @now_us: monotonic time, in microseconds
 *
 * Returns: the monotonic time at which this controller's leader lease ends; 0 if the controller may
 * not act as leader at @now_us
 */
typedef gint64 (*MhLeaseFunc) (gconstpointer owner, gint64 now_us);

/**
 * MhLogSubject:
 * @MH_LOG_BOOT: machines whose boot takes longer than expected
 * @MH_LOG_STORE: calls to the key-value store that failed
 * @MH_LOG_PEER: requests that another controller did not answer
 * @MH_LOG_ADMISSION: submissions that cannot be accepted
 *
 * Subjects of rate-limited log lines. Thousands of machines or calls may cause a line on the same
 * subject at the same time; at most one line a second is logged on each.
 */
typedef enum
{
  MH_LOG_BOOT,
  MH_LOG_STORE,
  MH_LOG_PEER,
  MH_LOG_ADMISSION
} MhLogSubject;
/** MH_LOG_SUBJECTS: number of subjects */
#define MH_LOG_SUBJECTS 4

/**
 * mh_runtime_new:
 * @settings: (transfer none): must outlive the runtime
 * @now: the present time
 *
 * Returns: (transfer full): a runtime without a lease source: this controller may not act as leader
 */
MhRuntime *
mh_runtime_new (const MhSettings *settings, const MhNow *now);

/**
 * mh_runtime_free:
 * @runtime: (transfer full) (nullable): a runtime
 *
 * Frees the runtime and the actions that were not taken.
 */
void
mh_runtime_free (MhRuntime *runtime);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRuntime, mh_runtime_free)

/**
 * mh_runtime_set_lease_source:
 * @runtime: a runtime
 * @func: returns the end of the leader lease
 * @owner: passed to @func
 *
 * Registers the function that decides whether this controller may act as leader (the election's).
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
 * Sets the time of the current input; to be called first for every input. An input that comes long
 * after the requested wake-up shows that the process was paused: this is logged, and @now becomes
 * the time of mh_runtime_resumed_us ().
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
 * Returns: the monotonic time of the current input, in microseconds
 */
gint64
mh_runtime_now_us (const MhRuntime *runtime);

/**
 * mh_runtime_jittered_us:
 * @runtime: a runtime
 * @min_delay_us: the shortest delay, in microseconds
 * @jitter_us: upper bound of the random addition to it, in microseconds
 *
 * Returns: the monotonic time after a random delay between @min_delay_us and @min_delay_us +
 * @jitter_us, so that controllers do not retry at the same moment
 */
gint64
mh_runtime_jittered_us (const MhRuntime *runtime, gint64 min_delay_us, gint64 jitter_us);

/**
 * mh_runtime_resumed_us:
 * @runtime: a runtime
 *
 * Returns: the monotonic time at which this process last resumed after a pause, or after it had
 * refused all workers' heartbeats; 0 if it never did. That no message of a peer arrived before this
 * time does not show that the peer has failed.
 */
gint64
mh_runtime_resumed_us (const MhRuntime *runtime);

/**
 * mh_runtime_input_read_us:
 * @runtime: a runtime
 *
 * A controller that cannot keep up has messages of workers that it has not read. Silence shows
 * nothing about a worker for the time after this one. It is never more than a worker lease ago:
 * after that, a worker without a response has ended its tasks.
 *
 * Returns: the monotonic time until which silence counts, in microseconds
 */
gint64
mh_runtime_input_read_us (const MhRuntime *runtime);

/**
 * mh_runtime_mark_resumed:
 * @runtime: a runtime
 *
 * Records that messages could not be received until now; see mh_runtime_resumed_us ().
 */
void
mh_runtime_mark_resumed (MhRuntime *runtime);

/**
 * mh_runtime_reset_wake_up:
 * @runtime: a runtime
 *
 * Discards earlier wake-ups and requests the regular one. To be called at the beginning of a step.
 */
void
mh_runtime_reset_wake_up (MhRuntime *runtime);

/**
 * mh_runtime_wake_at:
 * @runtime: a runtime
 * @at_us: monotonic time, in microseconds
 *
 * Requests a tick at @at_us at the latest.
 */
void
mh_runtime_wake_at (MhRuntime *runtime, gint64 at_us);

/**
 * mh_runtime_next_wake_up_us:
 * @runtime: a runtime
 *
 * Returns: the monotonic time of the earliest wake-up that was requested
 */
gint64
mh_runtime_next_wake_up_us (const MhRuntime *runtime);

/* ---- leadership ---- */

/**
 * mh_runtime_lease_until_us:
 * @runtime: a runtime
 *
 * Returns: the monotonic time at which this controller's leader lease ends; 0 if it may not act as
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
 * Returns: a number that is unique among the calls of this runtime
 */
guint64
mh_runtime_next_id (MhRuntime *runtime);

/**
 * mh_runtime_add_action:
 * @runtime: a runtime
 * @kind: what is to be done
 * @id: the number or epoch that MhAction describes for @kind
 *
 * Adds an action to the end of the queue. Responses to users carry the end of the leader lease.
 *
 * Returns: (transfer none): the action, which the caller fills in while it handles the input
 */
MhAction *
mh_runtime_add_action (MhRuntime *runtime, MhActionKind kind, guint64 id);

/**
 * mh_runtime_respond_to_user:
 * @runtime: a runtime
 * @id: number of the user's request
 * @status: HTTP status
 * @retry_after_s: after how long the user should retry, in seconds; 0: not given
 *
 * Answers a user's request without the state of a job.
 */
void
mh_runtime_respond_to_user (MhRuntime *runtime, guint64 id, guint status, guint retry_after_s);

/**
 * mh_runtime_pop_action:
 * @runtime: a runtime
 *
 * Removes the oldest action from the queue.
 *
 * Returns: (transfer full) (nullable): the action; %NULL if the queue is empty
 */
MhAction *
mh_runtime_pop_action (MhRuntime *runtime);

/* ---- counters ---- */

/**
 * mh_runtime_count:
 * @runtime: a runtime
 * @counter: a counter
 *
 * Adds one to the counter.
 */
void
mh_runtime_count (MhRuntime *runtime, MhCounter counter);

/**
 * mh_runtime_get_count:
 * @runtime: a runtime
 * @counter: a counter
 *
 * Returns: the value of the counter
 */
guint64
mh_runtime_get_count (const MhRuntime *runtime, MhCounter counter);

/**
 * mh_runtime_respond_unavailable:
 * @runtime: a runtime
 * @id: number of the user's request
 * @reason: one of the counters of requests that were answered 503
 *
 * Answers a user's request with 503 and Retry-After, and counts the reason.
 */
void
mh_runtime_respond_unavailable (MhRuntime *runtime, guint64 id, MhCounter reason);

/* ---- log ---- */

/**
 * mh_runtime_log:
 * @runtime: a runtime
 * @level: log level of the line
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
 * Checks the rate limit of log lines, and counts a line on @subject if it allows one.
 *
 * Returns: %TRUE if the line may be logged
 */
bool
mh_runtime_may_log (MhRuntime *runtime, MhLogSubject subject);

/** mh_log_info: logs a line at info level; see mh_runtime_log () */
#define mh_log_info(runtime, ...) mh_runtime_log (runtime, G_LOG_LEVEL_INFO, __VA_ARGS__)
/** mh_log_debug: logs a line at debug level; see mh_runtime_log () */
#define mh_log_debug(runtime, ...) mh_runtime_log (runtime, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
/** mh_log_info_limited: logs a line at info level if the rate limit of its subject allows it; see
 * mh_runtime_may_log () */
#define mh_log_info_limited(runtime, subject, ...)                                                 \
  G_STMT_START                                                                                     \
  {                                                                                                \
    if (mh_runtime_may_log (runtime, subject))                                                     \
      mh_log_info (runtime, __VA_ARGS__);                                                          \
  }                                                                                                \
  G_STMT_END
