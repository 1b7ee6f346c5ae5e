/* Attempts: one go at running a task, on one machine.

   An attempt occupies its machine and its team's quota from the moment it is placed until there is
   proof that it cannot run any more (reconcile.h). Silence is no proof. */
#pragma once

#include "cluster/attempt-state.h"
#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * MhAttemptStart:
 * @MH_START_NOT_SENT: no start has left this process, or the worker has refused it for good
 * @MH_START_SENT: a start may have left
 * @MH_START_BY_EARLIER_LEADER: the attempt was read from a record: what was sent, nobody here knows
 *
 * What is known of an attempt's start command.
 */
typedef enum
{
  MH_START_NOT_SENT,
  MH_START_SENT,
  MH_START_BY_EARLIER_LEADER
} MhAttemptStart;

/**
 * MhAttempt:
 * @job: its job
 * @index: of the task
 * @attempt: its number among the task's attempts, from 1
 * @machine: where it was placed
 * @required_revision: of its record, which must be durable before a start is sent
 * @state: changes in attempt.c alone
 * @start: what is known of its start command
 * @start_incarnation: the worker's incarnation that the last start was for
 * @start_sequence: number of the report whose answer last carried a start; 0: none did
 * @shown: the worker has shown it, in this leadership
 * @shown_now: the message that is being read shows it
 * @of_starved_job: when it was placed nothing of its job had begun for long
 * @grace_us: what it gets to save when it is stopped, in microseconds
 * @stop_sent_us: monotonic time of the last stop, in microseconds; 0: none was sent
 * @phase: in which the worker last showed it
 * @placed_us: monotonic time of its placement, or of the reading of its record
 * @running_since_us: since when it is known to run; 0: it does not
 */
struct MhAttempt
{
  MhJob *job;
  guint index;
  guint32 attempt;
  MhMachine *machine;
  guint64 required_revision;
  MhAttemptState state;
  MhAttemptStart start;
  guint64 start_incarnation, start_sequence;
  bool shown, shown_now;
  bool of_starved_job;
  gint64 grace_us, stop_sent_us;
  MhTaskPhase phase;
  gint64 placed_us, running_since_us;
};

/**
 * mh_attempt_is_stopping:
 * @attempt: an attempt
 *
 * Returns: %TRUE if it is to be stopped, whether or not the worker has been told
 */
static inline bool
mh_attempt_is_stopping (const MhAttempt *attempt)
{
  return attempt->state == MH_ATTEMPT_STOPPING;
}

/**
 * mh_attempt_start_was_sent:
 * @attempt: an attempt
 *
 * Returns: %TRUE if a start of this leader's may have left this process
 */
static inline bool
mh_attempt_start_was_sent (const MhAttempt *attempt)
{
  return attempt->start == MH_START_SENT;
}

/**
 * mh_attempt_is_from_record:
 * @attempt: an attempt
 *
 * Returns: %TRUE if an earlier leader placed it: what was sent, nobody here knows
 */
static inline bool
mh_attempt_is_from_record (const MhAttempt *attempt)
{
  return attempt->start == MH_START_BY_EARLIER_LEADER;
}

/**
 * mh_attempt_new:
 * @cluster: the cluster
 * @job: a job whose task @index is pending
 * @index: of the task
 * @number: of the attempt, above those of the task's earlier ones
 * @machine: where the task is placed
 *
 * Places a task: from now on it occupies the machine and its team's quota.
 *
 * Returns: (transfer none): the attempt, which lives until mh_attempt_proven_over() or
 *   mh_attempt_discard()
 */
MhAttempt *
mh_attempt_new (MhCluster *cluster, MhJob *job, guint index, guint32 number, MhMachine *machine);

/**
 * mh_attempt_new_from_record:
 * @cluster: the cluster
 * @job: a job that is being loaded
 * @index: of the task
 * @number: of the attempt
 * @machine: the machine that the record names
 *
 * The same for an attempt of an earlier leader.
 *
 * Returns: (transfer none): the attempt
 */
MhAttempt *
mh_attempt_new_from_record (MhCluster *cluster, MhJob *job, guint index, guint32 number,
                            MhMachine *machine);

/**
 * mh_attempt_note_start_sent:
 * @attempt: an attempt whose start goes out now
 * @answers_report: with the answer to a report, not directly
 */
void
mh_attempt_note_start_sent (MhAttempt *attempt, bool answers_report);

/**
 * mh_attempt_note_start_refused:
 * @attempt: an attempt whose direct start the worker has refused
 *
 * Nothing was carried out, nor will a copy be, unless another start has gone out with the answer to
 * a report, or the worker has shown the attempt.
 */
void
mh_attempt_note_start_refused (MhAttempt *attempt);

/**
 * mh_attempt_note_shown:
 * @cluster: the cluster
 * @attempt: an attempt that its worker shows
 * @phase: in which it is shown
 */
void
mh_attempt_note_shown (MhCluster *cluster, MhAttempt *attempt, MhTaskPhase phase);

/**
 * mh_attempt_send_stop:
 * @cluster: the cluster
 * @attempt: an attempt whose start was sent, or may have been
 * @grace_us: what it gets to save, in microseconds
 *
 * Tells the worker to end it, unless it was told to do so at least as soon.
 */
void
mh_attempt_send_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us);

/**
 * mh_attempt_stop:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt; may be freed
 * @grace_us: what it gets to save, in microseconds
 *
 * Stops it, and the rest of its gang. One that was never started is over at once.
 */
void
mh_attempt_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us);

/**
 * mh_attempt_stop_job:
 * @cluster: the cluster
 * @job: a cancelled job
 *
 * Stops all its attempts; a job without any is finished.
 */
void
mh_attempt_stop_job (MhCluster *cluster, MhJob *job);

/**
 * mh_attempt_proven_over:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt that can no longer run
 * @done: it ended with a result
 *
 * Frees machine, quota and task. That is written down, also without a result: else a new leader
 * would look for proof once more, on a machine that may be gone by then.
 */
void
mh_attempt_proven_over (MhCluster *cluster, MhAttempt *attempt, bool done);

/**
 * mh_attempt_task_done:
 * @cluster: the cluster
 * @job: a gang of which another task is done
 * @index: of a task without an attempt
 *
 * Notes that the task is done though no attempt of ours showed it.
 */
void
mh_attempt_task_done (MhCluster *cluster, MhJob *job, guint index);

/**
 * mh_attempt_discard:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt
 *
 * Takes it out of all accounts, without consequences: its job goes away.
 */
void
mh_attempt_discard (MhCluster *cluster, MhAttempt *attempt);

/**
 * mh_attempt_finish_job_if_over:
 * @cluster: the cluster
 * @job: a job
 *
 * Notes that nothing is left to do for the job, if that is so: its final record is then written.
 */
void
mh_attempt_finish_job_if_over (MhCluster *cluster, MhJob *job);
