#include "stand-in/user.h"

#include "stand-in/simulation.h"

#define ASK_INTERVAL_US MH_SECOND_US
#define SETTLED_ASK_INTERVAL_US (10 * MH_SECOND_US)
#define SETTLED_REPEAT_PROBABILITY 0.5
#define MAX_RESPONSE_WAIT_STEPS 50
#define RESPONSE_WAIT_STEP_S 0.1
/* How long users wait for a response. */
#define SUBMISSION_PATIENCE_US (5 * MH_SECOND_US)
#define QUESTION_PATIENCE_US (2 * MH_SECOND_US)
#define MAX_UNANSWERED_US (75 * MH_SECOND_US)

MhJobSpec *
job_spec_new (guint number, MhShape shape, guint tasks, double cpus)
{
  MhJobSpec *spec = g_new0 (MhJobSpec, 1);
  spec->id = g_strdup_printf ("j-%06u", number);
  spec->class_name = g_strdup (shape == MH_SHAPE_SERVICE ? "live" : "batch");
  spec->team = g_strdup (number % 2 ? "red" : "blue");
  spec->image = g_strdup_printf ("img-%u", number % 3);
  spec->image_gb = 0.5;
  spec->shape = shape;
  spec->priority = shape == MH_SHAPE_SERVICE ? MH_PRIORITY_HIGH : MH_PRIORITY_NORMAL;
  spec->tasks = tasks;
  spec->cpus = cpus;
  spec->mem_gb = 1;
  spec->spot = shape == MH_SHAPE_ARRAY;
  spec->estimated_run_us = shape == MH_SHAPE_ARRAY ? 5 * MH_SECOND_US : 0;
  spec->deadline_us = -1;
  return spec;
}

void
user_cancel (User *user)
{
  user->wants_cancel = true;
}

bool
user_is_settled (const User *user)
{
  return user->reported_done || user->reported_cancelled;
}

/* ---- responses ---- */

static void
report_violation (const User *user, const char *rule, const MhUserResponse *response)
{
  rule_checks_add_violation (user->rules, "%s: %s got status %u, state %u", rule,
                             user->job->spec->id, response->status, response->state);
}

static void
log_response (const User *user, const PendingRequest *request, const MhUserResponse *response)
{
  if (simulation_prints_log ())
    g_print ("%9.3f user %s: verb %d answered %u, state %d, %u done\n",
             (double)user->simulation->clock->now_us / 1e6, user->job->spec->id, request->verb,
             response->status, response->state, response->done);
}

/* An outcome that was reported must not change, and only what has happened may be reported. */
static void
check_reported_state (User *user, gint64 now_us, const MhUserResponse *response)
{
  WorkloadJob *job = user->job;
  if (response->state == MH_JOB_DONE)
    {
      if (job->done_count < job->spec->tasks)
        report_violation (user, "not_done", response);
      user->reported_done = true;
    }
  else if (user->reported_done)
    report_violation (user, "went_back", response);
  if (response->state == MH_JOB_CANCELLED)
    {
      if (!user->wants_cancel || user->reported_done)
        report_violation (user, "went_back", response);
      user->reported_cancelled = true;
      if (job->cancel_confirmed_us == 0)
        job->cancel_confirmed_us = now_us;
    }
  else if (user->reported_cancelled)
    report_violation (user, "went_back", response);
}

static bool
denies_job (const MhUserResponse *response)
{
  return response->status == 404 || response->status == 400 || response->status == 422;
}

static bool
has_user_waited (MhUserVerb verb, gint64 waited_us)
{
  return waited_us <= (verb == MH_USER_STATUS ? QUESTION_PATIENCE_US : SUBMISSION_PATIENCE_US);
}

void
user_note_response (User *user, MhUserVerb verb, gint64 sent_us, gint64 now_us,
                    const MhUserResponse *response)
{
  user->last_status = response->status;
  if (user->job->accepted && denies_job (response))
    report_violation (user, "forgotten", response);
  if (response->status != 200 && response->status != 201)
    return;
  if (has_user_waited (verb, now_us - sent_us))
    user->last_response_us = now_us;
  if (user->infeasible)
    report_violation (user, "accepted although it is infeasible", response);
  if (verb == MH_USER_SUBMIT)
    user->job->accepted = true;
  /* A request that was sent before the final response may have an older response. */
  if (sent_us < user->final_response_us)
    return;
  if (response->state == MH_JOB_DONE || response->state == MH_JOB_CANCELLED)
    user->final_response_us = now_us;
  check_reported_state (user, now_us, response);
}

void
user_check_answered (User *user, gint64 now_us, gint64 calm_since_us)
{
  gint64 since_us = MAX (user->last_response_us, calm_since_us);
  if (!user->job->accepted || now_us - since_us <= MAX_UNANSWERED_US)
    return;
  rule_checks_add_violation (user->rules, "forgotten: %s has no answer since %.3f",
                             user->job->spec->id, (double)since_us / MH_SECOND_US);
  user->last_response_us = now_us; /* reported once in each such time */
}

static void
on_user_response (ControllerNode *node, const PendingRequest *request, const MhAction *action)
{
  User *user = request->data;
  log_response (user, request, &action->response);
  user_note_response (user, request->verb, request->sent_us, node->simulation->clock->now_us,
                      &action->response);
}

/* ---- requests ---- */

static PendingRequest *
new_request (MhUserVerb verb, const char *job_id, MhJobSpec *spec)
{
  PendingRequest *request = g_new0 (PendingRequest, 1);
  request->verb = verb;
  request->job_id = g_strdup (job_id);
  request->spec = spec;
  return request;
}

static MhUserVerb
draw_verb (User *user)
{
  GRand *random = user->simulation->random;
  bool settled = user_is_settled (user);
  /* Requests that were carried out are repeated with some probability. */
  double repeat_probability
      = settled ? SETTLED_REPEAT_PROBABILITY : user->simulation->network->duplicate_probability;
  bool again = g_rand_double (random) < repeat_probability;
  if (!user->job->accepted || again)
    return MH_USER_SUBMIT;
  if (user->wants_cancel && (!settled || g_rand_boolean (random)))
    return MH_USER_CANCEL;
  return MH_USER_STATUS;
}

static void
ask_node (User *user, ControllerNode *node)
{
  const MhJobSpec *spec = user->job->spec;
  if (node->controller == NULL || controller_node_is_paused (node))
    return; /* the request would time out */
  MhUserVerb verb = draw_verb (user);
  PendingRequest *request
      = new_request (verb, spec->id, verb == MH_USER_SUBMIT ? job_spec_copy (spec) : NULL);
  request->on_response = on_user_response;
  request->data = user;
  request->sent_us = user->simulation->clock->now_us;
  controller_node_user_request (node, request, false);
}

static void
ask_any_node (User *user)
{
  Simulation *simulation = user->simulation;
  ask_node (user, &simulation->nodes[g_rand_int_range (simulation->random, 0, SIMULATION_NODES)]);
}

void
simulation_request_from_all_nodes (Simulation *simulation, User *user)
{
  for (guint i = 0; i < SIMULATION_NODES; i++)
    ask_node (user, &simulation->nodes[i]);
}

static void
on_ask_timer (gpointer data)
{
  User *user = data;
  FakeClock *clock = user->simulation->clock;
  /* Users also ask about settled jobs, because the response must not change. */
  gint64 interval_us = user_is_settled (user) ? SETTLED_ASK_INTERVAL_US : ASK_INTERVAL_US;
  fake_clock_add (clock, clock->now_us + interval_us, on_ask_timer, user, NULL);
  ask_any_node (user);
}

User *
simulation_submit (Simulation *simulation, MhJobSpec *spec, double run_s)
{
  User *user = g_new0 (User, 1);
  user->simulation = simulation;
  user->rules = simulation->rules;
  user->job = workload_add (simulation->environment->workload, spec, (gint64)(run_s * 1e6));
  g_ptr_array_add (simulation->users, user);
  fake_clock_add (simulation->clock, simulation->clock->now_us, on_ask_timer, user, NULL);
  return user;
}

void
users_cancel_at_job_end (Simulation *simulation)
{
  for (guint i = 0; i < simulation->users->len; i++)
    {
      User *user = g_ptr_array_index (simulation->users, i);
      if (user->job_end_seen || user->job->done_count < user->job->spec->tasks)
        continue;
      user->job_end_seen = true;
      if (g_rand_double (simulation->random) >= simulation->cancel_at_end_probability)
        continue;
      user_cancel (user);
      ask_any_node (user);
      ask_any_node (user);
    }
}

void
users_check_answered (Simulation *simulation, gint64 calm_since_us)
{
  for (guint i = 0; i < simulation->users->len; i++)
    user_check_answered (g_ptr_array_index (simulation->users, i), simulation->clock->now_us,
                         calm_since_us);
}

/* ---- single requests of a test ---- */

static void
on_test_response (ControllerNode *node, const PendingRequest *request, const MhAction *action)
{
  MhUserResponse *response = request->data;
  (void)node;
  *response = action->response;
}

void
simulation_send_request (Simulation *simulation, guint node, MhUserVerb verb, const char *job_id,
                         MhJobSpec *spec, MhUserResponse *response)
{
  PendingRequest *request = new_request (verb, job_id, spec);
  request->on_response = on_test_response;
  request->data = response;
  controller_node_user_request (&simulation->nodes[node], request, false);
}

guint
simulation_request_and_wait (Simulation *simulation, guint node, MhUserVerb verb,
                             const char *job_id, MhJobSpec *spec, MhUserResponse *response)
{
  *response = (MhUserResponse){};
  simulation_send_request (simulation, node, verb, job_id, spec, response);
  for (guint i = 0; i < MAX_RESPONSE_WAIT_STEPS && response->status == 0; i++)
    simulation_run (simulation, RESPONSE_WAIT_STEP_S);
  g_assert_cmpuint (response->status, !=, 0);
  return response->status;
}
