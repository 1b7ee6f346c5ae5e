/* Unit test of the gang state machine: every transition, and every event that is refused. */
#include "jobs/gang-state.h"

#define STATES (MH_GANG_STATE_ENDING + 1)
#define REFUSED (-1)

typedef struct
{
  const char *name;
  int after[MH_GANG_EVENTS]; /* state after each MhGangEvent, or REFUSED */
} StateRow;

/* In the order of MhGangEvent: placed, restored, task gathering, task lost, stop requested,
   completed, gone. */
static const StateRow rows[STATES] = {
  [MH_GANG_STATE_IDLE]
  = { "idle",
      { MH_GANG_STATE_PLACED, MH_GANG_STATE_PLACED, MH_GANG_STATE_GATHERING, MH_GANG_STATE_ENDING,
        MH_GANG_STATE_ENDING, MH_GANG_STATE_IDLE, MH_GANG_STATE_IDLE } },
  [MH_GANG_STATE_PLACED]
  = { "placed",
      { MH_GANG_STATE_PLACED, REFUSED, MH_GANG_STATE_GATHERING, MH_GANG_STATE_ENDING,
        MH_GANG_STATE_ENDING, MH_GANG_STATE_IDLE, MH_GANG_STATE_IDLE } },
  [MH_GANG_STATE_GATHERING]
  = { "gathering",
      { MH_GANG_STATE_PLACED, REFUSED, MH_GANG_STATE_GATHERING, MH_GANG_STATE_ENDING,
        MH_GANG_STATE_ENDING, MH_GANG_STATE_IDLE, MH_GANG_STATE_IDLE } },
  [MH_GANG_STATE_ENDING] = { "ending",
                             { REFUSED, REFUSED, REFUSED, MH_GANG_STATE_ENDING,
                               MH_GANG_STATE_ENDING, MH_GANG_STATE_IDLE, MH_GANG_STATE_IDLE } },
};

/* With a wrong transition, a gang could be placed again while tasks of its last attempt may still
   run. */
static void
test_state (gconstpointer data)
{
  const StateRow *row = data;
  MhGangState before = (MhGangState)(row - rows);
  for (int event = 0; event < MH_GANG_EVENTS; event++)
    {
      MhGangState next;
      bool accepted = mh_gang_state_next (before, (MhGangEvent)event, &next);
      g_assert_cmpint (accepted, ==, row->after[event] != REFUSED);
      g_assert_cmpint (next, ==, accepted ? (MhGangState)row->after[event] : before);
    }
}

/* If each heartbeat that shows a waiting task restarted the time, a gang would never be stopped
   for not being complete in time. */
static void
test_gathering_since_first_heartbeat (void)
{
  MhJobGang gang = { .state = MH_GANG_STATE_PLACED };
  g_assert_true (mh_gang_state_apply (&gang, MH_GANG_EVENT_TASK_GATHERING, 5));
  g_assert_true (mh_gang_state_apply (&gang, MH_GANG_EVENT_TASK_GATHERING, 9));
  g_assert_cmpint (gang.gathering_since_us, ==, 5);
}

/* If a late heartbeat changed the state, an attempt that is being stopped would count as live
   again. */
static void
test_refused_event_changes_nothing (void)
{
  MhJobGang gang = { .state = MH_GANG_STATE_ENDING, .gathering_since_us = 5 };
  g_assert_false (mh_gang_state_apply (&gang, MH_GANG_EVENT_TASK_GATHERING, 9));
  g_assert_cmpint (gang.state, ==, MH_GANG_STATE_ENDING);
  g_assert_cmpint (gang.gathering_since_us, ==, 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < STATES; i++)
    {
      g_autofree char *path = g_strdup_printf ("/gang-state/%s", rows[i].name);
      g_test_add_data_func (path, &rows[i], test_state);
    }
  g_test_add_func ("/gang-state/gathering-since-first-heartbeat",
                   test_gathering_since_first_heartbeat);
  g_test_add_func ("/gang-state/refused-event-changes-nothing", test_refused_event_changes_nothing);
  return g_test_run ();
}
