/* Attempts: each is one start of a task on one machine.

   An attempt occupies its machine and its team's quota from its placement until there is proof that
   it can no longer run (reconcile.h). That its worker is silent is no proof. */
#pragma once

#include "cluster/attempt-state.h"
#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "protocol/worker-messages.h"

/**
 * MhAttemptStart:
 * @MH_START_NOT_SENT: no start has been sent, or the worker has refused it and all its copies
 * @MH_START_SENT: a start may have been sent
 * @MH_START_BY_EARLIER_LEADER: the attempt was loaded from a record; it is not known whether the
 *   earlier leader sent a start
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
 * @index: index of its task in the job
 * @number: its number among the task's attempts, from 1
 * @machine: the machine on which it was placed
 * @required_revision: revision of the task's record that must be durable before a start is sent
 * @state: only attempt.c changes it
 * @start: what is known of its start command
 * @start_incarnation: the worker's incarnation for which the last start was sent
 * @start_sequence: sequence number of the heartbeat whose response last carried a start; 0: none
 * @reported: the worker has reported it in this leadership
 * @in_newest_message: the message that is being processed reports it
 * @job_was_starved: its job was starved when it was placed, see #MhJobPlacement
 * @grace_us: time to save a checkpoint when it is stopped, in microseconds
 * @stop_sent_us: monotonic time at which the requested stop was first sent, in microseconds; 0: it
 *   was not sent, or the direct command that carried it failed
 * @phase: the phase in which the worker last reported it
 * @placed_us: monotonic time at which it was placed or loaded from its record
 * @running_since_us: monotonic time since which it is known to run; 0: it does not run
 */
struct MhAttempt
{
  MhJob *job;
  guint index;
  guint32 number;
  MhMachine *machine;
  guint64 required_revision;
  MhAttemptState state;
  MhAttemptStart start;
  guint64 start_incarnation, start_sequence;
  bool reported, in_newest_message;
  bool job_was_starved;
  gint64 grace_us, stop_sent_us;
  MhTaskPhase phase;
  gint64 placed_us, running_since_us;
};

/**
 * mh_attempt_is_stopping:
 * @attempt: an attempt
 *
 * Returns: %TRUE if a stop was requested, whether or not it has been sent to the worker
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
 * Returns: %TRUE if this leader may have sent a start
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
 * Returns: %TRUE if an earlier leader placed it, so that it is not known whether a start was sent
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
 * @index: index of the task
 * @number: number of the attempt, higher than that of each earlier attempt of the task
 * @machine: the machine on which the task is placed
 *
 * Places a task. From now on it occupies the machine and its team's quota.
 *
 * Returns: (transfer none): the attempt, which lives until mh_attempt_note_ended() or
 *   mh_attempt_discard()
 */
MhAttempt *
mh_attempt_new (MhCluster *cluster, MhJob *job, guint index, guint32 number, MhMachine *machine);

/**
 * mh_attempt_new_from_record:
 * @cluster: the cluster
 * @job: a job that is being loaded
 * @index: index of the task
 * @number: number of the attempt
 * @machine: the machine that the record names
 *
 * Like mh_attempt_new(), for an attempt that an earlier leader placed.
 *
 * Returns: (transfer none): the attempt
 */
MhAttempt *
mh_attempt_new_from_record (MhCluster *cluster, MhJob *job, guint index, guint32 number,
                            MhMachine *machine);

/**
 * mh_attempt_note_start_sent:
 * @attempt: an attempt whose start is being sent
 * @in_heartbeat_response: the start is part of the response to a heartbeat, not a direct command
 */
void
mh_attempt_note_start_sent (MhAttempt *attempt, bool in_heartbeat_response);

/**
 * mh_attempt_note_start_refused:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt whose direct start the worker has refused; may be freed
 *
 * Notes that no start has been sent, since the worker will refuse each copy of this one too. An
 * attempt that is being stopped ends with that: no message of the worker will ever show it. Has no
 * effect if a start was also sent in the response to a heartbeat, or if the worker has reported the
 * attempt.
 */
void
mh_attempt_note_start_refused (MhCluster *cluster, MhAttempt *attempt);

/**
 * mh_attempt_note_reported:
 * @cluster: the cluster
 * @attempt: an attempt that its worker reports
 * @phase: the phase in which it is reported
 */
void
mh_attempt_note_reported (MhCluster *cluster, MhAttempt *attempt, MhTaskPhase phase);

/**
 * mh_attempt_request_stop:
 * @cluster: the cluster
 * @attempt: an attempt whose start was sent, or may have been
 * @grace_us: time to save a checkpoint, in microseconds
 *
 * Schedules a stop command to the worker, unless a stop with the same or a shorter grace period was
 * requested before.
 */
void
mh_attempt_request_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us);

/**
 * mh_attempt_stop:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt; may be freed
 * @grace_us: time to save a checkpoint, in microseconds
 *
 * Stops it, and the rest of its gang unless no task of the job may be started any more, see
 * mh_job_has_no_more_starts(). An attempt whose start was never sent ends at once.
 */
void
mh_attempt_stop (MhCluster *cluster, MhAttempt *attempt, gint64 grace_us);

/**
 * mh_attempt_stop_job:
 * @cluster: the cluster
 * @job: a cancelled job
 *
 * Stops all its attempts. A job without attempts ends at once.
 */
void
mh_attempt_stop_job (MhCluster *cluster, MhJob *job);

/**
 * mh_attempt_note_ended:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt that can no longer run
 * @done: it ended with a result
 *
 * Releases its share of the machine and of the quota, and makes its task done or pending. The
 * task's record is written also without a result, unless the job is cancelled: otherwise a new
 * leader would need to prove the end of the attempt again, on a machine that may be gone by then.
 */
void
mh_attempt_note_ended (MhCluster *cluster, MhAttempt *attempt, bool done);

/**
 * mh_attempt_set_task_done:
 * @cluster: the cluster
 * @job: a gang of which another task is done
 * @index: index of a task without an attempt
 *
 * Notes that the task is done although no attempt of it was reported as completed.
 */
void
mh_attempt_set_task_done (MhCluster *cluster, MhJob *job, guint index);

/**
 * mh_attempt_discard:
 * @cluster: the cluster
 * @attempt: (transfer full): an attempt
 *
 * Frees it and the resources that it occupies, without consequences for its task, records or gang:
 * its job is about to be removed from memory.
 */
void
mh_attempt_discard (MhCluster *cluster, MhAttempt *attempt);

/**
 * mh_attempt_finish_job_if_ended:
 * @cluster: the cluster
 * @job: a job
 *
 * Marks the job as ended, and its final record as to be written, if all its tasks are done, or
 * if it is cancelled and has no attempts.
 */
void
mh_attempt_finish_job_if_ended (MhCluster *cluster, MhJob *job);
