/* Types that the files of the cluster layer share. */
#pragma once

#include "cluster/machine.h"
#include "cluster/release-reason.h"
#include "runtime/call-queue.h"

/**
 * MhCluster:
 *
 * What a leader knows of its machines. It begins empty with each leadership, and is rebuilt from
 * the records, from the cloud's list, and from the workers' reports.
 */
typedef struct MhCluster MhCluster;

/**
 * MhClusterCallbacks:
 * @release_machine: gives @machine back to the cloud
 * @capacity_changed: tasks can be placed that could not be before; @urgent: the next placement pass
 *   must not wait, since somebody made room on purpose or a replica of a service is gone
 * @gang_loaded: a gang was read from its records, with all its attempts
 * @gang_task_over: an attempt of a gang is proven over; @done: with a result. The other attempts
 * may not be changed from here: the caller may be walking over them
 * @gang_stop: all attempts of a gang are to be stopped, with @grace_us to save
 *
 * What the layers above are told; the first parameter is what was registered with them. All are
 * set, by the controller, before the first call.
 */
typedef struct
{
  void (*release_machine) (gpointer owner, MhMachine *machine, MhReleaseReason reason);
  void (*capacity_changed) (gpointer owner, bool urgent);
  void (*gang_loaded) (gpointer owner, MhJob *job);
  void (*gang_task_over) (gpointer owner, MhJob *job, bool done);
  void (*gang_stop) (gpointer owner, MhJob *job, gint64 grace_us);
} MhClusterCallbacks;
