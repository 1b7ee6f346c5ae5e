/* The states of a machine that is being released, and the transitions between them.

   A release is recorded before the cloud is asked to delete the machine. A new leader therefore
   does not use such a machine, which a delayed request of an earlier leader may still delete, and
   does not lose track of it either. */
#pragma once

#include <stdbool.h>

/**
 * MhReleaseState:
 * @MH_RELEASE_REQUESTED: decided in memory; waits to be batched with other releases
 * @MH_RELEASE_RECORDING: the record is being written
 * @MH_RELEASE_DELETING: the record is durable, and the cloud is asked to delete the machine
 * @MH_RELEASE_CONFIRMED: the cloud has confirmed that the machine, with all tasks on it, is gone
 * @MH_RELEASE_ABANDONED: leadership ended before the record was confirmed; if the record was
 * written, the next leader continues the release
 *
 * The progress of the release of a machine under this leader.
 */
typedef enum
{
  MH_RELEASE_REQUESTED,
  MH_RELEASE_RECORDING,
  MH_RELEASE_DELETING,
  MH_RELEASE_CONFIRMED,
  MH_RELEASE_ABANDONED
} MhReleaseState;
/** MH_RELEASE_STATES: number of states */
#define MH_RELEASE_STATES 5

/**
 * MhReleaseEvent:
 * @MH_RELEASE_EVENT_BATCHED: it was put into a batch, and the record of the batch is sent
 * @MH_RELEASE_EVENT_RECORD_DURABLE: the record is in the key-value store
 * @MH_RELEASE_EVENT_RECORD_UNKNOWN: there was no response, or the key-value store could not carry
 * out the write at the time; the same write is sent again
 * @MH_RELEASE_EVENT_LEADERSHIP_LOST: the key-value store refused the write, so leadership ends
 * @MH_RELEASE_EVENT_DELETION_CONFIRMED: the cloud has confirmed that the machines are gone
 * @MH_RELEASE_EVENT_DELETION_UNKNOWN: there was no confirmation; the same request is sent again
 *
 * Events that change the state of a release.
 */
typedef enum
{
  MH_RELEASE_EVENT_BATCHED,
  MH_RELEASE_EVENT_RECORD_DURABLE,
  MH_RELEASE_EVENT_RECORD_UNKNOWN,
  MH_RELEASE_EVENT_LEADERSHIP_LOST,
  MH_RELEASE_EVENT_DELETION_CONFIRMED,
  MH_RELEASE_EVENT_DELETION_UNKNOWN
} MhReleaseEvent;
/** MH_RELEASE_EVENTS: number of events */
#define MH_RELEASE_EVENTS 6

/**
 * mh_release_state_advance:
 * @state: (inout): the state; unchanged if the transition is refused
 * @event: the event
 *
 * Applies a transition. This is the only place where the state of a release changes. The
 * transitions ensure that the cloud is never asked before the record is durable.
 *
 * Returns: %FALSE if @event is not valid in @state
 */
bool
mh_release_state_advance (MhReleaseState *state, MhReleaseEvent event);
