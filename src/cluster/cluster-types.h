/* Types that the files of the cluster layer share. */
#pragma once

#include "cluster/machine.h"
#include "cluster/release-reason.h"
#include "runtime/call-queue.h"

/**
 * MhCluster:
 *
 * What a leader knows of its machines. It is empty when a leadership begins, and is rebuilt from
 * the records, from the cloud's list, and from the workers' heartbeats.
 */
typedef struct MhCluster MhCluster;

/**
 * MhClusterCallbacks:
 * @release_machine: asks to release @machine
 * @capacity_changed: tasks may now fit that did not before; @urgent: the next placement pass must
 * not be delayed, because a stopped attempt, which perhaps made room for another task, or a service
 * replica has ended
 * @gang_loaded: a gang was read from its records, with all its attempts
 * @gang_attempt_ended: an attempt of a gang is proven to have ended; @done: it has a result. The
 * callback must not change the other attempts, because the caller may be iterating over them
 * @stop_gang: asks to stop all attempts of a gang, with @grace_us to save a checkpoint
 *
 * Callbacks to the layers above; the first argument is the owner that was registered with them. The
 * controller sets all of them before the first call.
 */
typedef struct
{
  void (*release_machine) (gpointer owner, MhMachine *machine, MhReleaseReason reason);
  void (*capacity_changed) (gpointer owner, bool urgent);
  void (*gang_loaded) (gpointer owner, MhJob *job);
  void (*gang_attempt_ended) (gpointer owner, MhJob *job, bool done);
  void (*stop_gang) (gpointer owner, MhJob *job, gint64 grace_us);
} MhClusterCallbacks;
