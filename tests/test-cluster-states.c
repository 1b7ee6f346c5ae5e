/* The transition tables of attempts and of machines: the next state for each event, and the events
   that are refused. */
#include "cluster/attempt-state.h"
#include "cluster/machine-state.h"

#include <glib.h>

#define MAX_EVENTS 6
#define REFUSED (-1)

typedef struct
{
  const char *name;
  int next_states[MAX_EVENTS]; /* indexed by event */
} StateRow;

/* In the order of MhAttemptEvent: start sent, start refused, reported waiting, reported running,
   stop requested, proven ended. */
static const StateRow attempt_rows[] = {
  [MH_ATTEMPT_PLACED] = { "placed",
                          { MH_ATTEMPT_START_IN_FLIGHT, REFUSED, MH_ATTEMPT_WAITING,
                            MH_ATTEMPT_RUNNING, MH_ATTEMPT_STOPPING, MH_ATTEMPT_ENDED } },
  [MH_ATTEMPT_START_IN_FLIGHT]
  = { "start-in-flight",
      { MH_ATTEMPT_START_IN_FLIGHT, MH_ATTEMPT_PLACED, MH_ATTEMPT_WAITING, MH_ATTEMPT_RUNNING,
        MH_ATTEMPT_STOPPING, MH_ATTEMPT_ENDED } },
  [MH_ATTEMPT_WAITING] = { "waiting",
                           { REFUSED, REFUSED, MH_ATTEMPT_WAITING, MH_ATTEMPT_RUNNING,
                             MH_ATTEMPT_STOPPING, MH_ATTEMPT_ENDED } },
  [MH_ATTEMPT_RUNNING] = { "running",
                           { REFUSED, REFUSED, MH_ATTEMPT_WAITING, MH_ATTEMPT_RUNNING,
                             MH_ATTEMPT_STOPPING, MH_ATTEMPT_ENDED } },
  [MH_ATTEMPT_STOPPING] = { "stopping",
                            { REFUSED, MH_ATTEMPT_STOPPING, MH_ATTEMPT_STOPPING,
                              MH_ATTEMPT_STOPPING, MH_ATTEMPT_STOPPING, MH_ATTEMPT_ENDED } },
  [MH_ATTEMPT_ENDED] = { "ended", { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED } },
};

/* In the order of MhMachineEvent: reported, drain started, drain cancelled, release requested,
   release confirmed. */
static const StateRow machine_rows[] = {
  [MH_MACHINE_STARTING]
  = { "starting",
      { MH_MACHINE_JOINED, REFUSED, REFUSED, MH_MACHINE_RELEASING, MH_MACHINE_RELEASED } },
  [MH_MACHINE_JOINED] = { "joined",
                          { MH_MACHINE_JOINED, MH_MACHINE_DRAINING, REFUSED, MH_MACHINE_RELEASING,
                            MH_MACHINE_RELEASED } },
  [MH_MACHINE_DRAINING] = { "draining",
                            { MH_MACHINE_DRAINING, REFUSED, MH_MACHINE_JOINED, MH_MACHINE_RELEASING,
                              MH_MACHINE_RELEASED } },
  [MH_MACHINE_RELEASING]
  = { "releasing",
      { MH_MACHINE_RELEASING, REFUSED, REFUSED, MH_MACHINE_RELEASING, MH_MACHINE_RELEASED } },
  [MH_MACHINE_RELEASED] = { "released", { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED } },
};

/* With a wrong transition, a start could be sent for an attempt that is being stopped or has ended,
   and its task would run twice. */
static void
test_attempt_transitions (gconstpointer data)
{
  const StateRow *row = data;
  MhAttemptState before = (MhAttemptState)(row - attempt_rows);
  for (int event = 0; event <= MH_ATTEMPT_EVENT_PROVEN_ENDED; event++)
    {
      MhAttemptState state = before;
      bool accepted = mh_attempt_state_apply (&state, (MhAttemptEvent)event);
      g_assert_cmpint (accepted, ==, row->next_states[event] != REFUSED);
      g_assert_cmpint (state, ==, accepted ? (MhAttemptState)row->next_states[event] : before);
    }
}

/* With a wrong transition, a machine could be used again although its release may be in flight to
   the cloud. */
static void
test_machine_transitions (gconstpointer data)
{
  const StateRow *row = data;
  MhMachineState before = (MhMachineState)(row - machine_rows);
  for (int event = 0; event <= MH_MACHINE_EVENT_RELEASE_CONFIRMED; event++)
    {
      MhMachineState state = before;
      bool accepted = mh_machine_state_apply (&state, (MhMachineEvent)event);
      g_assert_cmpint (accepted, ==, row->next_states[event] != REFUSED);
      g_assert_cmpint (state, ==, accepted ? (MhMachineState)row->next_states[event] : before);
    }
}

static void
add_state_tests (const char *subject, const StateRow *rows, gsize count, GTestDataFunc func)
{
  for (gsize i = 0; i < count; i++)
    {
      g_autofree char *path = g_strdup_printf ("/%s/state/%s", subject, rows[i].name);
      g_test_add_data_func (path, &rows[i], func);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  G_STATIC_ASSERT (G_N_ELEMENTS (attempt_rows) == MH_ATTEMPT_ENDED + 1);
  G_STATIC_ASSERT (G_N_ELEMENTS (machine_rows) == MH_MACHINE_RELEASED + 1);
  add_state_tests ("attempt", attempt_rows, G_N_ELEMENTS (attempt_rows), test_attempt_transitions);
  add_state_tests ("machine", machine_rows, G_N_ELEMENTS (machine_rows), test_machine_transitions);
  return g_test_run ();
}
