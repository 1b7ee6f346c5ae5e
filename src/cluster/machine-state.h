/* The states of a machine and the transitions between them. */
#pragma once

#include <stdbool.h>

/**
 * MhMachineState:
 * @MH_MACHINE_STARTING: known, but its worker has not reported to this leader yet
 * @MH_MACHINE_JOINED: its worker has reported to this leader
 * @MH_MACHINE_DRAINING: nothing new is placed on it, and its tasks are moved elsewhere
 * @MH_MACHINE_RELEASING: it is being released; its attempts count as live until that is confirmed
 * @MH_MACHINE_RELEASED: the cloud has confirmed the release
 *
 * The state of a machine.
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
 * @MH_MACHINE_EVENT_DRAIN_STARTED: consolidation drains it, since too little runs there for its
 * price
 * @MH_MACHINE_EVENT_DRAIN_CANCELLED: it is needed after all
 * @MH_MACHINE_EVENT_RELEASE_REQUESTED: this leader releases it, or a record shows that an earlier
 * one did
 * @MH_MACHINE_EVENT_RELEASE_CONFIRMED: the cloud has confirmed its release
 *
 * An event that may change the state of a machine.
 */
typedef enum
{
  MH_MACHINE_EVENT_REPORTED,
  MH_MACHINE_EVENT_DRAIN_STARTED,
  MH_MACHINE_EVENT_DRAIN_CANCELLED,
  MH_MACHINE_EVENT_RELEASE_REQUESTED,
  MH_MACHINE_EVENT_RELEASE_CONFIRMED
} MhMachineEvent;

/**
 * mh_machine_state_apply:
 * @state: (inout): the state of the machine; unchanged if the event is refused
 * @event: the event
 *
 * Applies an event to a state; all transitions are defined here. A release is never cancelled,
 * because a request for it may still be in flight to the cloud.
 *
 * Returns: %FALSE if the event is not valid in that state
 */
bool
mh_machine_state_apply (MhMachineState *state, MhMachineEvent event);
