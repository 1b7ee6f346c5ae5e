/* Users: each has submitted one job, asks any node about it again and again, and checks that no
   answer contradicts an earlier one. */
#pragma once

#include "stand-in/controller-node.h"
#include "stand-in/workload.h"

/**
 * User:
 * @simulation: that it is part of
 * @job: what was submitted
 * @wants_cancel: the user asks for the cancellation
 * @told_done: an answer said that the job is done
 * @told_cancelled: an answer said that the job is cancelled
 * @infeasible: the job can never run: it must not be accepted
 * @finished: its last task has ended
 * @last_status: HTTP status of the last answer
 * @final_answer_us: when the last answer came that the job is done or cancelled
 * @last_answer_us: when the last request was answered with success
 */
typedef struct
{
  Simulation *simulation;
  WorkloadJob *job;
  bool wants_cancel;
  bool reported_done, reported_cancelled;
  bool infeasible;
  bool job_end_seen;
  guint last_status;
  gint64 final_answer_us;
  gint64 last_answer_us;
} User;

/** job_spec_new: Returns: (transfer full): a plain job, "j-" and the number, of a team by the
 * number */
MhJobSpec *
job_spec_new (guint number, MhShape shape, guint tasks, double cpus);
/**
 * simulation_submit:
 * @spec: (transfer full): the job
 * @run_s: how long each task really runs, in seconds; 0: for ever
 *
 * Returns: its user, who begins to ask now
 */
User *
simulation_submit (Simulation *simulation, MhJobSpec *spec, double run_s);
/** user_cancel: From now on the user asks for the cancellation. */
void
user_cancel (User *user);
/** user_is_settled: Returns: whether the user was told how the job ended */
bool
user_is_settled (const User *user);
/** simulation_ask_all: The user asks every node at once, for what he would ask next. */
void
simulation_request_from_all_nodes (Simulation *simulation, User *user);
/**
 * simulation_ask_later:
 * @spec: (transfer full) (nullable): of a submission
 * @answer: filled when an answer comes; must outlive that
 *
 * One request of its own, to one node.
 */
void
simulation_send_request (Simulation *simulation, guint node, MhUserVerb verb, const char *job_id,
                         MhJobSpec *spec, MhUserAnswer *answer);
/** simulation_ask: The same, and waits for the answer. Returns: its HTTP status */
guint
simulation_request_and_wait (Simulation *simulation, guint node, MhUserVerb verb,
                             const char *job_id, MhJobSpec *spec, MhUserAnswer *answer);
/** users_cancel_finished: Some cancel just when their last task ends, before anybody was told. */
void
users_cancel_at_job_end (Simulation *simulation);
