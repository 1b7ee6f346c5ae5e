/* The state machine of a gang's attempt. All tasks of a gang share one attempt number; they run all
   at the same time or not at all (gang scheduling). */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhGangState:
 * @MH_GANG_STATE_IDLE: the gang has no attempt, or none that this leader knows of
 * @MH_GANG_STATE_PLACED: every task has a machine
 * @MH_GANG_STATE_GATHERING: at least one task has fetched its image and waits for the others. The
 * gang stays in this state when its tasks run
 * @MH_GANG_STATE_ENDING: a task has ended without being done or is missing from the records, or
 * all tasks were requested to stop. The next attempt begins after each task of this one is proven
 * gone
 *
 * The state of a gang's attempt.
 */
typedef enum
{
  MH_GANG_STATE_IDLE,
  MH_GANG_STATE_PLACED,
  MH_GANG_STATE_GATHERING,
  MH_GANG_STATE_ENDING
} MhGangState;

/**
 * MhGangEvent:
 * @MH_GANG_EVENT_PLACED: a placement pass has assigned machines to all tasks: a new attempt
 * @MH_GANG_EVENT_RESTORED: a new leader has loaded an attempt of all tasks from records
 * @MH_GANG_EVENT_TASK_GATHERING: a heartbeat shows that a task waits for the others
 * @MH_GANG_EVENT_TASK_LOST: a task has ended without being done, or is missing from the records
 * @MH_GANG_EVENT_STOP_REQUESTED: all tasks are requested to stop
 * @MH_GANG_EVENT_COMPLETED: all tasks are done
 * @MH_GANG_EVENT_GONE: each task of the attempt is proven gone
 *
 * What happens to a gang's attempt.
 */
typedef enum
{
  MH_GANG_EVENT_PLACED,
  MH_GANG_EVENT_RESTORED,
  MH_GANG_EVENT_TASK_GATHERING,
  MH_GANG_EVENT_TASK_LOST,
  MH_GANG_EVENT_STOP_REQUESTED,
  MH_GANG_EVENT_COMPLETED,
  MH_GANG_EVENT_GONE
} MhGangEvent;
/** MH_GANG_EVENTS: number of events */
#define MH_GANG_EVENTS (MH_GANG_EVENT_GONE + 1)

/**
 * MhJobGang:
 * @state: state of the attempt
 * @gathering_since_us: in %MH_GANG_STATE_GATHERING: monotonic time at which a heartbeat first
 * showed a task that waits for the others
 * @held_tasks: number of tasks for which the last placement pass held capacity, since the whole
 * gang could not be placed
 * @held_zone: (nullable): the zone in which the capacity is held, for a gang that must run in a
 * single zone; interned; %NULL: capacity may be in any zone
 *
 * The gang state of a job.
 */
typedef struct
{
  MhGangState state;
  gint64 gathering_since_us;
  guint held_tasks;
  const char *held_zone;
} MhJobGang;

/**
 * mh_gang_state_next:
 * @state: the present state
 * @event: what happens
 * @next: (out): the state after @event; @state if the event is refused
 *
 * Looks up a transition. While an attempt is ending, a new attempt is refused, and so is a message
 * that a task waits for the others. Records do not replace what messages have already shown of an
 * attempt: %MH_GANG_EVENT_RESTORED is refused unless the gang is idle.
 *
 * Returns: %FALSE if the event is refused
 */
bool
mh_gang_state_next (MhGangState state, MhGangEvent event, MhGangState *next);

/**
 * mh_gang_state_apply:
 * @gang: a gang
 * @event: what happens
 * @now_us: the current time, by the monotonic clock
 *
 * Moves to the next state, see mh_gang_state_next(). A refused event changes nothing.
 *
 * Returns: %FALSE if the event is refused
 */
bool
mh_gang_state_apply (MhJobGang *gang, MhGangEvent event, gint64 now_us);
