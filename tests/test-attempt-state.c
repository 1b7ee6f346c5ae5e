/* Every transition of an attempt's state, and every event that is refused. */
#include "cluster/attempt-state.h"

#include <glib.h>

#define STATES (MH_ATTEMPT_OVER + 1)
#define EVENTS (MH_ATTEMPT_EVENT_PROVEN_OVER + 1)
#define REFUSED (-1)

typedef struct
{
  const char *name;
  int after[EVENTS]; /* by MhAttemptEvent */
} StateRow;

/* In the order of MhAttemptEvent: start sent, start refused, shown waiting, shown running, stop
   wanted, proven over. */
static const StateRow rows[STATES] = {
  [MH_ATTEMPT_RECORDED] = { "recorded",
                            { MH_ATTEMPT_START_IN_FLIGHT, REFUSED, MH_ATTEMPT_FETCHING,
                              MH_ATTEMPT_RUNNING, MH_ATTEMPT_STOPPING, MH_ATTEMPT_OVER } },
  [MH_ATTEMPT_START_IN_FLIGHT]
  = { "start-in-flight",
      { MH_ATTEMPT_START_IN_FLIGHT, MH_ATTEMPT_RECORDED, MH_ATTEMPT_FETCHING, MH_ATTEMPT_RUNNING,
        MH_ATTEMPT_STOPPING, MH_ATTEMPT_OVER } },
  [MH_ATTEMPT_FETCHING] = { "fetching",
                            { REFUSED, REFUSED, MH_ATTEMPT_FETCHING, MH_ATTEMPT_RUNNING,
                              MH_ATTEMPT_STOPPING, MH_ATTEMPT_OVER } },
  [MH_ATTEMPT_RUNNING] = { "running",
                           { REFUSED, REFUSED, MH_ATTEMPT_FETCHING, MH_ATTEMPT_RUNNING,
                             MH_ATTEMPT_STOPPING, MH_ATTEMPT_OVER } },
  [MH_ATTEMPT_STOPPING] = { "stopping",
                            { REFUSED, MH_ATTEMPT_STOPPING, MH_ATTEMPT_STOPPING,
                              MH_ATTEMPT_STOPPING, MH_ATTEMPT_STOPPING, MH_ATTEMPT_OVER } },
  [MH_ATTEMPT_OVER] = { "over", { REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, REFUSED } },
};

/* Without this a start could leave for an attempt that is stopped or over, and run a task twice. */
static void
test_state (gconstpointer data)
{
  const StateRow *row = data;
  MhAttemptState before = (MhAttemptState)(row - rows);
  for (int event = 0; event < EVENTS; event++)
    {
      MhAttemptState state = before;
      bool accepted = mh_attempt_state_after (&state, (MhAttemptEvent)event);
      g_assert_cmpint (accepted, ==, row->after[event] != REFUSED);
      g_assert_cmpint (state, ==, accepted ? (MhAttemptState)row->after[event] : before);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < STATES; i++)
    {
      g_autofree char *path = g_strdup_printf ("/attempt/state/%s", rows[i].name);
      g_test_add_data_func (path, &rows[i], test_state);
    }
  return g_test_run ();
}
