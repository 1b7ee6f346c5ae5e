/* The state machine of a gang's attempt: one attempt number for all tasks, which run all at the
   same time or not at all (gang scheduling). */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhGangState:
 * @MH_GANG_STATE_IDLE: no attempt, or none that is known
 * @MH_GANG_STATE_PLACED: every task has a machine
 * @MH_GANG_STATE_GATHERING: a task has its image and waits for the others; remembered when they run
 * @MH_GANG_STATE_ENDING: a task of the attempt is over, or all are told to stop; the next attempt
 * begins when each task of this one is proven gone
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
 * @MH_GANG_EVENT_PLACED: a new attempt: all tasks were given machines
 * @MH_GANG_EVENT_RESTORED: a whole attempt is known from records
 * @MH_GANG_EVENT_TASK_GATHERING: a task reports that it waits for the others
 * @MH_GANG_EVENT_TASK_LOST: a task is over and not done, or missing from the records
 * @MH_GANG_EVENT_STOPPED: all tasks are told to stop
 * @MH_GANG_EVENT_COMPLETED: all tasks are done
 * @MH_GANG_EVENT_GONE: each task of the attempt is proven gone
 */
typedef enum
{
  MH_GANG_EVENT_PLACED,
  MH_GANG_EVENT_RESTORED,
  MH_GANG_EVENT_TASK_GATHERING,
  MH_GANG_EVENT_TASK_LOST,
  MH_GANG_EVENT_STOPPED,
  MH_GANG_EVENT_COMPLETED,
  MH_GANG_EVENT_GONE
} MhGangEvent;
/** MH_GANG_EVENTS: number of events */
#define MH_GANG_EVENTS (MH_GANG_EVENT_GONE + 1)

/**
 * MhJobGang:
 * @state: of the attempt
 * @gathering_since_us: in %MH_GANG_STATE_GATHERING: a task waits for the others since, by the
 * steady clock
 * @held_tasks: tasks for which capacity is held in this placement pass
 * @held_zone: (nullable): the only zone in which it is held; interned; %NULL: any
 *
 * What is known of a job whose tasks run all at once.
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
 * @state: the state
 * @event: what has happened
 * @next: (out): the state after it; on refusal, @state
 *
 * The transitions. An ending attempt takes no new one and no task that gathers: it ends
 * first. What is known of an attempt from reports is not replaced by records.
 *
 * Returns: %FALSE if the event is refused
 */
bool
mh_gang_state_next (MhGangState state, MhGangEvent event, MhGangState *next);

/**
 * mh_job_gang_apply:
 * @gang: a gang
 * @event: what has happened
 * @now_us: the present, by the steady clock
 *
 * Goes to the next state, see mh_gang_state_next(). An event that is refused changes nothing.
 *
 * Returns: %FALSE if the event is refused
 */
bool
mh_job_gang_apply (MhJobGang *gang, MhGangEvent event, gint64 now_us);
