/* What the operator needs to know about the process around the controller: whether its main loop
   keeps up, and how long requests take from their arrival to their response. */
#pragma once

#include <glib.h>

/**
 * MhResponseKind:
 * @MH_RESPONSE_USER: to a user
 * @MH_RESPONSE_FORWARDED: to another controller that forwarded a user's request
 * @MH_RESPONSE_HEARTBEAT: to a worker
 *
 * Whom a response goes to.
 */
typedef enum
{
  MH_RESPONSE_USER,
  MH_RESPONSE_FORWARDED,
  MH_RESPONSE_HEARTBEAT
} MhResponseKind;
/** MH_RESPONSE_KINDS: number of kinds */
#define MH_RESPONSE_KINDS 3

/**
 * MhResponseStats:
 * @count: responses since the process started
 * @sum_us: sum of the times from the arrival of the request to its response, in microseconds
 * @recent_max_us: the longest of these times since the last status line, in microseconds
 *
 * Response times of one kind.
 */
typedef struct
{
  guint64 count;
  gint64 sum_us;
  gint64 recent_max_us;
} MhResponseStats;

/**
 * MhProcessStats:
 * @responses: response times by kind
 * @recent_max_lag_us: since the last status line, the longest time by which the main loop was late
 * for a wake-up of the controller, in microseconds
 * @recent_max_unread_us: since the last status line, the longest time for which requests of users
 * and workers had been waiting to be read without interruption, in microseconds
 *
 * Measurements of the process.
 */
typedef struct
{
  MhResponseStats responses[MH_RESPONSE_KINDS];
  gint64 recent_max_lag_us;
  gint64 recent_max_unread_us;
} MhProcessStats;

/**
 * mh_process_stats_note_lag:
 * @stats: measurements
 * @lag_us: by how much the main loop was late, in microseconds
 */
void
mh_process_stats_note_lag (MhProcessStats *stats, gint64 lag_us);

/**
 * mh_process_stats_note_unread:
 * @stats: measurements
 * @unread_us: for how long requests have been waiting to be read, in microseconds
 */
void
mh_process_stats_note_unread (MhProcessStats *stats, gint64 unread_us);

/**
 * mh_process_stats_note_response:
 * @stats: measurements
 * @kind: whom the response goes to
 * @elapsed_us: time since the request arrived, in microseconds
 */
void
mh_process_stats_note_response (MhProcessStats *stats, MhResponseKind kind, gint64 elapsed_us);

/**
 * mh_process_stats_reset_recent:
 * @stats: measurements
 *
 * Starts a new interval for the members whose names begin with "recent".
 */
void
mh_process_stats_reset_recent (MhProcessStats *stats);

/**
 * mh_response_kind_name:
 * @kind: a kind
 *
 * Returns: (transfer none): its name in log lines and metrics
 */
const char *
mh_response_kind_name (MhResponseKind kind);
