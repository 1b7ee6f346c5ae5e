/* Users' requests: submissions, status queries and cancellations, answered here or forwarded to the
   leader.

   Responses contain durable state only. A final state never changes, so every controller may answer
   with it. Any other state is answered by the leader, or from the stored records while there is no
   leader. */
#include "controller/admission.h"
#include "controller/core-private.h"

#include "cluster/attempt.h"
#include "cluster/machine-registry.h"

/* A user stops waiting for a response after 2 s, so a forwarded request must end earlier. */
#define FORWARD_TIMEOUT_US (MH_SECOND_US * 3 / 2)

enum
{
  STATUS_OK = 200,
  STATUS_CREATED = 201
};

/* ---- responses ---- */

static void
respond_to_user (MhCore *core, guint64 id, const MhUserResponse *response)
{
  mh_runtime_add_action (core->runtime, MH_ACTION_RESPOND_TO_USER, id)->response = *response;
}

static void
respond_with_job_state (MhCore *core, guint64 id, const MhJob *job)
{
  MhAction *action = mh_runtime_add_action (core->runtime, MH_ACTION_RESPOND_TO_USER, id);
  mh_job_fill_response (job, &action->response);
  action->response.status = STATUS_OK;
}

/* The request is answered once what it asks for is durable in the job's records. */
static void
respond_when_durable (MhJob *job, const MhUserRequest *request)
{
  MhWaiter waiter = { .id = request->id, .verb = request->verb };
  g_array_append_val (job->waiters, waiter);
}

/* ---- requests that are answered from the records ---- */

/* Answers a status query or a cancellation. */
static void
look_up_state (MhCore *core, const MhUserRequest *request, MhLookupScope scope)
{
  const MhLookupRequest lookup = { .id = request->id,
                                   .job = request->job_id,
                                   .verb = request->verb,
                                   .scope = scope,
                                   .absence = MH_LOOKUP_UNKNOWN_JOB };
  mh_job_lookup_ask (core->job_lookup, &lookup);
}

/* ---- submissions ---- */

static MhJob *
create_job (MhCore *core, MhJobSpec *spec)
{
  const MhNow *now = mh_runtime_now (core->runtime);
  MhJob *job = mh_job_new (spec, 0, core->settings->value_bytes, now->wall_us, now);
  g_hash_table_insert (core->jobs, job->spec->id, job);
  mh_record_writer_mark_changed (core->record_writer, &job->records[0], MH_URGENCY_USER);
  return job;
}

static void
log_not_accepted (MhCore *core, const char *job_id, MhAdmission admission)
{
  bool types_known = mh_cluster_types (core->cluster) != NULL;
  mh_log_info_limited (core->runtime, MH_LOG_ADMISSION,
                       "submission cannot be accepted job=%s reason=%s machine_types=%s", job_id,
                       mh_admission_name (admission), types_known ? "known" : "unknown");
}

static MhLookupAbsence
get_absence (MhAdmission admission)
{
  switch (admission)
    {
    case MH_ADMISSION_INCOMPLETE:
      return MH_LOOKUP_INCOMPLETE;
    case MH_ADMISSION_TOO_LARGE:
      return MH_LOOKUP_TOO_LARGE;
    case MH_ADMISSION_IMPOSSIBLE:
      return MH_LOOKUP_IMPOSSIBLE;
    default:
      return MH_LOOKUP_UNDECIDED;
    }
}

/* A submission that would not be accepted now may be the repeated one of a job that was accepted
   earlier, with other settings or machine types, and that has ended since. Such a job keeps its
   state for ever: the final record is read before any response that denies it. */
static void
look_up_submission (MhCore *core, const MhUserRequest *request, MhAdmission admission,
                    MhLookupScope scope)
{
  const MhLookupRequest lookup = { .id = request->id,
                                   .job = request->job_id,
                                   .verb = MH_USER_SUBMIT,
                                   .scope = scope,
                                   .absence = get_absence (admission) };
  mh_job_lookup_ask (core->job_lookup, &lookup);
}

static void
submit_new_job (MhCore *core, MhUserRequest *request)
{
  const GPtrArray *types = mh_cluster_types (core->cluster);
  MhAdmission admission = mh_admission_check (core->settings, types, request->spec);
  if (admission != MH_ADMISSION_ACCEPT)
    {
      log_not_accepted (core, request->job_id, admission);
      look_up_submission (core, request, admission, MH_LOOKUP_LEADER);
      return;
    }
  mh_admission_keep_known_types (types, request->spec);
  respond_when_durable (create_job (core, g_steal_pointer (&request->spec)), request);
}

static void
submit (MhCore *core, MhUserRequest *request)
{
  MhJob *job = g_hash_table_lookup (core->jobs, request->spec->id);
  const MhUserResponse *final_response
      = mh_final_state_cache_find (core->final_states, request->spec->id);
  /* The final response comes first: a repeated submission of an ended job may be in memory as well,
     with its write pending. In the opposite order the response said that the job is pending. */
  if (final_response)
    respond_to_user (core, request->id, final_response);
  else if (job && job->accepted)
    respond_with_job_state (core, request->id, job);
  else if (job)
    respond_when_durable (job, request);
  else
    submit_new_job (core, request);
}

/* ---- cancellations ---- */

static void
cancel (MhCore *core, const MhUserRequest *request, MhJob *job)
{
  if (mh_job_is_end_durable (job) || mh_job_is_cancel_durable (job))
    {
      respond_with_job_state (core, request->id, job);
      return;
    }
  if (!mh_job_is_cancelled (job) && !mh_job_has_ended (job))
    {
      mh_log_info (core->runtime, "job cancelled by its user job=%s", job->spec->id);
      job->cancellation = MH_CANCELLATION_REQUESTED;
      mh_record_writer_mark_changed (core->record_writer, &job->records[0], MH_URGENCY_USER);
      mh_attempt_stop_job (core->cluster, job);
    }
  respond_when_durable (job, request);
}

/* ---- as follower ---- */

static void
forward_to_leader (MhCore *core, const MhUserRequest *request)
{
  MhAction *action
      = mh_runtime_add_action (core->runtime, MH_ACTION_FORWARD_USER_REQUEST, request->id);
  action->node = g_strdup (mh_election_leader_name (core->election));
  action->timeout_us = FORWARD_TIMEOUT_US;
  g_hash_table_insert (core->forwarded_requests, g_memdup2 (&request->id, sizeof request->id),
                       g_strdup (request->job_id));
}

/* False: only a leader can answer. While there is none, a status query is answered from the
   records, and so is a submission that any leader with these settings would refuse: it is refused,
   unless its job was accepted earlier. */
static bool
look_up_without_leader (MhCore *core, const MhUserRequest *request)
{
  if (request->forwarded || mh_election_is_elected (core->election))
    return false;
  if (request->verb == MH_USER_STATUS)
    {
      look_up_state (core, request, MH_LOOKUP_LEADERLESS);
      return true;
    }
  if (request->verb != MH_USER_SUBMIT)
    return false;
  MhAdmission admission
      = mh_admission_check (core->settings, mh_cluster_types (core->cluster), request->spec);
  if (admission == MH_ADMISSION_ACCEPT || admission == MH_ADMISSION_UNDECIDED)
    return false;
  look_up_submission (core, request, admission, MH_LOOKUP_LEADERLESS);
  return true;
}

static MhCounter
get_unavailable_reason (const MhCore *core)
{
  switch (mh_election_state (core->election))
    {
    case MH_LEADERSHIP_LOADING:
      return MH_COUNTER_LOADING;
    case MH_LEADERSHIP_LEADING:
    case MH_LEADERSHIP_STEPPING_DOWN:
      return MH_COUNTER_LEASE_LAPSED;
    default:
      return MH_COUNTER_NO_LEADER;
    }
}

/* Also handles the requests that reach a leader whose lease has lapsed: the outcome of its last
   writes may be unknown to it, so that it answers with final states only. */
static void
handle_as_follower (MhCore *core, const MhUserRequest *request)
{
  const MhUserResponse *final_response
      = mh_final_state_cache_find (core->final_states, request->job_id);
  if (final_response)
    respond_to_user (core, request->id, final_response);
  else if (!request->forwarded && mh_election_other_leader (core->election))
    forward_to_leader (core, request);
  else if (!look_up_without_leader (core, request))
    mh_runtime_respond_unavailable (core->runtime, request->id, get_unavailable_reason (core));
}

/* ---- as leader ---- */

static void
handle_as_leader (MhCore *core, MhUserRequest *request)
{
  MhJob *job = g_hash_table_lookup (core->jobs, request->job_id);
  const MhUserResponse *final_response
      = mh_final_state_cache_find (core->final_states, request->job_id);
  if (mh_record_loader_is_unreadable (core->record_loader, request->job_id))
    mh_runtime_respond_unavailable (core->runtime, request->id, MH_COUNTER_UNREADABLE);
  else if (request->verb == MH_USER_SUBMIT)
    submit (core, request);
  else if (job == NULL && final_response)
    respond_to_user (core, request->id, final_response);
  /* A job that is not accepted yet may be the repeated submission of one that ended long ago. The
     lookup reads the final record and answers from it, however long the write of the submission is
     delayed. */
  else if (job == NULL || !job->accepted)
    look_up_state (core, request, MH_LOOKUP_LEADER);
  else if (request->verb == MH_USER_STATUS)
    respond_with_job_state (core, request->id, job);
  else
    cancel (core, request, job);
}

void
mh_core_handle_user_request (MhCore *core, const MhUserRequest *request)
{
  MhUserRequest owned = *request;
  if (mh_election_is_serving (core->election))
    handle_as_leader (core, &owned);
  else
    handle_as_follower (core, &owned);
  mh_job_spec_free (owned.spec);
}

/* ---- responses to forwarded requests ---- */

/* A final state never changes: later requests for the job are answered without forwarding them. */
static void
cache_final_response (MhCore *core, const char *job_id, const MhUserResponse *response)
{
  MhUserResponse final_response = *response;
  final_response.status = STATUS_OK;
  if ((response->status == STATUS_OK || response->status == STATUS_CREATED)
      && (response->state == MH_JOB_DONE || response->state == MH_JOB_CANCELLED))
    mh_final_state_cache_add (core->final_states, job_id, &final_response);
}

void
mh_core_handle_forward_response (MhCore *core, guint64 id, const MhUserResponse *response)
{
  gpointer key, value;
  if (!g_hash_table_steal_extended (core->forwarded_requests, &id, &key, &value))
    return;
  g_free (key);
  g_autofree char *job_id = value;
  if (response)
    {
      mh_election_note_forward_answered (core->election);
      respond_to_user (core, id, response);
      cache_final_response (core, job_id, response);
      return;
    }
  const char *leader = mh_election_leader_name (core->election);
  mh_log_info_limited (core->runtime, MH_LOG_PEER,
                       "leader did not answer a forwarded request leader=%s",
                       leader ? leader : "unknown");
  mh_election_note_forward_failed (core->election);
  mh_runtime_respond_unavailable (core->runtime, id, MH_COUNTER_LEADER_SILENT);
}
