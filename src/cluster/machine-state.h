/* The states of a machine and the transitions between them, and nothing else. */
#pragma once

#include <stdbool.h>

/**
 * MhMachineState:
 * @MH_MACHINE_STARTING: known, and not heard by this leader yet
 * @MH_MACHINE_JOINED: its worker has reported to this leader
 * @MH_MACHINE_DRAINING: it takes nothing new; what it holds is moved
 * @MH_MACHINE_RELEASING: it is being given back; what it holds counts until that is confirmed
 * @MH_MACHINE_RELEASED: the cloud has confirmed that it is gone
 */
typedef enum
{
  MH_MACHINE_STARTING,
  MH_MACHINE_JOINED,
  MH_MACHINE_DRAINING,
  MH_MACHINE_RELEASING,
  MH_MACHINE_RELEASED
} MhMachineState;

/**
 * MhMachineEvent:
 * @MH_MACHINE_EVENT_REPORTED: its worker has reported to this leader
 * @MH_MACHINE_EVENT_DRAIN_STARTED: it does too little for its price
 * @MH_MACHINE_EVENT_DRAIN_CANCELLED: it is wanted after all
 * @MH_MACHINE_EVENT_RELEASE_WANTED: it is to be given back, perhaps by an earlier leader's record
 * @MH_MACHINE_EVENT_RELEASE_CONFIRMED: the cloud says that it is gone
 */
typedef enum
{
  MH_MACHINE_EVENT_REPORTED,
  MH_MACHINE_EVENT_DRAIN_STARTED,
  MH_MACHINE_EVENT_DRAIN_CANCELLED,
  MH_MACHINE_EVENT_RELEASE_WANTED,
  MH_MACHINE_EVENT_RELEASE_CONFIRMED
} MhMachineEvent;

/**
 * mh_machine_state_after:
 * @state: (inout): the state in which the event finds the machine; unchanged if it is refused
 * @event: what happens
 *
 * The one place that knows the transitions. A release is never taken back: a request for it may
 * still be on its way to the cloud.
 *
 * Returns: %FALSE if the event cannot happen in that state
 */
bool
mh_machine_state_after (MhMachineState *state, MhMachineEvent event);
