#include "cluster/release-reason.h"

#include <glib.h>

const char *
mh_release_reason_text (MhReleaseReason reason)
{
  static const char *const texts[] = {
    [MH_RELEASE_REASON_IDLE] = "idle",
    [MH_RELEASE_REASON_DRAINED] = "drained",
    [MH_RELEASE_REASON_FAILED] = "failed",
    [MH_RELEASE_REASON_SILENT] = "silent",
    [MH_RELEASE_REASON_SILENT_NO_ANSWER] = "silent_no_answer",
    [MH_RELEASE_REASON_SILENT_ZONE] = "silent_zone",
    [MH_RELEASE_REASON_SILENT_SINCE_FAILOVER] = "silent_since_failover",
    [MH_RELEASE_REASON_UNREACHABLE] = "unreachable",
    [MH_RELEASE_REASON_HEARTBEATS_MISSING] = "heartbeats_missing",
    [MH_RELEASE_REASON_WORKER_RESTARTED] = "worker_restarted",
    [MH_RELEASE_REASON_NEVER_JOINED] = "never_joined",
    [MH_RELEASE_REASON_FAILS_EVERY_TASK] = "fails_every_task",
  };
  return (guint)reason < G_N_ELEMENTS (texts) ? texts[reason] : "unknown";
}
