/* Why a machine is given back to the cloud. */
#pragma once

/**
 * MhReleaseReason:
 * @MH_RELEASE_REASON_IDLE: it holds nothing, and nothing was placed there for long
 * @MH_RELEASE_REASON_DRAINED: it was drained, or the cloud takes it back, and it holds nothing more
 * @MH_RELEASE_REASON_FAILED: the cloud lists it as failed
 * @MH_RELEASE_REASON_SILENT: nothing has come from it
 * @MH_RELEASE_REASON_SILENT_NO_ANSWER: ... and it has not answered probes either
 * @MH_RELEASE_REASON_SILENT_ZONE: nothing has come from any machine of its zone
 * @MH_RELEASE_REASON_SILENT_SINCE_FAILOVER: it has not reported to this leader at all
 * @MH_RELEASE_REASON_UNREACHABLE: it reports, but nothing reaches it
 * @MH_RELEASE_REASON_HEARTBEATS_MISSING: it answers, but its heartbeats do not come
 * @MH_RELEASE_REASON_WORKER_RESTARTED: its worker has begun anew while heartbeats are missing
 * @MH_RELEASE_REASON_NEVER_JOINED: it did not join, long after it should have
 * @MH_RELEASE_REASON_FAILS_EVERY_TASK: tasks fail there that do not fail elsewhere
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
 * Returns: (transfer none): the word for @reason in log lines, such as "silent_zone"
 */
const char *
mh_release_reason_text (MhReleaseReason reason);
