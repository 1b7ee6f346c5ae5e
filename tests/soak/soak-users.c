/* Users of the soak: each submits one job, repeats the submission, asks at all controllers, and
   cancels some jobs. The checks are those of the simulation's users. */
#include "protocol/user-messages.h"
#include "soak/soak.h"
#include "stand-in/user.h"

#define QUESTION_TIMEOUT_US (2 * MH_SECOND_US)
#define SUBMISSION_TIMEOUT_US (5 * MH_SECOND_US)
#define ASK_INTERVAL_MS 400
#define SETTLED_ASK_INTERVAL_MS 1500
#define JOBS_PER_SECOND 2u
#define MIN_JOBS 20u
#define SERVICE_PROBABILITY 0.25
#define CANCEL_PROBABILITY 0.3
#define REPEAT_PROBABILITY 0.1
/* That all controllers are asked at once, right after a response. */
#define CLOSE_LOOK_PROBABILITY 0.15
#define UNKNOWN_JOB_PROBABILITY 0.02
/* Of one user: the HTTP client of this program examines all that wait with each response. */
#define MAX_PENDING 4u
#define MAX_TASKS 8
#define MAX_RUN_S 6

typedef struct
{
  Soak *soak;
  User user;
  GBytes *submission;
  guint pending;       /* requests without a response */
  gint64 cancel_at_us; /* 0: never */
} SoakUser;

typedef struct
{
  SoakUser *owner;
  MhUserVerb verb;
  guint node;
  gint64 sent_us;
} Request;

static void
send_request (SoakUser *owner, MhUserVerb verb, guint node);

/* ---- responses ---- */

static MhJobState
read_state (const MhValue *body)
{
  g_autofree char *text = body ? mh_value_get_text (body, "status") : NULL;
  if (g_strcmp0 (text, "done") == 0)
    return MH_JOB_DONE;
  if (g_strcmp0 (text, "aborted") == 0)
    return MH_JOB_CANCELLED;
  return g_strcmp0 (text, "running") == 0 ? MH_JOB_RUNNING : MH_JOB_PENDING;
}

static void
on_response (guint status, const MhValue *body, gpointer data)
{
  g_autofree Request *request = data;
  SoakUser *owner = request->owner;
  Soak *soak = owner->soak;
  const MhUserResponse response = { .status = status, .state = read_state (body) };
  bool is_answer = status == 200 || status == 201;
  owner->pending--;
  soak_log (soak, "user %s: verb %d at node-%u: %u, state %d", owner->user.job->spec->id,
            request->verb, request->node, status, is_answer ? (int)response.state : -1);
  soak->answers += is_answer;
  soak->unanswered += !is_answer;
  /* The user has given up or got no answer: there is nothing to check. */
  if (status)
    user_note_response (&owner->user, request->verb, request->sent_us, g_get_monotonic_time (),
                        &response);
  if (is_answer && g_random_double () < CLOSE_LOOK_PROBABILITY)
    for (guint i = 0; i < LOOPBACK_NODES; i++)
      send_request (owner, MH_USER_STATUS, i);
}

static void
on_unknown_response (guint status, const MhValue *body, gpointer data)
{
  Soak *soak = data;
  (void)body;
  if (status == 200)
    rule_checks_add_violation (soak->cluster->environment->rules,
                               "invented: 200 for a job that nobody submitted");
}

/* ---- requests ---- */

static void
send_request (SoakUser *owner, MhUserVerb verb, guint node)
{
  if (owner->pending >= MAX_PENDING)
    return;
  owner->pending++;
  Request *request = g_new0 (Request, 1);
  const char *id = owner->user.job->spec->id;
  g_autofree char *path = verb == MH_USER_SUBMIT ? g_strdup ("/submissions")
                          : verb == MH_USER_CANCEL
                              ? g_strdup_printf ("/submissions/%s/withdraw", id)
                              : g_strdup_printf ("/submissions/%s", id);
  request->owner = owner;
  request->verb = verb;
  request->node = node;
  request->sent_us = g_get_monotonic_time ();
  loopback_cluster_send (owner->soak->cluster, node, verb == MH_USER_STATUS ? "GET" : "POST", path,
                         verb == MH_USER_SUBMIT ? owner->submission : NULL,
                         verb == MH_USER_SUBMIT ? SUBMISSION_TIMEOUT_US : QUESTION_TIMEOUT_US,
                         on_response, request);
}

static MhUserVerb
choose_verb (SoakUser *owner)
{
  User *user = &owner->user;
  if (!user->job->accepted || g_random_double () < REPEAT_PROBABILITY)
    return MH_USER_SUBMIT;
  if (owner->cancel_at_us && g_get_monotonic_time () >= owner->cancel_at_us)
    user_cancel (user);
  return user->wants_cancel && !user_is_settled (user) ? MH_USER_CANCEL : MH_USER_STATUS;
}

static gboolean
on_ask_timer (gpointer data)
{
  SoakUser *owner = data;
  Soak *soak = owner->soak;
  guint interval_ms = user_is_settled (&owner->user) ? SETTLED_ASK_INTERVAL_MS : ASK_INTERVAL_MS;
  g_timeout_add (interval_ms, on_ask_timer, owner);
  send_request (owner, choose_verb (owner), (guint)g_random_int_range (0, LOOPBACK_NODES));
  if (g_random_double () < UNKNOWN_JOB_PROBABILITY)
    loopback_cluster_send (soak->cluster, (guint)g_random_int_range (0, LOOPBACK_NODES), "GET",
                           "/submissions/j-999999", NULL, QUESTION_TIMEOUT_US, on_unknown_response,
                           soak);
  return G_SOURCE_REMOVE;
}

/* ---- jobs ---- */

static MhJobSpec *
draw_job (GRand *random, guint number)
{
  bool is_service = g_rand_double (random) < SERVICE_PROBABILITY;
  guint tasks = (guint)g_rand_int_range (random, 1, MAX_TASKS + 1);
  MhJobSpec *spec
      = job_spec_new (1 + number, is_service ? MH_SHAPE_SERVICE : MH_SHAPE_ARRAY, tasks, 0.5);
  spec->image_gb = 0.1;
  return spec;
}

static void
add_user (Soak *soak, guint number, gint64 start_us)
{
  GRand *random = soak->random;
  SoakUser *owner = g_new0 (SoakUser, 1);
  MhJobSpec *spec = draw_job (random, number);
  bool is_service = spec->shape == MH_SHAPE_SERVICE;
  gint64 run_us = g_rand_int_range (random, 1, MAX_RUN_S + 1) * MH_SECOND_US;
  gint64 cancel_us
      = g_rand_int_range (random, 1, (gint32)soak->options.seconds * 1000) * MH_MILLISECOND_US;
  bool cancels = is_service || g_rand_double (random) < CANCEL_PROBABILITY;
  owner->soak = soak;
  owner->user.rules = soak->cluster->environment->rules;
  owner->submission
      = loopback_cluster_encode_submission (soak->cluster, spec, is_service ? 0 : run_us);
  owner->user.job = workload_find (soak->cluster->environment->workload, spec->id);
  owner->cancel_at_us = cancels ? soak->started_us + start_us + cancel_us : 0;
  g_ptr_array_add (soak->users, owner);
  g_timeout_add ((guint)(start_us / MH_MILLISECOND_US), on_ask_timer, owner);
}

void
soak_users_start (Soak *soak)
{
  guint jobs = MAX (MIN_JOBS, JOBS_PER_SECOND * soak->options.seconds);
  for (guint i = 0; i < jobs; i++)
    add_user (soak, i, soak->options.seconds * MH_SECOND_US / jobs * i);
}

/* ---- checks ---- */

void
soak_users_check (Soak *soak)
{
  if (soak->calm_since_us == 0)
    return;
  for (guint i = 0; i < soak->users->len; i++)
    user_check_answered (&((SoakUser *)g_ptr_array_index (soak->users, i))->user,
                         g_get_monotonic_time (), soak->calm_since_us);
}

bool
soak_users_all_settled (const Soak *soak)
{
  for (guint i = 0; i < soak->users->len; i++)
    {
      const SoakUser *owner = g_ptr_array_index (soak->users, i);
      if (!user_is_settled (&owner->user) || owner->user.last_response_us < soak->calm_since_us)
        return false;
    }
  return true;
}
