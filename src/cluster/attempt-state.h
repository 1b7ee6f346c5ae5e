/* The states of an attempt and the transitions between them, and nothing else. */
#pragma once

#include <stdbool.h>

/**
 * MhAttemptState:
 * @MH_ATTEMPT_RECORDED: placed, and no start of this leader's is on its way. Of an attempt from an
 *   earlier leader nobody here knows what was sent
 * @MH_ATTEMPT_START_IN_FLIGHT: a start may have left, and the worker has not shown the attempt yet
 * @MH_ATTEMPT_FETCHING: the worker has shown it waiting, for its image or for the rest of its gang
 * @MH_ATTEMPT_RUNNING: the worker has shown it running, or saving a checkpoint
 * @MH_ATTEMPT_STOPPING: it is to be stopped, whatever the worker shows
 * @MH_ATTEMPT_OVER: proven over; it occupies nothing any more
 */
typedef enum
{
  MH_ATTEMPT_RECORDED,
  MH_ATTEMPT_START_IN_FLIGHT,
  MH_ATTEMPT_FETCHING,
  MH_ATTEMPT_RUNNING,
  MH_ATTEMPT_STOPPING,
  MH_ATTEMPT_OVER
} MhAttemptState;

/**
 * MhAttemptEvent:
 * @MH_ATTEMPT_EVENT_START_SENT: a start goes out, perhaps once more
 * @MH_ATTEMPT_EVENT_START_REFUSED: the worker refused the only start, and will carry out no copy of
 * it
 * @MH_ATTEMPT_EVENT_SHOWN_WAITING: the worker shows it before it runs
 * @MH_ATTEMPT_EVENT_SHOWN_RUNNING: the worker shows it running, or saving
 * @MH_ATTEMPT_EVENT_STOP_WANTED: it is to be stopped, perhaps sooner than before
 * @MH_ATTEMPT_EVENT_PROVEN_OVER: it can no longer run
 */
typedef enum
{
  MH_ATTEMPT_EVENT_START_SENT,
  MH_ATTEMPT_EVENT_START_REFUSED,
  MH_ATTEMPT_EVENT_SHOWN_WAITING,
  MH_ATTEMPT_EVENT_SHOWN_RUNNING,
  MH_ATTEMPT_EVENT_STOP_WANTED,
  MH_ATTEMPT_EVENT_PROVEN_OVER
} MhAttemptEvent;

/**
 * mh_attempt_state_after:
 * @state: (inout): the state in which the event finds the attempt; unchanged if it is refused
 * @event: what happens
 *
 * The one place that knows the transitions. A stop is never taken back, and nothing follows the
 * end.
 *
 * Returns: %FALSE if the event cannot happen in that state
 */
bool
mh_attempt_state_after (MhAttemptState *state, MhAttemptEvent event);
