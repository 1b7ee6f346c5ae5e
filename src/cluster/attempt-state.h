/* The states of an attempt and the transitions between them, without side effects. */
#pragma once

#include <stdbool.h>

/**
 * MhAttemptState:
 * @MH_ATTEMPT_PLACED: has a machine, and no start of this leader is in flight. If an earlier leader
 *   placed it, it is not known whether that leader sent a start
 * @MH_ATTEMPT_START_IN_FLIGHT: a start may have been sent, and the worker has not reported the
 *   attempt yet
 * @MH_ATTEMPT_WAITING: the worker has reported that it waits for its image or for its gang
 * @MH_ATTEMPT_RUNNING: the worker has reported that it runs or saves a checkpoint
 * @MH_ATTEMPT_STOPPING: a stop was requested, whatever the worker reports
 * @MH_ATTEMPT_ENDED: it can no longer run, and occupies nothing
 */
typedef enum
{
  MH_ATTEMPT_PLACED,
  MH_ATTEMPT_START_IN_FLIGHT,
  MH_ATTEMPT_WAITING,
  MH_ATTEMPT_RUNNING,
  MH_ATTEMPT_STOPPING,
  MH_ATTEMPT_ENDED
} MhAttemptState;

/**
 * MhAttemptEvent:
 * @MH_ATTEMPT_EVENT_START_SENT: a start is sent, for the first time or again
 * @MH_ATTEMPT_EVENT_START_REFUSED: the worker refused the only start, and will refuse each copy of
 *   it
 * @MH_ATTEMPT_EVENT_REPORTED_WAITING: the worker reports that it waits for its image or for its
 *   gang
 * @MH_ATTEMPT_EVENT_REPORTED_RUNNING: the worker reports that it runs or saves a checkpoint
 * @MH_ATTEMPT_EVENT_STOP_REQUESTED: it is to be stopped; if a stop was requested before, with a
 *   shorter grace period
 * @MH_ATTEMPT_EVENT_PROVEN_ENDED: there is proof that it can no longer run, or this leader discards
 *   it, see mh_attempt_discard()
 */
typedef enum
{
  MH_ATTEMPT_EVENT_START_SENT,
  MH_ATTEMPT_EVENT_START_REFUSED,
  MH_ATTEMPT_EVENT_REPORTED_WAITING,
  MH_ATTEMPT_EVENT_REPORTED_RUNNING,
  MH_ATTEMPT_EVENT_STOP_REQUESTED,
  MH_ATTEMPT_EVENT_PROVEN_ENDED
} MhAttemptEvent;

/**
 * mh_attempt_state_apply:
 * @state: (inout): the state before the event; unchanged if the event is refused
 * @event: what happens
 *
 * Defines all transitions. A requested stop is never revoked, and %MH_ATTEMPT_ENDED is final.
 *
 * Returns: %FALSE if the event cannot happen in that state
 */
bool
mh_attempt_state_apply (MhAttemptState *state, MhAttemptEvent event);
