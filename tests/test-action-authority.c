/* The last check before an action leaves the process. */
#include "controller/core-private.h"
#include "controller/status.h"
#include "protocol/cloud-messages.h"
#include "protocol/worker-messages.h"
#include "runtime/action-authority.h"

#define NOW_US (100 * MH_SECOND_US)

static GArray *
new_commands (MhCommandKind kind)
{
  GArray *commands = mh_commands_new ();
  MhCommand command = { .kind = kind, .job = g_strdup ("j-000001"), .attempt = 1 };
  g_array_append_val (commands, command);
  return commands;
}

static MhAction *
new_heartbeat_response (MhCommandKind kind)
{
  g_autoptr (GArray) commands = new_commands (kind);
  MhAction *action = g_new0 (MhAction, 1);
  action->kind = MH_ACTION_RESPOND_TO_HEARTBEAT;
  action->body = mh_commands_encode (1, NULL, commands);
  return action;
}

static MhAction *
new_call (MhRequest *request)
{
  MhAction *action = g_new0 (MhAction, 1);
  action->kind = MH_ACTION_SEND_REQUEST;
  action->request = request;
  return action;
}

/* Guards against a start of a task by a controller that has no lease. */
static void
test_start_without_lease (void)
{
  g_autoptr (GArray) commands = new_commands (MH_COMMAND_START);
  g_autoptr (MhAction) direct
      = new_call (mh_worker_request_commands ("127.0.0.1:1", 1, 1, commands));
  g_autoptr (MhAction) response = new_heartbeat_response (MH_COMMAND_START);
  g_assert_cmpint (mh_action_authority_decide (direct, NOW_US), ==, MH_AUTHORITY_NO_LEASE);
  g_assert_cmpint (mh_action_authority_decide (response, NOW_US), ==, MH_AUTHORITY_NO_LEASE);
}

/* Guards against an action that leaves after the lease that it was decided under. */
static void
test_lease_ended_meanwhile (void)
{
  g_autoptr (MhAction) response = new_heartbeat_response (MH_COMMAND_START);
  response->lease_until_us = NOW_US + 1;
  g_assert_cmpint (mh_action_authority_decide (response, NOW_US), ==, MH_AUTHORITY_GRANTED);
  g_assert_cmpint (mh_action_authority_decide (response, NOW_US + 1), ==, MH_AUTHORITY_LEASE_ENDED);
}

/* Guards against a check that refuses what a controller without a lease may do: stop tasks in the
   response to a heartbeat, and look at workers. */
static void
test_stop_without_lease_is_refused (void)
{
  g_autoptr (MhAction) response = new_heartbeat_response (MH_COMMAND_STOP);
  g_autoptr (MhAction) probe = new_call (mh_worker_request_status ("127.0.0.1:1"));
  g_assert_cmpint (mh_action_authority_decide (response, NOW_US), ==, MH_AUTHORITY_GRANTED);
  g_assert_cmpint (mh_action_authority_decide (probe, NOW_US), ==, MH_AUTHORITY_GRANTED);
}

/* Guards against a core that carries out what it has just found to be forbidden, or says nothing.
 */
static void
test_violation_leaves_process (void)
{
  const MhNow now = { .mono_us = NOW_US, .wall_us = NOW_US };
  g_autoptr (GArray) commands = new_commands (MH_COMMAND_START);
  MhSettings *settings = mh_settings_new ();
  settings->node_name = g_strdup ("node-0");
  MhCore *core = mh_core_new (settings, &now);
  MhAction *action = mh_runtime_add_action (core->runtime, MH_ACTION_SEND_REQUEST, 1);
  action->request = mh_worker_request_commands ("127.0.0.1:1", 1, 1, commands);
  action->lease_until_us = 0;
  bool is_logged = false;
  for (MhAction *next; (next = mh_core_pop_action (core, NOW_US));)
    {
      g_assert_cmpint (next->kind, !=, MH_ACTION_SEND_REQUEST);
      is_logged |= next->line && g_str_has_prefix (next->line, "invariant violated");
      mh_action_free (next);
    }
  g_assert_true (is_logged);
  g_assert_cmpuint (mh_core_get_count (core, MH_COUNTER_INVARIANT_VIOLATIONS), ==, 1);
  mh_core_free (core);
  mh_settings_free (settings);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/action-authority/start-without-lease", test_start_without_lease);
  g_test_add_func ("/action-authority/lease-ended-meanwhile", test_lease_ended_meanwhile);
  g_test_add_func ("/action-authority/stop-without-lease-is-refused",
                   test_stop_without_lease_is_refused);
  g_test_add_func ("/action-authority/violation-leaves-process", test_violation_leaves_process);
  return g_test_run ();
}
