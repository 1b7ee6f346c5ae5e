/* The handlers through which src/cluster calls the layers above it. */
#include "controller/core-private.h"

static void
release_machine (gpointer owner, MhMachine *machine, MhReleaseReason reason)
{
  MhCore *core = owner;
  mh_autoscaler_release_machine (core->autoscaler, machine, reason);
}

static void
on_capacity_changed (gpointer owner, bool urgent)
{
  MhCore *core = owner;
  mh_placement_request_pass (core->placement, urgent);
}

static void
on_gang_loaded (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  mh_gang_attempts_restore (core->gang_attempts, job);
}

static void
on_gang_attempt_ended (gpointer owner, MhJob *job, bool done)
{
  MhCore *core = owner;
  mh_gang_attempts_handle_task_end (core->gang_attempts, job, done);
}

static void
stop_gang (gpointer owner, MhJob *job, gint64 grace_us)
{
  MhCore *core = owner;
  mh_gang_attempts_stop (core->gang_attempts, job, grace_us);
}

const MhClusterCallbacks *
mh_core_cluster_callbacks (void)
{
  static const MhClusterCallbacks callbacks = {
    .release_machine = release_machine,
    .capacity_changed = on_capacity_changed,
    .gang_loaded = on_gang_loaded,
    .gang_attempt_ended = on_gang_attempt_ended,
    .stop_gang = stop_gang,
  };
  return &callbacks;
}
