/* Why a machine is released. */
#pragma once

/**
 * MhReleaseReason:
 * @MH_RELEASE_REASON_IDLE: it has held no attempt for longer than the idle limit
 * @MH_RELEASE_REASON_DRAINED: it was drained, or it has a preemption notice, and it has no attempt
 * @MH_RELEASE_REASON_FAILED: the cloud lists it as failed
 * @MH_RELEASE_REASON_SILENT: no message has come from it
 * @MH_RELEASE_REASON_SILENT_NO_ANSWER: no message has come from it, and it has not answered probes
 * @MH_RELEASE_REASON_SILENT_ZONE: no message has come from any machine of its zone
 * @MH_RELEASE_REASON_SILENT_SINCE_FAILOVER: it has not reported to this leader at all
 * @MH_RELEASE_REASON_UNREACHABLE: its heartbeats arrive, but no messages reach it
 * @MH_RELEASE_REASON_HEARTBEATS_MISSING: it answers probes, but its heartbeats do not arrive
 * @MH_RELEASE_REASON_WORKER_RESTARTED: its heartbeats are missing, and a probe shows that its
 * worker has restarted
 * @MH_RELEASE_REASON_NEVER_JOINED: it has not joined long after it should have
 * @MH_RELEASE_REASON_FAILS_EVERY_TASK: tasks fail there that do not fail elsewhere
 *
 * The reason for a release.
 */
typedef enum
{
  MH_RELEASE_REASON_IDLE,
  MH_RELEASE_REASON_DRAINED,
  MH_RELEASE_REASON_FAILED,
  MH_RELEASE_REASON_SILENT,
  MH_RELEASE_REASON_SILENT_NO_ANSWER,
  MH_RELEASE_REASON_SILENT_ZONE,
  MH_RELEASE_REASON_SILENT_SINCE_FAILOVER,
  MH_RELEASE_REASON_UNREACHABLE,
  MH_RELEASE_REASON_HEARTBEATS_MISSING,
  MH_RELEASE_REASON_WORKER_RESTARTED,
  MH_RELEASE_REASON_NEVER_JOINED,
  MH_RELEASE_REASON_FAILS_EVERY_TASK
} MhReleaseReason;

/**
 * mh_release_reason_text:
 * @reason: a reason
 *
 * Returns: (transfer none): the value of reason= in log lines, for example "silent_zone"
 */
const char *
mh_release_reason_text (MhReleaseReason reason);
