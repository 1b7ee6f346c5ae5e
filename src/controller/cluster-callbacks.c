/* What follows in the layers above the cluster from what happens in it. */
#include "controller/core-private.h"

static void
release_machine (gpointer owner, MhMachine *machine, MhReleaseReason reason)
{
  MhCore *core = owner;
  mh_autoscaler_release_machine (core->autoscaler, machine, reason);
}

static void
capacity_changed (gpointer owner, bool urgent)
{
  MhCore *core = owner;
  mh_placement_request_pass (core->placement, urgent);
}

static void
gang_loaded (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  mh_gang_attempts_restore (core->gang_attempts, job);
}

static void
gang_task_over (gpointer owner, MhJob *job, bool done)
{
  MhCore *core = owner;
  mh_gang_attempts_handle_task_end (core->gang_attempts, job, done);
}

static void
gang_stop (gpointer owner, MhJob *job, gint64 grace_us)
{
  MhCore *core = owner;
  mh_gang_attempts_stop (core->gang_attempts, job, grace_us);
}

const MhClusterCallbacks *
mh_core_cluster_callbacks (void)
{
  static const MhClusterCallbacks callbacks = {
    .release_machine = release_machine,
    .capacity_changed = capacity_changed,
    .gang_loaded = gang_loaded,
    .gang_attempt_ended = gang_task_over,
    .stop_gang = gang_stop,
  };
  return &callbacks;
}
