/* Users: each submits one job, sends requests about it to random nodes at regular intervals, and
   checks that no response contradicts an earlier one. */
#pragma once

#include "stand-in/controller-node.h"
#include "stand-in/rule-checks.h"
#include "stand-in/workload.h"

/**
 * User:
 * @simulation: (nullable): that it is part of; %NULL: its owner sends the requests
 * @rules: that violations are reported to; not owned
 * @job: that it submits
 * @wants_cancel: it requests the cancellation of the job
 * @reported_done: a response has reported the job as done
 * @reported_cancelled: a response has reported the job as cancelled
 * @infeasible: the job can never run, and must not be accepted
 * @may_be_refused: the version in production accepts the job, and this one refuses it
 * @job_end_seen: the last task has ended, and users_cancel_at_job_end() has decided whether to
 *   cancel
 * @last_status: HTTP status of the last response
 * @final_response_us: when a response last reported the job as done or cancelled
 * @last_response_us: when a request was last answered with success, before the user gave it up
 */
typedef struct
{
  Simulation *simulation;
  RuleChecks *rules;
  WorkloadJob *job;
  bool wants_cancel;
  bool reported_done, reported_cancelled;
  bool infeasible;
  bool may_be_refused;
  bool job_end_seen;
  guint last_status;
  gint64 final_response_us;
  gint64 last_response_us;
} User;

/** job_spec_new: Returns: (transfer full): a plain job with the id "j-NUMBER"; its team and its
 * image depend on @number */
MhJobSpec *
job_spec_new (guint number, MhShape shape, guint tasks, double cpus);
/**
 * simulation_submit:
 * @spec: (transfer full): the job
 * @run_s: how long each task takes, in seconds; 0: it never ends
 *
 * Returns: the user of the job, who sends the first request now
 */
User *
simulation_submit (Simulation *simulation, MhJobSpec *spec, double run_s);
/** user_cancel: Makes the user request the cancellation from now on. */
void
user_cancel (User *user);
/** user_is_settled: Returns: whether a response has reported the job as done or cancelled */
bool
user_is_settled (const User *user);
/** simulation_request_from_all_nodes: Sends a request of the user, as on its timer, to each node
 * now. */
void
simulation_request_from_all_nodes (Simulation *simulation, User *user);
/**
 * simulation_send_request:
 * @spec: (transfer full) (nullable): of a submission
 * @response: filled when a response comes; must exist until then
 *
 * Sends a single request, of no user, to one node.
 */
void
simulation_send_request (Simulation *simulation, guint node, MhUserVerb verb, const char *job_id,
                         MhJobSpec *spec, MhUserResponse *response);
/** simulation_request_and_wait: Sends a single request as simulation_send_request() does, and waits
 * for the response. Returns: its HTTP status */
guint
simulation_request_and_wait (Simulation *simulation, guint node, MhUserVerb verb,
                             const char *job_id, MhJobSpec *spec, MhUserResponse *response);
/** users_cancel_at_job_end: Lets users, with @cancel_at_end_probability, cancel their job when its
 * last task has just ended, before a controller can have reported that. */
void
users_cancel_at_job_end (Simulation *simulation);
/**
 * users_check_answered:
 * @calm_since_us: when the last fault ended
 *
 * Checks the rule "forgotten": no accepted job is without an answer for 75 s once all faults are
 * over. To be called at least once a second.
 */
void
users_check_answered (Simulation *simulation, gint64 calm_since_us);
/**
 * user_note_response:
 * @verb: of the request
 * @sent_us: when the request was sent
 * @now_us: when the response came
 * @response: the response
 *
 * Checks the response against all earlier ones and against what has happened.
 */
void
user_note_response (User *user, MhUserVerb verb, gint64 sent_us, gint64 now_us,
                    const MhUserResponse *response);
/** user_check_answered: As users_check_answered(), for one user. */
void
user_check_answered (User *user, gint64 now_us, gint64 calm_since_us);
