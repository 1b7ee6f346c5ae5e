/* The states of a machine that is being released, and the transitions between them.

   What is about to be released is on record before the cloud is asked: a new leader neither uses
   such a machine, which a late request of an earlier leader may still delete, nor forgets it. */
#pragma once

#include <stdbool.h>

/**
 * MhReleaseState:
 * @MH_RELEASE_REQUESTED: decided in memory; waits for others to share a record and a call
 * @MH_RELEASE_RECORDING: the record is being written
 * @MH_RELEASE_DELETING: the record is durable, and the cloud is being asked to delete the machine
 * @MH_RELEASE_CONFIRMED: the cloud has confirmed that the machine, with all that ran on it, is gone
 * @MH_RELEASE_ABANDONED: leadership has ended first; the next leader goes on from the record, if
 * it was written
 *
 * How far the release of a machine has come under this leader.
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
 * @MH_RELEASE_EVENT_BATCHED: it was put into a batch, whose record is sent
 * @MH_RELEASE_EVENT_RECORD_DURABLE: the record is in the key-value store
 * @MH_RELEASE_EVENT_RECORD_UNKNOWN: the write was not answered, or not carried out for now; the
 * same one is sent again
 * @MH_RELEASE_EVENT_LEADERSHIP_LOST: the store refused the write, so that leadership ends
 * @MH_RELEASE_EVENT_DELETION_CONFIRMED: the cloud has answered that the machines are gone
 * @MH_RELEASE_EVENT_DELETION_UNKNOWN: it has not; the same request is sent again
 *
 * What may happen to a release.
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
 * @state: (inout): the state; left as it is if the transition is refused
 * @event: what has happened
 *
 * The only place where the state of a release changes. The cloud is never asked before the record
 * is durable.
 *
 * Returns: %FALSE if @event cannot happen in @state
 */
bool
mh_release_state_advance (MhReleaseState *state, MhReleaseEvent event);
